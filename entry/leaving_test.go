package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServerThatLeavesInItsAnswersGetsNoRequests(t *testing.T) {
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, instances)
			f.addServer(t, "p0")
			leaves := f.addServer(t, "p1")
			f.waitUntilServed(t, 1)
			time.Sleep(settle)
			leaves.SetLeaving()
			f.load(t, drainTime, instances)
			before := len(leaves.Arrivals())
			_, refused := f.load(t, drainTime, instances)
			assert.Equal(t, len(leaves.Arrivals())-before, 0)
			assert.Equal(t, refused, 0)
		})
	}
}
