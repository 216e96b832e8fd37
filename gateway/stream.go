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
	// progressInterval is the time between two progress updates of a stream to
	// the scheduler.
	progressInterval = 4 * time.Second
	// feedBuffer is how many events of an upstream may be buffered for the
	// caller.
	feedBuffer = 16
)

// stream is a streamed response that is being relayed to the caller.
type stream struct {
	*request
	g *Gateway
	w http.ResponseWriter
	// lastEventID is the ID of the last event that was passed on, or of the
	// last one that the caller already has.
	lastEventID int
	// headSent is set once the status and headers were sent to the caller.
	headSent bool
	// tokensPerEvent is how many tokens one event holds.
	tokensPerEvent int
	progressSentAt time.Time
	// placement is the upstream that executes the run. It changes when the run
	// moves.
	placement dispatch.Placement
	// move is the move of the run to another engine; nil when none is in
	// progress.
	move *mover
	// stoppedSource is the engine at which the run was stopped for a move. It
	// keeps the run's KV cache in case the destination refuses the run.
	stoppedSource dispatch.Placement
}

// errCallerDisconnected is returned when an event could not be written to the caller.
var errCallerDisconnected = verdict.Fail(verdict.MayHaveRun, verdict.CallerDisconnected, "the caller hung up")

// serveStream sends a request until its stream is complete or can't be
// continued.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{request: q, g: g, w: w, lastEventID: noID, tokensPerEvent: 1}
	if lastEventID, err := strconv.Atoi(q.info.LastEvent); err == nil {
		s.lastEventID = lastEventID
	}
	if service := q.table.Services[q.service]; service != nil && service.Engine != nil {
		s.tokensPerEvent = max(1, service.Engine.EventTokens)
	}
	plain, err := s.run(ctx)
	s.cancelMove(false)
	g.Dispatcher.End(q.id, s.delivered*s.tokensPerEvent, verdict.OutcomeOf(err))
	switch {
	case plain != nil:
		g.writeResponse(w, q, plain)
	case err == nil:
		g.logClosed(q, http.StatusOK, verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed})
	case !s.headSent:
		g.writeFailure(w, q, err)
	default:
		g.logClosed(q, http.StatusOK, verdict.OutcomeOf(err))
		// The headers are sent, so only an aborted connection shows the caller
		// that the stream is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// run returns nil, nil for a complete stream, or the plain response that an
// upstream sent instead of a stream.
func (s *stream) run(ctx context.Context) (*plainResponse, error) {
	var lastErr error
	var resumeFrom KVHandle
	for {
		if resumeFrom == (KVHandle{}) {
			if !s.maySend() {
				return nil, lastErr
			}
			placement, err := s.g.Dispatcher.Place(ctx, s.placementRequest())
			if err != nil {
				return nil, withPreviousError(lastErr, err)
			}
			s.placement = placement
			s.g.logPlacement(s.request, placement)
		}
		plain, err := s.attempt(ctx, resumeFrom)
		if err == nil || plain != nil {
			return plain, nil
		}
		lastErr = err
		if ctx.Err() != nil || errors.Is(err, errCallerDisconnected) {
			return nil, err
		}
		if handle, moved := s.finishMove(); moved {
			resumeFrom = handle
			continue
		}
		if resumeFrom != (KVHandle{}) && verdict.OutcomeOf(err).Verdict == verdict.NotRun && s.stoppedSource.Name != "" {
			s.placement, s.stoppedSource = s.stoppedSource, dispatch.Placement{}
			continue
		}
		resumeFrom = KVHandle{}
		if !s.mayRestart(err) {
			return nil, err
		}
	}
}

// mayRestart reports whether the stream may start again, or continue, in
// another run.
func (s *stream) mayRestart(err error) bool {
	if verdict.OutcomeOf(err).Verdict == verdict.NotRun && s.delivered == 0 {
		return true
	}
	return s.route.Resumable
}

