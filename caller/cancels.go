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
	// resumeGrace is the time after a disconnect in which a reader can resume its
	// stream, through this or another instance, before its generation is
	// cancelled.
	resumeGrace = 4 * time.Second
	// cancelRetryWindow is the time during which a failed cancel is retried.
	cancelRetryWindow = 10 * time.Second
	// cancelRetryInterval is the time between two attempts to cancel.
	cancelRetryInterval = 1 * time.Second
)

// cancelOrder is a queued cancel of a generation whose reader disconnected.
type cancelOrder struct {
	request    ident.Request
	addr       netip.AddrPort
	attachment relay.Attachment
	cancelAt   time.Time
	// giveUpAt is the time after which a failed cancel is not retried.
	giveUpAt time.Time
}

// cancelRecord is the audit record of a cancelOrder's outcome.
type cancelRecord struct {
	ID         string `json:"id"`
	Reader     string `json:"reader"`
	Generation string `json:"generation"`
	// Ended is false if another reader is attached to the generation, or if the
	// engine didn't respond.
	Ended  bool   `json:"ended"`
	Detail string `json:"detail,omitempty"`
}

// recordCancel returns a function that appends a cancelOrder's outcome to the audit
// trail.
func recordCancel(trail *audit.Trail) func(cancelOrder, bool, error) {
	return func(o cancelOrder, ended bool, err error) {
		r := cancelRecord{o.request.String(), o.attachment.Reader, o.attachment.Generation, ended, ""}
		if err != nil {
			r.Detail = verdict.OutcomeOf(err).Detail
		}
		trail.Append(event.GenerationCancelled, r.ID, r)
	}
}

// canceller cancels generations whose reader disconnected, to free engine capacity.
type canceller struct {
	engine relay.Engine
	// onOutcome is called with each order's outcome.
	onOutcome func(o cancelOrder, ended bool, err error)

	mu     sync.Mutex
	orders []cancelOrder
	// pending counts the orders that are queued or being executed.
	pending int
	// changed is closed and replaced when pending decreases or an order is
	// queued.
	changed chan struct{}
}

func newCanceller(engine relay.Engine, onOutcome func(cancelOrder, bool, error)) *canceller {
	return &canceller{engine: engine, onOutcome: onOutcome, changed: make(chan struct{})}
}

func (c *canceller) add(o cancelOrder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	c.pending++
	c.notifyChanged()
}

func (c *canceller) notifyChanged() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// run executes orders when they are due, until ctx ends.
func (c *canceller) run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		due, nextDue, changed := c.takeDue(time.Now())
		for _, o := range due {
			group.Go(func() { c.execute(ctx, o) })
		}
		timer := time.NewTimer(time.Until(nextDue))
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

// idleWait is the timer's duration when no order is queued.
const idleWait = time.Minute

// takeDue removes and returns the due orders. It also returns the time at which the
// next order is due, and a channel that is closed when an earlier one may have been
// queued.
func (c *canceller) takeDue(now time.Time) (due []cancelOrder, nextDue time.Time, changed <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	nextDue = now.Add(idleWait)
	remaining := c.orders[:0]
	for _, o := range c.orders {
		if !o.cancelAt.After(now) {
			due = append(due, o)
			continue
		}
		remaining = append(remaining, o)
		if o.cancelAt.Before(nextDue) {
			nextDue = o.cancelAt
		}
	}
	c.orders = remaining
	return due, nextDue, c.changed
}

// execute sends the cancel to the engine. If it fails, execute queues the order
// again until giveUpAt.
func (c *canceller) execute(ctx context.Context, o cancelOrder) {
	ended, err := c.engine.Cancel(ctx, o.addr, o.attachment)
	if now := time.Now(); err != nil && now.Before(o.giveUpAt) && ctx.Err() == nil {
		o.cancelAt = now.Add(cancelRetryInterval)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.orders = append(c.orders, o)
		c.notifyChanged()
		return
	}
	c.onOutcome(o, ended, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	c.notifyChanged()
}

// drain waits until no order is left or ctx ends. It leaves the remaining orders
// unexecuted: a cancel before the end of the grace period would cut off a reader
// that is reconnecting to another instance, and without the cancel the engine is
// freed when the generation ends.
func (c *canceller) drain(ctx context.Context) {
	for {
		c.mu.Lock()
		pending, changed := c.pending, c.changed
		c.mu.Unlock()
		if pending == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}
