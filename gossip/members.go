// Package gossip exchanges state with the other instances by UDP datagrams.
// They contain heartbeats, notices of the placements of requests on upstreams,
// announcements of leaving upstreams, and changes of the list of upstreams. In
// each data centre one or two instances read the routing table and the list
// from the platform's store. The others, and instances that can't reach the
// store, pull them from another instance by an HTTP call.
package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// Member is another instance, with the contents of its latest datagram.
type Member struct {
	Name       string
	DataCentre string
	// Addr is its address for datagrams, Control the HTTP address at which its
	// state is pulled.
	Addr        netip.AddrPort
	Control     netip.AddrPort
	Incarnation uint64
	// TableVersion is the version of its routing table, ListRevision the revision
	// of its list of upstreams.
	TableVersion, ListRevision uint64
	// StoreLost reports that its latest attempt to read the store failed.
	StoreLost  bool
	LastSeenAt time.Time
	// Alive is true from the first datagram until the silence timeout passes
	// without another.
	Alive bool
}

const (
	// silenceTimeout is the time for which a member stays alive without a
	// datagram from it. Two consecutive heartbeats may be lost.
	silenceTimeout = 2500 * time.Millisecond
	// remoteSilenceTimeout is the silence timeout of members of other data
	// centres in a large fleet, which send a heartbeat to each instance only
	// occasionally.
	remoteSilenceTimeout = 60 * time.Second
	// removalTimeout is the time for which a silent member is still contacted,
	// so that the fleet reunites after a partition heals.
	removalTimeout = 5 * time.Minute
	// fullMeshLimit is the number of live members at which an instance stops
	// sending all its datagrams to all of them. It then sends them to the
	// members of its data centre, and heartbeats to a few random members of the
	// others, so that its traffic does not grow with the fleet.
	fullMeshLimit = 32
	// twoReadersThreshold is the minimum number of instances in a data centre
	// for two of them to read the store instead of one.
	twoReadersThreshold = 8
)

// MemberTable tracks the other instances. It does no I/O and is confined to one
// goroutine.
type MemberTable struct {
	self       netip.AddrPort
	dataCentre string
	members    map[netip.AddrPort]*Member
}

// NewMemberTable returns an empty table for the instance with the given address
// and data centre.
func NewMemberTable(self netip.AddrPort, dataCentre string) *MemberTable {
	return &MemberTable{self: self, dataCentre: dataCentre, members: map[netip.AddrPort]*Member{}}
}

// Update records a member's latest datagram. It reports whether the member has
// joined: it was not alive before, or was another incarnation.
func (t *MemberTable) Update(now time.Time, m Member) (joined bool) {
	if m.Addr == t.self {
		return false
	}
	previous := t.members[m.Addr]
	if previous != nil && previous.Incarnation > m.Incarnation {
		// A delayed datagram of an earlier process at the same address.
		return false
	}
	joined = previous == nil || !previous.Alive || previous.Incarnation != m.Incarnation
	m.LastSeenAt, m.Alive = now, true
	t.members[m.Addr] = &m
	return joined
}

// AddAddress adds an address received from another instance, as a member that
// is not alive yet.
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

// Expire marks the members whose silence timeout has passed as not alive and
// returns them. It removes members that have been silent for removalTimeout.
func (t *MemberTable) Expire(now time.Time) (lost []Member) {
	for addr, m := range t.members {
		timeout := silenceTimeout
		if m.DataCentre != t.dataCentre && len(t.members) >= fullMeshLimit {
			timeout = remoteSilenceTimeout
		}
		switch silentFor := now.Sub(m.LastSeenAt); {
		case m.Alive && silentFor > timeout:
			m.Alive = false
			lost = append(lost, *m)
		case silentFor > removalTimeout:
			delete(t.members, addr)
		}
	}
	return lost
}

// Alive returns the members that are alive, sorted by address.
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

// SilentAddresses returns the addresses of members that are not alive.
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

// Count returns the number of members that are alive.
func (t *MemberTable) Count() int {
	count := 0
	for _, m := range t.members {
		if m.Alive {
			count++
		}
	}
	return count
}

// BroadcastGroup returns the live members that receive all datagrams of the
// instance: all members of a small fleet, and otherwise the members of its
// data centre.
func (t *MemberTable) BroadcastGroup() []Member {
	alive := t.Alive()
	if len(alive) < fullMeshLimit {
		return alive
	}
	return slices.DeleteFunc(alive, func(m Member) bool { return m.DataCentre != t.dataCentre })
}

// RemoteMembers returns the live members outside the broadcast group.
func (t *MemberTable) RemoteMembers() []Member {
	alive := t.Alive()
	if len(alive) < fullMeshLimit {
		return nil
	}
	return slices.DeleteFunc(alive, func(m Member) bool { return m.DataCentre == t.dataCentre })
}

// ShouldReadStore reports whether the instance should read the store for its
// data centre. The instances with the lowest addresses do, not counting those
// that failed to read it.
func (t *MemberTable) ShouldReadStore(storeLost bool) bool {
	if storeLost {
		// Keep retrying, even if another instance reads for the data centre.
		return true
	}
	// candidates counts the instances of the data centre that can read the store,
	// including this one; lower counts those with a lower address than this one.
	candidates, lower := 1, 0
	for _, m := range t.members {
		if !m.Alive || m.DataCentre != t.dataCentre || m.StoreLost {
			continue
		}
		candidates++
		if m.Addr.Compare(t.self) < 0 {
			lower++
		}
	}
	if candidates >= twoReadersThreshold {
		return lower < 2
	}
	return lower < 1
}

// IsPrimary reports whether the instance has the lowest address of the live
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
// wantList is set, a newer list. Members of the local data centre are
// preferred.
func (t *MemberTable) FindNewer(tableVersion, listRevision uint64, wantList bool) (Member, bool) {
	var candidates, remote []Member
	for _, m := range t.members {
		if !m.Alive || m.TableVersion <= tableVersion && (!wantList || m.ListRevision <= listRevision) {
			continue
		}
		if m.DataCentre == t.dataCentre {
			candidates = append(candidates, *m)
		} else {
			remote = append(remote, *m)
		}
	}
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}
