package gossip_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/config"
	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/gossip"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
)

// node is an instance with the state that it has received by gossip.
type node struct {
	peers *gossip.Peers

	mu      sync.Mutex
	state   gossip.State
	notices []decide.Notice
	leaving []string
	items   []upstream.Item
}

func (n *node) HandleNotice(notice decide.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices = append(n.notices, notice)
}

func (n *node) ReportLeaving(id string, _ int64, _ time.Time, _ upstream.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = append(n.leaving, id)
}

func (n *node) UpdateTable(d routing.Document, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.state.TableVersion, n.state.Table = d.Table.Version, d.Raw
}

func (n *node) UpdateList(items []upstream.Item, at history.Position, _ bool, _ upstream.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.items = append(n.items, items...)
	n.state.ListPosition = history.Max(n.state.ListPosition, at)
}

func (n *node) SetListUnreadable() {}

func (n *node) ConfirmOrders() {}

func (n *node) UpdateOrders(evacuation.Orders, string) {}

func (n *node) HandleLimit(decide.LimitNotice) {}

func (n *node) HandleBrittle(decide.BrittleNotice) {}

func (n *node) SetMembers(decide.MembersChanged) {}

func (n *node) HandleCrash(containment.Crash) {}

func (n *node) HandleFinding(containment.Finding) {}

func (n *node) HandleReport(string, decide.Report) {}

func (n *node) Loads(context.Context, string, int) []decide.Load { return nil }

func (n *node) list(context.Context) ([]upstream.Item, history.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.items, n.state.ListPosition
}

func (n *node) current() gossip.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state
}

// digitDecoder decodes a table from a digit, which is its version.
type digitDecoder struct{}

func (digitDecoder) Table(raw []byte) (*routing.Table, error) {
	return &routing.Table{Version: uint64(raw[0] - '0')}, nil
}

func (digitDecoder) Entry(id string, _ []byte) (*upstream.Entry, error) {
	return &upstream.Entry{ID: id}, nil
}

// listen opens a TCP port at the host for the control address of an instance.
func listen(t *testing.T, host string) (netip.AddrPort, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp4", host+":0")
	assert.NilError(t, err)
	return listener.Addr().(*net.TCPAddr).AddrPort(), listener
}

// startNode starts an instance at the host. All instances of a test use the
// same UDP port.
func startNode(t *testing.T, host string, port uint16, seeds ...netip.AddrPort) *node {
	t.Helper()
	control, listener := listen(t, host)
	n := startNodeWithControl(t, "a", host, control, port, seeds...)
	server := &http.Server{Handler: n.peers.Handler(), ReadHeaderTimeout: time.Second}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	t.Cleanup(func() {
		server.Close()
		group.Wait()
	})
	return n
}

// startNodeWithControl starts an instance of the data centre that announces the control
// address, at which it does not listen.
func startNodeWithControl(t *testing.T, dataCentre, host string, control netip.AddrPort, port uint16, seeds ...netip.AddrPort) *node {
	t.Helper()
	n := &node{}
	at := netip.AddrPortFrom(netip.MustParseAddr(host), port)
	log := event.NewLog(&bytes.Buffer{}, host, time.Now)
	peers, err := gossip.Listen(gossip.Options{
		Name: host, DataCentre: dataCentre, Listen: at, Control: control, Incarnation: ident.NewIncarnation(time.Now()),
		Seeds: func() []netip.AddrPort { return seeds }, State: n.current, List: n.list, Decoder: digitDecoder{}, Log: log,
	}, n)
	assert.NilError(t, err)
	n.peers = peers
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = peers.Receive(ctx) })
	group.Go(func() { _ = peers.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		log.Close(time.Now().Add(time.Second))
	})
	return n
}

