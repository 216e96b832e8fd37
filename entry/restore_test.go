package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// restoreBehind restores the store from a copy that is older than the table in force,
// while it is not reachable for the given time, and publishes a newer table at a revision
// that was issued before. The store's revision then passes the one of all watches.
func (f *fleet) restoreBehind(t *testing.T, away time.Duration) {
	t.Helper()
	s := f.addServer(t, "p0")
	f.waitUntilServed(t, 1)
	saved := f.store.Copy()
	f.rewrite(t, 40, s)
	f.publish(t, 2)
	f.waitUntilServed(t, 2)
	time.Sleep(settle)
	if away > 0 {
		f.store.SetMode(standin.ModeUnavailable)
	}
	f.store.Restore(saved)
	if away > 0 {
		f.store.CutWatches()
		time.Sleep(away)
	}
	f.publish(t, 2)
	f.rewrite(t, 1, s)
	f.publish(t, 3)
	f.rewrite(t, 60, s)
	f.store.SetMode(standin.ModeNormal)
}

func TestTablePublishedAfterStoreRestoreIsInForce(t *testing.T) {
	tests := map[string]struct {
		instances int
		away      time.Duration
	}{
		"one instance, store away for 50 ms":     {1, 50 * time.Millisecond},
		"one instance, store away for 700 ms":    {1, 700 * time.Millisecond},
		"three instances, store away for 50 ms":  {3, 50 * time.Millisecond},
		"three instances, store away for 700 ms": {3, 700 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.instances)
			f.restoreBehind(t, test.away)
			time.Sleep(applyTime)
			f.checkInForce(t, 3)
		})
	}
}

func TestTablePublishedWhileWatchHangsIsInForce(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet){
		"watch from before a restore": func(t *testing.T, f *fleet) { f.restoreBehind(t, 0) },
		"silent connection": func(t *testing.T, f *fleet) {
			f.addServer(t, "p0")
			f.waitUntilServed(t, 1)
			time.Sleep(settle)
			f.proxy.BlackholeOpen()
			f.publish(t, 2)
			f.publish(t, 3)
		},
	}
	for name, disturb := range tests {
		for _, instances := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, instances)
				disturb(t, f)
				time.Sleep(applyTime)
				f.checkInForce(t, 3)
			})
		}
	}
}

// restore restores the store from the copy, and cuts the watches.
func (f *fleet) restore(saved standin.Copy) {
	f.store.Restore(saved)
	f.store.CutWatches()
}

func TestServerThatLeavesAroundStoreRestoreGetsNoRequests(t *testing.T) {
	tests := map[string]func(t *testing.T, f *fleet, saved standin.Copy, stays, leaves *standin.Server){
		"drains at a revision that was issued before": func(t *testing.T, f *fleet, saved standin.Copy, stays, leaves *standin.Server) {
			f.restore(saved)
			leaves.Drain()
			f.rewrite(t, 1, leaves, stays)
			f.rewrite(t, 120, stays)
		},
		"removed before the restore, ready in the copy": func(t *testing.T, f *fleet, saved standin.Copy, stays, leaves *standin.Server) {
			f.store.RemoveEntry(leaves.ID)
			time.Sleep(settle)
			f.restore(saved)
			f.rewrite(t, 1, stays)
		},
		"not written again": func(t *testing.T, f *fleet, _ standin.Copy, stays, _ *standin.Server) {
			saved := f.store.Copy()
			f.restore(saved)
			f.store.RemoveEntry("p1")
			f.rewrite(t, 1, stays)
		},
	}
	for name, leave := range tests {
		for _, instances := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s, %d instances", name, instances), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t, instances)
				stays, leaves := f.addServer(t, "p0"), f.addServer(t, "p1")
				f.waitUntilServed(t, 1)
				time.Sleep(settle)
				saved := f.store.Copy()
				f.rewrite(t, 40, stays, leaves)
				time.Sleep(settle)
				leave(t, f, saved, stays, leaves)
				time.Sleep(drainTime)
				before := f.executionsOn("p1")
				for i := range 60 {
					assert.Equal(t, f.send(t, i%instances, 1), http.StatusOK)
				}
				assert.Equal(t, f.executionsOn("p1")-before, 0)
			})
		}
	}
}

// rewriteDelay is the time after which servers write their entries again.
const rewriteDelay = time.Second

func TestServerMissingInRestoredCopyKeepsServing(t *testing.T) {
	for _, instances := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d instances", instances), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, instances)
			f.addServer(t, "p0").Crash()
			saved := f.store.Copy()
			f.store.RemoveEntry("p0")
			s := f.addServer(t, "p1")
			f.waitUntilServed(t, 1)
			f.rewrite(t, 20, s)
			time.Sleep(settle)
			f.restore(saved)
			f.store.RemoveEntry("p0")
			rewriteAt := time.Now().Add(rewriteDelay)
			for i := 0; time.Now().Before(rewriteAt); i++ {
				assert.Equal(t, f.send(t, i%instances, 1), http.StatusOK)
				time.Sleep(20 * time.Millisecond)
			}
			f.rewrite(t, 1, s)
			for end := time.Now().Add(2 * drainTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				assert.Equal(t, f.send(t, int(f.sent.Load())%instances, 1), http.StatusOK)
			}
		})
	}
}
