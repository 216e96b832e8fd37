package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"mangoloft/decide"
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

// takeUpTime is the time in which a caller whose stream has broken off tries to take it up,
// after it has noticed that.
const takeUpTime = 8 * time.Second

// lastRan returns the earliest time at which the stream that the caller takes up can have run
// before. A caller tries again until its deadline, and notices at the latest after abandonGap
// that a stream has broken off. Until then the stream has run at the version that began it.
func (s *stream) lastRan(now time.Time) time.Time {
	gap := s.abandonGap() + takeUpTime
	if s.route.Timeout > 0 {
		gap = min(gap, s.route.Timeout)
	}
	return now.Add(-gap)
}

// originSource says how the origin of a stream was found.
type originSource string

const (
	// fromRecord means that this instance has seen the beginning of the stream, and
	// fromOnlyVersion that one version alone can have begun it.
	fromRecord      originSource = "own"
	fromOnlyVersion originSource = "only_version"
	// fromPeer means that another instance has seen the beginning, and fromHistory that the
	// store's history shows that one version alone can have begun it.
	fromPeer    originSource = "peer"
	fromHistory originSource = "history"
	// fromEngine means that an engine reports the run.
	fromEngine    originSource = "engine"
	unknownOrigin originSource = "unknown"
)

// findOrigin finds the version at which a stream that the caller takes up must go on. It
// returns an error if more than one may have begun the stream.
func (s *stream) findOrigin(ctx context.Context) error {
	if !s.takesUp() {
		return nil
	}
	version, source := s.searchOrigin(ctx, s.streamKey(), s.lastRan(time.Now()))
	s.g.Metrics.CountTakeUp(string(source))
	s.g.Log.Emit(event.StreamTakenUp, "request", s.info.ID, "resumes", s.info.Resumes, "last_event", s.info.LastEventID, "known", source != unknownOrigin, "version", version, "source", string(source),
		"list_revision", s.g.Dispatcher.Snapshot().ListPosition.Revision, "waited_ms", time.Since(s.received).Milliseconds())
	if source == unknownOrigin {
		return verdict.FailAt(verdict.NotRun, verdict.GenerationLost, time.Now().Add(defaultRetryAfter), "it is unknown which version of the engines began the stream")
	}
	s.needsVersion, s.version = true, version
	return nil
}

// searchOrigin asks those who may know the origin of a stream, the cheapest first.
func (s *stream) searchOrigin(ctx context.Context, key origin.Key, since time.Time) (version string, source originSource) {
	own := s.g.Dispatcher.StreamOrigin(ctx, s.service, key, since)
	if own.Recorded {
		return own.Version, fromRecord
	}
	if version, ok := s.g.Origins.FindOrigin(ctx, key); ok {
		s.g.Dispatcher.RecordOrigin(key, version)
		return version, fromPeer
	}
	if version, source := s.inferOrigin(ctx, own, key, since); source != unknownOrigin {
		return version, source
	}
	if s.g.Past != nil && s.info.Resumes != "" {
		if version, ok := s.g.Past.FindRun(ctx, s.service, s.info.Resumes); ok {
			return version, fromEngine
		}
	}
	return "", unknownOrigin
}

// inferOrigin returns the only version that can have begun the stream, if there is one. An
// instance that was cut off or stopped for a while may not know that another version has joined,
// so the list of upstreams must be newer than the request.
func (s *stream) inferOrigin(ctx context.Context, own decide.StreamOrigin, key origin.Key, since time.Time) (version string, source originSource) {
	if !own.Known && !own.Incomplete || s.g.Past == nil || !s.g.Past.ReadList(ctx, s.received) {
		return "", unknownOrigin
	}
	source = fromOnlyVersion
	if own.Incomplete {
		if !s.g.Past.Extend(ctx) {
			return "", unknownOrigin
		}
		source = fromHistory
	}
	own = s.g.Dispatcher.StreamOrigin(ctx, s.service, key, since)
	if !own.Known {
		return "", unknownOrigin
	}
	return own.Version, source
}
