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
	// flushInterval gathers notices into one datagram.
	flushInterval = 15 * time.Millisecond
	// lifeInterval is the longest time between two datagrams to a member.
	lifeInterval = 1 * time.Second
	// joinInterval is the time between two tries to find a first member.
	joinInterval = 300 * time.Millisecond
	// joinTime is how long after its start an instance waits for others before
	// it reads the store.
	joinTime = 500 * time.Millisecond
	// silentInterval is the time between two tries to reach silent members.
	silentInterval = 2 * time.Second
	// maxNotices bounds the notices of one datagram, which then stays under
	// what an Ethernet frame holds.
	maxNotices = 5
	// maxPending bounds the notices that wait for a flush.
	maxPending = 512
	// maxItems bounds the entries of one datagram. Whoever gets none asks for
	// the list.
	maxItems = 12
	// maxKnown and maxKnownToNew bound the addresses that a datagram tells.
	maxKnown      = 4
	maxKnownToNew = 40
	maxDatagram   = 16 << 10
	// pullDelay is how long a member may be ahead before an instance that reads
	// the store itself asks for its state.
	pullDelay = 250 * time.Millisecond
	// itemsDelay is the same for one that doesn't: what changed is on its way.
	itemsDelay = 30 * time.Millisecond
	// farMembers is how many members outside the group get a sign of life at
	// each interval.
	farMembers = 3
	// loadInterval is the time between two words on the load of a data centre's
	// engines to the others.
	loadInterval = 300 * time.Millisecond
	// receiveBacklog is how many datagrams may wait.
	receiveBacklog = 256
)

// State is what the instance has, for others.
type State struct {
	TableVersion, ListRevision uint64
	// StoreLost says that the instance could not read the store.
	StoreLost bool
	Table     []byte
	Items     []upstream.Item
}

// Sink takes what other instances tell.
type Sink interface {
	Noticed(n decide.Notice)
	Leaving(id string, born int64, leavesAt time.Time, source upstream.Source)
	TableRead(d routing.Document, from string)
	ListRead(items []upstream.Item, revision uint64, whole bool, source upstream.Source)
	Reported(name string, r decide.Report)
	// Loads asks for the loads of a data centre's engines.
	Loads(ctx context.Context, dataCentre string) []decide.Load
}

// Decoder reads the published documents that members pass on as they came.
type Decoder interface {
	Table(raw []byte) (*routing.Table, error)
	Entry(id string, raw []byte) (*upstream.Entry, error)
}

// Options tell who the instance is.
type Options struct {
	Name        string
	DataCentre  string
	Listen      netip.AddrPort
	Control     netip.AddrPort
	Incarnation ident.Incarnation
	// Seeds are control addresses of instances that may be stale or down.
	// Their gossip port is the instance's own.
	Seeds   func() []netip.AddrPort
	State   func() State
	Decoder Decoder
	Log     *event.Log
}

// Peers speaks to the other instances.
type Peers struct {
	options Options
	sink    Sink
	conn    *net.UDPConn

	mu      sync.Mutex
	pending []decide.Notice
	leaving []leavingNotice
	items   []upstream.Item
	// itemsAfter is the revision that items follow on.
	itemsAfter uint64
	urgent     bool

	wake     chan struct{}
	received chan datagramWire
	alive    atomic.Int64
	reads    atomic.Bool
	first    atomic.Bool
	stopping atomic.Bool

	// What follows belongs to the goroutine of Run.
	members    *Table
	startedAt  time.Time
	aheadSince time.Time
	lastLife   time.Time
	lastJoin   time.Time
	lastSilent time.Time
	lastLoads  time.Time
	lastFar    time.Time
	pulling    atomic.Bool
	pulls      sync.WaitGroup
}

type leavingNotice struct {
	id       string
	born     int64
	leavesAt time.Time
}

