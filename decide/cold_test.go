package decide_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// coldBounds are those of the platform.
var coldBounds = decide.ColdBounds{Overage: 1.5, Slack: 5}

const (
	coldSlots    = 24
	coldCallTime = 30 * time.Millisecond
	// usedOfCold is the share of the rate that must be used if the demand exceeds it.
	usedOfCold = 0.8
	// usedOfLowRate is the same for a rate under 10 a second.
	usedOfLowRate = 0.65
)

// coldFleet simulates instances in several data centres that place calls on upstreams of one
// data centre.
type coldFleet struct {
	random    *rand.Rand
	now       time.Time
	upstreams []decide.Upstream
	instances []*coldInstance
	inTransit []coldTransit
	// sent are the times at which requests were sent, by upstream.
	sent     map[string][]time.Time
	sequence uint64
	// localDelay and remoteDelay are the longest times until a notice arrives in the same and
	// in another data centre, and loss is the share of lost notices. In a split fleet none
	// arrives in another data centre.
	localDelay, remoteDelay time.Duration
	loss                    float64
	split                   bool
	// answersCold makes the upstreams declare in their responses until when they are cold.
	answersCold time.Time
}

type coldInstance struct {
	scheduler  *decide.Scheduler
	dataCentre string
	control    netip.AddrPort
}

// coldTransit is an event that reaches an instance at a time.
type coldTransit struct {
	at    time.Time
	to    *coldInstance
	event decide.Event
}

func newColdFleet(seed uint64, upstreams int, perSecond float64) *coldFleet {
	f := &coldFleet{
		random: rand.New(rand.NewPCG(seed, 7)), now: epoch, sent: map[string][]time.Time{},
		localDelay: 60 * time.Millisecond, remoteDelay: 120 * time.Millisecond, loss: 0.05,
	}
	for n := range upstreams {
		f.upstreams = append(f.upstreams, decide.Upstream{
			Name: fmt.Sprint("u", n), Pool: "desk", DataCentre: "a", Addr: netip.MustParseAddrPort("10.0.0.1:80"), Incarnation: 1, Slots: coldSlots,
			ColdPerSecond: perSecond, ColdStart: 4 * time.Second,
		})
	}
	return f
}

// join adds an instance.
func (f *coldFleet) join(dataCentre string) *coldInstance {
	n := len(f.instances)
	i := &coldInstance{scheduler: decide.New(dataCentre), dataCentre: dataCentre, control: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 80)}
	i.scheduler.SetColdBounds(coldBounds)
	f.instances = append(f.instances, i)
	i.scheduler.Step(f.now, decide.UpstreamsChanged{Upstreams: f.upstreams})
	return i
}

// know tells all instances which others there are.
func (f *coldFleet) know() {
	counts := map[string]int{}
	for _, i := range f.instances {
		counts[i.dataCentre]++
	}
	for _, i := range f.instances {
		i.scheduler.SetInstances(epoch, len(f.instances))
		i.scheduler.SetDataCentres(counts)
		var others []decide.Member
		for _, other := range f.instances {
			if other != i && other.dataCentre == i.dataCentre {
				others = append(others, decide.Member{Control: other.control})
			}
		}
		i.scheduler.Step(f.now, decide.MembersChanged{Self: i.control, Others: others})
	}
}

// spread adds instances, spread evenly over data centres.
func (f *coldFleet) spread(instances, dataCentres int) {
	for n := range instances {
		f.join(string(rune('a' + n%dataCentres)))
	}
	f.know()
}

// returnCold makes all upstreams count as cold.
func (f *coldFleet) returnCold() {
	for _, i := range f.instances {
		f.step(i, decide.ColdAssumed{DataCentre: "a"})
	}
}

// step passes an event to an instance and returns its placement or refusal.
func (f *coldFleet) step(i *coldInstance, e decide.Event) (outcome decide.Action) {
	for _, a := range i.scheduler.Step(f.now, e) {
		switch a := a.(type) {
		case decide.Place, decide.Refuse:
			outcome = a
		case decide.NotifyLimit:
			f.send(i, a.Notice)
		}
	}
	return outcome
}

func (f *coldFleet) send(from *coldInstance, n decide.LimitNotice) {
	for _, to := range f.instances {
		delay := f.localDelay
		if to.dataCentre != from.dataCentre {
			delay = f.remoteDelay
		}
		if to == from || f.split && to.dataCentre != from.dataCentre || f.random.Float64() < f.loss {
			continue
		}
		delay = delay/3 + time.Duration(f.random.Float64()*float64(delay)*2/3)
		f.inTransit = append(f.inTransit, coldTransit{f.now.Add(delay), to, decide.LimitNoticeReceived{Notice: n}})
	}
}

