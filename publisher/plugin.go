// Package publisher reads what the platform publishes: the configuration and
// the instance list. Both can be down or stale; neither can be written.
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
	// watchLimit is how long the configuration service is asked to hold a
	// watch. Every answer also proves that the service is there.
	watchLimit = 2 * time.Second
	// failurePause is the time before a failed read is tried again, and the
	// least time between two reads that bring nothing new.
	failurePause = 500 * time.Millisecond
	// roleInterval is how often an instance looks whether it is a reader.
	roleInterval = 100 * time.Millisecond
	// valueTries is how often values are read anew because they changed
	// between the reads of the index and of the value.
	valueTries = 5
)

func init() {
	kernel.Register(kernel.Plugin{Name: "platform", Stage: kernel.StageFleet, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	p := &reader{rt: rt, client: newClient(rt.Settings), configAsked: make(chan struct{}, 1), listAsked: make(chan struct{}, 1)}
	rt.OnAction(p.watch)
	return []kernel.Actor{
		{Name: "configuration", Run: p.watchConfiguration},
		{Name: "instance list", Run: p.watchList},
	}, nil
}

// reader reads the platform: all the time while it is one of its data centre's
// readers, and else when control asks for it.
type reader struct {
	rt     *kernel.Runtime
	client *client
	// configAsked and listAsked ask for one read each.
	configAsked, listAsked chan struct{}
	// triedVersion and triedDigest name the latest index handed on, so that
	// one that was refused is not read again and again.
	triedVersion uint64
	triedDigest  string
}

// watch runs on the control goroutine.
func (p *reader) watch(action control.Action) {
	switch action.(type) {
	case control.ReadConfig:
		ask(p.configAsked)
	case control.ReadList:
		ask(p.listAsked)
	}
}

func ask(asked chan struct{}) {
	select {
	case asked <- struct{}{}:
	default:
	}
}

// watchConfiguration begins with a look at the index, which tells a newcomer
// how new the service's version is. Its values it gets from peers if it can.
func (p *reader) watchConfiguration(ctx context.Context) error {
	p.see(ctx, 0, 0)
	for ctx.Err() == nil {
		if p.rt.Snapshot().Reader {
			p.read(ctx, watchLimit)
			continue
		}
		select {
		case <-ctx.Done():
		case <-p.configAsked:
			p.read(ctx, 0)
		case <-time.After(roleInterval):
		}
	}
	return nil
}

// see asks for the index once.
func (p *reader) see(ctx context.Context, after uint64, hold time.Duration) (config.Index, bool) {
	askedAt := time.Now()
	index, err := p.client.index(ctx, after, hold)
	if err != nil {
		p.fail(ctx, err)
		return index, false
	}
	p.rt.Send(control.ConfigVersionRead{Version: index.Version, Digest: index.Digest(), AskedAt: askedAt})
	return index, true
}

func (p *reader) fail(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	p.rt.Log.EmitRateLimited(event.ConfigServiceFailed, "error", err)
	p.rt.Send(control.ConfigServiceUnreachable{})
	pause(ctx, time.Now().Add(failurePause))
}

// read asks for an index newer than any known and for the values it changed.
func (p *reader) read(ctx context.Context, hold time.Duration) {
	askedAt := time.Now()
	have := p.rt.Snapshot().Document
	index, ok := p.see(ctx, max(have.Index.Version, p.triedVersion), hold)
	if !ok {
		return
	}
	if !p.isNew(index, have.Index) {
		// A service that doesn't hold the call must not be asked in a tight loop.
		pause(ctx, askedAt.Add(failurePause))
		return
	}
	for range valueTries {
		doc, err := p.client.values(ctx, index, have, p.limit())
		switch {
		case err == nil:
			p.triedVersion, p.triedDigest = index.Version, index.Digest()
			p.rt.Send(control.ConfigReceived{Document: doc, Source: "configuration_service", AskedAt: askedAt})
			return
		case err != errOutOfDate:
			p.fail(ctx, err)
			return
		}
		if index, ok = p.see(ctx, 0, 0); !ok {
			return
		}
	}
	p.fail(ctx, errOutOfDate)
}

func (p *reader) limit() *rate.Limiter {
	if p.rt.Snapshot().Reader {
		return p.client.readerLimit
	}
	return p.client.otherLimit
}

func (p *reader) isNew(index, have config.Index) bool {
	digest := index.Digest()
	if index.Version == p.triedVersion && digest == p.triedDigest {
		return false
	}
	return index.Version > have.Version || index.Version == have.Version && digest > have.Digest()
}

func (p *reader) watchList(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := p.client.readList(ctx)
		if err != nil {
			p.rt.Log.EmitRateLimited(event.ListFailed, "error", err)
		} else {
			p.rt.Send(list)
		}
		p.waitForList(ctx, time.Now().Add(listInterval))
	}
	return nil
}

// waitForList returns when the list is to be read again.
func (p *reader) waitForList(ctx context.Context, nextAt time.Time) {
	for ctx.Err() == nil && !(p.rt.Snapshot().Reader && time.Now().After(nextAt)) {
		select {
		case <-ctx.Done():
		case <-p.listAsked:
			return
		case <-time.After(roleInterval):
		}
	}
}

func pause(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}
