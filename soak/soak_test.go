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

// regressionSeeds contains every seed that has failed, by the cause of the failure.
// Entries must not be removed.
var regressionSeeds = map[string]uint64{}

// buildEdge builds mangoloft-edge and returns its directory.
func buildEdge(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	output, err := exec.Command("go", "build", "-o", bin, "mangoloft/cmd/mangoloft-edge").CombinedOutput()
	assert.NilError(t, err, string(output))
	return bin
}

// TestInterruptedSoakReportsNoViolation checks that failures that the cancellation of
// a soak causes are not reported as violations.
func TestInterruptedSoakReportsNoViolation(t *testing.T) {
	plan := soak.Plan{Seed: 7, Deadline: time.Now().Add(time.Minute), Instances: 2, Bin: buildEdge(t), Dir: t.TempDir()}
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	var out bytes.Buffer
	assert.ErrorIs(t, soak.Print(ctx, plan, &out), soak.ErrInterrupted)
	assert.Equal(t, out.String(), "")
}

// TestSoak runs a soak of some seconds with a fixed seed and with every regression
// seed. There must be no violations.
func TestSoak(t *testing.T) {
	bin := buildEdge(t)
	seeds := map[string]uint64{"fixed seed": 7}
	for cause, seed := range regressionSeeds {
		seeds[cause] = seed
	}
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			plan := soak.Plan{Seed: seed, Deadline: time.Now().Add(8 * time.Second), Instances: 4, Bin: bin, Dir: t.TempDir()}
			results, err := soak.Run(context.Background(), plan)
			assert.NilError(t, err)
			assert.DeepEqual(t, results.Violations, []string(nil))
			assert.Assert(t, results.Served > 0)
			assert.Assert(t, len(results.Faults) > 3, "%v", results.Faults)
		})
	}
}
