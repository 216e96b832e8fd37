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

// connection is what one connection to the scripted engine brings, after a
// while, before it breaks.
type connection struct {
	after  time.Duration
	tokens []relay.Token
	// refusal, when set, means that no connection comes about.
	refusal error
}

// script is an engine whose connections are given. The last one is repeated.
type script struct {
	connections []connection
	resumedFrom []int
}

func (s *script) Resume(ctx context.Context, _ netip.AddrPort, _ relay.Attachment, next int) (relay.Feed, error) {
	c := s.connections[min(len(s.resumedFrom), len(s.connections)-1)]
	s.resumedFrom = append(s.resumedFrom, next)
	if c.refusal == nil {
		return &scriptedFeed{ctx: ctx, connection: c}, nil
	}
	select {
	case <-time.After(c.after):
		return nil, c.refusal
	case <-ctx.Done():
		return nil, errBroken
	}
}

func (s *script) Start(context.Context, netip.AddrPort, relay.Spec) (relay.Feed, error) {
	return nil, errors.ErrUnsupported
}

func (s *script) Cancel(context.Context, netip.AddrPort, relay.Attachment) (bool, error) {
	return false, errors.ErrUnsupported
}

var errBroken = verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "broken")

type scriptedFeed struct {
	ctx context.Context
	connection
}

func (f *scriptedFeed) Read(take func(relay.Token) (bool, error)) error {
	select {
	case <-time.After(f.after):
	case <-f.ctx.Done():
		return f.ctx.Err()
	}
	for _, token := range f.tokens {
		if enough, err := take(token); enough || err != nil {
			return err
		}
	}
	return errBroken
}

func (f *scriptedFeed) Close() {}

// texts is a reader that gathers what comes.
type texts struct{ got []string }

func (r *texts) Deliver(t relay.Token) error {
	r.got = append(r.got, t.Text)
	return nil
}

// from returns the tokens of generation g from an index on, one for each
// letter, with the end behind them for a letter that is a dot.
func from(index int, letters string) []relay.Token {
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

func crossed(tokens []relay.Token) []relay.Token {
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
		// want are the letters that must reach the reader, and the reason
		// with which the stream must end.
		want   string
		reason verdict.Reason
		// within bounds the whole, on a virtual clock.
		within time.Duration
	}{
		"one connection": {[]connection{{tokens: from(0, "abc.")}}, false, "abc", verdict.Completed, 0},
		"a break":        {[]connection{{tokens: from(0, "ab")}, {tokens: from(2, "c.")}}, false, "abc", verdict.Completed, 0},
		"tokens again after a break": {
			[]connection{{tokens: from(0, "ab")}, {tokens: from(0, "abc.")}}, false, "abc", verdict.Completed, 0,
		},
		"a gap": {[]connection{{tokens: append(from(0, "a"), from(2, "c.")...)}, {tokens: from(1, "bc.")}}, false, "abc", verdict.Completed, 0},
		"another generation's tokens": {
			[]connection{{tokens: append(from(0, "a"), crossed(from(1, "x."))...)}, {tokens: from(1, "bc.")}}, false, "abc", verdict.Completed, 0,
		},
		"only another generation's tokens": {[]connection{{tokens: crossed(from(0, "x."))}}, false, "", verdict.UpstreamLost, 11 * time.Second},
		"an end that comes too early": {
			[]connection{{tokens: from(0, "abc")}, {tokens: from(1, ".")}, {tokens: from(3, ".")}}, false, "abc", verdict.Completed, time.Second,
		},
		"connections that bring nothing": {[]connection{{tokens: from(0, "ab")}, {}}, false, "ab", verdict.UpstreamLost, 11 * time.Second},
		"a cut that heals":               {[]connection{{tokens: from(0, "ab")}, {refusal: errBroken, after: 8 * time.Second}, {tokens: from(2, "c.")}}, false, "abc", verdict.Completed, 9 * time.Second},
		"an engine that doesn't know it": {[]connection{{tokens: from(0, "ab")}, {refusal: errUnknown}}, false, "ab", verdict.GenerationLost, time.Millisecond},
		"a process that is gone":         {[]connection{{tokens: from(0, "ab")}, {refusal: errRefused}}, false, "ab", verdict.GenerationLost, time.Second},
		"one refusal":                    {[]connection{{tokens: from(0, "ab")}, {refusal: errRefused}, {tokens: from(2, "c.")}}, false, "abc", verdict.Completed, time.Second},
		"refusals that are not in a row": {
			[]connection{
				{tokens: from(0, "ab")}, {refusal: errRefused}, {refusal: errRefused}, {refusal: errBroken}, {refusal: errRefused}, {tokens: from(2, "c.")},
			},
			false, "abc", verdict.Completed, time.Second,
		},
		"a silent engine before the first": {[]connection{{after: time.Minute, refusal: errBroken}}, true, "", verdict.UpstreamLost, 62 * time.Second},
		"a break before the first":         {[]connection{{refusal: errBroken}}, true, "", verdict.UpstreamLost, 2 * time.Second},
		// The second break must not be counted from the first.
		"a quiet hour between two breaks": {
			[]connection{{after: time.Hour}, {after: time.Hour}, {refusal: errBroken}, {tokens: from(0, "a.")}}, false, "a", verdict.Completed, 3 * time.Hour,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader := &texts{}
				s := relay.Stream{
					Engine: &script{connections: test.connections}, Reader: reader, Restartable: test.restartable,
					Attachment: relay.Attachment{Generation: "g", Reader: "r"},
				}
				began := time.Now()
				_, err := s.Run(t.Context(), nil)
				assert.Equal(t, strings.Join(reader.got, ""), test.want)
				assert.Equal(t, s.Next, len(test.want))
				assert.Equal(t, verdict.Of(err).Reason, test.reason)
				assert.Assert(t, time.Since(began) <= test.within, "it took %s", time.Since(began))
			})
		})
	}
}

// Whoever explains a stream is told of each break, but not of each try.
func TestRunTellsOfBreaks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []int
		s := relay.Stream{
			Engine: &script{connections: []connection{
				{tokens: from(0, "ab")},
				{tokens: from(2, "c")},
				{refusal: errBroken},
				{refusal: errBroken},
				{refusal: errBroken},
				{tokens: from(3, "d.")},
			}},
			Reader: &texts{}, Attachment: relay.Attachment{Generation: "g", Reader: "r"},
			OnBreak: func(next int, err error) {
				assert.ErrorIs(t, err, errBroken)
				told = append(told, next)
			},
		}
		_, err := s.Run(t.Context(), nil)
		assert.NilError(t, err)
		assert.DeepEqual(t, told, []int{2, 3, 3})
	})
}

// A reader that is given up must not wait for an engine that can't be reached.
func TestRunEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		began := time.Now()
		s := relay.Stream{Engine: &script{connections: []connection{{after: time.Hour}}}, Reader: &texts{}}
		_, err := s.Run(ctx, nil)
		assert.Equal(t, verdict.Of(err).Reason, verdict.CallerGone)
		assert.Equal(t, time.Since(began), 3*time.Second)
	})
}
