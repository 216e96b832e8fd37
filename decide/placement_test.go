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

// newDeclaredScheduler returns a scheduler in data centre a whose engines declare
// their memory and send no reports.
func newDeclaredScheduler(leaving string, engines map[string]string) *decide.Scheduler {
	s := decide.New("a")
	s.Step(epoch, declaredUpstreams(leaving, engines))
	return s
}

func declaredUpstreams(leaving string, engines map[string]string) decide.UpstreamsChanged {
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

// TestDeclaredMemoryIsNotExceeded places more drafts than fit in the memory of
// the engines.
func TestDeclaredMemoryIsNotExceeded(t *testing.T) {
	s := newDeclaredScheduler("", map[string]string{"e1": "a", "e2": "a"})
	used := map[string]int{}
	for n := range 20 {
		place, _ := arrive(s, n, 500)
		if place.Upstream.Name != "" {
			used[place.Upstream.Name] += 500
		}
	}
	assert.Assert(t, used["e1"] > 0 && used["e2"] > 0, "%v", used)
	for name, tokens := range used {
		assert.Assert(t, tokens <= engineTokens, "%s got %d prompt tokens, more than its memory holds", name, tokens)
	}
}

// TestLocalDataCentreFirst checks that under a light load streams are placed in
// the local data centre, where they survive a partition from the others.
func TestLocalDataCentreFirst(t *testing.T) {
	s := newDeclaredScheduler("", map[string]string{"e1": "a", "e2": "b", "e3": "c"})
	local, now := 0, epoch
	for n := range 40 {
		now = now.Add(100 * time.Millisecond)
		place, _ := arriveAt(s, now, n, 100)
		if place.Upstream.Name == "e1" {
			local++
		}
		s.Step(now, decide.Ended{ID: place.ID, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
	}
	assert.Assert(t, local > 30, "%d of 40 were placed in the local data centre, want more than 30", local)
}

// prefillSimulation simulates engines that prefill prompts one after another,
// 5,000 tokens per second, and generate no output.
type prefillSimulation struct {
	scheduler *decide.Scheduler
	// freeAt is the time at which each engine has prefilled all its prompts,
	// startsAt the time at which each request gets its first token.
	freeAt   map[string]time.Time
	startsAt map[ident.Request]time.Time
	sentAt   map[ident.Request]time.Time
	counts   map[string]int
	// delays contains the times from the arrivals of the requests to their first
	// tokens.
	delays  []time.Duration
	refused int
}

const (
	simulatedPrefillRate = 5000
	// firstTokenTarget is the target for the time to the first token.
	firstTokenTarget = 1700 * time.Millisecond
)

func newPrefillSimulation(s *decide.Scheduler) *prefillSimulation {
	return &prefillSimulation{scheduler: s, freeAt: map[string]time.Time{}, startsAt: map[ident.Request]time.Time{}, sentAt: map[ident.Request]time.Time{}, counts: map[string]int{}}
}

// arrive simulates the arrival of a request.
func (r *prefillSimulation) arrive(now time.Time, n int, class config.Class, prompt int) {
	id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
	r.sentAt[id] = now
	r.apply(now, prompt, r.scheduler.Step(now, decide.Arrived{Request: decide.Request{ID: id, Class: class, PromptTokens: prompt, StartBy: now.Add(class.WaitTarget), FirstTokenBy: now.Add(firstTokenTarget)}}))
}

func (r *prefillSimulation) apply(now time.Time, prompt int, actions []decide.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case decide.Place:
			name := a.Upstream.Name
			if r.freeAt[name].Before(now) {
				r.freeAt[name] = now
			}
			r.freeAt[name] = r.freeAt[name].Add(time.Duration(prompt) * time.Second / simulatedPrefillRate)
			r.startsAt[a.ID] = r.freeAt[name]
			r.counts[name]++
		case decide.Refuse:
			r.refused++
			if !a.RetryAt.After(now) {
				panic("a refusal has no retry time")
			}
		}
	}
}

// advance reports the streams that have started by now, and sends a tick.
func (r *prefillSimulation) advance(now time.Time, prompt int) {
	for id, firstTokenAt := range r.startsAt {
		if firstTokenAt.After(now) {
			continue
		}
		delete(r.startsAt, id)
		r.delays = append(r.delays, firstTokenAt.Sub(r.sentAt[id]))
		r.scheduler.Step(now, decide.Progressed{ID: id, Tokens: 1})
	}
	r.apply(now, prompt, r.scheduler.Step(now, decide.Tick{}))
}

func newPrefillScheduler(names map[string]string) *decide.Scheduler {
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

// TestPromptsAreSpread simulates a burst of long prompts. An engine prefills
// its prompts one after another, so the longest delay must be close to the
// longest delay with an even spread over all data centres.
func TestPromptsAreSpread(t *testing.T) {
	r := newPrefillSimulation(newPrefillScheduler(map[string]string{"e1": "a", "e2": "a", "e3": "b", "e4": "b"}))
	class := draftClass
	class.WaitTarget = time.Minute
	const burst, prompt = 16, 3000
	for n := range burst {
		r.arrive(epoch, n, class, prompt)
	}
	for now := epoch; now.Before(epoch.Add(10 * time.Second)); now = now.Add(20 * time.Millisecond) {
		r.advance(now, prompt)
	}
	assert.Equal(t, len(r.delays), burst)
	for name, n := range r.counts {
		assert.Assert(t, n <= 5, "%s prefilled %d prompts, want at most 5", name, n)
	}
	evenSpread := burst / 4 * prompt * time.Second / simulatedPrefillRate
	assert.Assert(t, slices.Max(r.delays) < evenSpread*3/2, "the longest delay is %v, want less than 1.5 times the delay of an even spread, %v", slices.Max(r.delays), evenSpread)
}

// TestOverloadRefusesLateRequests simulates a load of six times the prompts
// that an engine can prefill. Placed requests must start in time, and the
// others must be refused with a retry time.
func TestOverloadRefusesLateRequests(t *testing.T) {
	r := newPrefillSimulation(newPrefillScheduler(map[string]string{"e1": "a"}))
	class := draftClass
	class.WaitTarget = time.Second
	const prompt, span = 3000, 20 * time.Second
	n := 0
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(20 * time.Millisecond) {
		if now.Sub(epoch)%(100*time.Millisecond) == 0 { // 30,000 tokens per second.
			r.arrive(now, n, class, prompt)
			n++
		}
		r.advance(now, prompt)
	}
	capacity := int(span.Seconds() * simulatedPrefillRate / prompt)
	assert.Assert(t, len(r.delays) >= capacity*4/5, "%d of the %d requests that can be prefilled started, want at least 80%%", len(r.delays), capacity)
	assert.Assert(t, r.refused > 100, "%d requests were refused, want more than 100", r.refused)
	limit := 2*class.WaitTarget + 2*prompt*time.Second/simulatedPrefillRate
	assert.Assert(t, slices.Max(r.delays) < limit, "a request started after %v, which exceeds the limit", slices.Max(r.delays))
	assert.Assert(t, r.scheduler.Waiting() < 40, "%d requests are waiting, want fewer than 40", r.scheduler.Waiting())
}

// TestOverloadKeepsMostInTime simulates a load of 1.5 times the prompts that
// an engine can prefill. Requests that can no longer start in time must be
// served after those that can, so that most of the prefilled requests start in
// time. The others must start or be refused.
func TestOverloadKeepsMostInTime(t *testing.T) {
	r := newPrefillSimulation(newPrefillScheduler(map[string]string{"e1": "a"}))
	class := draftClass
	class.WaitTarget = time.Second
	const prompt, span = 3000, 30 * time.Second
	n := 0
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(20 * time.Millisecond) {
		if now.Sub(epoch)%(400*time.Millisecond) == 0 { // 7,500 tokens per second.
			r.arrive(now, n, class, prompt)
			n++
		}
		r.advance(now, prompt)
	}
	inTime := 0
	for _, delay := range r.delays {
		if delay <= firstTokenTarget {
			inTime++
		}
	}
	capacity := int(span.Seconds() * simulatedPrefillRate / prompt)
	assert.Assert(t, inTime*3 >= capacity*2, "%d of the %d requests that can be prefilled started in time, want at least two thirds; %d started in all, %d were refused", inTime, capacity, len(r.delays), r.refused)
	assert.Assert(t, len(r.delays)+r.refused+r.scheduler.Waiting()+3 >= n, "%d of %d requests have no decision", n-len(r.delays)-r.refused, n)
}

// TestNewRemoteEngineIsNotOverloaded simulates an engine that becomes ready in
// another data centre of a large fleet while all other engines are busy. Only
// some of the many instances that receive its report at the same time must use
// it.
func TestNewRemoteEngineIsNotOverloaded(t *testing.T) {
	engines := map[string]string{"near": "a", "far": "b"}
	sent := 0
	const instances = 100
	for i := range instances {
		s := newPrefillScheduler(engines)
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
		place(1, 20_000) // Fills the prefill backlog of the local engine.
		if place(2, 3000) == "far" {
			sent++
		}
	}
	assert.Assert(t, sent < instances/4, "%d of %d instances used the only free engine, want fewer than a quarter", sent, instances)
	assert.Assert(t, sent > 0, "at least one instance must use the free engine")
}

// TestUnreachableEnginesAreEjected simulates a partition: after one failure of
// each unreachable engine, only the engine in the local data centre must be
// used.
func TestUnreachableEnginesAreEjected(t *testing.T) {
	s := newDeclaredScheduler("", map[string]string{"e1": "a", "e2": "b", "e3": "b", "e4": "c", "e5": "c"})
	for _, name := range []string{"e2", "e3", "e4", "e5"} {
		s.Step(epoch, decide.Failed{Upstream: name, Reason: verdict.UpstreamUnreachable})
	}
	for n := range 4 {
		place, _ := arriveAt(s, epoch.Add(10*time.Millisecond), n, 300)
		assert.Equal(t, place.Upstream.Name, "e1")
	}
	s.Step(epoch, decide.Failed{Upstream: "e1", Reason: verdict.UpstreamUnreachable})
	place, _ := arriveAt(s, epoch.Add(20*time.Millisecond), 5, 300)
	assert.Equal(t, place.Upstream.Name, "e1", "the last engine of a pool must not be ejected")
}

// TestMoveDestination checks the destination chosen for a running request of a
// leaving engine.
func TestMoveDestination(t *testing.T) {
	engines := map[string]string{"e1": "a", "e2": "a", "e3": "b"}
	tests := map[string]struct {
		// full contains the engines without enough free memory.
		full     []string
		excluded []string
		want     string
	}{
		"same data centre":                        {nil, nil, "e2"},
		"another data centre if the same is full": {[]string{"e2"}, nil, "e3"},
		"another engine after a failed copy":      {nil, []string{"e2"}, "e3"},
		"no destination":                          {nil, []string{"e2", "e3"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newDeclaredScheduler("", map[string]string{"e1": "a"})
			run, _ := arrive(s, 1, 300)
			assert.Equal(t, run.Upstream.Name, "e1")
			s.Step(epoch, declaredUpstreams("e1", engines))
			for n, full := range test.full {
				id := ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: uint64(n)}
				r := decide.Request{ID: id, Class: draftClass, PromptTokens: engineTokens - 150, MaxOutputTokens: 100}
				s.Step(epoch, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticePlaced, Request: r, Upstream: full}})
			}
			got := ""
			for _, action := range s.Step(epoch, decide.MoveRequested{ID: run.ID, Excluded: test.excluded}) {
				if place, ok := action.(decide.Place); ok {
					got = place.Upstream.Name
				}
			}
			assert.Equal(t, got, test.want)
		})
	}
}

