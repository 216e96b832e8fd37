package caller

import (
	"encoding/json"
	"net/http"
	"time"

	"mangoloft/config"
	"mangoloft/event"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

// completionWire is the body of a request for a completion. Other fields that
// stock clients send are ignored.
type completionWire struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// complete begins a generation, or goes on with the one that Last-Event-ID
// refers to.
func (s *server) complete(x *exchange) error {
	if reference := x.Request().Header.Get("Last-Event-ID"); reference != "" {
		return s.resume(x, reference)
	}
	var wire completionWire
	if err := json.NewDecoder(x.Request().Body).Decode(&wire); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body is no completion request: %v", err)
	}
	class, err := x.class(wire.Model, config.Stream)
	if err != nil {
		return err
	}
	if wire.Prompt == "" {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "prompt is empty")
	}
	if wire.MaxTokens < 0 || wire.MaxTokens > class.MaxOutputTokens {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "max_tokens is %d; class %s allows 1 to %d", wire.MaxTokens, class.Name, class.MaxOutputTokens)
	}
	if wire.MaxTokens == 0 {
		wire.MaxTokens = class.MaxOutputTokens
	}
	if err := x.allowLongAnswer(); err != nil {
		return err
	}
	g := newGeneration(s, x)
	if wire.Stream {
		return g.deliver(newSSEOutput(x), func() error { return g.start(class, wire) })
	}
	return g.deliver(&wholeOutput{x: x}, func() error { return g.start(class, wire) })
}

func (s *server) resume(x *exchange, reference string) error {
	stream, next, err := s.rt.Keyring.VerifyReference(reference)
	if err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "Last-Event-ID is not a stream reference: %v", err)
	}
	if stream.Team != x.team {
		return verdict.Fail(verdict.NotRun, verdict.NotFound, "no such stream")
	}
	if err := x.allowLongAnswer(); err != nil {
		return err
	}
	x.record.Class, x.record.FirstIndex = stream.Class, next
	x.record.Upstream, x.record.Generation = stream.Upstream, stream.Generation
	s.rt.Trail.Append(event.StreamResumed, stream.Request.String(), resumeRecord{stream.Request.String(), x.record.ID, stream.Generation, next})
	g := newGeneration(s, x)
	return g.deliver(newSSEOutput(x), func() error { return g.goOn(stream, next) })
}

// resumeRecord is the audit record of a reader that came back.
type resumeRecord struct {
	ID         string `json:"id"`
	ResumedAs  string `json:"resumed_as"`
	Generation string `json:"generation"`
	Next       int    `json:"next"`
}

// allowLongAnswer lifts the deadline for reading the request, which is read.
// The server watches the connection for a hang-up by reading on, so that the
// deadline would end every answer that takes longer.
func (x *exchange) allowLongAnswer() error {
	if err := http.NewResponseController(x.Response()).SetReadDeadline(time.Time{}); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.Internal, "read deadline: %v", err)
	}
	return nil
}

// beginning says which stream the tokens from index next on belong to.
type beginning struct {
	refer *ticket.ReferenceSigner
	next  int
}
