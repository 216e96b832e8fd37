// Package peer connects the entry instances to each other over gRPC. The instances
// exchange heartbeats, configurations, instance lists and notices of streams, forward
// tickets, hand over ledgers and fetch audit records.
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
	// dialTimeout is the timeout for connecting to a peer.
	dialTimeout = 1 * time.Second
	// keepaliveInterval is the time without incoming data after which a connection is
	// pinged. It is closed if no reply arrives within keepaliveTimeout.
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// initiatorTimeout is the time without a heartbeat after which this instance
	// initiates an exchange that the peer should have initiated.
	initiatorTimeout = heartbeatInterval * 3 / 2
	// fetchQueueSize is the capacity of the queue of fetches.
	fetchQueueSize = 4
	// exchangeTimeout is the timeout for an exchange of heartbeats.
	exchangeTimeout = 1 * time.Second
	// fetchTimeout is the timeout for fetching a configuration or instance list.
	fetchTimeout = 5 * time.Second
	// closeTimeout is the time that open calls have to finish when the server shuts
	// down.
	closeTimeout = 1 * time.Second
	// maxMessageBytes is the maximum size of a message. A whole configuration and
	// the largest body of a call must fit.
	maxMessageBytes = 80 << 20
)

func init() {
	kernel.Register(kernel.Plugin{Name: "peer", Stage: kernel.StageFleet, Start: start})
}

// loadSource provides the load reports that this instance polled itself.
type loadSource interface {
	FreshLoads() []member.Load
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	l := &links{
		rt: rt, conns: map[netip.AddrPort]*grpc.ClientConn{}, peers: map[string]peerState{}, holders: holders{addrs: map[ident.Home]netip.AddrPort{}},
		announcements: make(chan struct{}, 1), notices: newNotices(), fetches: make(chan control.Action, fetchQueueSize),
	}
	var err error
	if l.serverCredentials, l.clientCredentials, err = transportCredentials(rt.Settings.TLS.Peers); err != nil {
		return nil, err
	}
	l.loads, _ = kernel.Find[loadSource](rt)
	rt.OnAction(l.onAction)
	rt.Provide(l)
	return []kernel.Actor{
		{Name: "peer server", Run: l.serve},
		{Name: "heartbeats", Run: l.runHeartbeats},
		{Name: "fetches from peers", Run: l.runFetches},
		{Name: "notices", Run: l.runNotices},
	}, nil
}

// links holds the connections to the peers.
type links struct {
	rt *kernel.Runtime
	// loads is nil if no plug-in provides load reports.
	loads loadSource
	// The credentials for incoming and for outgoing connections.
	serverCredentials, clientCredentials credentials.TransportCredentials

	mu sync.Mutex
	// conns holds the outgoing connections by address.
	conns map[netip.AddrPort]*grpc.ClientConn
	// holders tracks which instances hold the ledgers of homes that stopped.
	holders holders
	// peers holds the state of each peer from its latest heartbeat, by name.
	peers map[string]peerState
	// names caches the upstreams' names by hash, for the instance list with the hash
	// namesListHash.
	names         map[uint32]string
	namesListHash uint64
	notices       *notices
	// announcements triggers immediate heartbeats to all partners.
	announcements chan struct{}
	// fetches queues fetches of a peer's configuration or instance list. While it is
	// full, fetches are dropped; a later heartbeat triggers them again.
	fetches chan control.Action
}

// peerState holds the parts of a peer's latest heartbeat that later exchanges need.
type peerState struct {
	leavingHash uint64
	receivedAt  time.Time
}

// onAction queues notices, heartbeats and fetches that the control state requests.
// It runs on the control goroutine, so it must not block.
func (l *links) onAction(action control.Action) {
	switch a := action.(type) {
	case control.SchedulerAction:
		if notify, ok := a.Action.(decide.Notify); ok {
			l.notices.add(notify.Notice)
		}
	case control.SendHeartbeats:
		select {
		case l.announcements <- struct{}{}:
		default:
		}
	case control.FetchConfigFromPeer, control.FetchListFromPeer:
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
		// Open calls that don't finish within closeTimeout are cancelled.
		stopTimer := time.AfterFunc(closeTimeout, server.Stop)
		server.GracefulStop()
		stopTimer.Stop()
	})
	defer group.Wait()
	return server.Serve(listener)
}

