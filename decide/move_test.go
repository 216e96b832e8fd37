package decide_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// declared returns a scheduler in data centre a, whose engines declare their
// memory and send no reports.
func declared(leaving string, engines map[string]string) *decide.Scheduler {
	s := decide.New("a")
	s.Step(epoch, changed(leaving, engines))
	return s
}

func changed(leaving string, engines map[string]string) decide.UpstreamsChanged {
	var list []decide.Upstream
	for name, dataCentre := range engines {
		list = append(list, decide.Upstream{
			Name: name, Pool: "drafting", DataCentre: dataCentre, Incarnation: 1, Slots: 8, CapacityTokens: engineTokens,
			StepTime: 10 * time.Millisecond, Leaving: name == leaving,
		})
	}
	return decide.UpstreamsChanged{Upstreams: list}
}

func arrive(s *decide.Scheduler, n int, prompt int) (place decide.Place, refused bool) {
	return arriveAt(s, epoch, n, prompt)
}

func arriveAt(s *decide.Scheduler, now time.Time, n int, prompt int) (place decide.Place, refused bool) {
	id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
	r := decide.Request{ID: id, Team: "reef", Class: draftClass, PromptTokens: prompt, MaxOutputTokens: 100, StartBy: now.Add(time.Second)}
	for _, action := range s.Step(now, decide.Arrived{Request: r}) {
		switch a := action.(type) {
		case decide.Place:
			return a, false
		case decide.Refuse:
			return decide.Place{}, true
		}
	}
	return decide.Place{}, false
}

// TestPlacedByDeclaredMemory plays more drafts than the engines hold: none is
// sent to an engine beyond its memory.
func TestPlacedByDeclaredMemory(t *testing.T) {
	s := declared("", map[string]string{"e1": "a", "e2": "a"})
	used := map[string]int{}
	for n := range 20 {
		place, _ := arrive(s, n, 500)
		if place.Upstream.Name != "" {
			used[place.Upstream.Name] += 500
		}
	}
	assert.Assert(t, used["e1"] > 0 && used["e2"] > 0, "%v", used)
	for name, tokens := range used {
		assert.Assert(t, tokens <= engineTokens, "%s holds %d", name, tokens)
	}
}

// TestNearEnginesFirst plays a light load: a stream in its own data centre
// outlives the partition from others.
func TestNearEnginesFirst(t *testing.T) {
	s := declared("", map[string]string{"e1": "a", "e2": "b", "e3": "c"})
	near, now := 0, epoch
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		place, _ := arriveAt(s, now, n, 100)
		if place.Upstream.Name == "e1" {
			near++
		}
		s.Step(now, decide.Ended{ID: place.ID, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
	}
	assert.Assert(t, near > 30, "%d of 40 were placed in the own data centre", near)
}

// TestPromptsAreSpread plays a burst of long prompts: they wait for each other
// at an engine that reads them one after the other, so the longest wait is that
// of an even spread, whatever data centre they come from.
func TestPromptsAreSpread(t *testing.T) {
	s := decide.New("a")
	var list []decide.Upstream
	for name, dataCentre := range map[string]string{"e1": "a", "e2": "a", "e3": "b", "e4": "b"} {
		list = append(list, decide.Upstream{
			Name: name, Pool: "drafting", DataCentre: dataCentre, Incarnation: 1, Slots: 32, CapacityTokens: 100_000, StepTime: 10 * time.Millisecond,
		})
	}
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: list})
	patient := draftClass
	patient.Wait = time.Minute
	prompts, last := map[string]int{}, epoch
	count := func(now time.Time, actions []decide.Action) {
		for _, action := range actions {
			if place, ok := action.(decide.Place); ok {
				prompts[place.Upstream.Name]++
				last = now
			}
		}
	}
	const burst, prompt = 16, 3000
	for n := range burst {
		id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
		count(epoch, s.Step(epoch, decide.Arrived{Request: decide.Request{ID: id, Class: patient, PromptTokens: prompt, StartBy: epoch.Add(time.Minute)}}))
	}
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		count(now, s.Step(now, decide.Tick{}))
	}
	assert.Equal(t, len(prompts), 4)
	for name, n := range prompts {
		assert.Assert(t, n <= 5, "%s has to read %d prompts", name, n)
	}
	// Four engines read the burst at 5,000 tokens a second each.
	assert.Assert(t, last.Sub(epoch) < burst*prompt/4/5000*time.Second, "the last prompt was placed after %v", last.Sub(epoch))
}

