package containment_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/containment"
	"mangoloft/ident"
)

const (
	step = 5 * time.Millisecond
	// restartTime is the time after which a crashed engine is back.
	restartTime = 3500 * time.Millisecond
	// seeds is the number of simulated days of each scenario.
	seeds = 20
	// firstEventTime is the time from the header of an answer to its first event.
	firstEventTime = 30 * time.Millisecond
	guilty         = containment.Trait(0xbad)
	shared         = containment.Trait(0x1)
)

// scenario describes a simulated fleet. Rates are per second.
type scenario struct {
	instances, engines    int
	soundRate, guiltyRate float64
	// crashRate is the rate at which engines crash at random, and massCrashes that at which
	// half of them crash at once.
	crashRate, massCrashes float64
	// loss is the share of lost messages between instances.
	loss float64
	// soundParts returns the shared parts of a sound request.
	soundParts func(r *rand.Rand) []containment.Trait
	// guiltyParts returns those of a guilty one.
	guiltyParts func(r *rand.Rand) []containment.Trait
	// guiltyFrom is the time from which engines crash on the guilty part; requests have
	// it from the beginning on.
	guiltyFrom time.Duration
	// quiet is the time before the first guilty request and the first other crash.
	quiet time.Duration
	// silent engines crash before they send the header of the answer to a guilty request.
	silent bool
	// calls are requests whose only trait is their fingerprint. Callers repeat them once
	// through another instance.
	calls bool
}

func (s scenario) kind() containment.Kind {
	if s.calls {
		return containment.Requests
	}
	return containment.PromptParts
}

type engine struct {
	containment.Upstream
	backAt time.Time
}

type execution struct {
	id               ident.Request
	instance         int
	engine           containment.Upstream
	parts            []containment.Trait
	beginAt, crashAt time.Time
	endAt            time.Time
	// answered and begun report whether the header and the first event have arrived.
	answered, begun, retried bool
	// repeated reports whether the caller has repeated the request.
	repeated bool
}

// repeat is a call that an instance will send again, or that a caller will repeat through
// any instance.
type repeat struct {
	at                time.Time
	instance          int
	traits            []containment.Trait
	retried, repeated bool
}

type message struct {
	at   time.Time
	to   int
	send func(t *containment.Tracker)
}

type fleet struct {
	scenario
	random     *rand.Rand
	now, start time.Time
	trackers   []*containment.Tracker
	engines    []*engine
	executions []*execution
	messages   []message
	repeats    []repeat
	sequence   uint64
	// crashes and guiltySent are the times of the crashes and of the guilty requests that
	// were sent; contained counts containments by part.
	crashes, guiltySent []time.Time
	contained           map[containment.Trait]int
	sound, soundRefused int
}

func newFleet(seed uint64, s scenario) *fleet {
	start := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	f := &fleet{scenario: s, random: rand.New(rand.NewPCG(seed, 29)), now: start, start: start, contained: map[containment.Trait]int{}}
	for range s.instances {
		t := containment.New(s.kind())
		t.SetInstances(s.instances)
		f.trackers = append(f.trackers, t)
	}
	for i := range s.engines {
		f.engines = append(f.engines, &engine{Upstream: containment.Upstream{Name: fmt.Sprint("e", i), Incarnation: 1}})
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.deliver()
		f.advance()
		for range f.poisson(f.crashRate) {
			if f.now.Sub(f.start) < f.quiet {
				continue
			}
			f.crash(f.engines[f.random.IntN(len(f.engines))])
		}
		for range f.poisson(f.massCrashes) {
			for _, e := range f.engines[:len(f.engines)/2] {
				f.crash(e)
			}
		}
		for range f.poisson(f.soundRate) {
			f.sound++
			if !f.send(f.random.IntN(f.instances), f.soundParts(f.random), false, false) {
				f.soundRefused++
			}
		}
		f.sendRepeats()
		for range f.poisson(f.guiltyRate) {
			if f.now.Sub(f.start) < f.quiet {
				continue
			}
			f.send(f.random.IntN(f.instances), f.guiltyParts(f.random), false, false)
		}
		for i, t := range f.trackers {
			t.Tick(f.now)
			f.collect(i, t)
		}
	}
}

