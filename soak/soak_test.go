package soak_test

import (
	"bytes"
	"context"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/soak"
)

// regressionSeeds holds every seed that has failed, by the cause. No entry is
// ever removed.
var regressionSeeds = map[string]uint64{}

func buildEdge(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "mangoloft/cmd/mangoloft-edge").CombinedOutput()
	assert.NilError(t, err, string(output))
	return bin
}

// TestInterruptedSoakReportsNoViolation cancels a soak while it runs: failures
// that callers see because of it are no violations.
func TestInterruptedSoakReportsNoViolation(t *testing.T) {
	plan := soak.Plan{Seed: 7, Deadline: time.Now().Add(time.Minute), Instances: 2, Bin: buildEdge(t), Dir: t.TempDir()}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	var out bytes.Buffer
	assert.ErrorIs(t, soak.Print(ctx, plan, &out), soak.ErrInterrupted)
	assert.Equal(t, out.String(), "")
}

// TestSoak injects faults for some seconds with a fixed seed and with every
// regression seed.
func TestSoak(t *testing.T) {
	bin := buildEdge(t)
	seeds := map[string]uint64{"fixed seed": 7}
	for cause, seed := range regressionSeeds {
		seeds[cause] = seed
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			plan := soak.Plan{Seed: seed, Deadline: time.Now().Add(8 * time.Second), Instances: 4, Bin: bin, Dir: t.TempDir()}
			figures, err := soak.Run(context.Background(), plan)
			assert.NilError(t, err)
			assert.DeepEqual(t, figures.Violations, []string(nil))
			assert.Assert(t, figures.Served > 0)
			assert.Assert(t, len(figures.Faults) > 3, "%v", figures.Faults)
		})
	}
}
