package decide_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

const (
	// engineTokens is the capacity of an engine's KV cache.
	engineTokens = 2000
	// draftTokens is the output length of each request in the history.
	draftTokens = 100
)

var draftClass = config.Class{
	Name: "draft", Kind: config.Stream, Pool: "drafting", WaitTarget: time.Second, PaceTarget: 50 * time.Millisecond, MaxOutputTokens: 1000,
}

func draft(team string) decide.Request {
	return decide.Request{Team: team, Class: draftClass, PromptTokens: 100}
}

// harness drives a scheduler with a simulated clock.
type harness struct {
	*decide.Scheduler
	now          time.Time
	engines      int
	lastSequence uint64
	// notices collects the notices that the scheduler sent.
	notices []decide.Notice
}

func newHarness(engines int) *harness {
	h := &harness{Scheduler: decide.New("dc1"), now: epoch, engines: engines}
	h.setUpstreams(func(*decide.Upstream) {})
	for range 300 { // Builds the history of output lengths.
		id := h.nextID()
		h.step(decide.Arrived{Request: decide.Request{ID: id, Team: "reef", Class: draftClass, PromptTokens: 100}})
		h.step(decide.Ended{ID: id, Tokens: draftTokens, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
		h.now = h.now.Add(20 * time.Millisecond)
	}
	h.report(func(int) decide.Report { return decide.Report{} })
	return h
}

func (h *harness) setUpstreams(change func(*decide.Upstream)) {
	var all []decide.Upstream
	for i := range h.engines {
		u := decide.Upstream{Name: fmt.Sprint("engine", i), Pool: "drafting", DataCentre: "dc1", Incarnation: 1}
		change(&u)
		all = append(all, u)
	}
	h.step(decide.UpstreamsChanged{Upstreams: all})
}

func (h *harness) nextID() ident.Request {
	h.lastSequence++
	return ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: h.lastSequence}
}

// step handles an event, keeps the notices and returns the other actions.
func (h *harness) step(e decide.Event) []decide.Action {
	var others []decide.Action
	for _, action := range h.Step(h.now, e) {
		if notify, ok := action.(decide.Notify); ok {
			h.notices = append(h.notices, notify.Notice)
			continue
		}
		others = append(others, action)
	}
	return others
}

// report delivers a load report of each engine, taken now.
func (h *harness) report(of func(engine int) decide.Report) []decide.Action {
	var actions []decide.Action
	for i := range h.engines {
		report := of(i)
		report.TakenAt, report.CapacityTokens, report.StepTime = h.now, engineTokens, 30*time.Millisecond
		actions = append(actions, h.step(decide.ReportReceived{Upstream: fmt.Sprint("engine", i), Report: report})...)
	}
	return actions
}

// arrive requests a placement for a draft of the team.
func (h *harness) arrive(team string, change func(*decide.Request)) (ident.Request, []decide.Action) {
	request := draft(team)
	request.ID, request.StartBy = h.nextID(), h.now.Add(draftClass.WaitTarget)
	if change != nil {
		change(&request)
	}
	return request.ID, h.step(decide.Arrived{Request: request})
}

// describe summarizes the actions without their figures.
func describe(actions []decide.Action) string {
	var descriptions []string
	for _, action := range actions {
		switch a := action.(type) {
		case decide.Place:
			descriptions = append(descriptions, "place on "+a.Upstream.Name)
		case decide.Refuse:
			descriptions = append(descriptions, "refuse as "+a.Reason.String())
		}
	}
	return strings.Join(descriptions, ", ")
}

// canOutgrow gives a request a class without history, so that its forecast can
// exceed an engine's memory.
func canOutgrow(r *decide.Request) {
	r.Class.Name, r.Class.MaxOutputTokens = "unknown", 50*engineTokens
	r.PromptTokens = engineTokens - 200
}

// fullReport is the report of an engine whose memory is filled by requests of
// other instances.
var fullReport = decide.Report{Running: 12, UsedTokens: engineTokens - 20}

// TestArrival checks the decision on a new request for given load reports of
// three engines.
func TestArrival(t *testing.T) {
	for name, c := range map[string]struct {
		reports func(engine int) decide.Report
		change  func(*decide.Request)
		want    string
	}{
		"the only engine with room": {func(i int) decide.Report {
			if i == 1 {
				return decide.Report{}
			}
			return fullReport
		}, nil, "place on engine1"},
		"no engine with room": {func(int) decide.Report { return fullReport }, nil, ""},
		"a request that can outgrow any engine gets an idle one": {func(i int) decide.Report {
			if i == 1 {
				return decide.Report{}
			}
			return decide.Report{Running: 1, UsedTokens: 100}
		}, canOutgrow, "place on engine1"},
		"a request that can outgrow any engine waits for an idle one": {func(int) decide.Report {
			return decide.Report{Running: 1, UsedTokens: 100}
		}, canOutgrow, ""},
		"all engines excluded": {func(int) decide.Report { return decide.Report{} }, func(r *decide.Request) {
			r.Excluded = []string{"engine0", "engine1", "engine2"}
		}, "refuse as no_upstream"},
		"a prompt larger than the memory waits": {func(int) decide.Report { return decide.Report{} }, func(r *decide.Request) {
			r.PromptTokens = 2 * engineTokens
		}, ""},
		"a pool without upstreams": {func(int) decide.Report { return decide.Report{} }, func(r *decide.Request) {
			r.Class.Pool = "none"
		}, "refuse as no_upstream"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(3)
			h.now = h.now.Add(time.Second)
			h.report(c.reports)
			_, actions := h.arrive("reef", c.change)
			assert.Equal(t, describe(actions), c.want)
		})
	}
}

