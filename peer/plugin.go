// Package peer speaks to the other entry instances over gRPC: heartbeats,
// configuration, tickets and explanations.
package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"mangoloft/control"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/peerpb"
)

const (
	// heartbeatInterval is the time between two heartbeats to each peer.
	heartbeatInterval = 1 * time.Second
	dialLimit         = 1 * time.Second
	// A connection that brings nothing for keepaliveInterval is asked for a
	// sign, and is closed when none comes within silenceLimit.
	keepaliveInterval = 10 * time.Second
	silenceLimit      = 2 * time.Second
	// exchangeLimit bounds a heartbeat's exchange.
	exchangeLimit = 1 * time.Second
	// fetchLimit bounds the transfer of a configuration.
	fetchLimit = 5 * time.Second
	// maxMessageBytes bounds one message; a whole configuration must fit.
	maxMessageBytes = 16 << 20
)

func init() {
	kernel.Register(kernel.Plugin{Name: "peer", Stage: kernel.StageFleet, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	l := &links{rt: rt, conns: map[netip.AddrPort]*grpc.ClientConn{}, holders: holders{addr: map[ident.Home]netip.AddrPort{}}, news: make(chan struct{}, 1), fetches: make(chan control.FetchConfig, 1)}
	rt.OnAction(l.watch)
	rt.Provide(l)
	return []kernel.Actor{
		{Name: "peer server", Run: l.serve},
		{Name: "heartbeats", Run: l.beat},
		{Name: "configuration from peers", Run: l.fetch},
	}, nil
}

// links holds the connections to the peers.
type links struct {
	rt    *kernel.Runtime
	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
	// holders says where the tickets of homes that stopped are run.
	holders holders
	// news asks for a heartbeat at once.
	news chan struct{}
	// fetches asks for a peer's configuration. One at a time is enough: the
	// next heartbeat asks again.
	fetches chan control.FetchConfig
}

// watch runs on the control goroutine.
func (l *links) watch(action control.Action) {
	switch a := action.(type) {
	case control.Announce:
		select {
		case l.news <- struct{}{}:
		default:
		}
	case control.FetchConfig:
		select {
		case l.fetches <- a:
		default:
		}
	}
}

func (l *links) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", l.rt.Settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes))
	peerpb.RegisterPeerServer(server, &handler{rt: l.rt, links: l})
	var group sync.WaitGroup
	group.Go(func() {
		<-ctx.Done()
		server.Stop()
	})
	defer group.Wait()
	return server.Serve(listener)
}

// client returns a client of the peer; its connection is made on first use.
func (l *links) client(addr netip.AddrPort) (peerpb.PeerClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn, ok := l.conns[addr]
	if !ok {
		dialer := l.rt.Settings.Dialer(dialLimit)
		var err error
		conn, err = grpc.NewClient(
			"passthrough:///"+addr.String(),
			grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", addr)
			}),
			// A peer that was silent is tried again at each heartbeat.
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
				BaseDelay: heartbeatInterval / 2, Multiplier: 1, MaxDelay: heartbeatInterval,
			}, MinConnectTimeout: dialLimit}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: silenceLimit}),
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			// A call that gRPC repeats by itself could run twice.
			grpc.WithDisableRetry(),
		)
		if err != nil {
			return nil, err
		}
		l.conns[addr] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// beat sends heartbeats to every listed instance, at each interval and when
// there is news.
func (l *links) beat(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		for _, listed := range l.rt.Snapshot().Listed {
			group.Go(func() { l.exchange(ctx, listed.Peer) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-l.news:
		}
	}
}

func (l *links) exchange(ctx context.Context, addr netip.AddrPort) {
	client, err := l.client(addr)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	answer, err := client.Exchange(ctx, l.heartbeat())
	if err != nil {
		return // Silence is what the member table notices.
	}
	l.holders.heard(answer)
	if h, err := heartbeatFromWire(answer); err == nil {
		l.rt.Send(control.PeerHeard{Heartbeat: h})
	}
}
