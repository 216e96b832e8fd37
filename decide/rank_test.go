package decide_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// demand is a kind of request in a simulation.
type demand struct {
	team                 string
	rank, prompt, output int
	target               time.Duration
	perSecond            float64
}

// The kinds of requests of a service under contention.
var (
	urgentDemand = demand{team: "desk", prompt: 2200, output: 10, target: 1500 * time.Millisecond}
	slowDemand   = demand{team: "batch", rank: 2, prompt: 3000, output: 750, target: 4 * time.Second}
)

const (
	// noticeLag is the age of notices when they arrive; they are all stale.
	noticeLag      = 30 * time.Millisecond
	simulatedStep  = 10 * time.Millisecond
	simulatedChunk = 100 // prompt tokens prefilled in a step
	engineMemory   = 26_886
)

// simulated is a request in a simulation.
type simulated struct {
	decide.Request
	demand    *demand
	instance  int
	arrivedAt time.Time
	engine    int
	output    int
	prefilled int
	generated int
	running   bool
	inTime    bool
}

func (r *simulated) memory() int { return r.PromptTokens + r.generated }

// contention simulates instances, their notices, which arrive late, and engines that prefill
// one prompt at a time, the most urgent first, and preempt the newest of the least urgent
// streams when their memory runs out.
type contention struct {
	fleet    []*decide.Scheduler
	engines  [][]*simulated
	requests map[ident.Request]*simulated
	now      time.Time
	// notices are delivered to all but their sender once they are due.
	notices     []delayedNotice
	preemptions int
}

type delayedNotice struct {
	due    time.Time
	sender int
	notice decide.Notice
}

func newContention(instances, engines int) *contention {
	var upstreams []decide.Upstream
	for i := range engines {
		upstreams = append(upstreams, newEngine(fmt.Sprint(i), engineMemory))
	}
	return &contention{
		fleet: newFleet(instances, upstreams).instances, engines: make([][]*simulated, engines), requests: map[ident.Request]*simulated{}, now: epoch,
	}
}

func (c *contention) step(instance int, e decide.Event) {
	for _, action := range c.fleet[instance].Step(c.now, e) {
		switch a := action.(type) {
		case decide.Notify:
			c.notices = append(c.notices, delayedNotice{c.now.Add(noticeLag), instance, a.Notice})
		case decide.Place:
			var engine int
			if _, err := fmt.Sscan(a.Upstream.Name, &engine); err != nil {
				panic(err)
			}
			c.engines[engine] = append(c.engines[engine], c.requests[a.ID])
		}
	}
}

// run simulates the arrivals for a time and returns the requests that arrived after the
// first third of it.
func (c *contention) run(duration time.Duration, seed uint64, ranked bool, demands ...demand) []*simulated {
	random := rand.New(rand.NewPCG(seed, 1))
	var measured []*simulated
	end := c.now.Add(duration)
	measureFrom := c.now.Add(duration / 3)
	for tick := 0; c.now.Before(end); tick++ {
		c.now = c.now.Add(simulatedStep)
		for len(c.notices) > 0 && !c.notices[0].due.After(c.now) {
			n := c.notices[0]
			c.notices = c.notices[1:]
			for i := range c.fleet {
				if i != n.sender {
					c.step(i, decide.NoticeReceived{Notice: n.notice})
				}
			}
		}
		for i := range demands {
			d := &demands[i]
			for mean := d.perSecond * simulatedStep.Seconds(); random.Float64() < mean; mean-- {
				r := c.arrive(random, d, ranked)
				if c.now.After(measureFrom) && c.now.Before(end.Add(-2*d.target)) {
					measured = append(measured, r)
				}
			}
		}
		for i := range c.engines {
			c.advance(i)
		}
		for i, s := range c.fleet {
			if s.Waiting() > 0 && (tick+i)%2 == 0 {
				c.step(i, decide.Tick{})
			}
		}
	}
	return measured
}

