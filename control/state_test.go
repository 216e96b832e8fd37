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

// harness is one control state with a virtual clock.
type harness struct {
	now   time.Time
	state *control.State
	last  *control.Snapshot
}

var start = time.UnixMilli(1_700_000_000_000)

func engineAt(incarnation ident.Incarnation) decide.Upstream {
	return decide.Upstream{Name: "engine", Pool: "p", DataCentre: "dc0", Incarnation: incarnation}
}

// newHarness returns a state with one upstream.
func newHarness() *harness {
	l := &harness{now: start, state: control.New("a", "dc0"), last: &control.Snapshot{}}
	l.list(engineAt(1))
	return l
}

func (l *harness) step(e control.Event) []control.Action {
	actions := l.state.Step(l.now, e)
	for _, action := range actions {
		if publish, ok := action.(control.Publish); ok {
			l.last = publish.Snapshot
		}
	}
	return actions
}

func (l *harness) list(upstreams ...decide.Upstream) {
	l.step(control.ListRead{Upstreams: upstreams, ReadAt: l.now, RequestedAt: l.now})
}

// pass advances the clock and ends with a tick.
func (l *harness) pass(length time.Duration) []control.Action {
	l.now = l.now.Add(length)
	return l.step(control.Tick{})
}

func (l *harness) arrive(sequence uint64) []control.Action {
	return l.step(control.SchedulerEvent{Event: decide.Arrived{Request: decide.Request{
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
	versionAnswer := func(l *harness, askedAt time.Time) []control.Action {
		return l.step(control.ConfigVersionRead{Version: 1, RequestedAt: askedAt})
	}
	tests := map[string]struct {
		after func(l *harness) []control.Action
		want  []uint64
	}{
		"released by an answer to a question asked after the pause": {func(l *harness) []control.Action {
			return versionAnswer(l, l.now.Add(time.Millisecond))
		}, []uint64{1, 2}},
		"not released by an answer to a question asked before the pause": {func(l *harness) []control.Action {
			return versionAnswer(l, l.now.Add(-time.Second))
		}, nil},
		"not released by a heartbeat that may have been queued during the pause": {func(l *harness) []control.Action {
			return l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}})
		}, nil},
		"not released by the platform when there are peers": {func(l *harness) []control.Action {
			l.step(control.ListRead{Entries: []member.ListedInstance{{Name: "b", DataCentre: "dc0"}}, Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: l.now})
			l.pass(time.Second)
			return versionAnswer(l, l.now.Add(time.Millisecond))
		}, nil},
		"released by a peer's answer": {func(l *harness) []control.Action {
			return l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}, RequestedAt: l.now.Add(time.Millisecond)})
		}, []uint64{1, 2}},
		"released after a timeout without any answer": {func(l *harness) []control.Action {
			return l.pass(3 * time.Second)
		}, []uint64{1, 2}},
		"requests that ended meanwhile are not released": {func(l *harness) []control.Action {
			l.step(control.SchedulerEvent{Event: decide.Ended{ID: ident.Request{Sequence: 1}}})
			return versionAnswer(l, l.now.Add(time.Millisecond))
		}, []uint64{2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newHarness()
			l.now = l.now.Add(time.Minute)
			l.step(control.Paused{Gap: time.Minute})
			assert.Equal(t, len(l.arrive(1))+len(l.arrive(2)), 0)
			assert.DeepEqual(t, placed(test.after(l)), test.want)
		})
	}
}

func TestHeldRequestsAreBounded(t *testing.T) {
	l := newHarness()
	l.step(control.Paused{Gap: time.Minute})
	refused := 0
	for i := range uint64(1100) {
		for _, action := range l.arrive(i + 1) {
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
			l := newHarness()
			l.pass(test.listedFor)
			actions := l.step(refusal)
			asked := slices.ContainsFunc(actions, func(a control.Action) bool { _, ok := a.(control.PollUpstream); return ok })
			assert.Equal(t, asked, !test.marks)
			assert.Equal(t, l.last.Upstreams[0].Leaving, test.marks)
		})
	}
}

func TestMarksExpireAfterLongAbsence(t *testing.T) {
	l := newHarness()
	mark := member.LeavingMark{Upstream: "engine", Incarnation: 1}
	l.step(control.UpstreamLeaving{Mark: mark})
	l.pass(time.Hour)
	l.list(engineAt(1))
	assert.Assert(t, l.last.Upstreams[0].Leaving, "dropped while it was listed")
	l.list()
	l.pass(9 * time.Minute)
	l.list(engineAt(1))
	assert.Assert(t, l.last.Upstreams[0].Leaving, "dropped too soon")
	l.list()
	l.pass(11 * time.Minute)
	l.list(engineAt(1))
	assert.Assert(t, !l.last.Upstreams[0].Leaving, "never dropped")
}

