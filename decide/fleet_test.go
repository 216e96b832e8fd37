package decide_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/ident"
)

// fleet is the schedulers of some instances of one data centre.
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

// step gives an instance an event and returns what it places. The others learn
// of it by notices.
func (f *fleet) step(now time.Time, instance int, e decide.Event) []decide.Place {
	places, notices := split(f.instances[instance].Step(now, e))
	f.deliver(now, instance, notices)
	return places
}

func (f *fleet) deliver(now time.Time, from int, notices []decide.Notice) {
	for _, n := range notices {
		for i, s := range f.instances {
			if i != from {
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

func runAt(instance, n, prompt int) decide.Request {
	id := ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(instance + 1)}, Sequence: uint64(n)}
	class := draftClass
	class.WaitTarget = 2 * time.Second
	return decide.Request{ID: id, Team: "reef", Class: class, PromptTokens: prompt, MaxOutputTokens: 100, StartBy: epoch.Add(class.WaitTarget)}
}

func engineOf(name string, capacity int) decide.Upstream {
	return decide.Upstream{
		Name: name, Pool: "drafting", DataCentre: "a", Incarnation: 1, Slots: 24, CapacityTokens: capacity, StepTime: 10 * time.Millisecond,
	}
}

// TestNewEngineIsNotRushed plays an engine that becomes ready while a request
// waits at each of eight instances, which all learn of it in the same moment:
// it gets no more than it can read in time.
func TestNewEngineIsNotRushed(t *testing.T) {
	const instances, prompt = 8, 2700
	busy, idle := engineOf("busy", 1_000_000), engineOf("idle", 1_000_000)
	f := newFleet(instances, []decide.Upstream{busy})
	assert.Equal(t, len(f.step(epoch, 0, decide.Arrived{Request: runAt(0, 1, 30_000)})), 1)
	for i := range instances {
		assert.Equal(t, len(f.step(epoch, i, decide.Arrived{Request: runAt(i, 2, prompt)})), 0, "the busy engine has enough to read")
	}
	now, placed := epoch.Add(100*time.Millisecond), 0
	for _, s := range f.instances {
		// The notices of what each does come to the others only later.
		places, _ := split(s.Step(now, decide.UpstreamsChanged{Upstreams: []decide.Upstream{busy, idle}}))
		placed += len(places)
	}
	assert.Assert(t, placed > 0)
	assert.Assert(t, placed <= 3, "%d prompts of %d tokens were sent to one engine at once", placed, prompt)
}

// TestMovesCountElsewhere plays an engine that leaves: what moves takes its
// destination's memory from the first copy on, so another instance places
// nothing there that would not fit beside it.
func TestMovesCountElsewhere(t *testing.T) {
	const capacity = 10_000
	leaving, destination := engineOf("leaving", capacity), engineOf("destination", capacity)
	for name, test := range map[string]struct {
		// end ends the move.
		end  decide.Event
		fits bool
	}{
		"under way":    {},
		"moved":        {end: decide.Relocated{ID: runAt(0, 1, 0).ID, Moved: true}},
		"not moved":    {end: decide.Relocated{ID: runAt(0, 1, 0).ID}, fits: true},
		"run is over":  {end: decide.Ended{ID: runAt(0, 1, 0).ID, Tokens: 90}, fits: true},
		"tried anew":   {end: decide.Relocating{ID: runAt(0, 1, 0).ID}},
		"nowhere else": {end: decide.Relocating{ID: runAt(0, 1, 0).ID, Avoid: []string{"destination"}}, fits: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(2, []decide.Upstream{leaving})
			assert.Equal(t, len(f.step(epoch, 0, decide.Arrived{Request: runAt(0, 1, 6000)})), 1)
			now := epoch.Add(time.Second)
			f.step(now, 0, decide.Progressed{ID: runAt(0, 1, 0).ID, Tokens: 4})
			left := leaving
			left.Leaving = true
			for i := range f.instances {
				f.step(now, i, decide.UpstreamsChanged{Upstreams: []decide.Upstream{left, destination}})
			}
			assert.Equal(t, len(f.step(now, 0, decide.Relocating{ID: runAt(0, 1, 0).ID})), 1)
			if test.end != nil {
				f.step(now, 0, test.end)
			}
			got := f.step(now.Add(10*time.Millisecond), 1, decide.Arrived{Request: runAt(1, 2, 6000)})
			assert.Equal(t, len(got) == 1, test.fits)
		})
	}
}

// TestMovesAreSpread plays an engine that leaves with twelve runs, each of
// another instance: they look for a place in the same moment, and no engine is
// asked to hold more than it can.
func TestMovesAreSpread(t *testing.T) {
	const runs, prompt, capacity = 12, 3000, 27_000
	leaving := engineOf("leaving", runs*prompt*2)
	upstreams := []decide.Upstream{leaving}
	f := newFleet(runs, upstreams)
	now := epoch
	for i := range f.instances {
		now = now.Add(time.Second)
		assert.Equal(t, len(f.step(now, i, decide.Arrived{Request: runAt(i, 1, prompt)})), 1)
		f.step(now, i, decide.Progressed{ID: runAt(i, 1, 0).ID, Tokens: 4})
	}
	upstreams[0].Leaving = true
	for _, name := range []string{"e1", "e2", "e3", "e4"} {
		upstreams = append(upstreams, engineOf(name, capacity))
	}
	for i := range f.instances {
		f.step(now, i, decide.UpstreamsChanged{Upstreams: upstreams})
	}
	held := map[string]int{}
	for i, s := range f.instances {
		// The notices of what each does come to the others only later.
		places, _ := split(s.Step(now, decide.Relocating{ID: runAt(i, 1, 0).ID}))
		assert.Equal(t, len(places), 1)
		held[places[0].Upstream.Name] += prompt
	}
	for name, tokens := range held {
		assert.Assert(t, tokens <= capacity, "%s gets %d tokens", name, tokens)
	}
}
