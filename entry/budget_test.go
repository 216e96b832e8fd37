package entry_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// The limits of repeats in the settings of a fleet.
const (
	repeatShare, repeatSlack = 0.2, 100.0
	repeatWindow             = 10 * time.Second
)

// worstWindow returns the largest number of arrivals beyond the first of each request in any
// window, and the largest number of requests in one.
func worstWindow(arrivals []standin.Arrival) (repeats, requests int) {
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	var repeatTimes, firstTimes []time.Time
	for _, a := range arrivals {
		if seen[a.Request] {
			repeatTimes = append(repeatTimes, a.At)
		} else {
			firstTimes = append(firstTimes, a.At)
		}
		seen[a.Request] = true
	}
	return mostInWindow(repeatTimes, time.Time{}, repeatWindow), mostInWindow(firstTimes, time.Time{}, repeatWindow)
}

// TestRepeatsStayWithinTheBudgetOfTheFleet plays upstreams that reject much of what they get
// for longer than a window of the budget.
func TestRepeatsStayWithinTheBudgetOfTheFleet(t *testing.T) {
	tests := map[string]struct {
		servers     int
		rejectShare float64
		// minServed is the share of requests that must be served: those that are not rejected
		// at first, and half of the repeats that are allowed.
		minServed float64
	}{
		"half are rejected":            {6, 0.5, 0.5},
		"nine of ten are rejected":     {4, 0.9, 0.1},
		"three of five are rejected":   {6, 0.6, 0.4},
		"one of a hundred is rejected": {6, 0.01, 0.99},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, 3)
			var servers []*standin.Server
			for n := range test.servers {
				servers = append(servers, f.addServer(t, "p"+string(rune('0'+n))))
			}
			f.waitUntilServed(t, 1)
			time.Sleep(settle)
			for _, s := range servers {
				s.ForgetArrivals()
				s.SetRejectShare(test.rejectShare)
			}
			served, refused := f.load(t, repeatWindow+2*time.Second, 3)
			var arrivals []standin.Arrival
			for _, s := range servers {
				arrivals = append(arrivals, s.ArrivalLog()...)
			}
			repeats, requests := worstWindow(arrivals)
			allowed := repeatShare*float64(requests) + repeatSlack
			t.Logf("%d repeats, %.0f are allowed; %d requests served, %d refused", repeats, allowed, served, refused)
			assert.Check(t, float64(repeats) <= allowed, "%d repeats in a window, %.0f are allowed", repeats, allowed)
			assert.Check(t, float64(served) >= test.minServed*float64(served+refused), "%d of %d requests were served", served, served+refused)
		})
	}
}
