package containment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Crash reports that an upstream has ended, with the traits of the requests that an
// instance had there.
type Crash struct {
	Kind     Kind
	Upstream Upstream
	// At is the time at which the end was noticed.
	At time.Time
	// Traits are those of requests that the upstream had just begun to answer, Waiting those
	// of others that it had not answered. For whole requests, Traits contains both.
	Traits, Waiting []Trait
}

// crash is a known crash, with the weights of the suspected traits that any instance
// reported.
type crash struct {
	at     time.Time
	traits map[Trait]float64
}

// Ended records that this instance noticed that an upstream has ended without notice.
func (t *Tracker) Ended(now time.Time, upstream Upstream, at time.Time) {
	executions := t.executions[upstream]
	t.forgetUpstream(upstream)
	t.report(now, upstream, at, executions)
}

// report reports a crash with the traits of those of the executions that may be the cause.
func (t *Tracker) report(now time.Time, upstream Upstream, at time.Time, executions []*execution) {
	c := Crash{Kind: t.kind, Upstream: upstream, At: at}
	for _, e := range executions {
		switch {
		case e.survived:
			continue
		case !e.answered && t.kind == PromptParts:
			c.Waiting = append(c.Waiting, e.traits...)
		case e.isSuspected(at):
			c.Traits = append(c.Traits, e.traits...)
		}
	}
	c.Traits, c.Waiting = unique(c.Traits), unique(c.Waiting)
	if len(c.Traits)+len(c.Waiting) == 0 {
		return
	}
	t.addCrash(now, c)
	t.out.Crashes = append(t.out.Crashes, c)
	t.tellSurvivals(now, c)
}

// isSuspected reports whether the crash of the upstream at the given time, or what an
// instance saw of the execution before, came so soon after the first event that the
// execution may be the cause.
func (e *execution) isSuspected(crashedAt time.Time) bool {
	if !e.endedAt.IsZero() && e.endedAt.Before(crashedAt) {
		crashedAt = e.endedAt
	}
	return e.beganAt.IsZero() || crashedAt.Sub(e.beganAt) < suspectTime
}

// unique returns the traits in order, each once, and not more than maxSuspects.
func unique(traits []Trait) []Trait {
	slices.Sort(traits)
	traits = slices.Compact(traits)
	return traits[:min(len(traits), maxSuspects)]
}

// forgetUpstream ends all executions at an upstream.
func (t *Tracker) forgetUpstream(upstream Upstream) {
	for _, e := range t.executions[upstream] {
		if t.open[e.id] == e {
			delete(t.open, e.id)
		}
	}
	delete(t.executions, upstream)
}

// HandleCrash handles the report of another instance.
func (t *Tracker) HandleCrash(now time.Time, c Crash) {
	t.addCrash(now, c)
	if t.kind == Requests {
		t.reportClosed(now, c)
	} else {
		t.Ended(now, c.Upstream, c.At)
	}
	if t.isWitness(c.Upstream) {
		t.tellSurvivals(now, c)
	}
}

// reportClosed reports the executions at a crashed upstream that have already ended here,
// for example because their callers left. This instance notices itself when others end,
// unless the other instance is cut off and mistaken.
func (t *Tracker) reportClosed(now time.Time, c Crash) {
	isClosed := func(e *execution) bool { return !e.endedAt.IsZero() }
	open := slices.DeleteFunc(slices.Clone(t.executions[c.Upstream]), isClosed)
	closed := slices.DeleteFunc(t.executions[c.Upstream], func(e *execution) bool { return !isClosed(e) })
	t.executions[c.Upstream] = open
	t.report(now, c.Upstream, c.At, closed)
}

func (t *Tracker) addCrash(now time.Time, reported Crash) {
	c := t.crashes[reported.Upstream]
	isNew := c == nil
	if isNew {
		t.makeRoomForCrash()
		c = &crash{at: reported.At, traits: map[Trait]float64{}}
		t.crashes[reported.Upstream] = c
	}
	if reported.At.Before(c.at) {
		c.at = reported.At
	}
	c.suspect(reported.Waiting, t.waitingWeight)
	c.suspect(reported.Traits, 1)
	if isNew {
		t.deferProbes(c)
	}
	if t.reportTime == 0 {
		t.evaluate(now)
		return
	}
	t.evaluateBy(now.Add(t.reportTime))
}

// deferProbes defers the probes of contained traits that have just explained another crash.
func (t *Tracker) deferProbes(c *crash) {
	for p := range c.traits {
		if r := t.records[p]; r != nil && r.isContained() {
			r.CrashedAt = latest(r.CrashedAt, c.at)
			r.ProbeAt = latest(r.ProbeAt, c.at.Add(firstProbeDelay))
		}
	}
}

// suspect adds traits with a weight.
func (c *crash) suspect(traits []Trait, weight float64) {
	for _, p := range traits {
		if len(c.traits) < maxSuspects || c.traits[p] > 0 {
			c.traits[p] = max(c.traits[p], weight)
		}
	}
}

// makeRoomForCrash forgets the oldest crash if there are too many.
func (t *Tracker) makeRoomForCrash() {
	if len(t.crashes) < maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), func(a, b Upstream) int {
		return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a.Name, b.Name))
	})
	delete(t.crashes, oldest)
}

// tellSurvivals tells the other instances which of the suspected traits have survived
// lately, unless it was told just before.
func (t *Tracker) tellSurvivals(now time.Time, c Crash) {
	for _, p := range slices.Concat(c.Traits, c.Waiting) {
		r := t.records[p]
		if r != nil && now.Sub(r.SurvivedAt) < knownTime && r.SurvivedAt.Sub(r.toldAt) > tellInterval {
			t.tell(r)
		}
	}
}

// tell tells the other instances what is known of a trait.
func (t *Tracker) tell(r *record) {
	r.toldAt = latest(r.toldAt, r.SurvivedAt)
	t.out.Findings = append(t.out.Findings, r.Finding)
}

// isWitness reports whether the instance is one of the few that tell what they know of the
// traits that other instances suspect after a crash.
func (t *Tracker) isWitness(upstream Upstream) bool {
	return t.hash(upstream.Name, uint64(upstream.Incarnation))>>32%uint64(t.instances) < maxWitnesses
}
