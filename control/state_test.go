package control_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/verdict"
)

// harness contains one control state, its latest snapshot and a virtual clock.
type harness struct {
	now      time.Time
	state    *control.State
	snapshot *control.Snapshot
}

var start = time.UnixMilli(1_700_000_000_000)

func engineAt(incarnation ident.Incarnation) decide.Upstream {
	return decide.Upstream{Name: "engine", Pool: "p", DataCentre: "dc0", Incarnation: incarnation}
}

// newHarness returns a state with one upstream.
func newHarness() *harness {
	h := &harness{now: start, state: control.New("a", "dc0"), snapshot: &control.Snapshot{}}
	h.list(engineAt(1))
	return h
}

func (h *harness) step(e control.Event) []control.Action {
	actions := h.state.Step(h.now, e)
	for _, action := range actions {
		if publish, ok := action.(control.Publish); ok {
			h.snapshot = publish.Snapshot
		}
	}
	return actions
}

// list steps a read of the instance list with the upstreams and no entries.
func (h *harness) list(upstreams ...decide.Upstream) {
	h.step(control.ListRead{Upstreams: upstreams, ReadAt: h.now, RequestedAt: h.now})
}

// advance advances the clock and then steps a tick.
func (h *harness) advance(length time.Duration) []control.Action {
	h.now = h.now.Add(length)
	return h.step(control.Tick{})
}

// arrive steps the arrival of a request with the sequence number.
func (h *harness) arrive(sequence uint64) []control.Action {
	return h.step(control.SchedulerEvent{Event: decide.Arrived{Request: decide.Request{
		ID: ident.Request{Sequence: sequence}, Class: config.Class{Name: "c", Pool: "p"},
	}}})
}

// placed returns the sequence numbers of the requests that the actions place.
func placed(actions []control.Action) []uint64 {
	var sequences []uint64
	for _, action := range actions {
		if scheduled, ok := action.(control.SchedulerAction); ok {
			if place, ok := scheduled.Action.(decide.Place); ok {
				sequences = append(sequences, place.ID.Sequence)
			}
		}
	}
	return sequences
}

func TestPausedInstanceHoldsNewRequests(t *testing.T) {
	versionRead := func(h *harness, requestedAt time.Time) []control.Action {
		return h.step(control.ConfigVersionRead{Version: 1, RequestedAt: requestedAt})
	}
	tests := map[string]struct {
		event func(h *harness) []control.Action
		want  []uint64
	}{
		"released by the response to a request sent after the pause": {func(h *harness) []control.Action {
			return versionRead(h, h.now.Add(time.Millisecond))
		}, []uint64{1, 2}},
		"not released by the response to a request sent before the pause": {func(h *harness) []control.Action {
			return versionRead(h, h.now.Add(-time.Second))
		}, nil},
		"not released by a heartbeat that may have been queued during the pause": {func(h *harness) []control.Action {
			return h.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}})
		}, nil},
		"not released by the platform when there are peers": {func(h *harness) []control.Action {
			h.step(control.ListRead{Entries: []member.ListedInstance{{Name: "b", DataCentre: "dc0"}}, Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: h.now})
			h.advance(time.Second)
			return versionRead(h, h.now.Add(time.Millisecond))
		}, nil},
		"released by a peer's response": {func(h *harness) []control.Action {
			return h.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}, RequestedAt: h.now.Add(time.Millisecond)})
		}, []uint64{1, 2}},
		"released after a timeout without any response": {func(h *harness) []control.Action {
			return h.advance(3 * time.Second)
		}, []uint64{1, 2}},
		"requests that ended while held are not released": {func(h *harness) []control.Action {
			h.step(control.SchedulerEvent{Event: decide.Ended{ID: ident.Request{Sequence: 1}}})
			return versionRead(h, h.now.Add(time.Millisecond))
		}, []uint64{2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.now = h.now.Add(time.Minute)
			h.step(control.Paused{Gap: time.Minute})
			assert.Equal(t, len(h.arrive(1))+len(h.arrive(2)), 0)
			assert.DeepEqual(t, placed(test.event(h)), test.want)
		})
	}
}

