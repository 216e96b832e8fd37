package probe_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/decide"
	"mangoloft/probe"
)

// fakePools proposes one target until it is reached.
type fakePools struct{ reached atomic.Int64 }

func (p *fakePools) ProbeTargets(context.Context) []decide.ProbeTarget {
	if p.reached.Load() > 0 {
		return nil
	}
	return []decide.ProbeTarget{{Upstream: "u", Addr: netip.MustParseAddrPort("127.0.0.1:1")}}
}

func (p *fakePools) ReportReached(string) { p.reached.Add(1) }

func TestUpstreamIsReportedOnceItCanBeReached(t *testing.T) {
	pools, dials, up := &fakePools{}, atomic.Int64{}, atomic.Bool{}
	p := probe.Prober{Pools: pools, Dial: func(context.Context, string, string) (net.Conn, error) {
		dials.Add(1)
		if !up.Load() {
			return nil, errors.New("unreachable")
		}
		conn, other := net.Pipe()
		other.Close()
		return conn, nil
	}}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { assert.Check(t, p.Run(ctx)) })
	waitFor := func(condition func() bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if condition() {
				return poll.Success()
			}
			return poll.Continue("waiting")
		}, poll.WithTimeout(10*time.Second))
	}
	waitFor(func() bool { return dials.Load() >= 2 })
	assert.Equal(t, pools.reached.Load(), int64(0))
	up.Store(true)
	waitFor(func() bool { return pools.reached.Load() > 0 })
	cancel()
	group.Wait()
}
