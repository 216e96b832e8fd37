package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mangoloft/event"
	"mangoloft/origin"
	"mangoloft/routing"
	"mangoloft/verdict"
)

// streamKey returns the key of the stream that the request begins or takes up; zero if
// there is none.
func (q *request) streamKey() origin.Key {
	if q.info.Resumes != "" {
		return origin.NewKey(q.team, q.info.Resumes)
	}
	return origin.NewKey(q.team, q.info.ID)
}

// serviceFraction returns the number in [0, 1) that selects the service of a route with
// several. It is random, but the same for all attempts at a stream that may be taken up.
func (q *request) serviceFraction() float64 {
	if q.route.Kind == routing.Streaming && q.route.Resumable {
		return q.streamKey().Fraction()
	}
	return rand.Float64()
}

// takesUp reports whether the caller takes up a stream that has begun before.
func (q *request) takesUp() bool { return q.info.Resumes != "" || q.info.LastEventID != "" }

// findOrigin finds the version at which a stream that the caller takes up must go on. It
// returns an error if the version is unknown and more than one may have begun the stream.
func (s *stream) findOrigin(ctx context.Context) error {
	if !s.takesUp() {
		return nil
	}
	key := s.streamKey()
	known := s.g.Dispatcher.StreamOrigin(ctx, s.service, key)
	source := "own"
	if !known.Known && known.Ambiguous {
		source = "peer"
		known.Version, known.Known = s.g.Origins.FindOrigin(ctx, key)
		if known.Known {
			s.g.Dispatcher.RecordOrigin(key, known.Version)
		}
	}
	s.g.Log.Emit(event.StreamTakenUp, "request", s.info.ID, "resumes", s.info.Resumes, "last_event", s.info.LastEventID, "known", known.Known, "version", known.Version, "source", source, "ambiguous", known.Ambiguous)
	switch {
	case known.Known:
		s.needsVersion, s.version = true, known.Version
	case known.Ambiguous:
		return verdict.FailAt(verdict.NotRun, verdict.GenerationLost, time.Now().Add(defaultRetryAfter), "it is unknown which version of the engines began the stream")
	}
	return nil
}
