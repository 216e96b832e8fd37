// Package gossip speaks to the other instances: datagrams carry signs of life,
// notices of placements and of leaving upstreams, and a call brings the routing
// table and the list of upstreams to an instance that can't read them itself.
package gossip

import (
	"math/rand/v2"
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
	// StoreLost says that it could not read the store when it last tried.
	StoreLost  bool
	LastSeenAt time.Time
	// Alive members were heard of lately.
	Alive bool
}

const (
	// silence is how long a member may say nothing and still be alive. Two
	// signs of life in a row may be lost.
	silence = 2500 * time.Millisecond
	// farSilence is the same for members of other data centres in a large
	// fleet, which speak to each in turn.
	farSilence = 60 * time.Second
	// forget is how long a silent member is still called, so that a partition
	// that heals finds it again.
	forget = 5 * time.Minute
	// smallFleet is how many instances speak to all others. In a larger fleet
	// each speaks to those of its data centre, and to a few of the others in
	// turn, so that what an instance sends doesn't grow with the fleet.
	smallFleet = 32
	// crowdedGroup is how many instances of a data centre have two readers of
	// the store instead of one.
	crowdedGroup = 8
)

// Table holds the other instances. It is pure state and belongs to one
// goroutine.
type Table struct {
	self       netip.AddrPort
	dataCentre string
	members    map[netip.AddrPort]*Member
}

// NewTable returns an empty table for the instance with the address, in a data
// centre.
func NewTable(self netip.AddrPort, dataCentre string) *Table {
	return &Table{self: self, dataCentre: dataCentre, members: map[netip.AddrPort]*Member{}}
}

// Update takes a member's word of itself. It reports whether the member was not
// known to be alive in this incarnation.
func (t *Table) Update(now time.Time, m Member) (joined bool) {
	if m.Addr == t.self {
		return false
	}
	old := t.members[m.Addr]
	if old != nil && old.Incarnation > m.Incarnation {
		// A datagram of an earlier process at the address came late.
		return false
	}
	joined = old == nil || !old.Alive || old.Incarnation != m.Incarnation
	m.LastSeenAt, m.Alive = now, true
	t.members[m.Addr] = &m
	return joined
}

// AddAddress notes an address that another instance knows.
func (t *Table) AddAddress(now time.Time, addr netip.AddrPort) {
	if addr == t.self || t.members[addr] != nil {
		return
	}
	t.members[addr] = &Member{Addr: addr, LastSeenAt: now}
}

// Remove notes a member's planned stop.
func (t *Table) Remove(addr netip.AddrPort, incarnation uint64) {
	if m := t.members[addr]; m != nil && m.Incarnation == incarnation {
		delete(t.members, addr)
	}
}

// Expire returns the members that have just fallen silent.
func (t *Table) Expire(now time.Time) (lost []Member) {
	for addr, m := range t.members {
		limit := silence
		if m.DataCentre != t.dataCentre && len(t.members) >= smallFleet {
			limit = farSilence
		}
		switch quiet := now.Sub(m.LastSeenAt); {
		case m.Alive && quiet > limit:
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

// SilentAddresses returns the addresses known of but not heard from.
func (t *Table) SilentAddresses() []netip.AddrPort {
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

// BroadcastGroup returns the alive members that the instance tells everything: all of a
// small fleet, else those of its data centre.
func (t *Table) BroadcastGroup() []Member {
	alive := t.Alive()
	if len(alive) < smallFleet {
		return alive
	}
	return slices.DeleteFunc(alive, func(m Member) bool { return m.DataCentre != t.dataCentre })
}

// RemoteMembers returns the alive members that are not in the group.
func (t *Table) RemoteMembers() []Member {
	alive := t.Alive()
	if len(alive) < smallFleet {
		return nil
	}
	return slices.DeleteFunc(alive, func(m Member) bool { return m.DataCentre == t.dataCentre })
}

// ShouldReadStore reports whether the instance should read the store for its data
// centre: those with the lowest addresses do, unless they can't.
func (t *Table) ShouldReadStore(storeLost bool) bool {
	if storeLost {
		// What it can't read it tries again, whoever else reads.
		return true
	}
	able, before := 1, 0
	for _, m := range t.members {
		if !m.Alive || m.DataCentre != t.dataCentre || m.StoreLost {
			continue
		}
		able++
		if m.Addr.Compare(t.self) < 0 {
			before++
		}
	}
	if able >= crowdedGroup {
		return before < 2
	}
	return before < 1
}

// IsPrimary reports whether the instance has the lowest address of its data
// centre's alive ones.
func (t *Table) IsPrimary() bool {
	for _, m := range t.members {
		if m.Alive && m.DataCentre == t.dataCentre && m.Addr.Compare(t.self) < 0 {
			return false
		}
	}
	return true
}

// FindNewer returns a member that has a newer routing table, or a newer list when
// that is wanted: one of the own data centre if there is one, and any of those
// with the same chance.
func (t *Table) FindNewer(tableVersion, listRevision uint64, wantList bool) (Member, bool) {
	var near, far []Member
	for _, m := range t.members {
		if !m.Alive || m.TableVersion <= tableVersion && (!wantList || m.ListRevision <= listRevision) {
			continue
		}
		if m.DataCentre == t.dataCentre {
			near = append(near, *m)
		} else {
			far = append(far, *m)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Member{}, false
	}
	return near[rand.IntN(len(near))], true
}
