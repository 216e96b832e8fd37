package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/verdict"
)

const (
	// defaultTimeout bounds a request whose route and caller set no limit.
	defaultTimeout = 60 * time.Second
	// defaultRetryAfter is told with a refusal that has no better time, such as
	// that of an instance which just started.
	defaultRetryAfter = 500 * time.Millisecond
	// maxSends bounds how often one request is sent, counting the sends that
	// are proved not to have run.
	maxSends = 4
	// waitShare is the share of a route's target that a request may wait for a
	// place and still be in time.
	waitShare = 0.6
)

// request is one request of a caller on its way through the gateway.
type request struct {
	id       ident.Request
	ask      Ask
	received time.Time
	route    *routing.Route
	table    *routing.Table
	team     string
	service  string
	out      outgoing
	caller   http.Header
	// deadline is when the request is given up: the caller's deadline or the
	// route's time-out, whichever comes first.
	deadline time.Time
	// attempts counts the upstreams that may have run the request, sends all
	// that it was sent to.
	attempts, sends int
	// unsent says that nothing of it was sent at the last try.
	unsent bool
	// mayHaveRun says that an attempt may have had an effect.
	mayHaveRun bool
	avoid      []string
	// delivered counts the events that were passed on, firstAt and lastAt are
	// when the first and the last were, and pause is the longest between two.
	delivered       int
	firstAt, lastAt time.Time
	pause           time.Duration
	upstream        string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := time.Now()
	g.begin()
	defer g.end()
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	ask, err := g.Protocol.Ask(r.Header, received)
	q := &request{id: g.newID(), ask: ask, received: received, caller: r.Header}
	if err != nil {
		g.refuse(w, q, http.StatusBadRequest, verdict.Fail(verdict.NotRun, verdict.BadRequest, "%v", err))
		return
	}
	if status, err := g.recognise(q, r); err != nil {
		g.refuse(w, q, status, err)
		return
	}
	if g.stopping.Load() && q.route.Kind == routing.Streaming && !q.route.Idempotent() {
		// It would be cut off at the end of the grace.
		g.refuse(w, q, http.StatusServiceUnavailable, verdict.FailAt(verdict.NotRun, verdict.Stopping, received, "the instance stops before the stream could end"))
		return
	}
	size, status, err := g.readBody(w, q, r)
	defer g.bodies.Add(-size)
	if err != nil {
		g.refuse(w, q, status, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Kind == routing.Streaming {
		g.serveStream(ctx, w, q)
		return
	}
	g.servePlain(ctx, w, q)
}

func (g *Gateway) newID() ident.Request {
	return ident.Request{Home: g.Home, Sequence: g.sequence.Add(1)}
}

// recognise finds the route and the team. An error comes with its status.
func (g *Gateway) recognise(q *request, r *http.Request) (int, error) {
	table := g.Dispatcher.Snapshot().Document.Table
	if table == nil {
		return http.StatusServiceUnavailable, verdict.FailAt(verdict.NotRun, verdict.NotConfigured, q.received.Add(defaultRetryAfter), "no routing table yet")
	}
	route, ok := table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return http.StatusNotFound, verdict.Fail(verdict.NotRun, verdict.NotFound, "no route matches as of version %d", table.Version)
	}
	q.table, q.route = table, route
	if q.ask.ID == "" {
		return http.StatusBadRequest, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the request has no id")
	}
	if table.RequiresCredential && !route.Public {
		team, ok := table.Team(q.ask.Credential)
		if !ok {
			return http.StatusUnauthorized, verdict.Fail(verdict.NotRun, verdict.UnknownTeam, "the credential is unknown as of version %d", table.Version)
		}
		q.team = team.Name
	}
	q.service = route.PickService(rand.Float64())
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	q.deadline = q.received.Add(timeout)
	if !q.ask.Deadline.IsZero() && q.ask.Deadline.Before(q.deadline) {
		q.deadline = q.ask.Deadline
	}
	q.out = outgoing{method: r.Method, target: r.RequestURI, host: r.Host}
	if !strings.HasPrefix(q.out.target, "/") {
		q.out.target = r.URL.RequestURI()
	}
	return 0, nil
}

// readBody reads the whole body, so that an upstream never waits for a caller.
// It returns the bytes counted against MaxBodies.
func (g *Gateway) readBody(w http.ResponseWriter, q *request, r *http.Request) (int64, int, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return 0, 0, nil
	}
	limit := q.table.Limits.BodyBytes
	if r.ContentLength > limit {
		return 0, http.StatusRequestEntityTooLarge, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	size := max(r.ContentLength, 0)
	if g.bodies.Add(size) > g.MaxBodies {
		return size, http.StatusServiceUnavailable, verdict.FailAt(verdict.NotRun, verdict.Overloaded, time.Now().Add(defaultRetryAfter), "the bodies of open requests fill the memory for them")
	}
	if err := http.NewResponseController(w).SetReadDeadline(q.deadline); err != nil {
		return size, http.StatusInternalServerError, verdict.Fail(verdict.NotRun, verdict.Internal, "%v", err)
	}
	var body bytes.Buffer
	body.Grow(int(size))
	n, err := io.Copy(&body, io.LimitReader(r.Body, limit+1))
	if r.ContentLength < 0 {
		g.bodies.Add(n)
		size = n
	}
	switch {
	case err != nil:
		return size, http.StatusBadRequest, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body could not be read: %v", err)
	case n > limit:
		return size, http.StatusRequestEntityTooLarge, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body has more than %d bytes", limit)
	}
	// The deadline was for the body only. The server watches the connection
	// from here on, to tell when the caller hangs up.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		return size, http.StatusInternalServerError, verdict.Fail(verdict.NotRun, verdict.Internal, "%v", err)
	}
	q.out.body = body.Bytes()
	return size, 0, nil
}

