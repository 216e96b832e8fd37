package bench_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// leavingLimit bounds the time from the first announcement that an upstream is
// leaving to its last new work.
const leavingLimit = 3 * time.Second

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	tests := map[string]bench.LeavingSource{"announced by the engine": bench.LeavingFromEngine, "announced by a list that then shows it live": bench.LeavingFromList}
	for name, source := range tests {
		t.Run(name, func(t *testing.T) {
			figures, err := bench.MeasureLeaving(t.Context(), bench.LeavingPlan{
				Bin: bin, DataCentres: 2, Entries: 2, Rounds: 2, Watch: 2 * leavingLimit,
			}, source)
			assert.NilError(t, err)
			assert.Assert(t, figures.WorstMS <= leavingLimit.Milliseconds(), "%+v", figures)
			assert.Assert(t, figures.Started > 0 && figures.SuccessorRequests > 0, "%+v", figures)
		})
	}
}
