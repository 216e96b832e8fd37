// Package gossip exchanges state with the other instances by UDP datagrams.
// They contain heartbeats, notices of the placements of requests on upstreams,
// announcements of leaving upstreams, and changes of the list of upstreams. In
// each data centre one or two instances read the routing table and the list
// from the platform's store. The others, and instances that can't reach the
// store, pull them from another instance by an HTTP call.
package gossip

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mangoloft/history"
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
	// TableVersion is the version of its routing table, ListPosition the position of
	// its list of upstreams.
	TableVersion uint64
	ListPosition history.Position
	// StoreLost reports that its latest attempt to read the store failed, and
	// ReadsStore that it reads the list and its latest attempt succeeded.
	StoreLost, ReadsStore bool
	// ListCurrent reports that an instance of its data centre reads the list.
	ListCurrent bool
	// LostPools are the pools from which it is cut off.
	LostPools []string
	// LocalCount is the number of live instances in its data centre, including
	// itself.
	LocalCount int
	// NextBy is the time by which its next datagram is due.
	NextBy time.Time
	// Relays contains the addresses of the relays of its data centre.
	Relays     []netip.AddrPort
	LastSeenAt time.Time
	// Alive is true from the first datagram until the silence timeout passes
	// without another.
	Alive bool
}

const (
	// silenceTimeout is the time for which a member that sends a datagram in each
	// heartbeatInterval stays alive without one. Two consecutive heartbeats may be
	// lost. It is longer for members that send them less often.
	silenceTimeout = 2500 * time.Millisecond
	// remoteSilenceTimeout is the silence timeout of members of other data
	// centres in a large fleet, which send a heartbeat to each instance only
	// occasionally.
	remoteSilenceTimeout = 60 * time.Second
	// removalTimeout is the time for which a silent member is still contacted,
	// so that the fleet reunites after a partition heals.
	removalTimeout = 5 * time.Minute
	// fullMeshLimit is the number of live instances at which an instance stops
	// sending its datagrams to all of them. It then sends them to the members of
	// its data centre, and the relays exchange datagrams between data centres, so
	// that an instance's traffic does not grow with the fleet.
	fullMeshLimit = 32
	// relaysPerDataCentre is the number of instances of a data centre that
	// exchange datagrams with the other data centres of a large fleet.
	relaysPerDataCentre = 2
	// standbys is the number of instances of a data centre, those with the lowest
	// addresses, that send heartbeats often, because they are relays or readers or
	// take over soon.
	standbys = 6
	// relayTimeout is the time without a datagram after which another member of
	// the same data centre is used as the relay, if one was heard more recently.
	// Relays send heartbeats to each other every second.
	relayTimeout = 3500 * time.Millisecond
	// directPrecedence is the time for which what an instance has heard from
	// another data centre takes precedence over what local instances report of it.
	directPrecedence = 2 * time.Second
	// minRemoteAddresses is the number of silent members of another data centre
	// that a large fleet keeps contacting, to reunite after a partition.
	minRemoteAddresses = 4
	// lostReaders is the number of instances of a data centre that keep trying to
	// read the store if none of them can.
	lostReaders = 3
	// listCurrentTimeout is the time after a report that another data centre reads
	// the list from which it no longer counts.
	listCurrentTimeout = 3500 * time.Millisecond
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
	// dataCentres contains the other data centres, most instances of which are not
	// known individually in a large fleet.
	dataCentres map[string]*remoteDataCentre
}

// NewMemberTable returns an empty table for the instance with the given address
// and data centre.
func NewMemberTable(self netip.AddrPort, dataCentre string) *MemberTable {
	return &MemberTable{self: self, dataCentre: dataCentre, members: map[netip.AddrPort]*Member{}, dataCentres: map[string]*remoteDataCentre{}}
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
	if m.DataCentre != t.dataCentre && m.LocalCount > 0 {
		t.dataCentres[m.DataCentre] = &remoteDataCentre{count: m.LocalCount, relays: m.Relays, readsStore: m.ListCurrent, heardAt: now, reportedAt: now}
	}
	return joined
}

// AddAddress adds the address of an instance of the data centre, received from
// another instance, as a member that is not alive yet.
func (t *MemberTable) AddAddress(now time.Time, dataCentre string, addr netip.AddrPort) {
	if addr == t.self || t.members[addr] != nil {
		return
	}
	t.members[addr] = &Member{Addr: addr, DataCentre: dataCentre, LastSeenAt: now}
}

// Remove removes a member that announced its planned stop.
func (t *MemberTable) Remove(addr netip.AddrPort, incarnation uint64) {
	if m := t.members[addr]; m != nil && m.Incarnation == incarnation {
		delete(t.members, addr)
	}
}

