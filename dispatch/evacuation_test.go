package dispatch_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/evacuation"
	"mangoloft/history"
)

// TestRequestsAreHeldAfterPause guards against requests that were accepted before the process
// was stopped and that are sent, when it goes on, to a data centre that was evacuated meanwhile.
func TestRequestsAreHeldAfterPause(t *testing.T) {
	tests := map[string]struct {
		followsOrders, confirmed bool
		minHeld, maxHeld         time.Duration
	}{
		"until another instance's orders are known": {true, true, 100 * time.Millisecond, 280 * time.Millisecond},
		"not for long if none answers":              {true, false, 290 * time.Millisecond, 2 * time.Second},
		"not at all without orders":                 {false, false, 0, 90 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, announcer := startFollowing(t, test.followsOrders)
			ctx := context.Background()
			c.AwaitOrders(ctx)
			// A control goroutine that does nothing for a while looks like a stopped process.
			resume := make(chan struct{})
			c.Block(resume)
			time.Sleep(1200 * time.Millisecond)
			startedAt := time.Now()
			close(resume)
			if test.confirmed {
				time.AfterFunc(100*time.Millisecond, func() {
					c.UpdateOrders(evacuation.Orders{At: history.Position{Revision: 3}, DataCentres: map[string]uint64{"b": 3}}, "peer")
					c.ConfirmOrders()
				})
			}
			c.AwaitOrders(ctx)
			held := time.Since(startedAt)
			assert.Check(t, held >= test.minHeld && held <= test.maxHeld, "held for %v", held)
			if test.confirmed {
				assert.DeepEqual(t, c.Snapshot().Evacuated, []string{"b"})
			}
			if test.followsOrders {
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if announcer.ordersRequested.Load() == 0 {
						return poll.Continue("no orders were requested")
					}
					return poll.Success()
				})
			}
		})
	}
}
