package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/bodies"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

const (
	// maxBufferedEvents is the maximum number of events of a stream that are
	// buffered while the caller reads slowly.
	maxBufferedEvents = 16
)

// stream is a streamed response that is being relayed to the caller. A run is one
// execution of the generation on an engine; a move continues it on another one.
type stream struct {
	*request
	g *Gateway
	w http.ResponseWriter
	// lastEventID is the ID of the last event that was forwarded to the caller;
	// noID if none. If the caller resumes a stream, the initial value comes from
	// the request.
	lastEventID int
	// continues reports that the attempt must continue the stream after lastEventID, and that
	// no event with an ID has shown yet that it does.
	continues bool
	// headerSent reports whether the status and headers were sent to the caller.
	headerSent bool
	// tokensPerEvent is the number of tokens in one event.
	tokensPerEvent int
	// pace measures the pace of the run for the progress updates to the scheduler.
	pace paceMeter
	// placement is the upstream that executes the run. It changes when the run
	// moves.
	placement dispatch.Placement
	// move is the move of the run to another engine; nil if none is in
	// progress.
	move *mover
	// leaving is set if the upstream began to leave during an optional move.
	leaving *upstream.Status
	// fallback is the engine on which the run was stopped for the last move. It
	// keeps the run's KV cache, so the run can continue there if the destination
	// refuses it.
	fallback dispatch.Placement
}

// errCallerDisconnected is returned when an event could not be written to the
// caller or the request was cancelled.
var errCallerDisconnected = verdict.Fail(verdict.MayHaveRun, verdict.CallerDisconnected, "the caller disconnected")

// serveStream sends a request, repeatedly if necessary, until its stream is
// complete or can't be continued.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, q *request) {
	s := &stream{request: q, g: g, w: w, lastEventID: noID, tokensPerEvent: q.tokensPerEvent()}
	if lastEventID, ok := q.lastEventID(); ok {
		s.lastEventID = lastEventID
	}
	plain, err := s.relay(ctx)
	// A move that is still in progress is no longer needed. The run was not moved.
	s.cancelMove(false)
	outcome := verdict.OutcomeOf(err)
	if plain != nil && plain.status >= http.StatusInternalServerError {
		// Otherwise an engine that fails at once would look healthy and idle, and
		// attract ever more streams.
		outcome.Reason = verdict.UpstreamFailed
	}
	g.Dispatcher.End(q.id, s.delivered*s.tokensPerEvent, outcome)
	switch {
	case plain != nil:
		g.writeResponse(w, q, plain)
	case err == nil:
		g.logClosed(q, http.StatusOK, verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed})
	case !s.headerSent:
		g.writeFailure(w, q, err)
	default:
		g.logClosed(q, http.StatusOK, verdict.OutcomeOf(err))
		// The headers are sent, so only an aborted connection shows the caller
		// that the stream is incomplete.
		panic(http.ErrAbortHandler)
	}
}