// TestRefusedWhenTooLate plays a load that the engines can't read in time: what
// is placed begins in time, and the rest is told at once when to come back.
func TestRefusedWhenTooLate(t *testing.T) {
	s := declared("", map[string]string{"e1": "a"})
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: []decide.Upstream{{
		Name: "e1", Pool: "drafting", DataCentre: "a", Incarnation: 1, Slots: 64, CapacityTokens: 1_000_000, StepTime: 10 * time.Millisecond,
	}}})
	class := draftClass
	class.Wait = time.Second
	sentAt, waited := map[ident.Request]time.Time{}, map[ident.Request]time.Duration{}
	refused := 0
	take := func(now time.Time, actions []decide.Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case decide.Place:
				waited[a.ID] = now.Sub(sentAt[a.ID])
			case decide.Refuse:
				refused++
				assert.Assert(t, a.RetryAt.After(now), "a refusal tells when to come back")
			}
		}
	}
	n := 0
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(20 * time.Millisecond) {
		if now.Sub(epoch)%(100*time.Millisecond) == 0 { // 30,000 tokens a second come, 5,000 can be read.
			id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
			n++
			sentAt[id] = now
			take(now, s.Step(now, decide.Arrived{Request: decide.Request{ID: id, Class: class, PromptTokens: 3000, StartBy: now.Add(time.Second)}}))
		}
		take(now, s.Step(now, decide.Tick{}))
	}
	assert.Assert(t, len(waited) >= 28, "%d of the 33 prompts that can be read were placed", len(waited))
	assert.Assert(t, refused > 100, "%d refused", refused)
	late := 0
	for _, wait := range waited {
		if wait > 2*class.Wait {
			late++
		}
	}
	assert.Equal(t, late, 0)
	assert.Assert(t, s.Waiting() < 40, "%d wait", s.Waiting())
}

// TestUnreachableEnginesAreLeftOut plays the partition of a data centre: its
// instances can reach only the engines beside them, and try each other engine
// once.
func TestUnreachableEnginesAreLeftOut(t *testing.T) {
	s := declared("", map[string]string{"e1": "a", "e2": "b", "e3": "b", "e4": "c", "e5": "c"})
	for _, name := range []string{"e2", "e3", "e4", "e5"} {
		s.Step(epoch, decide.Failed{Upstream: name, Reason: verdict.UpstreamUnreachable})
	}
	for n := range 4 {
		place, _ := arriveAt(s, epoch.Add(10*time.Millisecond), n, 300)
		assert.Equal(t, place.Upstream.Name, "e1")
	}
	s.Step(epoch, decide.Failed{Upstream: "e1", Reason: verdict.UpstreamUnreachable})
	place, _ := arriveAt(s, epoch.Add(20*time.Millisecond), 5, 300)
	assert.Equal(t, place.Upstream.Name, "e1", "the last one is not given up")
}

// TestRelocate plays an engine that leaves with runs on it.
func TestRelocate(t *testing.T) {
	engines := map[string]string{"e1": "a", "e2": "a", "e3": "b"}
	tests := map[string]struct {
		// full engines hold runs that leave no room.
		full  []string
		avoid []string
		want  string
	}{
		"the own data centre":             {nil, nil, "e2"},
		"another one if the own is full":  {[]string{"e2"}, nil, "e3"},
		"another one after a failed copy": {nil, []string{"e2"}, "e3"},
		"nowhere":                         {nil, []string{"e2", "e3"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := declared("", map[string]string{"e1": "a"})
			run, _ := arrive(s, 1, 300)
			assert.Equal(t, run.Upstream.Name, "e1")
			s.Step(epoch, changed("e1", engines))
			for n, full := range test.full {
				id := ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: uint64(n)}
				r := decide.Request{ID: id, Class: draftClass, PromptTokens: engineTokens - 150, MaxOutputTokens: 100}
				s.Step(epoch, decide.Noticed{Notice: decide.Notice{Kind: decide.NoticePlaced, Request: r, Upstream: full}})
			}
			got := ""
			for _, action := range s.Step(epoch, decide.Relocating{ID: run.ID, Avoid: test.avoid}) {
				if place, ok := action.(decide.Place); ok {
					got = place.Upstream.Name
				}
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestMovesCountAtTheirDestination plays an engine that leaves with more runs
// than one other can take: each is counted where it goes before it is there.
func TestMovesCountAtTheirDestination(t *testing.T) {
	s := declared("", map[string]string{"e1": "a"})
	var runs []decide.Place
	for n := range 4 {
		place, _ := arrive(s, n, 380)
		if place.Upstream.Name != "" {
			runs = append(runs, place)
		}
	}
	assert.Assert(t, len(runs) >= 3, "%d runs", len(runs))
	s.Step(epoch, changed("e1", map[string]string{"e1": "a", "e2": "a", "e3": "a"}))
	to := map[string]int{}
	for _, run := range runs {
		for _, action := range s.Step(epoch, decide.Relocating{ID: run.ID}) {
			if place, ok := action.(decide.Place); ok {
				to[place.Upstream.Name]++
			}
		}
	}
	assert.Assert(t, to["e2"] > 0 && to["e3"] > 0, "%v", to)

	s.Step(epoch, decide.Relocated{ID: runs[0].ID, Moved: true})
	s.Step(epoch, decide.Relocated{ID: runs[1].ID, Moved: false})
	held := 0
	for _, load := range s.Loads(epoch, "a") {
		held += load.Running
	}
	assert.Equal(t, held, len(runs)+len(runs)-2, "a move that is over counts once")
	assert.Equal(t, fmt.Sprint(s.Waiting()), "0")
}
