package decide

import (
	"time"

	"mangoloft/ident"
)

// noticeTimeout is how long another instance's request counts without a new
// notice. The notice of its end may be lost, or the instance may be gone.
const noticeTimeout = 10 * time.Second

// notify queues a notice, with the data centre of its upstream filled in.
func (s *Scheduler) notify(n Notice) {
	if u := s.upstreams[n.Upstream]; u != nil {
		n.DataCentre = u.DataCentre
	}
	s.outgoing = append(s.outgoing, Notify{n})
}

// handleNotice counts a request placed by another instance like one placed here,
// so that its memory and end are forecast individually and its length is learned.
func (s *Scheduler) handleNotice(now time.Time, n Notice) {
	id := n.Request.ID
	switch n.Kind {
	case NoticeWaiting:
		s.queue.remove(id)
		if len(s.queue.list) < maxQueue {
			w := newWaiting(now, n.Request)
			w.peerOwned = true
			s.setLatestStart(w)
			s.queue.add(now, w)
		}
	case NoticePlaced:
		s.queue.remove(id)
		// A moved request is placed a second time.
		s.cancelPlacement(id)
		if u := s.upstreams[n.Upstream]; u != nil {
			if n.Tokens > 0 {
				// The KV cache is moved with the request, so it needs no prefill.
				f := &inFlight{Request: n.Request, upstream: u.Name, peerOwned: true, lengths: s.lengthsOf(n.Request), sentAt: now, tokensAt: now}
				u.addRequest(f)
				s.placed[id] = u.Name
				s.updateTokens(now, id, n.Tokens)
				return
			}
			s.recordPlacement(now, u, n.Request, s.lengthsOf(n.Request), true)
		}
	case NoticeProgressed:
		s.updateTokens(now, id, n.Tokens)
	case NoticeEnded:
		if s.queue.remove(id) {
			s.cancelPlacement(id)
			return
		}
		s.finish(now, id, n.Tokens, n.Completed)
	}
}

// recordPlacement counts a request at an upstream.
func (s *Scheduler) recordPlacement(now time.Time, u *upstream, r Request, lengths Distribution, peerOwned bool) {
	p := s.pool(u.Pool)
	p.observePlacement(now, r.PromptTokens)
	f := &inFlight{Request: r, upstream: u.Name, peerOwned: peerOwned, lengths: lengths, sentAt: now, tokensAt: now}
	s.estimateStart(now, u, f)
	u.addRequest(f)
	s.placed[r.ID] = u.Name
}

// reserve holds a place for a request that waits at another instance, to give
// that instance time to place it.
func (s *Scheduler) reserve(now time.Time, w *waiting, u *upstream, lengths Distribution) {
	w.reservations++
	w.reservedUntil = now.Add(reservationTime)
	f := &inFlight{Request: w.Request, upstream: u.Name, peerOwned: true, lengths: lengths, sentAt: now, tokensAt: now}
	// Its prompt must be prefilled before those of later requests.
	s.estimateStart(now, u, f)
	u.addRequest(f)
	s.placed[w.ID] = u.Name
}

// cancelPlacement removes a request or a reservation from its upstream.
func (s *Scheduler) cancelPlacement(id ident.Request) {
	if u := s.upstreams[s.placed[id]]; u != nil {
		u.remove(id)
	}
	delete(s.placed, id)
}

// expirePeerOwned drops other instances' requests whose last notice is too old.
func (s *Scheduler) expirePeerOwned(now time.Time) {
	for _, u := range s.upstreams {
		for i := len(u.requests) - 1; i >= 0; i-- {
			if f := u.requests[i]; f.peerOwned && now.Sub(f.tokensAt) > noticeTimeout {
				s.finish(now, f.ID, f.tokens, false)
			}
		}
	}
}
