// Package containment finds the traits of requests on which upstreams crash, and contains
// them: requests with such a trait are refused until a probe shows that it has become
// harmless. A trait is a part of a prompt, or a whole request that callers repeat. Each
// kind has a Tracker of its own.
//
// No single crash tells its cause, because many requests are at an upstream when it ends.
// Suspected are the traits of the requests that it had just begun to answer, and of whole
// requests also those that wait there. A trait on which upstreams crash never survives, so
// an execution that began after the crash, and that has ended well or is still running a
// while later, clears all its traits. What remains suspected after several crashes is the
// cause of them, and explains them, so that traits that are often together with it are not
// blamed too.
//
// All instances tell each other of crashes, and of survivals of suspected traits. A Tracker
// is a pure function of its state, the time and its inputs, and is used by one goroutine.
package containment

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"mangoloft/ident"
)

const (
	// survivalTime is the time for which an upstream must run after the first event of an
	// answer to clear the traits of the prompt. If it crashes within suspectTime, they are
	// suspected. Engines crash within some 100 ms.
	survivalTime = 500 * time.Millisecond
	suspectTime  = 250 * time.Millisecond
	// detectionTime is the time within which a lost connection is known to be the end of
	// its upstream.
	detectionTime = 250 * time.Millisecond
	// knownTime is the time for which a survival makes a trait less suspect.
	knownTime = time.Minute
	// tellInterval is the time after which an instance tells again that a suspected trait has
	// survived, and maxWitnesses the number of instances that do, on average, besides those
	// that had requests at the crashed upstream.
	tellInterval = 3 * time.Second
	maxWitnesses = 6
	// minCrashesByDepth is the number of crashes after which the place of a trait in the
	// prompts tells it from others against which there is as much evidence.
	minCrashesByDepth = 6
	// maxIndistinct is the number of crashes after which a trait is contained even though
	// another one is as suspect. Other instances probably know more.
	maxIndistinct = 12
	// retention is the time for which crashes are remembered, and traits are contained after
	// the latest crash. Probes are more frequent.
	retention = 10 * time.Minute
	// firstProbeDelay is the time from a containment to the first probe; earlyProbeDelay if
	// there was little evidence. It doubles with each further one, up to maxProbeDelay.
	firstProbeDelay = 30 * time.Second
	earlyProbeDelay = 5 * time.Second
	maxProbeDelay   = 8 * time.Minute
	// probeSpreadPerInstance is the time over which the instances spread a probe, for each
	// of them, at most maxProbeSpread.
	probeSpreadPerInstance = 1 * time.Second
	maxProbeSpread         = 60 * time.Second
	// executionRetention is the time for which executions are remembered that have not
	// proved harmless, after they have ended.
	executionRetention = 10 * time.Second
	// maxPause is the time without a tick after which the process may have been frozen, and
	// the ends of upstreams are not known yet.
	maxPause = 1 * time.Second
	// tickInterval is the minimum time between two ticks.
	tickInterval = 50 * time.Millisecond
	// sweepInterval is the time after which what is out of date is forgotten.
	sweepInterval = 10 * time.Second
	// maxCrashes is the maximum number of remembered crashes, maxSuspects that of traits
	// suspected of one crash, and maxRecords that of traits whose survival is remembered.
	maxCrashes  = 128
	maxSuspects = 256
	maxRecords  = 4096
	// MaxContained is the maximum number of contained traits. The oldest one is released
	// for a further one.
	MaxContained = 64
)

// Upstream identifies a process of an upstream.
type Upstream struct {
	Name        string
	Incarnation ident.Incarnation
}

// Output is what a Tracker wants its caller to do.
type Output struct {
	// Crashes and Findings are to be sent to the other instances.
	Crashes  []Crash
	Findings []Finding
	// Contained and Released are the traits whose containment began or ended.
	Contained, Released []Finding
}

// record is the state of a trait.
type record struct {
	Finding
	// depth is the largest index of the trait in a prompt of this instance.
	depth int
	// survivals is the number of this instance's executions that survived.
	survivals int
	// toldAt is the latest SurvivedAt that any instance told the others.
	toldAt time.Time
	// usedAt is the time of the latest request with the trait.
	usedAt time.Time
}

