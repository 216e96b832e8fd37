// Package gossip speaks to the other instances: datagrams carry signs of life,
// notices of placements and of leaving upstreams, and a call brings the routing
// table and the list of upstreams to an instance that can't read them itself.
package gossip

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Member is another instance.
type Member struct {
	Name        string
	DataCentre  string
	Addr        netip.AddrPort
	Control     netip.AddrPort
	Incarnation uint64
	// TableVersion and ListRevision are what it has by its latest word.
	TableVersion, ListRevision uint64
	// ReadsStore says that it can read the store itself.
	ReadsStore bool
	HeardAt    time.Time
	// Alive members were heard of lately.
	Alive bool
}

const (
	// silence is how long a member may say nothing and still be alive. Three
	// signs of life in a row may be lost.
	silence = 3500 * time.Millisecond
	// forget is how long a silent member is still called, so that a partition
	// that heals finds it again.
	forget = 5 * time.Minute
)

// Table holds the other instances. It is pure state and belongs to one
// goroutine.
type Table struct {
	self    netip.AddrPort
	members map[netip.AddrPort]*Member
}

// NewTable returns an empty table for the instance with the address.
func NewTable(self netip.AddrPort) *Table {
	return &Table{self: self, members: map[netip.AddrPort]*Member{}}
}

// Heard takes a member's word of itself. It reports whether the member was not
// known to be alive in this incarnation.
func (t *Table) Heard(now time.Time, m Member) (joined bool) {
	if m.Addr == t.self {
		return false
	}
	old := t.members[m.Addr]
	if old != nil && old.Incarnation > m.Incarnation {
		// A datagram of an earlier process at the address came late.
		return false
	}
	joined = old == nil || !old.Alive || old.Incarnation != m.Incarnation
	m.HeardAt, m.Alive = now, true
	t.members[m.Addr] = &m
	return joined
}

// Learn notes an address that another instance knows.
func (t *Table) Learn(now time.Time, addr netip.AddrPort) {
	if addr == t.self || t.members[addr] != nil {
		return
	}
	t.members[addr] = &Member{Addr: addr, HeardAt: now}
}

// Leave notes a member's planned stop.
func (t *Table) Leave(addr netip.AddrPort, incarnation uint64) {
	if m := t.members[addr]; m != nil && m.Incarnation == incarnation {
		delete(t.members, addr)
	}
}

// Tick returns the members that have just fallen silent.
func (t *Table) Tick(now time.Time) (lost []Member) {
	for addr, m := range t.members {
		switch quiet := now.Sub(m.HeardAt); {
		case m.Alive && quiet > silence:
			m.Alive = false
			lost = append(lost, *m)
		case quiet > forget:
			delete(t.members, addr)
		}
	}
	return lost
}

// Alive returns the members that are alive, by address.
func (t *Table) Alive() []Member {
	var alive []Member
	for _, m := range t.members {
		if m.Alive {
			alive = append(alive, *m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return alive
}

// Silent returns the addresses known of but not heard from.
func (t *Table) Silent() []netip.AddrPort {
	var silent []netip.AddrPort
	for addr, m := range t.members {
		if !m.Alive {
			silent = append(silent, addr)
		}
	}
	slices.SortFunc(silent, netip.AddrPort.Compare)
	return silent
}

// Count returns how many members are alive.
func (t *Table) Count() int {
	n := 0
	for _, m := range t.members {
		if m.Alive {
			n++
		}
	}
	return n
}

// Ahead returns a member that has a newer routing table or list than the
// instance, the one with the newest first.
func (t *Table) Ahead(tableVersion, listRevision uint64, wantList bool) (Member, bool) {
	var ahead []Member
	for _, m := range t.Alive() {
		if m.TableVersion > tableVersion || wantList && m.ListRevision > listRevision && m.ReadsStore {
			ahead = append(ahead, m)
		}
	}
	if len(ahead) == 0 {
		return Member{}, false
	}
	return slices.MaxFunc(ahead, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.TableVersion, b.TableVersion), cmp.Compare(a.ListRevision, b.ListRevision))
	}), true
}
