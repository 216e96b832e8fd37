package gossip

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// remoteDataCentre is another data centre, as reported by its instances.
type remoteDataCentre struct {
	// count is the number of its live instances, including its relays.
	count  int
	relays []netip.AddrPort
	// readsStore reports whether one of its instances reads the list of upstreams.
	readsStore bool
	// heardAt is the time of the latest datagram from one of its instances, and
	// reportedAt that of the latest report, which may come from a local instance.
	heardAt, reportedAt time.Time
}

// UpdateDataCentre records what a local instance has heard of another data centre.
// What this instance has heard itself takes precedence.
func (t *MemberTable) UpdateDataCentre(now time.Time, name string, count int, relays []netip.AddrPort, readsStore bool) {
	if name == t.dataCentre || count <= 0 {
		return
	}
	known, ok := t.dataCentres[name]
	if !ok {
		known = &remoteDataCentre{}
		t.dataCentres[name] = known
	}
	if now.Sub(known.heardAt) > directPrecedence {
		known.count, known.relays, known.readsStore, known.reportedAt = count, relays, readsStore, now
	}
}

// RemoteDataCentres calls report for each other data centre that an instance tells
// its own data centre of: those from which it has heard itself since its last
// heartbeat, or within relayTimeout if it is a relay. What others reported is not
// passed on, as it would circulate after the data centre has become unreachable.
func (t *MemberTable) RemoteDataCentres(now time.Time, report func(name string, count int, relays []netip.AddrPort, readsStore bool)) {
	maxAge := t.HeartbeatInterval()
	if t.IsRelay() {
		maxAge = relayTimeout
	}
	for name, d := range t.dataCentres {
		if now.Sub(d.heardAt) <= maxAge {
			report(name, d.count, d.relays, d.readsStore)
		}
	}
}

// LocalCount returns the number of live instances in the local data centre,
// including this one.
func (t *MemberTable) LocalCount() int {
	count := 1
	for _, m := range t.members {
		if m.Alive && m.DataCentre == t.dataCentre {
			count++
		}
	}
	return count
}

// FleetSize returns the number of live instances, including this one. It counts
// those of a data centre that can't be reached until removalTimeout.
func (t *MemberTable) FleetSize() int {
	total := t.LocalCount()
	for _, d := range t.dataCentres {
		total += d.count
	}
	return max(total, t.Count()+1)
}

// DataCentreSizes returns the number of live instances of each known data centre, including
// this one. Like FleetSize it counts those of a data centre that can't be reached.
func (t *MemberTable) DataCentreSizes() map[string]int {
	sizes := map[string]int{t.dataCentre: t.LocalCount()}
	for name, d := range t.dataCentres {
		sizes[name] = d.count
	}
	return sizes
}

// OtherDataCentres returns the number of other data centres.
func (t *MemberTable) OtherDataCentres() int { return len(t.dataCentres) }

// IsLarge reports whether the fleet is too large for a full mesh.
func (t *MemberTable) IsLarge() bool { return t.FleetSize() > fullMeshLimit }

// IsRelay reports whether the instance exchanges datagrams with the other data
// centres for its own one.
func (t *MemberTable) IsRelay() bool { return t.rank() < relaysPerDataCentre }

// LocalRelays returns the addresses of the relays of the local data centre.
func (t *MemberTable) LocalRelays() []netip.AddrPort {
	addrs := []netip.AddrPort{t.self}
	for _, m := range t.members {
		if m.Alive && m.DataCentre == t.dataCentre {
			addrs = append(addrs, m.Addr)
		}
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs[:min(relaysPerDataCentre, len(addrs))]
}

// LocalRelay returns the relay of the local data centre, unless it is this
// instance.
func (t *MemberTable) LocalRelay() (Member, bool) {
	for _, m := range t.Alive() {
		if m.DataCentre == t.dataCentre {
			return m, m.Addr.Compare(t.self) < 0
		}
	}
	return Member{}, false
}

// RemoteRelays returns for each other data centre the address to which datagrams for
// it are sent: that of the member with the lowest address of those heard from within
// relayTimeout, or else that of a reported relay, or of the member that was heard
// from last. Any instance can act as the relay, so the data centres need not agree
// on it.
func (t *MemberTable) RemoteRelays(now time.Time) map[string]netip.AddrPort {
	lastHeard := map[string]Member{}
	for _, m := range t.Alive() { // sorted by address
		if m.DataCentre == t.dataCentre {
			continue
		}
		current, ok := lastHeard[m.DataCentre]
		if !ok || now.Sub(current.LastSeenAt) > relayTimeout && m.LastSeenAt.After(current.LastSeenAt) {
			lastHeard[m.DataCentre] = m
		}
	}
	relays := map[string]netip.AddrPort{}
	for name, d := range t.dataCentres {
		if len(d.relays) > 0 {
			relays[name] = d.relays[0]
		}
	}
	for name, m := range lastHeard {
		if _, reported := relays[name]; !reported || now.Sub(m.LastSeenAt) <= relayTimeout {
			relays[name] = m.Addr
		}
	}
	return relays
}

// RemoteHeartbeats returns the addresses outside the broadcast group that get a
// heartbeat: that of a random member and, if the instance is a relay, those of the
// relays of each other data centre.
func (t *MemberTable) RemoteHeartbeats() []netip.AddrPort {
	if !t.IsLarge() {
		return nil
	}
	var addrs []netip.AddrPort
	if remote := t.RemoteMembers(); len(remote) > 0 {
		addrs = append(addrs, remote[rand.IntN(len(remote))].Addr)
	}
	if t.IsRelay() {
		for _, d := range t.dataCentres {
			addrs = append(addrs, d.relays...)
		}
	}
	return addrs
}

// readersOf returns the number of readers in a data centre with the given number of
// instances that can read the store.
func readersOf(instances int) int {
	if instances >= twoReadersThreshold {
		return 2
	}
	return 1
}

// ReaderCount returns the number of readers of all data centres.
func (t *MemberTable) ReaderCount() int {
	count := readersOf(t.LocalCount())
	for _, d := range t.dataCentres {
		count += readersOf(d.count)
	}
	return count
}

// localReads reports whether an instance of the local data centre reads the list;
// selfReads whether this instance does.
func (t *MemberTable) localReads(selfReads bool) bool {
	if selfReads {
		return true
	}
	for _, m := range t.members {
		if m.Alive && m.DataCentre == t.dataCentre && m.ReadsStore {
			return true
		}
	}
	return false
}

// ListCurrent reports whether any instance reads the list, whose changes then reach
// this one. selfReads reports whether this instance does.
func (t *MemberTable) ListCurrent(now time.Time, selfReads bool) bool {
	if t.localReads(selfReads) {
		return true
	}
	for _, d := range t.dataCentres {
		if d.readsStore && now.Sub(d.reportedAt) <= listCurrentTimeout {
			return true
		}
	}
	return false
}
