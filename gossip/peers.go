package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/routing"
	"mangoloft/upstream"
)

const (
	// flushInterval is the time for which notices are collected into one
	// datagram.
	flushInterval = 15 * time.Millisecond
	// maxDeferral is the time for which deferrable notices wait for others.
	maxDeferral = 250 * time.Millisecond
	// heartbeatInterval is the time without a datagram after which the
	// broadcast group gets a heartbeat, checked at every tick. The broadcast
	// group contains all live members of a small fleet, and otherwise those of
	// the local data centre. rareHeartbeatInterval applies instead to instances of
	// a large fleet that won't soon become relay or reader.
	heartbeatInterval     = 1 * time.Second
	rareHeartbeatInterval = 3 * time.Second
	// joinInterval is the time between two attempts to reach a first member
	// through the seeds.
	joinInterval = 300 * time.Millisecond
	// startupWait is the time for which a starting instance waits for other
	// instances before it reads the store itself.
	startupWait = 500 * time.Millisecond
	// silentRetryInterval is the time between two attempts to reach silent
	// members, maxSilentContacts the maximum number of members in each.
	silentRetryInterval = 1 * time.Second
	maxSilentContacts   = 32
	// joinRetries is the number of silentRetryIntervals between two contacts with
	// the seeds, so that two parts of the fleet that lost each other's addresses
	// reunite.
	joinRetries = 20
	// maxNotices is the maximum number of notices in one datagram, so that the
	// datagram fits into an Ethernet frame.
	maxNotices = 5
	// maxPending is the maximum number of notices, and of leaving
	// announcements, that wait for a flush. Further ones are dropped.
	maxPending = 512
	// limitNoticeShare is the share of the requests that a limit allows in a second
	// from which a notice of them is not deferred.
	limitNoticeShare = 0.02
	// maxLimitAge is the maximum time since an upstream declared its limit in a notice.
	maxLimitAge = 24 * time.Hour
	// maxColdTime is the maximum plausible time for which an upstream is still cold.
	maxColdTime = time.Hour
	// maxBrittleAge is the maximum time since an upstream declared that it is brittle, and
	// maxClaims the maximum number of upstreams, in a notice.
	maxBrittleAge = time.Minute
	maxClaims     = 64
	// maxTraits is the maximum number of traits of requests in one datagram.
	maxTraits = 40
	// maxHeartbeatFindings is the maximum number of contained traits in a heartbeat.
	maxHeartbeatFindings = 8
	// maxFindingAge is the maximum age of anything that a datagram tells of a trait,
	// and the maximum time until a probe.
	maxFindingAge = 24 * time.Hour
	// maxListItems is the maximum number of list entries in one datagram, so that
	// it fits into an Ethernet frame. If more than maxListChanges have changed, none
	// are sent, and the receivers pull the list.
	maxListItems   = 3
	maxListChanges = 48
	// maxMemberAddrs is the maximum number of addresses of members of the
	// receivers' data centre in a heartbeat, maxMemberAddrsToNew the maximum in the
	// response to a new member, and maxRemoteAddrsToNew the maximum there for each
	// other data centre.
	maxMemberAddrs      = 3
	maxMemberAddrsToNew = 60
	maxRemoteAddrsToNew = relaysPerDataCentre
	// maxDatagramBytes is the maximum size of a datagram. A longer one is not sent.
	maxDatagramBytes = 16 << 10
	// readerPullDelay is how long an instance that reads the store itself waits
	// for newer state before it pulls it from a member.
	readerPullDelay = 250 * time.Millisecond
	// nonReaderPullDelay is the corresponding delay of an instance that does not
	// read the store. It gives list changes in transit time to arrive.
	nonReaderPullDelay = 30 * time.Millisecond
	// minLoadInterval is the minimum time between two reports of a data centre's
	// engine loads to another one. It is longer if there are many other data centres,
	// so that a report is sent once in loadSpacing on average.
	minLoadInterval = 300 * time.Millisecond
	loadSpacing     = 50 * time.Millisecond
	// receiveBacklog is the capacity of the queue of received datagrams.
	receiveBacklog = 256
)

