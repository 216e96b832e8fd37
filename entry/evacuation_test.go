package entry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
	"mangoloft/platform/standin"
)

const (
	// evacuationMS is the time within which an evacuation must be applied, and evacuationGoal
	// the one within which it is applied under normal conditions.
	evacuationMS   = 5000
	evacuationGoal = time.Second
	// evacuationTime is the time for which a data centre stays evacuated in tests.
	evacuationTime = 2500 * time.Millisecond
)

// startEvacuable starts a fleet in which data centres can be evacuated, with the given number
// of servers in each data centre.
func startEvacuable(t *testing.T, o fleetOptions, servers int) (f *fleet, byDataCentre map[string][]*standin.Server) {
	t.Helper()
	o.evacuationMS = evacuationMS
	f = startFleetWith(t, o)
	byDataCentre = map[string][]*standin.Server{}
	for d := range o.dataCentres {
		name := dataCentreName(d)
		for n := range servers {
			byDataCentre[name] = append(byDataCentre[name], f.addServerIn(t, fmt.Sprintf("%s%d", name, n), name))
		}
	}
	f.waitUntilServed(t, 1)
	time.Sleep(settle)
	return f, byDataCentre
}

// addServerIn starts a plain server in a data centre and lists it.
func (f *fleet) addServerIn(t *testing.T, id, dataCentre string) *standin.Server {
	t.Helper()
	s := &standin.Server{ID: id, Service: plain, Zone: dataCentre, StartUnixMS: 1, Slots: 8, Executions: f.executions}
	assert.NilError(t, s.Start("127.0.0.1", f.group))
	t.Cleanup(s.Crash)
	assert.NilError(t, f.store.AddEntry(s))
	return s
}

func (f *fleet) evacuate(dataCentre string) { f.store.PutRaw("op/evacuate/"+dataCentre, []byte("{}")) }

func (f *fleet) endEvacuation(dataCentre string) { f.store.Delete("op/evacuate/" + dataCentre) }

// sendFor sends requests to all instances in turn for the duration, and returns the number of
// them that were not served.
func (f *fleet) sendFor(t *testing.T, d time.Duration) int {
	t.Helper()
	failed := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for n := range f.callers {
			if f.send(t, n, 1) != http.StatusOK {
				failed++
			}
		}
	}
	return failed
}

// arrivalsSince returns the number of requests that arrived at the servers since a time, and
// the latest of these times.
func arrivalsSince(servers []*standin.Server, since time.Time) (count int, latest time.Time) {
	for _, s := range servers {
		for _, at := range s.Arrivals() {
			if at.After(since) {
				count++
				if at.After(latest) {
					latest = at
				}
			}
		}
	}
	return count, latest
}

// checkEvacuated sends requests while a data centre is evacuated from a time, and checks that
// none arrives there later than the limit.
func (f *fleet) checkEvacuated(t *testing.T, servers []*standin.Server, from time.Time, limit, d time.Duration) {
	t.Helper()
	assert.Check(t, f.sendFor(t, d) == 0)
	count, latest := arrivalsSince(servers, from)
	t.Logf("%d requests arrived after the order, the last one %v after it", count, max(0, latest.Sub(from)))
	late, _ := arrivalsSince(servers, from.Add(limit))
	assert.Check(t, late == 0, "%d requests arrived more than %v after the order", late, limit)
}

// checkUsed checks that requests arrive at the servers again within the limit.
func (f *fleet) checkUsed(t *testing.T, servers []*standin.Server, limit time.Duration) {
	t.Helper()
	from := time.Now()
	assert.Check(t, f.sendFor(t, limit) == 0)
	count, _ := arrivalsSince(servers, from)
	assert.Check(t, count > 0, "no request arrived within %v", limit)
}

// cutFromStore cuts off the nth instance from the store.
func (f *fleet) cutFromStore(n int) {
	f.ownProxies[n].Set(netip.MustParseAddr("127.0.0.1"), bench.Cut)
}

func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	tests := map[string]struct {
		options fleetOptions
		// before happens before the order.
		before func(f *fleet)
	}{
		"three instances in three data centres": {options: fleetOptions{instances: 3, dataCentres: 3}},
		"three instances in two data centres":   {options: fleetOptions{instances: 3, dataCentres: 2}},
		"one instance is cut off from the store": {
			options: fleetOptions{instances: 3, dataCentres: 3, hasOwnProxies: true},
			before:  func(f *fleet) { f.cutFromStore(2); time.Sleep(settle) },
		},
		"all but one instance are cut off from the store": {
			options: fleetOptions{instances: 3, dataCentres: 3, hasOwnProxies: true},
			before:  func(f *fleet) { f.cutFromStore(0); f.cutFromStore(2); time.Sleep(settle) },
		},
		"the order is written twice": {
			options: fleetOptions{instances: 3, dataCentres: 3},
			before:  func(f *fleet) { f.evacuate("b"); time.Sleep(settle) },
		},
		"orders for unknown and malformed names are present": {
			options: fleetOptions{instances: 3, dataCentres: 3},
			before: func(f *fleet) {
				for _, name := range []string{"nowhere", "", "\xff\xfe", string(make([]byte, 300))} {
					f.evacuate(name)
				}
				time.Sleep(settle)
			},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, servers := startEvacuable(t, test.options, 2)
			if test.before != nil {
				test.before(f)
			}
			f.evacuate("b")
			f.checkEvacuated(t, servers["b"], time.Now(), evacuationGoal, evacuationTime)
			f.endEvacuation("b")
			f.checkUsed(t, servers["b"], evacuationGoal)
		})
	}
}

