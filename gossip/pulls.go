package gossip

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mangoloft/event"
)

const (
	// hedgeDelay is the time after which state is also pulled from another member, if
	// the one that was asked has not responded: it may have failed just after it
	// announced the state.
	hedgeDelay = 250 * time.Millisecond
	// maxPulls is the maximum number of pulls in progress.
	maxPulls = 3
)

// pullTracker tracks the pulls of state from members.
type pullTracker struct {
	group sync.WaitGroup
	// due requests another pull, if state is still missing.
	due chan struct{}

	mu sync.Mutex
	// active contains the function that cancels each pull in progress.
	active map[netip.AddrPort]context.CancelFunc
	// latestAt is the start of the latest pull.
	latestAt time.Time
	// failedAt contains the time of the latest pull from a member, if it failed.
	failedAt map[netip.AddrPort]time.Time
}

func newPullTracker() *pullTracker {
	return &pullTracker{due: make(chan struct{}, 1), active: map[netip.AddrPort]context.CancelFunc{}, failedAt: map[netip.AddrPort]time.Time{}}
}

// skips reports whether no pull from the member may start: one is in progress, or the
// latest one failed and nothing was heard of the member since.
func (t *pullTracker) skips(m Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, active := t.active[m.Addr]
	failedAt, failed := t.failedAt[m.Addr]
	return active || failed && !m.LastSeenAt.After(failedAt)
}

// start starts a pull, unless one has just been started or too many are in progress. It
// returns the context of the pull.
func (t *pullTracker) start(ctx context.Context, now time.Time, addr netip.AddrPort) (context.Context, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.active) >= maxPulls || len(t.active) > 0 && now.Sub(t.latestAt) < hedgeDelay {
		return nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	t.active[addr], t.latestAt = cancel, now
	time.AfterFunc(hedgeDelay, t.request)
	return ctx, true
}

// request requests another pull. It does not block.
func (t *pullTracker) request() {
	select {
	case t.due <- struct{}{}:
	default:
	}
}

// end records the end of a pull. After a success, the other pulls are cancelled.
func (t *pullTracker) end(now time.Time, addr netip.AddrPort, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active[addr]()
	delete(t.active, addr)
	delete(t.failedAt, addr)
	if failed {
		t.failedAt[addr] = now
		return
	}
	for _, cancel := range t.active {
		cancel()
	}
}

// catchUp pulls the state of a member if newer state has been available for
// longer than the pull delay.
func (p *Peers) catchUp(ctx context.Context, now time.Time) {
	state := p.options.State()
	// true: members that have only a newer list count as well.
	m, found := p.members.FindNewer(state.TableVersion, state.ListPosition, true, p.pulls.skips)
	switch {
	case !found:
		p.behindSince = time.Time{}
		return
	case p.behindSince.IsZero():
		p.behindSince = now
	}
	delay := readerPullDelay
	if !p.isReader.Load() {
		delay = nonReaderPullDelay
	}
	// An instance without a routing table pulls immediately.
	if state.TableVersion != 0 && now.Sub(p.behindSince) < delay {
		return
	}
	pullCtx, ok := p.pulls.start(ctx, now, m.Addr)
	if !ok {
		return
	}
	p.behindSince = now
	p.pulls.group.Go(func() {
		err := p.pull(pullCtx, m, state)
		cancelled := pullCtx.Err() != nil
		p.pulls.end(time.Now(), m.Addr, err != nil && !cancelled)
		if err != nil && !cancelled {
			p.options.Log.EmitRateLimited(event.StatePullFailed, "peer", m.Name, "error", err.Error())
		}
	})
}
