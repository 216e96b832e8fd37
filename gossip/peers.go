package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
)

const (
	// flushInterval is the time for which notices are collected into one
	// datagram.
	flushInterval = 15 * time.Millisecond
	// heartbeatInterval is the time without a datagram after which the
	// broadcast group gets a heartbeat, checked at every tick. The broadcast
	// group contains all live members of a small fleet, and otherwise those of
	// the local data centre.
	heartbeatInterval = 1 * time.Second
	// joinInterval is the time between two attempts to reach a first member
	// through the seeds.
	joinInterval = 300 * time.Millisecond
	// startupWait is the time for which a starting instance waits for other
	// instances before it reads the store itself.
	startupWait = 500 * time.Millisecond
	// silentRetryInterval is the time between two attempts to reach silent
	// members.
	silentRetryInterval = 2 * time.Second
	// maxNotices is the maximum number of notices in one datagram, so that the
	// datagram fits into an Ethernet frame.
	maxNotices = 5
	// maxPending is the maximum number of notices, and of leaving
	// announcements, that wait for a flush. Further ones are dropped.
	maxPending = 512
	// maxListItems is the maximum number of list entries in one datagram. If
	// more have changed, none are sent, and the receivers pull the list.
	maxListItems = 12
	// maxMemberAddrs is the maximum number of addresses of other members in one
	// datagram, maxMemberAddrsToNew the maximum in the response to a new member.
	maxMemberAddrs      = 4
	maxMemberAddrsToNew = 40
	// receiveBufferBytes is the size of the receive buffer. A longer datagram is
	// truncated and can't be decoded.
	receiveBufferBytes = 16 << 10
	// readerPullDelay is how long an instance that reads the store itself waits
	// for newer state before it pulls it from a member.
	readerPullDelay = 250 * time.Millisecond
	// nonReaderPullDelay is the corresponding delay of an instance that does not
	// read the store. It gives list changes in transit time to arrive.
	nonReaderPullDelay = 30 * time.Millisecond
	// remoteMembersPerRound is the number of members outside the broadcast
	// group that get a heartbeat in each heartbeatInterval.
	remoteMembersPerRound = 3
	// loadInterval is the time between two reports of a data centre's engine
	// loads to the other data centres.
	loadInterval = 300 * time.Millisecond
	// receiveBacklog is the capacity of the queue of received datagrams.
	receiveBacklog = 256
)

// State is the state that the instance shares with other instances.
type State struct {
	TableVersion, ListRevision uint64
	// StoreLost reports that the instance's latest attempt to read the store
	// failed.
	StoreLost bool
	// Table is the routing table as published, Items is the list of upstreams.
	Table []byte
	Items []upstream.Item
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
	// whether items is the whole list. Revision 0 keeps the current revision. The
	// source is always upstream.FromPeer.
	UpdateList(items []upstream.Item, revision uint64, complete bool, source upstream.Source)
	// HandleReport submits a load report of the upstream with this name.
	HandleReport(name string, r decide.Report)
	// Loads is a query: it returns the loads of a data centre's engines.
	Loads(ctx context.Context, dataCentre string) []decide.Load
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
	Seeds   func() []netip.AddrPort
	State   func() State
	Decoder Decoder
	Log     *event.Log
}

// Peers exchanges datagrams and state with the other instances.
type Peers struct {
	options Options
	sink    Sink
	conn    *net.UDPConn

	mu sync.Mutex
	// pendingNotices, leaving and items are sent by the next flush.
	pendingNotices []decide.Notice
	leaving        []leavingAnnouncement
	items          []upstream.Item
	// itemsAfter is the list revision after which the items changed.
	itemsAfter uint64
	// urgent is true if the next flush must not wait for more notices.
	urgent bool

	// wake requests a flush.
	wake     chan struct{}
	received chan datagramWire
	// alive, isReader and isPrimary are updated by Run for other goroutines.
	alive     atomic.Int64
	isReader  atomic.Bool
	isPrimary atomic.Bool
	stopping  atomic.Bool

	// The following fields are used only by the goroutine of Run.
	members   *MemberTable
	startedAt time.Time
	// behindSince is the time since which a member has had newer state, or the
	// start of the latest pull if later; zero if none has.
	behindSince         time.Time
	lastHeartbeat       time.Time
	lastJoin            time.Time
	lastSilentRetry     time.Time
	lastLoads           time.Time
	lastRemoteHeartbeat time.Time

	// pulling is true while a pull is in progress; pulls waits for its goroutine.
	pulling atomic.Bool
	pulls   sync.WaitGroup
}