// TestRequestsAreRefusedAtOnceWhereAllDataCentresAreEvacuated guards against requests that
// wait for their whole time, and against a fallback to evacuated data centres.
func TestRequestsAreRefusedAtOnceWhereAllDataCentresAreEvacuated(t *testing.T) {
	f, servers := startEvacuable(t, fleetOptions{instances: 3, dataCentres: 2}, 2)
	f.evacuate("a")
	f.evacuate("b")
	from := time.Now()
	time.Sleep(evacuationGoal)
	for n := range f.callers {
		startedAt := time.Now()
		status, header := f.sendForHeader(t, n)
		assert.Check(t, status == http.StatusServiceUnavailable && header.Get("Retry-After") != "", "status %d, headers %v", status, header)
		assert.Check(t, time.Since(startedAt) < 300*time.Millisecond)
	}
	for _, name := range []string{"a", "b"} {
		count, _ := arrivalsSince(servers[name], from.Add(evacuationGoal))
		assert.Equal(t, count, 0)
	}
	f.endEvacuation("a")
	time.Sleep(evacuationGoal)
	f.checkUsed(t, servers["a"], evacuationGoal)
}

// sendForHeader sends a request through the nth instance and returns the status and the headers
// of the response.
func (f *fleet) sendForHeader(t *testing.T, n int) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/x", f.callers[n]), nil)
	assert.NilError(t, err)
	r.Host = host
	r.Header = standin.CallerRequest{ID: fmt.Sprintf("r%d", f.sent.Add(1)), Key: credential, Timeout: sendTimeout}.Header()
	response, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	response.Body.Close()
	return response.StatusCode, response.Header
}

// TestEvacuationAcrossStoreRestore guards against orders that a restored store has lost, and against
// lifted orders that it contains again. The operator writes again what was lost.
func TestEvacuationAcrossStoreRestore(t *testing.T) {
	// rewriteAfter is the time after which the operator has written again what was lost.
	const rewriteAfter = time.Second
	for _, instances := range []int{1, 3} {
		start := func(t *testing.T) (*fleet, []*standin.Server) {
			f, servers := startEvacuable(t, fleetOptions{instances: instances, dataCentres: 1}, 2)
			// While data centre a is evacuated, these serve.
			for n := range 2 {
				f.addServerIn(t, fmt.Sprintf("x%d", n), "b")
			}
			time.Sleep(settle)
			return f, servers["a"]
		}
		t.Run(fmt.Sprintf("lost order, %d instances", instances), func(t *testing.T) {
			t.Parallel()
			f, servers := start(t)
			saved := f.store.Copy()
			f.evacuate("a")
			f.checkEvacuated(t, servers, time.Now(), evacuationGoal, evacuationGoal)
			from := time.Now()
			f.restore(saved)
			f.sendFor(t, rewriteAfter)
			f.evacuate("a")
			f.checkEvacuated(t, servers, from, 0, 2*evacuationTime)
			f.endEvacuation("a")
			f.checkUsed(t, servers, evacuationGoal)
		})
		t.Run(fmt.Sprintf("lost order that is not written again, %d instances", instances), func(t *testing.T) {
			t.Parallel()
			f, servers := start(t)
			saved := f.store.Copy()
			f.evacuate("a")
			time.Sleep(evacuationGoal)
			f.restore(saved)
			from := time.Now()
			f.checkEvacuated(t, servers, from, 0, evacuationTime)
			f.sendFor(t, 3*time.Second-time.Since(from))
			f.checkUsed(t, servers, evacuationGoal)
		})
		t.Run(fmt.Sprintf("lifted order, %d instances", instances), func(t *testing.T) {
			t.Parallel()
			f, servers := start(t)
			f.evacuate("a")
			time.Sleep(settle)
			saved := f.store.Copy()
			f.endEvacuation("a")
			time.Sleep(evacuationGoal)
			f.restore(saved)
			for range 4 {
				f.checkUsed(t, servers, rewriteAfter/4)
			}
			f.endEvacuation("a")
			for range 10 {
				f.checkUsed(t, servers, evacuationTime/5)
			}
		})
	}
}
