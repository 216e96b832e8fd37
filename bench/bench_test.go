package bench_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
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
	t.Cleanup(func() { showLogs(t, plan.Dir) })
	assert.NilError(t, err)
	return fleet, ctx
}

// showLogs shows the ends of the processes' logs if the test has failed.
func showLogs(t *testing.T, dir string) {
	const maxLines = 15
	if !t.Failed() {
		return
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	assert.Check(t, err)
	for _, file := range files {
		content, err := os.ReadFile(file)
		assert.Check(t, err)
		lines := strings.Split(string(content), "\n")
		t.Logf("%s ends with\n%s", filepath.Base(file), strings.Join(lines[max(0, len(lines)-maxLines):], "\n"))
	}
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

// TestStoppedProcessGetsNoHangUp checks that processes are not in the process group of the
// tests, whose stopped members get SIGHUP when the shell that started them ends.
func TestStoppedProcessGetsNoHangUp(t *testing.T) {
	fleet, _ := startFleet(t, bench.Plan{DataCentres: 1, Entries: 1, Engines: 1, Services: 1, Step: 10 * time.Millisecond})
	pid := fleet.Entries[0].PID()
	group, err := syscall.Getpgid(pid)
	assert.NilError(t, err)
	assert.Equal(t, group, pid)
}
