package gossip

import (
	"cmp"
	"encoding/json"
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/upstream"
)

// flush sends the pending notices and leaving announcements to the broadcast group,
// and the list changes to the local data centre. List changes are also forwarded to
// the other data centres, and notices to those outside the broadcast group.
func (p *Peers) flush(now time.Time) {
	p.announceOrders(now)
	p.mu.Lock()
	limits, brittle, crashes, findings := p.limits, p.brittle, p.crashes, p.findings
	p.limits, p.brittle, p.crashes, p.findings = nil, nil, nil, nil
	notices, leaving, items, after, upTo := p.pendingNotices, p.leaving, p.items, p.itemsAfter, p.itemsUpTo
	p.pendingNotices, p.leaving, p.items, p.urgent, p.deferred = nil, nil, nil, false, false
	p.mu.Unlock()
	var datagram datagramWire
	for _, l := range leaving {
		w := leavingWire{ID: l.id, StartUnixMS: l.startUnixMS}
		if !l.leavesAt.IsZero() {
			w.LeavesInMS = max(1, l.leavesAt.Sub(now).Milliseconds())
		}
		datagram.Leaving = append(datagram.Leaving, w)
	}
	wires := make([]noticeWire, len(notices))
	remoteNotices := map[string][]noticeWire{}
	for i, n := range notices {
		wires[i] = encodeNotice(now, n)
		if p.members.IsLarge() && n.DataCentre != "" && n.DataCentre != p.options.DataCentre {
			remoteNotices[n.DataCentre] = append(remoteNotices[n.DataCentre], wires[i])
		}
	}
	for dataCentre, wires := range remoteNotices {
		for chunk := range slices.Chunk(wires, maxNotices) {
			p.forward(now, dataCentre, datagramWire{Notices: chunk})
		}
	}
	p.sendLimits(now, limits)
	p.sendBrittle(now, brittle)
	p.sendContainment(now, crashes, findings)
	for _, changes := range p.chunkChanges(items, after, upTo) {
		p.sendLocally(datagramWire{List: changes})
		p.forward(now, allDataCentres, datagramWire{List: changes})
	}
	wires = append(wires, p.relayedNotices...)
	p.relayedNotices = nil
	if len(wires) == 0 && len(limits)+len(brittle)+len(crashes)+len(findings) > 0 && len(datagram.Leaving) == 0 {
		return
	}
	if len(wires) == 0 {
		// Without changes, this announces a newer routing table.
		p.broadcast(now, datagram)
		return
	}
	// The first datagram also contains the leaving announcements.
	for chunk := range slices.Chunk(wires, maxNotices) {
		datagram.Notices = chunk
		p.broadcast(now, datagram)
		datagram = datagramWire{}
	}
}

// sendLimits sends notices of limits to all instances.
func (p *Peers) sendLimits(now time.Time, limits map[string]decide.LimitNotice) {
	var wires []limitWire
	for _, id := range slices.Sorted(maps.Keys(limits)) {
		wires = append(wires, encodeLimit(now, limits[id]))
	}
	for chunk := range slices.Chunk(wires, maxNotices) {
		p.sendToAll(now, datagramWire{Limits: chunk})
	}
}

// sendBrittle sends notices of brittle pools to all instances.
func (p *Peers) sendBrittle(now time.Time, notices map[string]decide.BrittleNotice) {
	for _, pool := range slices.Sorted(maps.Keys(notices)) {
		p.sendToAll(now, datagramWire{Brittle: []brittleWire{encodeBrittle(now, notices[pool])}})
	}
}

// sendToAll sends a datagram to all instances.
func (p *Peers) sendToAll(now time.Time, w datagramWire) {
	p.broadcast(now, w)
	if p.members.IsLarge() {
		p.forward(now, allDataCentres, w)
	}
}

