package decide

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"mangoloft/verdict"
)

// MaxRank is the least urgent rank of a request; 0 is the most urgent.
const MaxRank = 9

// agingShare is the share of the time from its arrival to its latestStart after which a
// waiting request rises by one rank. It rises by another one each time when half of the
// remaining time has passed. Without this, a steady load of higher ranks would keep the
// request waiting until it is too late; if it rose sooner, most requests would be in the
// highest rank under overload.
const agingShare = 0.75

// rankAt returns the rank by which a waiting request is ordered. It is computed from the
// deadlines that notices carry, so all instances get nearly the same result.
func (w *waitingRequest) rankAt(now time.Time) int {
	if w.Rank == 0 || w.overdue(now) {
		return w.Rank
	}
	since := w.arrivedAt
	if !w.StartBy.IsZero() {
		since = w.StartBy.Add(-w.Class.WaitTarget)
	}
	remaining := float64(w.latestStart.Sub(now)) / float64(max(1, w.latestStart.Sub(since)))
	rank := w.Rank
	for threshold := 1 - agingShare; rank > 0 && remaining < threshold; threshold /= 2 {
		rank--
	}
	return rank
}

// overdue reports whether the request can no longer start in time.
func (w *waitingRequest) overdue(now time.Time) bool { return now.After(w.latestStart) }

// turn identifies a position among the requests of a team in one rank.
type turn struct {
	team string
	rank int
}

// sort sorts the queue in the order of service: by rank, then requests that can start
// in time, then in rounds, then by deadline. Each round serves one request of every
// team, so a team with many requests delays only itself. A request that can no longer
// start in time goes behind the requests of its rank that can: serving it first would
// make the next request late too, and under overload all of them.
func (q *queue) sort(now time.Time) {
	byDeadline := func(a, b *waitingRequest) int { return a.deadline.Compare(b.deadline) }
	overdue := func(w *waitingRequest) int {
		if w.overdue(now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(q.list, byDeadline)
	rounds := map[turn]int{}
	for _, w := range q.list {
		w.rank = w.rankAt(now)
		t := turn{w.Team, w.rank}
		w.round = rounds[t]
		rounds[t]++
	}
	slices.SortStableFunc(q.list, func(a, b *waitingRequest) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(overdue(a), overdue(b)), cmp.Compare(a.round, b.round), byDeadline(a, b))
	})
}

// aheadByRank contains the number of requests of each rank that are served before another
// request.
type aheadByRank [MaxRank + 1]int

// String lists the ranks that have requests.
func (a aheadByRank) String() string {
	var ranks []string
	for rank, count := range a {
		if count > 0 {
			ranks = append(ranks, fmt.Sprintf("%d of rank %d", count, rank))
		}
	}
	if len(ranks) == 0 {
		return "none"
	}
	return strings.Join(ranks, ", ")
}

func (a aheadByRank) total() int {
	total := 0
	for _, count := range a {
		total += count
	}
	return total
}

// optimisticStart returns an optimistic start time for a request of the given rank, if
// placements continue at the current rates. It returns the zero time if the rate is
// unknown or the request may start immediately. Requests of its own rank take turns with
// it for the capacity that higher ranks leave, so they are divided by the rate at which
// requests of this and lower ranks are placed. The first two of a rank may always wait,
// whatever is ahead: a steady load of higher ranks keeps the queue so long that all of the
// rank would be refused on arrival, although some rise in time.
func (p *pool) optimisticStart(now time.Time, rank int, ahead aheadByRank) time.Time {
	higher := 0
	for _, count := range ahead[:rank] {
		higher += count
	}
	total := p.placements.perSecond(now)
	own := total
	if rank > 0 {
		own = 0
		for i := rank; i <= MaxRank; i++ {
			own += p.placementsByRank[i].perSecond(now)
		}
	}
	turns := optimisticTurns(ahead.total() - higher + 1)
	if total <= 0 || turns == 0 {
		return time.Time{}
	}
	seconds := float64(higher)/total + turns/max(own, total/maxSlowdown)
	return now.Add(time.Duration(seconds * float64(time.Second)))
}

// optimisticTurns returns an optimistic estimate of a number of placements, which vary by its
// square root.
func optimisticTurns(n int) float64 {
	return max(0, float64(n)-optimismDeviations*math.Sqrt(float64(n)))
}

