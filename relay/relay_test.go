package relay_test

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"mangoloft/relay"
	"mangoloft/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// connection is one connection to the scripted engine. After a delay it delivers
// the tokens and then fails.
type connection struct {
	delay  time.Duration
	tokens []relay.Token
	// resumeErr, if not nil, is returned by Resume instead of a connection.
	resumeErr error
}

// scriptedEngine is an engine with predefined connections. The last one is
// repeated.
type scriptedEngine struct {
	connections []connection
	resumedFrom []int
}

func (s *scriptedEngine) Resume(ctx context.Context, _ netip.AddrPort, _ relay.Attachment, next int) (relay.Feed, error) {
	c := s.connections[min(len(s.resumedFrom), len(s.connections)-1)]
	s.resumedFrom = append(s.resumedFrom, next)
	if c.resumeErr == nil {
		return &scriptedFeed{ctx: ctx, connection: c}, nil
	}
	select {
	case <-time.After(c.delay):
		return nil, c.resumeErr
	case <-ctx.Done():
		return nil, errDisconnected
	}
}

func (s *scriptedEngine) Start(context.Context, netip.AddrPort, relay.Spec) (relay.Feed, error) {
	return nil, errors.ErrUnsupported
}

func (s *scriptedEngine) Cancel(context.Context, netip.AddrPort, relay.Attachment) (bool, error) {
	return false, errors.ErrUnsupported
}

var errDisconnected = verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "disconnected")

type scriptedFeed struct {
	ctx context.Context
	connection
}

func (f *scriptedFeed) Read(handle func(relay.Token) (bool, error)) error {
	select {
	case <-time.After(f.delay):
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
	for _, token := range f.tokens {
		if done, err := handle(token); done || err != nil {
			return err
		}
	}
	return errDisconnected
}

func (f *scriptedFeed) Close() {}

// textSink collects the texts of the received tokens.
type textSink struct{ got []string }

func (s *textSink) Deliver(t relay.Token) error {
	s.got = append(s.got, t.Text)
	return nil
}

// tokensFrom returns tokens of generation g, one for each letter, numbered from
// index. A dot stands for the end of the generation.
func tokensFrom(index int, letters string) []relay.Token {
	var tokens []relay.Token
	for _, letter := range letters {
		t := relay.Token{Generation: "g", Index: index, Text: string(letter)}
		if letter == '.' {
			t.Text, t.Finish = "", "stop"
		}
		tokens = append(tokens, t)
		index++
	}
	return tokens
}

func fromOtherGeneration(tokens []relay.Token) []relay.Token {
	for i := range tokens {
		tokens[i].Generation = "other"
	}
	return tokens
}

var (
	errUnknown = verdict.Fail(verdict.MayHaveRun, verdict.GenerationLost, "unknown")
	errRefused = relay.MarkRefused(verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "refused"))
)

