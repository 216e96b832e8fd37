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

// lone is one control state and a clock.
type lone struct {
	now   time.Time
	state *control.State
	last  *control.Snapshot
}

var start = time.UnixMilli(1_700_000_000_000)

func engineAt(incarnation ident.Incarnation) decide.Upstream {
	return decide.Upstream{Name: "engine", Pool: "p", DataCentre: "dc0", Incarnation: incarnation}
}

// newLone returns a state with one upstream.
func newLone() *lone {
	l := &lone{now: start, state: control.New("a", "dc0"), last: &control.Snapshot{}}
	l.list(engineAt(1))
	return l
}

func (l *lone) step(e control.Event) []control.Action {
	actions := l.state.Step(l.now, e)
	for _, action := range actions {
		if publish, ok := action.(control.Publish); ok {
			l.last = publish.Snapshot
		}
	}
	return actions
}

func (l *lone) list(upstreams ...decide.Upstream) {
	l.step(control.ListRead{Upstreams: upstreams, ReadAt: l.now, AskedAt: l.now})
}

// pass lets time pass, with a tick at its end.
func (l *lone) pass(length time.Duration) []control.Action {
	l.now = l.now.Add(length)
	return l.step(control.Tick{})
}

func (l *lone) arrive(sequence uint64) []control.Action {
	return l.step(control.SchedulerEvent{Event: decide.Arrived{Request: decide.Request{
		ID: ident.Request{Sequence: sequence}, Class: config.Class{Name: "c", Pool: "p"},
	}}})
}

// placed returns the requests that the actions place.
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
	heard := func(l *lone, askedAt time.Time) []control.Action {
		return l.step(control.ConfigVersionRead{Version: 1, AskedAt: askedAt})
	}
	tests := map[string]struct {
		after func(l *lone) []control.Action
		want  []uint64
	}{
		"until an answer to a question asked after it": {func(l *lone) []control.Action {
			return heard(l, l.now.Add(time.Millisecond))
		}, []uint64{1, 2}},
		"and not until one to a question asked before it": {func(l *lone) []control.Action {
			return heard(l, l.now.Add(-time.Second))
		}, nil},
		"and not for a heartbeat that may have waited as long": {func(l *lone) []control.Action {
			return l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}})
		}, nil},
		"and not until the platform alone answers when it has peers": {func(l *lone) []control.Action {
			l.step(control.ListRead{Entries: []member.ListedInstance{{Name: "b", DataCentre: "dc0"}}, Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: l.now})
			l.pass(time.Second)
			return heard(l, l.now.Add(time.Millisecond))
		}, nil},
		"until a peer answers": {func(l *lone) []control.Action {
			return l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{Name: "b", DataCentre: "dc0"}, AskedAt: l.now.Add(time.Millisecond)})
		}, []uint64{1, 2}},
		"but not for long when it is cut off": {func(l *lone) []control.Action {
			return l.pass(3 * time.Second)
		}, []uint64{1, 2}},
		"and not those that ended meanwhile": {func(l *lone) []control.Action {
			l.step(control.SchedulerEvent{Event: decide.Ended{ID: ident.Request{Sequence: 1}}})
			return heard(l, l.now.Add(time.Millisecond))
		}, []uint64{2}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLone()
			l.now = l.now.Add(time.Minute)
			l.step(control.Paused{Gap: time.Minute})
			assert.Equal(t, len(l.arrive(1))+len(l.arrive(2)), 0)
			assert.DeepEqual(t, placed(test.after(l)), test.want)
		})
	}
}

func TestPausedInstanceHoldsSoMany(t *testing.T) {
	l := newLone()
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

func TestRefusalThatSaysLeaving(t *testing.T) {
	refusal := control.SchedulerEvent{Event: decide.Failed{Upstream: "engine", Reason: verdict.UpstreamLeaving}}
	tests := map[string]struct {
		listedFor time.Duration
		marks     bool
	}{
		"of an incarnation listed for long marks it":             {time.Minute, true},
		"of one listed just now may be its predecessor's: asked": {time.Second, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLone()
			l.pass(test.listedFor)
			actions := l.step(refusal)
			asked := slices.ContainsFunc(actions, func(a control.Action) bool { _, ok := a.(control.PollUpstream); return ok })
			assert.Equal(t, asked, !test.marks)
			assert.Equal(t, l.last.Upstreams[0].Leaving, test.marks)
		})
	}
}

