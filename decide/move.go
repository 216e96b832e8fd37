package decide

import (
	"fmt"
	"math"
	"time"

	"mangoloft/ident"
	"mangoloft/verdict"
)

// relocate chooses where a running request can go on. It answers the load of
// an upstream that leaves: all that runs there looks for room at once, so each
// counts at its destination from the moment it is chosen.
func (s *Scheduler) relocate(now time.Time, e Relocating) []Action {
	s.dropMove(e.ID)
	source := s.upstreams[s.placed[e.ID]]
	if source == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NotFound, Why: "the request's upstream is gone"}}
	}
	f := source.find(e.ID)
	if f == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NotFound, Why: "the request is over at " + source.Name}}
	}
	r := f.Request
	r.Avoid = append([]string{source.Name}, e.Avoid...)
	u, room := s.destination(now, f, s.candidates(now, r))
	if u == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NoUpstream, Why: "no upstream can take the run"}}
	}
	copied := *f
	u.place(&copied)
	s.moves[e.ID] = u.Name
	return []Action{Place{ID: e.ID, Upstream: u.Upstream, Why: fmt.Sprintf("most room for the run: %d tokens stay free", int(room))}}
}

// destination returns the upstream with the most room left. The own data
// centre of the source counts more, since a copy between data centres takes
// twice as long.
func (s *Scheduler) destination(now time.Time, f *flight, candidates []*upstream) (*upstream, float64) {
	var best *upstream
	room, most := 0.0, math.Inf(-1)
	curve := s.lengths.Pool(f.Class.Pool)
	step := time.Duration(0)
	source := s.upstreams[f.upstream]
	if source != nil {
		step = source.step()
	}
	var own forecast
	own.addFlight(float64(f.PromptTokens), f.made(now, step), f.lengths)
	for _, u := range candidates {
		if !u.fresh(now) || !u.hasSlot() || u.health.share(now) == 0 {
			continue
		}
		u.refresh(now, crowd{size: 1}, curve)
		free := u.capacity() - u.with(&own, hurried)
		score := free
		if source != nil && u.DataCentre == source.DataCentre && free > 0 {
			score += nearBonus * u.capacity()
		}
		if score > most {
			best, room, most = u, free, score
		}
	}
	return best, room
}

// nearBonus is the share of an engine's memory that a destination in the
// source's data centre may have less of and still be chosen, as long as the run
// fits: a whole engine's runs can leave it in time within the data centre only.
const nearBonus = 1

func (s *Scheduler) endMove(now time.Time, e Relocated) {
	name, ok := s.moves[e.ID]
	if !ok {
		return
	}
	if !e.Moved {
		s.dropMove(e.ID)
		return
	}
	delete(s.moves, e.ID)
	if source := s.upstreams[s.placed[e.ID]]; source != nil {
		source.release(now, e.ID)
	}
	s.placed[e.ID] = name
	u := s.upstreams[name]
	if u == nil {
		return
	}
	if f := u.find(e.ID); f != nil {
		f.upstream = name
		s.tell(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: name, Tokens: f.tokens})
	}
}

// dropMove forgets a move that did not come about.
func (s *Scheduler) dropMove(id ident.Request) {
	if u := s.upstreams[s.moves[id]]; u != nil {
		u.remove(id)
	}
	delete(s.moves, id)
}