// Listen opens the instance's port for datagrams.
func Listen(o Options, sink Sink) (*Peers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Listen))
	if err != nil {
		return nil, err
	}
	p := &Peers{
		options: o, sink: sink, conn: conn, wake: make(chan struct{}, 1), received: make(chan datagramWire, receiveBacklog),
		members: NewTable(o.Listen, o.DataCentre),
	}
	return p, nil
}

// ShouldReadStore reports whether the instance should read the store for its data centre.
func (p *Peers) ShouldReadStore() bool { return p.reads.Load() }

// IsPrimary reports whether the instance acts for its data centre where one does.
func (p *Peers) IsPrimary() bool { return p.first.Load() }

// Alive returns how many other instances are alive.
func (p *Peers) Alive() int { return int(p.alive.Load()) }

// Notice sends a notice with the next datagram.
func (p *Peers) Notice(n decide.Notice) {
	p.mu.Lock()
	if len(p.pending) < maxPending {
		p.pending = append(p.pending, n)
	}
	p.mu.Unlock()
	p.rouse()
}

// Leaving tells that an upstream is on its way out.
func (p *Peers) Leaving(id string, born int64, leavesAt time.Time) {
	p.mu.Lock()
	if len(p.leaving) < maxPending {
		p.leaving = append(p.leaving, leavingNotice{id, born, leavesAt})
	}
	p.mu.Unlock()
	p.rouse()
}

// ListChanged tells the group what changed in the list after a revision.
func (p *Peers) ListChanged(items []upstream.Item, after uint64) {
	p.mu.Lock()
	if len(p.items) == 0 {
		p.itemsAfter = after
	}
	p.items = append(p.items, items...)
	p.urgent = true
	p.mu.Unlock()
	p.rouse()
}

// TableChanged tells the group at once that there is a newer routing table.
func (p *Peers) TableChanged() {
	p.mu.Lock()
	p.urgent = true
	p.mu.Unlock()
	p.rouse()
}

func (p *Peers) isUrgent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.urgent
}

// Stop tells the others of the planned stop.
func (p *Peers) Stop() {
	p.stopping.Store(true)
	p.rouse()
}

func (p *Peers) rouse() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Receive reads datagrams until ctx ends.
func (p *Peers) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.options.Log.EmitSparingly(event.PeerLost, "reason", "read", "error", err.Error())
			continue
		}
		var wire datagramWire
		if err := json.Unmarshal(buffer[:n], &wire); err != nil {
			p.options.Log.EmitSparingly(event.PeerLost, "reason", "malformed datagram", "error", err.Error())
			continue
		}
		select {
		case p.received <- wire:
		case <-ctx.Done():
			return nil
		}
	}
}

// Run sends and takes datagrams until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	defer p.pulls.Wait()
	p.startedAt = time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-p.received:
			p.take(ctx, r)
			continue
		case <-p.wake:
			if !p.isUrgent() {
				p.gather(ctx, time.After(flushInterval))
			}
			p.flush(time.Now())
		case <-timer.C:
			p.tick(ctx, time.Now())
			timer.Reset(p.nextTick())
		}
	}
}

// gather takes datagrams until notices are due to be sent.
func (p *Peers) gather(ctx context.Context, until <-chan time.Time) {
	if p.stopping.Load() {
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-until:
			return
		case r := <-p.received:
			p.take(ctx, r)
		}
	}
}

func (p *Peers) nextTick() time.Duration {
	if p.members.Count() == 0 || time.Since(p.startedAt) < 2*joinTime || len(p.members.RemoteMembers()) > 0 && p.members.IsPrimary() {
		return joinInterval
	}
	return lifeInterval / 2
}

