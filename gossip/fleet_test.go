package gossip

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
)

// simulatedFleet is a fleet on a virtual clock and a network in memory.
type simulatedFleet struct {
	nodes  []*simulatedNode
	byAddr map[netip.AddrPort]*simulatedNode

	mu sync.Mutex
	// lose reports whether the next datagram is lost; nil if none is.
	lose func() bool
}

// loses reports whether a datagram is lost.
func (f *simulatedFleet) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lose != nil && f.lose()
}

// simulatedNode is an instance of a simulatedFleet. It is its own network connection
// and sink.
type simulatedNode struct {
	// limitedSent is the number of requests to limited upstreams in notices.
	brittle      []decide.BrittleNotice
	localMembers int
	limitedSent  int
	fleet        *simulatedFleet
	addr         netip.AddrPort
	dataCentre   string
	peers        *Peers
	inbox        chan []byte
	closed       chan struct{}
	down         atomic.Bool

	// sent and sentBytes count the datagrams that the node sent, remoteBytes those
	// bytes that it sent to other data centres.
	sent, sentBytes, remoteBytes atomic.Int64

	mu       sync.Mutex
	orders   evacuation.Register
	revision uint64
	notices  int
	reports  map[string]bool
	// suspected is the number of suspected parts in reports of crashes, and findings are
	// those received.
	suspected int
	findings  map[containment.Trait]containment.Finding
	// contained are the parts that the node knows to be contained.
	contained []containment.Finding
}

func (n *simulatedNode) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	select {
	case content := <-n.inbox:
		return copy(b, content), netip.AddrPort{}, nil
	case <-n.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

func (n *simulatedNode) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	n.sent.Add(1)
	n.sentBytes.Add(int64(len(b)))
	receiver := n.fleet.byAddr[to]
	if receiver == nil || receiver.down.Load() || n.down.Load() || n.fleet.loses() {
		return len(b), nil
	}
	if receiver.dataCentre != n.dataCentre {
		n.remoteBytes.Add(int64(len(b)))
	}
	select {
	case receiver.inbox <- slices.Clone(b):
	default: // Datagrams are lost if the receiver is too slow.
	}
	return len(b), nil
}

func (n *simulatedNode) Close() error {
	close(n.closed)
	return nil
}

func (n *simulatedNode) HandleNotice(decide.Notice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notices++
}

func (n *simulatedNode) HandleReport(name string, _ decide.Report) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reports[name] = true
}

func (n *simulatedNode) UpdateList(_ []upstream.Item, at history.Position, _ bool, _ upstream.Source) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.revision = max(n.revision, at.Revision)
}

func (n *simulatedNode) ReportLeaving(string, int64, time.Time, upstream.Source) {}

func (n *simulatedNode) SetListUnreadable() {}

func (n *simulatedNode) ConfirmOrders() {}

func (n *simulatedNode) UpdateOrders(o evacuation.Orders, _ string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.orders.Update(time.Now(), o)
}

func (n *simulatedNode) HandleLimit(l decide.LimitNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limitedSent += l.Sent
}

func (n *simulatedNode) HandleBrittle(b decide.BrittleNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.brittle = append(n.brittle, b)
}

func (n *simulatedNode) SetMembers(e decide.MembersChanged) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.localMembers = len(e.Others)
}

func (n *simulatedNode) HandleCrash(c containment.Crash) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.suspected += len(c.Traits)
}

func (n *simulatedNode) HandleFinding(f containment.Finding) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.findings[f.Trait] = f
}

func (n *simulatedNode) UpdateTable(routing.Document, string) {}

func (n *simulatedNode) Loads(_ context.Context, dataCentre string, limit int) []decide.Load {
	loads := make([]decide.Load, limit)
	for i := range loads {
		loads[i] = decide.Load{Upstream: fmt.Sprintf("i-%s-%08d", dataCentre, i), Running: 10, UsedTokens: 20_000}
	}
	return loads
}

func (n *simulatedNode) state() State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return State{TableVersion: 1, ListPosition: history.Position{Revision: n.revision}, Contained: n.contained, Orders: n.orders.Current()}
}