// TestRequestsLeaveTheQueueBeforeTheirDeadline guards against requests that wait until their
// callers have given up, or that are placed too late for a first token, while all engines are
// full.
func TestRequestsLeaveTheQueueBeforeTheirDeadline(t *testing.T) {
	const prefill = 400 * time.Millisecond // of 2,000 tokens at the initial rate
	for name, test := range map[string]struct {
		promptTokens int
		deadline     time.Duration
		// refusedBy is the latest time of the refusal.
		refusedBy time.Duration
	}{
		"deadline before the target":              {100, 500 * time.Millisecond, 500 * time.Millisecond},
		"deadline after the target":               {100, 1500 * time.Millisecond, 1500 * time.Millisecond},
		"deadline after twice the target":         {100, 5 * time.Second, 2 * time.Second},
		"no first token before the deadline":      {2000, 800 * time.Millisecond, 800*time.Millisecond - prefill},
		"no first token even if placed at once":   {2000, 300 * time.Millisecond, 0},
		"unknown deadline, twice the wait target": {100, 0, 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			h.now = h.now.Add(time.Second)
			h.report(func(int) decide.Report { return fullReport })
			arrivedAt := h.now
			id, actions := h.arrive("reef", func(r *decide.Request) {
				r.PromptTokens = test.promptTokens
				if test.deadline > 0 {
					r.Deadline = h.now.Add(test.deadline)
				}
			})
			for describe(actions) == "" && h.now.Sub(arrivedAt) <= 10*time.Second {
				h.now = h.now.Add(20 * time.Millisecond)
				actions = append(h.report(func(int) decide.Report { return fullReport }), h.step(decide.Tick{})...)
			}
			assert.Assert(t, len(actions) == 1, "%v", actions)
			refusal, ok := actions[0].(decide.Refuse)
			assert.Assert(t, ok, "%v", actions)
			assert.Equal(t, refusal.ID, id)
			assert.Assert(t, h.now.Sub(arrivedAt) <= test.refusedBy+20*time.Millisecond, "refused after %v", h.now.Sub(arrivedAt))
		})
	}
}

// TestPaceTarget places a request on an engine that runs eight generations and
// whose steps take 20 ms plus 2 ms per generation.
func TestPaceTarget(t *testing.T) {
	for name, c := range map[string]struct {
		pace time.Duration
		want string
	}{
		"target met":          {40 * time.Millisecond, "place on engine0"},
		"target missed":       {36 * time.Millisecond, ""},
		"no target":           {0, "place on engine0"},
		"unattainable target": {10 * time.Millisecond, "place on engine0"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			for _, batch := range []int{2, 4, 6, 8} {
				h.now = h.now.Add(500 * time.Millisecond)
				h.step(decide.ReportReceived{Upstream: "engine0", Report: decide.Report{
					TakenAt: h.now, Running: batch, UsedTokens: 50, CapacityTokens: 1000 * engineTokens,
					StepTime: time.Duration(20+2*batch) * time.Millisecond,
				}})
			}
			_, actions := h.arrive("reef", func(r *decide.Request) { r.Class.PaceTarget = c.pace })
			assert.Equal(t, describe(actions), c.want)
		})
	}
}