func TestNumberOfHeldRequestsIsLimited(t *testing.T) {
	h := newHarness()
	h.step(control.Paused{Gap: time.Minute})
	refused := 0
	for i := range uint64(1100) {
		for _, action := range h.arrive(i + 1) {
			refuse := action.(control.SchedulerAction).Action.(decide.Refuse)
			assert.Equal(t, refuse.Reason, verdict.Overloaded)
			refused++
		}
	}
	assert.Equal(t, refused, 1100-1024)
}

func TestRefusalByLeavingUpstream(t *testing.T) {
	refusal := control.SchedulerEvent{Event: decide.Failed{Upstream: "engine", Reason: verdict.UpstreamLeaving}}
	tests := map[string]struct {
		listedFor time.Duration
		marks     bool
	}{
		"long-listed incarnation is marked":                                          {time.Minute, true},
		"newly listed incarnation is polled, since its predecessor may have refused": {time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.advance(test.listedFor)
			actions := h.step(refusal)
			polls := slices.ContainsFunc(actions, func(a control.Action) bool { _, ok := a.(control.PollUpstream); return ok })
			assert.Equal(t, polls, !test.marks)
			assert.Equal(t, h.snapshot.Upstreams[0].Leaving, test.marks)
		})
	}
}

func TestMarksExpireAfterLongAbsence(t *testing.T) {
	h := newHarness()
	mark := member.LeavingMark{Upstream: "engine", Incarnation: 1}
	h.step(control.UpstreamLeaving{Mark: mark})
	h.advance(time.Hour)
	h.list(engineAt(1))
	assert.Assert(t, h.snapshot.Upstreams[0].Leaving, "the mark must not be dropped while the upstream is listed")
	h.list()
	h.advance(9 * time.Minute)
	h.list(engineAt(1))
	assert.Assert(t, h.snapshot.Upstreams[0].Leaving, "the mark must not be dropped before its expiry")
	h.list()
	h.advance(11 * time.Minute)
	h.list(engineAt(1))
	assert.Assert(t, !h.snapshot.Upstreams[0].Leaving, "the mark must be dropped after its expiry")
}

// TestMarksOfUnlistedUpstreamsAreLimited checks that marks of upstreams that
// are not in the list can't exhaust the memory.
func TestMarksOfUnlistedUpstreamsAreLimited(t *testing.T) {
	h := newHarness()
	for i := range 10_000 {
		h.step(control.UpstreamLeaving{Mark: member.LeavingMark{Upstream: fmt.Sprint(i), Incarnation: 1}})
	}
	var all []decide.Upstream
	for i := range 10_000 {
		all = append(all, decide.Upstream{Name: fmt.Sprint(i), DataCentre: "dc0", Incarnation: 1})
	}
	h.now = h.now.Add(time.Second)
	h.list(all...)
	assert.Equal(t, len(h.snapshot.Leaving), 8192)
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	h := newHarness()
	heartbeat := func(incarnation ident.Incarnation, marks ...member.LeavingMark) {
		h.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{
			Name: "b", DataCentre: "dc0", Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.2:1"), Incarnation: incarnation}, Leaving: marks,
		}})
	}
	h.now = h.now.Add(time.Second)
	h.step(control.ListRead{Entries: []member.ListedInstance{{Name: "b", DataCentre: "dc0"}}, Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: h.now})
	heartbeat(2)
	h.advance(10 * time.Second)
	assert.Equal(t, len(h.snapshot.Peers), 0)
	heartbeat(1, member.LeavingMark{Upstream: "engine", Incarnation: 1})
	assert.Equal(t, len(h.snapshot.Peers), 0)
	assert.Assert(t, !h.snapshot.Upstreams[0].Leaving)
	heartbeat(3)
	assert.Equal(t, len(h.snapshot.Peers), 1)
}

func TestSlowListReadDoesNotReplaceNewerOne(t *testing.T) {
	h := newHarness()
	slow := control.ListRead{Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: h.now.Add(time.Second)}
	h.now = h.now.Add(5 * time.Second)
	h.list(engineAt(2))
	h.step(slow)
	assert.Equal(t, h.snapshot.Upstreams[0].Incarnation, ident.Incarnation(2))
}