// attempt sends the request to the current placement and relays its events.
func (s *stream) attempt(ctx context.Context, resumeFrom KVHandle) (*plainResponse, error) {
	s.upstream = s.placement.Name
	attemptInfo := s.attemptInfo(s.placement.Name)
	attemptInfo.ResumeFrom = resumeFrom
	if s.lastEventID != noID {
		attemptInfo.LastEvent = strconv.Itoa(s.lastEventID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := s.g.Protocol.UpstreamHeader(s.callerHeader, attemptInfo, time.Now())
	response, err := s.g.send(ctx, s.placement.Addr, s.outgoing, header)
	if err != nil {
		s.recordFailure(err)
		s.g.reportAttempt(s.request, s.placement, nil, err)
		return nil, err
	}
	defer response.Body.Close()
	if err := s.g.checkHead(s.request, s.placement, response); err != nil {
		s.recordFailure(err)
		s.g.reportAttempt(s.request, s.placement, nil, err)
		return nil, err
	}
	s.sends++
	s.mayHaveRun, s.unsent = true, false
	if resumeFrom == (KVHandle{}) {
		// Continuing a run from a copy of its KV cache does not count as
		// another attempt.
		s.attempts++
	}
	if !isEventStream(response) {
		return s.readPlainResponse(response)
	}
	err = s.relayEvents(ctx, response)
	if err != nil && ctx.Err() == nil && !s.hasCopy() {
		s.g.reportAttempt(s.request, s.placement, nil, err)
	}
	return nil, err
}

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && isSuccess(response.StatusCode)
}

// readPlainResponse reads a response that is not an event stream, such as an
// error.
func (s *stream) readPlainResponse(response *http.Response) (*plainResponse, error) {
	body, err := readResponseBody(response)
	if err != nil {
		s.g.reportAttempt(s.request, s.placement, nil, err)
		return nil, err
	}
	plain := &plainResponse{response.StatusCode, s.g.Protocol.CallerHeader(response.Header), body}
	if s.headSent || plain.status >= http.StatusInternalServerError && s.route.Resumable && s.maySend() {
		err := verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "%s", response.Status)
		s.g.reportAttempt(s.request, s.placement, nil, err)
		return nil, err
	}
	return plain, nil
}

// feedItem is an event of an upstream, or the error that ended its stream.
type feedItem struct {
	event sseEvent
	err   error
}

// relayEvents passes on the events of one response until it ends. When the
// upstream starts to drain meanwhile, it starts a move.
func (s *stream) relayEvents(ctx context.Context, response *http.Response) error {
	feed := make(chan feedItem, feedBuffer)
	var group sync.WaitGroup
	defer group.Wait()
	defer response.Body.Close()
	group.Go(func() { readFeed(ctx, response.Body, feed) })
	for {
		select {
		case <-ctx.Done():
			return s.contextError(ctx)
		case leaving, ok := <-s.placement.Leaving:
			if ok {
				s.startMove(ctx, leaving)
			}
		case f := <-feed:
			if f.err == io.EOF && !(s.stopRequested() && endsWithConnection(response)) {
				return nil
			}
			if f.err != nil {
				return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the stream broke after event %d: %v", s.lastEventID, f.err)
			}
			if err := s.forward(response, f.event); err != nil {
				return err
			}
		}
	}
}

// endsWithConnection reports whether only the close of the connection marks the
// end of the response.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

func readFeed(ctx context.Context, body io.Reader, feed chan<- feedItem) {
	events := newEventReader(body)
	for {
		event, err := events.next()
		select {
		case feed <- feedItem{event, err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// contextError returns the reason for which a stream's context ended.
func (s *stream) contextError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return verdict.Fail(verdict.MayHaveRun, verdict.WaitExpired, "the deadline passed after event %d", s.lastEventID)
	}
	return errCallerDisconnected
}

// forward writes the next event in order to the caller. It skips repeated
// events; a gap in the event IDs ends the attempt.
func (s *stream) forward(response *http.Response, e sseEvent) error {
	if e.id != noID {
		if s.lastEventID != noID && e.id <= s.lastEventID {
			return nil
		}
		if s.lastEventID != noID && e.id != s.lastEventID+1 {
			return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "event %d came after event %d", e.id, s.lastEventID)
		}
	}
	if !s.headSent {
		header := s.w.Header()
		for name, values := range s.g.Protocol.CallerHeader(response.Header) {
			header[name] = values
		}
		s.w.WriteHeader(response.StatusCode)
		s.headSent = true
	}
	if _, err := s.w.Write(e.raw); err != nil {
		return errCallerDisconnected
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return errCallerDisconnected
	}
	if e.id != noID {
		s.lastEventID = e.id
	}
	now := time.Now()
	s.recordEvent(now)
	if now.Sub(s.progressSentAt) >= progressInterval {
		s.progressSentAt = now
		s.g.Dispatcher.Progress(s.id, s.delivered*s.tokensPerEvent)
	}
	return nil
}

// logMove logs the outcome of a move.
func (s *stream) logMove(source, destination string, outcome string, err error, took time.Duration) {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	s.g.Metrics.CountMove(outcome)
	s.g.Log.Emit(event.RunMoved, "request", s.info.ID, "from", source, "to", destination, "outcome", outcome, "after_event", s.lastEventID, "detail", detail, "ms", took.Milliseconds())
}
