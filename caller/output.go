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

// output writes a completion to its reader. An error means that the reader is
// gone.
type output interface {
	begin(b beginning) error
	token(t relay.Token) error
	finish(reason string) error
	// flush sends what was written.
	flush() error
	heartbeat() error
	// fail ends a completion whose answer has begun.
	fail(o verdict.Outcome)
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

func (o *wholeOutput) begin(beginning) error { return nil }

func (o *wholeOutput) token(t relay.Token) error {
	o.text.WriteString(t.Text)
	return nil
}

func (o *wholeOutput) finish(reason string) error {
	return o.x.JSON(http.StatusOK, o.x.chunk(o.text.String(), reason))
}

func (o *wholeOutput) flush() error { return nil }

func (o *wholeOutput) heartbeat() error { return nil }

func (o *wholeOutput) fail(verdict.Outcome) {} // The answer has not begun, so the error itself is answered.

// writeLimit is how long a reader may take nothing while there is something to
// send. One that takes longer is gone.
const writeLimit = 10 * time.Second

// writeLimitSlack is by how much writeLimit may be shorter, since setting a
// deadline for each token costs more than it gives.
const writeLimitSlack = time.Second

// retryHint is after how many milliseconds a stock event source reconnects. It
// is well within resumeGrace.
const retryHint = "500"

// keptBytes is the largest buffer that a stream keeps between two writes.
const keptBytes = 16 << 10

// sseOutput streams a completion as server-sent events. Each id is a
// reference from which any instance can go on.
type sseOutput struct {
	x       *exchange
	control *http.ResponseController
	refer   *ticket.ReferenceSigner
	next    int
	pending []byte
	// before and after enclose a token's text in its event.
	before, after []byte
	// deadlineAt is when the current write deadline was set.
	deadlineAt time.Time
}

func newSSEOutput(x *exchange) *sseOutput {
	o := &sseOutput{x: x, control: http.NewResponseController(x.Response())}
	o.before, o.after = x.aroundText()
	return o
}

// aroundText returns the event of a token without the text. All else in it is
// the same for each token, so that it is encoded once.
func (x *exchange) aroundText() (before, after []byte) {
	content, err := json.Marshal(x.chunk("", ""))
	if err != nil {
		panic(err) // A plain struct of strings and numbers marshals.
	}
	before, after, _ = bytes.Cut(content, []byte(`"text":""`))
	before = slices.Concat([]byte("\ndata: "), before, []byte(`"text":`))
	return before, slices.Concat(after, []byte("\n\n"))
}

// appendText appends the text as a JSON string.
func appendText(to []byte, text string) ([]byte, error) {
	for i := range len(text) {
		// Plain text needs no encoder, which would copy it twice.
		if c := text[i]; c < ' ' || c >= utf8.RuneSelf || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			content, err := json.Marshal(text)
			return append(to, content...), err
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"'), nil
}

func (o *sseOutput) begin(b beginning) error {
	o.refer, o.next = b.refer, b.next
	if !o.x.Response().Committed {
		header := o.x.Response().Header()
		header.Set(echo.HeaderContentType, "text/event-stream")
		header.Set(echo.HeaderCacheControl, "no-store")
		// The write deadline outlives the answer, so the connection must not.
		header.Set(echo.HeaderConnection, "close")
		o.x.Response().WriteHeader(http.StatusOK)
		o.add("retry: " + retryHint + "\n")
	}
	// An event without data sets the reader's last event id and nothing else.
	o.add("id: " + o.refer.Reference(o.next) + "\n\n")
	return nil
}

func (o *sseOutput) add(text string) { o.pending = append(o.pending, text...) }

func (o *sseOutput) token(t relay.Token) error {
	o.next = t.Index + 1
	o.pending = append(o.pending, "id: "...)
	o.pending = o.refer.AppendReference(o.pending, o.next)
	o.pending = append(o.pending, o.before...)
	var err error
	o.pending, err = appendText(o.pending, t.Text)
	o.pending = append(o.pending, o.after...)
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
		// Until a generation has begun, the answer may still be a refusal.
		return nil
	}
	o.add(": heartbeat\n\n")
	return o.flush()
}

func (o *sseOutput) flush() error {
	if len(o.pending) == 0 {
		return nil
	}
	if now := time.Now(); now.Sub(o.deadlineAt) > writeLimitSlack {
		if err := o.control.SetWriteDeadline(now.Add(writeLimit)); err != nil {
			return err
		}
		o.deadlineAt = now
	}
	_, err := o.x.Response().Write(o.pending)
	if o.pending = o.pending[:0]; cap(o.pending) > keptBytes {
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
	_ = o.flush() // A reader that is gone doesn't miss it.
}