// TestNewerListIsFetchedFromPeer checks that a peer's list replaces the current
// one if it appeared later, and not only because it was read later.
func TestNewerListIsFetchedFromPeer(t *testing.T) {
	tests := map[string]struct {
		since, read time.Duration
		fetches     bool
	}{
		"peer's list just appeared":                   {0, 0, true},
		"peer's list appeared earlier":                {-time.Minute, 0, false},
		"current list not confirmed for too long":     {-time.Minute, 6 * time.Second, true},
		"both appeared at the same time":              {-10 * time.Second, 0, false},
		"difference of a few milliseconds in transit": {-10*time.Second + 20*time.Millisecond, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.now = h.now.Add(time.Minute)
			h.list(engineAt(2))
			h.now = h.now.Add(10 * time.Second)
			h.list(engineAt(2))
			actions := h.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{
				Name: "b", DataCentre: "dc0", ListHash: 1, ListRead: h.now.Add(test.read), ListSince: h.now.Add(test.since),
			}})
			fetches := slices.ContainsFunc(actions, func(a control.Action) bool { _, ok := a.(control.FetchListFromPeer); return ok })
			assert.Equal(t, fetches, test.fetches)
		})
	}
}

// TestFirstListCountsAsOld checks that the first list read by a starting
// instance gets an old time of appearance: it may be stale, and must not
// replace the lists of peers.
func TestFirstListCountsAsOld(t *testing.T) {
	h := newHarness()
	h.list(engineAt(1))
	assert.Assert(t, h.now.Sub(h.snapshot.ListSince) > time.Minute)
	h.now = h.now.Add(time.Second)
	h.list(engineAt(2))
	assert.Equal(t, h.snapshot.ListSince, h.now)
}

// TestShrunkListIsHeldBack checks that a list which lost most of its names is
// applied only after such lists have arrived for the hold-back delay, and that
// its leaving marks are applied immediately.
func TestShrunkListIsHeldBack(t *testing.T) {
	engines := func(n int) []decide.Upstream {
		var all []decide.Upstream
		for i := range n {
			all = append(all, decide.Upstream{Name: fmt.Sprint("engine", i), Pool: "p", DataCentre: "dc0", Incarnation: 1})
		}
		return all
	}
	leaving := engines(2)
	leaving[1].Leaving = true
	tests := map[string]struct {
		upstreams []decide.Upstream
		elapsed   time.Duration
		wantLive  int
	}{
		"empty":                 {nil, 0, 6},
		"empty after the delay": {nil, 11 * time.Second, 0},
		"a third of the names":  {engines(2), 5 * time.Second, 6},
		"a third of the names, one marked leaving": {leaving, 0, 5},
		"half of the names":                        {engines(3), 0, 3},
		"all names and some new ones":              {engines(8), 0, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.now = h.now.Add(time.Second)
			h.list(engines(6)...)
			h.now = h.now.Add(time.Second)
			h.list(test.upstreams...)
			h.now = h.now.Add(test.elapsed)
			h.list(test.upstreams...)
			live := 0
			for _, u := range h.snapshot.Upstreams {
				if !u.Leaving {
					live++
				}
			}
			assert.Equal(t, live, test.wantLive)
		})
	}
}

// TestCompleteListRestartsHoldBack checks that empty lists which alternate with
// complete ones are never applied.
func TestCompleteListRestartsHoldBack(t *testing.T) {
	h := newHarness()
	var complete []decide.Upstream
	for i := range 6 {
		complete = append(complete, decide.Upstream{Name: fmt.Sprint("engine", i), DataCentre: "dc0", Incarnation: 1})
	}
	h.now = h.now.Add(time.Second)
	h.list(complete...)
	for range 5 {
		h.now = h.now.Add(4 * time.Second)
		h.list()
		assert.Equal(t, len(h.snapshot.Upstreams), 6)
		h.now = h.now.Add(4 * time.Second)
		h.list(complete...)
	}
}

// TestPeersStayAliveAfterOwnPause checks that an instance treats its peers as
// alive after its own pause, but for no longer than after a heartbeat received
// at the end of the pause.
func TestPeersStayAliveAfterOwnPause(t *testing.T) {
	h := newHarness()
	h.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}})
	h.now = h.now.Add(time.Minute)
	h.step(control.Paused{Gap: time.Minute})
	h.advance(0)
	assert.Equal(t, len(h.snapshot.Peers), 1)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.snapshot.Peers), 1)
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.snapshot.Peers), 0)
}
