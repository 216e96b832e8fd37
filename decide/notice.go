package decide

import (
	"time"

	"mangoloft/ident"
)

// noticeSilence is how long another instance's flight counts without news of
// it. Its end may have been lost, or the instance itself.
const noticeSilence = 10 * time.Second

// tell gathers a notice, with the data centre of the upstream that it is about.
func (s *Scheduler) tell(n Notice) {
	if u := s.upstreams[n.Upstream]; u != nil {
		n.DataCentre = u.DataCentre
	}
	s.notices = append(s.notices, Notify{n})
}

// takeNotice counts what another instance placed as if it had been placed
// here, so that its memory and its end are forecast one by one and its length
// is learned from.
func (s *Scheduler) takeNotice(now time.Time, n Notice) {
	id := n.Request.ID
	switch n.Kind {
	case NoticeWaiting:
		s.queue.remove(id)
		if len(s.queue.list) < maxQueue {
			w := newWaiting(now, n.Request)
			w.foreign = true
			s.limitStart(w)
			s.queue.add(now, w)
		}
	case NoticePlaced:
		s.queue.remove(id)
		// A request that was moved is placed a second time.
		s.withdraw(id)
		if u := s.upstreams[n.Upstream]; u != nil {
			if n.Tokens > 0 {
				// A run that moved brings its prompt's memory with it.
				f := &flight{Request: n.Request, upstream: u.Name, foreign: true, lengths: s.lengthsOf(n.Request), sentAt: now, tokensAt: now}
				u.place(f)
				s.placed[id] = u.Name
				s.advance(now, id, n.Tokens)
				return
			}
			s.board(now, u, n.Request, s.lengthsOf(n.Request), true)
		}
	case NoticeProgressed:
		s.advance(now, id, n.Tokens)
	case NoticeEnded:
		if s.queue.remove(id) {
			s.withdraw(id)
			return
		}
		s.finish(now, id, n.Tokens, n.Completed)
	}
}

// board counts a request at an upstream.
func (s *Scheduler) board(now time.Time, u *upstream, r Request, lengths Distribution, foreign bool) {
	p := s.pool(u.Pool)
	p.placed(now, r.PromptTokens)
	f := &flight{Request: r, upstream: u.Name, foreign: foreign, lengths: lengths, sentAt: now, tokensAt: now}
	s.expectBegin(now, u, f)
	u.place(f)
	s.placed[r.ID] = u.Name
}

// keep holds a place for a request that waits at another instance, until that
// should have placed it.
func (s *Scheduler) keep(now time.Time, w *waiting, u *upstream, lengths Distribution) {
	w.kept++
	w.keptUntil = now.Add(keepPlace)
	f := &flight{Request: w.Request, upstream: u.Name, foreign: true, lengths: lengths, sentAt: now, tokensAt: now}
	// Its prompt has to be read too, before those that come after it.
	s.expectBegin(now, u, f)
	u.place(f)
	s.placed[w.ID] = u.Name
}

// withdraw gives back a place that was kept.
func (s *Scheduler) withdraw(id ident.Request) {
	if u := s.upstreams[s.placed[id]]; u != nil {
		u.remove(id)
	}
	delete(s.placed, id)
}

// forgetSilent drops other instances' flights that there is no news of.
func (s *Scheduler) forgetSilent(now time.Time) {
	for _, u := range s.upstreams {
		for i := len(u.flights) - 1; i >= 0; i-- {
			if f := u.flights[i]; f.foreign && now.Sub(f.tokensAt) > noticeSilence {
				s.finish(now, f.ID, f.tokens, false)
			}
		}
	}
}