// maxSlowdown bounds how slowly a rank is assumed to be served: by the ratio of the rate
// of all placements to that of its own. If few of the rank were placed lately, little is
// known of its rate.
const maxSlowdown = 20

// rankText describes the rank of a request and what is ahead of it, for explanations.
// It is empty for a service whose requests all have the same rank.
func (r *Request) rankText(ahead aheadByRank) string {
	if !r.Ranked {
		return ""
	}
	return fmt.Sprintf("; rank %d, ahead of it: %s", r.Rank, ahead)
}

// holds maps upstreams to the highest rank of the requests that wait for room there. Until
// these are placed, lower ranks can't take the room that is becoming free.
type holds map[*upstream]int

// newHolds returns nil if no request of the sorted queue has a lower rank than another, so
// that nothing need be held.
func newHolds(sorted []*waitingRequest) holds {
	if len(sorted) == 0 || sorted[0].rank == sorted[len(sorted)-1].rank {
		return nil
	}
	return holds{}
}

// hold holds the candidates of a request that found no room. A request that can't start in
// time any more holds nothing.
func (h holds) hold(now time.Time, w *waitingRequest, candidates []*upstream) {
	if h == nil || w.overdue(now) || now.Before(w.deferredUntil) {
		return
	}
	for _, u := range candidates {
		if rank, ok := h[u]; !ok || w.rank < rank {
			h[u] = w.rank
		}
	}
}

// without returns the candidates that are not held for requests of higher rank. Shortly
// before its latest start a request may use all of them, so that a request of higher rank
// that fits nowhere doesn't keep it waiting until it is too late.
func (h holds) without(now time.Time, w *waitingRequest, candidates []*upstream) []*upstream {
	if w.rank == 0 || len(h) == 0 || urgent(now, w) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(u *upstream) bool {
		rank, ok := h[u]
		return ok && rank < w.rank
	})
}

// refuseDisplaced refuses a waiting request of a service with different ranks as soon as it
// can't be in time: because too many others are ahead of it now, or because its latest start
// has passed without room. The caller can still come back, and the capacity is left to
// requests that can be in time. It reports whether it did.
func (s *Scheduler) refuseDisplaced(now time.Time, w *waitingRequest, ahead aheadByRank) (Refuse, bool) {
	if !w.Ranked || w.handledByPeer {
		return Refuse{}, false
	}
	waited := now.Sub(w.arrivedAt).Round(time.Millisecond)
	if w.overdue(now) {
		explanation := fmt.Sprintf("no upstream had room in time, within %v", waited)
		return s.refuseRanked(now, w, verdict.WaitExpired, ahead, explanation), true
	}
	start := s.pool(w.Class.Pool).optimisticStart(now, w.rank, ahead)
	if !start.After(w.latestStart) {
		return Refuse{}, false
	}
	explanation := fmt.Sprintf("displaced after %v: the earliest start is %v too late", waited, start.Sub(w.latestStart).Round(time.Millisecond))
	return s.refuseRanked(now, w, verdict.Overloaded, ahead, explanation), true
}

// returnShare is the share of its remaining time in which a refused request should come
// back. Later it can hardly be in time, and its caller gives up.
const returnShare = 1.0 / 3

// refuseRanked returns the refusal of a request. In a service with different ranks, the retry
// time is after the requests ahead will have been placed, and within returnShare of the
// request's time. Requests that are refused together are spread over the time in which the
// queue is served, because capacity becomes free no faster.
func (s *Scheduler) refuseRanked(now time.Time, w *waitingRequest, reason verdict.Reason, ahead aheadByRank, explanation string) Refuse {
	refusal := s.refuse(now, w.Request, reason, explanation+w.rankText(ahead)+w.obstacles.String())
	if !w.Ranked || w.Deadline.IsZero() {
		return refusal
	}
	latest := time.Duration(returnShare * float64(max(0, w.Deadline.Sub(now))))
	untilClear := max(0, s.pool(w.Class.Pool).optimisticStart(now, w.rank, ahead).Sub(now))
	earliest := min(minRetryDelay+untilClear, latest/2)
	spread := min(refusal.RetryAt.Sub(now), latest-earliest)
	refusal.RetryAt = now.Add(earliest + time.Duration(hashFraction(w.ID, 0)*float64(spread)))
	return refusal
}