// Marks of upstreams that are not in the list must not fill the memory.
func TestMarksOfUnlistedUpstreamsAreBounded(t *testing.T) {
	l := newHarness()
	for i := range 10_000 {
		l.step(control.UpstreamLeaving{Mark: member.LeavingMark{Upstream: fmt.Sprint(i), Incarnation: 1}})
	}
	var all []decide.Upstream
	for i := range 10_000 {
		all = append(all, decide.Upstream{Name: fmt.Sprint(i), DataCentre: "dc0", Incarnation: 1})
	}
	l.now = l.now.Add(time.Second)
	l.list(all...)
	assert.Equal(t, len(l.last.Leaving), 8192)
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	l := newHarness()
	heartbeat := func(incarnation ident.Incarnation, marks ...member.LeavingMark) {
		l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{
			Name: "b", DataCentre: "dc0", Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.2:1"), Incarnation: incarnation}, Leaving: marks,
		}})
	}
	l.now = l.now.Add(time.Second)
	l.step(control.ListRead{Entries: []member.ListedInstance{{Name: "b", DataCentre: "dc0"}}, Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: l.now})
	heartbeat(2)
	l.pass(10 * time.Second)
	assert.Equal(t, len(l.last.Peers), 0)
	heartbeat(1, member.LeavingMark{Upstream: "engine", Incarnation: 1})
	assert.Equal(t, len(l.last.Peers), 0)
	assert.Assert(t, !l.last.Upstreams[0].Leaving)
	heartbeat(3)
	assert.Equal(t, len(l.last.Peers), 1)
}

func TestSlowListReadDoesNotUndoNewerOne(t *testing.T) {
	l := newHarness()
	slow := control.ListRead{Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: l.now.Add(time.Second)}
	l.now = l.now.Add(5 * time.Second)
	l.list(engineAt(2))
	l.step(slow)
	assert.Equal(t, l.last.Upstreams[0].Incarnation, ident.Incarnation(2))
}

// A peer's list replaces the own one if it appeared later, not because it was
// read later.
func TestNewerListIsFetchedFromPeer(t *testing.T) {
	tests := map[string]struct {
		since, read time.Duration
		follows     bool
	}{
		"peer's list just appeared":                   {0, 0, true},
		"peer's list appeared earlier":                {-time.Minute, 0, false},
		"own list not confirmed for too long":         {-time.Minute, 6 * time.Second, true},
		"both appeared at the same time":              {-10 * time.Second, 0, false},
		"difference of a few milliseconds in transit": {-10*time.Second + 20*time.Millisecond, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newHarness()
			l.now = l.now.Add(time.Minute)
			l.list(engineAt(2))
			l.now = l.now.Add(10 * time.Second)
			l.list(engineAt(2))
			actions := l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{
				Name: "b", DataCentre: "dc0", ListHash: 1, ListRead: l.now.Add(test.read), ListSince: l.now.Add(test.since),
			}})
			follows := slices.ContainsFunc(actions, func(a control.Action) bool { _, ok := a.(control.FetchListFromPeer); return ok })
			assert.Equal(t, follows, test.follows)
		})
	}
}

// The first list that a starting instance reads may be stale, and must not
// replace the lists of its peers.
func TestFirstListCountsAsOld(t *testing.T) {
	l := newHarness()
	l.list(engineAt(1))
	assert.Assert(t, l.now.Sub(l.last.ListSince) > time.Minute)
	l.now = l.now.Add(time.Second)
	l.list(engineAt(2))
	assert.Equal(t, l.last.ListSince, l.now)
}

// A list that lost most of its names is applied only after it has been read for
// a while; its leaving marks are applied at once.
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
		next  []decide.Upstream
		after time.Duration
		want  int
	}{
		"empty":                {nil, 0, 6},
		"empty for long":       {nil, 11 * time.Second, 0},
		"a third of the names": {engines(2), 5 * time.Second, 6},
		"a third of the names, one marked leaving": {leaving, 0, 5},
		"half of the names":                        {engines(3), 0, 3},
		"all names and some new ones":              {engines(8), 0, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newHarness()
			l.now = l.now.Add(time.Second)
			l.list(engines(6)...)
			l.now = l.now.Add(time.Second)
			l.list(test.next...)
			l.now = l.now.Add(test.after)
			l.list(test.next...)
			live := 0
			for _, u := range l.last.Upstreams {
				if !u.Leaving {
					live++
				}
			}
			assert.Equal(t, live, test.want)
		})
	}
}

func TestCompleteListRestartsHoldBack(t *testing.T) {
	l := newHarness()
	var whole []decide.Upstream
	for i := range 6 {
		whole = append(whole, decide.Upstream{Name: fmt.Sprint("engine", i), DataCentre: "dc0", Incarnation: 1})
	}
	l.now = l.now.Add(time.Second)
	l.list(whole...)
	for range 5 {
		l.now = l.now.Add(4 * time.Second)
		l.list()
		assert.Equal(t, len(l.last.Upstreams), 6)
		l.now = l.now.Add(4 * time.Second)
		l.list(whole...)
	}
}

// After its own pause an instance must not take its peers for dead, but must
// also not keep them alive for longer than after a heartbeat at that moment.
func TestPeersStayAliveAfterOwnPause(t *testing.T) {
	l := newHarness()
	l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}})
	l.now = l.now.Add(time.Minute)
	l.step(control.Paused{Gap: time.Minute})
	l.pass(0)
	assert.Equal(t, len(l.last.Peers), 1)
	l.pass(2 * time.Second)
	assert.Equal(t, len(l.last.Peers), 1)
	l.pass(2 * time.Second)
	assert.Equal(t, len(l.last.Peers), 0)
}