func TestWaitingRequestIsPlacedWhenRoomIsReported(t *testing.T) {
	h := newHarness(1)
	h.report(func(int) decide.Report { return fullReport })
	h.now = h.now.Add(100 * time.Millisecond)
	h.report(func(int) decide.Report { return fullReport })
	id, actions := h.arrive("reef", nil)
	assert.Equal(t, len(actions), 0)
	h.now = h.now.Add(100 * time.Millisecond)
	actions = h.report(func(int) decide.Report { return decide.Report{} })
	assert.Equal(t, describe(actions), "place on engine0")
	place := actions[0].(decide.Place)
	assert.Equal(t, place.ID, id)
	assert.Assert(t, strings.Contains(place.Explanation, "waited 100ms"), place.Explanation)
}

// TestWaitingRequestExpires checks that a waiting request expires one WaitTarget
// after its deadline, that is after 2 s here.
func TestWaitingRequestExpires(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(100 * time.Millisecond)
	h.report(func(int) decide.Report { return fullReport })
	h.arrive("reef", nil)
	for range 19 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report(func(int) decide.Report { return fullReport })
		assert.Equal(t, describe(h.step(decide.Tick{})), "")
	}
	h.now = h.now.Add(100 * time.Millisecond)
	actions := h.step(decide.Tick{})
	assert.Equal(t, describe(actions), "refuse as wait_expired")
	assert.Assert(t, actions[0].(decide.Refuse).RetryAt.After(h.now))
}

func TestLargeTeamDoesNotDelaySmallTeam(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(100 * time.Millisecond)
	h.report(func(int) decide.Report { return fullReport })
	for range 6 {
		h.arrive("large", nil)
	}
	h.now = h.now.Add(10 * time.Millisecond)
	small, actions := h.arrive("small", nil)
	assert.Equal(t, len(actions), 0)
	h.now = h.now.Add(100 * time.Millisecond)
	actions = h.report(func(int) decide.Report { return decide.Report{} })
	position := -1
	for i, action := range actions {
		if action.(decide.Place).ID == small {
			position = i
		}
	}
	assert.Equal(t, position, 1, "the small team's request was at position %d of %d placements", position, len(actions))
}

func TestRefusalOnlyWhenTheForecastMissesTheTarget(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(100 * time.Millisecond)
	h.report(func(int) decide.Report { return fullReport })
	refused := 0
	for range 300 {
		_, actions := h.arrive("reef", nil)
		for _, action := range actions {
			refusal := action.(decide.Refuse)
			assert.Equal(t, refusal.Reason, verdict.Overloaded)
			assert.Assert(t, strings.Contains(refusal.Explanation, "earliest start"), refusal.Explanation)
			refused++
		}
		assert.Assert(t, refused == 0 || len(actions) == 1, "no request must be accepted after an identical one was refused")
	}
	assert.Assert(t, refused > 100 && refused < 295, "%d of 300 were refused, want 101 to 294", refused)
}

func TestRetryBudget(t *testing.T) {
	h := newHarness(2)
	h.now = h.now.Add(10 * time.Millisecond)
	granted := 0
	for range 100 {
		h.report(func(int) decide.Report { return decide.Report{} })
		id, actions := h.arrive("reef", func(r *decide.Request) { r.Excluded = []string{"engine0"} })
		if describe(actions) == "place on engine1" {
			granted++
		}
		h.step(decide.Ended{ID: id})
		h.now = h.now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, granted, 20, "the retries after 300 first attempts must be limited to the capacity of the retry budget")
}

