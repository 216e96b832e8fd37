package control

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/verdict"
)

const (
	// markExpiry is the time for which an incarnation must be absent from the
	// list before its mark is dropped. The list lags, and may show the
	// incarnation again.
	markExpiry = 10 * time.Minute
	// maxUnlistedMarks is the maximum number of marks of upstreams that are not
	// in the list.
	maxUnlistedMarks = 8192
	// minRefusalAge is the time for which an incarnation must have been listed
	// before a refusal is attributed to it. An earlier refusal may come from
	// its predecessor.
	minRefusalAge = 30 * time.Second
	// pollsPerInstance is the approximate number of upstreams that an instance
	// polls for their load. In a data centre with few upstreams, every instance
	// polls all of them.
	pollsPerInstance = 8
)

// upstreams contains the listed upstreams and the leaving marks.
type upstreams struct {
	listed []decide.Upstream
	// listedSince maps each listed incarnation to the time at which it was
	// first listed.
	listedSince map[member.LeavingMark]time.Time
	// marks maps each incarnation that is marked as leaving to the time at
	// which it disappeared from the list; zero while it is listed.
	marks map[member.LeavingMark]time.Time

	// The following fields are derived from those above: the listed upstreams
	// with their marks, the marks of listed upstreams, and a hash over those
	// marks.
	marked  []decide.Upstream
	leaving []member.LeavingMark
	hash    uint64
}

func newUpstreams() upstreams {
	return upstreams{listedSince: map[member.LeavingMark]time.Time{}, marks: map[member.LeavingMark]time.Time{}}
}

func markOf(u decide.Upstream) member.LeavingMark {
	return member.LeavingMark{Upstream: u.Name, Incarnation: u.Incarnation}
}

// setListed replaces the listed upstreams.
func (u *upstreams) setListed(now time.Time, listed []decide.Upstream) {
	listedSince := make(map[member.LeavingMark]time.Time, len(listed))
	for _, listedUpstream := range listed {
		mark := markOf(listedUpstream)
		listedSince[mark] = now
		if earlier, ok := u.listedSince[mark]; ok {
			listedSince[mark] = earlier
		}
	}
	u.listed, u.listedSince = listed, listedSince
	for mark, absentSince := range u.marks {
		_, isListed := listedSince[mark]
		switch {
		case isListed:
			u.marks[mark] = time.Time{}
		case absentSince.IsZero():
			u.marks[mark] = now
		}
	}
	u.derive()
}

// mark marks an incarnation as leaving and reports whether the mark is new.
// Marks are never revoked: the incarnation gets no new requests even if a later
// list shows it as live.
func (u *upstreams) mark(now time.Time, mark member.LeavingMark) bool {
	if _, ok := u.marks[mark]; ok {
		return false
	}
	_, isListed := u.listedSince[mark]
	if isListed {
		u.marks[mark] = time.Time{}
		u.derive()
		return true
	}
	if len(u.marks)-len(u.leaving) >= maxUnlistedMarks {
		return false
	}
	u.marks[mark] = now
	return true
}

// expireMarks drops the marks of incarnations that have been absent from the
// list for markExpiry.
func (u *upstreams) expireMarks(now time.Time) {
	for mark, absentSince := range u.marks {
		if !absentSince.IsZero() && now.Sub(absentSince) > markExpiry {
			delete(u.marks, mark)
		}
	}
}

// derive recomputes the derived fields. The hash does not cover marks of
// unlisted incarnations, which instances drop at different times.
func (u *upstreams) derive() {
	u.marked, u.leaving, u.hash = slices.Clone(u.listed), nil, 0
	for i, listedUpstream := range u.marked {
		mark := markOf(listedUpstream)
		if _, ok := u.marks[mark]; ok {
			u.marked[i].Leaving = true
			u.leaving = append(u.leaving, mark)
			u.hash ^= xxhash.Sum64String(mark.Upstream + "/" + mark.Incarnation.String())
		}
	}
}

// upstreamRecord is the audit record of a change of one upstream.
type upstreamRecord struct {
	Upstream    string            `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Source      string            `json:"source"`
}

func (s *State) markLeaving(now time.Time, mark member.LeavingMark, source string) []Action {
	if !s.upstreams.mark(now, mark) {
		return nil
	}
	s.applyUpstreams(now)
	return []Action{Record{event.UpstreamLeaving, upstreamRecord{mark.Upstream, mark.Incarnation, source}}, SendHeartbeats{}}
}

// applyUpstreams sends the upstreams with their current marks to the scheduler.
func (s *State) applyUpstreams(now time.Time) {
	s.snapshotStale = true
	s.scheduler.Step(now, decide.UpstreamsChanged{Upstreams: s.upstreams.marked})
}

// handleRefusal handles an upstream's refusal because it is leaving. The
// refusal does not identify an incarnation. If the listed one is too new to
// attribute the refusal to it, the load report, which identifies its
// incarnation, is requested immediately.
func (s *State) handleRefusal(now time.Time, e decide.Failed) []Action {
	if e.Reason != verdict.UpstreamLeaving {
		return nil
	}
	i := slices.IndexFunc(s.upstreams.marked, func(u decide.Upstream) bool { return u.Name == e.Upstream })
	if i < 0 || s.upstreams.marked[i].Leaving {
		return nil
	}
	u := s.upstreams.marked[i]
	if now.Sub(s.upstreams.listedSince[markOf(u)]) > minRefusalAge {
		return s.markLeaving(now, markOf(u), "refusal")
	}
	return []Action{PollUpstream{u}}
}

// pollAllLimit is the maximum number of upstreams in the fleet for which every
// instance polls all of them, including upstreams in other data centres.
const pollAllLimit = 32

// choosePolledUpstreams returns the upstreams that this instance polls for
// their load: all of the fleet or of its data centre if there are few, and
// otherwise its share by rendezvous hashing. The load of the others arrives in
// heartbeats.
func (s *State) choosePolledUpstreams() []decide.Upstream {
	if len(s.upstreams.marked) <= pollAllLimit {
		return s.upstreams.marked
	}
	pollers := s.members.Pollers()
	var local []decide.Upstream
	for _, u := range s.upstreams.marked {
		if u.DataCentre == s.dataCentre {
			local = append(local, u)
		}
	}
	pollersPerUpstream := max(1, pollsPerInstance*len(pollers)/max(1, len(local)))
	s.pollingShared = pollersPerUpstream < len(pollers)
	if !s.pollingShared {
		return local
	}
	chooser := member.NewChooser(pollers)
	return slices.DeleteFunc(local, func(u decide.Upstream) bool {
		return !slices.Contains(chooser.Choose(u.Name, pollersPerUpstream), s.instance)
	})
}

// hashList returns a hash that identifies the contents of an instance list.
func hashList(entries []member.ListedInstance, listed []decide.Upstream) uint64 {
	var hash uint64
	for _, l := range entries {
		hash ^= xxhash.Sum64String("entry " + l.Name + " " + l.DataCentre + " " + l.Peer.String() + " " + strconv.FormatBool(l.Leaving))
	}
	for _, u := range listed {
		hash ^= xxhash.Sum64String("upstream " + u.Name + " " + u.Pool + " " + u.DataCentre + " " + u.Addr.String() + " " +
			u.Incarnation.String() + " " + strconv.FormatBool(u.Leaving))
	}
	return hash
}

func sortUpstreams(listed []decide.Upstream) {
	slices.SortFunc(listed, func(a, b decide.Upstream) int { return cmp.Compare(a.Name, b.Name) })
}
