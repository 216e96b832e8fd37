package decide_test

import (
	"fmt"
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
	engineTokens = 2000
	draftTokens  = 100
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
	r := &harness{Scheduler: decide.New("dc1"), now: epoch, engines: engines}
	r.setUpstreams(func(*decide.Upstream) {})
	for range 300 { // Builds the history of output lengths.
		id := r.nextID()
		r.step(decide.Arrived{Request: decide.Request{ID: id, Team: "reef", Class: draftClass, PromptTokens: 100}})
		r.step(decide.Ended{ID: id, Tokens: draftTokens, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
		r.now = r.now.Add(20 * time.Millisecond)
	}
	r.report(func(int) decide.Report { return decide.Report{} })
	return r
}

func (r *harness) setUpstreams(change func(*decide.Upstream)) {
	var all []decide.Upstream
	for i := range r.engines {
		u := decide.Upstream{Name: fmt.Sprint("engine", i), Pool: "drafting", DataCentre: "dc1", Incarnation: 1}
		change(&u)
		all = append(all, u)
	}
	r.step(decide.UpstreamsChanged{Upstreams: all})
}

func (r *harness) nextID() ident.Request {
	r.lastSequence++
	return ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: r.lastSequence}
}

// step handles an event, keeps the notices and returns the other actions.
func (r *harness) step(e decide.Event) []decide.Action {
	var decisions []decide.Action
	for _, action := range r.Step(r.now, e) {
		if notify, ok := action.(decide.Notify); ok {
			r.notices = append(r.notices, notify.Notice)
			continue
		}
		decisions = append(decisions, action)
	}
	return decisions
}

// report delivers a load report of each engine, taken now.
func (r *harness) report(of func(engine int) decide.Report) []decide.Action {
	var actions []decide.Action
	for i := range r.engines {
		report := of(i)
		report.TakenAt, report.CapacityTokens, report.StepTime = r.now, engineTokens, 30*time.Millisecond
		actions = append(actions, r.step(decide.ReportReceived{Upstream: fmt.Sprint("engine", i), Report: report})...)
	}
	return actions
}

// arrive requests a placement for a draft of the team.
func (r *harness) arrive(team string, change func(*decide.Request)) (ident.Request, []decide.Action) {
	request := draft(team)
	request.ID, request.StartBy = r.nextID(), r.now.Add(draftClass.WaitTarget)
	if change != nil {
		change(&request)
	}
	return request.ID, r.step(decide.Arrived{Request: request})
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
		"all engines avoided": {func(int) decide.Report { return decide.Report{} }, func(r *decide.Request) {
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
			r := newHarness(3)
			r.now = r.now.Add(time.Second)
			r.report(c.reports)
			_, actions := r.arrive("reef", c.change)
			assert.Equal(t, describe(actions), c.want)
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
			r := newHarness(1)
			for _, batch := range []int{2, 4, 6, 8} {
				r.now = r.now.Add(500 * time.Millisecond)
				r.step(decide.ReportReceived{Upstream: "engine0", Report: decide.Report{
					TakenAt: r.now, Running: batch, UsedTokens: 50, CapacityTokens: 1000 * engineTokens,
					StepTime: time.Duration(20+2*batch) * time.Millisecond,
				}})
			}
			_, actions := r.arrive("reef", func(q *decide.Request) { q.Class.PaceTarget = c.pace })
			assert.Equal(t, describe(actions), c.want)
		})
	}
}

func TestWaitingRequestIsPlacedWhenRoomIsReported(t *testing.T) {
	r := newHarness(1)
	r.report(func(int) decide.Report { return fullReport })
	r.now = r.now.Add(100 * time.Millisecond)
	r.report(func(int) decide.Report { return fullReport })
	id, actions := r.arrive("reef", nil)
	assert.Equal(t, len(actions), 0)
	r.now = r.now.Add(100 * time.Millisecond)
	actions = r.report(func(int) decide.Report { return decide.Report{} })
	assert.Equal(t, describe(actions), "place on engine0")
	place := actions[0].(decide.Place)
	assert.Equal(t, place.ID, id)
	assert.Assert(t, strings.Contains(place.Explanation, "waited 100ms"), place.Explanation)
}