// isKnown reports whether the trait had survived shortly before the given time.
func (r *record) isKnown(at time.Time) bool {
	return !r.SurvivedAt.IsZero() && at.Sub(r.SurvivedAt) < knownTime
}

// isContained reports whether the trait is contained.
func (r *record) isContained() bool { return !r.ContainedAt.IsZero() }

// execution is an execution of a request of this instance.
type execution struct {
	id       ident.Request
	upstream Upstream
	traits   []Trait
	// answered reports whether the answer has begun: its header has arrived.
	answered bool
	// beganAt is the time of the first event; zero if there was none.
	beganAt time.Time
	// endedAt is the time at which it ended; zero while it is open.
	endedAt time.Time
	// survived reports whether it has proved harmless.
	survived bool
}

// Tracker tracks the traits of one kind and the ends of upstreams.
type Tracker struct {
	kind Kind
	rules
	// executions are the open ones and those that may still be the cause of a crash, by
	// upstream. open contains the latest one of each request.
	executions map[Upstream][]*execution
	open       map[ident.Request]*execution
	records    map[Trait]*record
	// contained contains the records of the contained traits.
	contained map[Trait]*record
	crashes   map[Upstream]*crash
	// instances is the number of live instances, and salt differs between them.
	instances int
	salt      uint64
	// evaluateAt is the time at which the next crash counts; zero if all do.
	evaluateAt        time.Time
	tickedAt, sweptAt time.Time
	out               Output
}

// New returns a Tracker that knows nothing.
func New(kind Kind) *Tracker {
	return &Tracker{
		kind: kind, rules: rulesOf[kind],
		executions: map[Upstream][]*execution{}, open: map[ident.Request]*execution{},
		records: map[Trait]*record{}, contained: map[Trait]*record{}, crashes: map[Upstream]*crash{}, instances: 1,
	}
}

// SetInstances sets the number of live instances, including this one.
func (t *Tracker) SetInstances(n int) { t.instances = max(1, n) }

// Take returns what the caller has to do since the previous call.
func (t *Tracker) Take() Output {
	out := t.out
	t.out = Output{}
	return out
}

// Sent records that this instance sends a request to an upstream. A request with a
// contained trait is a probe.
func (t *Tracker) Sent(now time.Time, id ident.Request, upstream Upstream, traits []Trait) {
	if len(traits) == 0 {
		return
	}
	t.salt = uint64(id.Home.Incarnation)
	e := &execution{id: id, upstream: upstream, traits: traits}
	t.open[id] = e
	t.executions[upstream] = append(t.executions[upstream], e)
	for i, p := range traits {
		r := t.touch(now, p)
		if r == nil {
			continue
		}
		r.depth = max(r.depth, i)
		if r.isContained() {
			r.Probes++
			r.ProbeAt = now.Add(probeDelay(r.Probes))
			t.out.Findings = append(t.out.Findings, r.Finding)
		}
	}
}

// hash returns a pseudo-random number that differs between the instances.
func (t *Tracker) hash(name string, n uint64) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, t.salt, name, n)
	// FNV changes the high bits too little for short inputs.
	return hash.Sum64() * 0x9e3779b97f4a7c15
}

// Answered records that an upstream has begun to answer a request.
func (t *Tracker) Answered(id ident.Request) {
	if e := t.open[id]; e != nil {
		e.answered = true
	}
}

// Began records that an upstream has sent the first event of its answer.
func (t *Tracker) Began(now time.Time, id ident.Request) {
	if e := t.open[id]; e != nil && e.beganAt.IsZero() {
		e.beganAt, e.answered = now, true
		t.clearEarlier(now, e.upstream)
	}
}

// clearEarlier clears the traits of executions that began a while before the upstream
// answered another request. Their callers may have left since.
func (t *Tracker) clearEarlier(now time.Time, upstream Upstream) {
	for _, e := range t.executions[upstream] {
		if !e.survived && !e.beganAt.IsZero() && now.Sub(e.beganAt) >= survivalTime {
			t.clear(now, e)
		}
	}
}

