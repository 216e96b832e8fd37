package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/relay"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

const (
	// maxStarts bounds how often a generation is begun before its first token.
	maxStarts = 3
	// progressTokens is after how many tokens the scheduler is told again.
	progressTokens = 32
	// bytesPerToken estimates a prompt's tokens; the tokenizer is the engine's.
	bytesPerToken = 4
	// cancelLimit bounds the cancelling of a generation.
	cancelLimit = 2 * time.Second
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
	var out output = &wholeOutput{x: x}
	if wire.Stream {
		out = &sseOutput{x: x}
	}
	g := &generation{server: s, x: x, class: class, out: out}
	return g.run(x.Request().Context(), wire)
}

func (s *server) resume(x *exchange, reference string) error {
	stream, next, err := s.rt.Keyring.VerifyStream(reference)
	if err != nil {
		return verdict.Fail(verdict.NotRun, verdict.BadRequest, "Last-Event-ID is not a stream reference: %v", err)
	}
	if stream.Team != x.team {
		return verdict.Fail(verdict.NotRun, verdict.NotFound, "no such stream")
	}
	x.record.Class, x.record.FirstIndex = stream.Class, next
	x.record.Upstream, x.record.Generation = stream.Upstream, stream.Generation
	s.rt.Trail.Append(event.StreamResumed, stream.Request.String(), resumeRecord{stream.Request.String(), x.record.ID, stream.Generation, next})
	out := &sseOutput{x: x}
	out.begin(s.rt.Keyring.SignStream(stream), next)
	g := &generation{server: s, x: x, out: out}
	return g.relay(x.Request().Context(), nil, stream, next)
}

// resumeRecord is the audit record of a reader that came back.
type resumeRecord struct {
	ID         string `json:"id"`
	ResumedAs  string `json:"resumed_as"`
	Generation string `json:"generation"`
	Next       int    `json:"next"`
}

// output writes a completion to its reader.
type output interface {
	// begin says which stream the tokens from index next belong to.
	begin(r ticket.Referrer, next int)
	token(t relay.Token) error
	finish(reason string) error
	// fail ends a completion whose answer has begun.
	fail(o verdict.Outcome)
}

// generation is one completion on its way to its reader.
type generation struct {
	*server
	x     *exchange
	class config.Class
	out   output
}

// run begins the generation, on another engine if need be, and relays it.
func (g *generation) run(ctx context.Context, wire completionWire) error {
	asked := decide.Request{ID: g.x.id, Team: g.x.team, Class: g.class, PromptTokens: len(wire.Prompt)/bytesPerToken + 1}
	if g.class.Wait > 0 {
		asked.StartBy = g.x.record.ArrivedAt.Add(g.class.Wait)
	}
	var err error
	for start := range maxStarts {
		var place decide.Place
		place, err = g.rt.Place(ctx, asked)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("%s.%d", g.x.record.ID, start)
		g.x.record.Steps = append(g.x.record.Steps, fmt.Sprintf("sent to %s: %s", place.Upstream.Name, place.Why))
		g.x.record.Upstream, g.x.record.Generation = place.Upstream.Name, name
		stream := ticket.Stream{
			Request: g.x.id, Generation: name, Upstream: place.Upstream.Name, Addr: place.Upstream.Addr,
			Team: g.x.team, Class: g.class.Name,
		}
		var feed relay.Feed
		feed, err = g.engine.Start(ctx, place.Upstream.Addr, relay.Spec{
			Generation: name, Model: g.class.Model, Prompt: wire.Prompt, MaxTokens: wire.MaxTokens, Priority: place.Priority,
		})
		if err == nil {
			g.out.begin(g.rt.Keyring.SignStream(stream), 0)
			err = g.relay(ctx, feed, stream, 0)
		}
		outcome := verdict.Of(err)
		g.rt.Send(control.Scheduling{Event: decide.Ended{ID: g.x.id, Tokens: g.x.record.Tokens, Outcome: outcome}})
		if err == nil || g.x.record.Tokens > 0 || ctx.Err() != nil {
			return err
		}
		// No token was delivered, so another generation can't be noticed.
		g.cancel(stream)
		g.x.record.Steps = append(g.x.record.Steps, fmt.Sprintf("%s failed before the first token: %s", stream.Upstream, outcome.Detail))
		g.rt.Send(control.Scheduling{Event: decide.Failed{Upstream: stream.Upstream, Reason: outcome.Reason}})
		asked.Avoid = append(asked.Avoid, stream.Upstream)
	}
	return err
}