func (c *contention) arrive(random *rand.Rand, d *demand, ranked bool) *simulated {
	r := &simulated{demand: d, instance: random.IntN(len(c.fleet)), arrivedAt: c.now, output: max(1, d.output/2+random.IntN(d.output))}
	r.ID = ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(r.instance + 1)}, Sequence: uint64(len(c.requests) + 1)}
	wait := d.target * 6 / 10
	r.Team, r.PromptTokens, r.MaxOutputTokens = d.team, d.prompt, 2*d.output
	r.Class = config.Class{Name: fmt.Sprint(d.output), Kind: config.Stream, Pool: "drafting", WaitTarget: wait, MaxOutputTokens: 2 * d.output}
	r.StartBy, r.FirstTokenBy = c.now.Add(wait), c.now.Add(d.target)
	if ranked {
		r.Ranked, r.Rank = true, d.rank
	}
	c.requests[r.ID] = r
	c.step(r.instance, decide.Arrived{Request: r.Request})
	return r
}

// advance runs an engine for one step. Streams are admitted while they fit, the most urgent
// first. When running ones outgrow the memory, the newest of the least urgent is preempted.
func (c *contention) advance(engine int) {
	byRank := func(a, b *simulated) int { return cmp.Compare(a.Rank, b.Rank) }
	list := c.engines[engine]
	memory, running := 0, 0
	for _, r := range list {
		if r.running {
			memory += r.memory() + 1
			running++
		}
	}
	waiting := slices.Clone(list)
	slices.SortStableFunc(waiting, byRank)
	for _, r := range slices.Backward(waiting) {
		if memory <= engineMemory {
			break
		}
		if r.running {
			memory -= r.memory() + 1
			running--
			c.preemptions++
			r.running, r.inTime, r.prefilled = false, false, 0
		}
	}
	for _, r := range waiting {
		if r.running {
			continue
		}
		if memory+r.memory() >= engineMemory || running >= 24 {
			break
		}
		memory += r.memory() + 1
		running++
		r.running = true
	}
	chunk := simulatedChunk
	for _, r := range list {
		if !r.running {
			continue
		}
		prefill := min(chunk, r.memory()-r.prefilled)
		r.prefilled += prefill
		chunk -= prefill
		if r.prefilled < r.memory() {
			continue
		}
		r.generated++
		r.prefilled++
		if r.generated == 1 {
			r.inTime = c.now.Sub(r.arrivedAt) <= r.demand.target
		}
		if r.generated == 1 || r.generated%64 == 0 {
			c.step(r.instance, decide.Progressed{ID: r.ID, Tokens: r.generated})
		}
	}
	var ended []*simulated
	c.engines[engine] = slices.DeleteFunc(list, func(r *simulated) bool {
		if r.generated < r.output {
			return false
		}
		ended = append(ended, r)
		return true
	})
	for _, r := range ended {
		c.step(r.instance, decide.Ended{ID: r.ID, Tokens: r.generated, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
	}
}

// sharesInTime returns the share of requests served in time, by team.
func sharesInTime(requests []*simulated) map[string]float64 {
	served, all := map[string]float64{}, map[string]float64{}
	for _, r := range requests {
		all[r.Team]++
		if r.inTime {
			served[r.Team]++
		}
	}
	for team := range all {
		served[team] /= all[team]
	}
	return served
}

// TestUrgentStreamsUnderOverload checks that streams that need little are served in time
// although about 1.3 times as much is wanted as the engines hold, whatever the number of
// instances, and that they take little from the less urgent ones. Without ranks the urgent
// streams wait behind those that hold memory for seconds.
func TestUrgentStreamsUnderOverload(t *testing.T) {
	for name, test := range map[string]struct {
		instances, engines int
		duration           time.Duration
		// seeds is the number of plays that are taken together: each has few streams.
		seeds int
	}{
		"1 instance": {1, 8, 24 * time.Second, 3}, "18 instances": {18, 8, 24 * time.Second, 3}, "130 instances": {130, 8, 15 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			urgent, slow := urgentDemand, slowDemand
			urgent.perSecond, slow.perSecond = 2.5*float64(test.engines), 1.3*float64(test.engines)
			shares := map[bool]map[string]float64{}
			for _, ranked := range []bool{false, true} {
				var streams []*simulated
				for seed := range uint64(test.seeds) {
					c := newContention(test.instances, test.engines)
					streams = append(streams, c.run(test.duration, 1+seed, ranked, urgent, slow)...)
				}
				shares[ranked] = sharesInTime(streams)
				t.Logf("ranked %v: %.3f of the urgent and %.3f of the less urgent streams in time", ranked, shares[ranked]["desk"], shares[ranked]["batch"])
			}
			// A burst of urgent streams alone can want more than all engines can prefill.
			assert.Assert(t, shares[true]["desk"] >= 0.9 && shares[true]["desk"] >= shares[true]["batch"]-0.05)
			assert.Assert(t, shares[true]["batch"] >= shares[false]["batch"]-0.15, "strict order costs the less urgent streams more than the urgent ones need")
		})
	}
}

// TestFloodingTeam checks that a team which wants more than all engines hold leaves small
// teams of its rank their share.
func TestFloodingTeam(t *testing.T) {
	flood, desk := slowDemand, urgentDemand
	flood.team, flood.perSecond, desk.perSecond = "flood", 16, 8
	demands := []demand{desk, flood}
	for i := range 20 {
		small := slowDemand
		small.team, small.perSecond = fmt.Sprint("small", i), 0.2
		demands = append(demands, small)
	}
	shares := sharesInTime(newContention(18, 8).run(24*time.Second, 1, true, demands...))
	small := 0.0
	for i := range 20 {
		small += shares[fmt.Sprint("small", i)] / 20
	}
	assert.Assert(t, small >= 0.7 && small > 3*shares["flood"], "%.2f of the small teams' streams and %.2f of the flooding team's were in time", small, shares["flood"])
}

// TestLowRankIsNotStarved checks that a steady load of the highest rank, of more than all
// engines hold, leaves something to a few streams of a lower rank.
func TestLowRankIsNotStarved(t *testing.T) {
	for low := 1; low <= 3; low++ {
		high, slow := slowDemand, slowDemand
		high.rank, high.team, high.perSecond = 0, "high", 13
		slow.rank, slow.perSecond = low, 1.6
		shares := sharesInTime(newContention(18, 8).run(24*time.Second, 1, true, high, slow))
		assert.Assert(t, shares["batch"] > 0.05, "rank %d: %.2f of the low and %.2f of the high rank in time", low, shares["batch"], shares["high"])
		assert.Assert(t, shares["batch"] <= shares["high"]+0.05, "rank %d: %.2f of the low and %.2f of the high rank in time", low, shares["batch"], shares["high"])
	}
}

// TestRanksInQueue checks what waits and what is placed when an engine becomes free.
func TestRanksInQueue(t *testing.T) {
	ranked := func(rank, prompt int) func(*decide.Request) {
		return func(r *decide.Request) {
			r.Ranked, r.Rank, r.PromptTokens = true, rank, prompt
		}
	}
	const large, tooLarge = engineTokens * 3 / 5, 2 * engineTokens
	for name, test := range map[string]struct {
		// waiting requests arrive in this order while the engine is full.
		waiting []func(*decide.Request)
		after   time.Duration
		// placed is the index of the first request that is placed.
		placed int
	}{
		"the higher rank first":                             {[]func(*decide.Request){ranked(2, large), ranked(0, large)}, 10 * time.Millisecond, 1},
		"a low rank that fits nowhere":                      {[]func(*decide.Request){ranked(2, tooLarge), ranked(0, large)}, 10 * time.Millisecond, 1},
		"a low rank near its latest start":                  {[]func(*decide.Request){ranked(1, large), ranked(1, large)}, 950 * time.Millisecond, 0},
		"a high rank that fits nowhere, for a short time":   {[]func(*decide.Request){ranked(0, tooLarge), ranked(2, 100)}, 10 * time.Millisecond, -1},
		"a high rank that fits nowhere, not until too late": {[]func(*decide.Request){ranked(0, tooLarge), ranked(2, 100)}, 800 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(1)
			h.now = h.now.Add(time.Second)
			h.report(func(int) decide.Report { return fullReport })
			var ids []ident.Request
			for _, change := range test.waiting {
				id, actions := h.arrive("reef", change)
				assert.Equal(t, describe(actions), "")
				ids = append(ids, id)
			}
			h.now = h.now.Add(test.after)
			placed := -1
			for _, action := range h.report(func(int) decide.Report { return decide.Report{} }) {
				if place, ok := action.(decide.Place); ok && placed < 0 {
					placed = slices.Index(ids, place.ID)
				}
			}
			assert.Equal(t, placed, test.placed)
		})
	}
}