func (p *Peers) tick(ctx context.Context, now time.Time) {
	for _, m := range p.members.Expire(now) {
		p.options.Log.Emit(event.PeerLost, "peer", m.Name, "address", m.Addr.String(), "reason", "silent", "last_heard_ms", now.Sub(m.LastSeenAt).Milliseconds())
	}
	p.alive.Store(int64(p.members.Count()))
	// An instance that knows no others reads for itself, but not before others
	// of a fleet that starts could have answered.
	p.reads.Store(p.members.ShouldReadStore(p.options.State().StoreLost) && now.Sub(p.startedAt) >= joinTime)
	p.first.Store(p.members.IsPrimary() && now.Sub(p.startedAt) >= joinTime)
	if p.members.Count() == 0 && now.Sub(p.lastJoin) >= joinInterval || now.Sub(p.lastJoin) >= 10*silentInterval {
		p.lastJoin = now
		for _, seed := range p.options.Seeds() {
			addr := netip.AddrPortFrom(seed.Addr(), p.options.Listen.Port())
			if addr != p.options.Listen {
				p.write(p.encode(datagramWire{}, maxKnown), addr)
			}
		}
	}
	if now.Sub(p.lastSilent) >= silentInterval {
		p.lastSilent = now
		for _, addr := range p.members.SilentAddresses() {
			p.write(p.encode(datagramWire{}, maxKnown), addr)
		}
	}
	if now.Sub(p.lastLife) >= lifeInterval {
		p.broadcast(now, datagramWire{})
	}
	if now.Sub(p.lastFar) >= lifeInterval {
		p.lastFar = now
		p.callFar()
	}
	if now.Sub(p.lastLoads) >= loadInterval {
		p.lastLoads = now
		p.tellLoads(ctx)
	}
	p.catchUp(ctx, now)
}

// flush sends what is pending to the group.
func (p *Peers) flush(now time.Time) {
	p.mu.Lock()
	notices, leaving, items, after := p.pending, p.leaving, p.items, p.itemsAfter
	p.pending, p.leaving, p.items, p.urgent = nil, nil, nil, false
	p.mu.Unlock()
	var rest datagramWire
	for _, l := range leaving {
		w := leavingWire{ID: l.id, Born: l.born}
		if !l.leavesAt.IsZero() {
			w.LeavesInMS = max(1, l.leavesAt.Sub(now).Milliseconds())
		}
		rest.Leaving = append(rest.Leaving, w)
	}
	if len(items) > 0 && len(items) <= maxItems {
		rest.List = &listWire{After: after, Items: encodeItems(items)}
	}
	wires := make([]noticeWire, len(notices))
	far := map[string][]noticeWire{}
	for i, n := range notices {
		wires[i] = encodeNotice(now, n)
		if n.DataCentre != "" && n.DataCentre != p.options.DataCentre {
			far[n.DataCentre] = append(far[n.DataCentre], wires[i])
		}
	}
	p.tellFar(far)
	if len(wires) == 0 {
		p.broadcast(now, rest)
		return
	}
	for chunk := range slices.Chunk(wires, maxNotices) {
		rest.Notices = chunk
		p.broadcast(now, rest)
		rest = datagramWire{}
	}
}

// tellFar tells the data centres outside the group what is placed at their
// upstreams.
func (p *Peers) tellFar(notices map[string][]noticeWire) {
	others := p.members.RemoteMembers()
	for dataCentre, wires := range notices {
		for chunk := range slices.Chunk(wires, maxNotices) {
			content := p.encode(datagramWire{Notices: chunk}, 0)
			for _, m := range others {
				if m.DataCentre == dataCentre {
					p.write(content, m.Addr)
				}
			}
		}
	}
}

// broadcast sends a datagram to the group.
func (p *Peers) broadcast(now time.Time, w datagramWire) {
	p.lastLife = now
	near := p.encode(w, maxKnown)
	far := near
	if w.List != nil {
		// Other data centres have readers of their own.
		w.List = nil
		far = p.encode(w, maxKnown)
	}
	for _, m := range p.members.BroadcastGroup() {
		if m.DataCentre == p.options.DataCentre {
			p.write(near, m.Addr)
		} else {
			p.write(far, m.Addr)
		}
	}
}

