package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/call"
	"mangoloft/charge"
	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// callTimeout is the maximum time from a call's arrival to its answer.
const callTimeout = 15 * time.Second

// ticketHeader contains a ticket in a request and in its response.
const ticketHeader = "Idempotency-Key"

// chargeRunner runs calls at most once, under tickets.
type chargeRunner interface {
	Mint(team, class string) string
	Run(ctx context.Context, ticket string, r call.Request) charge.Result
}

// explainer fetches the audit records of a request from the request's home, which
// is the instance that received the request.
type explainer interface {
	Explain(ctx context.Context, id ident.Request) ([]json.RawMessage, error)
}

// call forwards a call to a plain service and returns the service's answer.
func (s *server) call(x *exchange) error {
	class, err := x.findClass(x.Param("class"), config.Read, config.Charge)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(x.Request().Body)
	if err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body can't be read: %v", err)
	}
	r := call.Request{
		ID: x.id, Team: x.team, Class: class.Name, ContentType: x.Request().Header.Get(echo.HeaderContentType), Body: body,
		Deadline: x.record.ArrivedAt.Add(callTimeout),
	}
	var answer call.Answer
	if class.Kind == config.Read {
		answer, x.record.Steps, err = s.dispatcher.RunIdempotent(x.Request().Context(), class, r)
	} else {
		answer, err = s.charge(x, r)
	}
	if err != nil {
		return err
	}
	x.record.Upstream = answer.Upstream
	if err := x.Blob(answer.Status, answer.ContentType, answer.Body); err != nil {
		return verdict.Fail(verdict.Ran, verdict.CallerDisconnected, "the caller disconnected before the answer was sent")
	}
	return nil
}

// charge runs a call under the caller's ticket, or under a new one. The response
// contains the ticket for the next request: the same ticket as long as it is
// valid, or its replacement if it is closed and never ran.
func (s *server) charge(x *exchange, r call.Request) (call.Answer, error) {
	ticket := x.Request().Header.Get(ticketHeader)
	if ticket == "" {
		ticket = s.charges.Mint(x.team, r.Class)
	}
	result := s.charges.Run(x.Request().Context(), ticket, r)
	if result.RetryTicket != "" {
		ticket = result.RetryTicket
	}
	x.Response().Header().Set(ticketHeader, ticket)
	x.record.Steps = result.Steps
	return result.Answer, result.Err
}

// mintWire is the body of a request for a ticket.
type mintWire struct {
	Class string `json:"class"`
}

// ticketWire is the body of the response to a request for a ticket.
type ticketWire struct {
	Ticket string `json:"ticket"`
}

// mint issues a ticket before its call, so that the caller has the ticket even if
// the answer to the call is lost.
func (s *server) mint(x *exchange) error {
	var wire mintWire
	if err := json.NewDecoder(x.Request().Body).Decode(&wire); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body is not a ticket request: %v", err)
	}
	class, err := x.findClass(wire.Class, config.Charge)
	if err != nil {
		return err
	}
	return x.JSON(http.StatusOK, ticketWire{s.charges.Mint(x.team, class.Name)})
}

// explanationWire contains the audit records of a request.
type explanationWire struct {
	Records []json.RawMessage `json:"records"`
}

// explain returns the audit records of one of the team's own requests.
func (s *server) explain(x *exchange) error {
	notFound := verdict.Fail(verdict.NotRun, verdict.NotFound, "no such request")
	id, err := ident.ParseRequest(x.Param("id"))
	if err != nil {
		return notFound
	}
	records, err := s.explainer.Explain(x.Request().Context(), id)
	if err != nil {
		return err
	}
	if len(records) == 0 || !ownedBy(records, x.team) {
		return notFound
	}
	return x.JSON(http.StatusOK, explanationWire{records})
}

// ownedBy reports whether the request belongs to the team. The team is named in
// the record that is written when the request ends, so until then only operators
// can see the request's records.
func ownedBy(records []json.RawMessage, team string) bool {
	for _, content := range records {
		var wire struct {
			Record struct {
				Team string `json:"team"`
			} `json:"record"`
		}
		if json.Unmarshal(content, &wire) == nil && wire.Record.Team != "" {
			return wire.Record.Team == team
		}
	}
	return false
}
