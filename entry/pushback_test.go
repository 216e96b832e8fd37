package entry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestServerThatPushesBackIsLeftAlone(t *testing.T) {
	const (
		pushBack = 4 * time.Second
		// maxArrivals is the number of requests that may still reach the server from an
		// instance from settleTime after its answer.
		maxArrivals = 2
		settleTime  = 500 * time.Millisecond
	)
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, instances)
			f.addServer(t, "p0")
			busy := f.addServer(t, "p1")
			f.waitUntilServed(t, 1)
			time.Sleep(settle)
			busy.SetPushBack(pushBack)
			f.load(t, settleTime, instances)
			before := len(busy.Arrivals())
			_, refused := f.load(t, pushBack-2*settleTime, instances)
			assert.Assert(t, len(busy.Arrivals())-before <= maxArrivals*instances, "%d arrivals", len(busy.Arrivals())-before)
			assert.Equal(t, refused, 0)
			busy.SetPushBack(0)
			time.Sleep(2 * settleTime)
			before = len(busy.Arrivals())
			f.load(t, 2*time.Second, instances)
			assert.Assert(t, len(busy.Arrivals()) > before, "the server must get requests again")
		})
	}
}

func TestAllServersPushBack(t *testing.T) {
	f := startFleet(t, 1)
	s := f.addServer(t, "p0")
	f.waitUntilServed(t, 1)
	time.Sleep(settle)
	s.SetPushBack(3 * time.Second)
	f.send(t, 0, 1)
	startedAt := time.Now()
	before := len(s.Arrivals())
	_, refused := f.load(t, time.Second, 1)
	assert.Assert(t, refused > 0)
	assert.Equal(t, len(s.Arrivals())-before, 0)
	assert.Assert(t, time.Since(startedAt) < 1500*time.Millisecond, "requests must be refused at once")
}
