package bench_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// leavingLimit is the maximum time from the first announcement that an engine is
// leaving to the last request that it receives.
const leavingLimit = 3 * time.Second

// TestLeavingEngineGetsNoNewWork checks that a leaving engine soon receives no
// requests, but that its next incarnation does.
func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	tests := map[string]bench.LeavingSource{"announced by the engine": bench.LeavingFromEngine, "announced by a list that then shows it live": bench.LeavingFromList}
	for name, source := range tests {
		t.Run(name, func(t *testing.T) {
			results, err := bench.MeasureLeaving(t.Context(), bench.LeavingPlan{
				Bin: bin, DataCentres: 2, Entries: 2, Rounds: 2, Watch: 2 * leavingLimit,
			}, source)
			assert.NilError(t, err)
			assert.Assert(t, results.WorstMS <= leavingLimit.Milliseconds(), "%+v", results)
			assert.Assert(t, results.Started > 0 && results.SuccessorRequests > 0, "%+v", results)
		})
	}
}
