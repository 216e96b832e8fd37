package containment

import (
	"maps"
	"slices"
	"time"
)

// Finding is what is known of one trait.
type Finding struct {
	Kind  Kind
	Trait Trait
	// SurvivedAt is the time at which the latest execution began after which the upstream
	// still ran; zero if there is none.
	SurvivedAt time.Time
	// ContainedAt is the time at which the trait was contained; zero if it is not.
	ContainedAt time.Time
	// CrashedAt is the time of the latest crash that the trait explains.
	CrashedAt time.Time
	// ProbeAt is the time from which one request with a contained trait may be sent, and
	// Probes the number of those sent so far.
	ProbeAt time.Time
	Probes  int
}

// Blocked reports whether a request with the traits must not be sent now, and the
// contained trait.
func (t *Tracker) Blocked(now time.Time, traits []Trait) (Finding, bool) {
	for _, p := range traits {
		if r := t.records[p]; r != nil && r.isContained() {
			r.usedAt = now
			if now.Before(r.ProbeAt.Add(t.probeSpread(r))) {
				return r.Finding, true
			}
		}
	}
	return Finding{}, false
}

// probeSpread returns the time after ProbeAt at which this instance may send the probe, so
// that the instances don't all send one before they hear of the first.
func (t *Tracker) probeSpread(r *record) time.Duration {
	spread := min(time.Duration(t.instances-1)*probeSpreadPerInstance, maxProbeSpread)
	fraction := float64(t.hash(r.Trait.String(), uint64(r.Probes))>>11) / (1 << 53)
	return time.Duration(fraction * float64(spread))
}

func probeDelay(probes int) time.Duration {
	return min(maxProbeDelay, firstProbeDelay<<min(probes, 10))
}

// HandleFinding handles what another instance knows of a trait.
func (t *Tracker) HandleFinding(now time.Time, f Finding) {
	r := t.ensure(now, f.Trait)
	r.SurvivedAt = latest(r.SurvivedAt, f.SurvivedAt)
	r.toldAt = latest(r.toldAt, f.SurvivedAt)
	switch {
	case f.ContainedAt.IsZero() || now.Sub(f.CrashedAt) > retention:
	case r.isContained():
		r.Probes = max(r.Probes, f.Probes)
		r.ProbeAt = latest(r.ProbeAt, f.ProbeAt)
		r.CrashedAt = latest(r.CrashedAt, f.CrashedAt)
	case r.SurvivedAt.After(f.CrashedAt):
		// The other instance does not know of the survival.
		t.tell(r)
	default:
		t.contain(now, r, f)
	}
	t.releaseIfSurvived(r)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Contained returns the contained traits.
func (t *Tracker) Contained() []Finding {
	var list []Finding
	for _, p := range slices.Sorted(maps.Keys(t.contained)) {
		list = append(list, t.contained[p].Finding)
	}
	return list
}

// releaseIfSurvived ends the containment of a trait with which an execution survived that
// began after the latest crash. It reports whether it did.
func (t *Tracker) releaseIfSurvived(r *record) bool {
	if !r.isContained() || !r.SurvivedAt.After(r.CrashedAt) {
		return false
	}
	t.release(r)
	return true
}

// release ends the containment of a trait.
func (t *Tracker) release(r *record) {
	t.out.Released = append(t.out.Released, r.Finding)
	r.Finding = Finding{Kind: t.kind, Trait: r.Trait, SurvivedAt: r.SurvivedAt}
	delete(t.contained, r.Trait)
}

// contain begins the containment of a trait.
func (t *Tracker) contain(now time.Time, r *record, f Finding) {
	if len(t.contained) >= MaxContained {
		oldest := slices.MinFunc(t.Contained(), func(a, b Finding) int { return a.ContainedAt.Compare(b.ContainedAt) })
		t.release(t.contained[oldest.Trait])
	}
	t.contained[r.Trait] = r
	r.ContainedAt, r.CrashedAt, r.ProbeAt, r.Probes, r.usedAt = f.ContainedAt, f.CrashedAt, f.ProbeAt, f.Probes, now
	t.out.Contained = append(t.out.Contained, r.Finding)
}
