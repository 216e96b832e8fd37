package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mangoloft/bodies"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

// plainResponse is an upstream's complete response that is not an event stream.
type plainResponse struct {
	status int
	header http.Header
	body   bodies.Body
}

// servePlain sends a request to one upstream after another until one returns a
// usable response or no further attempt is allowed, and responds to the caller.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	var lastResponse *plainResponse
	var lastErr error
	for q.hasAttemptsLeft() {
		placement, err := g.place(ctx, q)
		if err != nil {
			lastErr = withPreviousError(lastErr, err)
			break
		}
		plain, err := g.attemptPlain(ctx, q, placement)
		g.Dispatcher.End(q.id, 0, outcomeOf(plain, err))
		g.reportAttempt(ctx, q, placement, plain, err)
		lastResponse, lastErr = plain, err
		if err == nil && (plain.status < http.StatusInternalServerError || !q.route.Idempotent()) {
			break
		}
		if ctx.Err() != nil || !q.canRetryAfter(err) {
			break
		}
	}
	if lastResponse != nil {
		g.writeResponse(w, q, lastResponse)
		return
	}
	g.writeFailure(w, q, lastErr)
}

// outcomeOf returns the outcome of an attempt that ended with a response or an error.
func outcomeOf(plain *plainResponse, err error) verdict.Outcome {
	if plain != nil && plain.status >= http.StatusInternalServerError {
		return verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.UpstreamFailed}
	}
	return verdict.OutcomeOf(err)
}

// hasAttemptsLeft reports whether the request can be sent to one more upstream.
func (q *request) hasAttemptsLeft() bool {
	return q.sends < maxSends && q.admissions < maxAdmissions && (q.attempts == 0 || q.attempts < max(1, q.route.MaxAttempts))
}

// isRepeatable reports whether the request can be sent again if the next attempt fails after
// it may have run.
func (q *request) isRepeatable() bool {
	return q.route.Idempotent() && q.sends+1 < maxSends && q.attempts+1 < q.route.MaxAttempts
}

// canRetryAfter reports whether a request can be sent again after an attempt that
// ended with err.
func (q *request) canRetryAfter(err error) bool {
	return q.route.Idempotent() || err != nil && verdict.OutcomeOf(err).Verdict == verdict.NotRun
}

// withPreviousError returns the error of a request for which no further
// upstream was found. The error of the previous attempt, if any, comes first.
func withPreviousError(previous, refusal error) error {
	if previous == nil {
		return refusal
	}
	o := verdict.OutcomeOf(previous)
	return verdict.FailAt(o.Verdict, o.Reason, verdict.OutcomeOf(refusal).RetryAt, "%s; then: %s", o.Detail, verdict.OutcomeOf(refusal).Detail)
}

// attemptPlain sends the request to one upstream and reads the complete
// response.
func (g *Gateway) attemptPlain(ctx context.Context, q *request, placement dispatch.Placement) (*plainResponse, error) {
	q.upstream = placement.Name
	g.logPlacement(q, placement)
	header := g.outgoingHeader(q, placement, q.attemptInfo(placement.Name))
	response, err := g.send(ctx, q, placement, header)
	if err != nil {
		q.recordFailure(err)
		return nil, err
	}
	defer response.Body.Close()
	if err := g.checkHeader(q, placement, response); err != nil {
		q.recordFailure(err)
		return nil, err
	}
	q.sends++
	q.attempts++
	q.mayHaveRun, q.lastAttemptUnsent = true, false
	body, err := g.readResponseBody(q, response)
	if err != nil {
		return nil, err
	}
	return &plainResponse{response.StatusCode, g.callerHeader(response.Header), body}, nil
}

// recordFailure updates the request's counts after a failed send.
func (q *request) recordFailure(err error) {
	o := verdict.OutcomeOf(err)
	q.lastAttemptUnsent = o.Reason == verdict.UpstreamUnreachable || o.Reason == verdict.Evacuated
	if !q.lastAttemptUnsent {
		q.sends++
	}
	if o.Verdict != verdict.NotRun {
		q.attempts++
		q.mayHaveRun = true
	}
}

// checkHeader checks the status and headers of a response and reports the
// upstream's load and identity to the dispatcher.
func (g *Gateway) checkHeader(q *request, placement dispatch.Placement, response *http.Response) error {
	if placement.Detour {
		return g.checkDetour(q, placement, response)
	}
	responseInfo := g.Protocol.ParseResponse(response.StatusCode, response.Header, time.Now())
	if responseInfo.ID == q.info.ID {
		g.reportResponder(q, placement, responseInfo)
	}
	g.reportDeclarations(q, placement, responseInfo)
	return checkResponse(response, responseInfo, q.info.ID)
}

// reportResponder reports to the dispatcher that another upstream has responded, or the load of
// the intended one.
func (g *Gateway) reportResponder(q *request, placement dispatch.Placement, info ResponseInfo) {
	if info.Misdirected {
		g.Dispatcher.ReportMisdirected(placement.Name, int64(placement.Incarnation))
		return
	}
	if info.Load != nil {
		g.reportLoad(q, placement, *info.Load)
	}
}

