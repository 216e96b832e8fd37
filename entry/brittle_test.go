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

// TestBrittleServersDoNotFallOver sends servers that declare themselves brittle about twice
// as many calls as they have room for.
func TestBrittleServersDoNotFallOver(t *testing.T) {
	const (
		servers = 6
		// allowedFalls is 2 and a tenth of the servers, and minUsed the share of their room
		// that must be used.
		allowedFalls = 2 + servers/10
		minUsed      = 0.9
		callTime     = 100 * time.Millisecond
		brittleTime  = 10 * time.Second
		calmSlots    = 8
	)
	tests := map[string]struct {
		instances, rejections, slots int
		// interval is the time between two calls.
		interval time.Duration
	}{
		"one instance":                    {1, 3, 1, 8 * time.Millisecond},
		"three instances":                 {3, 3, 1, 8 * time.Millisecond},
		"three instances, two at a time":  {3, 2, 2, 4 * time.Millisecond},
		"eighteen instances":              {18, 3, 1, 8 * time.Millisecond},
		"eighteen instances, more bear":   {18, 8, 3, 3 * time.Millisecond},
		"eighteen instances, hardly bear": {18, 1, 2, 4 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, test.instances)
			f.publishCalls(t, 2, "safe")
			var all []*standin.Server
			var mu sync.Mutex
			brittle := false
			for range servers {
				f.addFragile(t, func(id string) *standin.Server {
					s := &standin.Server{ID: id, Service: plain, Zone: "a", StartUnixMS: time.Now().UnixMilli(), Slots: calmSlots, Executions: f.executions, CallTime: callTime}
					mu.Lock()
					defer mu.Unlock()
					all = append(all, s)
					if brittle {
						s.SetBrittle(test.rejections, test.slots)
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
					if f.call(t, i%test.instances, fmt.Sprintf("/calls/%d", i), "") == http.StatusOK {
						served.begun.Add(1)
					}
				})
			}
			// For contactTime the servers say that they are brittle, but still have room.
			for phase, slots := range []int{calmSlots, test.slots} {
				mu.Lock()
				brittle = phase == 1
				for _, s := range all {
					s.SetBrittle(test.rejections, slots)
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
					time.Sleep(test.interval)
				}
			}
			group.Wait()
			room := float64(servers*test.slots) * brittleTime.Seconds() / callTime.Seconds()
			used := float64(served.begun.Load()) / room
			t.Logf("%d falls, %d of %d calls served, %.2f of the room used", len(f.crashes.all()), served.begun.Load(), served.sent.Load(), used)
			assert.Check(t, len(f.crashes.all()) <= allowedFalls)
			assert.Check(t, used >= minUsed)
		})
	}
}

// TestBrittleEnginesDoNotFallOver sends engines that declare themselves brittle, and then let
// no streams wait, about one and a half times as many streams as they have room for.
func TestBrittleEnginesDoNotFallOver(t *testing.T) {
	const (
		engines, slots, calmSlots = 2, 8, 64
		allowedFalls              = 2 + engines/10
		interval                  = 16 * time.Millisecond
		output                    = 400
		brittleTime               = 10 * time.Second
	)
	tests := map[string]struct{ instances, rejections int }{
		"three instances":    {3, 3},
		"eighteen instances": {18, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := startFleet(t, test.instances)
			f.publishStreams(t, 2)
			var all []*standin.Server
			var mu sync.Mutex
			room := calmSlots
			for range engines {
				f.addFragile(t, func(id string) *standin.Server {
					s := &standin.Server{ID: id, Service: model, Zone: "a", StartUnixMS: time.Now().UnixMilli(), IsModel: true, Executions: f.executions}
					mu.Lock()
					defer mu.Unlock()
					s.SetBrittle(test.rejections, room)
					all = append(all, s)
					return s
				})
			}
			time.Sleep(2 * settle)
			var begun share
			var group sync.WaitGroup
			startedAt := time.Now()
			for i := 0; time.Since(startedAt) < contactTime+brittleTime; i++ {
				if mu.Lock(); room == calmSlots && time.Since(startedAt) >= contactTime {
					room = slots
					for _, s := range all {
						s.SetBrittle(test.rejections, slots)
					}
				}
				mu.Unlock()
				group.Go(func() {
					begun.sent.Add(1)
					if f.streamOf(t, i%test.instances, fmt.Sprintf("/tag/%d", i), output, false, "a0", fmt.Sprintf("b%d", i%5)) {
						begun.begun.Add(1)
					}
				})
				time.Sleep(interval)
			}
			group.Wait()
			t.Logf("%d falls, %d of %d streams began", len(f.crashes.all()), begun.begun.Load(), begun.sent.Load())
			assert.Check(t, len(f.crashes.all()) <= allowedFalls)
		})
	}
}
