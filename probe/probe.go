// Package probe finds out when the upstreams of a pool from which this instance was cut off
// can be reached again, so that no request of a caller has to wait for it.
package probe

import (
	"context"
	"sync"
	"time"

	"mangoloft/decide"
	"mangoloft/freshconn"
)

const (
	// interval is the time between two probes of a pool.
	interval = 250 * time.Millisecond
	// timeout is the timeout of the connection of a probe.
	timeout = 300 * time.Millisecond
)

// Pools are the pools from which this instance is cut off.
type Pools interface {
	// ProbeTargets returns an upstream of each of them.
	ProbeTargets(ctx context.Context) []decide.ProbeTarget
	// ReportReached reports that a connection to an upstream could be made.
	ReportReached(upstream string)
}

// Prober opens connections to upstreams from which this instance is cut off.
type Prober struct {
	Pools Pools
	Dial  freshconn.Dial
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, target := range p.Pools.ProbeTargets(ctx) {
			group.Go(func() { p.probe(ctx, target) })
		}
	}
}

func (p *Prober) probe(ctx context.Context, target decide.ProbeTarget) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := p.Dial(ctx, "tcp4", target.Addr.String())
	if err != nil {
		// The instance is still cut off, as it was logged.
		return
	}
	conn.Close()
	p.Pools.ReportReached(target.Upstream)
}