// runFleet starts a fleet with the same number of instances in each data centre and
// calls test once they have had time to find each other.
func runFleet(t *testing.T, dataCentres, perDataCentre int, test func(*testing.T, *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fleet := &simulatedFleet{byAddr: map[netip.AddrPort]*simulatedNode{}}
		ctx, cancel := context.WithCancel(context.Background())
		log := event.NewLog(io.Discard, "fleet", time.Now)
		var group sync.WaitGroup
		defer func() {
			cancel()
			group.Wait()
			log.Close(time.Now())
		}()
		for i := range dataCentres * perDataCentre {
			dataCentre, number := i%dataCentres, i/dataCentres
			n := &simulatedNode{
				fleet: fleet, dataCentre: fmt.Sprint("dc", dataCentre), revision: 1, reports: map[string]bool{}, findings: map[containment.Trait]containment.Finding{},
				addr:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dataCentre), byte(number / 256), byte(number % 256)}), 7200),
				inbox: make(chan []byte, 4096), closed: make(chan struct{}),
			}
			fleet.nodes = append(fleet.nodes, n)
			fleet.byAddr[n.addr] = n
		}
		seeds := []netip.AddrPort{fleet.nodes[1].addr, fleet.nodes[len(fleet.nodes)/2].addr, fleet.nodes[len(fleet.nodes)-1].addr}
		for i, n := range fleet.nodes {
			n.peers = newPeers(Options{
				Name: fmt.Sprint("n", i), DataCentre: n.dataCentre, Listen: n.addr, Incarnation: 1,
				Seeds: func() []netip.AddrPort { return seeds }, State: n.state, Log: log,
			}, n, n)
			group.Go(func() { _ = n.peers.Receive(ctx) })
			group.Go(func() { _ = n.peers.Run(ctx) })
		}
		time.Sleep(joinTime)
		test(t, fleet)
	})
}

// joinTime is the time in which all instances must have found each other. On the
// platform, traffic starts 10 s after the instances.
const joinTime = 10 * time.Second

var noticeOfRemoteRun = decide.Notice{
	Kind: decide.NoticePlaced, Upstream: "e1", DataCentre: "dc1",
	Request: decide.Request{ID: ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.1:1"), Incarnation: 1}, Sequence: 1}},
}

// TestFleetOfAnySize checks what instances know of each other, and that what they
// send without requests is bounded whatever the size of the fleet.
func TestFleetOfAnySize(t *testing.T) {
	tests := map[string]struct {
		dataCentres, perDataCentre int
	}{
		"full mesh":             {4, 5},
		"6 data centres of 20":  {6, 20},
		"6 data centres of 50":  {6, 50},
		"16 data centres of 25": {16, 25},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.dataCentres, test.perDataCentre, func(t *testing.T, fleet *simulatedFleet) {
				for _, n := range fleet.nodes {
					assert.Equal(t, n.peers.FleetSize(), len(fleet.nodes), n.addr)
				}
				fleet.assertReaders(t)
				fleet.assertTraffic(t, test.perDataCentre)
				fleet.assertDelivery(t)
			})
		})
	}
}

// assertReaders checks that one or two instances of each data centre read the store.
func (f *simulatedFleet) assertReaders(t *testing.T) {
	t.Helper()
	readers := map[string]int{}
	for _, n := range f.nodes {
		if n.peers.ShouldReadStore() {
			readers[n.dataCentre]++
		}
	}
	for dataCentre, count := range readers {
		assert.Assert(t, count == 1 || count == 2, "%s has %d readers", dataCentre, count)
	}
}

const (
	// maxDatagramsPerMember is the maximum number of datagrams per second that an
	// instance may send without requests for each other instance of its data centre.
	// Relays send on a report of loads once in loadSpacing at most, and
	// usualDatagramsPerMember the maximum that half of the instances may send.
	maxDatagramsPerMember   = 4 + int(time.Second/loadSpacing)
	usualDatagramsPerMember = 0.5
	// maxRemoteBytes is the maximum number of bytes per second that an instance may
	// send to other data centres without requests: the target for all control.
	maxRemoteBytes = 27 << 10
	measuredTime   = 5 * time.Second
)

