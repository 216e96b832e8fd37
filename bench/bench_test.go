package bench_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// bin is the directory of the programs, which are built once for all tests.
var bin string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangoloft-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "mangoloft/cmd/mangoloft", "mangoloft/cmd/mangobench-entry", "mangoloft/cmd/standin")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s\n%v\n", output, err)
		return 1
	}
	bin = dir
	return m.Run()
}

// startFleet starts a fleet that is closed at the end of the test.
func startFleet(t *testing.T, plan bench.Plan) (*bench.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	t.Cleanup(cancel)
	plan.Bin, plan.Dir = bin, t.TempDir()
	fleet, err := bench.Start(ctx, plan)
	t.Cleanup(fleet.Close)
	assert.NilError(t, err)
	return fleet, ctx
}

// TestStreamSurvivesItsEntryInstance checks that a reader can resume a stream in
// another data centre after its entry instance was killed.
func TestStreamSurvivesItsEntryInstance(t *testing.T) {
	t.Parallel()
	fleet, ctx := startFleet(t, bench.Plan{DataCentres: 2, Entries: 2, Engines: 1, Services: 1, Step: 10 * time.Millisecond, Proxies: true})
	r := &bench.Reader{Credential: bench.Credential}
	r.OnToken = func() error {
		if len(r.Texts) == 50 {
			fleet.Entries[0].Kill()
		}
		return nil
	}
	err := r.Begin(ctx, http.DefaultClient, fleet.Entries[0].Addr, bench.DraftClass, "output_tokens=500")
	assert.Assert(t, err != nil && !r.Done, "the connection must fail")
	assert.NilError(t, r.Resume(ctx, http.DefaultClient, fleet.Entries[2].Addr))
	assert.Assert(t, r.Done, r.Failure)
	assert.Equal(t, len(r.Texts), 500)
	assert.NilError(t, r.Check())
}