func TestWaitingRequestExpires(t *testing.T) {
	r := newHarness(1)
	r.now = r.now.Add(100 * time.Millisecond)
	r.report(func(int) decide.Report { return fullReport })
	r.arrive("reef", nil)
	for range 19 {
		r.now = r.now.Add(100 * time.Millisecond)
		r.report(func(int) decide.Report { return fullReport })
		assert.Equal(t, describe(r.step(decide.Tick{})), "")
	}
	r.now = r.now.Add(100 * time.Millisecond)
	actions := r.step(decide.Tick{})
	assert.Equal(t, describe(actions), "refuse as wait_expired")
	assert.Assert(t, actions[0].(decide.Refuse).RetryAt.After(r.now))
}

func TestLargeTeamDoesNotDelaySmallTeam(t *testing.T) {
	r := newHarness(1)
	r.now = r.now.Add(100 * time.Millisecond)
	r.report(func(int) decide.Report { return fullReport })
	for range 6 {
		r.arrive("large", nil)
	}
	r.now = r.now.Add(10 * time.Millisecond)
	small, actions := r.arrive("small", nil)
	assert.Equal(t, len(actions), 0)
	r.now = r.now.Add(100 * time.Millisecond)
	actions = r.report(func(int) decide.Report { return decide.Report{} })
	position := -1
	for i, action := range actions {
		if action.(decide.Place).ID == small {
			position = i
		}
	}
	assert.Equal(t, position, 1, "the small team's request was at position %d of %d placements", position, len(actions))
}

func TestRefusalOnlyWhenTheForecastMissesTheTarget(t *testing.T) {
	r := newHarness(1)
	r.now = r.now.Add(100 * time.Millisecond)
	r.report(func(int) decide.Report { return fullReport })
	refused := 0
	for range 300 {
		_, actions := r.arrive("reef", nil)
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
	r := newHarness(2)
	r.now = r.now.Add(10 * time.Millisecond)
	granted := 0
	for range 100 {
		r.report(func(int) decide.Report { return decide.Report{} })
		id, actions := r.arrive("reef", func(q *decide.Request) { q.Excluded = []string{"engine0"} })
		if describe(actions) == "place on engine1" {
			granted++
		}
		r.step(decide.Ended{ID: id})
		r.now = r.now.Add(10 * time.Millisecond)
	}
	assert.Equal(t, granted, 20, "the retries after 300 first attempts must be limited to the capacity of the retry budget")
}

func TestEjectionAndSlowStart(t *testing.T) {
	r := newHarness(2)
	placedOnFailing := func() int {
		count := 0
		for range 200 {
			r.now = r.now.Add(time.Millisecond)
			r.report(func(int) decide.Report { return decide.Report{} })
			id, actions := r.arrive("reef", nil)
			if describe(actions) == "place on engine0" {
				count++
			}
			r.step(decide.Ended{ID: id})
		}
		return count
	}
	before := placedOnFailing()
	assert.Assert(t, before > 60 && before < 140, "%d of 200 requests were placed on engine0, want 61 to 139", before)
	for range 3 {
		r.step(decide.Failed{Upstream: "engine0"})
		r.step(decide.Failed{Upstream: "engine1"})
	}
	assert.Equal(t, placedOnFailing(), 0)
	r.now = r.now.Add(900 * time.Millisecond)
	inSlowStart := placedOnFailing()
	assert.Assert(t, inSlowStart > 0 && inSlowStart < before/2, "%d of 200 requests were placed on engine0 at the beginning of slow start, want some, but fewer than half as many as before", inSlowStart)
	r.now = r.now.Add(6 * time.Second)
	afterSlowStart := placedOnFailing()
	assert.Assert(t, afterSlowStart > 60, "%d of 200 requests were placed on engine0 after slow start, want more than 60", afterSlowStart)
}

func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	r := newHarness(2)
	r.setUpstreams(func(u *decide.Upstream) { u.Leaving = u.Name == "engine0" })
	for range 20 {
		_, actions := r.arrive("reef", nil)
		assert.Assert(t, !strings.Contains(describe(actions), "engine0"))
	}
}