// assertTraffic checks the traffic without requests.
func (f *simulatedFleet) assertTraffic(t *testing.T, perDataCentre int) {
	t.Helper()
	for _, n := range f.nodes {
		n.sent.Store(0)
		n.sentBytes.Store(0)
		n.remoteBytes.Store(0)
	}
	time.Sleep(measuredTime)
	dataCentres := len(f.nodes) / perDataCentre
	var sent, remote []int64
	for _, n := range f.nodes {
		sent = append(sent, n.sent.Load()/int64(measuredTime.Seconds()))
		remote = append(remote, n.remoteBytes.Load()/int64(measuredTime.Seconds()))
	}
	slices.Sort(sent)
	t.Logf("datagrams per second: middle %d, most %d; bytes per second to other data centres: most %d", sent[len(sent)/2], slices.Max(sent), slices.Max(remote))
	limit := int64(maxDatagramsPerMember*perDataCentre + 10*dataCentres)
	assert.Assert(t, slices.Max(sent) <= limit, "%d datagrams per second, the limit is %d", slices.Max(sent), limit)
	if len(f.nodes) > fullMeshLimit {
		usual := sent[len(sent)/2]
		assert.Assert(t, float64(usual) <= usualDatagramsPerMember*float64(perDataCentre), "usually %d datagrams per second", usual)
	}
	assert.Assert(t, slices.Max(remote) <= maxRemoteBytes, "%d bytes per second to other data centres", slices.Max(remote))
}

// deliveryTime is more than two flushes and the time between two reports of loads.
const deliveryTime = 2*flushInterval + 3*minLoadInterval + time.Second

// assertDelivery checks that a notice reaches the instances of the engine's data
// centre, and a change of the list all instances.
func (f *simulatedFleet) assertDelivery(t *testing.T) {
	t.Helper()
	large := len(f.nodes) > fullMeshLimit
	for _, n := range f.nodes {
		n.mu.Lock()
		clear(n.reports) // While the fleet joins, some instances assume that it is small.
		n.mu.Unlock()
	}
	sender := f.nodes[len(f.nodes)-len(f.nodes)/4] // not a relay
	sender.peers.SendNotice(noticeOfRemoteRun)
	reader := f.nodes[0]
	reader.mu.Lock()
	reader.revision = 5
	reader.mu.Unlock()
	items := make([]upstream.Item, 4)
	for i := range items {
		items[i] = upstream.Item{ID: fmt.Sprint("u", i), Revision: uint64(i + 2), Deleted: true}
	}
	// Notices of a limit's use are collected while they contain only a small share of it.
	for range limitUses {
		sender.peers.SendLimit(decide.LimitNotice{Upstream: "u1", Incarnation: 1, Limited: true, PerSecond: 1000, HeardAt: time.Now(), Sent: 1})
	}
	sender.peers.SendBrittle(decide.BrittleNotice{Pool: "shop", MaxRejections: 3, HeardAt: time.Now(), Coordinator: sender.addr, Upstreams: []string{"u1"}})
	crash := containment.Crash{Upstream: containment.Upstream{Name: "u1", Incarnation: 1}, At: time.Now(), Traits: make([]containment.Trait, maxTraits+1)}
	sender.peers.SendCrash(crash)
	sender.peers.SendFinding(containment.Finding{Trait: 7, ContainedAt: time.Now(), CrashedAt: time.Now(), ProbeAt: time.Now().Add(time.Minute), Probes: 1})
	reader.peers.ListChanged(items, history.Position{Revision: 1}, history.Position{Revision: 5})
	time.Sleep(deliveryTime)
	for _, n := range f.nodes {
		n.mu.Lock()
		notices, revision, reports, limitedSent, suspected, finding := n.notices, n.revision, len(n.reports), n.limitedSent, n.suspected, n.findings[7]
		brittle, localMembers := n.brittle, n.localMembers
		n.mu.Unlock()
		assert.Equal(t, localMembers, f.perDataCentre()-1, "other members of the data centre known at %s", n.addr)
		if n != sender && n.dataCentre == "dc1" {
			assert.Equal(t, notices, 1, "notices at %s", n.addr)
		}
		assert.Equal(t, revision, uint64(5), "list revision at %s", n.addr)
		if n != sender {
			assert.Equal(t, limitedSent, limitUses, "requests to a limited upstream known at %s", n.addr)
			assert.Assert(t, len(brittle) == 1 && brittle[0].Coordinator == sender.addr && len(brittle[0].Upstreams) == 1, "brittle pools at %s: %v", n.addr, brittle)
			assert.Equal(t, suspected, len(crash.Traits), "suspected parts at %s", n.addr)
			assert.Assert(t, !finding.ContainedAt.IsZero() && finding.Probes == 1 && time.Until(finding.ProbeAt) > 50*time.Second, "finding at %s", n.addr)
		}
		if large {
			others := len(f.nodes)/f.perDataCentre() - 1
			assert.Equal(t, reports, others*maxLoads, "loads of other data centres at %s", n.addr)
		}
	}
}

