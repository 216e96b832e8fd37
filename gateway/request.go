package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangoloft/bodies"
	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/fingerprint"
	"mangoloft/ident"
	"mangoloft/pause"
	"mangoloft/prompt"
	"mangoloft/routing"
	"mangoloft/verdict"
)

const (
	// defaultTimeout applies to a request if neither the route nor the caller
	// sets a limit.
	defaultTimeout = 60 * time.Second
	// defaultRetryAfter is the Retry-After time of a refusal without a better
	// estimate, for example by an instance that has just started.
	defaultRetryAfter = 500 * time.Millisecond
	// maxSends is the maximum number of times that one request is sent, including
	// sends that provably had no effect.
	maxSends = 4
	// maxWaitShare is the share of a route's target latency that a request can
	// wait for a placement and still meet the target.
	maxWaitShare = 0.6
	// reconnectDelay is the delay before a request tries again to connect to
	// upstreams that it could not reach. It doubles with each further try.
	reconnectDelay = 50 * time.Millisecond
	// maxReconnectShare is the share of a request's time in which it can try to
	// connect again. The caller needs the rest to come back through another
	// instance, which may still reach the upstreams.
	maxReconnectShare = 1.0 / 3
)

// request is the state of one request of a caller.
type request struct {
	id       ident.Request
	info     RequestInfo
	received time.Time
	route    *routing.Route
	table    *routing.Table
	team     string
	// teamEntry is the team's entry in the table; nil if credentials aren't used.
	teamEntry *routing.Team
	// ignoresRanks reports whether all requests have the same rank.
	ignoresRanks bool
	service      string
	// regions are the regions to which the request is restricted; nil if it isn't.
	regions  []string
	outgoing outgoingRequest
	// fingerprint is the same for all attempts of the caller at the request.
	fingerprint  fingerprint.Fingerprint
	callerHeader http.Header
	// deadline is the time at which the gateway gives up the request: the
	// caller's deadline or the end of the route's timeout, whichever is earlier.
	deadline time.Time
	// attempts counts the sends that may have had an effect; sends counts all
	// sends.
	attempts, sends int
	// lastAttemptUnsent reports whether the last attempt sent nothing, because no
	// connection could be made.
	lastAttemptUnsent bool
	// mayHaveRun reports whether an attempt may have had an effect.
	mayHaveRun bool
	// excluded contains the names of the upstreams on which an attempt failed, and
	// unreachable those among them to which no connection could be made.
	excluded, unreachable []string
	// submissions is the number of times that a placement was requested.
	submissions int
	// reconnects is the number of times that the unreachable upstreams were
	// considered again.
	reconnects int
	// needsVersion reports whether the stream has begun, and version is the version of the
	// engine's software that began it.
	needsVersion bool
	version      string
	// delivered counts the events that were forwarded to the caller.
	delivered int
	// firstEventAt and lastEventAt are the times of the first and the last of
	// these events.
	firstEventAt, lastEventAt time.Time
	// longestPause is the longest time between two consecutive events.
	longestPause time.Duration
	// memory holds the body of the request, and responseMemory those of its responses.
	memory, responseMemory *bodies.Account
	// upstream is the name of the upstream that was chosen last.
	upstream string
	// fromMember reports whether another instance sent the request, because it is cut off
	// or this one coordinates the upstream named by only. detours are the instances to
	// which this one has sent it because it is cut off, and admissions is the number of
	// coordinators to which it has.
	fromMember bool
	only       string
	detours    []netip.AddrPort
	admissions int
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, &request{}) }

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, q *request) {
	received := time.Now()
	g.requestStarted()
	defer g.requestEnded()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	info, err := g.Protocol.ParseRequest(r.Header, received)
	q.id, q.info, q.received, q.callerHeader = g.newID(), info, received, r.Header
	if err != nil {
		g.writeRefusal(w, q, http.StatusBadRequest, verdict.Fail(verdict.NotRun, verdict.BadRequest, "%v", err))
		return
	}
	if status, err := g.matchRoute(q, r); err != nil {
		g.writeRefusal(w, q, status, err)
		return
	}
	if !q.hasAttemptsLeft() {
		// The other instance allows more attempts, by another routing table.
		g.writeRefusal(w, q, http.StatusServiceUnavailable, verdict.FailAt(verdict.NotRun, verdict.Overloaded, received.Add(defaultRetryAfter), "no attempt is left"))
		return
	}
	if err := g.checkStop(q); err != nil {
		g.writeRefusal(w, q, http.StatusServiceUnavailable, err)
		return
	}
	q.memory, q.responseMemory = g.memory.Open(), g.memory.Open()
	defer q.memory.Close()
	defer q.responseMemory.Close()
	if status, err := g.readBody(w, q, r); err != nil {
		g.writeRefusal(w, q, status, err)
		return
	}
	q.fingerprint = fingerprint.Of(q.team, q.outgoing.method, q.outgoing.host, q.outgoing.target, q.outgoing.body)
	ctx, cancel := g.requestContext(r.Context(), q.deadline)
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

// matchRoute finds the route and the team and sets the fields of q that follow
// from them. With an error it returns the HTTP status of the response.
func (g *Gateway) matchRoute(q *request, r *http.Request) (int, error) {
	table := g.Dispatcher.Snapshot().Document.Table
	if table == nil {
		return http.StatusServiceUnavailable, verdict.FailAt(verdict.NotRun, verdict.NotConfigured, q.received.Add(defaultRetryAfter), "no routing table received yet")
	}
	route, ok := table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return http.StatusNotFound, verdict.Fail(verdict.NotRun, verdict.NotFound, "no route matches in version %d of the routing table", table.Version)
	}
	q.table, q.route, q.regions = table, route, routing.AllowedRegions(route, nil)
	q.ignoresRanks = g.IgnoresRanks != nil && g.IgnoresRanks()
	if q.info.ID == "" {
		return http.StatusBadRequest, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the request has no id")
	}
	if table.RequiresCredential && !route.Public {
		team, ok := table.Team(q.info.Credential)
		if !ok {
			return http.StatusUnauthorized, verdict.Fail(verdict.NotRun, verdict.UnknownTeam, "the credential is unknown in version %d of the routing table", table.Version)
		}
		q.team, q.teamEntry, q.regions = team.Name, team, routing.AllowedRegions(route, team)
	}
	q.service = route.PickService(q.serviceFraction())
	timeout := defaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	q.deadline = q.received.Add(timeout)
	if !q.info.Deadline.IsZero() && q.info.Deadline.Before(q.deadline) {
		q.deadline = q.info.Deadline
	}
	q.outgoing = outgoingRequest{method: r.Method, target: r.RequestURI, host: r.Host}
	if !strings.HasPrefix(q.outgoing.target, "/") {
		q.outgoing.target = r.URL.RequestURI()
	}
	return 0, nil
}