// relay relays the stream, from one upstream after another if necessary, until it
// is complete or can't be continued. It returns nil, nil for a complete stream,
// or the plain response that an upstream sent instead of a stream.
func (s *stream) relay(ctx context.Context) (*plainResponse, error) {
	if err := s.findOrigin(ctx); err != nil {
		return nil, err
	}
	var lastErr error
	// resumeFrom is the copy of the KV cache from which the next attempt continues
	// the run. If it is the zero handle, the next attempt starts another run, on an
	// upstream that the scheduler chooses.
	var resumeFrom KVHandle
	for {
		if resumeFrom == (KVHandle{}) {
			if !s.hasAttemptsLeft() {
				return nil, lastErr
			}
			placement, err := s.g.place(ctx, s.request)
			if err != nil {
				return nil, withPreviousError(lastErr, err)
			}
			// The first event of each run is reported.
			s.placement, s.pace = placement, paceMeter{}
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
		// If the run was moved, it continues on the destination.
		if handle, moved := s.finishMove(); moved {
			// The pause of the move is not the destination's.
			s.pace = s.pace.restarted()
			resumeFrom = handle
			continue
		}
		// If the destination refused the run, it continues on the engine that
		// stopped it, from the same copy.
		if resumeFrom != (KVHandle{}) && verdict.OutcomeOf(err).Verdict == verdict.NotRun && s.fallback.Name != "" {
			s.placement, s.fallback = s.fallback, dispatch.Placement{}
			s.pace = s.pace.restarted()
			continue
		}
		resumeFrom = KVHandle{}
		if !s.canRestartAfter(err) {
			return nil, err
		}
	}
}

// canRestartAfter reports whether, after an attempt that ended with err, another
// run can start the stream again or continue it.
func (s *stream) canRestartAfter(err error) bool {
	if verdict.OutcomeOf(err).Verdict == verdict.NotRun && s.delivered == 0 && !s.mayHaveRun {
		return true
	}
	// Events without an ID can't be told from those of another run.
	return s.route.Resumable && (s.delivered == 0 || s.lastEventID != noID)
}

// attempt sends the request to the current placement and relays its events.
func (s *stream) attempt(ctx context.Context, resumeFrom KVHandle) (*plainResponse, error) {
	s.upstream = s.placement.Name
	attemptInfo := s.attemptInfo(s.placement.Name)
	attemptInfo.ResumeFrom = resumeFrom
	s.continues = s.lastEventID != noID
	if s.continues {
		attemptInfo.LastEventID = strconv.Itoa(s.lastEventID)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	header := s.g.outgoingHeader(s.request, s.placement, attemptInfo)
	response, err := s.g.send(ctx, s.request, s.placement, header)
	if err != nil {
		s.recordFailure(err)
		s.g.reportAttempt(ctx, s.request, s.placement, nil, err)
		return nil, err
	}
	defer response.Body.Close()
	if err := s.g.checkHeader(s.request, s.placement, response); err != nil {
		s.recordFailure(err)
		s.g.reportAttempt(ctx, s.request, s.placement, nil, err)
		return nil, err
	}
	s.sends++
	s.mayHaveRun, s.lastAttemptUnsent = true, false
	if resumeFrom == (KVHandle{}) {
		// Continuing a run from a copy of its KV cache does not count as
		// another attempt if the upstream accepts it.
		s.attempts++
	}
	if !isEventStream(response) {
		return s.readPlainResponse(ctx, response)
	}
	s.g.Dispatcher.Answered(s.id)
	err = s.relayEvents(ctx, response)
	// The end of a run that was copied to another engine is not a failure of the
	// upstream.
	if err != nil && ctx.Err() == nil && !s.hasCopy() {
		s.g.reportAttempt(ctx, s.request, s.placement, nil, err)
	}
	return nil, err
}

func isEventStream(response *http.Response) bool {
	kind, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream" && response.StatusCode == http.StatusOK
}

// readPlainResponse reads a response that is not an event stream, such as an
// error. It returns an error instead if the caller has already received part of
// the stream, or if another upstream can be tried after a server error.
func (s *stream) readPlainResponse(ctx context.Context, response *http.Response) (*plainResponse, error) {
	body, err := s.g.readResponseBody(s.request, response)
	if err != nil {
		s.g.reportAttempt(ctx, s.request, s.placement, nil, err)
		return nil, err
	}
	plain := &plainResponse{response.StatusCode, s.g.callerHeader(response.Header), body}
	if s.headerSent || plain.status >= http.StatusInternalServerError && s.route.Resumable && s.hasAttemptsLeft() {
		err := verdict.Fail(verdict.MayHaveRun, verdict.UpstreamFailed, "response status %s", response.Status)
		s.g.reportAttempt(ctx, s.request, s.placement, nil, err)
		return nil, err
	}
	if plain.status >= http.StatusInternalServerError {
		s.g.reportAttempt(ctx, s.request, s.placement, plain, nil)
	}
	return plain, nil
}

// readResult is an event of an upstream, or the error that ended its stream.
type readResult struct {
	event sseEvent
	// readAt is the time at which the event was read. A slow caller delays only what
	// follows.
	readAt time.Time
	err    error
}

// relayEvents forwards the events of one response to the caller until the
// response ends. It starts a move if the upstream starts to leave before that.
func (s *stream) relayEvents(ctx context.Context, response *http.Response) error {
	results := make(chan readResult, maxBufferedEvents)
	readCtx, stopReading := context.WithCancel(ctx)
	memory := s.g.memory.Open()
	// The reader takes memory until it ends.
	defer memory.Close()
	var group sync.WaitGroup
	defer group.Wait()
	defer response.Body.Close()
	// The reader may wait for room in results.
	defer stopReading()
	group.Go(func() { readEvents(readCtx, newEventReader(response.Body, memory), results) })
	stall := s.newStallTimer()
	defer stall.ticker.Stop()
	for {
		select {
		case <-stall.ticker.C:
			if err := stall.check(s); err != nil {
				return err
			}
		case <-ctx.Done():
			return s.contextError(ctx)
		case status, ok := <-s.placement.Leaving:
			if ok {
				s.startMove(ctx, status)
			}
		case <-s.optionalMoveEnded():
			s.endOptionalMove(ctx)
		case r := <-results:
			// After a request to stop the run, the close of the connection does not
			// prove that the stream is complete.
			if r.err == io.EOF && !(s.stopRequested() && endsWithConnection(response)) {
				// A stream that is taken up after its last event has no further one.
				s.sendHeader(response)
				return nil
			}
			if r.err != nil {
				return s.readError(r.err)
			}
			delivered := s.delivered
			due, err := s.forward(response, r.event, r.readAt)
			memory.Shrink(r.event.held)
			if err != nil {
				return err
			}
			if due {
				s.startOptionalMove(ctx)
			}
			if s.delivered > delivered {
				stall.checks = 0
			}
		}
	}
}

// endsWithConnection reports whether the end of the response is marked only by
// the close of the connection.
func endsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// readError returns the error for a stream that could not be read.
func (s *stream) readError(err error) error {
	reason := verdict.UpstreamLost
	if errorx.IsOfType(err, bodies.ErrMemoryFull) {
		reason = verdict.Overloaded
	}
	return verdict.Fail(verdict.MayHaveRun, reason, "the stream failed after event %d: %v", s.lastEventID, err)
}

// readEvents sends events to results until an error, such as io.EOF, which it sends last.
func readEvents(ctx context.Context, events *eventReader, results chan<- readResult) {
	for {
		event, err := events.next()
		select {
		case results <- readResult{event, time.Now(), err}:
		case <-ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// contextError returns the error for a stream whose context ended.
func (s *stream) contextError(ctx context.Context) error {
	return verdict.ContextEnded(ctx, verdict.MayHaveRun, fmt.Sprintf("after event %d", s.lastEventID))
}

// forward writes the next event in order to the caller, and reports whether the scheduler was
// told of the run's progress. It skips repeated events; a gap in the event IDs ends the attempt.
func (s *stream) forward(response *http.Response, e sseEvent, readAt time.Time) (reported bool, err error) {
	if s.continues && e.id == noID {
		return false, s.checkBeforeContinuation(e)
	}
	if e.id != noID {
		s.continues = false
		if s.lastEventID != noID && e.id <= s.lastEventID {
			return false, nil
		}
		if s.lastEventID != noID && e.id != s.lastEventID+1 {
			return false, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "event %d came after event %d", e.id, s.lastEventID)
		}
	}
	s.sendHeader(response)
	if _, err := s.w.Write(e.raw); err != nil {
		return false, errCallerDisconnected
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return false, errCallerDisconnected
	}
	if e.isComment {
		return false, nil
	}
	if e.id != noID {
		s.lastEventID = e.id
	}
	s.needsVersion, s.version = true, s.placement.Version
	s.recordEvent(time.Now())
	pace, due := s.pace.record(readAt, s.tokensPerEvent)
	if due {
		s.g.Dispatcher.Progress(s.id, s.delivered*s.tokensPerEvent, pace)
	}
	return due, nil
}

// checkBeforeContinuation checks an event without an ID before the first one that shows that the
// response continues the stream. Nothing of it is forwarded: it may be an error.
func (s *stream) checkBeforeContinuation(e sseEvent) error {
	if !e.hasContent {
		return nil
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "the response does not continue the stream after event %d", s.lastEventID)
}

// sendHeader sends the status and headers of the first response that is relayed to the caller.
func (s *stream) sendHeader(response *http.Response) {
	if s.headerSent {
		return
	}
	header := s.w.Header()
	for name, values := range s.g.callerHeader(response.Header) {
		header[name] = values
	}
	s.w.WriteHeader(response.StatusCode)
	s.headerSent = true
}

// logMove logs and counts the outcome of a move.
func (s *stream) logMove(source, destination dispatch.Placement, outcome string, err error, elapsed time.Duration) {
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	s.g.Metrics.CountMove(outcome)
	s.g.Log.Emit(event.RunMoved, "request", s.info.ID, "from", source.Name, "from_version", source.Version, "to", destination.Name, "to_version", destination.Version, "outcome", outcome, "after_event", s.lastEventID, "detail", detail, "ms", elapsed.Milliseconds())
}