func freePort(t *testing.T) uint16 {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestInstancesFindEachOther checks that three instances join through two
// seeds, one of them unreachable, choose one reader, and receive each other's
// notices.
func TestInstancesFindEachOther(t *testing.T) {
	port := freePort(t)
	seeds := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.9:1"), netip.MustParseAddrPort("127.0.0.1:1")}
	first := startNode(t, "127.0.0.1", port, seeds...)
	second := startNode(t, "127.0.0.2", port, seeds...)
	third := startNode(t, "127.0.0.3", port, seeds...)
	for _, n := range []*node{first, second, third} {
		waitFor(t, "two other instances alive", func() bool { return n.peers.Alive() == 2 })
	}
	waitFor(t, "one reader", func() bool {
		return first.peers.ShouldReadStore() && !second.peers.ShouldReadStore() && !third.peers.ShouldReadStore()
	})

	id := ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort("127.0.0.2:1"), Incarnation: 5}, Sequence: 7}
	request := decide.Request{ID: id, Team: "reef", Class: config.Class{Name: "r", Pool: "p", Kind: config.Stream}, PromptTokens: 40, MaxOutputTokens: 9, Rank: 2}
	second.peers.SendNotice(decide.Notice{Kind: decide.NoticePlaced, Request: request, Upstream: "u1"})
	second.peers.SendLeaving("u2", 1, time.Time{})
	for _, n := range []*node{first, third} {
		waitFor(t, "the notice", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.notices) == 1 && n.notices[0].Request.ID == id && n.notices[0].Request.PromptTokens == 40 && n.notices[0].Request.Rank == 2 && len(n.leaving) == 1
		})
	}
}

// TestStateIsPulledFromReader checks that an instance which does not read the
// store pulls the routing table and the list from the reader.
func TestStateIsPulledFromReader(t *testing.T) {
	port := freePort(t)
	seed := netip.MustParseAddrPort("127.0.0.1:1")
	reader := startNode(t, "127.0.0.1", port, seed)
	other := startNode(t, "127.0.0.2", port, seed)
	waitFor(t, "both instances alive", func() bool { return other.peers.Alive() == 1 && reader.peers.Alive() == 1 })
	reader.mu.Lock()
	reader.state = gossip.State{TableVersion: 3, Table: []byte("3"), ListPosition: history.Position{Revision: 8}}
	reader.items = []upstream.Item{{ID: "u1", Revision: 8, Raw: []byte("x")}}
	reader.mu.Unlock()
	reader.peers.TableChanged()
	waitFor(t, "the table", func() bool { return other.current().TableVersion == 3 })
	waitFor(t, "the list", func() bool { return other.current().ListPosition.Revision == 8 })
	other.mu.Lock()
	defer other.mu.Unlock()
	assert.Equal(t, other.items[0].ID, "u1")
}

func TestStateIsPulledThoughOnlyLocalSourceIsSilent(t *testing.T) {
	const applyTime = 2 * time.Second
	port := freePort(t)
	seed := netip.MustParseAddrPort("127.0.0.1:1")
	// The listener accepts connections and never responds.
	silentControl, silent := listen(t, "127.0.0.1")
	defer silent.Close()
	first := startNodeWithControl(t, "a", "127.0.0.1", silentControl, port, seed)
	other := startNode(t, "127.0.0.2", port, seed)
	remoteControl, listener := listen(t, "127.0.0.3")
	remote := startNodeWithControl(t, "b", "127.0.0.3", remoteControl, port, seed)
	server := &http.Server{Handler: remote.peers.Handler(), ReadHeaderTimeout: time.Second}
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	defer group.Wait()
	defer server.Close()
	waitFor(t, "all instances alive", func() bool {
		return first.peers.Alive() == 2 && other.peers.Alive() == 2 && remote.peers.Alive() == 2
	})
	for _, n := range []*node{first, remote} {
		n.mu.Lock()
		n.state = gossip.State{TableVersion: 3, Table: []byte("3"), ListPosition: history.Position{Revision: 8}}
		n.mu.Unlock()
		n.peers.TableChanged()
	}
	time.Sleep(applyTime)
	assert.Equal(t, other.current().TableVersion, uint64(3))
}
