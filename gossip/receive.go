package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/upstream"
)

// Receive reads datagrams until ctx ends.
func (p *Peers) Receive(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "read", "error", err.Error())
			continue
		}
		var wire datagramWire
		if err := json.Unmarshal(buffer[:n], &wire); err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed datagram", "error", err.Error())
			continue
		}
		counters := p.traffic[wire.contentName()]
		counters.received.Add(1)
		counters.receivedBytes.Add(uint64(n))
		select {
		case p.received <- wire:
		case <-ctx.Done():
			return nil
		}
	}
}

// handleDatagram handles a datagram of another instance.
func (p *Peers) handleDatagram(ctx context.Context, w datagramWire) {
	now := time.Now()
	if w.Stopping {
		p.members.Remove(w.From, w.Incarnation)
		p.publishReachable()
	} else {
		m := Member{
			Name: w.Name, DataCentre: w.DataCentre, Addr: w.From, Control: w.Control, Incarnation: w.Incarnation,
			TableVersion: w.TableVersion, ListPosition: w.listPosition(),
			StoreLost: w.StoreLost, ReadsStore: w.ReadsStore, ListCurrent: w.ListCurrent, LocalCount: w.LocalCount, Relays: w.Relays,
			NextBy:    now.Add(min(milliseconds(w.HeartbeatMS), rareHeartbeatInterval)),
			LostPools: w.LostPools[:min(len(w.LostPools), maxLostPools)],
		}
		before := p.members.lostPools(m.Addr)
		joined := p.members.Update(now, m)
		if !slices.Equal(before, p.members.lostPools(m.Addr)) {
			p.publishReachable()
		}
		if joined {
			p.options.Log.Emit(event.PeerJoined, "peer", m.Name, "address", m.Addr.String(), "data_centre", m.DataCentre, "table_version", m.TableVersion, "list_revision", m.ListPosition.Revision)
			p.write(p.encode(datagramWire{
				Known:       p.members.KnownAddresses(m.DataCentre, maxMemberAddrsToNew, maxRemoteAddrsToNew),
				DataCentres: p.remoteDataCentres(now),
			}), m.Addr)
		}
	}
	for name, d := range w.DataCentres {
		p.members.UpdateDataCentre(now, name, d.LocalCount, d.Relays, d.ListCurrent)
	}
	for dataCentre, addrs := range w.Known {
		for _, addr := range addrs {
			p.members.AddAddress(now, dataCentre, addr)
		}
	}
	p.handleOrders(w)
	if w.Forward != "" && w.DataCentre == p.options.DataCentre {
		// The members of this data centre have already received the content.
		p.sendToRelays(now, w.Forward, w.content())
		p.catchUp(ctx, now)
		return
	}
	if w.Forward != "" {
		p.relayContent(w)
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
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed notice", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleNotice(notice)
	}
	for _, l := range w.Limits {
		notice, err := decodeLimit(now, l)
		if err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed limit", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleLimit(notice)
	}
	for _, b := range w.Brittle {
		notice, err := decodeBrittle(now, b)
		if err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed brittle pool", "peer", w.Name, "error", err.Error())
			continue
		}
		p.sink.HandleBrittle(notice)
	}
	p.handleContainment(now, w)
	if w.List != nil {
		p.handleList(w.List)
	}
	for _, loads := range w.Loads {
		if err := p.handleLoads(now, loads); err != nil {
			p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed loads", "peer", w.Name, "error", err.Error())
		}
	}
	p.catchUp(ctx, now)
}

// handleList submits changes of the list.
func (p *Peers) handleList(w *listWire) {
	// The changes before these may have been submitted, but not applied yet. Without
	// them, the list is incomplete at the position of these; revision 0 keeps the
	// current one.
	at := history.Position{Era: w.Era}
	known := history.Max(p.submittedPosition, p.options.State().ListPosition)
	if known.IsZero() && w.After == 0 || known.Era == w.Era && known.Revision >= w.After {
		at = w.position()
		p.submittedPosition = history.Max(p.submittedPosition, at)
	}
	p.sink.UpdateList(p.decodeItems(w.Items), at, false, upstream.FromPeer)
}
