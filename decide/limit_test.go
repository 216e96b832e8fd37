package decide_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// limitFleet simulates instances that place calls on one limited upstream.
type limitFleet struct {
	random    *rand.Rand
	now       time.Time
	instances []*decide.Scheduler
	// notices are in transit, in the order of their delivery.
	notices []limitNoticeInTransit
	// sent are the times at which requests were sent to the upstream.
	sent []time.Time
	// refused counts refusals.
	refused  int
	sequence uint64
	// perSecond is the upstream's current limit; delay is the time until a notice
	// arrives, and loss the share of lost notices.
	perSecond float64
	delay     time.Duration
	loss      float64
}

type limitNoticeInTransit struct {
	at     time.Time
	sender *decide.Scheduler
	notice decide.LimitNotice
}

var limitedUpstream = decide.Upstream{Name: "u1", Pool: "desk", DataCentre: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: 6}

func newLimitFleet(instances int, perSecond float64) *limitFleet {
	f := &limitFleet{random: rand.New(rand.NewPCG(1, uint64(instances))), now: time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC), perSecond: perSecond}
	for range instances {
		f.join(instances)
	}
	return f
}

// join adds an instance to a fleet of the given size.
func (f *limitFleet) join(size int) *decide.Scheduler {
	s := decide.New("a")
	s.SetInstances(epoch, size)
	s.Step(f.now, decide.UpstreamsChanged{Upstreams: []decide.Upstream{limitedUpstream}})
	f.instances = append(f.instances, s)
	return s
}

// deliver delivers the notices that are due.
func (f *limitFleet) deliver() {
	for len(f.notices) > 0 && !f.notices[0].at.After(f.now) {
		n := f.notices[0]
		f.notices = f.notices[1:]
		for _, s := range f.instances {
			if s != n.sender && f.random.Float64() >= f.loss {
				s.Step(f.now, decide.LimitNoticeReceived{Notice: n.notice})
			}
		}
	}
}

// call submits a call to an instance, which the upstream answers at once if it is sent.
func (f *limitFleet) call(s *decide.Scheduler) decide.Action {
	f.sequence++
	id := ident.Request{Sequence: f.sequence}
	r := decide.Request{ID: id, Class: config.Class{Name: "read", Pool: "desk", Kind: config.Read, WaitTarget: 90 * time.Millisecond}, StartBy: f.now.Add(90 * time.Millisecond)}
	var outcome decide.Action
	step := func(e decide.Event) {
		for _, a := range s.Step(f.now, e) {
			switch a := a.(type) {
			case decide.Place, decide.Refuse:
				outcome = a
			case decide.NotifyLimit:
				f.notices = append(f.notices, limitNoticeInTransit{f.now.Add(f.delay), s, a.Notice})
			}
		}
	}
	step(decide.Arrived{Request: r})
	if _, placed := outcome.(decide.Place); placed {
		f.sent = append(f.sent, f.now)
		step(decide.LimitReported{Upstream: "u1", Incarnation: 1, Limited: true, PerSecond: f.perSecond})
		step(decide.Ended{ID: id, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
		return outcome
	}
	f.refused++
	return outcome
}

// run submits calls at random times at the rate, to random ones of the first instances.
func (f *limitFleet) run(d time.Duration, perSecond float64, loaded int) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		f.deliver()
		f.call(f.instances[f.random.IntN(loaded)])
	}
}

// limitWindow is the time in which a limited upstream may get 1.25 times the requests
// that its limit allows, and excessSlack more.
const (
	limitWindow = 4 * time.Second
	excessShare = 1.25
	excessSlack = 5
)

// mostSent returns the largest number of requests within limitWindow since start.
func (f *limitFleet) mostSent(start time.Time) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for f.sent[first].Before(start) || at.Sub(f.sent[first]) >= limitWindow {
			if first == i {
				break
			}
			first++
		}
		if !at.Before(start) {
			most = max(most, i-first+1)
		}
	}
	return most
}

func TestLimitIsSharedByAllInstances(t *testing.T) {
	const (
		warmUp   = 500 * time.Millisecond
		duration = 30 * time.Second
	)
	for _, instances := range []int{1, 3, 19, 100, 300} {
		for _, perSecond := range []float64{0.5, 3.8, 20, 200} {
			for name, loaded := range map[string]int{"even": instances, "one instance": 1} {
				for _, demandShare := range []float64{1.3, 1.5, 10} {
					t.Run(fmt.Sprintf("%d instances, %v/s, %s, %v times the limit", instances, perSecond, name, demandShare), func(t *testing.T) {
						f := newLimitFleet(instances, perSecond)
						f.delay, f.loss = 60*time.Millisecond, 0.03
						start := f.now.Add(warmUp)
						f.run(duration, max(10, demandShare*perSecond), loaded)
						got, allowed := f.mostSent(start), excessShare*perSecond*limitWindow.Seconds()+excessSlack
						assert.Check(t, float64(got) <= allowed, "got %d in %v, allowed %.1f", got, limitWindow, allowed)
						used := float64(len(f.sent)) / duration.Seconds() / perSecond
						assert.Check(t, used >= 0.8, "used %.2f of the limit", used)
					})
				}
			}
		}
	}
}

