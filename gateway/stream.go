package gateway

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/verdict"
)

const (
	// progressInterval is the time between two words on a stream's progress to
	// the scheduler.
	progressInterval = 4 * time.Second
	// feedBuffer is how many events of an upstream may wait for the caller.
	feedBuffer = 16
)

// stream is a streamed answer on its way to the caller.
type stream struct {
	*request
	g *Gateway
	w http.ResponseWriter
	// last is the id of the last event that was passed on, or that the caller
	// said to have.
	last int
	// started says that the head of the answer was passed on.
	started bool
	// tokens is how many tokens one event holds.
	tokens     int
	progressAt time.Time
	// place is where the run is; ticket holds its scheduler's place.
	place dispatch.Placement
	// move is the run's way to another engine, while there is one.
	move *mover
	// stopped is the engine at which the run was stopped for a move. It keeps
	// the run's memory in case the destination refuses it.
	stopped dispatch.Placement
}

// errCallerGone is returned when the caller did not take an event.
var errCallerGone = verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the caller hung up")

// serveStream sends a request until its stream has come to its end, or until
// it can't go on.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{request: q, g: g, w: w, last: noID, tokens: 1}
	if last, err := strconv.Atoi(q.ask.LastEvent); err == nil {
		s.last = last
	}
	if service := q.table.Services[q.service]; service != nil && service.Engine != nil {
		s.tokens = max(1, service.Engine.EventTokens)
	}
	answer, err := s.run(ctx)
	s.endMove(false)
	g.Dispatcher.End(q.id, s.delivered*s.tokens, verdict.Of(err))
	switch {
	case answer != nil:
		g.deliver(w, q, answer)
	case err == nil:
		g.closed(q, http.StatusOK, verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed})
	case !s.started:
		g.fail(w, q, err)
	default:
		g.closed(q, http.StatusOK, verdict.Of(err))
		// Cutting the connection is the only way left to say that the stream
		// is not complete.
		panic(http.ErrAbortHandler)
	}
}

// run returns nil for a complete stream, or a plain answer that came instead
// of one.
func (s *stream) run(ctx context.Context) (*whole, error) {
	var lastErr error
	var from Handle
	for {
		if from == (Handle{}) {
			if !s.maySend() {
				return nil, lastErr
			}
			place, err := s.g.Dispatcher.Place(ctx, s.decision())
			if err != nil {
				return nil, firstCause(lastErr, err)
			}
			s.place = place
			s.g.placed(s.request, place)
		}
		answer, err := s.attempt(ctx, from)
		if err == nil || answer != nil {
			return answer, nil
		}
		lastErr = err
		if ctx.Err() != nil || errors.Is(err, errCallerGone) {
			return nil, err
		}
		if handle, moved := s.takeMove(); moved {
			from = handle
			continue
		}
		if from != (Handle{}) && verdict.Of(err).Verdict == verdict.NotRun && s.stopped.Name != "" {
			s.place, s.stopped = s.stopped, dispatch.Placement{}
			continue
		}
		from = Handle{}
		if !s.repeatable(err) {
			return nil, err
		}
	}
}

// repeatable reports whether the stream may begin, or go on, in another run.
func (s *stream) repeatable(err error) bool {
	if verdict.Of(err).Verdict == verdict.NotRun && s.delivered == 0 {
		return true
	}
	return s.route.Resumable
}

// attempt sends the request to the place and relays its events.
func (s *stream) attempt(ctx context.Context, from Handle) (*whole, error) {
	s.upstream = s.place.Name
	order := s.order(s.place.Name)
	order.From = from
	if s.last != noID {
		order.LastEvent = strconv.Itoa(s.last)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := s.g.Protocol.UpstreamHeader(s.caller, order, time.Now())
	response, err := s.g.send(ctx, s.place.Addr, s.out, header)
	if err != nil {
		s.note(err)
		s.g.attemptEnded(s.request, s.place, nil, err)
		return nil, err
	}
	defer response.Body.Close()
	if err := s.g.head(s.request, s.place, response); err != nil {
		s.note(err)
		s.g.attemptEnded(s.request, s.place, nil, err)
		return nil, err
	}
	s.sends++
	s.mayHaveRun, s.unsent = true, false
	if from == (Handle{}) {
		// A run that goes on from its own memory is no further attempt.
		s.attempts++
	}
	if !isEventStream(response) {
		return s.plainAnswer(response)
	}
	err = s.relay(ctx, response)
	if err != nil && ctx.Err() == nil && !s.moving() {
		s.g.attemptEnded(s.request, s.place, nil, err)
	}
	return nil, err
}

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && isSuccess(response.StatusCode)
}

