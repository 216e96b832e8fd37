package decide_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
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

// readers play engines that read prompts one after the other, 5,000 tokens a
// second, and generate nothing.
type readers struct {
	s *decide.Scheduler
	// free is when an engine has read all that it has, begins when each of the
	// requests is read.
	free   map[string]time.Time
	begins map[ident.Request]time.Time
	sentAt map[ident.Request]time.Time
	counts map[string]int
	// waits holds the time from a request's coming to its first token.
	waits   []time.Duration
	refused int
}

const (
	readersSpeed = 5000
	// readersTarget is when the first token of a request is due.
	readersTarget = 1700 * time.Millisecond
)

func newReaders(s *decide.Scheduler) *readers {
	return &readers{s: s, free: map[string]time.Time{}, begins: map[ident.Request]time.Time{}, sentAt: map[ident.Request]time.Time{}, counts: map[string]int{}}
}

// arrive plays a request that comes with a prompt.
func (r *readers) arrive(now time.Time, n int, class config.Class, prompt int) {
	id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
	r.sentAt[id] = now
	r.take(now, prompt, r.s.Step(now, decide.Arrived{Request: decide.Request{ID: id, Class: class, PromptTokens: prompt, StartBy: now.Add(class.Wait), FirstTokenBy: now.Add(readersTarget)}}))
}

func (r *readers) take(now time.Time, prompt int, actions []decide.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decide.Place:
			name := a.Upstream.Name
			if r.free[name].Before(now) {
				r.free[name] = now
			}
			r.free[name] = r.free[name].Add(time.Duration(prompt) * time.Second / readersSpeed)
			r.begins[a.ID] = r.free[name]
			r.counts[name]++
		case decide.Refuse:
			r.refused++
			if !a.RetryAt.After(now) {
				panic("a refusal doesn't tell when to come back")
			}
		}
	}
}

// pass lets time pass and tells which streams have begun.
func (r *readers) pass(now time.Time, prompt int) {
	for id, at := range r.begins {
		if at.After(now) {
			continue
		}
		delete(r.begins, id)
		r.waits = append(r.waits, at.Sub(r.sentAt[id]))
		r.s.Step(now, decide.Progressed{ID: id, Tokens: 1})
	}
	r.take(now, prompt, r.s.Step(now, decide.Tick{}))
}

func readingEngines(names map[string]string) *decide.Scheduler {
	s := decide.New("a")
	var list []decide.Upstream
	for name, dataCentre := range names {
		list = append(list, decide.Upstream{
			Name: name, Pool: "drafting", DataCentre: dataCentre, Incarnation: 1, Slots: 64, CapacityTokens: 1_000_000, StepTime: 10 * time.Millisecond,
		})
	}
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: list})
	return s
}

// TestPromptsAreSpread plays a burst of long prompts: they wait for each other
// at an engine that reads them one after the other, so the longest wait is that
// of an even spread, whatever data centre they come from.
func TestPromptsAreSpread(t *testing.T) {
	r := newReaders(readingEngines(map[string]string{"e1": "a", "e2": "a", "e3": "b", "e4": "b"}))
	class := draftClass
	class.Wait = time.Minute
	const burst, prompt = 16, 3000
	for n := range burst {
		r.arrive(epoch, n, class, prompt)
	}
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		r.pass(now, prompt)
	}
	assert.Equal(t, len(r.waits), burst)
	for name, n := range r.counts {
		assert.Assert(t, n <= 5, "%s has read %d prompts", name, n)
	}
	fair := burst / 4 * prompt * time.Second / readersSpeed
	assert.Assert(t, slices.Max(r.waits) < fair*3/2, "the longest wait is %v, of an even spread %v", slices.Max(r.waits), fair)
}

// TestRefusedWhenTooLate plays six times the load that an engine can read: what
// is placed begins in time, and the rest is told when to come back.
func TestRefusedWhenTooLate(t *testing.T) {
	r := newReaders(readingEngines(map[string]string{"e1": "a"}))
	class := draftClass
	class.Wait = time.Second
	const prompt, span = 3000, 20 * time.Second
	n := 0
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(20 * time.Millisecond) {
		if now.Sub(epoch)%(100*time.Millisecond) == 0 { // 30,000 tokens come a second.
			r.arrive(now, n, class, prompt)
			n++
		}
		r.pass(now, prompt)
	}
	most := int(span.Seconds() * readersSpeed / prompt)
	assert.Assert(t, len(r.waits) >= most*4/5, "%d of %d that can be read began", len(r.waits), most)
	assert.Assert(t, r.refused > 100, "%d refused", r.refused)
	limit := 2*class.Wait + 2*prompt*time.Second/readersSpeed
	assert.Assert(t, slices.Max(r.waits) < limit, "one began after %v", slices.Max(r.waits))
	assert.Assert(t, r.s.Waiting() < 40, "%d wait", r.s.Waiting())
}

// TestOverloadKeepsMostInTime plays half more than an engine can read, for a
// while: what can't be in time any more lets what can go first, so most of what
// the engine reads begins in time, and the rest begins or is refused in bounds.
func TestOverloadKeepsMostInTime(t *testing.T) {
	r := newReaders(readingEngines(map[string]string{"e1": "a"}))
	class := draftClass
	class.Wait = time.Second
	const prompt, span = 3000, 30 * time.Second
	n := 0
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(20 * time.Millisecond) {
		if now.Sub(epoch)%(400*time.Millisecond) == 0 { // 7,500 tokens come a second.
			r.arrive(now, n, class, prompt)
			n++
		}
		r.pass(now, prompt)
	}
	inTime := 0
	for _, wait := range r.waits {
		if wait <= readersTarget {
			inTime++
		}
	}
	most := int(span.Seconds() * readersSpeed / prompt)
	assert.Assert(t, inTime*3 >= most*2, "%d of %d that can be read began in time, %d in all, %d refused", inTime, most, len(r.waits), r.refused)
	assert.Assert(t, len(r.waits)+r.refused+r.s.Waiting()+3 >= n, "%d of %d requests have no answer", n-len(r.waits)-r.refused, n)
}

// TestNewFarEngine plays an engine that becomes ready in another data centre of
// a large fleet, while all wait: of many instances that see it free at once
// only some send to it.
func TestNewFarEngine(t *testing.T) {
	engines := map[string]string{"near": "a", "far": "b"}
	sent := 0
	const instances = 100
	for i := range instances {
		s := readingEngines(engines)
		s.Step(epoch, decide.ReportReceived{Upstream: "far", Report: decide.Report{TakenAt: epoch, Running: 0}})
		place := func(n, prompt int) string {
			id := ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(i)}, Sequence: uint64(n)}
			for _, action := range s.Step(epoch, decide.Arrived{Request: decide.Request{ID: id, Class: draftClass, PromptTokens: prompt, StartBy: epoch.Add(time.Second)}}) {
				if a, ok := action.(decide.Place); ok {
					return a.Upstream.Name
				}
			}
			return ""
		}
		place(1, 20_000) // The near one has much to read.
		if place(2, 3000) == "far" {
			sent++
		}
	}
	assert.Assert(t, sent < instances/4, "%d of %d send to the one engine that is free", sent, instances)
	assert.Assert(t, sent > 0, "nobody uses it")
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
				s.Step(epoch, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticePlaced, Request: r, Upstream: full}})
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