// deliver delivers the events that are due.
func (f *coldFleet) deliver() {
	var due []coldTransit
	f.inTransit = slices.DeleteFunc(f.inTransit, func(t coldTransit) bool {
		if t.at.After(f.now) {
			return false
		}
		due = append(due, t)
		return true
	})
	slices.SortStableFunc(due, func(a, b coldTransit) int { return a.at.Compare(b.at) })
	for _, t := range due {
		f.step(t.to, t.event)
	}
}

// call submits a call to an instance.
func (f *coldFleet) call(i *coldInstance) decide.Action {
	f.sequence++
	id := ident.Request{Sequence: f.sequence}
	r := decide.Request{ID: id, Class: config.Class{Name: "read", Pool: "desk", Kind: config.Read, WaitTarget: 90 * time.Millisecond}, StartBy: f.now.Add(90 * time.Millisecond)}
	outcome := f.step(i, decide.Arrived{Request: r})
	if place, ok := outcome.(decide.Place); ok {
		f.sent[place.Upstream.Name] = append(f.sent[place.Upstream.Name], f.now)
		answeredAt := f.now.Add(coldCallTime)
		if !f.answersCold.IsZero() {
			f.inTransit = append(f.inTransit, coldTransit{answeredAt, i, decide.ColdReported{Upstream: place.Upstream.Name, Incarnation: 1, Until: f.answersCold}})
		}
		f.inTransit = append(f.inTransit, coldTransit{answeredAt, i, decide.Ended{ID: id, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}}})
	}
	return outcome
}

// run submits calls at the rate; pick returns the instance of each.
func (f *coldFleet) run(d time.Duration, perSecond float64, pick func() *coldInstance) {
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(time.Millisecond) {
		f.deliver()
		for ; !next.After(f.now); next = next.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))) {
			f.call(pick())
		}
	}
}

// even returns each instance with the same probability.
func (f *coldFleet) even() *coldInstance { return f.instances[f.random.IntN(len(f.instances))] }

// skewed returns half of the time an instance of the first data centre, and in each data
// centre the first instances more often.
func (f *coldFleet) skewed() *coldInstance {
	for {
		i := f.instances[int(float64(len(f.instances))*f.random.Float64()*f.random.Float64())]
		if i.dataCentre == "a" || f.random.IntN(3) == 0 {
			return i
		}
	}
}

// checkBounds checks that no upstream got too many requests in any second, and returns the
// used share of the rate since start.
func (f *coldFleet) checkBounds(t *testing.T, start time.Time) float64 {
	t.Helper()
	total, rate := 0, 0.0
	for _, u := range f.upstreams {
		rate += u.ColdPerSecond
		most, first := 0, 0
		times := f.sent[u.Name]
		for i, at := range times {
			for at.Sub(times[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
			if !at.Before(start) {
				total++
			}
		}
		allowed := coldBounds.Overage*u.ColdPerSecond + coldBounds.Slack
		assert.Check(t, float64(most) <= allowed, "%s got %d in a second, allowed %.1f", u.Name, most, allowed)
		t.Logf("%s: at most %d in a second, allowed %.1f", u.Name, most, allowed)
	}
	return float64(total) / f.now.Sub(start).Seconds() / rate
}

// TestColdUpstreamsAreNotOverrun returns a data centre cold under a burst, in fleets of all
// sizes, and checks the bounds of each upstream in any second over all instances.
func TestColdUpstreamsAreNotOverrun(t *testing.T) {
	const duration = 6 * time.Second
	type fleetSize struct{ instances, dataCentres int }
	for _, size := range []fleetSize{{1, 1}, {18, 1}, {18, 3}, {130, 4}, {300, 1}, {300, 4}} {
		for _, perSecond := range []float64{25, 8} {
			for _, demand := range []float64{1.5, 10, 60} {
				for _, kind := range []string{"even", "skewed", "one instance", "one data centre"} {
					for _, split := range []bool{false, true} {
						if size.dataCentres == 1 && (split || kind == "one data centre") || size.instances == 300 && kind == "one instance" {
							continue
						}
						name := fmt.Sprintf("%d instances in %d, %v/s, %v times the rate, %s, split %v", size.instances, size.dataCentres, perSecond, demand, kind, split)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							f := newColdFleet(uint64(size.instances), 2, perSecond)
							f.split = split
							f.spread(size.instances, size.dataCentres)
							pick := map[string]func() *coldInstance{
								"even": f.even, "skewed": f.skewed, "one instance": func() *coldInstance { return f.instances[0] },
								"one data centre": func() *coldInstance {
									return f.instances[f.random.IntN(size.instances/size.dataCentres)*size.dataCentres]
								},
							}[kind]
							start := f.now
							f.returnCold()
							f.run(duration, demand*perSecond*float64(len(f.upstreams)), pick)
							used := f.checkBounds(t, start)
							t.Logf("used %.2f of the rate", used)
							wanted := usedOfCold
							if perSecond < 10 {
								// The fewer requests, the more chance decides whether one comes while a token
								// is left. New deployments have a rate of 25.
								wanted = usedOfLowRate
							}
							few := perSecond < 10 && demand < 10
							assert.Check(t, split || few || used >= wanted, "used %.2f of the rate", used)
						})
					}
				}
			}
		}
	}
}

