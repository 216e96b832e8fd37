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
	w.expiresAt = w.deadline.Add(max(r.Class.Wait, 0))
	return w
}

// queue holds requests that no upstream has room for, here and, by notice, at
// other instances, so that all keep to one order. It serves the teams in
// turn, and within each turn the request with the least slack first, so that
// a team with many requests waits behind itself.
type queue struct{ list []*waiting }

func (q *queue) add(w *waiting) {
	q.list = append(q.list, w)
	q.sort()
}

func (q *queue) sort() {
	byDeadline := func(a, b *waiting) int { return a.deadline.Compare(b.deadline) }
	slices.SortStableFunc(q.list, byDeadline)
	rounds := map[string]int{}
	for _, w := range q.list {
		w.round = rounds[w.Team]
		rounds[w.Team]++
	}
	slices.SortStableFunc(q.list, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.round, b.round), byDeadline(a, b))
	})
}

func (q *queue) remove(id ident.Request) bool {
	before := len(q.list)
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.ID == id })
	return len(q.list) < before
}

// ahead returns how many requests of the pool are served before the request.
func (q *queue) ahead(w *waiting) int {
	count, sameTeam := 0, 0
	for _, other := range q.list {
		if other.Class.Pool != w.Class.Pool {
			continue
		}
		if other.Team == w.Team && !other.deadline.After(w.deadline) {
			sameTeam++
		}
	}
	for _, other := range q.list {
		if other.Class.Pool == w.Class.Pool && (other.round < sameTeam || other.round == sameTeam && !other.deadline.After(w.deadline)) {
			count++
		}
	}
	return count
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
