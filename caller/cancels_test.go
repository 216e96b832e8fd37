package caller

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/relay"
	"mangoloft/verdict"
)

// scriptedEngine returns the given answers to cancels, and repeats the last one.
type scriptedEngine struct {
	relay.Engine
	answers []cancelAnswer
	// at contains the times of the cancels.
	at []time.Time
}

type cancelAnswer struct {
	ended bool
	err   error
}

func (s *scriptedEngine) Cancel(context.Context, netip.AddrPort, relay.Attachment) (bool, error) {
	answer := s.answers[min(len(s.at), len(s.answers)-1)]
	s.at = append(s.at, time.Now())
	return answer.ended, answer.err
}

func TestCanceller(t *testing.T) {
	unreachable := verdict.Fail(verdict.NotRun, verdict.UpstreamUnreachable, "cut")
	tests := map[string]struct {
		answers []cancelAnswer
		grace   time.Duration
		// calls contains the times of the cancel calls.
		calls []time.Duration
		// outcome is the recorded outcome.
		outcome cancelAnswer
	}{
		"no grace period":         {[]cancelAnswer{{true, nil}}, 0, []time.Duration{0}, cancelAnswer{true, nil}},
		"after the grace period":  {[]cancelAnswer{{true, nil}}, resumeGrace, []time.Duration{resumeGrace}, cancelAnswer{true, nil}},
		"another reader attached": {[]cancelAnswer{{false, nil}}, 0, []time.Duration{0}, cancelAnswer{false, nil}},
		"one retry":               {[]cancelAnswer{{false, unreachable}, {true, nil}}, 0, []time.Duration{0, cancelRetryInterval}, cancelAnswer{true, nil}},
		"engine never reachable": {
			[]cancelAnswer{{false, unreachable}},
			0,
			[]time.Duration{0, 1 * time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 6 * time.Second, 7 * time.Second, 8 * time.Second, 9 * time.Second, 10 * time.Second},
			cancelAnswer{false, unreachable},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &scriptedEngine{answers: test.answers}
				var recorded []cancelAnswer
				c := newCanceller(engine, func(_ cancelOrder, ended bool, err error) {
					recorded = append(recorded, cancelAnswer{ended, err})
				})
				ctx, cancel := context.WithCancel(t.Context())
				var group sync.WaitGroup
				group.Go(func() { assert.Check(t, c.run(ctx)) })
				// Add the order while the canceller is already waiting.
				time.Sleep(time.Second)
				startedAt := time.Now()
				cancelAt := startedAt.Add(test.grace)
				c.add(cancelOrder{cancelAt: cancelAt, giveUpAt: cancelAt.Add(cancelRetryWindow)})
				c.drain(ctx)
				assert.Equal(t, len(engine.at), len(test.calls))
				for i, want := range test.calls {
					assert.Equal(t, engine.at[i].Sub(startedAt), want)
				}
				assert.Equal(t, len(recorded), 1)
				assert.Equal(t, recorded[0], test.outcome)
				cancel()
				group.Wait()
			})
		})
	}
}

// TestCancellerDrainEndsWithItsContext checks that drain returns when its context
// ends, and does not cancel generations before they are due.
func TestCancellerDrainEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &scriptedEngine{answers: []cancelAnswer{{true, nil}}}
		c := newCanceller(engine, func(cancelOrder, bool, error) {})
		ctx, cancel := context.WithTimeout(t.Context(), resumeGrace/2)
		defer cancel()
		var group sync.WaitGroup
		group.Go(func() { assert.Check(t, c.run(ctx)) })
		startedAt := time.Now()
		c.add(cancelOrder{cancelAt: startedAt.Add(resumeGrace), giveUpAt: startedAt.Add(resumeGrace)})
		c.drain(ctx)
		group.Wait()
		assert.Equal(t, time.Since(startedAt), resumeGrace/2)
		assert.Equal(t, len(engine.at), 0)
	})
}