func TestMarksAreForgottenWhenTheIncarnationIsGoneForLong(t *testing.T) {
	l := newLone()
	mark := member.LeavingMark{Upstream: "engine", Incarnation: 1}
	l.step(control.UpstreamLeaving{Mark: mark})
	l.pass(time.Hour)
	l.list(engineAt(1))
	assert.Assert(t, l.last.Upstreams[0].Leaving, "forgotten while it was listed")
	l.list()
	l.pass(9 * time.Minute)
	l.list(engineAt(1))
	assert.Assert(t, l.last.Upstreams[0].Leaving, "forgotten too soon")
	l.list()
	l.pass(11 * time.Minute)
	l.list(engineAt(1))
	assert.Assert(t, !l.last.Upstreams[0].Leaving, "kept for ever")
}

// Marks of upstreams that the list doesn't name must not fill the memory.
func TestMarksOfUnlistedUpstreamsAreBounded(t *testing.T) {
	l := newLone()
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

func TestOldIncarnationIsIgnoredHoweverLateItWakes(t *testing.T) {
	l := newLone()
	hear := func(incarnation ident.Incarnation, marks ...member.LeavingMark) {
		l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{
			Name: "b", DataCentre: "dc0", Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.2:1"), Incarnation: incarnation}, Leaving: marks,
		}})
	}
	l.now = l.now.Add(time.Second)
	l.step(control.ListRead{Entries: []member.ListedInstance{{Name: "b", DataCentre: "dc0"}}, Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: l.now})
	hear(2)
	l.pass(10 * time.Second)
	assert.Equal(t, len(l.last.Peers), 0)
	hear(1, member.LeavingMark{Upstream: "engine", Incarnation: 1})
	assert.Equal(t, len(l.last.Peers), 0)
	assert.Assert(t, !l.last.Upstreams[0].Leaving)
	hear(3)
	assert.Equal(t, len(l.last.Peers), 1)
}

func TestSlowListDoesNotUndoAQuickOne(t *testing.T) {
	l := newLone()
	slow := control.ListRead{Upstreams: []decide.Upstream{engineAt(1)}, ReadAt: l.now.Add(time.Second)}
	l.now = l.now.Add(5 * time.Second)
	l.list(engineAt(2))
	l.step(slow)
	assert.Equal(t, l.last.Upstreams[0].Incarnation, ident.Incarnation(2))
}

// A peer's list is taken when it appeared later than the own one, and not
// because it was read later.
func TestListOfAPeerIsFollowed(t *testing.T) {
	tests := map[string]struct {
		since, read time.Duration
		follows     bool
	}{
		"it appeared just now":             {0, 0, true},
		"it has stood for longer":          {-time.Minute, 0, false},
		"the own one is seen by nobody":    {-time.Minute, 6 * time.Second, true},
		"it appeared at the same time":     {-10 * time.Second, 0, false},
		"a few milliseconds lost on a way": {-10*time.Second + 20*time.Millisecond, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLone()
			l.now = l.now.Add(time.Minute)
			l.list(engineAt(2))
			l.now = l.now.Add(10 * time.Second)
			l.list(engineAt(2))
			actions := l.step(control.HeartbeatReceived{Heartbeat: member.Heartbeat{
				Name: "b", DataCentre: "dc0", ListHash: 1, ListRead: l.now.Add(test.read), ListSince: l.now.Add(test.since),
			}})
			follows := slices.ContainsFunc(actions, func(a control.Action) bool { _, ok := a.(control.FetchList); return ok })
			assert.Equal(t, follows, test.follows)
		})
	}
}

// What a newcomer reads first may be stale, and is no news to others.
func TestFirstListIsNoNews(t *testing.T) {
	l := newLone()
	l.list(engineAt(1))
	assert.Assert(t, l.now.Sub(l.last.ListSince) > time.Minute)
	l.now = l.now.Add(time.Second)
	l.list(engineAt(2))
	assert.Equal(t, l.last.ListSince, l.now)
}

// A list that lost most of what it named is believed only when it goes on
// coming; its signs of leaving are taken at once.
func TestListThatLostMostIsDoubted(t *testing.T) {
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
		"nothing left":               {nil, 0, 6},
		"nothing left for long":      {nil, 11 * time.Second, 0},
		"a third left":               {engines(2), 5 * time.Second, 6},
		"a third left, and a sign":   {leaving, 0, 5},
		"half of them left":          {engines(3), 0, 3},
		"as many, of which some new": {engines(8), 0, 8},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLone()
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

func TestDoubtEndsWithAWholeList(t *testing.T) {
	l := newLone()
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

// After a pause of its own an instance does not take its peers for dead, but
// for no longer than if they had been heard just now.
func TestPauseDoesNotSilenceThePeers(t *testing.T) {
	l := newLone()
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