func TestEjectionAndSlowStart(t *testing.T) {
	h := newHarness(2)
	placedOnFailing := func() int {
		count := 0
		for range 200 {
			h.now = h.now.Add(time.Millisecond)
			h.report(func(int) decide.Report { return decide.Report{} })
			id, actions := h.arrive("reef", nil)
			if describe(actions) == "place on engine0" {
				count++
			}
			h.step(decide.Ended{ID: id})
		}
		return count
	}
	before := placedOnFailing()
	assert.Assert(t, before > 60 && before < 140, "%d of 200 requests were placed on engine0, want 61 to 139", before)
	// Only engine0, which fails first, is ejected, because at most half of a pool
	// may be.
	for range 3 {
		h.step(decide.Failed{Upstream: "engine0"})
		h.step(decide.Failed{Upstream: "engine1"})
	}
	assert.Equal(t, placedOnFailing(), 0)
	h.now = h.now.Add(900 * time.Millisecond)
	inSlowStart := placedOnFailing()
	assert.Assert(t, inSlowStart > 0 && inSlowStart < before/2, "%d of 200 requests were placed on engine0 at the beginning of slow start, want some, but fewer than half as many as before", inSlowStart)
	h.now = h.now.Add(6 * time.Second)
	afterSlowStart := placedOnFailing()
	assert.Assert(t, afterSlowStart > 60, "%d of 200 requests were placed on engine0 after slow start, want more than 60", afterSlowStart)
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	h := newHarness(2)
	h.setUpstreams(func(u *decide.Upstream) { u.Leaving = u.Name == "engine0" })
	for range 20 {
		_, actions := h.arrive("reef", nil)
		assert.Assert(t, !strings.Contains(describe(actions), "engine0"))
	}
}

// TestNoticesCountBeforeReports checks that a request placed by another
// instance counts as load as soon as its notice arrives, until the request ends
// or its notices stop.
func TestNoticesCountBeforeReports(t *testing.T) {
	for name, end := range map[string]func(sender, receiver *harness, id ident.Request){
		"end of the request": func(sender, _ *harness, id ident.Request) {
			sender.step(decide.Ended{ID: id, Tokens: draftTokens, Outcome: verdict.Outcome{Reason: verdict.Completed}})
		},
		"no further notices": func(_, receiver *harness, _ ident.Request) {
			receiver.now = receiver.now.Add(11 * time.Second)
			receiver.report(func(int) decide.Report { return decide.Report{} })
			receiver.step(decide.Tick{})
		},
	} {
		t.Run(name, func(t *testing.T) {
			sender, receiver := newHarness(1), newHarness(1)
			sender.now, receiver.now = sender.now.Add(time.Second), receiver.now.Add(time.Second)
			sender.report(func(int) decide.Report { return decide.Report{} })
			receiver.report(func(int) decide.Report { return decide.Report{} })
			large := func(r *decide.Request) { r.PromptTokens = engineTokens * 3 / 5 }
			sender.notices = nil
			id, actions := sender.arrive("reef", func(r *decide.Request) {
				large(r)
				r.ID.Home.Incarnation++
			})
			assert.Equal(t, describe(actions), "place on engine0")
			deliverNotices := func() {
				for _, notice := range sender.notices {
					receiver.step(decide.NoticeReceived{Notice: notice})
				}
				sender.notices = nil
			}
			deliverNotices()
			waiting, actions := receiver.arrive("reef", large)
			assert.Equal(t, describe(actions), "")
			receiver.step(decide.Ended{ID: waiting})
			end(sender, receiver, id)
			deliverNotices()
			_, actions = receiver.arrive("other", large)
			assert.Equal(t, describe(actions), "place on engine0")
		})
	}
}

// TestQueuesOfInstancesHaveTheSameOrder checks that instances place each
// other's waiting requests in the same order, regardless of which one receives
// a report of free memory first.
func TestQueuesOfInstancesHaveTheSameOrder(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(100 * time.Millisecond)
	large := func(r *decide.Request) { r.PromptTokens = engineTokens / 2 }
	h.report(func(int) decide.Report { return fullReport })
	peerRequest := draft("other")
	peerRequest.ID, peerRequest.StartBy = ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: 1}, h.now.Add(draftClass.WaitTarget/2)
	large(&peerRequest)
	h.step(decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticeWaiting, Request: peerRequest}})
	id, actions := h.arrive("reef", large)
	assert.Equal(t, describe(actions), "")
	h.now = h.now.Add(100 * time.Millisecond)
	actions = h.report(func(int) decide.Report { return decide.Report{} })
	assert.Equal(t, describe(actions), "", "the other instance's request must be served first")
	// The other instance sends no notice that it placed its request, so the
	// reservations end.
	for len(actions) == 0 {
		h.now = h.now.Add(10 * time.Millisecond)
		assert.Assert(t, h.now.Before(epoch.Add(time.Minute)))
		actions = h.report(func(int) decide.Report { return decide.Report{} })
	}
	assert.Equal(t, describe(actions), "place on engine0")
	assert.Equal(t, actions[0].(decide.Place).ID, id)
}

