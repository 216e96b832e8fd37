package bench_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// TestReadyFleetListsItsUpstreams checks that WaitReady also waits for upstreams. An
// instance can discover its peers by heartbeats before it has read the instance
// list, and would then refuse requests for lack of upstreams. Several fleets start
// concurrently, which makes this more likely.
func TestReadyFleetListsItsUpstreams(t *testing.T) {
	t.Parallel()
	for i := range 8 {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			fleet, ctx := startFleet(t, bench.Plan{DataCentres: 1, Entries: 3, Engines: 1, Services: 2})
			status, err := fleet.Status(ctx, fleet.Entries[0])
			assert.NilError(t, err)
			assert.Equal(t, len(status.Upstreams), 3)
		})
	}
}
