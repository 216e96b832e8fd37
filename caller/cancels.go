package caller

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mangoloft/audit"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/relay"
	"mangoloft/verdict"
)

const (
	// resumeGrace is how long after a hang-up a reader may come back, here or
	// at another instance, before its generation is cancelled.
	resumeGrace = 4 * time.Second
	// cancelPatience is how long a cancel that failed is tried again.
	cancelPatience = 10 * time.Second
	// cancelPause is the time between two tries.
	cancelPause = 1 * time.Second
)

// cancelOrder is a generation whose reader is gone.
type cancelOrder struct {
	request    ident.Request
	addr       netip.AddrPort
	attachment relay.Attachment
	cancelAt   time.Time
	giveUpAt   time.Time
}

// cancelRecord is the audit record of a generation whose reader was gone.
type cancelRecord struct {
	ID         string `json:"id"`
	Reader     string `json:"reader"`
	Generation string `json:"generation"`
	// Ended is false when another reader has the generation, or when the
	// engine didn't answer.
	Ended  bool   `json:"ended"`
	Detail string `json:"detail,omitempty"`
}

func recordCancel(trail *audit.Trail) func(cancelOrder, bool, error) {
	return func(o cancelOrder, ended bool, err error) {
		r := cancelRecord{o.request.String(), o.attachment.Reader, o.attachment.Generation, ended, ""}
		if err != nil {
			r.Detail = verdict.Of(err).Detail
		}
		trail.Append(event.GenerationCancelled, r.ID, r)
	}
}

// canceller frees engines from generations that nobody reads.
type canceller struct {
	engine relay.Engine
	// ended is told each outcome.
	ended func(o cancelOrder, ended bool, err error)

	mu     sync.Mutex
	orders []cancelOrder
	// open counts the orders that are waiting or being carried out.
	open int
	// changed is closed and replaced when open falls or an order is added.
	changed chan struct{}
}

func newCanceller(engine relay.Engine, ended func(cancelOrder, bool, error)) *canceller {
	return &canceller{engine: engine, ended: ended, changed: make(chan struct{})}
}

func (c *canceller) add(o cancelOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	c.open++
	c.wake()
}

func (c *canceller) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// run carries orders out at their times until ctx ends.
func (c *canceller) run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		due, next, changed := c.takeDue(time.Now())
		for _, o := range due {
			group.Go(func() { c.carryOut(ctx, o) })
		}
		timer := time.NewTimer(time.Until(next))
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// idleWait is the wait for the next order when there is none.
const idleWait = time.Minute

// takeDue removes the orders whose time has come. It returns the time of the
// next one, and a channel that is closed when there may be an earlier one.
func (c *canceller) takeDue(now time.Time) (due []cancelOrder, next time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = now.Add(idleWait)
	waiting := c.orders[:0]
	for _, o := range c.orders {
		if !o.cancelAt.After(now) {
			due = append(due, o)
			continue
		}
		waiting = append(waiting, o)
		if o.cancelAt.Before(next) {
			next = o.cancelAt
		}
	}
	c.orders = waiting
	return due, next, c.changed
}

func (c *canceller) carryOut(ctx context.Context, o cancelOrder) {
	ended, err := c.engine.Cancel(ctx, o.addr, o.attachment)
	if now := time.Now(); err != nil && now.Before(o.giveUpAt) && ctx.Err() == nil {
		o.cancelAt = now.Add(cancelPause)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.orders = append(c.orders, o)
		c.wake()
		return
	}
	c.ended(o, ended, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.wake()
}

// drain waits until no order is left, or ctx ends. Orders that are left then
// are dropped: to cancel before the grace is over would cut off a reader that
// is on its way to another instance, and the engine gets free at the
// generation's own end.
func (c *canceller) drain(ctx context.Context) {
	for {
		c.mu.Lock()
		open, changed := c.open, c.changed
		c.mu.Unlock()
		if open == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
