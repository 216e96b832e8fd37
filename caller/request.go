package caller

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/config"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/metrics"
	"mangoloft/verdict"
)

// requestIDHeader contains the request's id in every response.
const requestIDHeader = "X-Request-Id"

// overloadBackoff is the Retry-After of a request that was refused because the
// instance has too many requests open.
const overloadBackoff = 1 * time.Second

// exchange is one request of an authenticated team, and its response.
type exchange struct {
	echo.Context
	id   ident.Request
	team string
	// view is the configuration that applies to the request.
	view   *config.View
	record record
}

// record is the audit record of a request.
type record struct {
	ID         string          `json:"id"`
	Team       string          `json:"team"`
	Class      string          `json:"class,omitempty"`
	Route      string          `json:"route"`
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	Detail     string          `json:"detail,omitempty"`
	Upstream   string          `json:"upstream,omitempty"`
	Generation string          `json:"generation,omitempty"`
	// Tokens counts the tokens written to the reader for this request.
	Tokens int `json:"tokens"`
	// FirstIndex is the index of the first of these tokens. It is above 0 only for
	// a resumed stream.
	FirstIndex int       `json:"first_index"`
	Steps      []string  `json:"steps,omitempty"`
	ArrivedAt  time.Time `json:"arrived_at"`
	FirstAt    time.Time `json:"first_token_at,omitzero"`
	EndedAt    time.Time `json:"ended_at"`
}

// request wraps a handler: it admits and authenticates the request, writes the
// response for an error, counts the outcome and writes the audit record.
func (s *server) request(handle func(*exchange) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := &exchange{Context: c, id: s.rt.NewRequest()}
		x.record = record{ID: x.id.String(), Route: c.Path(), ArrivedAt: time.Now()}
		c.Response().Header().Set(requestIDHeader, x.id.String())
		err := s.admit(x, handle)
		outcome := x.downgradeUnproven(verdict.OutcomeOf(err))
		x.record.Verdict, x.record.Reason, x.record.Detail = outcome.Verdict, outcome.Reason, outcome.Detail
		x.record.EndedAt = time.Now()
		metrics.CountRequest(outcome)
		s.rt.Trail.Append(event.RequestEnded, x.record.ID, x.record)
		if err != nil && !c.Response().Committed {
			return x.writeFailure(outcome)
		}
		return nil
	}
}

// downgradeUnproven changes a verdict NotRun that is not proved to MayHaveRun. The
// refusal of a call under a ticket covers this request only: an earlier request
// may have run the ticket's call, and a caller that gets not_run may charge again
// under another ticket. NotRun is proved by the ledger in which the ticket's home
// records which tickets ran, or by a key with which this team can't have run a
// call.
func (x *exchange) downgradeUnproven(o verdict.Outcome) verdict.Outcome {
	ticket := x.Request().Header.Get(ticketHeader)
	if o.Verdict != verdict.NotRun || x.Path() != callsPath || ticket == "" {
		return o
	}
	responseTicket := x.Response().Header().Get(ticketHeader)
	replaced := responseTicket != "" && responseTicket != ticket
	switch o.Reason {
	case verdict.TicketClosed, verdict.TicketExpired, verdict.ForeignKey, verdict.UnknownTeam, verdict.BadRequest:
		return o
	}
	if replaced {
		return o
	}
	x.Response().Header().Set(ticketHeader, ticket)
	o.Verdict = verdict.MayHaveRun
	o.Detail += "; this request had no effect, but an earlier one may have run the ticket's call: retry with the same ticket"
	return o
}