// TestNoticesCountBeforeReports checks that a request placed by another
// instance counts before any load report includes it, and until it ends or no
// further notices arrive.
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
			large := func(q *decide.Request) { q.PromptTokens = engineTokens * 3 / 5 }
			sender.notices = nil
			id, actions := sender.arrive("reef", func(q *decide.Request) {
				large(q)
				q.ID.Home.Incarnation++
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
	r := newHarness(1)
	r.now = r.now.Add(100 * time.Millisecond)
	large := func(q *decide.Request) { q.PromptTokens = engineTokens / 2 }
	r.report(func(int) decide.Report { return fullReport })
	peerRequest := draft("other")
	peerRequest.ID, peerRequest.StartBy = ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: 1}, r.now.Add(draftClass.WaitTarget/2)
	large(&peerRequest)
	r.step(decide.NoticeReceived{Notice: decide.Notice{Kind: decide.NoticeWaiting, Request: peerRequest}})
	id, actions := r.arrive("reef", large)
	assert.Equal(t, describe(actions), "")
	r.now = r.now.Add(100 * time.Millisecond)
	actions = r.report(func(int) decide.Report { return decide.Report{} })
	assert.Equal(t, describe(actions), "", "the other instance's request must be served first")
	// The other instance sends no notice that it placed its request, so the
	// reservations end.
	for len(actions) == 0 {
		r.now = r.now.Add(10 * time.Millisecond)
		assert.Assert(t, r.now.Before(epoch.Add(time.Minute)))
		actions = r.report(func(int) decide.Report { return decide.Report{} })
	}
	assert.Equal(t, describe(actions), "place on engine0")
	assert.Equal(t, actions[0].(decide.Place).ID, id)
}

// TestSchedulerInvariants checks for random sequences of requests that each
// request gets exactly one decision, that placements don't exceed the free
// memory, and that every waiting request is decided when its waiting time
// expires.
func TestSchedulerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness(2)
		open, prompts := map[ident.Request]bool{}, map[ident.Request]int{}
		promptTokens := map[string]int{}
		checkActions := func(actions []decide.Action) {
			for _, action := range actions {
				switch a := action.(type) {
				case decide.Place:
					assert.Assert(t, open[a.ID], "every decision must be on a waiting request")
					delete(open, a.ID)
					promptTokens[a.Upstream.Name] += prompts[a.ID]
					assert.Assert(t, promptTokens[a.Upstream.Name] <= engineTokens, "%d prompt tokens were placed on %s, more than its memory holds", promptTokens[a.Upstream.Name], a.Upstream.Name)
				case decide.Refuse:
					assert.Assert(t, open[a.ID], "every decision must be on a waiting request")
					delete(open, a.ID)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			r.now = r.now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			request := draft(rapid.SampledFrom([]string{"reef", "large", "small"}).Draw(t, "team"))
			request.ID, request.StartBy = r.nextID(), r.now.Add(draftClass.WaitTarget)
			request.PromptTokens = rapid.IntRange(1, 600).Draw(t, "prompt")
			open[request.ID], prompts[request.ID] = true, request.PromptTokens
			checkActions(r.step(decide.Arrived{Request: request}))
			checkActions(r.step(decide.Tick{}))
		}
		r.now = r.now.Add(2 * draftClass.WaitTarget)
		checkActions(r.step(decide.Tick{}))
		assert.Equal(t, len(open), 0, "every request must get a decision")
	})
}

// BenchmarkDecision measures one decision in a fleet of the target size: every
// engine runs requests known from notices of other instances, and all
// forecasts are stale.
func BenchmarkDecision(b *testing.B) {
	const engines, teams, requestsPerEngine = 125, 21_000, 8
	r := newHarness(engines)
	notice := func(kind decide.NoticeKind, engine, i, tokens int) decide.Event {
		request := draft(fmt.Sprint("team", (engine*requestsPerEngine+i)%teams))
		request.ID = ident.Request{Home: ident.Home{Incarnation: 8}, Sequence: uint64(engine*requestsPerEngine + i)}
		return decide.NoticeReceived{Notice: decide.Notice{Kind: kind, Upstream: fmt.Sprint("engine", engine), Request: request, Tokens: tokens}}
	}
	for engine := range engines {
		for i := range requestsPerEngine {
			r.step(notice(decide.NoticePlaced, engine, i, 0))
		}
	}
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		r.now = r.now.Add(250 * time.Millisecond)
		r.report(func(int) decide.Report {
			return decide.Report{Running: requestsPerEngine, UsedTokens: 100 * requestsPerEngine}
		})
		for engine := range engines {
			r.step(notice(decide.NoticeProgressed, engine, i%requestsPerEngine, 1+i/requestsPerEngine))
		}
		b.StartTimer()
		id, _ := r.arrive(fmt.Sprint("team", i%teams), nil)
		b.StopTimer()
		r.step(decide.Ended{ID: id})
		b.StartTimer()
	}
}
