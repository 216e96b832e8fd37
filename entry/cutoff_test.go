package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// cutMode is what happens to the connections of an instance that is cut off from all
// servers.
type cutMode uint8

const (
	connected cutMode = iota
	// hanging connections transfer nothing, and new ones are never established.
	hanging
	// resetting connections are reset, and new ones refused.
	resetting
	// refusing only refuses new connections.
	refusing
)

// link is the network between an instance and all servers.
type link struct {
	mu    sync.Mutex
	mode  cutMode
	conns map[*linkConn]bool
	// changed is closed when the mode changes.
	changed chan struct{}
}

func newLink() *link { return &link{conns: map[*linkConn]bool{}, changed: make(chan struct{})} }

func (l *link) set(mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	if mode == resetting {
		for c := range l.conns {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		}
	}
}

func (l *link) state() (cutMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// dial connects to servers, which listen on 127.0.0.1, through the link, and to other
// instances past it.
func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if netip.MustParseAddrPort(addr).Addr() != netip.MustParseAddr("127.0.0.1") {
		return new(net.Dialer).DialContext(ctx, network, addr)
	}
	for {
		mode, changed := l.state()
		switch mode {
		case resetting, refusing:
			return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
		case hanging:
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-changed:
				continue
			}
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &linkConn{Conn: conn, link: l}
		l.mu.Lock()
		l.conns[c] = true
		l.mu.Unlock()
		return c, nil
	}
}

// linkConn is a connection through a link.
type linkConn struct {
	net.Conn
	link *link
	once sync.Once
}

func (c *linkConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for {
		mode, changed := c.link.state()
		if mode != hanging || err != nil {
			return n, err
		}
		<-changed
	}
}

func (c *linkConn) Close() error {
	c.once.Do(func() {
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return c.Conn.Close()
}

// publishCallsAndStreams publishes a table with routes for calls and streams.
func (f *fleet) publishCallsAndStreams(t *testing.T, version uint64) {
	t.Helper()
	assert.NilError(t, f.store.Publish(standin.Configuration{
		Version: version, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 10_000, Team: "team", Key: credential,
		Routes: []standin.Route{
			{Name: "calls", Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: time.Second, Target: 150 * time.Millisecond},
			{Name: "orders", Kind: "unsafe", Service: plain, MaxAttempts: 1, Timeout: time.Second, Target: 150 * time.Millisecond},
			{Name: "tag", Kind: "streaming", Service: model, MaxAttempts: 2, Resumable: true, Timeout: 6 * time.Second, Target: 1500 * time.Millisecond},
		},
	}))
}

func TestInstancesCutOffFromAllServersServeThroughOthers(t *testing.T) {
	const (
		interval = 12 * time.Millisecond
		// contactTime into the cut, callers of cut off instances must be served
		// minServed times as often as those of others.
		cutTime   = 9 * time.Second
		minServed = 0.95
	)
	tests := map[string]struct {
		instances, dataCentres, cut int
		mode                        cutMode
	}{
		"one of four, reset":            {4, 1, 1, resetting},
		"one of four, refused":          {4, 1, 1, refusing},
		"two of four, hanging":          {4, 1, 2, hanging},
		"three of four, hang":           {4, 1, 3, hanging},
		"three of four, reset":          {4, 1, 3, resetting},
		"a data centre of three, hangs": {36, 3, 12, hanging},
		"a data centre of three, reset": {36, 3, 12, resetting},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleetIn(t, test.instances, test.dataCentres)
			f.publishCallsAndStreams(t, 2)
			for n := range 3 {
				f.addServer(t, fmt.Sprintf("p%d", n))
				f.addEngine(t, "", "")
			}
			time.Sleep(2 * settle)
			for n := range test.cut {
				f.links[n].set(test.mode)
			}
			var cut, others, afterwards share
			var group sync.WaitGroup
			send := func(i int, phase *share) {
				n := i % test.instances
				served := false
				switch i / test.instances % 4 {
				case 0, 1:
					served = f.call(t, n, fmt.Sprintf("/calls/%d", i), "") == 200
				case 2:
					served = f.call(t, n, fmt.Sprintf("/orders/%d", i), "order") == 200
				case 3:
					served = f.streamAt(t, n, fmt.Sprintf("/tag/%d", i), false, "a0", "b0")
				}
				if phase != nil {
					phase.sent.Add(1)
					if served {
						phase.begun.Add(1)
					}
				}
			}
			startedAt := time.Now()
			for i := 0; time.Since(startedAt) < cutTime; i++ {
				var phase *share
				switch {
				case time.Since(startedAt) < contactTime:
				case i%test.instances < test.cut:
					phase = &cut
				default:
					phase = &others
				}
				group.Go(func() { send(i, phase) })
				time.Sleep(interval)
			}
			group.Wait()
			for n := range test.cut {
				f.links[n].set(connected)
			}
			time.Sleep(2 * time.Second)
			for i := range 40 {
				send(i, &afterwards)
			}
			t.Logf("served at first try: %d of %d at cut off instances, %d of %d at others, %d of %d afterwards",
				cut.begun.Load(), cut.sent.Load(), others.begun.Load(), others.sent.Load(), afterwards.begun.Load(), afterwards.sent.Load())
			assert.Check(t, cut.sent.Load() >= 20 && others.sent.Load() >= 20)
			assert.Check(t, cut.of() >= minServed*others.of())
			assert.Check(t, others.of() >= minServed && afterwards.of() >= minServed)
		})
	}
}
