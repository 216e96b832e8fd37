package bench_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// TestScheduleRepeats checks that a seed always gives the same schedule.
func TestScheduleRepeats(t *testing.T) {
	first := bench.Schedule(7, time.Minute)
	assert.Assert(t, len(first) > 10)
	assert.DeepEqual(t, first, bench.Schedule(7, time.Minute))
	other := bench.Schedule(8, time.Minute)
	assert.Assert(t, first[0] != other[0])
}

func TestSoakFindsNoViolations(t *testing.T) {
	results, err := bench.Soak(context.Background(), bench.SoakPlan{
		Bin: bin, Seed: 1, Length: 25 * time.Second, Streams: 12, Charges: 4, Reads: 2,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(results.Violations), 0, "%v", results.Violations)
	assert.Equal(t, len(results.FaultErrors), 0, "%v", results.FaultErrors)
	assert.Assert(t, results.Streams["completed"] > 0 && results.Charges["completed"] > 0)
}
