package decide

import (
	"fmt"
	"math"
	"time"

	"mangoloft/ident"
	"mangoloft/verdict"
)

// startMove chooses a destination for a running request. An optional move needs one where
// prompts delay the request less. When an upstream leaves, all its requests are moved at the same time, so each counts as load
// on its destination as soon as the destination is chosen.
func (s *Scheduler) startMove(now time.Time, e MoveRequested) []Action {
	s.cancelMove(e.ID)
	source := s.upstreams[s.placed[e.ID]]
	if source == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NotFound, Explanation: "the request's upstream has left"}}
	}
	f := source.find(e.ID)
	if f == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NotFound, Explanation: "the request has ended on " + source.Name}}
	}
	r := f.Request
	// Even a run that has not begun may begin while it is copied.
	r.NeedsVersion, r.Version = true, source.Version
	r.Excluded = append([]string{source.Name}, e.Excluded...)
	candidates := s.accepting(now, &r, s.candidates(now, r))
	if e.Optional {
		candidates = s.calmer(now, f, source, candidates)
	}
	u, free := s.destination(now, f, candidates)
	if e.Optional && (u == nil || free <= 0) {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NoUpstream, Explanation: "prompts delay the running request nowhere less"}}
	}
	if u == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NoUpstream, Explanation: "no upstream can take the running request" + r.versionText()}}
	}
	kind := movedRun
	if e.Optional {
		kind = optionalMove
	}
	if !s.retries.tryMove(now, f.Class.Pool, kind, s.audience()) {
		return []Action{Refuse{ID: e.ID, Reason: verdict.Overloaded, Explanation: "the retry budget is exhausted"}}
	}
	s.useLimit(now, u)
	copied := *f
	// The time to the first event is no measurement of the destination.
	copied.prefillTokens = 0
	u.addRequest(&copied)
	s.moves[e.ID] = u.Name
	// The copy of the KV cache occupies memory on the destination as soon as it
	// starts.
	s.notify(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: u.Name, Tokens: f.tokens})
	return []Action{Place{ID: e.ID, Upstream: u.Upstream, Explanation: fmt.Sprintf("room for the running request: %d tokens stay free", int(free))}}
}

// destination returns an upstream with enough memory for the request, and the
// memory that stays free there. Upstreams in the source's data centre have
// preference, since a copy between data centres takes twice as long. The
// choice is random, weighted by the free memory: when an upstream leaves, many
// instances choose destinations for its requests at the same time and would
// otherwise all choose the upstream with the most free memory. If no upstream
// has enough memory, it returns the one with the smallest shortage.
func (s *Scheduler) destination(now time.Time, f *inFlight, candidates []*upstream) (*upstream, float64) {
	poolLengths := s.lengths.PoolForecast(f.Class.Pool)
	step, sourceDataCentre := time.Duration(0), ""
	if source := s.upstreams[f.upstream]; source != nil {
		step, sourceDataCentre = source.stepTime(), source.DataCentre
	}
	var requestForecast forecast
	requestForecast.addRequest(float64(f.PromptTokens), f.generatedAt(now, step), f.lengths)
	local, remote := weightedRendezvous{id: f.ID}, weightedRendezvous{id: f.ID}
	var freest *upstream
	freeTokens, mostFree := map[*upstream]float64{}, math.Inf(-1)
	for _, u := range s.withKnownLoad(now, candidates) {
		if !u.forecastable(now) || !u.hasSlot() || u.trafficShare(now) == 0 {
			continue
		}
		u.refresh(now, aggregate{meanTokens: 1}, poolLengths)
		free := u.capacity() - u.peakWith(&requestForecast, urgentMargin)
		freeTokens[u] = free
		if free > mostFree {
			freest, mostFree = u, free
		}
		switch {
		case free <= 0:
		case u.DataCentre == sourceDataCentre:
			local.consider(u, free*(1-s.excessFailures(now, u))*u.speed.calm(f))
		default:
			remote.consider(u, free*(1-s.excessFailures(now, u))*u.speed.calm(f))
		}
	}
	for _, best := range []*upstream{local.best, remote.best} {
		if best != nil {
			return best, freeTokens[best]
		}
	}
	return freest, mostFree
}

// IsMoving reports whether the request is being moved.
func (s *Scheduler) IsMoving(id ident.Request) bool { _, ok := s.moves[id]; return ok }

// endMove releases the request from its source if it has moved, and otherwise
// cancels the move.
func (s *Scheduler) endMove(now time.Time, e MoveEnded) {
	destination, ok := s.moves[e.ID]
	if !ok {
		return
	}
	if !e.Moved {
		s.cancelMove(e.ID)
		return
	}
	delete(s.moves, e.ID)
	if source := s.upstreams[s.placed[e.ID]]; source != nil {
		source.release(now, e.ID)
	}
	s.placed[e.ID] = destination
	u := s.upstreams[destination]
	if u == nil {
		return
	}
	if f := u.find(e.ID); f != nil {
		f.upstream = destination
		s.notify(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: destination, Tokens: f.tokens})
	}
}

// cancelMove ends an unfinished move and notifies other instances that the
// request remains on its source.
func (s *Scheduler) cancelMove(id ident.Request) {
	destination, ok := s.moves[id]
	if !ok {
		return
	}
	delete(s.moves, id)
	if u := s.upstreams[destination]; u != nil {
		u.remove(id)
	}
	s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: id}, Upstream: destination})
	if source := s.upstreams[s.placed[id]]; source != nil {
		if f := source.find(id); f != nil {
			s.notify(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: source.Name, Tokens: f.tokens})
		}
	}
}
