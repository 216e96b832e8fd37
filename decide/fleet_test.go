package decide_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/ident"
)

// fleet contains the schedulers of several instances in one data centre.
type fleet struct{ instances []*decide.Scheduler }

func newFleet(instances int, upstreams []decide.Upstream) *fleet {
	f := &fleet{}
	for range instances {
		s := decide.New("a")
		s.Step(epoch, decide.UpstreamsChanged{Upstreams: upstreams})
		f.instances = append(f.instances, s)
	}
	return f
}

// step passes an event to an instance and the resulting notices to the others.
// It returns the instance's placements.
func (f *fleet) step(now time.Time, instance int, e decide.Event) []decide.Place {
	places, notices := split(f.instances[instance].Step(now, e))
	f.deliver(now, instance, notices)
	return places
}

func (f *fleet) deliver(now time.Time, sender int, notices []decide.Notice) {
	for _, n := range notices {
		for i, s := range f.instances {
			if i != sender {
				s.Step(now, decide.NoticeReceived{Notice: n})
			}
		}
	}
}

func split(actions []decide.Action) (places []decide.Place, notices []decide.Notice) {
	for _, action := range actions {
		switch a := action.(type) {
		case decide.Place:
			places = append(places, a)
		case decide.Notify:
			notices = append(notices, a.Notice)
		}
	}
	return places, notices
}

func requestOf(instance, n, prompt int) decide.Request {
	id := ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(instance + 1)}, Sequence: uint64(n)}
	class := draftClass
	class.WaitTarget = 2 * time.Second
	return decide.Request{ID: id, Team: "reef", Class: class, PromptTokens: prompt, MaxOutputTokens: 100, StartBy: epoch.Add(class.WaitTarget)}
}

func newEngine(name string, capacity int) decide.Upstream {
	return decide.Upstream{
		Name: name, Pool: "drafting", DataCentre: "a", Incarnation: 1, Slots: 24, CapacityTokens: capacity, StepTime: 10 * time.Millisecond,
	}
}

// TestNewEngineIsNotOverloaded simulates an engine that becomes ready while
// each of eight instances has a queued request. They all receive the new list of
// upstreams at the same time, but together must not send the engine more than
// it can prefill in time.
func TestNewEngineIsNotOverloaded(t *testing.T) {
	const instances, prompt = 8, 2700
	busy, idle := newEngine("busy", 1_000_000), newEngine("idle", 1_000_000)
	f := newFleet(instances, []decide.Upstream{busy})
	assert.Equal(t, len(f.step(epoch, 0, decide.Arrived{Request: requestOf(0, 1, 30_000)})), 1)
	for i := range instances {
		assert.Equal(t, len(f.step(epoch, i, decide.Arrived{Request: requestOf(i, 2, prompt)})), 0, "no request must be placed on the busy engine, whose prefill backlog is full")
	}
	now, placed := epoch.Add(100*time.Millisecond), 0
	for _, s := range f.instances {
		// Notices are not delivered yet, so the instances don't count each other's
		// placements.
		places, _ := split(s.Step(now, decide.UpstreamsChanged{Upstreams: []decide.Upstream{busy, idle}}))
		placed += len(places)
	}
	assert.Assert(t, placed > 0)
	assert.Assert(t, placed <= 3, "%d prompts of %d tokens were sent to one engine at the same time", placed, prompt)
}

// TestMoveCountsAtOtherInstances simulates a leaving engine. A request that is
// being moved occupies memory on its destination from the start of the copy,
// so another instance must not place a request there that doesn't fit in
// addition.
func TestMoveCountsAtOtherInstances(t *testing.T) {
	const capacity = 10_000
	leaving, destination := newEngine("leaving", capacity), newEngine("destination", capacity)
	for name, test := range map[string]struct {
		// end is the event that ends the move, if any.
		end  decide.Event
		fits bool
	}{
		"in progress":    {},
		"moved":          {end: decide.MoveEnded{ID: requestOf(0, 1, 0).ID, Moved: true}},
		"not moved":      {end: decide.MoveEnded{ID: requestOf(0, 1, 0).ID}, fits: true},
		"request ended":  {end: decide.Ended{ID: requestOf(0, 1, 0).ID, Tokens: 90}, fits: true},
		"retried":        {end: decide.MoveRequested{ID: requestOf(0, 1, 0).ID}},
		"no destination": {end: decide.MoveRequested{ID: requestOf(0, 1, 0).ID, Excluded: []string{"destination"}}, fits: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, []decide.Upstream{leaving})
			assert.Equal(t, len(f.step(epoch, 0, decide.Arrived{Request: requestOf(0, 1, 6000)})), 1)
			now := epoch.Add(time.Second)
			f.step(now, 0, decide.Progressed{ID: requestOf(0, 1, 0).ID, Tokens: 4})
			marked := leaving
			marked.Leaving = true
			for i := range f.instances {
				f.step(now, i, decide.UpstreamsChanged{Upstreams: []decide.Upstream{marked, destination}})
			}
			assert.Equal(t, len(f.step(now, 0, decide.MoveRequested{ID: requestOf(0, 1, 0).ID})), 1)
			if test.end != nil {
				f.step(now, 0, test.end)
			}
			placed := f.step(now.Add(10*time.Millisecond), 1, decide.Arrived{Request: requestOf(1, 2, 6000)})
			assert.Equal(t, len(placed) == 1, test.fits)
		})
	}
}

// TestMovesAreSpread simulates a leaving engine with twelve requests, each of
// a different instance. All instances choose destinations at the same time,
// but no engine must get more than fits in its memory.
func TestMovesAreSpread(t *testing.T) {
	const requests, prompt, capacity = 12, 3000, 27_000
	leaving := newEngine("leaving", requests*prompt*2)
	upstreams := []decide.Upstream{leaving}
	f := newFleet(requests, upstreams)
	now := epoch
	for i := range f.instances {
		now = now.Add(time.Second)
		assert.Equal(t, len(f.step(now, i, decide.Arrived{Request: requestOf(i, 1, prompt)})), 1)
		f.step(now, i, decide.Progressed{ID: requestOf(i, 1, 0).ID, Tokens: 4})
	}
	upstreams[0].Leaving = true
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		upstreams = append(upstreams, newEngine(name, capacity))
	}
	for i := range f.instances {
		f.step(now, i, decide.UpstreamsChanged{Upstreams: upstreams})
	}
	tokensByEngine := map[string]int{}
	for i, s := range f.instances {
		// Notices are not delivered yet, so the instances don't count each other's
		// placements.
		places, _ := split(s.Step(now, decide.MoveRequested{ID: requestOf(i, 1, 0).ID}))
		assert.Equal(t, len(places), 1)
		tokensByEngine[places[0].Upstream.Name] += prompt
	}
	for name, tokens := range tokensByEngine {
		assert.Assert(t, tokens <= capacity, "%s got %d tokens, more than its memory holds", name, tokens)
	}
}
