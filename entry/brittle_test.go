package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// TestBrittleServersDoNotFallOver sends servers that declare themselves brittle twice as many
// calls as they have room for.
func TestBrittleServersDoNotFallOver(t *testing.T) {
	const (
		servers, slots, rejections = 6, 1, 3
		// allowedFalls is 2 and a tenth of the servers.
		allowedFalls = 2 + servers/10
		callTime     = 100 * time.Millisecond
		interval     = 8 * time.Millisecond
		brittleTime  = 10 * time.Second
	)
	f := startFleet(t, 3)
	f.publishCalls(t, 2, "safe")
	var all []*standin.Server
	var mu sync.Mutex
	brittle := false
	for range servers {
		f.addFragile(t, func(id string) *standin.Server {
			s := &standin.Server{ID: id, Service: plain, Zone: "a", StartUnixMS: time.Now().UnixMilli(), Slots: 8, Executions: f.executions, CallTime: callTime}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
			if brittle {
				s.SetBrittle(rejections, slots)
			}
			return s
		})
	}
	time.Sleep(2 * settle)
	var served share
	var group sync.WaitGroup
	send := func(i int) {
		group.Go(func() {
			served.sent.Add(1)
			if f.call(t, i%3, fmt.Sprintf("/calls/%d", i), "") == http.StatusOK {
				served.begun.Add(1)
			}
		})
	}
	// For contactTime the servers say that they are brittle, but still have room.
	for phase, slotsNow := range []int{8, slots} {
		mu.Lock()
		brittle = phase == 1
		for _, s := range all {
			s.SetBrittle(rejections, slotsNow)
		}
		mu.Unlock()
		end := time.Now().Add(contactTime)
		if brittle {
			end = time.Now().Add(brittleTime)
			served.sent.Store(0)
			served.begun.Store(0)
		}
		for i := 0; time.Now().Before(end); i++ {
			send(i)
			time.Sleep(interval)
		}
	}
	group.Wait()
	t.Logf("%d falls, %d of %d calls served", len(f.crashes.all()), served.begun.Load(), served.sent.Load())
	assert.Check(t, len(f.crashes.all()) <= allowedFalls)
}