// State is the state that the instance shares with other instances.
type State struct {
	TableVersion uint64
	ListPosition history.Position
	// StoreLost reports that the instance's latest attempt to read the store
	// failed, and ReadsStore that it reads the list and its latest attempt succeeded.
	StoreLost, ReadsStore bool
	// Table is the routing table as published.
	Table []byte
	// Contained are the traits of requests on which upstreams crash.
	Contained []containment.Finding
	// LostPools are the pools from which the instance is cut off.
	LostPools []string
	// Orders are the newest orders to evacuate data centres; zero if there never were any.
	Orders evacuation.Orders
}

// Sink receives the state that other instances send, and is queried for the
// loads that this instance sends.
type Sink interface {
	// HandleNotice receives a notice about a stream of another instance.
	HandleNotice(n decide.Notice)
	// ReportLeaving reports that an incarnation of an upstream, identified by its
	// start time, is leaving. leavesAt is zero if unknown. The source is always
	// upstream.FromPeer.
	ReportLeaving(id string, startUnixMS int64, leavesAt time.Time, source upstream.Source)
	// UpdateTable submits a routing table; sourceName is the name of the member that
	// sent it.
	UpdateTable(d routing.Document, sourceName string)
	// UpdateList submits entries of the list of upstreams. complete reports
	// whether items is the whole list. Revision 0 keeps the current position. The
	// source is always upstream.FromPeer.
	UpdateList(items []upstream.Item, at history.Position, complete bool, source upstream.Source)
	// SetListUnreadable reports that no instance can read the list at present.
	SetListUnreadable()
	// UpdateOrders submits orders to evacuate data centres that the named member sent.
	UpdateOrders(o evacuation.Orders, sourceName string)
	// ConfirmOrders reports that the orders submitted last were those of another instance a
	// moment ago, as requested.
	ConfirmOrders()
	// HandleLimit receives a notice of an upstream's limit.
	HandleLimit(n decide.LimitNotice)
	// HandleBrittle receives a notice of brittle upstreams.
	HandleBrittle(n decide.BrittleNotice)
	// SetMembers sets the live instances of the local data centre.
	SetMembers(e decide.MembersChanged)
	// HandleCrash receives the report of a crash of an upstream.
	HandleCrash(c containment.Crash)
	// HandleFinding receives what another instance knows of a trait of requests.
	HandleFinding(f containment.Finding)
	// HandleReport submits a load report of the upstream with this name.
	HandleReport(name string, r decide.Report)
	// Loads is a query: it returns the loads of up to limit engines of a data
	// centre, those with the most room.
	Loads(ctx context.Context, dataCentre string, limit int) []decide.Load
}

// Decoder decodes published documents, which members forward unchanged.
type Decoder interface {
	Table(raw []byte) (*routing.Table, error)
	Entry(id string, raw []byte) (*upstream.Entry, error)
}

// Options identify the instance and connect it to its state.
type Options struct {
	Name       string
	DataCentre string
	// Listen is the UDP address for datagrams, Control the HTTP address at which
	// other instances pull state.
	Listen      netip.AddrPort
	Control     netip.AddrPort
	Incarnation ident.Incarnation
	// Seeds returns the control addresses of instances through which to join
	// the fleet, some of which may be stale or down. They use the
	// gossip port of this instance.
	Seeds func() []netip.AddrPort
	State func() State
	// List returns the list of upstreams and its position.
	List func(ctx context.Context) ([]upstream.Item, history.Position)
	// Origin returns the version that began a stream, if it is known here.
	Origin  func(ctx context.Context, stream origin.Key) (version string, known bool)
	Decoder Decoder
	Log     *event.Log
}

