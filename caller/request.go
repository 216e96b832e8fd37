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

// requestIDHeader carries the request's id on every answer.
const requestIDHeader = "X-Request-Id"

// fullBackoff is when a request may come back that met a full instance.
const fullBackoff = 1 * time.Second

// exchange is one request of a known team.
type exchange struct {
	echo.Context
	id     ident.Request
	team   string
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
	// Tokens counts the tokens that reached the reader, FirstToken those it
	// had before, when it resumed.
	Tokens     int       `json:"tokens"`
	FirstIndex int       `json:"first_index"`
	Steps      []string  `json:"steps,omitempty"`
	ArrivedAt  time.Time `json:"arrived_at"`
	FirstAt    time.Time `json:"first_token_at,omitzero"`
	EndedAt    time.Time `json:"ended_at"`
}

// request wraps a handler: it counts the request, knows its team, answers
// its error and writes its audit record.
func (s *server) request(handle func(*exchange) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		x := &exchange{Context: c, id: s.rt.NewRequest()}
		x.record = record{ID: x.id.String(), Route: c.Path(), ArrivedAt: time.Now()}
		c.Response().Header().Set(requestIDHeader, x.id.String())
		err := s.admit(x, handle)
		outcome := x.provable(verdict.Of(err))
		x.record.Verdict, x.record.Reason, x.record.Detail = outcome.Verdict, outcome.Reason, outcome.Detail
		x.record.EndedAt = time.Now()
		metrics.RequestEnded(outcome)
		s.rt.Trail.Append(event.RequestEnded, x.record.ID, x.record)
		if err != nil && !c.Response().Committed {
			return x.fail(outcome)
		}
		return nil
	}
}

// provable takes back a not_run that nothing proves. A refusal of a call under a
// ticket speaks of this request only: the ticket's call may have run before, and
// a caller who reads not_run may charge again under another ticket. Proof is the
// word of the ticket's ledger, or a key that can't have run for this team.
func (x *exchange) provable(o verdict.Outcome) verdict.Outcome {
	ticket := x.Request().Header.Get(ticketHeader)
	if o.Verdict != verdict.NotRun || x.Path() != callsPath || ticket == "" {
		return o
	}
	answered := x.Response().Header().Get(ticketHeader)
	closed := answered != "" && answered != ticket
	switch o.Reason {
	case verdict.TicketClosed, verdict.TicketExpired, verdict.ForeignKey, verdict.UnknownTeam, verdict.BadRequest:
		return o
	}
	if closed {
		return o
	}
	x.Response().Header().Set(ticketHeader, ticket)
	o.Verdict = verdict.MayHaveRun
	o.Detail += "; this request did nothing, but the ticket's call may have run before: ask again with the same ticket"
	return o
}

func (s *server) admit(x *exchange, handle func(*exchange) error) error {
	kind := x.kind()
	switch s.rt.Requests.Begin(kind) {
	case kernel.Admitted:
	case kernel.Full:
		return verdict.FailAt(verdict.NotRun, verdict.Overloaded, time.Now().Add(fullBackoff), "this instance has as many requests open as its settings allow")
	case kernel.Stopping:
		return verdict.FailAt(verdict.NotRun, verdict.Stopping, time.Now(), "this instance is stopping; ask another")
	}
	defer s.rt.Requests.End(kind)
	x.view = s.rt.Snapshot().Config
	if x.view == nil {
		return verdict.FailAt(verdict.NotRun, verdict.NotConfigured, time.Now().Add(time.Second), "this instance has no configuration yet")
	}
	credential, _ := strings.CutPrefix(x.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	team, ok := x.view.Team(credential)
	if !ok {
		return verdict.Fail(verdict.NotRun, verdict.UnknownTeam, "the Authorization header holds no known credential")
	}
	x.team, x.record.Team = team, team
	return handle(x)
}

// kind tells the planned stop what to wait for.
func (x *exchange) kind() kernel.RequestKind {
	if x.Path() == completionsPath {
		return kernel.Stream
	}
	return kernel.Call
}

// class returns the named class, which must be of one of the kinds.
func (x *exchange) class(name string, kinds ...config.Kind) (config.Class, error) {
	class, ok := x.view.Classes[name]
	if ok {
		x.record.Class = name
		for _, kind := range kinds {
			if class.Kind == kind {
				return class, nil
			}
		}
	}
	return config.Class{}, verdict.Fail(verdict.NotRun, verdict.UnknownClass, "no class %q is served here", name)
}

// failureWire is the body of every answer that is not a success.
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

func (x *exchange) fail(o verdict.Outcome) error {
	if !o.RetryAt.IsZero() {
		seconds := max(0, math.Ceil(time.Until(o.RetryAt).Seconds()))
		x.Response().Header().Set(echo.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	return x.JSON(statusOf(o.Reason), x.failure(o))
}

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
	case verdict.NotConfigured, verdict.NoUpstream, verdict.Stopping, verdict.UpstreamRefused, verdict.UpstreamLeaving, verdict.UpstreamUnreachable:
		return http.StatusServiceUnavailable
	case verdict.GenerationLost:
		return http.StatusGone
	case verdict.HomeGone, verdict.UpstreamLost, verdict.UpstreamFailed, verdict.AnswerMismatch:
		return http.StatusBadGateway
	case verdict.Internal, verdict.Completed, verdict.CallerGone:
	}
	return http.StatusInternalServerError
}

// limitBody refuses bodies beyond the limit, declared or not.
func (s *server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		r.Body = http.MaxBytesReader(c.Response(), r.Body, s.rt.Settings.Limits.BodyBytes)
		return next(c)
	}
}

// routingError answers what no handler took.
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
	// A caller that hung up doesn't get the answer.
	_ = c.JSON(status, failureWire{body})
}
