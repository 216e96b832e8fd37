package containment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangoloft/prompt"
)

// Crash reports that an engine has ended, with the parts of the prompts that an instance
// had there.
type Crash struct {
	Engine Engine
	// At is the time at which the end was noticed.
	At time.Time
	// Parts are those of prompts that the engine had just begun to answer, Waiting those of
	// others that it had not answered.
	Parts, Waiting []prompt.Part
}

// crash is a known crash, with the weights of the suspected parts that any instance
// reported.
type crash struct {
	at    time.Time
	parts map[prompt.Part]float64
}

// Ended records that an engine has ended without notice, as noticed at the given time.
func (t *Tracker) Ended(now time.Time, engine Engine, at time.Time) {
	c := Crash{Engine: engine, At: at}
	for _, e := range t.executions[engine] {
		switch {
		case e.survived:
			continue
		case !e.answered:
			c.Waiting = append(c.Waiting, e.parts...)
		case e.isSuspected(at):
			c.Parts = append(c.Parts, e.parts...)
		}
	}
	t.forgetEngine(engine)
	c.Parts, c.Waiting = unique(c.Parts), unique(c.Waiting)
	if len(c.Parts)+len(c.Waiting) == 0 {
		return
	}
	t.addCrash(now, c)
	t.out.Crashes = append(t.out.Crashes, c)
	t.tellSurvivals(now, c)
}

// isSuspected reports whether the crash of the engine at the given time, or what an
// instance saw of the execution before, came so soon after the first event that the
// execution may be the cause.
func (e *execution) isSuspected(crashedAt time.Time) bool {
	if !e.endedAt.IsZero() && e.endedAt.Before(crashedAt) {
		crashedAt = e.endedAt
	}
	return e.beganAt.IsZero() || crashedAt.Sub(e.beganAt) < suspectTime
}

// unique returns the parts in order, each once, and not more than maxSuspects.
func unique(parts []prompt.Part) []prompt.Part {
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), maxSuspects)]
}

// forgetEngine ends all executions at an engine.
func (t *Tracker) forgetEngine(engine Engine) {
	for _, e := range t.executions[engine] {
		if t.open[e.id] == e {
			delete(t.open, e.id)
		}
	}
	delete(t.executions, engine)
}

// HandleCrash handles the report of another instance.
func (t *Tracker) HandleCrash(now time.Time, c Crash) {
	t.addCrash(now, c)
	t.Ended(now, c.Engine, c.At)
	if t.isWitness(c.Engine) {
		t.tellSurvivals(now, c)
	}
}

func (t *Tracker) addCrash(now time.Time, reported Crash) {
	c := t.crashes[reported.Engine]
	if c == nil {
		t.makeRoomForCrash()
		c = &crash{at: reported.At, parts: map[prompt.Part]float64{}}
		t.crashes[reported.Engine] = c
	}
	if reported.At.Before(c.at) {
		c.at = reported.At
	}
	c.suspect(reported.Waiting, waitingWeight)
	c.suspect(reported.Parts, 1)
	for _, p := range reported.Parts {
		if r := t.records[p]; r != nil && r.isContained() && c.at.After(r.CrashedAt) {
			r.CrashedAt = c.at
		}
	}
	if t.evaluateAt.IsZero() {
		t.evaluateAt = now.Add(reportTime)
	}
}

// suspect adds parts with a weight.
func (c *crash) suspect(parts []prompt.Part, weight float64) {
	for _, p := range parts {
		if len(c.parts) < maxSuspects || c.parts[p] > 0 {
			c.parts[p] = max(c.parts[p], weight)
		}
	}
}

// makeRoomForCrash forgets the oldest crash if there are too many.
func (t *Tracker) makeRoomForCrash() {
	if len(t.crashes) < maxCrashes {
		return
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), func(a, b Engine) int {
		return cmp.Or(t.crashes[a].at.Compare(t.crashes[b].at), cmp.Compare(a.Name, b.Name))
	})
	delete(t.crashes, oldest)
}

// tellSurvivals tells the other instances which of the suspected parts have survived
// lately, unless it was told just before.
func (t *Tracker) tellSurvivals(now time.Time, c Crash) {
	for _, p := range slices.Concat(c.Parts, c.Waiting) {
		r := t.records[p]
		if r != nil && now.Sub(r.SurvivedAt) < knownTime && r.SurvivedAt.Sub(r.toldAt) > tellInterval {
			t.tell(r)
		}
	}
}

// tell tells the other instances what is known of a part.
func (t *Tracker) tell(r *record) {
	r.toldAt = latest(r.toldAt, r.SurvivedAt)
	t.out.Findings = append(t.out.Findings, r.Finding)
}

// isWitness reports whether the instance is one of the few that tell what they know of the
// parts that other instances suspect after a crash.
func (t *Tracker) isWitness(engine Engine) bool {
	return t.hash(engine.Name, uint64(engine.Incarnation))>>32%uint64(t.instances) < maxWitnesses
}
