package containment

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mangoloft/prompt"
)

// suspicion is the evidence against a part: the crashes since it survived that no
// contained part explains.
type suspicion struct {
	record
	// crashes is the weighted number of crashes that count.
	crashes float64
	// countedAt is the time of the latest crash that counted, and CrashedAt that of the
	// latest one.
	countedAt time.Time
}

// minShareOfCrashes is the share of the crashes of the part with the most that another
// part must have to be suspected more.
const minShareOfCrashes = 0.85

// isSufficient reports whether the evidence suffices to contain the part.
func (s suspicion) isSufficient() bool {
	if !s.SurvivedAt.IsZero() && s.CrashedAt.Sub(s.SurvivedAt) < knownTime {
		return s.crashes >= minCrashesOfKnown
	}
	return s.crashes >= minCrashes
}

// isDistinguishable reports whether the evidence against the part differs from that
// against another one. A difference of few crashes is no evidence.
func (s suspicion) isDistinguishable(other suspicion) bool {
	if !s.SurvivedAt.Equal(other.SurvivedAt) || s.survivals != other.survivals {
		return true
	}
	return s.crashes >= minCrashesByDepth && (s.depth != other.depth || s.crashes != other.crashes)
}

// compareSuspicions orders the most suspected part first: the one that has not survived
// for the longest time, and of those without a difference the one that has survived the
// least often here, and then the one that stands later in the prompts, because fewer prompts
// share it. Crashes count last, because a part that a guilty one is always together with is
// in as many, or in more.
func compareSuspicions(a, b suspicion) int {
	return cmp.Or(a.SurvivedAt.Compare(b.SurvivedAt), cmp.Compare(a.survivals, b.survivals), cmp.Compare(b.depth, a.depth), cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.Part, b.Part))
}

// evaluate contains the parts with sufficient evidence. Each one explains crashes that
// then don't count against others.
func (t *Tracker) evaluate(now time.Time) {
	t.evaluateAt = time.Time{}
	for {
		suspects := t.suspects(now)
		if len(suspects) == 0 {
			return
		}
		first := suspects[0]
		if len(suspects) > 1 && !first.isDistinguishable(suspects[1]) && first.crashes < maxIndistinct {
			return
		}
		f := Finding{Part: first.Part, ContainedAt: now, CrashedAt: first.CrashedAt, ProbeAt: now.Add(probeDelay(0))}
		r := t.ensure(now, first.Part)
		t.contain(now, r, f)
		t.out.Findings = append(t.out.Findings, r.Finding)
	}
}

// suspects returns the parts against which the evidence suffices, the most suspected one
// first. Crashes whose reports may still arrive count later.
func (t *Tracker) suspects(now time.Time) []suspicion {
	crashes := slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
	suspicions := map[prompt.Part]*suspicion{}
	for _, c := range crashes {
		if dueAt := c.at.Add(reportTime); now.Before(dueAt) {
			if t.evaluateAt.IsZero() {
				t.evaluateAt = dueAt
			}
			continue
		}
		if t.isExplained(c) {
			continue
		}
		for p, weight := range c.parts {
			t.accuse(suspicions, p, c.at, weight)
		}
	}
	var list []suspicion
	for _, s := range suspicions {
		if s.isSufficient() {
			list = append(list, *s)
		}
	}
	list = withMostCrashes(list)
	slices.SortFunc(list, compareSuspicions)
	return list
}

// withMostCrashes returns the suspicions against parts that have not survived, or all if
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

// isExplained reports whether a contained part may have caused the crash.
func (t *Tracker) isExplained(c *crash) bool {
	for p := range c.parts {
		if r := t.records[p]; r != nil && r.isContained() {
			return true
		}
	}
	return false
}

// accuse counts a crash against a part, unless the part has survived since.
func (t *Tracker) accuse(suspicions map[prompt.Part]*suspicion, p prompt.Part, crashedAt time.Time, weight float64) {
	s := suspicions[p]
	if s == nil {
		s = &suspicion{record: record{Finding: Finding{Part: p}}}
		if r := t.records[p]; r != nil {
			s.record = *r
		}
		suspicions[p] = s
	}
	if s.SurvivedAt.After(crashedAt) {
		return
	}
	s.CrashedAt = crashedAt
	if s.SurvivedAt.IsZero() || s.crashes == 0 || crashedAt.Sub(s.countedAt) >= sameCauseTime {
		s.crashes += weight
		s.countedAt = crashedAt
	}
}