// Closed records that an execution has ended. Completed means that its upstream sent the
// end, and neverRan that it did not run the request.
func (t *Tracker) Closed(now time.Time, id ident.Request, completed, neverRan bool) {
	e := t.open[id]
	if e == nil {
		return
	}
	delete(t.open, id)
	e.endedAt = now
	if completed && e.beganAt.IsZero() && t.kind == Requests {
		// A call has no events.
		e.beganAt = now
	}
	if completed && !e.beganAt.IsZero() && !e.survived {
		t.clear(now, e)
	}
	if neverRan || e.survived {
		t.executions[e.upstream] = slices.DeleteFunc(t.executions[e.upstream], func(other *execution) bool { return other == e })
	}
}

// Tick checks which executions have proved harmless, and which traits are to be contained.
// It returns at once if it was called just before.
func (t *Tracker) Tick(now time.Time) {
	if now.Sub(t.tickedAt) < tickInterval {
		return
	}
	paused := now.Sub(t.tickedAt) > maxPause
	t.tickedAt = now
	if !paused {
		for _, upstream := range t.upstreams() {
			t.settle(now, upstream)
		}
	}
	if !t.evaluateAt.IsZero() && !now.Before(t.evaluateAt) {
		t.evaluate(now)
	}
	if now.Sub(t.sweptAt) > sweepInterval {
		t.sweptAt = now
		t.sweep(now)
	}
}

// upstreams returns the upstreams with executions, in a fixed order.
func (t *Tracker) upstreams() []Upstream {
	return slices.SortedFunc(maps.Keys(t.executions), func(a, b Upstream) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// settle clears the traits of executions that still run a while after they began.
func (t *Tracker) settle(now time.Time, upstream Upstream) {
	list := t.executions[upstream]
	for _, e := range list {
		isRunning := !e.beganAt.IsZero() && e.endedAt.IsZero()
		if !e.survived && isRunning && now.Sub(e.beganAt) >= survivalTime+detectionTime {
			t.clear(now, e)
		}
	}
	list = slices.DeleteFunc(list, func(e *execution) bool {
		return !e.endedAt.IsZero() && (e.survived || now.Sub(e.endedAt) > executionRetention)
	})
	t.executions[upstream] = list
	if len(list) == 0 {
		t.forgetUpstream(upstream)
	}
}

// clear records that an execution survived, and tells the other instances of the traits
// that were suspected.
func (t *Tracker) clear(now time.Time, e *execution) {
	e.survived = true
	for _, p := range e.traits {
		r := t.touch(now, p)
		if r == nil {
			continue
		}
		r.survivals++
		if !e.beganAt.After(r.SurvivedAt) {
			continue
		}
		wasSuspected := t.isSuspected(r, e.beganAt)
		r.SurvivedAt = e.beganAt
		if t.releaseIfSurvived(r) || wasSuspected {
			t.tell(r)
		}
	}
}

// isSuspected reports whether there is a crash that the trait may have caused, and that a
// survival at the given time would clear it of.
func (t *Tracker) isSuspected(r *record, survivedAt time.Time) bool {
	for _, c := range t.crashes {
		if c.traits[r.Trait] > 0 && c.at.After(r.SurvivedAt) && !c.at.After(survivedAt) {
			return true
		}
	}
	return false
}

// touch returns the record of a trait that a request has, or nil if there are too many.
func (t *Tracker) touch(now time.Time, p Trait) *record {
	if t.records[p] == nil && len(t.records) >= maxRecords {
		return nil
	}
	r := t.ensure(now, p)
	r.usedAt = now
	return r
}

func (t *Tracker) ensure(now time.Time, p Trait) *record {
	r := t.records[p]
	if r == nil {
		r = &record{Finding: Finding{Kind: t.kind, Trait: p}, usedAt: now}
		t.records[p] = r
	}
	return r
}

// sweep forgets what is out of date.
func (t *Tracker) sweep(now time.Time) {
	maps.DeleteFunc(t.crashes, func(_ Upstream, c *crash) bool { return now.Sub(c.at) > retention })
	for _, f := range t.Contained() {
		if now.Sub(f.CrashedAt) > retention {
			t.release(t.contained[f.Trait])
		}
	}
	maps.DeleteFunc(t.records, func(_ Trait, r *record) bool {
		if r.isContained() {
			return false
		}
		return now.Sub(r.usedAt) > knownTime && now.Sub(r.SurvivedAt) > knownTime
	})
}