// leavingAnnouncement announces that an upstream is leaving. leavesAt is zero if
// unknown.
type leavingAnnouncement struct {
	id          string
	startUnixMS int64
	leavesAt    time.Time
}

// Listen opens the instance's UDP port.
func Listen(o Options, sink Sink) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, err
	}
	p := &Peers{
		options: o, sink: sink, conn: conn, wake: make(chan struct{}, 1), received: make(chan datagramWire, receiveBacklog),
		members: NewMemberTable(o.Listen, o.DataCentre),
	}
	return p, nil
}

// ShouldReadStore reports whether the instance should read the store for its
// data centre.
func (p *Peers) ShouldReadStore() bool { return p.isReader.Load() }

// IsPrimary reports whether the instance performs the tasks that only one
// instance performs for its data centre.
func (p *Peers) IsPrimary() bool { return p.isPrimary.Load() }

// Alive returns the number of other instances that are alive.
func (p *Peers) Alive() int { return int(p.alive.Load()) }

// SendNotice queues a notice for the next datagram.
func (p *Peers) SendNotice(n decide.Notice) {
	p.mu.Lock()
	if len(p.pendingNotices) < maxPending {
		p.pendingNotices = append(p.pendingNotices, n)
	}
	p.mu.Unlock()
	p.wakeUp()
}

// SendLeaving announces that an upstream is leaving.
func (p *Peers) SendLeaving(id string, startUnixMS int64, leavesAt time.Time) {
	p.mu.Lock()
	if len(p.leaving) < maxPending {
		p.leaving = append(p.leaving, leavingAnnouncement{id, startUnixMS, leavesAt})
	}
	p.mu.Unlock()
	p.wakeUp()
}

// ListChanged queues the list changes after the revision for the members of the
// local data centre.
func (p *Peers) ListChanged(items []upstream.Item, afterRevision uint64) {
	p.mu.Lock()
	if len(p.items) == 0 {
		p.itemsAfter = afterRevision
	}
	p.items = append(p.items, items...)
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

// Receive reads datagrams until ctx ends.
func (p *Peers) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.options.Log.EmitRateLimited(event.PeerLost, "reason", "read", "error", err.Error())
			continue
		}
		var wire datagramWire
		if err := json.Unmarshal(buffer[:n], &wire); err != nil {
			p.options.Log.EmitRateLimited(event.PeerLost, "reason", "malformed datagram", "error", err.Error())
			continue
		}
		select {
		case p.received <- wire:
		case <-ctx.Done():
			return nil
		}
	}
}

// Run sends and handles datagrams until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	defer p.pulls.Wait()
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
// instance joins the fleet, and on the instance that sends loads to other data
// centres.
func (p *Peers) nextTick() time.Duration {
	if p.members.Count() == 0 || time.Since(p.startedAt) < 2*startupWait || len(p.members.RemoteMembers()) > 0 && p.members.IsPrimary() {
		return joinInterval
	}
	return heartbeatInterval / 2
}

// tick expires silent members, updates the roles of this instance, and sends
// the datagrams that are due.
func (p *Peers) tick(ctx context.Context, now time.Time) {
	for _, m := range p.members.Expire(now) {
		p.options.Log.Emit(event.PeerLost, "peer", m.Name, "address", m.Addr.String(), "reason", "silent", "last_heard_ms", now.Sub(m.LastSeenAt).Milliseconds())
	}
	p.alive.Store(int64(p.members.Count()))
	// An instance without live members reads the store itself, but only after
	// the other instances of a starting fleet have had time to respond.
	p.isReader.Store(p.members.ShouldReadStore(p.options.State().StoreLost) && now.Sub(p.startedAt) >= startupWait)
	p.isPrimary.Store(p.members.IsPrimary() && now.Sub(p.startedAt) >= startupWait)
	// The seeds are also contacted when members are alive, but only once per 10
	// silentRetryIntervals, so that two parts of the fleet that lost each other's
	// addresses reunite.
	if p.members.Count() == 0 && now.Sub(p.lastJoin) >= joinInterval || now.Sub(p.lastJoin) >= 10*silentRetryInterval {
		p.lastJoin = now
		for _, seed := range p.options.Seeds() {
			addr := netip.AddrPortFrom(seed.Addr(), p.options.Listen.Port())
			if addr != p.options.Listen {
				p.write(p.encode(datagramWire{}, maxMemberAddrs), addr)
			}
		}
	}
	if now.Sub(p.lastSilentRetry) >= silentRetryInterval {
		p.lastSilentRetry = now
		for _, addr := range p.members.SilentAddresses() {
			p.write(p.encode(datagramWire{}, maxMemberAddrs), addr)
		}
	}
	if now.Sub(p.lastHeartbeat) >= heartbeatInterval {
		p.broadcast(now, datagramWire{})
	}
	if now.Sub(p.lastRemoteHeartbeat) >= heartbeatInterval {
		p.lastRemoteHeartbeat = now
		p.sendRemoteHeartbeats()
	}
	if now.Sub(p.lastLoads) >= loadInterval {
		p.lastLoads = now
		p.sendLoads(ctx)
	}
	p.catchUp(ctx, now)
}