// TestRefusalNamesRanks checks that a request that can't be in time is refused then, and not
// later, and that the explanation names what was ahead of it.
func TestRefusalNamesRanks(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	h.report(func(int) decide.Report { return fullReport })
	for _, rank := range []int{0, 0, 2} {
		h.arrive("reef", func(r *decide.Request) { r.Ranked, r.Rank = true, rank })
	}
	h.now = h.now.Add(draftClass.WaitTarget + time.Millisecond)
	var explanations []string
	for _, action := range h.report(func(int) decide.Report { return fullReport }) {
		explanations = append(explanations, action.(decide.Refuse).Explanation)
	}
	assert.Equal(t, len(explanations), 3)
	assert.Assert(t, strings.Contains(explanations[2], "rank 2, ahead of it: "), explanations[2])
}

// TestDisplacedRequestIsRefused checks that a waiting request is refused as soon as so many of
// higher rank come before it that it can't be in time, and not only when its time is over.
func TestDisplacedRequestIsRefused(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	h.report(func(int) decide.Report { return fullReport })
	var ids []ident.Request
	for i := range 4 {
		id, actions := h.arrive(fmt.Sprint("low", i), func(r *decide.Request) { r.Ranked, r.Rank = true, 2 })
		assert.Equal(t, describe(actions), "")
		ids = append(ids, id)
	}
	for i := range 60 { // Some 50 requests were placed per second before.
		h.arrive(fmt.Sprint("team", i), func(r *decide.Request) { r.Ranked, r.StartBy = true, h.now.Add(2*time.Second) })
	}
	h.now = h.now.Add(20 * time.Millisecond)
	actions := h.step(decide.Tick{})
	assert.Equal(t, len(actions), 2, "the first two of a rank may wait until they have risen")
	for i, action := range actions {
		refusal := action.(decide.Refuse)
		assert.Equal(t, refusal.ID, ids[2+i])
		assert.Equal(t, refusal.Reason, verdict.Overloaded)
		assert.Assert(t, strings.Contains(refusal.Explanation, "displaced after") && strings.Contains(refusal.Explanation, "60 of rank 0, 2 of rank 2"), refusal.Explanation)
	}
}

// TestReturnsAreSpread checks that requests which are refused together are asked back within
// a third of their time, but not all at once.
func TestReturnsAreSpread(t *testing.T) {
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	h.report(func(int) decide.Report { return fullReport })
	deadline := h.now.Add(6 * time.Second)
	for range 20 {
		h.arrive("reef", func(r *decide.Request) { r.Ranked, r.Rank, r.Deadline = true, 2, deadline })
	}
	h.now = h.now.Add(draftClass.WaitTarget + time.Millisecond)
	latest := h.now.Add(deadline.Sub(h.now) / 3)
	var first, last time.Time
	for _, action := range h.report(func(int) decide.Report { return fullReport }) {
		at := action.(decide.Refuse).RetryAt
		assert.Assert(t, at.After(h.now) && !at.After(latest))
		if first.IsZero() || at.Before(first) {
			first = at
		}
		if at.After(last) {
			last = at
		}
	}
	assert.Assert(t, last.Sub(first) > 200*time.Millisecond, "20 requests return within %v", last.Sub(first))
}
