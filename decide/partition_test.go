package decide_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// serviceTime is the duration of a call. It is long enough to keep the
// upstream in the local data centre busy.
const serviceTime = 400 * time.Millisecond

// dialTimeout is the timeout for connecting to an unreachable upstream.
const dialTimeout = 300 * time.Millisecond

// simulateCall simulates a call to a plain service while some data centres are
// cut off. It returns the time that the call waited for unreachable upstreams.
func simulateCall(s *decide.Scheduler, now time.Time, n int, cutOff map[string]bool) time.Duration {
	var waited time.Duration
	var excluded []string
	for {
		id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
		class := config.Class{Name: "read", Pool: "drafting", Kind: config.Read, WaitTarget: time.Second}
		r := decide.Request{ID: id, Class: class, StartBy: now.Add(time.Second), Excluded: excluded, NeverSent: true}
		placed := false
		for _, action := range s.Step(now.Add(waited), decide.Arrived{Request: r}) {
			place, ok := action.(decide.Place)
			if !ok {
				continue
			}
			placed = true
			if !cutOff[place.Upstream.DataCentre] {
				return waited
			}
			waited += dialTimeout
			s.Step(now.Add(waited), decide.Failed{Upstream: place.Upstream.Name, Reason: verdict.UpstreamUnreachable})
			s.Step(now.Add(waited), decide.Ended{ID: id, Outcome: verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.UpstreamUnreachable}})
			excluded = append(excluded, place.Upstream.Name)
		}
		if !placed {
			return waited
		}
	}
}

// TestCallsAvoidPartitionedDataCentres simulates calls in a data centre that is
// cut off from two others for six seconds. 95% of the calls must not wait for an
// unreachable upstream, and after the partition the other data centres must get
// calls again.
func TestCallsAvoidPartitionedDataCentres(t *testing.T) {
	s := decide.New("a")
	var list []decide.Upstream
	for dataCentre, upstreams := range map[string]int{"a": 1, "b": 3, "c": 3} {
		for n := range upstreams {
			list = append(list, decide.Upstream{Name: fmt.Sprint(dataCentre, n), Pool: "drafting", DataCentre: dataCentre, Incarnation: 1, Slots: 6})
		}
	}
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: list})
	cutOff := map[string]bool{"b": true, "c": true}
	late, calls := 0, 0
	now := epoch
	for ; now.Before(epoch.Add(6 * time.Second)); now = now.Add(50 * time.Millisecond) {
		calls++
		if simulateCall(s, now, calls, cutOff) > 0 {
			late++
		}
		if ended := calls - int(serviceTime/(50*time.Millisecond)); ended > 0 {
			s.Step(now, decide.Ended{
				ID:      ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(ended)},
				Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed},
			})
		}
	}
	assert.Assert(t, late*20 <= calls, "%d of %d calls waited for a data centre that is cut off, want at most 5%%", late, calls)

	callsAfter := map[string]int{}
	for ; now.Before(epoch.Add(30 * time.Second)); now = now.Add(50 * time.Millisecond) {
		calls++
		id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(calls)}
		r := decide.Request{ID: id, Class: config.Class{Name: "read", Pool: "drafting", Kind: config.Read}, NeverSent: true}
		for _, action := range s.Step(now, decide.Arrived{Request: r}) {
			if place, ok := action.(decide.Place); ok {
				callsAfter[place.Upstream.DataCentre]++
			}
		}
	}
	assert.Assert(t, callsAfter["b"] > 0 && callsAfter["c"] > 0, "calls by data centre after the partition: %v, want calls in b and c", callsAfter)
}

// TestPartitionIsReported checks that the ejection and the recovery of a data
// centre are reported once each.
func TestPartitionIsReported(t *testing.T) {
	s := decide.New("a")
	list := []decide.Upstream{newEngine("b0", 1000), newEngine("b1", 1000)}
	for i := range list {
		list[i].DataCentre = "b"
	}
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: list})
	dataCentreEjections := func(now time.Time, e decide.Event) (ejections []decide.Ejected) {
		for _, action := range s.Step(now, e) {
			if ejected, ok := action.(decide.Ejected); ok && ejected.Upstream == "" {
				ejections = append(ejections, ejected)
			}
		}
		return ejections
	}
	assert.Equal(t, len(dataCentreEjections(epoch, decide.Failed{Upstream: "b0", Reason: verdict.UpstreamUnreachable})), 0)
	assert.DeepEqual(t, dataCentreEjections(epoch, decide.Failed{Upstream: "b1", Reason: verdict.UpstreamUnreachable}),
		[]decide.Ejected{{DataCentre: "b", Until: epoch.Add(time.Second)}})
	assert.Equal(t, len(dataCentreEjections(epoch, decide.Failed{Upstream: "b1", Reason: verdict.UpstreamUnreachable})), 0)
	now := epoch.Add(2 * time.Second)
	r := requestOf(0, 1, 100)
	assert.Equal(t, len(dataCentreEjections(now, decide.Arrived{Request: r})), 0)
	assert.DeepEqual(t, dataCentreEjections(now, decide.Progressed{ID: r.ID, Tokens: 4}), []decide.Ejected{{DataCentre: "b"}})
}
