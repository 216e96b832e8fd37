package decide

import (
	"time"

	"mangoloft/ident"
)

// noticeTimeout is the time without a new notice after which another
// instance's request is no longer counted. The notice of its end may have been
// lost, or the instance may have exited.
const noticeTimeout = 10 * time.Second

// notify queues a notice, with the data centre of its upstream filled in.
func (s *Scheduler) notify(n Notice) {
	if u := s.upstreams[n.Upstream]; u != nil {
		n.DataCentre = u.DataCentre
		n.Remote = n.Failed && !s.isLocal(u)
	}
	s.outgoing = append(s.outgoing, Notify{n})
}

// handleNotice updates the state of another instance's request. A request that
// another instance placed counts like this instance's own requests: its memory
// and end are forecast individually, and its length is used in later
// forecasts.
func (s *Scheduler) handleNotice(now time.Time, n Notice) {
	id := n.Request.ID
	switch n.Kind {
	case NoticeWaiting:
		s.queue.remove(id)
		if len(s.queue.list) < maxQueue {
			w := newWaitingRequest(now, n.Request)
			w.handledByPeer = true
			s.setLatestStart(w)
			s.queue.add(now, w)
		}
	case NoticePlaced:
		s.queue.remove(id)
		// A moved request is placed a second time, and once more when the move ends.
		moved := s.placed[id] != n.Upstream
		s.cancelPlacement(id)
		if u := s.upstreams[n.Upstream]; u != nil {
			if n.Tokens > 0 {
				if moved {
					s.retries.countMove(now, u.Pool)
				}
				// The KV cache is moved with the request, so it needs no prefill.
				f := &inFlight{Request: n.Request, upstream: u.Name, handledByPeer: true, moved: true, lengths: s.lengthsOf(n.Request), sentAt: now, tokensAt: now}
				u.addRequest(f)
				s.placed[id] = u.Name
				s.updateTokens(now, id, n.Tokens, Pace{})
				return
			}
			s.recordPlacement(now, u, n.Request, s.lengthsOf(n.Request), true)
		}
	case NoticeProgressed:
		// This instance may not know the upstream yet, or an earlier incarnation of it.
		if u := s.upstreams[n.Upstream]; n.Version != "" {
			s.origins.Record(now, n.Began, n.Version)
		} else if u != nil {
			s.origins.Record(now, n.Began, u.Version)
		}
		s.updateTokens(now, id, n.Tokens, n.Pace)
	case NoticeEnded:
		if s.queue.remove(id) {
			s.cancelPlacement(id)
			return
		}
		if n.Failed && s.placed[id] != n.Upstream {
			return // The request was sent to another upstream in the meantime.
		}
		if f := s.finish(now, id, n.Tokens, n.Completed); f != nil && n.Failed {
			s.recordPeerFailure(now, f, n.Remote)
		}
	}
}

// recordPlacement counts a new request on an upstream.
func (s *Scheduler) recordPlacement(now time.Time, u *upstream, r Request, lengths Distribution, handledByPeer bool) {
	p := s.pool(u.Pool)
	p.observePlacement(now, r.Rank, r.PromptTokens)
	f := &inFlight{Request: r, upstream: u.Name, handledByPeer: handledByPeer, lengths: lengths, sentAt: now, tokensAt: now}
	f.admittedElsewhere = !handledByPeer && s.admittedBy(now, &r, u).IsValid()
	s.estimateStart(now, u, f)
	u.addRequest(f)
	u.prompts.add(now, float64(r.PromptTokens))
	u.failures.placed(now)
	s.placed[r.ID] = u.Name
}

// reserve counts a request in another instance's queue as load on the upstream,
// to give that instance time to place it.
func (s *Scheduler) reserve(now time.Time, w *waitingRequest, u *upstream, lengths Distribution) {
	w.reservations++
	w.reservedUntil = now.Add(reservationTime)
	f := &inFlight{Request: w.Request, upstream: u.Name, handledByPeer: true, lengths: lengths, sentAt: now, tokensAt: now}
	// Its prompt will be prefilled before the prompts of later requests.
	s.estimateStart(now, u, f)
	u.addRequest(f)
	s.placed[w.ID] = u.Name
}

// cancelPlacement removes a request or a reservation from its upstream. Unlike
// with release, it doesn't count as departed.
func (s *Scheduler) cancelPlacement(id ident.Request) {
	if u := s.upstreams[s.placed[id]]; u != nil {
		u.remove(id)
	}
	delete(s.placed, id)
}

// expirePeerRequests removes other instances' requests whose last notice is
// too old.
func (s *Scheduler) expirePeerRequests(now time.Time) {
	for _, u := range s.upstreams {
		for i := len(u.requests) - 1; i >= 0; i-- {
			if f := u.requests[i]; f.handledByPeer && now.Sub(f.tokensAt) > noticeTimeout {
				s.finish(now, f.ID, f.tokens, false)
			}
		}
	}
}
