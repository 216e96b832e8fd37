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
	// markExpiry is how long an incarnation must be absent from the list before
	// its mark is dropped. The list lags, and may show the incarnation once
	// more.
	markExpiry = 10 * time.Minute
	// maxUnlistedMarks bounds the marks of upstreams that are not in the list.
	maxUnlistedMarks = 8192
	// minRefusalAge is how long an incarnation must have been listed before a
	// refusal is attributed to it. Until then the refusal may be its
	// predecessor's.
	minRefusalAge = 30 * time.Second
	// pollsPerInstance is roughly how many upstreams an instance polls for
	// their load. In a data centre that is small enough, every instance polls
	// all of them.
	pollsPerInstance = 8
)

// upstreams holds the listed upstreams and the marks of those that are leaving.
type upstreams struct {
	listed []decide.Upstream
	// since holds the time at which each listed incarnation was first listed.
	since map[member.LeavingMark]time.Time
	// marks holds the time at which each marked incarnation disappeared from
	// the list; zero while it is listed.
	marks map[member.LeavingMark]time.Time

	// The following fields are derived from those above.
	marked  []decide.Upstream
	leaving []member.LeavingMark
	hash    uint64
}

func newUpstreams() upstreams {
	return upstreams{since: map[member.LeavingMark]time.Time{}, marks: map[member.LeavingMark]time.Time{}}
}

func markOf(u decide.Upstream) member.LeavingMark {
	return member.LeavingMark{Upstream: u.Name, Incarnation: u.Incarnation}
}

// setListed replaces the listed upstreams.
func (u *upstreams) setListed(now time.Time, listed []decide.Upstream) {
	since := make(map[member.LeavingMark]time.Time, len(listed))
	for _, next := range listed {
		mark := markOf(next)
		since[mark] = now
		if known, ok := u.since[mark]; ok {
			since[mark] = known
		}
	}
	u.listed, u.since = listed, since
	for mark, goneSince := range u.marks {
		_, isListed := since[mark]
		switch {
		case isListed:
			u.marks[mark] = time.Time{}
		case goneSince.IsZero():
			u.marks[mark] = now
		}
	}
	u.derive()
}

// mark marks an incarnation as leaving and reports whether the mark is new.
// Marks are sticky: whatever the list shows later, the incarnation gets no new
// work.
func (u *upstreams) mark(now time.Time, mark member.LeavingMark) bool {
	if _, ok := u.marks[mark]; ok {
		return false
	}
	_, isListed := u.since[mark]
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
	for mark, goneSince := range u.marks {
		if !goneSince.IsZero() && now.Sub(goneSince) > markExpiry {
			delete(u.marks, mark)
		}
	}
}

// derive recomputes the derived fields. The hash leaves out marks of unlisted
// incarnations, which instances drop at different times.
func (u *upstreams) derive() {
	u.marked, u.leaving, u.hash = slices.Clone(u.listed), nil, 0
	for i, next := range u.marked {
		mark := markOf(next)
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

// applyUpstreams passes the upstreams with their current marks to the
// scheduler.
func (s *State) applyUpstreams(now time.Time) {
	s.dirty = true
	s.scheduler.Step(now, decide.UpstreamsChanged{Upstreams: s.upstreams.marked})
}

// handleRefusal handles an upstream's refusal because it is leaving. The refusal
// names no incarnation. If the listed one is too new to attribute the refusal to
// it, the load report, which names its incarnation, is requested at once.
func (s *State) handleRefusal(now time.Time, e decide.Failed) []Action {
	if e.Reason != verdict.UpstreamLeaving {
		return nil
	}
	i := slices.IndexFunc(s.upstreams.marked, func(u decide.Upstream) bool { return u.Name == e.Upstream })
	if i < 0 || s.upstreams.marked[i].Leaving {
		return nil
	}
	u := s.upstreams.marked[i]
	if now.Sub(s.upstreams.since[markOf(u)]) > minRefusalAge {
		return s.markLeaving(now, markOf(u), "refusal")
	}
	return []Action{PollUpstream{u}}
}

// pollAllLimit is the largest number of upstreams in the fleet for which every
// instance polls all of them, in other data centres too.
const pollAllLimit = 32

// choosePolls returns the upstreams that this instance polls for their load:
// all of the fleet or of its data centre while there are few, else its share by
// rendezvous hashing. It learns the load of the others from heartbeats.
func (s *State) choosePolls() []decide.Upstream {
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
	each := max(1, pollsPerInstance*len(pollers)/max(1, len(local)))
	s.pollingShared = each < len(pollers)
	if !s.pollingShared {
		return local
	}
	chooser := member.NewChooser(pollers)
	return slices.DeleteFunc(local, func(u decide.Upstream) bool {
		return !slices.Contains(chooser.Choose(u.Name, each), s.instance)
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
