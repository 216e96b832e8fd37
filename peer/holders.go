package peer

import (
	"net/netip"
	"sync"

	"mangoloft/ident"
	"mangoloft/peerpb"
)

// holders maps each home that handed over its ledger in a planned stop to the address
// of the instance that now holds the ledger, as announced in heartbeats.
type holders struct {
	mu    sync.Mutex
	addrs map[ident.Home]netip.AddrPort
}

// addrOf returns the address of the instance that runs the home's tickets.
func (h *holders) addrOf(home ident.Home) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	if addr, ok := h.addrs[home]; ok {
		return addr
	}
	return home.Peer
}

// update records the homes whose ledgers the sender of a heartbeat holds. Between a
// handover and the former holder's next heartbeat, two instances can have announced
// the same ledger. A ticket is then sent to either, and the former holder refuses it.
func (h *holders) update(heartbeat *peerpb.Heartbeat) {
	sender, err := netip.ParseAddrPort(heartbeat.GetPeer())
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for home, addr := range h.addrs {
		if addr == sender {
			delete(h.addrs, home)
		}
	}
	for _, held := range heartbeat.GetHeld() {
		if home, err := homeFromWire(held); err == nil {
			h.addrs[home] = sender
		}
	}
}

func homeToWire(home ident.Home) *peerpb.Home {
	return &peerpb.Home{Peer: home.Peer.String(), Incarnation: uint64(home.Incarnation)}
}

func homeFromWire(wire *peerpb.Home) (ident.Home, error) {
	addr, err := netip.ParseAddrPort(wire.GetPeer())
	return ident.Home{Peer: addr, Incarnation: ident.Incarnation(wire.GetIncarnation())}, err
}
