package decide

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mangoloft/ident"
)

const (
	// maxQueue bounds the requests that wait.
	maxQueue = 512
	// keepPlace is how long a place is kept for another instance's request,
	// and maxKept how often.
	keepPlace = 50 * time.Millisecond
	maxKept   = 2
	// untargetedWait is how long a request of a class without a target for
	// waiting may wait.
	untargetedWait = 30 * time.Second
	// optimism is the number of standard deviations by which a forecast may
	// err before a request is refused for it.
	optimism = 1.64
)

// waiting is a request in the queue.
type waiting struct {
	Request
	arrivedAt time.Time
	// deadline is when the target for waiting passes, expiresAt when the
	// request is given up.
	deadline, expiresAt time.Time
	// latest is when the request has to be placed to be in time, as far as can
	// be told.
	latest time.Time
	// looks counts the searches for a place.
	looks uint64
	// round is the request's place among those of its team.
	round int
	// foreign requests wait at another instance, which places them. A place
	// that they should get is kept for them until keptUntil, a few times.
	foreign   bool
	kept      int
	keptUntil time.Time
}

func newWaiting(now time.Time, r Request) *waiting {
	w := &waiting{Request: r, arrivedAt: now, deadline: r.StartBy}
	if r.StartBy.IsZero() {
		w.deadline = now.Add(untargetedWait)
	}
	w.latest = w.deadline
	w.expiresAt = w.deadline.Add(max(r.Class.WaitTarget, 0))
	return w
}

// limitStart sets the latest time at which the request can be placed and its
// first token still come in time.
func (s *Scheduler) limitStart(w *waiting) {
	if w.FirstTokenBy.IsZero() {
		return
	}
	reading := float64(w.PromptTokens)/s.pool(w.Class.Pool).reading.get() + maxReadingTime.Seconds()/2
	w.latest = w.FirstTokenBy.Add(-time.Duration(reading * float64(time.Second)))
}

// queue holds requests that no upstream has room for, here and, by notice, at
// other instances, so that all keep to one order. It serves the teams in
// turn, and within each turn the request with the least slack first, so that
// a team with many requests waits behind itself.
type queue struct{ list []*waiting }

func (q *queue) add(now time.Time, w *waiting) {
	q.list = append(q.list, w)
	q.sort(now)
}

// sort puts the queue in the order of service. A request that can't be in time
// any more goes behind those that can: served first, it would make the next one
// late too, and under overload all of them.
func (q *queue) sort(now time.Time) {
	byDeadline := func(a, b *waiting) int { return a.deadline.Compare(b.deadline) }
	passed := func(w *waiting) int {
		if now.After(w.latest) {
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
		return cmp.Or(cmp.Compare(passed(a), passed(b)), cmp.Compare(a.round, b.round), byDeadline(a, b))
	})
}

func (q *queue) remove(id ident.Request) bool {
	before := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.ID == id })
	return len(q.list) < before
}

// ahead returns how many requests of the pool are served before one that has
// just come. Those that can't be in time any more are served after it.
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

// inTime reports whether another request of the pool can still be in time.
func (q *queue) inTime(now time.Time, other, w *waiting) bool {
	return other.Class.Pool == w.Class.Pool && !now.After(other.latest)
}

// precedes reports whether a request of the same team comes first.
func (q *queue) precedes(now time.Time, other, w *waiting) bool {
	return q.inTime(now, other, w) && !other.deadline.After(w.deadline)
}

// earliest returns when a request with so many ahead starts at the earliest,
// if placements go on at the rate; zero when the rate is not known.
func earliest(now time.Time, ahead int, rate float64) time.Time {
	turns := float64(ahead + 1)
	if optimistic := turns - optimism*math.Sqrt(turns); rate > 0 && optimistic > 0 {
		return now.Add(time.Duration(optimistic / rate * float64(time.Second)))
	}
	return time.Time{}
}
