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

func feedOf(body string) *feed {
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
		"a token":              {tokenLine + "\n\n", []relay.Token{token}, verdict.UpstreamLost},
		"a heartbeat":          {": heartbeat\n\n" + tokenLine + "\n\n", []relay.Token{token}, verdict.UpstreamLost},
		"carriage returns":     {tokenLine + "\r\n\r\n", []relay.Token{token}, verdict.UpstreamLost},
		"unknown fields":       {`data: {"generation":"g","index":0,"text":"a","logprob":-1}` + "\n\n", []relay.Token{token}, verdict.UpstreamLost},
		"an end":               {`data: {"generation":"g","index":3,"finish":"stop"}` + "\n\n", []relay.Token{{Generation: "g", Index: 3, Finish: "stop"}}, verdict.Completed},
		"malformed":            {"data: {\n\n", nil, verdict.AnswerMismatch},
		"an index out of type": {`data: {"generation":"g","index":"0"}` + "\n\n", nil, verdict.AnswerMismatch},
		"too large an event":   {"data: " + strings.Repeat("x", 2*maxTokenBytes) + "\n\n", nil, verdict.UpstreamLost},
		// A connection that broke in the middle must not pass for a whole event.
		"cut short in the data":    {tokenLine[:len(tokenLine)-3], nil, verdict.UpstreamLost},
		"cut short before its end": {tokenLine, nil, verdict.UpstreamLost},
		"cut short after its line": {tokenLine + "\n", nil, verdict.UpstreamLost},
		"nothing":                  {"", nil, verdict.UpstreamLost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var got []relay.Token
			err := feedOf(test.body).Read(func(t relay.Token) (bool, error) {
				got = append(got, t)
				return t.Finish != "", nil
			})
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, verdict.Of(err).Reason, test.reason)
		})
	}
}

// onceEngine brings one connection, and has lost the generation after it.
type onceEngine struct{ relay.Engine }

func (onceEngine) Resume(context.Context, netip.AddrPort, relay.Attachment, int) (relay.Feed, error) {
	return nil, verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "unknown")
}

// orderedReader fails the test when a token's text isn't its place.
type orderedReader struct {
	t    *testing.T
	next int
}

func (r *orderedReader) Deliver(t relay.Token) error {
	assert.Equal(r.t, t.Generation, "g")
	assert.Equal(r.t, t.Index, r.next)
	r.next++
	return nil
}

// FuzzFeed: whatever an engine sends, the reader gets its generation's tokens
// in order from the first on, and the stream ends with a reason.
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
		reader := &orderedReader{t: t}
		s := relay.Stream{Engine: onceEngine{}, Attachment: relay.Attachment{Generation: "g", Reader: "r"}, Reader: reader}
		finish, err := s.Run(t.Context(), feedOf(body))
		assert.Equal(t, s.Next, reader.next)
		assert.Assert(t, (err == nil) == (finish != ""), "finish %q, %v", finish, err)
		assert.Assert(t, err == nil || !errors.Is(err, relay.ErrReaderGone))
	})
}
