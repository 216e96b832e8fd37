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
	// The first copy takes the memory there already.
	s.tell(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: u.Name, Tokens: f.tokens})
	return []Action{Place{ID: e.ID, Upstream: u.Upstream, Why: fmt.Sprintf("room for the run: %d tokens stay free", int(room))}}
}

// destination returns an upstream where the run fits: one in the data centre of
// the source if there is one, since a copy between data centres takes twice as
// long. It is drawn, with a chance in proportion to the room that stays: all runs
// of an upstream that leaves look at the same moment, each at its own instance,
// and would else all choose the one with the most room.
func (s *Scheduler) destination(now time.Time, f *flight, candidates []*upstream) (*upstream, float64) {
	curve := s.lengths.PoolForecast(f.Class.Pool)
	step, sourceCentre := time.Duration(0), ""
	if source := s.upstreams[f.upstream]; source != nil {
		step, sourceCentre = source.step(), source.DataCentre
	}
	var own forecast
	own.addFlight(float64(f.PromptTokens), f.made(now, step), f.lengths)
	near, far := lots{id: f.ID}, lots{id: f.ID}
	var roomiest *upstream
	rooms, most := map[*upstream]float64{}, math.Inf(-1)
	for _, u := range candidates {
		if !u.fresh(now) || !u.hasSlot() || u.health.share(now) == 0 {
			continue
		}
		u.refresh(now, crowd{size: 1}, curve)
		room := u.capacity() - u.with(&own, hurried)
		rooms[u] = room
		if room > most {
			roomiest, most = u, room
		}
		switch {
		case room <= 0:
		case u.DataCentre == sourceCentre:
			near.offer(u, room)
		default:
			far.offer(u, room)
		}
	}
	for _, best := range []*upstream{near.best, far.best} {
		if best != nil {
			return best, rooms[best]
		}
	}
	return roomiest, most
}

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

// dropMove forgets a move that did not come about, and tells that the run is
// still where it was.
func (s *Scheduler) dropMove(id ident.Request) {
	name, ok := s.moves[id]
	if !ok {
		return
	}
	delete(s.moves, id)
	if u := s.upstreams[name]; u != nil {
		u.remove(id)
	}
	s.tell(Notice{Kind: NoticeEnded, Request: Request{ID: id}, Upstream: name})
	if source := s.upstreams[s.placed[id]]; source != nil {
		if f := source.find(id); f != nil {
			s.tell(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: source.Name, Tokens: f.tokens})
		}
	}
}
