package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"mangoloft/event"
	"mangoloft/pause"
)

const (
	// minPause is the time without an iteration of the control goroutine after which the process
	// counts as having been stopped for a while. It is twice the longest time between two
	// iterations.
	minPause = 2 * idleTick
	// maxHold is the maximum time for which requests are held after a pause. In it, another
	// instance is asked for the orders, and almost always a datagram arrives.
	maxHold = 300 * time.Millisecond
	// holdPoll is the time between two checks by a held request.
	holdPoll = 5 * time.Millisecond
)

// hold keeps requests from being sent after the process was stopped for a while, until the
// instance knows which data centres were evacuated meanwhile.
type hold struct {
	startedAt time.Time
	// iteratedAt is the time of the control goroutine's latest iteration, and until the end
	// of the hold, in nanoseconds since startedAt.
	iteratedAt, until atomic.Int64
}

func (h *hold) start(now time.Time) {
	h.startedAt = now
	h.iteratedAt.Store(0)
}

// iterate records an iteration of the control goroutine. If a pause precedes it, requests are
// held, and iterate returns its length.
func (h *hold) iterate(now time.Time) (paused time.Duration) {
	at := now.Sub(h.startedAt)
	paused = at - time.Duration(h.iteratedAt.Load())
	if paused >= minPause {
		h.until.Store(int64(at + maxHold))
	}
	h.iteratedAt.Store(int64(at))
	if paused < minPause {
		return 0
	}
	return paused
}

func (h *hold) isHeld(now time.Time) bool {
	at := now.Sub(h.startedAt)
	return at-time.Duration(h.iteratedAt.Load()) >= minPause || at < time.Duration(h.until.Load())
}

// checkPause holds the requests if the process was stopped for a while.
func (c *Controller) checkPause(now time.Time) {
	paused := c.hold.iterate(now)
	if paused == 0 || !c.followsOrders() {
		return
	}
	c.log.Emit(event.PlacementsHeld, "paused_ms", paused.Milliseconds(), "until_ms", maxHold.Milliseconds())
	c.announcer.RequestOrders()
}

func (c *Controller) followsOrders() bool { return c.FollowsOrders != nil && c.FollowsOrders() }

// ConfirmOrders reports that the orders that were submitted last are those that another
// instance knows now.
func (c *Controller) ConfirmOrders() {
	c.send(queryCommand{func(time.Time) { c.hold.until.Store(0) }})
}

// AwaitOrders is called before a request is sent. If the process was stopped for a while, it
// waits until the orders are known that may have been given meanwhile, at most maxHold.
func (c *Controller) AwaitOrders(ctx context.Context) {
	if !c.followsOrders() {
		return
	}
	for end := time.Now().Add(maxHold); c.hold.isHeld(time.Now()) && time.Now().Before(end); {
		if !pause.Sleep(ctx, holdPoll) {
			return
		}
	}
}
