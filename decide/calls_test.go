package decide_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

const (
	deskSlots    = 6
	deskCallTime = 30 * time.Millisecond
	slowPace     = 250
)

// callServer simulates a plain server whose calls wait for a slot, and whose work takes longer
// in slow periods.
type callServer struct {
	pace float64
	// slowUntil is the end of a slow period, and nextSlowAt the start of the next.
	slowUntil, nextSlowAt time.Time
	// remaining is the work that is left of each call in usual time, in the order of arrival.
	remaining []time.Duration
	done      []func(decide.Report)
	usualPace float64
}

func (s *callServer) report(now time.Time) decide.Report {
	running := min(deskSlots, len(s.remaining))
	return decide.Report{TakenAt: now, Running: running, Waiting: len(s.remaining) - running, PacePercent: s.pace}
}

// step simulates a short time.
func (s *callServer) step(now time.Time, d time.Duration, random *rand.Rand) {
	if now.After(s.nextSlowAt) {
		s.slowUntil = now.Add(time.Duration((200 + 400*random.Float64()) * float64(time.Millisecond)))
		s.nextSlowAt = s.slowUntil.Add(time.Duration(random.ExpFloat64() * 2.3 * float64(time.Second)))
	}
	if s.pace = s.usualPace; now.Before(s.slowUntil) {
		s.pace *= slowPace / 100.
	}
	var left []time.Duration
	var done []func(decide.Report)
	var ended []func(decide.Report)
	for i, r := range s.remaining {
		if i < deskSlots {
			r -= time.Duration(float64(d) * 100 / s.pace)
		}
		if r <= 0 {
			ended = append(ended, s.done[i])
			continue
		}
		left, done = append(left, r), append(done, s.done[i])
	}
	s.remaining, s.done = left, done
	for _, end := range ended {
		end(s.report(now))
	}
}

// lateCalls simulates calls at a rate through instances to four servers with slow periods, and
// returns the share of those that take more than 150 ms. Without paces the instances don't
// learn them.
func lateCalls(instances int, perSecond float64, paces []float64, declared bool) float64 {
	const (
		step    = 500 * time.Microsecond
		wanted  = 150 * time.Millisecond
		seconds = 30
	)
	random := rand.New(rand.NewPCG(9, uint64(instances)))
	var servers []*callServer
	var upstreams []decide.Upstream
	for n, pace := range paces {
		servers = append(servers, &callServer{usualPace: pace, nextSlowAt: epoch.Add(time.Duration(random.ExpFloat64() * float64(time.Second)))})
		upstreams = append(upstreams, decide.Upstream{Name: fmt.Sprint(n), Pool: "desk", DataCentre: "a", Incarnation: 1, Slots: deskSlots})
	}
	var schedulers []*decide.Scheduler
	for range instances {
		s := decide.New("a")
		s.Step(epoch, decide.UpstreamsChanged{Upstreams: upstreams})
		schedulers = append(schedulers, s)
	}
	calls, late, sequence := 0, 0, uint64(0)
	next := epoch
	for now := epoch; now.Before(epoch.Add(seconds * time.Second)); now = now.Add(step) {
		for _, s := range servers {
			s.step(now, step, random)
		}
		for ; !next.After(now); next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))) {
			s := schedulers[random.IntN(instances)]
			sequence++
			id := ident.Request{Sequence: sequence}
			for _, a := range s.Step(now, decide.Arrived{Request: decide.Request{ID: id, Class: config.Class{Name: "read", Pool: "desk", Kind: config.Read, WaitTarget: 90 * time.Millisecond}}}) {
				place, ok := a.(decide.Place)
				if !ok {
					continue
				}
				server, sentAt, name := servers[int(place.Upstream.Name[0]-'0')], now, place.Upstream.Name
				server.remaining = append(server.remaining, time.Duration((0.7+0.6*random.Float64())*float64(deskCallTime)))
				server.done = append(server.done, func(r decide.Report) {
					if !declared {
						r.PacePercent = 0
					}
					s.Step(r.TakenAt, decide.ReportReceived{Upstream: name, Report: r})
					s.Step(r.TakenAt, decide.Ended{ID: id, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
					if calls++; r.TakenAt.Sub(sentAt) > wanted {
						late++
					}
				})
			}
		}
	}
	return float64(late) / float64(calls)
}

// TestCallsAvoidSlowUpstreams checks that fewer calls are late if the upstreams declare their
// paces, also when each instance gets so few answers that most reports are old.
func TestCallsAvoidSlowUpstreams(t *testing.T) {
	for _, instances := range []int{1, 18, 130} {
		for name, paces := range map[string][]float64{"equal": {100, 100, 100, 100}, "uneven": {170, 70, 70, 170}} {
			for _, perSecond := range []float64{200, 350} {
				t.Run(fmt.Sprintf("%d instances, %s, %v/s", instances, name, perSecond), func(t *testing.T) {
					before, after := lateCalls(instances, perSecond, paces, false), lateCalls(instances, perSecond, paces, true)
					t.Logf("late: %.4f without paces, %.4f with", before, after)
					if name == "uneven" {
						assert.Check(t, after <= before/2)
						return
					}
					// With old reports of equal upstreams there is little to choose.
					assert.Check(t, after <= before+0.005)
				})
			}
		}
	}
}