// Peers exchanges datagrams and state with the other instances.
type Peers struct {
	options Options
	sink    Sink
	conn    packetConn

	mu sync.Mutex
	// pendingNotices, leaving and items are sent by the next flush.
	pendingNotices []decide.Notice
	leaving        []leavingAnnouncement
	// limits contains the next notice of each upstream's limit, by the upstream's ID.
	limits map[string]decide.LimitNotice
	// brittle contains the next notice of each brittle pool.
	brittle map[string]decide.BrittleNotice
	// crashes and findings concern traits of requests.
	crashes  []containment.Crash
	findings []containment.Finding
	items    []upstream.Item
	// itemsAfter and itemsUpTo are the positions of the list between which the items
	// changed.
	itemsAfter, itemsUpTo history.Position
	// orders are the orders to announce; nil if there are none.
	orders *ordersWire
	// deferred is true if a flush has been requested for deferrable notices.
	deferred bool
	// urgent is true if the next flush must not wait for more notices.
	urgent bool

	// traffic contains the counters of each content. The map doesn't change.
	traffic map[string]*trafficCounters

	// wake requests a flush, and ordersRequested a pull of other instances' orders.
	wake            chan struct{}
	ordersRequested chan struct{}
	received        chan datagramWire
	// The atomic fields are updated by Run for other goroutines.
	alive       atomic.Int64
	fleetSize   atomic.Int64
	dataCentres atomic.Pointer[map[string]int]
	readers     atomic.Int64
	listCurrent atomic.Bool
	isReader    atomic.Bool
	isPrimary   atomic.Bool
	stopping    atomic.Bool
	// reachable contains the members that can be asked to serve requests.
	reachable atomic.Pointer[[]Member]
	// localMembers are the members that the sink knows. It is used only by the goroutine
	// of Run.
	localMembers decide.MembersChanged
	// groupControls contains the control addresses of the broadcast group.
	groupControls atomic.Pointer[[]netip.AddrPort]

	// The following fields are used only by the goroutine of Run.
	members   *MemberTable
	startedAt time.Time
	// behindSince is the time since which a member has had newer state, or the
	// start of the latest pull if later; zero if none has.
	behindSince   time.Time
	lastHeartbeat time.Time
	// announcedRead is the ReadsStore of the latest heartbeat.
	announcedRead       bool
	lastJoin            time.Time
	lastSilentRetry     time.Time
	lastLoads           time.Time
	lastRemoteHeartbeat time.Time
	// submittedPosition is the latest position of the list up to which all changes
	// have been submitted to the sink.
	submittedPosition history.Position
	// relayedNotices are notices from other data centres that the next flush
	// sends to the local one. relayedPosition is the latest position of the list that
	// was relayed in this way.
	relayedNotices  []noticeWire
	relayedPosition history.Position
	// relayedOrders is the latest position of orders that were sent on to the local data
	// centre.
	relayedOrders history.Position
	// latestControls are the latest groupControls that were not empty: after a pause of this
	// process, all members count as silent.
	latestControls []netip.AddrPort

	pulls *pullTracker
}

// leavingAnnouncement announces that an upstream is leaving. leavesAt is zero if
// unknown.
type leavingAnnouncement struct {
	id          string
	startUnixMS int64
	leavesAt    time.Time
}

// packetConn is the part of net.UDPConn that Peers uses.
type packetConn interface {
	ReadFromUDPAddrPort(b []byte) (n int, from netip.AddrPort, err error)
	WriteToUDPAddrPort(b []byte, to netip.AddrPort) (n int, err error)
	Close() error
}

// Listen opens the instance's UDP port.
func Listen(o Options, sink Sink) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, err
	}
	return newPeers(o, conn, sink), nil
}

func newPeers(o Options, conn packetConn, sink Sink) *Peers {
	p := &Peers{
		options: o, sink: sink, conn: conn, wake: make(chan struct{}, 1), ordersRequested: make(chan struct{}, 1), received: make(chan datagramWire, receiveBacklog),
		members: NewMemberTable(o.Listen, o.DataCentre),
		traffic: newTrafficCounters(), pulls: newPullTracker(),
	}
	p.fleetSize.Store(1)
	p.dataCentres.Store(&map[string]int{})
	return p
}

// ShouldReadStore reports whether the instance should read the store for its
// data centre.
func (p *Peers) ShouldReadStore() bool { return p.isReader.Load() }

// IsPrimary reports whether the instance performs the tasks that only one
// instance performs for its data centre.
func (p *Peers) IsPrimary() bool { return p.isPrimary.Load() }

// Alive returns the number of other instances that are alive.
func (p *Peers) Alive() int { return int(p.alive.Load()) }

// FleetSize returns the number of live instances, including this one. Unlike Alive,
// it includes those that this instance doesn't know individually.
func (p *Peers) FleetSize() int { return int(p.fleetSize.Load()) }

// DataCentres returns the number of live instances of each data centre, including this one.
// The result must not be changed.
func (p *Peers) DataCentres() map[string]int { return *p.dataCentres.Load() }

