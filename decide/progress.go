package decide

import (
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

func (s *Scheduler) handleProgress(now time.Time, e Progressed) {
	started := s.hasStarted(e.ID)
	if s.updateTokens(now, e.ID, e.Tokens, e.Pace) {
		// The start of a stream is not deferred, because its prompt no longer delays
		// others from then on.
		n := Notice{Kind: NoticeProgressed, Request: Request{ID: e.ID}, Upstream: s.placed[e.ID], Tokens: e.Tokens, Pace: e.Pace, Deferrable: started}
		if !started {
			n.Began, n.Version = s.recordOrigin(now, e.ID)
		}
		s.notify(n)
	}
}

// hasStarted reports whether the request has generated its first token.
func (s *Scheduler) hasStarted(id ident.Request) bool {
	if u := s.upstreams[s.placed[id]]; u != nil {
		if f := u.find(id); f != nil {
			return f.tokens > 0
		}
	}
	return false
}

// updateTokens records the number of tokens that a request has generated so
// far, and its pace since the previous report. It reports whether the number has grown.
func (s *Scheduler) updateTokens(now time.Time, id ident.Request, tokens int, pace Pace) bool {
	u := s.upstreams[s.placed[id]]
	if u == nil {
		return false
	}
	f := u.find(id)
	if f == nil || tokens <= f.tokens {
		return false
	}
	if f.tokens == 0 && !f.handledByPeer {
		s.trackers.began(now, id)
		s.recordReachable(u)
		s.recordPoolReached(now, u)
	}
	if f.tokens == 0 && !f.moved {
		s.recordSuccess(now, u, f)
	}
	if f.tokens == 0 && f.prefillTokens > 0 && !f.handledByPeer {
		s.pool(u.Pool).prefill.observe(f.prefillTokens, now.Sub(f.sentAt))
	}
	if f.tokens == 0 {
		s.observeStart(now, u, f)
	}
	s.observePace(u, f, tokens-f.tokens, pace)
	s.lengths.ObserveProgress(f.Request, f.tokens, tokens)
	f.tokens, f.tokensAt = tokens, now
	u.stale = true
	return true
}

func (s *Scheduler) handleEnd(now time.Time, e Ended) {
	s.cancelMove(e.ID)
	if s.queue.remove(e.ID) {
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: e.ID}})
		return
	}
	completed := e.Outcome.Reason == verdict.Completed
	s.trackers.closed(now, e.ID, completed, e.Outcome.Verdict == verdict.NotRun)
	f := s.finish(now, e.ID, e.Tokens, completed)
	if f == nil || f.admittedElsewhere {
		return
	}
	if f.Class.Kind == config.Stream {
		// While streams wait for room, its end matters to the other instances at once.
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: e.ID}, Upstream: f.upstream, Tokens: e.Tokens, Completed: completed, Failed: f.failed, Deferrable: len(s.queue.list) == 0 && !f.failed})
	}
	// The error of a call may be due to the call, not to the upstream.
	responded := completed || f.Class.Kind != config.Stream && e.Outcome.Verdict == verdict.Ran && e.Outcome.Reason == verdict.UpstreamFailed
	if u := s.upstreams[f.upstream]; u != nil && responded {
		u.health.recordSuccess(now)
		s.recordReachable(u)
	}
	if u := s.upstreams[f.upstream]; u != nil && (responded || e.Outcome.Reason == verdict.UpstreamRefused) {
		s.recordPoolReached(now, u)
	}
}

// finish removes a request from its upstream and adds its output length to the
// history.
func (s *Scheduler) finish(now time.Time, id ident.Request, tokens int, completed bool) *inFlight {
	f := s.release(now, id)
	if f == nil {
		return nil
	}
	if tokens > f.tokens {
		s.lengths.ObserveProgress(f.Request, f.tokens, tokens)
	}
	if u := s.upstreams[f.upstream]; u != nil && completed && f.tokens == 0 && !f.moved {
		s.recordSuccess(now, u, f)
	}
	if completed && tokens > 0 {
		s.lengths.ObserveEnd(f.Request, tokens)
	}
	return f
}

// release removes the request from its upstream, where it counts as departed:
// the latest load report may still include it.
func (s *Scheduler) release(now time.Time, id ident.Request) *inFlight {
	name, ok := s.placed[id]
	if !ok {
		return nil
	}
	delete(s.placed, id)
	if u := s.upstreams[name]; u != nil {
		return u.release(now, id)
	}
	return nil
}

func (s *Scheduler) handleFailure(now time.Time, name string, reason verdict.Reason) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	if reason == verdict.UpstreamUnreachable {
		s.recordUnreachable(now, u)
		s.recordPoolFailure(now, u)
	}
	// An unreachable upstream can't serve any request, so it is ejected on its
	// first failure and even beyond maxEjectedShare, unless it is the last one of
	// its pool that is not ejected.
	unreachable := reason == verdict.UpstreamUnreachable && u.health.trafficShare(now) > 0
	if !u.health.recordFailure(now) && !unreachable {
		return
	}
	ejected, total := 1, 0
	for _, other := range s.upstreams {
		if other.Pool != u.Pool || s.isEvacuated(other) {
			continue
		}
		total++
		if other.health.trafficShare(now) == 0 {
			ejected++
		}
	}
	if unreachable && ejected < total || float64(ejected) <= maxEjectedShare*float64(total) {
		u.health.eject(now)
		s.outgoing = append(s.outgoing, Ejected{Upstream: u.Name, DataCentre: u.DataCentre, Until: u.health.ejectedUntil})
	}
}
