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
	// forgetAfter is how long an incarnation must be gone from the list before
	// its mark is forgotten. The list lags, and may show it once more.
	forgetAfter = 10 * time.Minute
	// marksKept bounds the marks of upstreams that the list doesn't name.
	marksKept = 8192
	// refusalDoubt is the age from which a listed incarnation is surely the
	// one that refused. Before that the refusal may be its predecessor's.
	refusalDoubt = 30 * time.Second
	// pollBudget is about how many upstreams an instance asks for their load.
	// While a data centre is so small that every instance can ask all, it does.
	pollBudget = 8
)

// upstreams holds the listed upstreams and the marks of those that are leaving.
type upstreams struct {
	listed []decide.Upstream
	// since holds when each listed incarnation was first listed.
	since map[member.LeavingMark]time.Time
	// marks holds since when each marked incarnation is gone from the list;
	// zero while it is listed.
	marks map[member.LeavingMark]time.Time

	// What follows is derived from the above.
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

// setListed takes the list's upstreams.
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

// mark is sticky: whatever the list says later, this incarnation gets no new
// work. It reports whether the mark is news.
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
	if len(u.marks)-len(u.leaving) >= marksKept {
		return false
	}
	u.marks[mark] = now
	return true
}

// forget drops the marks of incarnations that the list has not named for long.
func (u *upstreams) forget(now time.Time) {
	for mark, goneSince := range u.marks {
		if !goneSince.IsZero() && now.Sub(goneSince) > forgetAfter {
			delete(u.marks, mark)
		}
	}
}

// derive works out what the snapshot shows. The hash leaves out marks of
// unlisted incarnations, which instances forget at different times.
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
	return []Action{Record{event.UpstreamLeaving, upstreamRecord{mark.Upstream, mark.Incarnation, source}}, Announce{}}
}

// applyUpstreams gives the scheduler the upstreams as they are marked now.
func (s *State) applyUpstreams(now time.Time) {
	s.dirty = true
	s.scheduler.Step(now, decide.UpstreamsChanged{Upstreams: s.upstreams.marked})
}

// hearRefusal takes an upstream's refusal that says it is leaving. The refusal
// names no incarnation, so the load report, which does, is asked for at once.
func (s *State) hearRefusal(now time.Time, e decide.Failed) []Action {
	if e.Reason != verdict.UpstreamLeaving {
		return nil
	}
	i := slices.IndexFunc(s.upstreams.marked, func(u decide.Upstream) bool { return u.Name == e.Upstream })
	if i < 0 || s.upstreams.marked[i].Leaving {
		return nil
	}
	u := s.upstreams.marked[i]
	if now.Sub(s.upstreams.since[markOf(u)]) > refusalDoubt {
		return s.markLeaving(now, markOf(u), "refusal")
	}
	return []Action{PollUpstream{u}}
}

// pollAllLimit is how many upstreams a fleet may have for every instance to ask
// all of them, in other data centres too.
const pollAllLimit = 32

// choosePolls returns the upstreams whose load this instance asks for: all of
// the fleet or of its data centre while they are few, and else its share by
// rendezvous hashing. The others learn the reports by heartbeat.
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
	each := max(1, pollBudget*len(pollers)/max(1, len(local)))
	s.pollsShared = each < len(pollers)
	if !s.pollsShared {
		return local
	}
	chooser := member.NewChooser(pollers)
	return slices.DeleteFunc(local, func(u decide.Upstream) bool {
		return !slices.Contains(chooser.Choose(u.Name, each), s.instance)
	})
}

// hashList tells instance lists apart.
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