// Expire marks the members whose silence timeout has passed as not alive and
// returns them. It removes members that have been silent for removalTimeout, and
// in a large fleet all but some silent members of other data centres.
func (t *MemberTable) Expire(now time.Time) (lost []Member) {
	large := t.IsLarge()
	silentRemote := map[string]int{}
	for addr, m := range t.members {
		remote := large && m.DataCentre != t.dataCentre
		intervals := float64(m.NextBy.Sub(m.LastSeenAt)) / float64(heartbeatInterval)
		timeout := max(silenceTimeout, time.Duration(intervals*float64(silenceTimeout)))
		if remote {
			timeout = remoteSilenceTimeout
		}
		silentFor := now.Sub(m.LastSeenAt)
		if m.Alive && silentFor > timeout {
			m.Alive = false
			lost = append(lost, *m)
		}
		if !m.Alive && remote {
			silentRemote[m.DataCentre]++
		}
		if !m.Alive && (silentFor > removalTimeout || silentRemote[m.DataCentre] > minRemoteAddresses) {
			delete(t.members, addr)
		}
	}
	maps.DeleteFunc(t.dataCentres, func(_ string, d *remoteDataCentre) bool { return now.Sub(d.reportedAt) > removalTimeout })
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

// SilentAddresses returns up to limit addresses of members that are not alive, in
// random order: first those of the local data centre and, in a large fleet, then
// those of data centres of which fewer than relaysPerDataCentre members are alive.
func (t *MemberTable) SilentAddresses(limit int) []netip.AddrPort {
	large, alive := t.IsLarge(), map[string]int{}
	for _, m := range t.members {
		if m.Alive {
			alive[m.DataCentre]++
		}
	}
	var local, remote []netip.AddrPort
	for addr, m := range t.members {
		switch {
		case m.Alive:
		case m.DataCentre == t.dataCentre:
			local = append(local, addr)
		case !large || alive[m.DataCentre] < relaysPerDataCentre:
			remote = append(remote, addr)
		}
	}
	for _, addrs := range [][]netip.AddrPort{local, remote} {
		rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	}
	silent := append(local, remote...)
	return silent[:min(limit, len(silent))]
}

// KnownAddresses returns the addresses of up to limit random live members of a data
// centre, and of up to remoteLimit of each other one.
func (t *MemberTable) KnownAddresses(dataCentre string, limit, remoteLimit int) map[string][]netip.AddrPort {
	known := map[string][]netip.AddrPort{}
	for addr, m := range t.members { // in random order
		limitOf := remoteLimit
		if m.DataCentre == dataCentre {
			limitOf = limit
		}
		if m.Alive && len(known[m.DataCentre]) < limitOf {
			known[m.DataCentre] = append(known[m.DataCentre], addr)
		}
	}
	return known
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

// LocalMembers returns the live members of the local data centre.
func (t *MemberTable) LocalMembers() []Member {
	return slices.DeleteFunc(t.Alive(), func(m Member) bool { return m.DataCentre != t.dataCentre })
}

// BroadcastGroup returns the live members that receive all datagrams of the
// instance: all members of a small fleet, and otherwise the members of its
// data centre.
func (t *MemberTable) BroadcastGroup() []Member {
	if !t.IsLarge() {
		return t.Alive()
	}
	return t.LocalMembers()
}

// RemoteMembers returns the live members outside the broadcast group.
func (t *MemberTable) RemoteMembers() []Member {
	if !t.IsLarge() {
		return nil
	}
	return slices.DeleteFunc(t.Alive(), func(m Member) bool { return m.DataCentre == t.dataCentre })
}

// rank returns the number of live members of the local data centre with a lower
// address.
func (t *MemberTable) rank() int {
	rank := 0
	for _, m := range t.members {
		if m.Alive && m.DataCentre == t.dataCentre && m.Addr.Compare(t.self) < 0 {
			rank++
		}
	}
	return rank
}

// HeartbeatInterval returns the time without a datagram after which the instance
// sends a heartbeat to its broadcast group.
func (t *MemberTable) HeartbeatInterval() time.Duration {
	if t.IsLarge() && t.rank() >= standbys {
		return rareHeartbeatInterval
	}
	return heartbeatInterval
}

// IsPrimary reports whether the instance has the lowest address of the live
// instances in its data centre.
func (t *MemberTable) IsPrimary() bool { return t.rank() == 0 }

// ShouldReadStore reports whether the instance should read the store for its
// data centre. The instances with the lowest addresses do, not counting those
// that failed to read it. If all failed, some of them keep trying.
func (t *MemberTable) ShouldReadStore(storeLost bool) bool {
	// able counts the instances of the data centre that have not failed to read the
	// store, including this one; lower and lowerAble count those with a lower address.
	able, lower, lowerAble := 0, 0, 0
	if !storeLost {
		able++
	}
	for _, m := range t.members {
		if !m.Alive || m.DataCentre != t.dataCentre {
			continue
		}
		isLower := m.Addr.Compare(t.self) < 0
		if isLower {
			lower++
		}
		if m.StoreLost {
			continue
		}
		able++
		if isLower {
			lowerAble++
		}
	}
	if storeLost {
		return able == 0 && lower < lostReaders
	}
	return lowerAble < readersOf(able)
}

// FindNewer returns a random member that has a newer routing table or, if
// wantList is set, a newer list, and that is not skipped. Members of the local data
// centre are preferred. In a large fleet, only relays consider the others as long as the
// data centre has other instances, because the relays forward what is new there.
func (t *MemberTable) FindNewer(tableVersion uint64, listPosition history.Position, wantList bool, skip func(Member) bool) (Member, bool) {
	var candidates, remote []Member
	for _, m := range t.members {
		if !m.Alive || skip(*m) || m.TableVersion <= tableVersion && (!wantList || !m.ListPosition.After(listPosition)) {
			continue
		}
		if m.DataCentre == t.dataCentre {
			candidates = append(candidates, *m)
		} else {
			remote = append(remote, *m)
		}
	}
	if len(candidates) == 0 && (!t.IsLarge() || t.IsRelay() || t.LocalCount() == 1) {
		candidates = remote
	}
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}
