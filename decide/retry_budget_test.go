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

// repeatFleet plays a service that rejects much of what it gets, and counts the repeats.
type repeatFleet struct {
	t         *testing.T
	random    *rand.Rand
	limits    decide.RetryLimits
	now       time.Time
	instances []*decide.Scheduler
	// seen is the number of instances that each one knows of.
	seen     []int
	sequence uint64
	// requests and repeats contain the times of requests and of arrivals beyond their first.
	requests, repeats []time.Time
}

const repeatUpstreams = 6

func newRepeatFleet(t *testing.T, size int, limits decide.RetryLimits, seed uint64) *repeatFleet {
	f := &repeatFleet{t: t, random: rand.New(rand.NewPCG(seed, uint64(size))), limits: limits, now: epoch, instances: make([]*decide.Scheduler, size), seen: make([]int, size)}
	for n := range f.instances {
		f.restart(n)
	}
	return f
}

// restart starts the nth instance anew. It doesn't know of the others yet.
func (f *repeatFleet) restart(n int) {
	s := decide.New("a")
	var list []decide.Upstream
	for u := range repeatUpstreams {
		list = append(list, decide.Upstream{Name: fmt.Sprint("u", u), Pool: callPool, DataCentre: "a", Incarnation: 1, Slots: 1000})
	}
	s.Step(f.now, decide.UpstreamsChanged{Upstreams: list})
	f.instances[n], f.seen[n] = s, 1
	f.update(n)
}

// update passes the limits and the size of the fleet on, as an instance does each second.
func (f *repeatFleet) update(n int) {
	f.instances[n].SetInstances(f.now, f.seen[n])
	f.instances[n].LimitRetries(f.now, f.limits, fmt.Sprint("i", n))
}

// send sends a request through the nth instance. Each arrival is rejected with a probability.
func (f *repeatFleet) send(n int, rejectShare float64) {
	s := f.instances[n]
	f.sequence++
	id := ident.Request{Sequence: f.sequence}
	r := decide.Request{ID: id, Class: config.Class{Name: callPool, Pool: callPool, Kind: config.Read}, NeverSent: true, StartBy: f.now.Add(time.Second)}
	f.requests = append(f.requests, f.now)
	for arrivals := 0; arrivals < repeatUpstreams; arrivals++ {
		names := placements(s.Step(f.now, decide.Arrived{Request: r}))
		if len(names) == 0 {
			return
		}
		if arrivals > 0 {
			f.repeats = append(f.repeats, f.now)
		}
		rejected := f.random.Float64() < rejectShare
		s.Step(f.now, decide.Ended{ID: id, Outcome: verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.UpstreamRefused}})
		if !rejected {
			return
		}
		r.Excluded, r.NeverSent, r.Resubmitted = append(r.Excluded, names[0]), false, true
	}
}

// check checks each window.
func (f *repeatFleet) check() (worst, allowed float64) {
	count := func(times []time.Time, from time.Time) (n float64) {
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(f.limits.Window)) {
				n++
			}
		}
		return n
	}
	step := f.limits.Window / 20
	for from := epoch.Add(-f.limits.Window); from.Before(f.now); from = from.Add(step) {
		requests := max(count(f.requests, from), count(f.requests, from.Add(-f.limits.Window)), count(f.requests, from.Add(-f.limits.Window/2)))
		bound, repeats := f.limits.Share*requests+f.limits.Slack, count(f.repeats, from)
		if repeats > worst {
			worst, allowed = repeats, bound
		}
		assert.Check(f.t, repeats <= bound, "%v after the start: %.0f repeats, %.0f are allowed", from.Sub(epoch), repeats, bound)
	}
	return worst, allowed
}

// TestRepeatsStayWithinTheBudget plays fleets of all sizes through what changes them, while
// all upstreams reject most requests.
func TestRepeatsStayWithinTheBudget(t *testing.T) {
	const (
		tick   = 50 * time.Millisecond
		length = 35 * time.Second
		// joinTicks is the number of ticks after which an instance that has started knows the
		// others.
		joinTicks = 20
	)
	type play func(f *repeatFleet, tick int)
	calm := func(*repeatFleet, int) {}
	tests := map[string]struct {
		play play
		// loaded is the share of instances that get requests; 0 for all.
		loaded float64
	}{
		"nothing changes": {play: calm},
		"load on a few":   {play: calm, loaded: 0.1},
		"killed in turn":  {play: func(f *repeatFleet, tick int) { f.restart(tick % len(f.instances)) }},
		"all killed together": {play: func(f *repeatFleet, tick int) {
			if tick%90 == 0 {
				for n := range f.instances {
					f.restart(n)
				}
			}
		}},
		"members lost": {play: func(f *repeatFleet, tick int) {
			if tick%200 > 100 {
				for n := range f.instances {
					f.seen[n] = 1 + f.random.IntN(1+len(f.instances)/4)
				}
			}
		}},
		"frozen": {play: func(f *repeatFleet, tick int) {
			if tick%150 == 149 {
				f.now = f.now.Add(4 * time.Second)
			}
		}},
		"half of the fleet, then all": {play: func(f *repeatFleet, tick int) {
			if tick == 300 {
				for n := len(f.instances) / 2; n < len(f.instances); n++ {
					f.restart(n)
				}
			}
		}},
	}
	for name, test := range tests {
		for _, size := range []int{1, 3, 18, 124, 300} {
			t.Run(fmt.Sprintf("%s, %d instances", name, size), func(t *testing.T) {
				t.Parallel()
				f := newRepeatFleet(t, size, decide.RetryLimits{Share: 0.2, Slack: max(104, 2.5*float64(size)), Window: 10 * time.Second}, 1)
				loaded := size
				if test.loaded > 0 {
					loaded = max(1, int(test.loaded*float64(size)))
				}
				perTick := max(3, size/20)
				for i := range int(length / tick) {
					if i%int(time.Second/tick) == 0 {
						for n := range f.instances {
							f.update(n)
						}
					}
					if i%joinTicks == joinTicks-1 {
						for n := range f.instances {
							f.seen[n] = size
						}
					}
					test.play(f, i)
					for range perTick {
						f.send(f.random.IntN(loaded), 0.9)
					}
					f.now = f.now.Add(tick)
				}
				worst, allowed := f.check()
				t.Logf("%.0f repeats in the worst window, %.0f are allowed", worst, allowed)
			})
		}
	}
}

// TestNoRepeatsWithoutABudget guards against a budget of zero that still lets repeats through.
func TestNoRepeatsWithoutABudget(t *testing.T) {
	f := newRepeatFleet(t, 3, decide.RetryLimits{Window: 10 * time.Second}, 1)
	for i := range 1000 {
		f.send(i%3, 0.5)
		f.now = f.now.Add(20 * time.Millisecond)
	}
	assert.Equal(t, len(f.repeats), 0)
}
