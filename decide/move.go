package decide

import (
	"fmt"
	"math"
	"time"

	"mangoloft/ident"
	"mangoloft/verdict"
)

// relocate chooses a destination for a running request. When an upstream leaves,
// all its requests look for a destination at once, so each counts at its
// destination from the moment of the choice.
func (s *Scheduler) relocate(now time.Time, e MoveRequested) []Action {
	s.cancelMove(e.ID)
	source := s.upstreams[s.placed[e.ID]]
	if source == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NotFound, Explanation: "the request's upstream has left"}}
	}
	f := source.find(e.ID)
	if f == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NotFound, Explanation: "the request has ended at " + source.Name}}
	}
	r := f.Request
	r.Excluded = append([]string{source.Name}, e.Excluded...)
	u, room := s.destination(now, f, s.candidates(now, r))
	if u == nil {
		return []Action{Refuse{ID: e.ID, Reason: verdict.NoUpstream, Explanation: "no upstream can take the running request"}}
	}
	copied := *f
	u.addRequest(&copied)
	s.moves[e.ID] = u.Name
	// The copy takes memory at the destination from its start.
	s.notify(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: u.Name, Tokens: f.tokens})
	return []Action{Place{ID: e.ID, Upstream: u.Upstream, Explanation: fmt.Sprintf("room for the running request: %d tokens stay free", int(room))}}
}

// destination returns an upstream with room for the request. Upstreams in the
// data centre of the source have preference, since a copy between data centres
// takes twice as long. The choice is random, weighted by the remaining room: when
// an upstream leaves, many instances choose for its requests at the same moment
// and would otherwise all choose the upstream with the most room.
func (s *Scheduler) destination(now time.Time, f *inFlight, candidates []*upstream) (*upstream, float64) {
	curve := s.lengths.PoolForecast(f.Class.Pool)
	step, sourceCentre := time.Duration(0), ""
	if source := s.upstreams[f.upstream]; source != nil {
		step, sourceCentre = source.step(), source.DataCentre
	}
	var requestForecast forecast
	requestForecast.addRequest(float64(f.PromptTokens), f.generatedAt(now, step), f.lengths)
	local, remote := weightedRendezvous{id: f.ID}, weightedRendezvous{id: f.ID}
	var roomiest *upstream
	rooms, mostRoom := map[*upstream]float64{}, math.Inf(-1)
	for _, u := range candidates {
		if !u.forecastable(now) || !u.hasSlot() || u.health.trafficShare(now) == 0 {
			continue
		}
		u.refresh(now, aggregate{meanTokens: 1}, curve)
		room := u.capacity() - u.peakWith(&requestForecast, urgentDeviations)
		rooms[u] = room
		if room > mostRoom {
			roomiest, mostRoom = u, room
		}
		switch {
		case room <= 0:
		case u.DataCentre == sourceCentre:
			local.offer(u, room)
		default:
			remote.offer(u, room)
		}
	}
	for _, best := range []*upstream{local.best, remote.best} {
		if best != nil {
			return best, rooms[best]
		}
	}
	return roomiest, mostRoom
}

func (s *Scheduler) endMove(now time.Time, e MoveEnded) {
	name, ok := s.moves[e.ID]
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
	s.placed[e.ID] = name
	u := s.upstreams[name]
	if u == nil {
		return
	}
	if f := u.find(e.ID); f != nil {
		f.upstream = name
		s.notify(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: name, Tokens: f.tokens})
	}
}

// cancelMove forgets an unfinished move and notifies other instances that the
// request is still at its source.
func (s *Scheduler) cancelMove(id ident.Request) {
	name, ok := s.moves[id]
	if !ok {
		return
	}
	delete(s.moves, id)
	if u := s.upstreams[name]; u != nil {
		u.remove(id)
	}
	s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: id}, Upstream: name})
	if source := s.upstreams[s.placed[id]]; source != nil {
		if f := source.find(id); f != nil {
			s.notify(Notice{Kind: NoticePlaced, Request: f.Request, Upstream: source.Name, Tokens: f.tokens})
		}
	}
}