// readBody reads the whole body, so that an upstream never waits for a slow
// caller. With an error it returns the HTTP status of the response.
func (g *Gateway) readBody(w http.ResponseWriter, q *request, r *http.Request) (int, error) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return 0, nil
	}
	limit := q.table.Limits.BodyBytes
	if r.ContentLength > limit {
		return http.StatusRequestEntityTooLarge, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body has %d bytes, the limit is %d", r.ContentLength, limit)
	}
	size := max(r.ContentLength, 0)
	if !q.memory.Reserve(size) {
		return http.StatusServiceUnavailable, verdict.FailAt(verdict.NotRun, verdict.Overloaded, time.Now().Add(defaultRetryAfter), "the memory for the bodies of open requests is full")
	}
	if err := http.NewResponseController(w).SetReadDeadline(q.deadline); err != nil {
		return http.StatusInternalServerError, verdict.Fail(verdict.NotRun, verdict.Internal, "%v", err)
	}
	var body bytes.Buffer
	body.Grow(int(size))
	n, err := io.Copy(&body, io.LimitReader(r.Body, limit+1))
	if r.ContentLength < 0 {
		q.memory.Add(n)
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, verdict.Fail(verdict.NotRun, verdict.WaitExpired, "the deadline passed after %d bytes of the body", n)
	case err != nil:
		return http.StatusBadRequest, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body could not be read: %v", err)
	case n > limit:
		return http.StatusRequestEntityTooLarge, verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body has more than %d bytes", limit)
	}
	// The deadline applies only to the body. Afterwards the server reads from
	// the connection to detect that the caller closes it.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil {
		return http.StatusInternalServerError, verdict.Fail(verdict.NotRun, verdict.Internal, "%v", err)
	}
	q.outgoing.body = body.Bytes()
	return 0, nil
}