// TestMovesCountAtTheirDestination simulates a leaving engine with more
// requests than fit on one other engine. Each must count on its destination
// from the start of its move.
func TestMovesCountAtTheirDestination(t *testing.T) {
	s := newDeclaredScheduler("", map[string]string{"e1": "a"})
	var placements []decide.Place
	for n := range 4 {
		place, _ := arrive(s, n, 380)
		if place.Upstream.Name != "" {
			placements = append(placements, place)
		}
	}
	assert.Assert(t, len(placements) >= 3, "%d requests were placed, want at least 3", len(placements))
	s.Step(epoch, declaredUpstreams("e1", map[string]string{"e1": "a", "e2": "a", "e3": "a"}))
	destinations := map[string]int{}
	for _, placement := range placements {
		for _, action := range s.Step(epoch, decide.MoveRequested{ID: placement.ID}) {
			if place, ok := action.(decide.Place); ok {
				destinations[place.Upstream.Name]++
			}
		}
	}
	assert.Assert(t, destinations["e2"] > 0 && destinations["e3"] > 0, "%v", destinations)

	s.Step(epoch, decide.MoveEnded{ID: placements[0].ID, Moved: true})
	s.Step(epoch, decide.MoveEnded{ID: placements[1].ID, Moved: false})
	counted := 0
	// Loads contains only engines that accept requests.
	s.Step(epoch, declaredUpstreams("", map[string]string{"e1": "a", "e2": "a", "e3": "a"}))
	for _, load := range s.Loads(epoch, "a", 9) {
		counted += load.Running
	}
	assert.Equal(t, counted, len(placements)+len(placements)-2, "a request must count once after its move, and twice during it")
	assert.Equal(t, fmt.Sprint(s.Waiting()), "0")
}

