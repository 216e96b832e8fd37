package bench_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// TestRelayCostIsMeasured checks that a measurement produces all results and that no
// token is out of order. It is too short for accurate results.
func TestRelayCostIsMeasured(t *testing.T) {
	t.Parallel()
	cost, err := bench.MeasureRelayCost(t.Context(), bench.RelayCostPlan{
		Bin: bin, Streams: 20, Sampled: 5, Step: 10 * time.Millisecond, MeasureFor: 2 * time.Second,
	})
	assert.NilError(t, err)
	assert.Equal(t, cost.Violations, int64(0))
	assert.Assert(t, cost.Tokens > 0 && cost.Compared > 0, "%+v", cost)
	assert.Assert(t, cost.ProcessorSeconds > 0 && cost.StreamKiB > 0, "%+v", cost)
	assert.Assert(t, int64(cost.Compared) < cost.Tokens, "%+v", cost)
}