// limitUses is the number of requests to a limited upstream that a test announces.
const limitUses = 7

func (f *simulatedFleet) perDataCentre() int {
	count := 0
	for _, n := range f.nodes {
		if n.dataCentre == f.nodes[0].dataCentre {
			count++
		}
	}
	return count
}

// TestNewInstanceLearnsContainedParts checks that heartbeats tell of contained parts, so
// that an instance that starts later refuses requests with them too.
func TestNewInstanceLearnsContainedParts(t *testing.T) {
	runFleet(t, 4, 12, func(t *testing.T, fleet *simulatedFleet) {
		for _, n := range fleet.nodes[1:] {
			n.mu.Lock()
			n.contained = []containment.Finding{{Trait: 7, ContainedAt: time.Now(), CrashedAt: time.Now(), ProbeAt: time.Now().Add(time.Minute)}}
			n.mu.Unlock()
		}
		time.Sleep(2 * rareHeartbeatInterval)
		started := fleet.nodes[0]
		started.mu.Lock()
		defer started.mu.Unlock()
		assert.Assert(t, !started.findings[7].ContainedAt.IsZero())
	})
}

// TestRelaysFail checks that what is forwarded still arrives after all relays of two
// data centres have failed.
func TestRelaysFail(t *testing.T) {
	runFleet(t, 4, 12, func(t *testing.T, fleet *simulatedFleet) {
		for i, n := range fleet.nodes {
			if i < 4*relaysPerDataCentre && (n.dataCentre == "dc1" || n.dataCentre == "dc2") {
				n.down.Store(true)
			}
		}
		time.Sleep(relayTimeout + 2*silenceTimeout)
		sender := fleet.nodes[len(fleet.nodes)-2]
		assert.Equal(t, sender.dataCentre, "dc2")
		sender.peers.SendNotice(noticeOfRemoteRun)
		time.Sleep(deliveryTime)
		for _, n := range fleet.nodes {
			if n.dataCentre == "dc1" && !n.down.Load() {
				assert.Equal(t, n.notices, 1, "notices at %s", n.addr)
			}
		}
	})
}

// TestConsecutiveListDatagrams checks that a change of the list that follows another
// one counts as complete, even if the other one has not been applied yet.
func TestConsecutiveListDatagrams(t *testing.T) {
	sink := &recordingSink{simulatedNode: &simulatedNode{revision: 10}}
	p := newPeers(Options{Name: "a", DataCentre: "a", State: sink.state}, sink, sink)
	p.handleList(&listWire{After: 10, Revision: 13})
	p.handleList(&listWire{After: 13, Revision: 16})
	p.handleList(&listWire{After: 20, Revision: 22})
	p.handleList(&listWire{Era: 1, After: 13, Revision: 16})
	assert.DeepEqual(t, sink.revisions, []uint64{13, 16, 0, 0})
}

// recordingSink records the revisions that are submitted, and doesn't apply them.
type recordingSink struct {
	*simulatedNode
	revisions []uint64
}

func (s *recordingSink) UpdateList(_ []upstream.Item, at history.Position, _ bool, _ upstream.Source) {
	s.revisions = append(s.revisions, at.Revision)
}

// TestDeferrableNotices checks that deferrable notices are sent together, soon after
// the first.
func TestDeferrableNotices(t *testing.T) {
	runFleet(t, 1, 2, func(t *testing.T, fleet *simulatedFleet) {
		sender, receiver := fleet.nodes[0], fleet.nodes[1]
		time.Sleep(heartbeatInterval)
		sent := sender.sent.Load()
		for range maxNotices {
			notice := noticeOfRemoteRun
			notice.Deferrable = true
			sender.peers.SendNotice(notice)
			time.Sleep(maxDeferral / 10)
		}
		time.Sleep(maxDeferral)
		receiver.mu.Lock()
		defer receiver.mu.Unlock()
		assert.Equal(t, receiver.notices, maxNotices)
		assert.Assert(t, sender.sent.Load()-sent <= 2, "%d datagrams, of which one may be a heartbeat", sender.sent.Load()-sent)
	})
}