// decision returns the request as the scheduler sees it.
func (q *request) decision() decide.Request {
	class := config.Class{
		Name: q.route.Name, Pool: q.service, Kind: config.Charge,
		WaitTarget: time.Duration(float64(q.route.Target) * waitShare), MaxOutputTokens: q.ask.MaxOutputTokens,
	}
	switch q.route.Kind {
	case routing.Streaming:
		class.Kind = config.Stream
	case routing.Safe:
		class.Kind = config.Read
	}
	r := decide.Request{
		ID: q.id, Team: q.team, Class: class, PromptTokens: q.ask.PromptTokens, MaxOutputTokens: q.ask.MaxOutputTokens,
		Avoid: q.avoid, Unsent: q.sends == 0 || q.unsent,
	}
	if class.WaitTarget > 0 {
		r.StartBy = q.received.Add(class.WaitTarget)
		r.FirstTokenBy = q.received.Add(q.route.Target)
	}
	return r
}

// order returns what an upstream is told.
func (q *request) order(instance string) Order {
	return Order{Deadline: q.deadline, Instance: instance, Team: q.team, LastEvent: q.ask.LastEvent}
}

// refusalWire is the body of an answer of the gateway's own.
type refusalWire struct {
	Error   string `json:"error"`
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
}

// fail answers a request that found no upstream to answer it.
func (g *Gateway) fail(w http.ResponseWriter, q *request, err error) {
	o := verdict.Of(err)
	status := http.StatusBadGateway
	switch {
	case o.Reason == verdict.CallerGone:
		g.closed(q, 0, o)
		return
	case q.mayHaveRun && !time.Now().Before(q.deadline):
		status = http.StatusGatewayTimeout
	case !q.mayHaveRun:
		status = http.StatusServiceUnavailable
	}
	g.refuse(w, q, status, err)
}

// refuse answers with a status of the gateway's own.
func (g *Gateway) refuse(w http.ResponseWriter, q *request, status int, err error) {
	o := verdict.Of(err)
	if q.mayHaveRun {
		o.Verdict = verdict.MayHaveRun
	}
	if status == http.StatusServiceUnavailable {
		after := defaultRetryAfter
		if !o.RetryAt.IsZero() {
			after = max(0, time.Until(o.RetryAt))
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	content, jsonErr := json.Marshal(refusalWire{o.Detail, o.Reason.String(), o.Verdict.String()})
	if jsonErr != nil {
		o.Detail += "; the body could not be encoded: " + jsonErr.Error()
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	if _, err := w.Write(content); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		o.Detail += "; the answer could not be written: " + err.Error()
	}
	g.closed(q, status, o)
}

// placed logs where a request is sent and why, with the age of what decided.
func (g *Gateway) placed(q *request, place dispatch.Placement) {
	snapshot := g.Dispatcher.Snapshot()
	g.Metrics.CountSend(q.service)
	g.Log.Emit(event.RequestPlaced, "request", q.ask.ID, "internal_id", q.id.String(), "route", q.route.Name, "kind", q.route.Kind.String(), "team", q.team, "service", q.service,
		"prompt_tokens", q.ask.PromptTokens, "max_output_tokens", q.ask.MaxOutputTokens,
		"upstream", place.Name, "address", place.Addr.String(), "born", int64(place.Incarnation), "why", place.Why,
		"table_version", q.table.Version, "list_revision", snapshot.ListRevision, "waited_ms", time.Since(q.received).Milliseconds())
}

// passed notes that an event was passed on.
func (q *request) passed(now time.Time) {
	q.delivered++
	if q.firstAt.IsZero() {
		q.firstAt = now
	} else {
		q.pause = max(q.pause, now.Sub(q.lastAt))
	}
	q.lastAt = now
}

// firstEvent returns the time to the first event; zero when none came.
func (q *request) firstEvent() time.Duration {
	if q.firstAt.IsZero() {
		return 0
	}
	return q.firstAt.Sub(q.received)
}

// closed logs the end of a request.
func (g *Gateway) closed(q *request, status int, o verdict.Outcome) {
	var route, kind string
	var version uint64
	var target, pauseTarget time.Duration
	if q.route != nil {
		route, kind, version = q.route.Name, q.route.Kind.String(), q.table.Version
		target, pauseTarget = q.route.Target, q.route.PauseTarget
	}
	g.Metrics.CountRequest(kind, status, o, time.Since(q.received))
	if q.delivered > 0 {
		g.Metrics.ObserveStream(q.firstEvent(), q.pause)
	}
	g.Log.Emit(event.RequestClosed, "request", q.ask.ID, "route", route, "kind", kind, "table_version", version, "team", q.team, "service", q.service,
		"upstream", q.upstream, "sends", q.sends, "status", status, "verdict", o.Verdict.String(), "reason", o.Reason.String(), "detail", o.Detail,
		"events", q.delivered, "first_event_ms", q.firstEvent().Milliseconds(), "longest_pause_ms", q.pause.Milliseconds(),
		"target_ms", target.Milliseconds(), "pause_target_ms", pauseTarget.Milliseconds(),
		"prompt_tokens", q.ask.PromptTokens, "max_output_tokens", q.ask.MaxOutputTokens, "ms", time.Since(q.received).Milliseconds())
}
