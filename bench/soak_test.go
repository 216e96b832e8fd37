package bench_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

func TestScheduleRepeats(t *testing.T) {
	first := bench.Schedule(7, time.Minute)
	assert.Assert(t, len(first) > 10)
	assert.DeepEqual(t, first, bench.Schedule(7, time.Minute))
	other := bench.Schedule(8, time.Minute)
	assert.Assert(t, first[0] != other[0])
}

func TestSoakFindsNoViolations(t *testing.T) {
	figures, err := bench.Soak(context.Background(), bench.SoakPlan{
		Bin: bin, Seed: 1, Length: 25 * time.Second, Streams: 12, Charges: 4, Reads: 2,
	})
	assert.NilError(t, err)
	assert.Equal(t, len(figures.Violations), 0, "%v", figures.Violations)
	assert.Equal(t, len(figures.FaultErrors), 0, "%v", figures.FaultErrors)
	assert.Assert(t, figures.Streams["completed"] > 0 && figures.Charges["completed"] > 0)
}