// reportLoad reports to the dispatcher the load that an upstream declares; of an engine only
// its pace.
func (g *Gateway) reportLoad(q *request, placement dispatch.Placement, load Load) {
	now := time.Now()
	switch {
	case !q.usesEngine():
		g.Dispatcher.HandleReport(placement.Name, decide.Report{TakenAt: now, Running: load.Running, Waiting: load.Waiting, PacePercent: load.PacePercent})
	case load.PacePercent > 0:
		g.Dispatcher.ReportPace(decide.PaceReported{Upstream: placement.Name, Incarnation: placement.Incarnation, Percent: load.PacePercent, At: now})
	}
}

// reportDeclarations reports to the dispatcher what the upstream declares in a response:
// its limit or that it has none, that it is leaving, and for how long it wants no
// requests. A response with another ID may
// have been sent by another upstream, or before a change.
func (g *Gateway) reportDeclarations(q *request, placement dispatch.Placement, info ResponseInfo) {
	if info.Malformed != nil {
		g.Log.EmitRateLimited(event.UpstreamHeaderRefused, "upstream", placement.Name, "request", q.info.ID, "error", info.Malformed.Error())
	}
	if info.Misdirected || info.ID != q.info.ID {
		return
	}
	if !info.RetryAt.IsZero() {
		g.Dispatcher.ReportPushBack(decide.PushedBack{Upstream: placement.Name, Incarnation: placement.Incarnation, Until: info.RetryAt})
	}
	if info.MaxRejections > 0 || placement.Brittle {
		g.Dispatcher.ReportBrittle(decide.BrittleReported{Upstream: placement.Name, Incarnation: placement.Incarnation, MaxRejections: info.MaxRejections, Rejected: info.NotRun})
	}
	if !info.ColdUntil.IsZero() {
		g.Dispatcher.ReportCold(decide.ColdReported{Upstream: placement.Name, Incarnation: placement.Incarnation, Until: info.ColdUntil})
	}
	if info.Leaving {
		g.Dispatcher.ReportLeaving(placement.Name, int64(placement.Incarnation), time.Time{}, upstream.FromAnswer)
	}
	switch {
	case info.Limit != nil:
		g.Dispatcher.ReportLimit(decide.LimitReported{Upstream: placement.Name, Incarnation: placement.Incarnation, Limited: true, PerSecond: *info.Limit})
	case placement.Limited && !info.HasLimit:
		g.Dispatcher.ReportLimit(decide.LimitReported{Upstream: placement.Name, Incarnation: placement.Incarnation})
	}
}

// usesEngine reports whether the request's service consists of model engines.
// The request counts in an engine's responses are not used as its load, because
// they include neither its KV cache use nor its pending prefill, which other
// instances report.
func (q *request) usesEngine() bool {
	service := q.table.Services[q.service]
	return service != nil && service.Engine != nil
}

// reportAttempt logs an attempt that failed or returned a server error, and
// reports it to the dispatcher.
func (g *Gateway) reportAttempt(ctx context.Context, q *request, placement dispatch.Placement, plain *plainResponse, err error) {
	o, status := verdict.OutcomeOf(err), 0
	if plain != nil {
		status = plain.status
	}
	if placement.Detour {
		g.endDetour(q, placement, err != nil || status >= http.StatusInternalServerError, err)
		return
	}
	if err != nil || status >= http.StatusInternalServerError {
		q.excluded = append(q.excluded, placement.Name)
		if o.Reason == verdict.UpstreamUnreachable {
			q.unreachable = append(q.unreachable, placement.Name)
		}
		if q.countsAgainstUpstream(o.Reason) {
			reason := o.Reason
			if err == nil && q.usesEngine() {
				// A call's server error may be due to the call.
				reason = verdict.UpstreamFailed
			}
			g.Dispatcher.ReportFailure(q.id, placement.Name, reason)
		}
		g.Metrics.CountFailedSend(q.service, o.Reason)
		if o.Reason == verdict.UpstreamLost {
			g.checkEnded(ctx, q, placement)
		}
		g.Log.Emit(event.AttemptEnded, "request", q.info.ID, "upstream", placement.Name, "address", placement.Addr.String(), "status", status,
			"verdict", o.Verdict.String(), "reason", o.Reason.String(), "detail", o.Detail, "why", placement.Explanation, "ms", time.Since(q.received).Milliseconds())
	}
}

// countsAgainstUpstream reports whether a failed attempt is evidence against
// the upstream. An upstream that exceeds a route's timeout may still be healthy,
// but an upstream that does not respond until the caller's own deadline counts
// as failed.
func (q *request) countsAgainstUpstream(r verdict.Reason) bool {
	switch r {
	case verdict.CallerDisconnected, verdict.Stopping, verdict.UpstreamLeaving, verdict.Overloaded, verdict.Evacuated:
		return false
	case verdict.WaitExpired:
		return q.deadline.Equal(q.info.Deadline)
	}
	return true
}

// writeResponse writes an upstream's complete response to the caller.
func (g *Gateway) writeResponse(w http.ResponseWriter, q *request, plain *plainResponse) {
	header := w.Header()
	for name, values := range plain.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.FormatInt(plain.body.Len(), 10))
	w.WriteHeader(plain.status)
	o := outcomeOf(plain, nil)
	if _, err := plain.body.WriteTo(w); err != nil {
		o.Reason, o.Detail = verdict.CallerDisconnected, err.Error()
	}
	g.logClosed(q, plain.status, o)
}