// chunkChanges splits the list changes between two positions into datagrams. Each
// contains the changes after the revision of the previous one, so that a receiver notices
// a lost datagram. It returns none if there are too many changes to send.
func (p *Peers) chunkChanges(items []upstream.Item, after, upTo history.Position) []*listWire {
	if len(items) == 0 || len(items) > maxListChanges {
		return nil
	}
	slices.SortStableFunc(items, func(a, b upstream.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var changes []*listWire
	for chunk := range slices.Chunk(items, maxListItems) {
		revision := chunk[len(chunk)-1].Revision
		changes = append(changes, &listWire{Era: upTo.Era, After: after.Revision, Revision: revision, Items: encodeItems(chunk)})
		after.Revision = revision
	}
	last := changes[len(changes)-1]
	last.Revision = max(last.Revision, upTo.Revision)
	return changes
}

// broadcast sends a datagram to the broadcast group.
func (p *Peers) broadcast(now time.Time, w datagramWire) {
	p.lastHeartbeat = now
	content := p.encode(w)
	for _, m := range p.members.BroadcastGroup() {
		p.write(content, m.Addr)
	}
}

// sendLocally sends a datagram to the other instances of the data centre.
func (p *Peers) sendLocally(w datagramWire) {
	content := p.encode(w)
	for _, m := range p.members.LocalMembers() {
		p.write(content, m.Addr)
	}
}

// sendHeartbeat sends a heartbeat to the broadcast group.
func (p *Peers) sendHeartbeat(now time.Time) {
	w := datagramWire{DataCentres: p.remoteDataCentres(now), Findings: encodeFindings(now, p.newestContained())}
	if p.members.IsRelay() {
		w.Known = p.members.KnownAddresses(p.options.DataCentre, maxMemberAddrs, 1)
	} else {
		w.Known = p.members.KnownAddresses(p.options.DataCentre, maxMemberAddrs, 0)
	}
	p.broadcast(now, w)
}

// sendRemoteHeartbeats sends heartbeats to members outside the broadcast group.
func (p *Peers) sendRemoteHeartbeats() {
	recipients := p.members.RemoteHeartbeats()
	if len(recipients) == 0 {
		return
	}
	content := p.encode(datagramWire{Findings: encodeFindings(time.Now(), p.newestContained())})
	for _, addr := range recipients {
		p.write(content, addr)
	}
}

// encode encodes a datagram with the fields that every datagram contains. The result is
// empty, and is not sent, if it can't be encoded or is too long.
func (p *Peers) encode(w datagramWire) datagram {
	o, state := p.options, p.options.State()
	w.From, w.Name, w.DataCentre, w.Control, w.Incarnation = o.Listen, o.Name, o.DataCentre, o.Control, uint64(o.Incarnation)
	w.TableVersion, w.StoreLost = state.TableVersion, state.StoreLost
	w.ListEra, w.ListRevision = state.ListPosition.Era, state.ListPosition.Revision
	w.Stopping, w.LocalCount, w.LostPools = p.stopping.Load(), p.members.LocalCount(), state.LostPools[:min(len(state.LostPools), maxLostPools)]
	if p.members.IsLarge() {
		w.Relays = p.members.LocalRelays()
	}
	w.HeartbeatMS = p.members.HeartbeatInterval().Milliseconds()
	if w.Orders == nil {
		w.Orders = encodeOrders(state.Orders)
	}
	w.ReadsStore, w.ListCurrent = state.ReadsStore, p.members.localReads(state.ReadsStore)
	content, err := json.Marshal(w)
	if err == nil && len(content) > maxDatagramBytes {
		err = errorx.IllegalState.New("the datagram has %d bytes", len(content))
	}
	if err != nil {
		o.Log.EmitRateLimited(event.DatagramDropped, "reason", "encode", "error", err.Error())
		return datagram{}
	}
	return datagram{content, p.traffic[w.contentName()]}
}

// write sends a datagram, which may be lost. Unreachable members are detected
// by their silence.
func (p *Peers) write(d datagram, to netip.AddrPort) {
	if d.bytes == nil {
		return
	}
	d.counters.sent.Add(1)
	d.counters.sentBytes.Add(uint64(len(d.bytes)))
	if _, err := p.conn.WriteToUDPAddrPort(d.bytes, to); err != nil && !errors.Is(err, net.ErrClosed) {
		p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "write", "address", to.String(), "error", err.Error())
	}
}