// client returns a client for the peer. Its connection is opened on first use.
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
		dialer := l.rt.Settings.Dialer(dialTimeout)
		var err error
		conn, err = grpc.NewClient(
			"passthrough:///"+addr.String(),
			grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
				return dialer.DialContext(ctx, "tcp", addr)
			}),
			// The backoff is short, so that each heartbeat tries to reconnect to a
			// lost peer.
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
				BaseDelay: heartbeatInterval / 2, Multiplier: 1, MaxDelay: heartbeatInterval,
			}, MinConnectTimeout: dialTimeout}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
			grpc.WithTransportCredentials(l.clientCredentials),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
			// A call could run twice if gRPC retried it.
			grpc.WithDisableRetry(),
		)
		if err != nil {
			return nil, err
		}
		l.conns[addr] = conn
	}
	return conn, nil
}

// runHeartbeats exchanges heartbeats with the partners in every heartbeatInterval and
// on each announcement. An exchange updates both sides, so without an announcement
// only the side with the lower name initiates it.
func (l *links) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var group sync.WaitGroup
	defer group.Wait()
	firstRoundStarted, announced := false, true
	for {
		snapshot := l.rt.Snapshot()
		var round sync.WaitGroup
		for _, partner := range l.partners(snapshot) {
			if announced || partner.Name > l.rt.Settings.Instance || !l.receivedSince(partner.Name, time.Now().Add(-initiatorTimeout)) {
				round.Go(func() { l.exchange(ctx, partner) })
			}
		}
		if !firstRoundStarted && !snapshot.ListReadAt.IsZero() {
			firstRoundStarted = true
			group.Go(func() {
				round.Wait()
				l.rt.Send(control.PeersAttempted{})
			})
		}
		group.Go(round.Wait)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			announced = false
		case <-l.announcements:
			announced = true
		}
	}
}

// partners returns the instances with which heartbeats are exchanged. Before this
// instance has an instance list, these are the seeds, whose names are unknown.
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
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	requestedAt := time.Now()
	reply, err := client.Exchange(ctx, l.heartbeat(l.peerState(partner.Name).leavingHash, partner.DataCentre))
	if err != nil {
		return // The member table detects peers that stop responding.
	}
	l.holders.update(reply)
	if h, err := heartbeatFromWire(reply, time.Now()); err == nil {
		l.receiveHeartbeat(h, reply, requestedAt)
	}
}

// receiveHeartbeat records a heartbeat and sends it to the control goroutine.
// loads is the same heartbeat in wire form, with the load reports. If the
// heartbeat is a reply, requestedAt is the time at which the request was sent;
// otherwise it is zero.
func (l *links) receiveHeartbeat(h member.Heartbeat, loads *peerpb.Heartbeat, requestedAt time.Time) {
	if len(loads.Loads) > 0 {
		h.Loads = loadsFromWire(loads, l.upstreamNames())
	}
	l.mu.Lock()
	l.peers[h.Name] = peerState{h.LeavingHash, time.Now()}
	l.mu.Unlock()
	l.rt.Send(control.HeartbeatReceived{Heartbeat: h, RequestedAt: requestedAt})
}

// upstreamNames returns the upstreams' names by hash, computed once for each
// instance list.
func (l *links) upstreamNames() map[uint32]string {
	snapshot := l.rt.Snapshot()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.names == nil || l.namesListHash != snapshot.ListHash {
		l.names, l.namesListHash = upstreamNames(snapshot.ListedUpstreams, l.rt.Settings.DataCentre), snapshot.ListHash
	}
	return l.names
}

func (l *links) peerState(name string) peerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peers[name]
}

// receivedSince reports whether a heartbeat of the peer was received after since.
func (l *links) receivedSince(name string, since time.Time) bool {
	return l.peerState(name).receivedAt.After(since)
}

// runFetches carries out the queued fetches of configurations and instance lists.
func (l *links) runFetches(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case action := <-l.fetches:
			switch a := action.(type) {
			case control.FetchConfigFromPeer:
				group.Go(func() { l.fetchConfig(ctx, a.Peer) })
			case control.FetchListFromPeer:
				group.Go(func() { l.fetchList(ctx, a.Peer) })
			}
		}
	}
}

func (l *links) fetchList(ctx context.Context, from member.Peer) {
	requestedAt := time.Now()
	list, err := l.requestList(ctx, from)
	if err != nil {
		l.rt.Log.EmitRateLimited(event.ListFailed, "peer", from.Name, "error", err)
		l.rt.Send(control.FetchFailed{})
		return
	}
	list.Source, list.RequestedAt = from.Name, requestedAt
	l.rt.Send(list)
}

func (l *links) requestList(ctx context.Context, from member.Peer) (control.ListRead, error) {
	client, err := l.client(from.Home.Peer)
	if err != nil {
		return control.ListRead{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := client.FetchList(ctx, &peerpb.ListRequest{}, grpc.UseCompressor(gzip.Name))
	if err != nil {
		return control.ListRead{}, err
	}
	return listFromWire(reply, time.Now())
}
