package gateway

import (
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/verdict"
)

// An instance that is cut off from the upstreams of a pool, while others reach them, takes
// a detour: it sends the request to one of these, which serves it like one of its own, but
// never sends it on. To the rest of the gateway the other instance is the upstream.

const (
	// detourHeader marks a request from another instance. Its value is the number of
	// attempts that may have had an effect.
	detourHeader = "Mangoloft-Detour"
	// detourOutcomeHeader is set in responses to these requests that come from the
	// instance itself. Its value is the verdict and the reason.
	detourOutcomeHeader = "Mangoloft-Outcome"
	// maxDetours is the maximum number of instances to which one request is sent.
	maxDetours = 3
)

// Members are the other instances.
type Members interface {
	// Detours returns the addresses of those that reach the upstreams of a pool, in the
	// order in which to try them.
	Detours(pool string) []netip.AddrPort
}

// nextDetour returns the next instance to which the request can be sent.
func (g *Gateway) nextDetour(q *request) (netip.AddrPort, bool) {
	if g.Members == nil || q.fromMember || len(q.detours) >= maxDetours {
		return netip.AddrPort{}, false
	}
	for _, addr := range g.Members.Detours(q.service) {
		if !slices.Contains(q.detours, addr) {
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

// placeAtMember returns a placement at another instance, or the refusal if there is none.
func (g *Gateway) placeAtMember(q *request, refusal error) (dispatch.Placement, error) {
	addr, ok := g.nextDetour(q)
	if !ok {
		return dispatch.Placement{}, refusal
	}
	q.detours = append(q.detours, addr)
	return dispatch.Placement{Detour: true, Upstream: decide.Upstream{Name: addr.String(), Addr: addr}, Explanation: verdict.OutcomeOf(refusal).Detail}, nil
}

// outgoingHeader returns the headers of a request for a placement.
func (g *Gateway) outgoingHeader(q *request, placement dispatch.Placement, info AttemptInfo) http.Header {
	if !placement.Detour {
		return g.Protocol.UpstreamHeader(q.callerHeader, info, time.Now())
	}
	header := g.Protocol.MemberHeader(q.callerHeader, info, time.Now())
	header.Set(detourHeader, strconv.Itoa(q.attempts))
	return header
}

// DetourHandler returns a handler that serves the requests of other instances that are cut
// off, and leaves all others to next.
func (g *Gateway) DetourHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value := r.Header.Get(detourHeader)
		if value == "" {
			next.ServeHTTP(w, r)
			return
		}
		r.Header.Del(detourHeader)
		attempts, err := strconv.Atoi(value)
		if err != nil || attempts < 0 {
			g.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed detour", "address", r.RemoteAddr, "value", value)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.serve(w, r, &request{fromMember: true, attempts: attempts})
	})
}

// callerHeader returns the headers of an upstream's response for the caller.
func (g *Gateway) callerHeader(h http.Header) http.Header {
	header := g.Protocol.CallerHeader(h)
	header.Del(detourOutcomeHeader)
	return header
}

// setDetourOutcome tells the instance that sent the request that the response is this
// instance's own.
func (q *request) setDetourOutcome(h http.Header, o verdict.Outcome) {
	if q.fromMember {
		h.Set(detourOutcomeHeader, o.Verdict.String()+" "+o.Reason.String())
	}
}

// checkDetour returns an error unless a response of another instance is that of an
// upstream.
func (g *Gateway) checkDetour(q *request, response *http.Response) error {
	value := response.Header.Get(detourOutcomeHeader)
	if value == "" {
		q.useAllAttempts()
		return checkResponse(response, g.Protocol.ParseResponse(response.StatusCode, response.Header, time.Now()), q.info.ID)
	}
	o := verdict.Outcome{Verdict: verdict.MayHaveRun, Reason: verdict.UpstreamLost}
	verdictName, reasonName, _ := strings.Cut(value, " ")
	if verdictName == verdict.NotRun.String() {
		o.Verdict = verdict.NotRun
	}
	if err := o.Reason.UnmarshalText([]byte(reasonName)); err != nil {
		return verdict.Fail(o.Verdict, verdict.UpstreamLost, "the other instance answered: %v", err)
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds >= 0 && seconds < maxDetourRetryAfter.Seconds() {
		o.RetryAt = time.Now().Add(time.Duration(seconds * float64(time.Second)))
	}
	return verdict.FailAt(o.Verdict, o.Reason, o.RetryAt, "the other instance answered %s: %s", response.Status, o.Reason)
}

// maxDetourRetryAfter is the maximum Retry-After of another instance that is passed on.
const maxDetourRetryAfter = time.Hour

// useAllAttempts records that another instance has used the attempts that the route allows.
func (q *request) useAllAttempts() { q.attempts = max(q.attempts, 1, q.route.MaxAttempts) }

// endDetour records the end of an attempt at another instance.
func (g *Gateway) endDetour(q *request, placement dispatch.Placement, err error) {
	o := verdict.OutcomeOf(err)
	if o.Verdict != verdict.NotRun {
		q.useAllAttempts()
	}
	if err != nil {
		g.Metrics.CountFailedSend(q.service, o.Reason)
		g.Log.Emit(event.AttemptEnded, "request", q.info.ID, "upstream", placement.Name, "address", placement.Addr.String(), "status", 0,
			"verdict", o.Verdict.String(), "reason", o.Reason.String(), "detail", o.Detail, "why", placement.Explanation, "ms", time.Since(q.received).Milliseconds())
	}
}

// canDetour reports whether the request can be sent to another instance, if this one is cut
// off.
func (g *Gateway) canDetour(q *request) bool {
	if !slices.Contains(g.Dispatcher.Snapshot().LostPools, q.service) {
		return false
	}
	_, ok := g.nextDetour(q)
	return ok
}

// logDetour logs that a request is about to be sent to another instance.
func (g *Gateway) logDetour(q *request, placement dispatch.Placement) {
	g.Metrics.CountSend(q.service)
	g.Log.Emit(event.RequestDetoured, "request", q.info.ID, "route", q.route.Name, "kind", q.route.Kind.String(), "service", q.service, "member", placement.Addr.String(),
		"why", placement.Explanation, "attempts", q.attempts, "waited_ms", time.Since(q.received).Milliseconds())
}
