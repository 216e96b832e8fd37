// Package publisher reads the configuration and the instance list from the
// platform's services, which are read-only and can be down or out of date. In
// each data centre a few instances are readers, which poll the services
// continuously. The other instances receive updates from peers.
package publisher

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/event"
	"mangoloft/kernel"
)

const (
	// listInterval is the time between two reads of the instance list.
	listInterval = 1 * time.Second
	// longPollWait is the time for which the configuration service can hold a request
	// for a newer index. Every response also proves that the service is reachable.
	longPollWait = 2 * time.Second
	// retryInterval is the delay before a failed read is retried, and the minimum
	// time between two reads that return nothing new.
	retryInterval = 500 * time.Millisecond
	// roleCheckInterval is the time between two checks whether the instance is a
	// reader.
	roleCheckInterval = 100 * time.Millisecond
	// maxValueAttempts is the maximum number of attempts to read the values for one
	// update. An attempt fails if a value changed after the index was read.
	maxValueAttempts = 5
)

func init() {
	kernel.Register(kernel.Plugin{Name: "platform", Stage: kernel.StageFleet, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	p := &poller{rt: rt, client: newClient(rt.Settings), configRequested: make(chan struct{}, 1), listRequested: make(chan struct{}, 1)}
	rt.OnAction(p.handleAction)
	return []kernel.Actor{
		{Name: "configuration", Run: p.watchConfiguration},
		{Name: "instance list", Run: p.watchList},
	}, nil
}

// poller reads from the platform: continuously while the instance is one of the
// readers of its data centre, and otherwise only when the control goroutine requests
// a read.
type poller struct {
	rt     *kernel.Runtime
	client *client
	// configRequested and listRequested each hold at most one requested read.
	configRequested, listRequested chan struct{}
	// sentVersion and sentDigest identify the index of the latest document sent
	// to the control goroutine. A document that it refused is not read again.
	sentVersion uint64
	sentDigest  string
}

// handleAction queues the reads that the control goroutine requests. It runs on that
// goroutine, so it must not block.
func (p *poller) handleAction(action control.Action) {
	switch action.(type) {
	case control.ReadConfigFromService:
		request(p.configRequested)
	case control.ReadListFromPlatform:
		request(p.listRequested)
	}
}

// request requests a read unless one is already requested.
func request(requested chan struct{}) {
	select {
	case requested <- struct{}{}:
	default:
	}
}

// watchConfiguration keeps the configuration up to date. It first reads only the
// index, which contains the current version. The values of that version are then
// fetched from peers if possible.
func (p *poller) watchConfiguration(ctx context.Context) error {
	p.readIndex(ctx, 0, 0)
	for ctx.Err() == nil {
		if p.rt.Snapshot().Reader {
			p.readConfiguration(ctx, longPollWait)
			continue
		}
		select {
		case <-ctx.Done():
		case <-p.configRequested:
			p.readConfiguration(ctx, 0)
		case <-time.After(roleCheckInterval):
		}
	}
	return nil
}

// readIndex reads the index once and reports its version to the control goroutine. It
// returns false if the read failed.
func (p *poller) readIndex(ctx context.Context, after uint64, wait time.Duration) (config.Index, bool) {
	requestedAt := time.Now()
	index, err := p.client.index(ctx, after, wait)
	if err != nil {
		p.reportFailure(ctx, err)
		return index, false
	}
	p.rt.Send(control.ConfigVersionRead{Version: index.Version, Digest: index.Digest(), RequestedAt: requestedAt})
	return index, true
}

// reportFailure reports a failed read of the configuration and waits for
// retryInterval.
func (p *poller) reportFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.rt.Log.EmitRateLimited(event.ConfigServiceFailed, "error", err)
	p.rt.Send(control.ConfigServiceUnreachable{})
	sleepUntil(ctx, time.Now().Add(retryInterval))
}

// readConfiguration reads a newer index than the local one and the latest one sent,
// and the values that differ. It sends the document to the control goroutine.
func (p *poller) readConfiguration(ctx context.Context, wait time.Duration) {
	requestedAt := time.Now()
	current := p.rt.Snapshot().Document
	index, ok := p.readIndex(ctx, max(current.Index.Version, p.sentVersion), wait)
	if !ok {
		return
	}
	if !p.isNew(index, current.Index) {
		// Without this delay, a service that responds to long polls immediately would
		// be polled in a tight loop.
		sleepUntil(ctx, requestedAt.Add(retryInterval))
		return
	}
	for range maxValueAttempts {
		doc, err := p.client.values(ctx, index, current, p.valueLimiter())
		switch {
		case err == nil:
			p.sentVersion, p.sentDigest = index.Version, index.Digest()
			p.rt.Send(control.ConfigReceived{Document: doc, Source: "configuration_service", RequestedAt: requestedAt})
			return
		case err != errIndexOutdated:
			p.reportFailure(ctx, err)
			return
		}
		if index, ok = p.readIndex(ctx, 0, 0); !ok {
			return
		}
	}
	p.reportFailure(ctx, errIndexOutdated)
}

// valueLimiter returns the rate limiter for the instance's current role.
func (p *poller) valueLimiter() *rate.Limiter {
	if p.rt.Snapshot().Reader {
		return p.client.readerLimit
	}
	return p.client.otherLimit
}

// isNew reports whether the index is newer than current and was not sent to the
// control goroutine yet. Of two indexes with the same version, the one with the
// greater digest counts as newer.
func (p *poller) isNew(index, current config.Index) bool {
	digest := index.Digest()
	if index.Version == p.sentVersion && digest == p.sentDigest {
		return false
	}
	return index.Version > current.Version || index.Version == current.Version && digest > current.Digest()
}

// watchList keeps the instance list up to date.
func (p *poller) watchList(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := p.client.readList(ctx)
		if err != nil {
			p.rt.Log.EmitRateLimited(event.ListFailed, "error", err)
		} else {
			p.rt.Send(list)
		}
		p.waitToReadList(ctx, time.Now().Add(listInterval))
	}
	return nil
}

// waitToReadList waits until the list should be read again: at nextAt if the instance
// is a reader, or earlier when the control goroutine requests it.
func (p *poller) waitToReadList(ctx context.Context, nextAt time.Time) {
	for ctx.Err() == nil && !(p.rt.Snapshot().Reader && time.Now().After(nextAt)) {
		select {
		case <-ctx.Done():
		case <-p.listRequested:
			return
		case <-time.After(roleCheckInterval):
		}
	}
}

// sleepUntil waits until the deadline or until ctx ends.
func sleepUntil(ctx context.Context, deadline time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(deadline)):
	}
}
