package peer

import (
	"net/netip"
	"sync"

	"mangoloft/ident"
	"mangoloft/peerpb"
)

// holders maps homes that handed over their ledgers in a planned stop to the
// instances that now hold them, as announced in heartbeats.
type holders struct {
	mu   sync.Mutex
	addr map[ident.Home]netip.AddrPort
}

// addrOf returns the address of the instance that runs the home's tickets.
func (h *holders) addrOf(home ident.Home) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	if addr, ok := h.addr[home]; ok {
		return addr
	}
	return home.Peer
}

// update records the ledgers that the sender of a heartbeat holds. Between a
// hand-over and the next heartbeat two instances may claim the same ledger. A
// ticket may then be sent to either, and the former holder refuses it.
func (h *holders) update(heartbeat *peerpb.Heartbeat) {
	sender, err := netip.ParseAddrPort(heartbeat.GetPeer())
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for home, addr := range h.addr {
		if addr == sender {
			delete(h.addr, home)
		}
	}
	for _, held := range heartbeat.GetHeld() {
		if home, err := homeFromWire(held); err == nil {
			h.addr[home] = sender
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