// flush sends the pending notices and leaving announcements to the broadcast
// group, and the list changes to the members of the local data centre. Notices
// for another data centre also go to its members outside the broadcast group.
func (p *Peers) flush(now time.Time) {
	p.mu.Lock()
	notices, leaving, items, afterRevision := p.pendingNotices, p.leaving, p.items, p.itemsAfter
	p.pendingNotices, p.leaving, p.items, p.urgent = nil, nil, nil, false
	p.mu.Unlock()
	var datagram datagramWire
	for _, l := range leaving {
		w := leavingWire{ID: l.id, StartUnixMS: l.startUnixMS}
		if !l.leavesAt.IsZero() {
			w.LeavesInMS = max(1, l.leavesAt.Sub(now).Milliseconds())
		}
		datagram.Leaving = append(datagram.Leaving, w)
	}
	if len(items) > 0 && len(items) <= maxListItems {
		datagram.List = &listWire{After: afterRevision, Items: encodeItems(items)}
	}
	wires := make([]noticeWire, len(notices))
	remoteNotices := map[string][]noticeWire{}
	for i, n := range notices {
		wires[i] = encodeNotice(now, n)
		if n.DataCentre != "" && n.DataCentre != p.options.DataCentre {
			remoteNotices[n.DataCentre] = append(remoteNotices[n.DataCentre], wires[i])
		}
	}
	p.sendRemoteNotices(remoteNotices)
	if len(wires) == 0 {
		p.broadcast(now, datagram)
		return
	}
	// The first datagram also contains the leaving announcements and the list
	// changes.
	for chunk := range slices.Chunk(wires, maxNotices) {
		datagram.Notices = chunk
		p.broadcast(now, datagram)
		datagram = datagramWire{}
	}
}

// sendRemoteNotices sends the notices for each data centre to the members of
// that data centre outside the broadcast group.
func (p *Peers) sendRemoteNotices(notices map[string][]noticeWire) {
	remoteMembers := p.members.RemoteMembers()
	for dataCentre, wires := range notices {
		for chunk := range slices.Chunk(wires, maxNotices) {
			content := p.encode(datagramWire{Notices: chunk}, 0)
			for _, m := range remoteMembers {
				if m.DataCentre == dataCentre {
					p.write(content, m.Addr)
				}
			}
		}
	}
}

// broadcast sends a datagram to the broadcast group.
func (p *Peers) broadcast(now time.Time, w datagramWire) {
	p.lastHeartbeat = now
	localContent := p.encode(w, maxMemberAddrs)
	remoteContent := localContent
	if w.List != nil {
		// Other data centres get list changes from their own readers.
		w.List = nil
		remoteContent = p.encode(w, maxMemberAddrs)
	}
	for _, m := range p.members.BroadcastGroup() {
		if m.DataCentre == p.options.DataCentre {
			p.write(localContent, m.Addr)
		} else {
			p.write(remoteContent, m.Addr)
		}
	}
}

// sendRemoteHeartbeats sends a heartbeat to a few random members outside the
// broadcast group.
func (p *Peers) sendRemoteHeartbeats() {
	remoteMembers := p.members.RemoteMembers()
	if len(remoteMembers) == 0 {
		return
	}
	content := p.encode(datagramWire{}, maxMemberAddrs)
	for range remoteMembersPerRound {
		p.write(content, remoteMembers[rand.IntN(len(remoteMembers))].Addr)
	}
}

// sendLoads sends the load of this data centre's engines to the members outside
// the broadcast group, which don't get all notices of this data centre. Only
// the primary instance sends it.
func (p *Peers) sendLoads(ctx context.Context) {
	remoteMembers := p.members.RemoteMembers()
	if len(remoteMembers) == 0 || !p.members.IsPrimary() {
		return
	}
	var w datagramWire
	for _, load := range p.sink.Loads(ctx, p.options.DataCentre) {
		w.Loads = append(w.Loads, loadWire{load.Upstream, load.Running, load.UsedTokens, load.PendingPrefillTokens})
	}
	if len(w.Loads) == 0 {
		return
	}
	content := p.encode(w, 0)
	for _, m := range remoteMembers {
		p.write(content, m.Addr)
	}
}

