package containment

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// suspicion is the evidence against a trait: the crashes since it survived that no
// contained trait explains.
type suspicion struct {
	record
	// crashes is the weighted number of crashes that count.
	crashes float64
	// present is the number of crashes, also of those that count as one.
	present int
	// countedAt is the time of the latest crash that counted, and CrashedAt that of the
	// latest one.
	countedAt time.Time
}

// minShareOfCrashes is the share of the crashes of the trait with the most that another
// trait must have to be suspected more.
const minShareOfCrashes = 0.85

// isSufficient reports whether the evidence suffices to contain the trait, given the number
// of unexplained crashes.
func (t *Tracker) isSufficient(s suspicion, unexplained int) bool {
	needed := t.minCrashes
	if s.isKnown(s.CrashedAt) {
		needed = t.minCrashesOfKnown
	}
	if t.otherCrashes > 0 {
		needed += float64(min(t.maxMoreCrashes, (unexplained-s.present)/t.otherCrashes))
	}
	return s.crashes >= needed
}

// isDistinguishable reports whether the evidence against the trait differs from that
// against another one. A difference of few crashes is no evidence.
func (s suspicion) isDistinguishable(other suspicion) bool {
	if !s.SurvivedAt.Equal(other.SurvivedAt) || s.survivals != other.survivals {
		return true
	}
	return s.crashes >= minCrashesByDepth && (s.depth != other.depth || s.crashes != other.crashes)
}

// compareSuspicions orders the most suspected trait first: the one that has not survived
// for the longest time, and of those without a difference the one that has survived the
// least often here, and then the one that stands later in the prompts, because fewer prompts
// share it. Crashes count last, because a trait that a guilty one is always together with is
// in as many, or in more.
func compareSuspicions(a, b suspicion) int {
	return cmp.Or(a.SurvivedAt.Compare(b.SurvivedAt), cmp.Compare(a.survivals, b.survivals), cmp.Compare(b.depth, a.depth), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.Trait, b.Trait))
}

// evaluate contains the traits with sufficient evidence. Each one explains crashes that
// then don't count against others.
func (t *Tracker) evaluate(now time.Time) {
	t.evaluateAt = time.Time{}
	for {
		suspects := t.suspects(now)
		if len(suspects) == 0 {
			return
		}
		if t.containsAll {
			for _, s := range suspects {
				t.containSuspect(now, s)
			}
			return
		}
		first := suspects[0]
		if len(suspects) > 1 && !first.isDistinguishable(suspects[1]) && first.crashes < maxIndistinct {
			return
		}
		t.containSuspect(now, first)
	}
}

func (t *Tracker) containSuspect(now time.Time, s suspicion) {
	delay := firstProbeDelay
	if s.present < t.certainCrashes {
		delay = earlyProbeDelay
	}
	r := t.ensure(now, s.Trait)
	t.contain(now, r, Finding{Kind: t.kind, Trait: s.Trait, ContainedAt: now, CrashedAt: s.CrashedAt, ProbeAt: now.Add(delay)})
	t.out.Findings = append(t.out.Findings, r.Finding)
}

// suspects returns the traits against which the evidence suffices, the most suspected one
// first. Crashes whose reports may still arrive count later.
func (t *Tracker) suspects(now time.Time) []suspicion {
	crashes := slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	suspicions := map[Trait]*suspicion{}
	unexplained := 0
	for _, c := range crashes {
		if t.isExplained(c) {
			continue
		}
		unexplained++
		for p, weight := range c.traits {
			if dueAt := t.countsAt(c, p); now.Before(dueAt) {
				t.evaluateBy(dueAt)
				continue
			}
			t.accuse(suspicions, p, c.at, weight)
		}
	}
	var list []suspicion
	for _, s := range suspicions {
		if t.isSufficient(*s, unexplained) {
			list = append(list, *s)
		}
	}
	list = withMostCrashes(list)
	slices.SortFunc(list, compareSuspicions)
	return list
}

// countsAt returns the time from which a crash counts against a trait.
func (t *Tracker) countsAt(c *crash, p Trait) time.Time {
	if r := t.records[p]; r != nil && r.isKnown(c.at) {
		return c.at.Add(t.knownReportTime)
	}
	return c.at.Add(t.reportTime)
}

// evaluateBy makes sure that the evidence is evaluated at the given time.
func (t *Tracker) evaluateBy(at time.Time) {
	if t.evaluateAt.IsZero() || at.Before(t.evaluateAt) {
		t.evaluateAt = at
	}
}

// withMostCrashes returns the suspicions against traits that have not survived, or all if
// there are none, without those with clearly fewer crashes than another one.
func withMostCrashes(list []suspicion) []suspicion {
	hasSurvived := func(s suspicion) bool { return !s.SurvivedAt.IsZero() }
	if slices.ContainsFunc(list, func(s suspicion) bool { return !hasSurvived(s) }) {
		list = slices.DeleteFunc(list, hasSurvived)
	}
	most := 0.0
	for _, s := range list {
		most = max(most, s.crashes)
	}
	return slices.DeleteFunc(list, func(s suspicion) bool { return s.crashes < minShareOfCrashes*most })
}

// isExplained reports whether a contained trait may have caused the crash.
func (t *Tracker) isExplained(c *crash) bool {
	for p := range c.traits {
		if r := t.records[p]; r != nil && r.isContained() {
			return true
		}
	}
	return false
}

// accuse counts a crash against a trait, unless the trait has survived since.
func (t *Tracker) accuse(suspicions map[Trait]*suspicion, p Trait, crashedAt time.Time, weight float64) {
	s := suspicions[p]
	if s == nil {
		s = &suspicion{record: record{Finding: Finding{Trait: p}}}
		if r := t.records[p]; r != nil {
			s.record = *r
		}
		suspicions[p] = s
	}
	if s.SurvivedAt.After(crashedAt) {
		return
	}
	s.CrashedAt = crashedAt
	s.present++
	sameCauseTime := t.knownSameCauseTime
	if s.SurvivedAt.IsZero() {
		sameCauseTime = t.sameCauseTime
	}
	if s.crashes == 0 || crashedAt.Sub(s.countedAt) >= sameCauseTime {
		s.crashes += weight
		s.countedAt = crashedAt
	}
}
