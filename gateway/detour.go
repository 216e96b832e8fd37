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
	"mangoloft/routing"
	"mangoloft/verdict"
)

// An instance that is cut off from the upstreams of a pool, while others reach them, takes
// a detour: it sends the request to one of these, which serves it like one of its own, but
// never sends it on. To the rest of the gateway the other instance is the upstream.
//
// An instance that does not coordinate a brittle upstream also sends its requests for it to
// the coordinator, which sends them only there.

const (
	// detourHeader marks a request from another instance. Its value is the number of
	// attempts that may have had an effect.
	detourHeader = "Mangoloft-Detour"
	// detourUpstreamHeader names the upstream for which a request was sent to its
	// coordinator.
	detourUpstreamHeader = "Mangoloft-Upstream"
	// detourOutcomeHeader is set in responses to these requests that come from the
	// instance itself. Its value is the verdict and the reason.
	detourOutcomeHeader = "Mangoloft-Outcome"
	// maxDetours is the maximum number of instances to which one request is sent.
	maxDetours = 3
	// maxAdmissions is the maximum number of times that one request is sent to
	// coordinators.
	maxAdmissions = 4
)

// Members are the other instances.
type Members interface {
	// Detours returns the addresses of those that reach the upstreams of a pool, in the
	// order in which to try them. Only those in data centres that allows accepts are
	// considered.
	Detours(pool string, allows func(dataCentre string) bool) []netip.AddrPort
}

// nextDetour returns the next instance to which the request can be sent.
func (g *Gateway) nextDetour(q *request) (netip.AddrPort, bool) {
	if g.Members == nil || q.fromMember || len(q.detours) >= maxDetours {
		return netip.AddrPort{}, false
	}
	for _, addr := range g.Members.Detours(q.service, g.allowsBody(q)) {
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
	header.Del(detourUpstreamHeader) // Callers may send anything.
	if placement.Admits {
		header.Set(detourUpstreamHeader, placement.Name)
	}
	return header
}

// DetourHandler returns a handler that serves the requests of other instances, and leaves
// all others to next.
func (g *Gateway) DetourHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		value := r.Header.Get(detourHeader)
		if value == "" {
			next.ServeHTTP(w, r)
			return
		}
		only := r.Header.Get(detourUpstreamHeader)
		r.Header.Del(detourHeader)
		r.Header.Del(detourUpstreamHeader)
		attempts, err := strconv.Atoi(value)
		if err != nil || attempts < 0 {
			g.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed detour", "address", r.RemoteAddr, "value", value)
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.serve(w, r, &request{fromMember: true, attempts: attempts, only: only})
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
func (g *Gateway) checkDetour(q *request, placement dispatch.Placement, response *http.Response) error {
	value := response.Header.Get(detourOutcomeHeader)
	if value == "" {
		if !placement.Admits {
			q.useAllAttempts()
		}
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

// endDetour records the end of an attempt at another instance. failed reports whether it
// failed or the upstream responded with an error.
func (g *Gateway) endDetour(q *request, placement dispatch.Placement, failed bool, err error) {
	o := verdict.OutcomeOf(err)
	switch {
	case placement.Admits:
		g.endAdmission(q, placement, failed, o)
	case o.Verdict != verdict.NotRun:
		q.useAllAttempts()
	}
	if err != nil {
		g.Metrics.CountFailedSend(q.service, o.Reason)
		g.Log.Emit(event.AttemptEnded, "request", q.info.ID, "upstream", placement.Name, "address", placement.Addr.String(), "status", 0,
			"verdict", o.Verdict.String(), "reason", o.Reason.String(), "detail", o.Detail, "why", placement.Explanation, "ms", time.Since(q.received).Milliseconds())
	}
}

// endAdmission records the end of an attempt at the coordinator of an upstream.
func (g *Gateway) endAdmission(q *request, placement dispatch.Placement, failed bool, o verdict.Outcome) {
	q.admissions++
	if o.Reason == verdict.UpstreamUnreachable {
		g.Dispatcher.ReportCoordinatorFailed(decide.CoordinatorFailed{Upstream: placement.Name, Coordinator: placement.Addr})
		return
	}
	if failed {
		q.excluded = append(q.excluded, placement.Name)
	}
	if o.Verdict == verdict.NotRun && o.Reason != verdict.UpstreamRefused {
		// The coordinator had no room, so no upstream has received it.
		q.lastAttemptUnsent = true
	}
}

// canUseCoordinator reports whether the request can be sent to the coordinator of an
// upstream.
func (g *Gateway) canUseCoordinator(q *request) bool {
	return g.Members != nil && !q.fromMember && q.route.Kind != routing.Streaming
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
		"admits", placement.Admits, "upstream", q.upstream, "why", placement.Explanation, "attempts", q.attempts, "waited_ms", time.Since(q.received).Milliseconds())
}