// TestSchedulerInvariants checks for random sequences of requests that each
// request gets exactly one decision, that the prompts placed on an engine fit
// into its memory, and that every waiting request is decided when its waiting
// time expires.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(2)
		undecided, prompts := map[ident.Request]bool{}, map[ident.Request]int{}
		promptTokens := map[string]int{}
		checkActions := func(actions []decide.Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case decide.Place:
					assert.Assert(t, undecided[a.ID], "every decision must be on a waiting request")
					delete(undecided, a.ID)
					promptTokens[a.Upstream.Name] += prompts[a.ID]
					assert.Assert(t, promptTokens[a.Upstream.Name] <= engineTokens, "%d prompt tokens were placed on %s, more than its memory holds", promptTokens[a.Upstream.Name], a.Upstream.Name)
				case decide.Refuse:
					assert.Assert(t, undecided[a.ID], "every decision must be on a waiting request")
					delete(undecided, a.ID)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			request := draft(rapid.SampledFrom([]string{"reef", "large", "small"}).Draw(t, "team"))
			request.ID, request.StartBy = h.nextID(), h.now.Add(draftClass.WaitTarget)
			request.PromptTokens = rapid.IntRange(1, 600).Draw(t, "prompt")
			undecided[request.ID], prompts[request.ID] = true, request.PromptTokens
			checkActions(h.step(decide.Arrived{Request: request}))
			checkActions(h.step(decide.Tick{}))
		}
		h.now = h.now.Add(2 * draftClass.WaitTarget)
		checkActions(h.step(decide.Tick{}))
		assert.Equal(t, len(undecided), 0, "every request must get a decision")
	})
}

// BenchmarkDecision measures one decision on the engines of one data centre of
// the target fleet: every engine runs requests known from notices of other
// instances, and all forecasts are stale.
func BenchmarkDecision(b *testing.B) {
	const engines, teams, requestsPerEngine = 125, 21_000, 8
	h := newHarness(engines)
	notice := func(kind decide.NoticeKind, engine, i, tokens int) decide.Event {
		request := draft(fmt.Sprint("team", (engine*requestsPerEngine+i)%teams))
		request.ID = ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: uint64(engine*requestsPerEngine + i)}
		return decide.NoticeReceived{Notice: decide.Notice{Kind: kind, Upstream: fmt.Sprint("engine", engine), Request: request, Tokens: tokens}}
	}
	for engine := range engines {
		for i := range requestsPerEngine {
			h.step(notice(decide.NoticePlaced, engine, i, 0))
		}
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		h.now = h.now.Add(250 * time.Millisecond)
		h.report(func(int) decide.Report {
			return decide.Report{Running: requestsPerEngine, UsedTokens: 100 * requestsPerEngine}
		})
		for engine := range engines {
			h.step(notice(decide.NoticeProgressed, engine, i%requestsPerEngine, 1+i/requestsPerEngine))
		}
		b.StartTimer()
		id, _ := h.arrive(fmt.Sprint("team", i%teams), nil)
		b.StopTimer()
		h.step(decide.Ended{ID: id})
		b.StartTimer()
	}
}

// TestSingleUpstreamChanges checks that a scheduler which gets the changes of single
// upstreams places requests like one that gets the complete list each time.
func TestSingleUpstreamChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		single, complete := decide.New("a"), decide.New("a")
		listed := map[string]decide.Upstream{}
		now := epoch
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			u := decide.Upstream{
				Name: fmt.Sprint("e", rapid.IntRange(0, 5).Draw(t, "name")), Pool: "drafting", DataCentre: "a", Slots: 8, CapacityTokens: engineTokens,
				StepTime: 10 * time.Millisecond, Incarnation: ident.Incarnation(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			}
			removed := rapid.IntRange(0, 3).Draw(t, "removed") == 0
			if removed {
				delete(listed, u.Name)
			} else {
				listed[u.Name] = u
			}
			single.Step(now, decide.UpstreamChanged{Upstream: u, Removed: removed})
			complete.Step(now, decide.UpstreamsChanged{Upstreams: slices.Collect(maps.Values(listed))})
			gotPlace, gotRefused := arriveAt(single, now, n, 100)
			wantPlace, wantRefused := arriveAt(complete, now, n, 100)
			if gotPlace.Upstream != wantPlace.Upstream || gotRefused != wantRefused {
				t.Fatalf("placed on %+v, want %+v", gotPlace.Upstream, wantPlace.Upstream)
			}
		}
	})
}