// admit checks that the instance can serve the request, authenticates the team and
// calls handle.
func (s *server) admit(x *exchange, handle func(*exchange) error) error {
	kind := x.kind()
	switch s.rt.Requests.Begin(kind) {
	case kernel.Admitted:
	case kernel.Full:
		return verdict.FailAt(verdict.NotRun, verdict.Overloaded, time.Now().Add(overloadBackoff), "this instance has as many open requests as its settings allow")
	case kernel.Stopping:
		return verdict.FailAt(verdict.NotRun, verdict.Stopping, time.Now(), "this instance is stopping; retry at another instance")
	}
	defer s.rt.Requests.End(kind)
	x.view = s.rt.Snapshot().Config
	if x.view == nil {
		return verdict.FailAt(verdict.NotRun, verdict.NotConfigured, time.Now().Add(time.Second), "this instance has no configuration yet")
	}
	credential, _ := strings.CutPrefix(x.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	team, ok := x.view.Team(credential)
	if !ok {
		return verdict.Fail(verdict.NotRun, verdict.UnknownTeam, "the Authorization header has no known credential")
	}
	x.team, x.record.Team = team, team
	return handle(x)
}

// kind returns the kind of work that the request counts as in a planned stop.
func (x *exchange) kind() kernel.RequestKind {
	if x.Path() == completionsPath {
		return kernel.Stream
	}
	return kernel.Call
}

// findClass returns the named class if it is of one of the kinds.
func (x *exchange) findClass(name string, kinds ...config.Kind) (config.Class, error) {
	class, ok := x.view.Classes[name]
	if ok {
		x.record.Class = name
		for _, kind := range kinds {
			if class.Kind == kind {
				return class, nil
			}
		}
	}
	return config.Class{}, verdict.Fail(verdict.NotRun, verdict.UnknownClass, "there is no class %q for this kind of request", name)
}

// failureWire is the body of every error response.
type failureWire struct {
	Error failureBody `json:"error"`
}

type failureBody struct {
	RequestID string          `json:"request_id"`
	Verdict   verdict.Verdict `json:"verdict"`
	Reason    verdict.Reason  `json:"reason"`
	Message   string          `json:"message"`
	// Delivered counts the tokens delivered before the failure.
	Delivered *int `json:"delivered,omitempty"`
}

func (x *exchange) failure(o verdict.Outcome) failureWire {
	return failureWire{failureBody{RequestID: x.record.ID, Verdict: o.Verdict, Reason: o.Reason, Message: o.Detail}}
}

func (x *exchange) writeFailure(o verdict.Outcome) error {
	if !o.RetryAt.IsZero() {
		seconds := max(0, math.Ceil(time.Until(o.RetryAt).Seconds()))
		x.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return x.JSON(statusOf(o.Reason), x.failure(o))
}

// statusOf returns the HTTP status for a reason.
func statusOf(r verdict.Reason) int {
	switch r {
	case verdict.BadRequest:
		return http.StatusBadRequest
	case verdict.UnknownTeam:
		return http.StatusUnauthorized
	case verdict.UnknownClass, verdict.NotFound:
		return http.StatusNotFound
	case verdict.ForeignKey, verdict.TicketExpired:
		return http.StatusUnprocessableEntity
	case verdict.AlreadyRan, verdict.TicketClosed:
		return http.StatusConflict
	case verdict.Overloaded, verdict.WaitExpired:
		return http.StatusTooManyRequests
	case verdict.NotConfigured, verdict.NoUpstream, verdict.Stopping, verdict.UpstreamRefused, verdict.UpstreamLeaving, verdict.UpstreamUnreachable, verdict.PromptContained, verdict.RequestContained, verdict.CutOff, verdict.Evacuated:
		return http.StatusServiceUnavailable
	case verdict.GenerationLost:
		return http.StatusGone
	case verdict.HomeUnavailable, verdict.UpstreamLost, verdict.UpstreamFailed, verdict.AnswerMismatch:
		return http.StatusBadGateway
	case verdict.Internal, verdict.Completed, verdict.CallerDisconnected:
	}
	return http.StatusInternalServerError
}

// limitBody refuses bodies above the limit, with or without a Content-Length.
func (s *server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.rt.Settings.Limits.BodyBytes)
		return next(c)
	}
}

// routingError writes the response to a request that failed outside the handlers,
// such as one without a route.
func (s *server) routingError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	status := http.StatusInternalServerError
	if httpError, ok := err.(*echo.HTTPError); ok {
		status = httpError.Code
	}
	body := failureBody{Verdict: verdict.NotRun, Reason: verdict.NotFound, Message: http.StatusText(status)}
	if status == http.StatusInternalServerError {
		body.Verdict, body.Reason = verdict.MayHaveRun, verdict.Internal
	}
	// Writing fails only if the caller disconnected.
	_ = c.JSON(status, failureWire{body})
}
