package peer

import (
	"net/netip"
	"sync"

	"mangoloft/ident"
	"mangoloft/peerpb"
)

// holders knows which instance holds the ledger of a home that stopped by plan,
// as the heartbeats say.
type holders struct {
	mu   sync.Mutex
	addr map[ident.Home]netip.AddrPort
}

// of returns where the tickets of the home are run.
func (h *holders) of(home ident.Home) netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	if addr, ok := h.addr[home]; ok {
		return addr
	}
	return home.Peer
}

// heard takes what a heartbeat says of ledgers. Where two claim one, which
// happens only between a hand-over and the next heartbeat, either is asked
// and the one that no longer holds it says so.
func (h *holders) heard(heartbeat *peerpb.Heartbeat) {
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