// placementRequest returns the request in the form that the scheduler uses.
func (q *request) placementRequest(canDetour, canUseCoordinator bool) decide.Request {
	class := config.Class{
		Name: q.route.Name, Pool: q.service, Kind: config.Charge,
		WaitTarget: time.Duration(float64(q.route.Target) * maxWaitShare), MaxOutputTokens: q.info.MaxOutputTokens,
	}
	switch q.route.Kind {
	case routing.Streaming:
		class.Kind = config.Stream
	case routing.Safe:
		class.Kind = config.Read
	}
	r := decide.Request{
		ID: q.id, Team: q.team, Class: class, PromptTokens: q.info.PromptTokens, MaxOutputTokens: q.info.MaxOutputTokens,
		Parts: q.info.SharedParts, Fingerprint: q.fingerprint, NeedsVersion: q.needsVersion, Version: q.version, Excluded: q.excluded, NeverSent: q.sends == 0 || q.lastAttemptUnsent, Resubmitted: q.submissions > 0, FromMember: q.fromMember, Repeatable: q.isRepeatable(), CanDetour: canDetour, CanUseCoordinator: canUseCoordinator, Only: q.only, Regions: q.regions,
	}
	r.Deadline = q.deadline
	r.Rank, r.Ranked = q.rank()
	if q.route.Resumable {
		r.Stream = q.streamKey()
	}
	if class.WaitTarget > 0 {
		r.StartBy = q.received.Add(class.WaitTarget)
		r.FirstTokenBy = q.received.Add(q.route.Target)
	}
	if class.Kind == config.Stream {
		r.PauseTarget = q.route.PauseTarget
	}
	return r
}

// place requests a placement for the request. In a planned stop it refuses a request that the
// caller has received nothing of, if the stop might cut it off: it may have waited in the queue
// since before.
func (g *Gateway) place(ctx context.Context, q *request) (dispatch.Placement, error) {
	placement, err := g.placeInTime(ctx, q)
	if err != nil || q.delivered > 0 {
		return placement, err
	}
	if err := g.checkStop(q); err != nil {
		g.Dispatcher.End(q.id, 0, verdict.OutcomeOf(err))
		return dispatch.Placement{}, err
	}
	return placement, nil
}

// placeInTime requests a placement for the request. If no upstream is left because some
// could not be reached, it considers these again after a delay: they may be
// restarting, or the connections may have been lost on an overloaded link. For the
// request of another instance it does not wait, because that one can ask a third one.
func (g *Gateway) placeInTime(ctx context.Context, q *request) (dispatch.Placement, error) {
	for {
		placement, err := g.Dispatcher.Place(ctx, q.placementRequest(g.canDetour(q), g.canUseCoordinator(q)))
		q.submissions++
		if err != nil && verdict.OutcomeOf(err).Reason == verdict.CutOff {
			return g.placeAtMember(q, err)
		}
		if err == nil || verdict.OutcomeOf(err).Reason != verdict.NoUpstream || len(q.unreachable) == 0 || q.fromMember {
			return placement, err
		}
		delay := reconnectDelay << q.reconnects
		if time.Now().Add(delay).After(q.reconnectUntil()) || !pause.Sleep(ctx, delay) {
			return placement, err
		}
		q.excluded = slices.DeleteFunc(q.excluded, func(name string) bool { return slices.Contains(q.unreachable, name) })
		q.unreachable = nil
		q.reconnects++
	}
}

// reconnectUntil returns the time until which the request tries to connect again.
func (q *request) reconnectUntil() time.Time {
	return q.received.Add(time.Duration(maxReconnectShare * float64(q.deadline.Sub(q.received))))
}

// attemptInfo returns the values that the gateway adds to the caller's headers
// for the named upstream.
func (q *request) attemptInfo(upstreamName string) AttemptInfo {
	info := AttemptInfo{Deadline: q.deadline, Upstream: upstreamName, Team: q.team, LastEventID: q.info.LastEventID}
	info.Priority, info.HasPriority = q.rank()
	return info
}

// rank returns the rank of the request among those of its service, and whether they differ
// in rank.
func (q *request) rank() (rank int, ranked bool) {
	if q.table == nil || q.ignoresRanks {
		return 0, false
	}
	return q.table.Rank(q.route, q.teamEntry, q.service)
}

// tokensPerEvent returns the number of tokens in one event of a stream of the request's service.
func (q *request) tokensPerEvent() int {
	if service := q.table.Services[q.service]; service != nil && service.Engine != nil {
		return max(1, service.Engine.EventTokens)
	}
	return 1
}

// lastEventID returns the ID of the last event that the caller has received before; ok is false
// if it has received none.
func (q *request) lastEventID() (id int, ok bool) {
	id, err := strconv.Atoi(q.info.LastEventID)
	return id, err == nil
}

// errorBody is the body of an error response of the gateway itself.
type errorBody struct {
	Error   string `json:"error"`
	Reason  string `json:"reason"`
	Verdict string `json:"verdict"`
}

// writeFailure writes the error response to a request that no upstream
// responded to.
func (g *Gateway) writeFailure(w http.ResponseWriter, q *request, err error) {
	o := verdict.OutcomeOf(err)
	status := http.StatusBadGateway
	switch {
	case o.Reason == verdict.CallerDisconnected:
		g.logClosed(q, 0, o)
		// Without a response, net/http would send an empty 200.
		panic(http.ErrAbortHandler)
	case q.mayHaveRun && !time.Now().Before(q.deadline):
		status = http.StatusGatewayTimeout
	case !q.mayHaveRun:
		status = http.StatusServiceUnavailable
	}
	g.writeRefusal(w, q, status, err)
}