// TestInstancesThatJoinDoNotOverrunColdUpstream adds instances that know only themselves to a
// fleet under a burst, each a second before the others hear of it.
func TestInstancesThatJoinDoNotOverrunColdUpstream(t *testing.T) {
	for _, instances := range []int{1, 18, 130} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			f := newColdFleet(3, 1, 25)
			f.spread(instances, min(3, instances))
			start, until := f.now, f.now.Add(10*time.Second)
			for _, i := range f.instances {
				f.step(i, decide.ColdAssumed{DataCentre: "a", Until: until})
			}
			for range 4 {
				f.run(time.Second, 500, f.even)
				i := f.join("b")
				f.step(i, decide.ColdAssumed{DataCentre: "a", Until: until})
				f.run(time.Second, 500, f.even)
				f.know()
			}
			assert.Check(t, f.checkBounds(t, start) >= usedOfCold)
		})
	}
}

// TestUpstreamThatSaysItIsColdAgainIsSparedByAll checks that a declaration in the response to
// one instance reaches all others, takes precedence over the list, and can end the cold time.
func TestUpstreamThatSaysItIsColdAgainIsSparedByAll(t *testing.T) {
	f := newColdFleet(5, 1, 25)
	f.spread(18, 3)
	f.loss = 0
	cold := func() (n int) {
		for _, i := range f.instances {
			n += i.scheduler.Cold(f.now)
		}
		return n
	}
	report := func(until time.Time) {
		f.step(f.instances[4], decide.ColdReported{Upstream: "u0", Incarnation: 1, Until: until})
		f.now = f.now.Add(200 * time.Millisecond)
		f.deliver()
	}
	assert.Equal(t, cold(), 0)
	report(f.now.Add(5 * time.Second))
	assert.Equal(t, cold(), len(f.instances))
	report(f.now)
	assert.Equal(t, cold(), 0)
	// The entry was written before the upstream said that it is warm.
	listed := f.upstreams[0]
	listed.ColdUntil = f.now.Add(4 * time.Second)
	for _, i := range f.instances {
		f.step(i, decide.UpstreamChanged{Upstream: listed})
	}
	assert.Equal(t, cold(), 0)
	f.now = f.now.Add(3 * time.Second)
	listed.ColdUntil = f.now.Add(4 * time.Second)
	for _, i := range f.instances {
		f.step(i, decide.UpstreamChanged{Upstream: listed})
	}
	assert.Equal(t, cold(), len(f.instances))
	f.now = f.now.Add(4 * time.Second)
	assert.Equal(t, cold(), 0)
}

// TestReturnedDataCentreIsColdForStartTime checks that all upstreams of the data centre, and
// no others, count as cold for their start time and 2 s.
func TestReturnedDataCentreIsColdForStartTime(t *testing.T) {
	s, now := decide.New("a"), epoch
	s.SetColdBounds(coldBounds)
	var upstreams []decide.Upstream
	for n, dataCentre := range []string{"a", "a", "b"} {
		upstreams = append(upstreams, decide.Upstream{Name: fmt.Sprint("u", n), Pool: "desk", DataCentre: dataCentre, Incarnation: 1, Slots: coldSlots, ColdPerSecond: 25, ColdStart: 3 * time.Second})
	}
	s.Step(now, decide.UpstreamsChanged{Upstreams: upstreams})
	changes := 0
	for _, a := range s.Step(now, decide.ColdAssumed{DataCentre: "a"}) {
		if a, ok := a.(decide.ColdChanged); ok {
			assert.Equal(t, a.Until, now.Add(5*time.Second))
			assert.Equal(t, a.Source, decide.ColdFromDataCentre)
			changes++
		}
	}
	assert.Equal(t, changes, 2)
	// A response from before the return doesn't end it.
	s.Step(now.Add(time.Millisecond), decide.ColdReported{Upstream: "u0", Incarnation: 1, Until: now.Add(time.Millisecond)})
	assert.Equal(t, s.Cold(now.Add(4*time.Second)), 2)
	ended := 0
	for _, a := range s.Step(now.Add(5*time.Second), decide.Tick{}) {
		if _, ok := a.(decide.ColdChanged); ok {
			ended++
		}
	}
	assert.Equal(t, ended, 2)
}