// poisson returns the number of events in a step.
func (f *fleet) poisson(rate float64) int {
	n, mean := 0, rate*step.Seconds()
	for at := f.random.ExpFloat64(); at < mean; at += f.random.ExpFloat64() {
		n++
	}
	return n
}

// send sends a request through an instance, and reports whether it was not refused.
func (f *fleet) send(instance int, parts []containment.Trait, retried, repeated bool) bool {
	t := f.trackers[instance]
	if _, blocked := t.Blocked(f.now, parts); blocked {
		return false
	}
	up := slices.DeleteFunc(slices.Clone(f.engines), func(e *engine) bool { return f.now.Before(e.backAt) })
	if len(up) == 0 {
		return true
	}
	e := up[f.random.IntN(len(up))]
	f.sequence++
	x := &execution{id: ident.Request{Home: ident.Home{Incarnation: ident.Incarnation(instance)}, Sequence: f.sequence}, instance: instance, engine: e.Upstream, parts: parts, retried: retried, repeated: repeated}
	x.beginAt = f.now.Add(f.between(20*time.Millisecond, 400*time.Millisecond))
	x.endAt = x.beginAt.Add(f.between(50*time.Millisecond, 200*time.Millisecond))
	switch {
	case f.calls:
		x.beginAt = f.now.Add(f.between(0, 10*time.Millisecond))
		x.endAt = x.beginAt.Add(f.between(15*time.Millisecond, 60*time.Millisecond))
	case f.random.IntN(2) == 0:
		x.endAt = x.beginAt.Add(f.between(time.Second, 6*time.Second))
	}
	if slices.Contains(parts, guilty) && f.now.Sub(f.start) >= f.guiltyFrom {
		x.crashAt = x.beginAt.Add(f.between(step, 110*time.Millisecond))
		f.guiltySent = append(f.guiltySent, f.now)
	}
	f.executions = append(f.executions, x)
	t.Sent(f.now, x.id, x.engine, parts)
	return true
}

func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.random.Int64N(int64(high-low)))
}

// advance begins, ends and crashes executions.
func (f *fleet) advance() {
	for _, x := range slices.Clone(f.executions) {
		switch {
		case !slices.Contains(f.executions, x):
			// Its engine has crashed in this step.
		case !x.crashAt.IsZero() && !f.now.Before(x.crashAt):
			f.crash(f.engineOf(x))
		case !f.now.Before(x.endAt) && x.crashAt.IsZero():
			f.executions = slices.DeleteFunc(f.executions, func(other *execution) bool { return other == x })
			f.trackers[x.instance].Closed(f.now, x.id, true, false)
		case f.calls:
			// A call has no events.
		case !x.answered && !f.now.Before(x.beginAt) && !(f.silent && !x.crashAt.IsZero()):
			x.answered = true
			f.trackers[x.instance].Answered(x.id)
		case x.answered && !x.begun && !f.now.Before(x.beginAt.Add(firstEventTime)):
			x.begun = true
			f.trackers[x.instance].Began(f.now, x.id)
		}
	}
}

func (f *fleet) engineOf(x *execution) *engine {
	i := slices.IndexFunc(f.engines, func(e *engine) bool { return e.Name == x.engine.Name })
	return f.engines[i]
}

// crash ends an engine. The instances notice it by their executions, and repeat them once.
func (f *fleet) crash(e *engine) {
	if f.now.Before(e.backAt) {
		return
	}
	f.crashes = append(f.crashes, f.now)
	ended := e.Upstream
	e.Incarnation++
	e.backAt = f.now.Add(restartTime)
	isThere := func(x *execution) bool { return x.engine == ended }
	lost := slices.DeleteFunc(slices.Clone(f.executions), func(x *execution) bool { return !isThere(x) })
	f.executions = slices.DeleteFunc(f.executions, isThere)
	for _, x := range lost {
		f.trackers[x.instance].Ended(f.now, ended, f.now)
		f.trackers[x.instance].Closed(f.now, x.id, false, false)
	}
	for _, x := range lost {
		switch {
		case f.calls && !x.retried:
			f.repeats = append(f.repeats, repeat{f.now.Add(f.between(2*time.Millisecond, 10*time.Millisecond)), x.instance, x.parts, true, x.repeated})
		case f.calls && !x.repeated:
			f.repeats = append(f.repeats, repeat{f.now.Add(f.between(8*time.Millisecond, 40*time.Millisecond)), f.random.IntN(f.instances), x.parts, false, true})
		case !f.calls && !x.retried:
			f.send(x.instance, x.parts, true, false)
		}
	}
}

