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
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/encoding/gzip"
	"google.golang.org/grpc/keepalive"

	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/member"
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
	// quietLimit is how long a peer that begins the exchanges may be quiet
	// before this side begins one too.
	quietLimit = heartbeatInterval * 3 / 2
	// fetchBacklog is how many fetches may wait.
	fetchBacklog = 4
	// exchangeLimit bounds a heartbeat's exchange.
	exchangeLimit = 1 * time.Second
	// fetchLimit bounds the transfer of a configuration.
	fetchLimit = 5 * time.Second
	// closeLimit bounds the wait for answers at the very end.
	closeLimit = 1 * time.Second
	// maxMessageBytes bounds one message; a whole configuration must fit.
	// and so must the largest body of a call.
	maxMessageBytes = 80 << 20
)

func init() {
	kernel.Register(kernel.Plugin{Name: "peer", Stage: kernel.StageFleet, Start: start})
}

// loadSource holds the load reports that this instance asked for itself.
type loadSource interface {
	FreshLoads() []member.Load
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	l := &links{
		rt: rt, conns: map[netip.AddrPort]*grpc.ClientConn{}, peers: map[string]contact{}, holders: holders{addr: map[ident.Home]netip.AddrPort{}},
		news: make(chan struct{}, 1), notices: newNotices(), fetches: make(chan control.Action, fetchBacklog),
	}
	var err error
	if l.serverCredentials, l.clientCredentials, err = secrecy(rt.Settings.TLS.Peers); err != nil {
		return nil, err
	}
	l.loads, _ = kernel.Find[loadSource](rt)
	rt.OnAction(l.watch)
	rt.Provide(l)
	return []kernel.Actor{
		{Name: "peer server", Run: l.serve},
		{Name: "heartbeats", Run: l.beat},
		{Name: "fetches from peers", Run: l.fetch},
		{Name: "notices", Run: l.notify},
	}, nil
}

// links holds the connections to the peers.
type links struct {
	rt    *kernel.Runtime
	loads loadSource
	// What secures the connections that peers make, and those to peers.
	serverCredentials, clientCredentials credentials.TransportCredentials

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
	// holders says where the tickets of homes that stopped are run.
	holders holders
	// peers holds what the latest heartbeat of each peer said.
	peers map[string]contact
	// names holds the upstreams' names by hash, of the list with the hash namesOf.
	names   map[uint32]string
	namesOf uint64
	notices *notices
	// news asks for a heartbeat at once.
	news chan struct{}
	// fetches asks for a peer's configuration or instance list. A full channel
	// loses nothing: a later heartbeat asks again.
	fetches chan control.Action
}

// contact is what the sender of heartbeats remembers of a peer.
type contact struct {
	leavingHash uint64
	heardAt     time.Time
}

// watch runs on the control goroutine.
func (l *links) watch(action control.Action) {
	switch a := action.(type) {
	case control.SchedulerAction:
		if notify, ok := a.Action.(decide.Notify); ok {
			l.notices.add(notify.Notice)
		}
	case control.Announce:
		select {
		case l.news <- struct{}{}:
		default:
		}
	case control.FetchConfig, control.FetchList:
		select {
		case l.fetches <- action:
		default:
		}
	}
}

func (l *links) serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", l.rt.Settings.Listen.Peers.String())
	if err != nil {
		return err
	}
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes), grpc.Creds(l.serverCredentials))
	peerpb.RegisterPeerServer(server, &handler{rt: l.rt, links: l})
	var group sync.WaitGroup
	group.Go(func() {
		<-ctx.Done()
		// Answers that are being written get through.
		closing := time.AfterFunc(closeLimit, server.Stop)
		server.GracefulStop()
		closing.Stop()
	})
	defer group.Wait()
	return server.Serve(listener)
}

// client returns a client of the peer; its connection is made on first use.
func (l *links) client(addr netip.AddrPort) (peerpb.PeerClient, error) {
	conn, err := l.conn(addr)
	if err != nil {
		return nil, err
	}
	return peerpb.NewPeerClient(conn), nil
}

func (l *links) conn(addr netip.AddrPort) (*grpc.ClientConn, error) {
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
			grpc.WithTransportCredentials(l.clientCredentials),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			// A call that gRPC repeats by itself could run twice.
			grpc.WithDisableRetry(),
		)
		if err != nil {
			return nil, err
		}
		l.conns[addr] = conn
	}
	return conn, nil
}

