package engine

import (
	"context"
	"encoding/json"
	"io"

	"github.com/tmaxmax/go-sse"

	"mangoloft/relay"
	"mangoloft/verdict"
)

// feed reads tokens from one connection. It implements relay.Feed.
type feed struct {
	cancel context.CancelFunc
	body   io.ReadCloser
}

// Read implements relay.Feed.
func (f *feed) Read(handle func(relay.Token) (done bool, err error)) error {
	for event, err := range sse.Read(f.body, &sse.ReadConfig{MaxEventSize: maxTokenBytes}) {
		if err != nil {
			return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the connection ended: %v", err)
		}
		token, err := parseToken(event.Data)
		if err != nil {
			return err
		}
		if done, err := handle(token); done || err != nil {
			return err
		}
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the connection ended before the generation was complete")
}

func parseToken(data string) (relay.Token, error) {
	var wire tokenWire
	if err := json.Unmarshal([]byte(data), &wire); err != nil {
		return relay.Token{}, verdict.Fail(verdict.MayHaveRun, verdict.AnswerMismatch, "malformed token: %v", err)
	}
	return relay.Token(wire), nil
}

// Close implements relay.Feed.
func (f *feed) Close() {
	f.cancel()
	f.body.Close()
}
