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

// completionWire is the body of a completion request. Other fields that
// off-the-shelf clients send are ignored.
type completionWire struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// complete starts a generation, or resumes the stream that Last-Event-ID refers
// to.
func (s *server) complete(x *exchange) error {
	if reference := x.Request().Header.Get("Last-Event-ID"); reference != "" {
		return s.resume(x, reference)
	}
	var wire completionWire
	if err := json.NewDecoder(x.Request().Body).Decode(&wire); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "the body is not a completion request: %v", err)
	}
	class, err := x.findClass(wire.Model, config.Stream)
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
	if err := x.clearReadDeadline(); err != nil {
		return err
	}
	g := newGeneration(s, x)
	if wire.Stream {
		return g.deliver(newSSEOutput(x), func() error { return g.start(class, wire) })
	}
	return g.deliver(&bufferedOutput{x: x}, func() error { return g.start(class, wire) })
}

// resume continues the stream that the reference identifies.
func (s *server) resume(x *exchange, reference string) error {
	stream, next, err := s.rt.Keyring.VerifyReference(reference)
	if err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "Last-Event-ID is not a stream reference: %v", err)
	}
	if stream.Team != x.team {
		return verdict.Fail(verdict.NotRun, verdict.NotFound, "no such stream")
	}
	if err := x.clearReadDeadline(); err != nil {
		return err
	}
	x.record.Class, x.record.FirstIndex = stream.Class, next
	x.record.Upstream, x.record.Generation = stream.Upstream, stream.Generation
	s.rt.Trail.Append(event.StreamResumed, stream.Request.String(), resumeRecord{stream.Request.String(), x.record.ID, stream.Generation, next})
	g := newGeneration(s, x)
	return g.deliver(newSSEOutput(x), func() error { return g.resumeFrom(stream, next) })
}

// resumeRecord is the audit record of a resumed stream.
type resumeRecord struct {
	ID         string `json:"id"`
	ResumedAs  string `json:"resumed_as"`
	Generation string `json:"generation"`
	Next       int    `json:"next"`
}

// clearReadDeadline removes the deadline for reading the request, which has been
// read in full. The server keeps reading from the connection to detect a
// disconnect, so the deadline would abort every response that takes longer.
func (x *exchange) clearReadDeadline() error {
	if err := http.NewResponseController(x.Response()).SetReadDeadline(time.Time{}); err != nil {
		return verdict.Fail(verdict.NotRun, verdict.Internal, "read deadline: %v", err)
	}
	return nil
}

// streamPosition is a position in a stream: the signer of the stream's references
// and the index of the next token.
type streamPosition struct {
	references *ticket.ReferenceSigner
	next       int
}
