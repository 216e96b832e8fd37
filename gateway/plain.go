package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/verdict"
)

// whole is an upstream's whole plain answer.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// servePlain sends a request until an upstream has answered it, or until it may
// not be sent again.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, q *request) {
	var last *whole
	var lastErr error
	for q.maySend() {
		place, err := g.Dispatcher.Place(ctx, q.decision())
		if err != nil {
			lastErr = firstCause(lastErr, err)
			break
		}
		answer, err := g.call(ctx, q, place)
		g.Dispatcher.End(q.id, 0, verdict.Of(err))
		g.attemptEnded(q, place, answer, err)
		last, lastErr = answer, err
		if err == nil && (answer.status < http.StatusInternalServerError || !q.route.Idempotent()) {
			break
		}
		if ctx.Err() != nil || !q.mayRepeat(err) {
			break
		}
	}
	if last != nil {
		g.deliver(w, q, last)
		return
	}
	g.fail(w, q, lastErr)
}

// maySend reports whether the request may be sent to one more upstream.
func (q *request) maySend() bool {
	return q.sends < maxSends && (q.attempts == 0 || q.attempts < max(1, q.route.MaxAttempts))
}

// mayRepeat reports whether a request that ended so may be sent again.
func (q *request) mayRepeat(err error) bool {
	return q.route.Idempotent() || err != nil && verdict.Of(err).Verdict == verdict.NotRun
}

// firstCause returns why a request failed that found no further place: what
// came of the send before, if there was one.
func firstCause(before, refusal error) error {
	if before == nil {
		return refusal
	}
	o := verdict.Of(before)
	return verdict.FailAt(o.Verdict, o.Reason, verdict.Of(refusal).RetryAt, "%s; then: %s", o.Detail, verdict.Of(refusal).Detail)
}

// call sends the request to one upstream and reads the whole answer.
func (g *Gateway) call(ctx context.Context, q *request, place dispatch.Placement) (*whole, error) {
	q.upstream = place.Name
	g.placed(q, place)
	header := g.Protocol.UpstreamHeader(q.caller, q.order(place.Name), time.Now())
	response, err := g.send(ctx, place.Addr, q.out, header)
	if err != nil {
		q.note(err)
		return nil, err
	}
	defer response.Body.Close()
	if err := g.head(q, place, response); err != nil {
		q.note(err)
		return nil, err
	}
	q.sends++
	q.attempts++
	q.mayHaveRun, q.unsent = true, false
	body, err := readWhole(response)
	if err != nil {
		return nil, err
	}
	return &whole{response.StatusCode, g.Protocol.CallerHeader(response.Header), body}, nil
}

// note counts a send that failed.
func (q *request) note(err error) {
	o := verdict.Of(err)
	q.unsent = o.Reason == verdict.UpstreamUnreachable
	if !q.unsent {
		q.sends++
	}
	if o.Verdict != verdict.NotRun {
		q.attempts++
		q.mayHaveRun = true
	}
}

// head judges the head of an answer and tells what it says of the upstream.
func (g *Gateway) head(q *request, place dispatch.Placement, response *http.Response) error {
	answer := g.Protocol.Answer(response.StatusCode, response.Header)
	if answer.Misdirected {
		g.Dispatcher.Misdirected(place.Name, int64(place.Incarnation))
	}
	if answer.Load != nil && !answer.Misdirected && !q.atEngine() {
		g.Dispatcher.Reported(place.Name, decide.Report{TakenAt: time.Now(), Running: answer.Load.Running, Waiting: answer.Load.Waiting})
	}
	return judge(response, answer, q.ask.ID)
}

// atEngine reports whether the request's service is one of model engines. Their
// counts of requests say nothing of memory and of what is unread, which other
// instances tell.
func (q *request) atEngine() bool {
	service := q.table.Services[q.service]
	return service != nil && service.Engine != nil
}

// attemptEnded logs a send and tells the scheduler of failures.
func (g *Gateway) attemptEnded(q *request, place dispatch.Placement, answer *whole, err error) {
	o, status := verdict.Of(err), 0
	if answer != nil {
		status = answer.status
	}
	if err != nil || status >= http.StatusInternalServerError {
		q.avoid = append(q.avoid, place.Name)
		if q.blames(o.Reason) {
			g.Dispatcher.Failed(place.Name, o.Reason)
		}
		g.Metrics.CountFailedSend(q.service, o.Reason)
		g.Log.Emit(event.AttemptEnded, "request", q.ask.ID, "upstream", place.Name, "address", place.Addr.String(), "status", status,
			"verdict", o.Verdict.String(), "reason", o.Reason.String(), "detail", o.Detail, "why", place.Why, "ms", time.Since(q.received).Milliseconds())
	}
}

// blames reports whether the end of a send speaks against the upstream. One
// that is slower than a route's time-out may be as fast as it should be; one
// that is silent until the caller's own deadline is not.
func (q *request) blames(r verdict.Reason) bool {
	switch r {
	case verdict.CallerGone, verdict.UpstreamLeaving:
		return false
	case verdict.WaitExpired:
		return q.deadline.Equal(q.ask.Deadline)
	}
	return true
}

// deliver passes an upstream's whole answer on.
func (g *Gateway) deliver(w http.ResponseWriter, q *request, a *whole) {
	header := w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	o := verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}
	if a.status >= http.StatusInternalServerError {
		o.Reason = verdict.UpstreamFailed
	}
	if _, err := w.Write(a.body); err != nil {
		o.Reason, o.Detail = verdict.CallerGone, err.Error()
	}
	g.closed(q, a.status, o)
}