// TestColdLimitNeedsBoundsAndRate checks that nothing changes without the settings or without
// the rate in the configuration.
func TestColdLimitNeedsBoundsAndRate(t *testing.T) {
	for name, test := range map[string]struct {
		bounds decide.ColdBounds
		rate   float64
	}{"no bounds": {decide.ColdBounds{}, 25}, "no rate": {coldBounds, 0}} {
		t.Run(name, func(t *testing.T) {
			f := newColdFleet(1, 1, test.rate)
			f.spread(1, 1)
			f.instances[0].scheduler.SetColdBounds(test.bounds)
			f.returnCold()
			for range 100 {
				_, placed := f.call(f.instances[0]).(decide.Place)
				assert.Assert(t, placed)
			}
		})
	}
}

// TestFleetThatSplitsKeepsBoundsOfColdUpstreams splits a fleet under a burst in the middle of a
// cold time, with notices that are late and often lost before that.
func TestFleetThatSplitsKeepsBoundsOfColdUpstreams(t *testing.T) {
	for name, test := range map[string]struct {
		delay time.Duration
		loss  float64
	}{
		"quick notices": {60 * time.Millisecond, 0.05},
		"late notices":  {120 * time.Millisecond, 0.05},
		"lost notices":  {60 * time.Millisecond, 0.1},
	} {
		for _, size := range []int{18, 130, 300} {
			for _, demand := range []float64{100, 500, 1500} {
				t.Run(fmt.Sprintf("%s, %d instances, %v/s", name, size, demand), func(t *testing.T) {
					t.Parallel()
					f := newColdFleet(uint64(size), 1, 25)
					f.localDelay, f.remoteDelay, f.loss = test.delay, 2*test.delay, test.loss
					f.spread(size, 4)
					for _, i := range f.instances {
						f.step(i, decide.ColdAssumed{DataCentre: "a", Until: f.now.Add(time.Minute)})
					}
					start := f.now
					for range 3 {
						f.split = false
						f.run(1500*time.Millisecond, demand, f.even)
						f.split = true
						f.run(2500*time.Millisecond, demand, f.even)
					}
					t.Logf("used %.2f of the rate", f.checkBounds(t, start))
				})
			}
		}
	}
}

// TestColdEngineIsNotOverrun guards against a burst of short streams on an engine that has just
// started: it gets at most its rate from a data centre, without a notice of use for each.
func TestColdEngineIsNotOverrun(t *testing.T) {
	s, now := decide.New("a"), epoch
	s.SetColdBounds(coldBounds)
	s.Step(now, decide.UpstreamsChanged{Upstreams: []decide.Upstream{{
		Name: "e", Pool: "llm", DataCentre: "a", Incarnation: 1, Slots: 1000, CapacityTokens: 1_000_000, StepTime: time.Millisecond,
		ColdPerSecond: 25, ColdStart: time.Minute, ColdUntil: now.Add(time.Minute),
	}}})
	sent := 0
	handle := func(actions []decide.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case decide.Place:
				sent++
				s.Step(now, decide.Progressed{ID: a.ID, Tokens: 1})
			case decide.NotifyLimit:
				t.Fatal("a notice of use was sent")
			}
		}
	}
	for n := range 2000 {
		now = now.Add(time.Millisecond)
		id := ident.Request{Home: ident.Home{Incarnation: 1}, Sequence: uint64(n + 1)}
		handle(s.Step(now, decide.Arrived{Request: decide.Request{ID: id, Class: config.Class{Name: "short", Pool: "llm", Kind: config.Stream}, PromptTokens: 1, MaxOutputTokens: 1}}))
		handle(s.Step(now, decide.Tick{}))
	}
	assert.Assert(t, sent >= 30 && sent <= 2*25, "%d requests in 2 s", sent)
}