// callFar gives a sign of life to a few members outside the group, others each
// time.
func (p *Peers) callFar() {
	others := p.members.RemoteMembers()
	if len(others) == 0 {
		return
	}
	content := p.encode(datagramWire{}, maxKnown)
	for range farMembers {
		p.write(content, others[rand.IntN(len(others))].Addr)
	}
}

// tellLoads tells the members outside the group what their own notices don't:
// the load of this data centre's engines. The first of its instances does it.
func (p *Peers) tellLoads(ctx context.Context) {
	others := p.members.RemoteMembers()
	if len(others) == 0 || !p.members.IsPrimary() {
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
	for _, m := range others {
		p.write(content, m.Addr)
	}
}

// encode completes a datagram with what every one tells.
func (p *Peers) encode(w datagramWire, known int) []byte {
	o, state := p.options, p.options.State()
	w.From, w.Name, w.DataCentre, w.Control, w.Incarnation = o.Listen, o.Name, o.DataCentre, o.Control, uint64(o.Incarnation)
	w.TableVersion, w.ListRevision, w.StoreLost = state.TableVersion, state.ListRevision, state.StoreLost
	w.Stopping, w.Known = p.stopping.Load(), p.someKnown(known)
	content, err := json.Marshal(w)
	if err != nil {
		o.Log.EmitSparingly(event.PeerLost, "reason", "encode", "error", err.Error())
	}
	return content
}

func (p *Peers) someKnown(most int) []netip.AddrPort {
	alive := p.members.Alive()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	var known []netip.AddrPort
	for _, m := range alive[:min(most, len(alive))] {
		known = append(known, m.Addr)
	}
	return known
}

// write sends a datagram, which may be lost. The members' own silence tells
// of those that can't be reached.
func (p *Peers) write(content []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(content, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.options.Log.EmitSparingly(event.PeerLost, "reason", "write", "address", to.String(), "error", err.Error())
	}
}

func (p *Peers) take(ctx context.Context, w datagramWire) {
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
			p.write(p.encode(datagramWire{}, maxKnownToNew), m.Addr)
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
		p.sink.Leaving(l.ID, l.Born, leavesAt, upstream.FromPeer)
	}
	for _, n := range w.Notices {
		notice, err := decodeNotice(now, n)
		if err != nil {
			p.options.Log.EmitSparingly(event.PeerLost, "reason", "malformed notice", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.Noticed(notice)
	}
	if w.List != nil {
		// Entries have their own revisions; the list's only holds when none
		// before them was missed.
		revision := uint64(0)
		if p.options.State().ListRevision >= w.List.After {
			revision = w.ListRevision
		}
		p.sink.ListRead(p.decodeItems(w.List.Items), revision, false, upstream.FromPeer)
	}
	for _, l := range w.Loads {
		p.sink.Reported(l.Upstream, decide.Report{TakenAt: now, Running: l.Running, UsedTokens: l.UsedTokens, PendingPrefillTokens: l.Unread})
	}
	p.catchUp(ctx, now)
}

// catchUp asks a member that has been ahead for a while for what it has.
func (p *Peers) catchUp(ctx context.Context, now time.Time) {
	state := p.options.State()
	m, ahead := p.members.FindNewer(state.TableVersion, state.ListRevision, true)
	switch {
	case !ahead:
		p.aheadSince = time.Time{}
		return
	case p.aheadSince.IsZero():
		p.aheadSince = now
	}
	wait := pullDelay
	if !p.reads.Load() {
		wait = itemsDelay
	}
	// An instance that has nothing yet doesn't wait.
	if state.TableVersion != 0 && now.Sub(p.aheadSince) < wait || !p.pulling.CompareAndSwap(false, true) {
		return
	}
	p.aheadSince = now
	p.pulls.Go(func() {
		defer p.pulling.Store(false)
		if err := p.pull(ctx, m, state); err != nil {
			p.options.Log.EmitSparingly(event.PeerLost, "reason", "state", "peer", m.Name, "error", err.Error())
		}
	})
}