// writeRefusal writes an error response with the given status.
func (g *Gateway) writeRefusal(w http.ResponseWriter, q *request, status int, err error) {
	o := verdict.OutcomeOf(err)
	if q.mayHaveRun {
		o.Verdict = verdict.MayHaveRun
	}
	if status == http.StatusServiceUnavailable {
		retryAfter := defaultRetryAfter
		if !o.RetryAt.IsZero() {
			retryAfter = max(0, time.Until(o.RetryAt))
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	content, jsonErr := json.Marshal(errorBody{o.Detail, o.Reason.String(), o.Verdict.String()})
	if jsonErr != nil {
		o.Detail += "; the body could not be encoded: " + jsonErr.Error()
	}
	q.setDetourOutcome(w.Header(), o)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	if _, err := w.Write(content); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		o.Detail += "; the response could not be written: " + err.Error()
	}
	g.logClosed(q, status, o)
}

// logPlacement logs the chosen upstream and the reason for the choice, with the
// versions of the routing table and the list that the choice was based on.
func (g *Gateway) logPlacement(q *request, placement dispatch.Placement) {
	if placement.Detour {
		g.logDetour(q, placement)
		return
	}
	snapshot := g.Dispatcher.Snapshot()
	rank, _ := q.rank()
	g.Metrics.CountSend(q.service)
	g.Log.Emit(event.RequestPlaced, "request", q.info.ID, "internal_id", q.id.String(), "route", q.route.Name, "kind", q.route.Kind.String(), "team", q.team, "service", q.service, "rank", rank, "fingerprint", q.fingerprint.String(),
		"prompt_tokens", q.info.PromptTokens, "max_output_tokens", q.info.MaxOutputTokens, "shared_parts", prompt.List(q.info.SharedParts),
		"upstream", placement.Name, "address", placement.Addr.String(), "born", int64(placement.Incarnation), "version", placement.Version, "resumes", q.info.Resumes, "last_event", q.info.LastEventID, "why", placement.Explanation,
		"table_version", q.table.Version, "list_revision", snapshot.ListPosition.Revision, "waited_ms", time.Since(q.received).Milliseconds())
}

// recordEvent counts an event that was forwarded to the caller.
func (q *request) recordEvent(now time.Time) {
	q.delivered++
	if q.firstEventAt.IsZero() {
		q.firstEventAt = now
	} else {
		q.longestPause = max(q.longestPause, now.Sub(q.lastEventAt))
	}
	q.lastEventAt = now
}

// timeToFirstEvent returns the time from the request to the first event that was
// forwarded to the caller; zero if none was.
func (q *request) timeToFirstEvent() time.Duration {
	if q.firstEventAt.IsZero() {
		return 0
	}
	return q.firstEventAt.Sub(q.received)
}

// logClosed logs the end of a request and counts it in the metrics.
func (g *Gateway) logClosed(q *request, status int, o verdict.Outcome) {
	var route, kind string
	var version uint64
	var target, pauseTarget time.Duration
	if q.route != nil {
		route, kind, version = q.route.Name, q.route.Kind.String(), q.table.Version
		target, pauseTarget = q.route.Target, q.route.PauseTarget
	}
	if o.Reason == verdict.CallerDisconnected && g.aborting.Load() {
		o.Reason, o.Detail = verdict.Stopping, "the instance stopped before the request ended"
	}
	g.Metrics.CountRequest(kind, status, o, time.Since(q.received))
	rank, ranked := q.rank()
	if ranked && status == http.StatusServiceUnavailable && o.Verdict == verdict.NotRun {
		g.Metrics.CountRankRefusal(q.service, rank)
	}
	if q.delivered > 0 {
		g.Metrics.ObserveStream(q.timeToFirstEvent(), q.longestPause)
	}
	g.Log.Emit(event.RequestClosed, "request", q.info.ID, "route", route, "kind", kind, "table_version", version, "team", q.team, "service", q.service, "rank", rank,
		"upstream", q.upstream, "from_member", q.fromMember, "sends", q.sends, "status", status, "verdict", o.Verdict.String(), "reason", o.Reason.String(), "detail", o.Detail,
		"events", q.delivered, "first_event_ms", q.timeToFirstEvent().Milliseconds(), "longest_pause_ms", q.longestPause.Milliseconds(),
		"target_ms", target.Milliseconds(), "pause_target_ms", pauseTarget.Milliseconds(),
		"prompt_tokens", q.info.PromptTokens, "max_output_tokens", q.info.MaxOutputTokens, "ms", time.Since(q.received).Milliseconds())
}
