// Package gossip exchanges state with the other instances. Datagrams carry
// heartbeats, notices of placements and of leaving upstreams, and changes of
// the list of upstreams. An instance that can't read the store itself pulls the
// routing table and the list from another instance by an HTTP call.
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
	// TableVersion and ListRevision are from its latest datagram.
	TableVersion, ListRevision uint64
	// StoreLost reports that its latest attempt to read the store failed.
	StoreLost  bool
	LastSeenAt time.Time
	// Alive is set until nothing has been received for the silence timeout.
	Alive bool
}

const (
	// silenceTimeout is how long a member stays alive without a datagram from
	// it. Two heartbeats in a row may be lost.
	silenceTimeout = 2500 * time.Millisecond
	// remoteSilenceTimeout is the same for members of other data centres in a
	// large fleet, which send heartbeats to each instance only now and then.
	remoteSilenceTimeout = 60 * time.Second
	// forgetAfter is how long a silent member is still contacted, so that the
	// fleet reunites after a partition heals.
	forgetAfter = 5 * time.Minute
	// fullMeshLimit is the largest fleet whose instances all send to each
	// other. In a larger fleet each instance sends to the members of its data
	// centre, and to a few random members of the others, so that its traffic
	// does not grow with the fleet.
	fullMeshLimit = 32
	// twoReadersThreshold is the number of instances in a data centre from
	// which two of them read the store instead of one.
	twoReadersThreshold = 8
)

// MemberTable holds the other instances. It does no I/O and is confined to one
// goroutine.
type MemberTable struct {
	self       netip.AddrPort
	dataCentre string
	members    map[netip.AddrPort]*Member
}

// NewMemberTable returns an empty table for the instance with the given address and
// data centre.
func NewMemberTable(self netip.AddrPort, dataCentre string) *MemberTable {
	return &MemberTable{self: self, dataCentre: dataCentre, members: map[netip.AddrPort]*Member{}}
}

// Update records a member's latest datagram. It reports whether the member was
// not known to be alive in this incarnation.
func (t *MemberTable) Update(now time.Time, m Member) (joined bool) {
	if m.Addr == t.self {
		return false
	}
	old := t.members[m.Addr]
	if old != nil && old.Incarnation > m.Incarnation {
		// A late datagram of an earlier process at the same address.
		return false
	}
	joined = old == nil || !old.Alive || old.Incarnation != m.Incarnation
	m.LastSeenAt, m.Alive = now, true
	t.members[m.Addr] = &m
	return joined
}

// AddAddress adds an address learned from another instance.
func (t *MemberTable) AddAddress(now time.Time, addr netip.AddrPort) {
	if addr == t.self || t.members[addr] != nil {
		return
	}
	t.members[addr] = &Member{Addr: addr, LastSeenAt: now}
}

// Remove removes a member that announced its planned stop.
func (t *MemberTable) Remove(addr netip.AddrPort, incarnation uint64) {
	if m := t.members[addr]; m != nil && m.Incarnation == incarnation {
		delete(t.members, addr)
	}
}

// Expire marks members as dead that have been silent for too long, and returns
// them. It forgets members that have been silent for forgetAfter.
func (t *MemberTable) Expire(now time.Time) (lost []Member) {
	for addr, m := range t.members {
		limit := silenceTimeout
		if m.DataCentre != t.dataCentre && len(t.members) >= fullMeshLimit {
			limit = remoteSilenceTimeout
		}
		switch silentFor := now.Sub(m.LastSeenAt); {
		case m.Alive && silentFor > limit:
			m.Alive = false
			lost = append(lost, *m)
		case silentFor > forgetAfter:
			delete(t.members, addr)
		}
	}
	return lost
}

// Alive returns the members that are alive, by address.
func (t *MemberTable) Alive() []Member {
	var alive []Member
	for _, m := range t.members {
		if m.Alive {
			alive = append(alive, *m)
		}
	}
	slices.SortFunc(alive, func(a, b Member) int { return a.Addr.Compare(b.Addr) })
	return alive
}

// SilentAddresses returns the addresses of known members that are not alive.
func (t *MemberTable) SilentAddresses() []netip.AddrPort {
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
func (t *MemberTable) Count() int {
	n := 0
	for _, m := range t.members {
		if m.Alive {
			n++
		}
	}
	return n
}

// BroadcastGroup returns the alive members that get all datagrams of the
// instance: all members of a small fleet, else those of its data centre.
func (t *MemberTable) BroadcastGroup() []Member {
	alive := t.Alive()
	if len(alive) < fullMeshLimit {
		return alive
	}
	return slices.DeleteFunc(alive, func(m Member) bool { return m.DataCentre != t.dataCentre })
}

// RemoteMembers returns the alive members outside the broadcast group.
func (t *MemberTable) RemoteMembers() []Member {
	alive := t.Alive()
	if len(alive) < fullMeshLimit {
		return nil
	}
	return slices.DeleteFunc(alive, func(m Member) bool { return m.DataCentre == t.dataCentre })
}

// ShouldReadStore reports whether the instance should read the store for its
// data centre. The instances with the lowest addresses do, except those that
// can't.
func (t *MemberTable) ShouldReadStore(storeLost bool) bool {
	if storeLost {
		// Keep retrying, whichever instance reads for the data centre.
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
	if able >= twoReadersThreshold {
		return before < 2
	}
	return before < 1
}

// IsPrimary reports whether the instance has the lowest address of the alive
// instances in its data centre.
func (t *MemberTable) IsPrimary() bool {
	for _, m := range t.members {
		if m.Alive && m.DataCentre == t.dataCentre && m.Addr.Compare(t.self) < 0 {
			return false
		}
	}
	return true
}

// FindNewer returns a random member that has a newer routing table or, if
// wantList is set, a newer list. Members of the own data centre are preferred.
func (t *MemberTable) FindNewer(tableVersion, listRevision uint64, wantList bool) (Member, bool) {
	var local, remote []Member
	for _, m := range t.members {
		if !m.Alive || m.TableVersion <= tableVersion && (!wantList || m.ListRevision <= listRevision) {
			continue
		}
		if m.DataCentre == t.dataCentre {
			local = append(local, *m)
		} else {
			remote = append(remote, *m)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return Member{}, false
	}
	return local[rand.IntN(len(local))], true
}
