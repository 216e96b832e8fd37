package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/relay"
	"mangoloft/verdict"
)

func newTestFeed(body string) *feed {
	return &feed{func() {}, io.NopCloser(strings.NewReader(body))}
}

func TestFeedReads(t *testing.T) {
	token := relay.Token{Generation: "g", Index: 0, Text: "a"}
	const tokenLine = `data: {"generation":"g","index":0,"text":"a"}`
	tests := map[string]struct {
		body   string
		want   []relay.Token
		reason verdict.Reason
	}{
		"one token":                  {tokenLine + "\n\n", []relay.Token{token}, verdict.UpstreamLost},
		"a heartbeat":                {": heartbeat\n\n" + tokenLine + "\n\n", []relay.Token{token}, verdict.UpstreamLost},
		"carriage returns":           {tokenLine + "\r\n\r\n", []relay.Token{token}, verdict.UpstreamLost},
		"unknown fields":             {`data: {"generation":"g","index":0,"text":"a","logprob":-1}` + "\n\n", []relay.Token{token}, verdict.UpstreamLost},
		"the end of a generation":    {`data: {"generation":"g","index":3,"finish":"stop"}` + "\n\n", []relay.Token{{Generation: "g", Index: 3, Finish: "stop"}}, verdict.Completed},
		"malformed":                  {"data: {\n\n", nil, verdict.AnswerMismatch},
		"an index of the wrong type": {`data: {"generation":"g","index":"0"}` + "\n\n", nil, verdict.AnswerMismatch},
		"an oversized event":         {"data: " + strings.Repeat("x", 2*maxTokenBytes) + "\n\n", nil, verdict.UpstreamLost},
		// A truncated event must not be accepted as complete.
		"truncated in the data":                {tokenLine[:len(tokenLine)-3], nil, verdict.UpstreamLost},
		"truncated before the end of the line": {tokenLine, nil, verdict.UpstreamLost},
		"truncated before the blank line":      {tokenLine + "\n", nil, verdict.UpstreamLost},
		"an empty body":                        {"", nil, verdict.UpstreamLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []relay.Token
			err := newTestFeed(test.body).Read(func(t relay.Token) (bool, error) {
				got = append(got, t)
				return t.Finish != "", nil
			})
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, verdict.OutcomeOf(err).Reason, test.reason)
		})
	}
}

// unresumableEngine no longer has the generation when the first connection ends.
type unresumableEngine struct{ relay.Engine }

func (unresumableEngine) Resume(context.Context, netip.AddrPort, relay.Attachment, int) (relay.Feed, error) {
	return nil, verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "unknown")
}

// orderCheckingSink fails the test if tokens arrive out of order or from another
// generation.
type orderCheckingSink struct {
	t    *testing.T
	next int
}

func (s *orderCheckingSink) Deliver(t relay.Token) error {
	assert.Equal(s.t, t.Generation, "g")
	assert.Equal(s.t, t.Index, s.next)
	s.next++
	return nil
}

// FuzzFeed checks that for any bytes from an engine the reader receives only its
// generation's tokens, in order from the first, and that the stream ends with
// either a finish reason or an error.
func FuzzFeed(f *testing.F) {
	line := func(generation string, index int, finish string) string {
		return fmt.Sprintf("data: {\"generation\":%q,\"index\":%d,\"text\":\"x\",\"finish\":%q}\n\n", generation, index, finish)
	}
	f.Add(line("g", 0, "") + line("g", 1, "") + line("g", 2, "stop"))
	f.Add(line("g", 0, "") + line("g", 0, "") + line("g", 1, "") + line("g", 1, "stop"))
	f.Add(line("g", 0, "") + line("h", 1, "") + line("g", 1, "stop"))
	f.Add(line("g", 1, ""))
	f.Add(line("g", -1, "") + line("g", 0, "stop"))
	f.Add(": heartbeat\n\nretry: 5\nid: 7\nevent: x\n" + line("g", 0, "length"))
	f.Add("data: {\"generation\":\"g\",\"index\":9223372036854775808}\n\n")
	f.Add("data:\ndata:\n\n\x00")
	f.Add("\xef\xbb\xbfdata: {}\r\r")
	f.Fuzz(func(t *testing.T, body string) {
		sink := &orderCheckingSink{t: t}
		s := relay.Stream{Engine: unresumableEngine{}, Attachment: relay.Attachment{Generation: "g", Reader: "r"}, Sink: sink}
		finish, err := s.Run(t.Context(), newTestFeed(body))
		assert.Equal(t, s.Next, sink.next)
		assert.Assert(t, (err == nil) == (finish != ""), "finish %q, %v", finish, err)
		assert.Assert(t, err == nil || !errors.Is(err, relay.ErrReaderDisconnected))
	})
}