// StoreReaders returns the number of instances that read the store, in all data
// centres.
func (p *Peers) StoreReaders() int { return int(p.readers.Load()) }

// ListCurrent reports whether this or another instance reads the list of upstreams,
// so that its changes arrive.
func (p *Peers) ListCurrent() bool { return p.listCurrent.Load() }

// SendNotice queues a notice for the next datagram.
func (p *Peers) SendNotice(n decide.Notice) {
	p.mu.Lock()
	if len(p.pendingNotices) < maxPending {
		p.pendingNotices = append(p.pendingNotices, n)
	}
	requested := p.deferred
	p.deferred = p.deferred || n.Deferrable
	p.mu.Unlock()
	switch {
	case !n.Deferrable:
		p.wakeUp()
	case !requested:
		time.AfterFunc(maxDeferral, p.wakeUp)
	}
}

// SendLimit queues a notice of an upstream's limit. Notices of its use are collected
// while they contain only a small share of the limit.
func (p *Peers) SendLimit(n decide.LimitNotice) {
	p.mu.Lock()
	if p.limits == nil {
		p.limits = map[string]decide.LimitNotice{}
	}
	changed := n.Sent == 0
	if previous, ok := p.limits[n.Upstream]; ok && previous.Incarnation == n.Incarnation {
		n.Sent += previous.Sent
	}
	p.limits[n.Upstream] = n
	requested := p.deferred
	isPrompt := changed || float64(n.Sent) >= limitNoticeShare*n.PerSecond
	p.deferred = p.deferred || !isPrompt
	p.mu.Unlock()
	switch {
	case isPrompt:
		p.wakeUp()
	case !requested:
		time.AfterFunc(maxDeferral, p.wakeUp)
	}
}

// SendBrittle sends a notice of brittle upstreams at once.
func (p *Peers) SendBrittle(n decide.BrittleNotice) {
	p.mu.Lock()
	if p.brittle == nil {
		p.brittle = map[string]decide.BrittleNotice{}
	}
	p.brittle[n.Pool] = n
	p.urgent = true
	p.mu.Unlock()
	p.wakeUp()
}

// SendCrash sends the report of a crash of an upstream at once: callers repeat requests
// that failed through other instances within some milliseconds.
func (p *Peers) SendCrash(c containment.Crash) {
	p.mu.Lock()
	if len(p.crashes) < maxPending {
		p.crashes = append(p.crashes, c)
	}
	p.urgent = true
	p.mu.Unlock()
	p.wakeUp()
}

// SendFinding queues what is known of a trait of requests. It is sent at once if the trait
// is contained.
func (p *Peers) SendFinding(f containment.Finding) {
	p.mu.Lock()
	if len(p.findings) < maxPending {
		p.findings = append(p.findings, f)
	}
	p.urgent = p.urgent || !f.ContainedAt.IsZero()
	p.mu.Unlock()
	p.wakeUp()
}

// PoolReachChanged announces at once from which pools the instance is cut off.
func (p *Peers) PoolReachChanged() { p.TableChanged() }

// SendLeaving announces that an upstream is leaving.
func (p *Peers) SendLeaving(id string, startUnixMS int64, leavesAt time.Time) {
	p.mu.Lock()
	if len(p.leaving) < maxPending {
		p.leaving = append(p.leaving, leavingAnnouncement{id, startUnixMS, leavesAt})
	}
	p.mu.Unlock()
	p.wakeUp()
}

// ListChanged queues the list changes between two positions for the other instances.
// Without items it announces the new position.
func (p *Peers) ListChanged(items []upstream.Item, after, upTo history.Position) {
	p.mu.Lock()
	if upTo.Era != p.itemsUpTo.Era {
		p.items = nil
	}
	if len(p.items) == 0 {
		p.itemsAfter = after
	}
	p.items, p.itemsUpTo = append(p.items, items...), upTo
	p.urgent = true
	p.mu.Unlock()
	p.wakeUp()
}

// TableChanged announces a newer routing table to the broadcast group
// immediately.
func (p *Peers) TableChanged() {
	p.mu.Lock()
	p.urgent = true
	p.mu.Unlock()
	p.wakeUp()
}

func (p *Peers) isUrgent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.urgent
}

// Stop makes Run announce the planned stop to the broadcast group.
func (p *Peers) Stop() {
	p.stopping.Store(true)
	p.wakeUp()
}