// TestLoadsWithMostRoom checks which engines other data centres are told of: those
// that accept requests and have the most room.
func TestLoadsWithMostRoom(t *testing.T) {
	engines := map[string]string{"e1": "a", "e2": "a", "e3": "a", "e4": "a", "far": "b"}
	s := newDeclaredScheduler("e4", engines)
	run := func(n int, upstream string, prompt, tokens int) {
		id := ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: uint64(n)}
		r := decide.Request{ID: id, Class: draftClass, PromptTokens: prompt, MaxOutputTokens: 100}
		s.Step(epoch, decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticePlaced, Request: r, Upstream: upstream, Tokens: tokens}})
	}
	run(1, "e1", 10, 0) // not prefilled yet
	run(2, "e2", 300, 1)
	run(3, "e3", 100, 1)
	var names []string
	for _, load := range s.Loads(epoch, "a", 2) {
		names = append(names, load.Upstream)
	}
	assert.DeepEqual(t, names, []string{"e3", "e2"})
}

// TestEnginesOfUnknownLoad checks that a stream is placed in another data centre only
// on an engine whose load is known, unless no engine has a known load.
func TestEnginesOfUnknownLoad(t *testing.T) {
	engines := map[string]string{"far1": "b", "far2": "b"}
	s := newDeclaredScheduler("", engines)
	report := decide.Report{TakenAt: epoch, Running: 1, UsedTokens: 10}
	s.Step(epoch, decide.ReportReceived{Upstream: "far2", Report: report})
	for n := range 5 {
		place, _ := arrive(s, n, 10)
		assert.Equal(t, place.Upstream.Name, "far2")
	}
	// The reports have stopped, as when the relays can't be reached.
	later := epoch.Add(10 * time.Second)
	place, refused := arriveAt(s, later, 9, 10)
	assert.Assert(t, !refused)
	assert.Assert(t, place.Upstream.Name != "")
}