func TestRun(t *testing.T) {
	tests := map[string]struct {
		connections []connection
		restartable bool
		// want is the text that the reader must receive.
		want string
		// reason is the reason with which the stream must end.
		reason verdict.Reason
		// maxDuration is the maximum duration of the stream on a virtual clock.
		maxDuration time.Duration
	}{
		"one connection": {[]connection{{tokens: tokensFrom(0, "abc.")}}, false, "abc", verdict.Completed, 0},
		"disconnect":     {[]connection{{tokens: tokensFrom(0, "ab")}, {tokens: tokensFrom(2, "c.")}}, false, "abc", verdict.Completed, 0},
		"repeated tokens after a disconnect": {
			[]connection{{tokens: tokensFrom(0, "ab")}, {tokens: tokensFrom(0, "abc.")}}, false, "abc", verdict.Completed, 0,
		},
		"gap": {[]connection{{tokens: append(tokensFrom(0, "a"), tokensFrom(2, "c.")...)}, {tokens: tokensFrom(1, "bc.")}}, false, "abc", verdict.Completed, 0},
		"tokens of another generation": {
			[]connection{{tokens: append(tokensFrom(0, "a"), fromOtherGeneration(tokensFrom(1, "x."))...)}, {tokens: tokensFrom(1, "bc.")}}, false, "abc", verdict.Completed, 0,
		},
		"only tokens of another generation": {[]connection{{tokens: fromOtherGeneration(tokensFrom(0, "x."))}}, false, "", verdict.UpstreamLost, 11 * time.Second},
		"premature end": {
			[]connection{{tokens: tokensFrom(0, "abc")}, {tokens: tokensFrom(1, ".")}, {tokens: tokensFrom(3, ".")}}, false, "abc", verdict.Completed, time.Second,
		},
		"connections without tokens":          {[]connection{{tokens: tokensFrom(0, "ab")}, {}}, false, "ab", verdict.UpstreamLost, 11 * time.Second},
		"temporary partition":                 {[]connection{{tokens: tokensFrom(0, "ab")}, {resumeErr: errDisconnected, delay: 8 * time.Second}, {tokens: tokensFrom(2, "c.")}}, false, "abc", verdict.Completed, 9 * time.Second},
		"engine does not have the generation": {[]connection{{tokens: tokensFrom(0, "ab")}, {resumeErr: errUnknown}}, false, "ab", verdict.GenerationLost, time.Millisecond},
		"process has ended":                   {[]connection{{tokens: tokensFrom(0, "ab")}, {resumeErr: errRefused}}, false, "ab", verdict.GenerationLost, time.Second},
		"one refusal":                         {[]connection{{tokens: tokensFrom(0, "ab")}, {resumeErr: errRefused}, {tokens: tokensFrom(2, "c.")}}, false, "abc", verdict.Completed, time.Second},
		"refusals not in a row": {
			[]connection{
				{tokens: tokensFrom(0, "ab")}, {resumeErr: errRefused}, {resumeErr: errRefused}, {resumeErr: errDisconnected}, {resumeErr: errRefused}, {tokens: tokensFrom(2, "c.")},
			},
			false, "abc", verdict.Completed, time.Second,
		},
		"silent engine before the first token": {[]connection{{delay: time.Minute, resumeErr: errDisconnected}}, true, "", verdict.UpstreamLost, 62 * time.Second},
		"disconnect before the first token":    {[]connection{{resumeErr: errDisconnected}}, true, "", verdict.UpstreamLost, 2 * time.Second},
		// The timeout after the second disconnect must not start at the first.
		"an hour between two disconnects": {
			[]connection{{delay: time.Hour}, {delay: time.Hour}, {resumeErr: errDisconnected}, {tokens: tokensFrom(0, "a.")}}, false, "a", verdict.Completed, 3 * time.Hour,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader := &textSink{}
				s := relay.Stream{
					Engine: &scriptedEngine{connections: test.connections}, Sink: reader, Restartable: test.restartable,
					Attachment: relay.Attachment{Generation: "g", Reader: "r"},
				}
				startedAt := time.Now()
				_, err := s.Run(t.Context(), nil)
				assert.Equal(t, strings.Join(reader.got, ""), test.want)
				assert.Equal(t, s.Next, len(test.want))
				assert.Equal(t, verdict.OutcomeOf(err).Reason, test.reason)
				assert.Assert(t, time.Since(startedAt) <= test.maxDuration, "the stream took %s, which exceeds the limit", time.Since(startedAt))
			})
		})
	}
}

// TestRunReportsDisconnects checks that OnDisconnect is called for each failed
// connection but not for each failed attempt to reconnect.
func TestRunReportsDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reported []int
		s := relay.Stream{
			Engine: &scriptedEngine{connections: []connection{
				{tokens: tokensFrom(0, "ab")},
				{tokens: tokensFrom(2, "c")},
				{resumeErr: errDisconnected},
				{resumeErr: errDisconnected},
				{resumeErr: errDisconnected},
				{tokens: tokensFrom(3, "d.")},
			}},
			Sink: &textSink{}, Attachment: relay.Attachment{Generation: "g", Reader: "r"},
			OnDisconnect: func(next int, err error) {
				assert.ErrorIs(t, err, errDisconnected)
				reported = append(reported, next)
			},
		}
		_, err := s.Run(t.Context(), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, reported, []int{2, 3, 3})
	})
}

// TestRunEndsWithContext checks that a stream whose context ends does not wait for
// an unreachable engine.
func TestRunEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		startedAt := time.Now()
		s := relay.Stream{Engine: &scriptedEngine{connections: []connection{{delay: time.Hour}}}, Sink: &textSink{}}
		_, err := s.Run(ctx, nil)
		assert.Equal(t, verdict.OutcomeOf(err).Reason, verdict.CallerDisconnected)
		assert.Equal(t, time.Since(startedAt), 3*time.Second)
	})
}
