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

// callLimit is how long a call may take from its arrival to its answer.
const callLimit = 15 * time.Second

// ticketHeader carries a ticket, in a request and on its answer.
const ticketHeader = "Idempotency-Key"

// charger runs calls that must not be repeated.
type charger interface {
	Mint(team, class string) string
	Run(ctx context.Context, ticket string, r call.Request) charge.Result
}

// explainer finds the audit records of a request, wherever its home is.
type explainer interface {
	Explain(ctx context.Context, id ident.Request) ([]json.RawMessage, error)
}

// call passes a call to a plain service and its answer back.
func (s *server) call(x *exchange) error {
	class, err := x.class(x.Param("class"), config.Read, config.Charge)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(x.Request().Body)
	if err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body can't be read: %v", err)
	}
	r := call.Request{
		ID: x.id, Team: x.team, Class: class.Name, ContentType: x.Request().Header.Get(echo.HeaderContentType), Body: body,
		Deadline: x.record.ArrivedAt.Add(callLimit),
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
		return verdict.Fail(verdict.Ran, verdict.CallerGone, "the caller hung up before the answer")
	}
	return nil
}

// charge runs a call under the caller's ticket, or under a new one. The answer
// names the ticket to go on with: the same one as long as its outcome can be
// asked for, and another when this one is closed and never ran.
func (s *server) charge(x *exchange, r call.Request) (call.Answer, error) {
	text := x.Request().Header.Get(ticketHeader)
	if text == "" {
		text = s.charges.Mint(x.team, r.Class)
	}
	result := s.charges.Run(x.Request().Context(), text, r)
	if result.RetryTicket != "" {
		text = result.RetryTicket
	}
	x.Response().Header().Set(ticketHeader, text)
	x.record.Steps = result.Steps
	return result.Answer, result.Err
}

// mintWire is the body of a request for a ticket, ticketWire its answer.
type mintWire struct {
	Class string `json:"class"`
}

type ticketWire struct {
	Ticket string `json:"ticket"`
}

// mint gives a ticket before its call, so that the caller has it even if the
// call's answer is lost.
func (s *server) mint(x *exchange) error {
	var wire mintWire
	if err := json.NewDecoder(x.Request().Body).Decode(&wire); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body is no ticket request: %v", err)
	}
	class, err := x.class(wire.Class, config.Charge)
	if err != nil {
		return err
	}
	return x.JSON(http.StatusOK, ticketWire{s.charges.Mint(x.team, class.Name)})
}

// explanationWire is a request's audit records.
type explanationWire struct {
	Records []json.RawMessage `json:"records"`
}

// explain tells a team why a request of its own ended as it did.
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

// ownedBy reports whether the request's own record names the team. Until the
// request ends, only operators can see its records.
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
