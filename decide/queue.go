package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mangoloft/ident"
)

const (
	// maxQueue bounds the length of the queue.
	maxQueue = 512
	// reservationTime is how long a place is reserved for another instance's
	// request, and maxReservations how often.
	reservationTime = 50 * time.Millisecond
	maxReservations = 2
	// defaultWait is how long a request may wait if its class has no target for
	// waiting.
	defaultWait = 30 * time.Second
	// optimism is the number of standard deviations by which the forecast of the
	// waiting time may be wrong before a request is refused because of it.
	optimism = 1.64
)

// waiting is a request in the queue.
type waiting struct {
	Request
	arrivedAt time.Time
	// deadline is the target for the start; at expiresAt the request is refused.
	deadline, expiresAt time.Time
	// latestStart is when the request must be placed to meet its deadlines, as
	// far as can be estimated.
	latestStart time.Time
	// attempts counts the searches for an upstream.
	attempts uint64
	// round is the request's position among those of its team.
	round int
	// peerOwned requests wait at another instance, which places them. When it is
	// their turn, a place is reserved for them until reservedUntil, at most
	// maxReservations times.
	peerOwned     bool
	reservations  int
	reservedUntil time.Time
}

func newWaiting(now time.Time, r Request) *waiting {
	w := &waiting{Request: r, arrivedAt: now, deadline: r.StartBy}
	if r.StartBy.IsZero() {
		w.deadline = now.Add(defaultWait)
	}
	w.latestStart = w.deadline
	w.expiresAt = w.deadline.Add(max(r.Class.WaitTarget, 0))
	return w
}

// setLatestStart sets the latest time at which the request can be placed and
// still get its first token by its deadline.
func (s *Scheduler) setLatestStart(w *waiting) {
	if w.FirstTokenBy.IsZero() {
		return
	}
	prefill := float64(w.PromptTokens)/s.pool(w.Class.Pool).prefill.tokensPerSecond() + maxPrefillBacklog.Seconds()/2
	w.latestStart = w.FirstTokenBy.Add(-time.Duration(prefill * float64(time.Second)))
}

// queue holds the requests for which no upstream has room: those of this instance
// and, known from notices, those of other instances, so that all instances keep
// the same order. Teams are served in rounds, and within a round the earliest
// deadline first. A team with many requests therefore delays only itself.
type queue struct{ list []*waiting }

func (q *queue) add(now time.Time, w *waiting) {
	q.list = append(q.list, w)
	q.sort(now)
}

// sort puts the queue in the order of service. A request that can no longer be in
// time goes behind those that can. Served first, it would make the next one late
// too, and under overload all of them.
func (q *queue) sort(now time.Time) {
	byDeadline := func(a, b *waiting) int { return a.deadline.Compare(b.deadline) }
	late := func(w *waiting) int {
		if now.After(w.latestStart) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(q.list, byDeadline)
	rounds := map[string]int{}
	for _, w := range q.list {
		w.round = rounds[w.Team]
		rounds[w.Team]++
	}
	slices.SortStableFunc(q.list, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(a.round, b.round), byDeadline(a, b))
	})
}

func (q *queue) remove(id ident.Request) bool {
	before := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.ID == id })
	return len(q.list) < before
}

// ahead returns how many requests of the pool are served before a new one.
// Requests that can no longer be in time are served after it.
func (q *queue) ahead(now time.Time, w *waiting) int {
	count, sameTeam := 0, 0
	for _, other := range q.list {
		if other.Team == w.Team && q.precedes(now, other, w) {
			sameTeam++
		}
	}
	for _, other := range q.list {
		if q.inTime(now, other, w) && (other.round < sameTeam || other.round == sameTeam && !other.deadline.After(w.deadline)) {
			count++
		}
	}
	return count
}

// inTime reports whether other is a request of the same pool that can still be in
// time.
func (q *queue) inTime(now time.Time, other, w *waiting) bool {
	return other.Class.Pool == w.Class.Pool && !now.After(other.latestStart)
}

// precedes reports whether other comes before a request of the same team.
func (q *queue) precedes(now time.Time, other, w *waiting) bool {
	return q.inTime(now, other, w) && !other.deadline.After(w.deadline)
}

// earliestStart returns an optimistic start time for a request with so many ahead
// of it, if placements continue at the rate; zero if the rate isn't known.
func earliestStart(now time.Time, ahead int, rate float64) time.Time {
	turns := float64(ahead + 1)
	if optimistic := turns - optimism*math.Sqrt(turns); rate > 0 && optimistic > 0 {
		return now.Add(time.Duration(optimistic / rate * float64(time.Second)))
	}
	return time.Time{}
}