// wakeUp makes Run flush. It does not block.
func (p *Peers) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run sends and handles datagrams until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	defer p.pulls.group.Wait()
	p.startedAt = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case datagram := <-p.received:
			p.handleDatagram(ctx, datagram)
			continue
		case <-p.pulls.due:
			p.catchUp(ctx, time.Now())
		case <-p.ordersRequested:
			p.pullOrders(ctx)
		case <-p.wake:
			if !p.isUrgent() {
				p.handleDatagramsUntil(ctx, time.After(flushInterval))
			}
			p.flush(time.Now())
		case <-timer.C:
			p.tick(ctx, time.Now())
			timer.Reset(p.nextTick())
		}
	}
}

// handleDatagramsUntil handles received datagrams until the deadline, while
// notices are collected for the next flush. It returns immediately if the
// instance is stopping.
func (p *Peers) handleDatagramsUntil(ctx context.Context, deadline <-chan time.Time) {
	if p.stopping.Load() {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-deadline:
			return
		case datagram := <-p.received:
			p.handleDatagram(ctx, datagram)
		}
	}
}

// nextTick returns the time until the next tick. It is shorter while the
// instance joins the fleet, and on the relays, which send loads to other data
// centres.
func (p *Peers) nextTick() time.Duration {
	switch {
	case p.members.Count() == 0 || time.Since(p.startedAt) < 2*startupWait:
		return joinInterval
	case p.members.IsLarge() && p.members.IsRelay():
		return minLoadInterval
	}
	return heartbeatInterval / 2
}

// tick expires silent members, updates the roles of this instance, and sends
// the datagrams that are due.
func (p *Peers) tick(ctx context.Context, now time.Time) {
	for _, m := range p.members.Expire(now) {
		p.options.Log.Emit(event.PeerLost, "peer", m.Name, "address", m.Addr.String(), "reason", "silent", "last_heard_ms", now.Sub(m.LastSeenAt).Milliseconds())
	}
	p.publishControls()
	p.publishReachable()
	p.alive.Store(int64(p.members.Count()))
	p.fleetSize.Store(int64(p.members.FleetSize()))
	counts := p.members.DataCentreSizes()
	p.dataCentres.Store(&counts)
	p.readers.Store(int64(p.members.ReaderCount()))
	reads := p.options.State().ReadsStore
	p.listCurrent.Store(p.members.ListCurrent(now, reads))
	if !p.ListCurrent() {
		p.sink.SetListUnreadable()
	}
	// An instance without live members reads the store itself, but only after
	// the other instances of a starting fleet have had time to respond.
	p.isReader.Store(p.members.ShouldReadStore(p.options.State().StoreLost) && now.Sub(p.startedAt) >= startupWait)
	p.isPrimary.Store(p.members.IsPrimary() && now.Sub(p.startedAt) >= startupWait)
	p.contactSilent(now)
	if now.Sub(p.lastHeartbeat) >= p.members.HeartbeatInterval() || reads != p.announcedRead {
		p.announcedRead = reads
		p.sendHeartbeat(now)
	}
	if now.Sub(p.lastRemoteHeartbeat) >= heartbeatInterval {
		p.lastRemoteHeartbeat = now
		p.sendRemoteHeartbeats()
	}
	if now.Sub(p.lastLoads) >= p.loadInterval() {
		p.lastLoads = now
		p.sendLoads(ctx, now)
	}
	p.catchUp(ctx, now)
}

// contactSilent sends a datagram to the seeds and to some silent members, if it is
// due.
func (p *Peers) contactSilent(now time.Time) {
	if p.members.Count() == 0 && now.Sub(p.lastJoin) >= joinInterval || now.Sub(p.lastJoin) >= joinRetries*silentRetryInterval {
		p.lastJoin = now
		for _, seed := range p.options.Seeds() {
			addr := netip.AddrPortFrom(seed.Addr(), p.options.Listen.Port())
			if addr != p.options.Listen {
				p.write(p.encode(datagramWire{}), addr)
			}
		}
	}
	if now.Sub(p.lastSilentRetry) < silentRetryInterval {
		return
	}
	p.lastSilentRetry = now
	for _, addr := range p.members.SilentAddresses(maxSilentContacts) {
		p.write(p.encode(datagramWire{}), addr)
	}
}