// beat exchanges heartbeats with the partners, at each interval and when there
// is news. In quiet times one side of a pair is enough, because an exchange
// tells both: the one with the lesser name begins.
func (l *links) beat(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	asked, isNews := false, true
	for {
		snapshot := l.rt.Snapshot()
		var round sync.WaitGroup
		for _, partner := range l.partners(snapshot) {
			if isNews || partner.Name > l.rt.Settings.Instance || !l.heardSince(partner.Name, time.Now().Add(-quietLimit)) {
				round.Go(func() { l.exchange(ctx, partner) })
			}
		}
		if !asked && !snapshot.ListReadAt.IsZero() {
			asked = true
			group.Go(func() {
				round.Wait()
				l.rt.Send(control.PeersContacted{})
			})
		}
		group.Go(round.Wait)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			isNews = false
		case <-l.news:
			isNews = true
		}
	}
}

// partners returns whom to speak to: the seeds, whose names are not known,
// until anyone has told the instance list.
func (l *links) partners(snapshot *control.Snapshot) []member.ListedInstance {
	if !snapshot.ListReadAt.IsZero() {
		return snapshot.Partners
	}
	var seeds []member.ListedInstance
	for _, addr := range l.rt.Settings.Seeds {
		if addr != l.rt.Home.Peer {
			seeds = append(seeds, member.ListedInstance{Peer: addr})
		}
	}
	return seeds
}

func (l *links) exchange(ctx context.Context, partner member.ListedInstance) {
	client, err := l.client(partner.Peer)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeLimit)
	defer cancel()
	askedAt := time.Now()
	answer, err := client.Exchange(ctx, l.heartbeat(l.contact(partner.Name).leavingHash, partner.DataCentre))
	if err != nil {
		return // Silence is what the member table notices.
	}
	l.holders.heard(answer)
	if h, err := heartbeatFromWire(answer, time.Now()); err == nil {
		l.hear(h, answer, askedAt)
	}
}

// hear takes a heartbeat, with the load reports as they came; askedAt is zero
// unless it is an answer.
func (l *links) hear(h member.Heartbeat, loads *peerpb.Heartbeat, askedAt time.Time) {
	if len(loads.Loads) > 0 {
		h.Loads = loadsFromWire(loads, l.upstreamNames())
	}
	l.mu.Lock()
	l.peers[h.Name] = contact{h.LeavingHash, time.Now()}
	l.mu.Unlock()
	l.rt.Send(control.HeartbeatReceived{Heartbeat: h, AskedAt: askedAt})
}

// upstreamNames returns the names by hash, worked out once for each list.
func (l *links) upstreamNames() map[uint32]string {
	snapshot := l.rt.Snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names == nil || l.namesOf != snapshot.ListHash {
		l.names, l.namesOf = upstreamNames(snapshot.ListedUpstreams, l.rt.Settings.DataCentre), snapshot.ListHash
	}
	return l.names
}

func (l *links) contact(name string) contact {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[name]
}

func (l *links) heardSince(name string, since time.Time) bool {
	return l.contact(name).heardAt.After(since)
}

// fetch brings configurations and instance lists from peers that have newer ones.
func (l *links) fetch(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case action := <-l.fetches:
			switch a := action.(type) {
			case control.FetchConfig:
				group.Go(func() { l.fetchConfig(ctx, a.Peer) })
			case control.FetchList:
				group.Go(func() { l.fetchList(ctx, a.Peer) })
			}
		}
	}
}

func (l *links) fetchList(ctx context.Context, from member.Peer) {
	askedAt := time.Now()
	list, err := l.listFrom(ctx, from)
	if err != nil {
		l.rt.Log.EmitSparingly(event.ListFailed, "peer", from.Name, "error", err)
		l.rt.Send(control.FetchFailed{})
		return
	}
	list.Source, list.AskedAt = from.Name, askedAt
	l.rt.Send(list)
}

func (l *links) listFrom(ctx context.Context, from member.Peer) (control.ListRead, error) {
	client, err := l.client(from.Home.Peer)
	if err != nil {
		return control.ListRead{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	reply, err := client.FetchList(ctx, &peerpb.ListRequest{}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return control.ListRead{}, err
	}
	return listFromWire(reply, time.Now())
}
