package bench_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// leavingLimit is the promised time from the first sign that an upstream is
// leaving to its last new work.
const leavingLimit = 3 * time.Second

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	tests := map[string]bench.LeavingSource{"by its own signs": bench.LeavingFromEngine, "by a list that then shows it live": bench.LeavingFromList}
	for name, sign := range tests {
		t.Run(name, func(t *testing.T) {
			figures, err := bench.MeasureLeaving(t.Context(), bench.LeavingPlan{
				Bin: bin, DataCentres: 2, Entries: 2, Rounds: 2, Watch: 2 * leavingLimit,
			}, sign)
			assert.NilError(t, err)
			assert.Assert(t, figures.WorstMS <= leavingLimit.Milliseconds(), "%+v", figures)
			assert.Assert(t, figures.Started > 0 && figures.SuccessorRequests > 0, "%+v", figures)
		})
	}
}
