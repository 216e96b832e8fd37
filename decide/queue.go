package decide

import (
	"slices"
	"time"

	"mangoloft/ident"
)

const (
	// maxQueue is the maximum length of the queue.
	maxQueue = 512
	// reservationTime is the duration of a reservation for another instance's
	// request.
	reservationTime = 50 * time.Millisecond
	// maxReservations is the maximum number of reservations for a request.
	maxReservations = 2
	// defaultWait is the waiting time target of a class that sets none.
	defaultWait = 30 * time.Second
	// optimismDeviations is the number of standard deviations that are subtracted
	// from the forecast waiting time. A request is refused only if even this
	// optimistic forecast misses its target.
	optimismDeviations = 1.64
)

// waitingRequest is a request that is queued or about to be placed.
type waitingRequest struct {
	Request
	arrivedAt time.Time
	// deadline is the latest start that meets the target. At expiresAt the request is refused,
	// at the latest when its caller would give up before the first token.
	deadline, expiresAt time.Time
	// latestStart is the estimated latest time at which the request can be placed
	// and still meet its deadlines.
	latestStart time.Time
	// deferredUntil is the time until which the request waits for a faster upstream, although
	// another one has room. It delays no others meanwhile.
	deferredUntil time.Time
	// attempts is the number of searches for an upstream.
	attempts uint64
	// obstacles are those of the latest search.
	obstacles obstacleCounts
	// round is the request's position among the requests of its team and rank, and rank
	// the one by which it is ordered.
	round, rank int
	// handledByPeer reports whether the request is queued at another instance,
	// which will place it. When it is first in the queue, capacity is reserved for it
	// until reservedUntil, at most maxReservations times.
	handledByPeer bool
	reservations  int
	reservedUntil time.Time
}

func newWaitingRequest(now time.Time, r Request) *waitingRequest {
	w := &waitingRequest{Request: r, arrivedAt: now, deadline: r.StartBy, rank: r.Rank}
	if r.StartBy.IsZero() {
		w.deadline = now.Add(defaultWait)
	}
	w.latestStart = w.deadline
	w.expiresAt = w.deadline.Add(max(r.Class.WaitTarget, 0))
	return w
}

// setLatestStart sets latestStart to the latest time at which the request can
// be placed and still get its first token by its deadline.
func (s *Scheduler) setLatestStart(w *waitingRequest) {
	if !w.FirstTokenBy.IsZero() {
		w.latestStart = w.FirstTokenBy.Add(-s.prefillTime(w) - maxPrefillBacklog/2)
	}
	w.latestStart = earlier(w.latestStart, w.expiresAt)
}

// limitWait makes the request expire when it could be placed no more and get its first token
// before its caller gives up.
func (s *Scheduler) limitWait(w *waitingRequest) {
	if !w.Deadline.IsZero() {
		w.expiresAt = earlier(w.expiresAt, w.Deadline.Add(-s.prefillTime(w)))
	}
}

// prefillTime returns the average time in which an engine prefills the request's prompt; 0 for
// calls.
func (s *Scheduler) prefillTime(w *waitingRequest) time.Duration {
	return time.Duration(float64(w.PromptTokens) / s.pool(w.Class.Pool).prefill.tokensPerSecond() * float64(time.Second))
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// queue contains the requests that no upstream has capacity for. It also
// contains the waiting requests of other instances, as known from their
// notices, so that all instances serve them in the same order.
type queue struct{ list []*waitingRequest }

func (q *queue) add(now time.Time, w *waitingRequest) {
	q.list = append(q.list, w)
	q.sort(now)
}

func (q *queue) remove(id ident.Request) bool {
	lengthBefore := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(w *waitingRequest) bool { return w.ID == id })
	return len(q.list) < lengthBefore
}

// ahead returns the number of requests of the pool that are served before a new one, by
// rank. Requests that can no longer start in time are served after it, except those of
// higher rank.
func (q *queue) ahead(now time.Time, w *waitingRequest) aheadByRank {
	var count aheadByRank
	sameTeam := 0
	for _, other := range q.list {
		if other.Team == w.Team && other.rank == w.Rank && q.precedes(now, other, w) {
			sameTeam++
		}
	}
	for _, other := range q.list {
		switch {
		case other.Class.Pool != w.Class.Pool || other.rank > w.Rank:
		case now.Before(other.deferredUntil):
		case other.rank < w.Rank:
			count[other.rank]++
		case q.inTime(now, other, w) && (other.round < sameTeam || other.round == sameTeam && !other.deadline.After(w.deadline)):
			count[other.rank]++
		}
	}
	return count
}

// inTime reports whether other is a request of the same pool that can still
// start in time, and is not deferred.
func (q *queue) inTime(now time.Time, other, w *waitingRequest) bool {
	return other.Class.Pool == w.Class.Pool && !now.After(other.latestStart) && !now.Before(other.deferredUntil)
}

// precedes reports whether other is served before w if both are of the same
// team.
func (q *queue) precedes(now time.Time, other, w *waitingRequest) bool {
	return q.inTime(now, other, w) && !other.deadline.After(w.deadline)
}
