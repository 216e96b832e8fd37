package engine

import (
	"context"
	"encoding/json"
	"io"
	"iter"

	"github.com/tmaxmax/go-sse"

	"mangoloft/relay"
	"mangoloft/verdict"
)

// feed reads the tokens of one connection. It implements relay.Feed.
type feed struct {
	cancel context.CancelFunc
	body   io.Closer
	next   func() (sse.Event, error, bool)
	stop   func()
}

func newFeed(body io.ReadCloser, cancel context.CancelFunc) *feed {
	next, stop := iter.Pull2(sse.Read(body, &sse.ReadConfig{MaxEventSize: maxTokenBytes}))
	return &feed{cancel, body, next, stop}
}

func (f *feed) Next() (relay.Token, error) {
	event, err, more := f.next()
	if err != nil || !more {
		return relay.Token{}, verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the connection ended: %v", err)
	}
	var wire tokenWire
	if err := json.Unmarshal([]byte(event.Data), &wire); err != nil {
		return relay.Token{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "malformed token: %v", err)
	}
	return relay.Token(wire), nil
}

func (f *feed) Close() {
	f.cancel()
	f.stop()
	f.body.Close()
}