func TestChangingLimitIsKept(t *testing.T) {
	for _, instances := range []int{1, 19, 100} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			f := newLimitFleet(instances, 10)
			f.delay = 60 * time.Millisecond
			start := f.now.Add(500 * time.Millisecond)
			limits := []float64{10, 2, 30, 5, 1}
			highest := 0.0
			for i := range 40 {
				f.perSecond = limits[i%len(limits)]
				highest = max(highest, f.perSecond)
				f.run(time.Second, 60, instances)
			}
			// The upstream's limits add up to 48 in 5 s.
			assert.Check(t, float64(f.mostSent(start)) <= excessShare*48+excessSlack, "%d in %v", f.mostSent(start), limitWindow)
		})
	}
}

func TestInstanceThatJoinsKeepsLimit(t *testing.T) {
	f := newLimitFleet(18, 3.8)
	f.delay = 60 * time.Millisecond
	start := f.now.Add(500 * time.Millisecond)
	for range 6 {
		f.run(3*time.Second, 40, len(f.instances))
		f.join(len(f.instances) + 1)
	}
	assert.Check(t, float64(f.mostSent(start)) <= excessShare*3.8*limitWindow.Seconds()+excessSlack, "%d in %v", f.mostSent(start), limitWindow)
}

func TestRefusalAtLimitNamesTimeThatCanBeKept(t *testing.T) {
	f := newLimitFleet(4, 4)
	s := f.instances[0]
	f.call(s)
	var latest time.Time
	for range 20 {
		refusal, ok := f.call(s).(decide.Refuse)
		assert.Assert(t, ok)
		assert.Equal(t, refusal.Reason, verdict.Overloaded)
		assert.Assert(t, refusal.RetryAt.After(latest))
		latest = refusal.RetryAt
	}
	// The instance's share is one request a second.
	want := 20 * time.Second
	assert.Assert(t, math.Abs(float64(latest.Sub(f.now)-want)) < float64(time.Second), "%v", latest.Sub(f.now))
}

func TestLimitEnds(t *testing.T) {
	f := newLimitFleet(2, 4)
	s, other := f.instances[0], f.instances[1]
	f.call(s)
	f.deliver()
	f.now = f.now.Add(time.Millisecond)
	heardAt := f.now
	s.Step(f.now, decide.LimitReported{Upstream: "u1", Incarnation: 1})
	other.Step(f.now, decide.LimitNoticeReceived{Notice: decide.LimitNotice{Upstream: "u1", Incarnation: 1, HeardAt: heardAt}})
	f.now = f.now.Add(time.Millisecond)
	// A delayed notice from before the end changes nothing.
	other.Step(f.now, decide.LimitNoticeReceived{Notice: decide.LimitNotice{Upstream: "u1", Incarnation: 1, Limited: true, PerSecond: 4, HeardAt: heardAt.Add(-time.Second)}})
	for _, instance := range []*decide.Scheduler{s, other} {
		_, placed := f.call(instance).(decide.Place)
		assert.Assert(t, placed)
	}
}

func limitedEngines(names ...string) (*decide.Scheduler, func(decide.Event) []decide.Action) {
	s, now := decide.New("a"), time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	var engines []decide.Upstream
	for _, name := range names {
		engines = append(engines, decide.Upstream{Name: name, Pool: "pool", DataCentre: "a", Incarnation: 1, Slots: 8, CapacityTokens: 10_000, StepTime: 10 * time.Millisecond})
	}
	s.Step(now, decide.UpstreamsChanged{Upstreams: engines})
	s.Step(now, decide.LimitReported{Upstream: names[0], Incarnation: 1, Limited: true, PerSecond: 1})
	return s, func(e decide.Event) []decide.Action {
		now = now.Add(20 * time.Millisecond)
		return s.Step(now, e)
	}
}

func streamRequest(n uint64) decide.Request {
	return decide.Request{
		ID: ident.Request{Sequence: n}, Class: config.Class{Name: "draft", Pool: "pool", Kind: config.Stream, WaitTarget: 2 * time.Second},
		PromptTokens: 100, MaxOutputTokens: 100, StartBy: time.Date(2027, 1, 31, 9, 30, 10, 0, time.UTC),
	}
}

// placements returns the upstreams of the placements among the actions.
func placements(actions []decide.Action) (names []string) {
	for _, a := range actions {
		if place, ok := a.(decide.Place); ok {
			names = append(names, place.Upstream.Name)
		}
	}
	return names
}

func TestStreamsAvoidEngineAtLimit(t *testing.T) {
	_, step := limitedEngines("e1", "e2")
	for n := range uint64(6) {
		assert.DeepEqual(t, placements(step(decide.Arrived{Request: streamRequest(n)})), []string{"e2"})
	}
}

func TestStreamWaitsForLimitOfOnlyEngine(t *testing.T) {
	_, step := limitedEngines("e1")
	assert.Equal(t, len(placements(step(decide.Arrived{Request: streamRequest(1)}))), 0)
	ticks := 1
	for ticks < 200 && len(placements(step(decide.Tick{}))) == 0 {
		ticks++
	}
	// The limit allows one request a second, which any request may send after two.
	assert.Assert(t, ticks > 45 && ticks < 105, "placed after %d ticks of 20 ms", ticks)
}

func TestMoveAvoidsEngineAtLimit(t *testing.T) {
	_, step := limitedEngines("e1", "e2", "e3")
	assert.Equal(t, len(placements(step(decide.Arrived{Request: streamRequest(1)}))), 1)
	for range 4 {
		moves := placements(step(decide.MoveRequested{ID: streamRequest(1).ID}))
		assert.Equal(t, len(moves), 1)
		assert.Assert(t, moves[0] != "e1")
		step(decide.MoveEnded{ID: streamRequest(1).ID, Moved: true})
	}
}