// relay passes the tokens from index next on until the generation ends.
func (g *generation) relay(ctx context.Context, feed relay.Feed, stream ticket.Stream, next int) error {
	r := &relay.Stream{Engine: g.engine, Addr: stream.Addr, Generation: stream.Generation, Next: next, Reader: g}
	finish, err := r.Run(ctx, feed)
	if err == nil {
		return g.out.finish(finish)
	}
	if errors.Is(err, relay.ErrReaderGone) || ctx.Err() != nil {
		g.cancel(stream)
		return verdict.Fail(verdict.Ran, verdict.CallerGone, "the reader left after %d tokens", r.Next)
	}
	if g.x.record.Tokens > 0 || g.x.Response().Committed {
		g.out.fail(verdict.Of(err))
	}
	return err
}

// Token implements relay.Reader.
func (g *generation) Token(t relay.Token) error {
	if err := g.out.token(t); err != nil {
		return err
	}
	if g.x.record.FirstAt.IsZero() {
		g.x.record.FirstAt = time.Now()
	}
	g.x.record.Tokens++
	if g.x.record.Tokens%progressTokens == 0 {
		g.rt.Send(control.Scheduling{Event: decide.Progressed{ID: g.x.id, Tokens: g.x.record.Tokens}})
	}
	return nil
}

// cancel frees the engine from a generation that nobody reads.
func (g *generation) cancel(stream ticket.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	if err := g.engine.Cancel(ctx, stream.Addr, stream.Generation); err != nil {
		g.x.record.Steps = append(g.x.record.Steps, "cancel: "+verdict.Of(err).Detail)
	}
}

// choiceWire and chunkWire are the completions shape of stock clients.
type choiceWire struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

type chunkWire struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []choiceWire `json:"choices"`
}

func (x *exchange) chunk(text, finish string) chunkWire {
	choice := choiceWire{Text: text}
	if finish != "" {
		choice.FinishReason = &finish
	}
	return chunkWire{x.record.ID, "text_completion", x.record.ArrivedAt.Unix(), x.record.Class, []choiceWire{choice}}
}

// wholeOutput gathers a completion and answers it at once.
type wholeOutput struct {
	x    *exchange
	text strings.Builder
}

func (o *wholeOutput) begin(ticket.Referrer, int) {}

func (o *wholeOutput) token(t relay.Token) error {
	o.text.WriteString(t.Text)
	return nil
}

func (o *wholeOutput) finish(reason string) error {
	return o.x.JSON(http.StatusOK, o.x.chunk(o.text.String(), reason))
}

func (o *wholeOutput) fail(verdict.Outcome) {} // The answer has not begun, so the error itself is answered.

// sseOutput streams a completion as server-sent events. Each id is a
// reference from which any instance can go on.
type sseOutput struct {
	x       *exchange
	refer   ticket.Referrer
	next    int
	started bool
}

func (o *sseOutput) begin(r ticket.Referrer, next int) {
	o.refer, o.next = r, next
	header := o.x.Response().Header()
	header.Set(echo.HeaderContentType, "text/event-stream")
	header.Set(echo.HeaderCacheControl, "no-store")
	if !o.started {
		o.x.Response().WriteHeader(http.StatusOK)
		o.started = true
	}
	// An event without data sets the reader's last event id and nothing else.
	_ = o.write("id: " + o.refer.At(next) + "\n\n")
}

// write sends one event. A reader that doesn't take it in time is gone.
func (o *sseOutput) write(text string) error {
	control := http.NewResponseController(o.x.Response())
	if err := control.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return err
	}
	if _, err := o.x.Response().Write([]byte(text)); err != nil {
		return err
	}
	return control.Flush()
}

// writeLimit is how long a reader may take for one event.
const writeLimit = 10 * time.Second

func (o *sseOutput) token(t relay.Token) error {
	content, err := json.Marshal(o.x.chunk(t.Text, ""))
	if err != nil {
		return err
	}
	o.next = t.Index + 1
	return o.write("id: " + o.refer.At(o.next) + "\ndata: " + string(content) + "\n\n")
}

func (o *sseOutput) finish(reason string) error {
	content, err := json.Marshal(o.x.chunk("", reason))
	if err != nil {
		return err
	}
	return o.write("data: " + string(content) + "\n\ndata: [DONE]\n\n")
}

func (o *sseOutput) fail(outcome verdict.Outcome) {
	failure := o.x.failure(outcome)
	failure.Error.Delivered = &o.next
	content, err := json.Marshal(failure)
	if err != nil {
		return
	}
	_ = o.write("event: error\ndata: " + string(content) + "\n\n")
}