// plainAnswer reads an answer that is no stream, such as a failure.
func (s *stream) plainAnswer(response *http.Response) (*whole, error) {
	body, err := readWhole(response)
	if err != nil {
		s.g.attemptEnded(s.request, s.place, nil, err)
		return nil, err
	}
	answer := &whole{response.StatusCode, s.g.Protocol.CallerHeader(response.Header), body}
	if s.started || answer.status >= http.StatusInternalServerError && s.route.Resumable && s.maySend() {
		err := verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "%s", response.Status)
		s.g.attemptEnded(s.request, s.place, nil, err)
		return nil, err
	}
	return answer, nil
}

// fed is an event of an upstream, or how its stream ended.
type fed struct {
	event sseEvent
	err   error
}

// relay passes the events of one answer on until it ends. While it does, it
// begins a move when the upstream leaves.
func (s *stream) relay(ctx context.Context, response *http.Response) error {
	feed := make(chan fed, feedBuffer)
	var group sync.WaitGroup
	defer group.Wait()
	defer response.Body.Close()
	group.Go(func() { readFeed(ctx, response.Body, feed) })
	for {
		select {
		case <-ctx.Done():
			return s.abandoned(ctx)
		case belief, ok := <-s.place.Leaving:
			if ok {
				s.startMove(ctx, belief)
			}
		case f := <-feed:
			if f.err == io.EOF && !(s.stopping() && unframed(response)) {
				return nil
			}
			if f.err != nil {
				return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the stream broke after event %d: %v", s.last, f.err)
			}
			if err := s.pass(response, f.event); err != nil {
				return err
			}
		}
	}
}

// unframed reports whether the end of an answer is that of its connection.
func unframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func readFeed(ctx context.Context, body io.Reader, feed chan<- fed) {
	events := newEventReader(body)
	for {
		event, err := events.next()
		select {
		case feed <- fed{event, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// abandoned says why a stream's context ended.
func (s *stream) abandoned(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return verdict.Fail(verdict.MayHaveRun, verdict.WaitExpired, "the deadline passed after event %d", s.last)
	}
	return errCallerGone
}

// pass gives the caller the event that is due next. Events that come again are
// left out, and one that leaves a gap ends the attempt.
func (s *stream) pass(response *http.Response, e sseEvent) error {
	if e.id != noID {
		if s.last != noID && e.id <= s.last {
			return nil
		}
		if s.last != noID && e.id != s.last+1 {
			return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "event %d came after event %d", e.id, s.last)
		}
	}
	if !s.started {
		header := s.w.Header()
		for name, values := range s.g.Protocol.CallerHeader(response.Header) {
			header[name] = values
		}
		s.w.WriteHeader(response.StatusCode)
		s.started = true
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return errCallerGone
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errCallerGone
	}
	if e.id != noID {
		s.last = e.id
	}
	now := time.Now()
	s.passed(now)
	if now.Sub(s.progressAt) >= progressInterval {
		s.progressAt = now
		s.g.Dispatcher.Progress(s.id, s.delivered*s.tokens)
	}
	return nil
}

// logMove logs a move's outcome.
func (s *stream) logMove(from, to string, outcome string, err error, took time.Duration) {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	s.g.Metrics.CountMove(outcome)
	s.g.Log.Emit(event.RunMoved, "request", s.ask.ID, "from", from, "to", to, "outcome", outcome, "after_event", s.last, "detail", detail, "ms", took.Milliseconds())
}