// sendRepeats sends the calls that are to be sent again now.
func (f *fleet) sendRepeats() {
	var due []repeat
	f.repeats = slices.DeleteFunc(f.repeats, func(r repeat) bool {
		if r.at.After(f.now) {
			return false
		}
		due = append(due, r)
		return true
	})
	for _, r := range due {
		f.send(r.instance, r.traits, r.retried, r.repeated)
	}
}

// broadcast sends a message to all other instances.
func (f *fleet) broadcast(from int, send func(t *containment.Tracker)) {
	for to := range f.trackers {
		if to != from && f.random.Float64() >= f.loss {
			f.messages = append(f.messages, message{f.now.Add(f.between(10*time.Millisecond, 60*time.Millisecond)), to, send})
		}
	}
}

func (f *fleet) deliver() {
	var due []message
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		if m.at.After(f.now) {
			return false
		}
		due = append(due, m)
		return true
	})
	for _, m := range due {
		m.send(f.trackers[m.to])
	}
}

// collect carries out what a tracker wants.
func (f *fleet) collect(i int, t *containment.Tracker) {
	out := t.Take()
	for _, c := range out.Crashes {
		f.broadcast(i, func(t *containment.Tracker) { t.HandleCrash(f.now, c) })
	}
	for _, finding := range out.Findings {
		f.broadcast(i, func(t *containment.Tracker) { t.HandleFinding(f.now, finding) })
	}
	for _, finding := range out.Contained {
		f.contained[finding.Trait]++
	}
}

// guiltySentAfter returns the number of guilty requests sent later than the time after
// the nth crash.
func (f *fleet) guiltySentAfter(n int, d time.Duration) int {
	if len(f.crashes) < n {
		return 0
	}
	count := 0
	for _, at := range f.guiltySent {
		if at.After(f.crashes[n-1].Add(d)) {
			count++
		}
	}
	return count
}

// usual are parts as in traffic: all share the first one, and few the second one.
func usual(r *rand.Rand) []containment.Trait {
	return []containment.Trait{shared, containment.Trait(100 + r.IntN(20))}
}

func usualWithGuilty(r *rand.Rand) []containment.Trait {
	return []containment.Trait{shared, guilty, containment.Trait(100 + r.IntN(20))}
}

// manyTeams are parts of which the first one belongs to one of 40 teams, so that most
// instances don't know it.
func manyTeams(r *rand.Rand) []containment.Trait {
	return []containment.Trait{containment.Trait(1000 + r.IntN(40)), containment.Trait(100 + r.IntN(20))}
}

func oneTeamWithGuilty(r *rand.Rand) []containment.Trait {
	return []containment.Trait{1007, guilty, containment.Trait(100 + r.IntN(20))}
}

