package entry_test

import (
	"fmt"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

const (
	// limitWindow is the time in which a limited server may get excessShare times the
	// number of requests that its limit allows, and excessSlack more.
	limitWindow = 4 * time.Second
	excessShare = 1.5
	excessSlack = 5
	// toldAfter is the time after which an instance that has had an answer with the
	// limit must keep it.
	toldAfter = 500 * time.Millisecond
	// usedShare is the share of the limits that must be used if the demand is above them.
	usedShare = 0.8
	// demandInterval is the time between two requests to the service.
	demandInterval = 25 * time.Millisecond
)

// mostInWindow returns the largest number of times after start that are within a window.
func mostInWindow(times []time.Time, start time.Time, window time.Duration) int {
	most := 0
	for i, first := range times {
		if first.Before(start) {
			continue
		}
		count := 0
		for _, other := range times[i:] {
			if other.Sub(first) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// load sends requests through the first instances for the given time, and returns how
// many were served and refused.
func (f *fleet) load(t *testing.T, d time.Duration, instances int) (served, refused int) {
	t.Helper()
	var group sync.WaitGroup
	var servedCount, refusedCount atomic.Int64
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		group.Go(func() {
			switch status := f.send(t, i%instances, 1); status {
			case http.StatusOK:
				servedCount.Add(1)
			case http.StatusServiceUnavailable:
				refusedCount.Add(1)
			default:
				t.Errorf("a request got status %d", status)
			}
		})
		time.Sleep(demandInterval)
	}
	group.Wait()
	return int(servedCount.Load()), int(refusedCount.Load())
}

func TestLimitOfServerIsKeptByAllInstances(t *testing.T) {
	const noLimit = -1
	tests := map[string]struct {
		// instances is the number of instances, of which the first ones get requests.
		instances, loaded int
		limits            []float64
	}{
		"one instance":                           {1, 1, []float64{3.8, noLimit}},
		"four instances":                         {4, 4, []float64{3.8, noLimit}},
		"four instances, no server without":      {4, 4, []float64{3.8, 5.8}},
		"four instances, requests at one":        {4, 1, []float64{3.8, 5.8}},
		"four instances, limit of a fifth":       {4, 4, []float64{8, noLimit}},
		"four instances, limit of zero":          {4, 4, []float64{0, noLimit}},
		"four instances, the only server":        {4, 4, []float64{0.5}},
		"four instances, limit above the demand": {4, 4, []float64{100}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, test.instances)
			var servers []*standin.Server
			sum := 0.0
			for n, limit := range test.limits {
				servers = append(servers, f.addServer(t, fmt.Sprintf("p%d", n)))
				if sum += limit; limit == noLimit {
					sum = math.Inf(1)
				}
			}
			f.waitUntilServed(t, 1)
			time.Sleep(settle)
			for n, limit := range test.limits {
				if limit != noLimit {
					servers[n].SetLimit(&limit)
				}
			}
			told := time.Now().Add(toldAfter)
			f.load(t, 2*limitWindow, test.loaded)
			served, refused := f.load(t, limitWindow, test.loaded)
			for n, limit := range test.limits {
				if limit != noLimit {
					got, allowed := mostInWindow(servers[n].Arrivals(), told, limitWindow), excessShare*limitWindow.Seconds()*limit+excessSlack
					assert.Check(t, float64(got) <= allowed, "limit of %v a second: got %d requests in %v, allowed %v", limit, got, limitWindow, allowed)
				}
			}
			all := float64(served + refused)
			possible := min(all, sum*limitWindow.Seconds())
			assert.Check(t, float64(served) >= usedShare*possible-1, "served %d of %v, possible %v", served, all, possible)
		})
	}
}
