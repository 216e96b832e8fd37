package decide

import (
	"fmt"
	"slices"
	"time"

	"mangoloft/config"
	"mangoloft/verdict"
)

// serveQueue places the waiting requests that fit on an upstream now, and
// refuses those whose waiting time has expired. No later request of the pool
// and rank can overtake an urgent one. Requests queued on other instances get
// reservations instead, at most maxReservations times, and are then dropped.
func (s *Scheduler) serveQueue(now time.Time) []Action {
	var actions []Action
	s.queue.sort(now)
	overtaken, held, waiting := map[lane]int{}, newHolds(s.queue.list), map[string]aheadByRank{}
	for _, w := range slices.Clone(s.queue.list) {
		lane := lane{w.Class.Pool, w.Only, w.Rank}
		switch {
		case w.handledByPeer && now.Before(w.reservedUntil):
			continue
		case w.handledByPeer && (w.reservations >= maxReservations || !now.Before(w.expiresAt)):
			s.queue.remove(w.ID)
			s.cancelPlacement(w.ID)
			continue
		case w.handledByPeer:
			// A previous reservation, if any, has ended.
			s.cancelPlacement(w.ID)
		case !now.Before(w.expiresAt):
			s.dequeue(w)
			explanation := fmt.Sprintf("no upstream had room within %v", now.Sub(w.arrivedAt).Round(time.Millisecond))
			actions = append(actions, s.refuseRanked(now, w, verdict.WaitExpired, waiting[w.Class.Pool], explanation))
			continue
		}
		if refusal, ok := s.refuseContained(now, w.Request); ok {
			s.dequeue(w)
			actions = append(actions, refusal)
			continue
		}
		if refusal, ok := s.refuseClosed(now, w.Request); ok && !w.handledByPeer {
			s.dequeue(w)
			actions = append(actions, refusal)
			continue
		}
		if overtaken[lane] < maxOvertaken {
			action, ok := s.serve(now, w, held)
			if ok && action != nil {
				actions = append(actions, action)
			}
			if ok {
				continue
			}
			// A deferred request waits though there is room.
			if !now.Before(w.deferredUntil) {
				overtaken[lane]++
				if urgent(now, w) {
					overtaken[lane] = maxOvertaken
				}
			}
		}
		if now.Before(w.deferredUntil) {
			// It delays no others and could be placed now.
			continue
		}
		ahead := waiting[w.Class.Pool]
		if refusal, ok := s.refuseDisplaced(now, w, ahead); ok {
			s.dequeue(w)
			actions = append(actions, refusal)
			continue
		}
		ahead[w.rank]++
		waiting[w.Class.Pool] = ahead
	}
	return actions
}

// dequeue removes a request of this instance from the queue. Only streams that wait are known
// to the other instances.
func (s *Scheduler) dequeue(w *waitingRequest) {
	s.queue.remove(w.ID)
	if w.Class.Kind == config.Stream {
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: w.ID}})
	}
}

// lane identifies the requests that can overtake each other: those of a pool that the same
// upstreams can serve, and of one rank.
type lane struct {
	pool, only string
	rank       int
}

// urgentShare is the share of the wait target before a request's latestStart in
// which no later request can overtake it. Otherwise small requests could starve
// a large one.
const urgentShare = 0.3

func urgent(now time.Time, w *waitingRequest) bool {
	remaining := w.latestStart.Sub(now)
	return remaining >= 0 && remaining.Seconds() < urgentShare*w.Class.WaitTarget.Seconds()
}

// maxOvertaken is the maximum number of requests in a pool that later requests
// can overtake because no upstream has capacity for them.
const maxOvertaken = 8

// serve places a waiting request, or reserves capacity for it if it is in
// another instance's queue. It reports whether an upstream has capacity for
// the request.
func (s *Scheduler) serve(now time.Time, w *waitingRequest, held holds) (Action, bool) {
	all := s.candidates(now, w.Request)
	candidates := held.without(now, w, all)
	if len(candidates) == 0 {
		return nil, false
	}
	if w.handledByPeer {
		c, ok := s.choose(now, w, candidates)
		if ok {
			s.reserve(now, w, c.upstream, c.lengths)
		} else {
			held.hold(now, w, all)
		}
		return nil, ok
	}
	place, ok := s.place(now, w, candidates)
	if !ok {
		held.hold(now, w, all)
		return nil, false
	}
	s.queue.remove(w.ID)
	return place, true
}

const (
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// refuse returns a refusal. Its retry time is an estimate of the time at which
// the queue will be empty, at most maxRetryDelay from now before jitter. The
// jitter prevents requests that are refused together from being retried
// together.
func (s *Scheduler) refuse(now time.Time, r Request, reason verdict.Reason, explanation string) Refuse {
	delay := minRetryDelay
	if rate := s.pool(r.Class.Pool).placements.perSecond(now); rate > 0 {
		delay += time.Duration(min(maxRetryDelay.Seconds(), float64(len(s.queue.list))/rate) * float64(time.Second))
	}
	jitter := 0.75 + hashFraction(r.ID, 0)/2
	delay = time.Duration(float64(min(delay, maxRetryDelay)) * jitter)
	return Refuse{ID: r.ID, Reason: reason, RetryAt: now.Add(delay), Explanation: explanation + s.evacuatedText()}
}