func TestGuiltyPartIsContained(t *testing.T) {
	const (
		contactTime = 3 * time.Second
		// maxLate is the number of requests that may still be sent after the contact time
		// after the fifth crash; minServed the share of sound requests that must be.
		maxLate   = 3
		minServed = 0.9
	)
	tests := map[string]scenario{
		"one instance":               {instances: 1, engines: 9, soundRate: 8, guiltyRate: 3, soundParts: usual, guiltyParts: usualWithGuilty},
		"small fleet":                {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, soundParts: usual, guiltyParts: usualWithGuilty},
		"from the start":             {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, soundParts: usual, guiltyParts: usualWithGuilty},
		"lost messages":              {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, loss: 0.03, soundParts: usual, guiltyParts: usualWithGuilty},
		"rare guilty requests":       {instances: 18, engines: 9, soundRate: 8, guiltyRate: 0.3, soundParts: usual, guiltyParts: usualWithGuilty},
		"many guilty requests":       {instances: 18, engines: 9, soundRate: 8, guiltyRate: 20, soundParts: usual, guiltyParts: usualWithGuilty},
		"large fleet":                {instances: 100, engines: 48, soundRate: 60, guiltyRate: 6, soundParts: usual, guiltyParts: usualWithGuilty},
		"engines also crash":         {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, crashRate: 0.5, soundParts: usual, guiltyParts: usualWithGuilty},
		"half of the engines crash":  {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, massCrashes: 0.2, soundParts: usual, guiltyParts: usualWithGuilty},
		"little sound traffic":       {instances: 18, engines: 9, soundRate: 1, guiltyRate: 3, soundParts: usual, guiltyParts: usualWithGuilty},
		"harmless before":            {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, guiltyFrom: 20 * time.Second, soundParts: usual, guiltyParts: usualWithGuilty},
		"no header before the crash": {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, silent: true, soundParts: usual, guiltyParts: usualWithGuilty},
		"first part":                 {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, soundParts: usual, guiltyParts: func(*rand.Rand) []containment.Trait { return []containment.Trait{guilty, shared} }},
		"first part is seldom used":  {instances: 18, engines: 9, soundRate: 8, guiltyRate: 2, soundParts: manyTeams, guiltyParts: oneTeamWithGuilty},
		"only part":                  {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, soundParts: usual, guiltyParts: func(*rand.Rand) []containment.Trait { return []containment.Trait{guilty} }},
		"sound parts are seldom used": {instances: 18, engines: 9, soundRate: 8, guiltyRate: 3, soundParts: func(r *rand.Rand) []containment.Trait {
			return []containment.Trait{shared, containment.Trait(100 + r.IntN(5000))}
		}, guiltyParts: usualWithGuilty},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if name != "from the start" && s.guiltyFrom == 0 {
				s.quiet = 10 * time.Second
			}
			for seed := range uint64(seeds) {
				f := newFleet(seed, s)
				f.run(90 * time.Second)
				assert.Check(t, f.contained[guilty] > 0, "seed %d: not contained", seed)
				if s.crashRate == 0 && s.massCrashes == 0 {
					assert.Check(t, f.guiltySentAfter(5, contactTime) <= maxLate, "seed %d: %d requests sent", seed, f.guiltySentAfter(5, contactTime))
				}
				served := 1 - float64(f.soundRefused)/float64(f.sound)
				assert.Check(t, served >= minServed, "seed %d: %.2f of the sound requests are not refused", seed, served)
				for part := range f.contained {
					assert.Check(t, part == guilty, "seed %d: part %v is contained at %d instances", seed, part, f.contained[part])
				}
				if seed == 0 {
					t.Logf("seed 0: %d crashes, %d guilty requests sent", len(f.crashes), len(f.guiltySent))
				}
			}
		})
	}
}

func TestNoPartIsContainedForOtherCrashes(t *testing.T) {
	few := func(r *rand.Rand) []containment.Trait {
		return []containment.Trait{shared, containment.Trait(100 + r.IntN(3))}
	}
	tests := map[string]scenario{
		"engines crash at random":       {instances: 18, engines: 9, soundRate: 8, crashRate: 1, soundParts: usual},
		"half of the engines crash":     {instances: 18, engines: 9, soundRate: 8, massCrashes: 0.5, soundParts: usual},
		"few parts":                     {instances: 18, engines: 9, soundRate: 8, crashRate: 1, soundParts: few},
		"few requests":                  {instances: 18, engines: 9, soundRate: 2, crashRate: 1, soundParts: usual},
		"lost messages":                 {instances: 18, engines: 9, soundRate: 8, crashRate: 1, massCrashes: 0.2, loss: 0.03, soundParts: usual},
		"large fleet, several a second": {instances: 60, engines: 48, soundRate: 40, crashRate: 4, soundParts: usual},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(seeds) {
				s.quiet = 5 * time.Second
				f := newFleet(seed, s)
				f.run(90 * time.Second)
				assert.Check(t, len(f.contained) == 0, "seed %d: contained %v after %d crashes", seed, f.contained, len(f.crashes))
			}
		})
	}
}
