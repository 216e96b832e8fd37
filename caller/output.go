package caller

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/labstack/echo/v4"

	"mangoloft/relay"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

// output writes a completion to its reader. An error means that the reader
// disconnected.
type output interface {
	begin(p streamPosition) error
	token(t relay.Token) error
	finish(reason string) error
	// flush sends the buffered output.
	flush() error
	heartbeat() error
	// fail reports the failure of a completion whose response has started.
	fail(o verdict.Outcome)
}

// choiceWire and chunkWire are the response format of the completions API that
// off-the-shelf clients use.
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

// bufferedOutput collects a completion and sends it as one response.
type bufferedOutput struct {
	x    *exchange
	text strings.Builder
}

func (o *bufferedOutput) begin(streamPosition) error { return nil }

func (o *bufferedOutput) token(t relay.Token) error {
	o.text.WriteString(t.Text)
	return nil
}

func (o *bufferedOutput) finish(reason string) error {
	return o.x.JSON(http.StatusOK, o.x.chunk(o.text.String(), reason))
}

func (o *bufferedOutput) flush() error { return nil }

func (o *bufferedOutput) heartbeat() error { return nil }

func (o *bufferedOutput) fail(verdict.Outcome) {} // The response has not started, so the handler's error becomes the response.

// writeTimeout is the maximum time that a write can block because the reader doesn't
// read. After that the reader counts as disconnected.
const writeTimeout = 10 * time.Second

// writeDeadlineSlack is the maximum time by which the timeout of a write is shorter
// than writeTimeout, because setting a deadline for each token would be too
// expensive.
const writeDeadlineSlack = time.Second

// reconnectDelayMS is the delay in milliseconds after which a standard EventSource
// client reconnects. It is well below resumeGrace.
const reconnectDelayMS = "500"

// maxKeptBufferBytes is the capacity up to which a stream reuses its write buffer.
const maxKeptBufferBytes = 16 << 10

// sseOutput streams a completion as server-sent events. Each event id is a
// reference with which any instance can resume the stream.
type sseOutput struct {
	x          *exchange
	control    *http.ResponseController
	references *ticket.ReferenceSigner
	// next is the index of the next token.
	next int
	// pending is the output that was not flushed.
	pending []byte
	// prefix and suffix are the parts of a token's event around its text.
	prefix, suffix []byte
	// deadlineSetAt is the time at which the write deadline was last set.
	deadlineSetAt time.Time
}

func newSSEOutput(x *exchange) *sseOutput {
	o := &sseOutput{x: x, control: http.NewResponseController(x.Response())}
	o.prefix, o.suffix = x.eventAroundText()
	return o
}

// eventAroundText returns the parts of a token's event before and after its text.
// They are the same for all tokens, so they are encoded only once.
func (x *exchange) eventAroundText() (prefix, suffix []byte) {
	content, err := json.Marshal(x.chunk("", ""))
	if err != nil {
		panic(err) // A struct of strings and numbers always marshals.
	}
	prefix, suffix, _ = bytes.Cut(content, []byte(`"text":""`))
	prefix = slices.Concat([]byte("\ndata: "), prefix, []byte(`"text":`))
	return prefix, slices.Concat(suffix, []byte("\n\n"))
}

// appendText appends the text to a buffer as a JSON string.
func appendText(to []byte, text string) ([]byte, error) {
	for i := range len(text) {
		// Text without special characters needs no encoder, which would copy it twice.
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			content, err := json.Marshal(text)
			return append(to, content...), err
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"'), nil
}

func (o *sseOutput) begin(p streamPosition) error {
	o.references, o.next = p.references, p.next
	if !o.x.Response().Committed {
		header := o.x.Response().Header()
		header.Set(echo.HeaderContentType, "text/event-stream")
		header.Set(echo.HeaderCacheControl, "no-store")
		// The write deadline stays set after the response, so the connection can't
		// be reused.
		header.Set(echo.HeaderConnection, "close")
		o.x.Response().WriteHeader(http.StatusOK)
		o.add("retry: " + reconnectDelayMS + "\n")
	}
	// An event without data only sets the reader's last event id.
	o.add("id: " + o.references.Reference(o.next) + "\n\n")
	return nil
}

func (o *sseOutput) add(text string) { o.pending = append(o.pending, text...) }

func (o *sseOutput) token(t relay.Token) error {
	o.next = t.Index + 1
	o.pending = append(o.pending, "id: "...)
	o.pending = o.references.AppendReference(o.pending, o.next)
	o.pending = append(o.pending, o.prefix...)
	var err error
	o.pending, err = appendText(o.pending, t.Text)
	o.pending = append(o.pending, o.suffix...)
	return err
}

func (o *sseOutput) finish(reason string) error {
	content, err := json.Marshal(o.x.chunk("", reason))
	if err != nil {
		return err
	}
	o.add("data: " + string(content) + "\n\ndata: [DONE]\n\n")
	return nil
}

func (o *sseOutput) heartbeat() error {
	if !o.x.Response().Committed {
		// Until a generation has started, the response can still be a refusal.
		return nil
	}
	o.add(": heartbeat\n\n")
	return o.flush()
}

func (o *sseOutput) flush() error {
	if len(o.pending) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(o.deadlineSetAt) > writeDeadlineSlack {
		if err := o.control.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return err
		}
		o.deadlineSetAt = now
	}
	_, err := o.x.Response().Write(o.pending)
	if o.pending = o.pending[:0]; cap(o.pending) > maxKeptBufferBytes {
		o.pending = nil
	}
	if err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *sseOutput) fail(outcome verdict.Outcome) {
	if !o.x.Response().Committed {
		return
	}
	failure := o.x.failure(outcome)
	failure.Error.Delivered = &o.next
	content, err := json.Marshal(failure)
	if err != nil {
		return
	}
	o.add("event: error\ndata: " + string(content) + "\n\n")
	_ = o.flush() // Flushing fails only if the reader disconnected.
}