// encode encodes a datagram with the fields that every datagram contains and up
// to addrLimit addresses of random members.
func (p *Peers) encode(w datagramWire, addrLimit int) []byte {
	o, state := p.options, p.options.State()
	w.From, w.Name, w.DataCentre, w.Control, w.Incarnation = o.Listen, o.Name, o.DataCentre, o.Control, uint64(o.Incarnation)
	w.TableVersion, w.ListRevision, w.StoreLost = state.TableVersion, state.ListRevision, state.StoreLost
	w.Stopping, w.Known = p.stopping.Load(), p.randomAddrs(addrLimit)
	content, err := json.Marshal(w)
	if err != nil {
		o.Log.EmitRateLimited(event.PeerLost, "reason", "encode", "error", err.Error())
	}
	return content
}

func (p *Peers) randomAddrs(limit int) []netip.AddrPort {
	alive := p.members.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var addrs []netip.AddrPort
	for _, m := range alive[:min(limit, len(alive))] {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// write sends a datagram, which may be lost. Unreachable members are detected
// by their silence.
func (p *Peers) write(content []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(content, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.options.Log.EmitRateLimited(event.PeerLost, "reason", "write", "address", to.String(), "error", err.Error())
	}
}

func (p *Peers) handleDatagram(ctx context.Context, w datagramWire) {
	now := time.Now()
	if w.Stopping {
		p.members.Remove(w.From, w.Incarnation)
	} else {
		m := Member{
			Name: w.Name, DataCentre: w.DataCentre, Addr: w.From, Control: w.Control, Incarnation: w.Incarnation,
			TableVersion: w.TableVersion, ListRevision: w.ListRevision, StoreLost: w.StoreLost,
		}
		if p.members.Update(now, m) {
			p.options.Log.Emit(event.PeerJoined, "peer", m.Name, "address", m.Addr.String(), "data_centre", m.DataCentre, "table_version", m.TableVersion, "list_revision", m.ListRevision)
			p.write(p.encode(datagramWire{}, maxMemberAddrsToNew), m.Addr)
		}
	}
	for _, addr := range w.Known {
		p.members.AddAddress(now, addr)
	}
	for _, l := range w.Leaving {
		var leavesAt time.Time
		if l.LeavesInMS > 0 {
			leavesAt = now.Add(time.Duration(l.LeavesInMS) * time.Millisecond)
		}
		p.sink.ReportLeaving(l.ID, l.StartUnixMS, leavesAt, upstream.FromPeer)
	}
	for _, n := range w.Notices {
		notice, err := decodeNotice(now, n)
		if err != nil {
			p.options.Log.EmitRateLimited(event.PeerLost, "reason", "malformed notice", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleNotice(notice)
	}
	if w.List != nil {
		// Without the changes before these, the list is incomplete at
		// w.ListRevision; revision 0 keeps the current one.
		revision := uint64(0)
		if p.options.State().ListRevision >= w.List.After {
			revision = w.ListRevision
		}
		p.sink.UpdateList(p.decodeItems(w.List.Items), revision, false, upstream.FromPeer)
	}
	for _, l := range w.Loads {
		p.sink.HandleReport(l.Upstream, decide.Report{TakenAt: now, Running: l.Running, UsedTokens: l.UsedTokens, PendingPrefillTokens: l.PendingPrefill})
	}
	p.catchUp(ctx, now)
}

// catchUp pulls the state of a member if newer state has been available for
// longer than the pull delay.
func (p *Peers) catchUp(ctx context.Context, now time.Time) {
	state := p.options.State()
	// true: members that have only a newer list count as well.
	m, found := p.members.FindNewer(state.TableVersion, state.ListRevision, true)
	switch {
	case !found:
		p.behindSince = time.Time{}
		return
	case p.behindSince.IsZero():
		p.behindSince = now
	}
	delay := readerPullDelay
	if !p.isReader.Load() {
		delay = nonReaderPullDelay
	}
	// An instance without a routing table pulls immediately.
	if state.TableVersion != 0 && now.Sub(p.behindSince) < delay || !p.pulling.CompareAndSwap(false, true) {
		return
	}
	p.behindSince = now
	p.pulls.Go(func() {
		defer p.pulling.Store(false)
		if err := p.pull(ctx, m, state); err != nil {
			p.options.Log.EmitRateLimited(event.PeerLost, "reason", "state", "peer", m.Name, "error", err.Error())
		}
	})
}
