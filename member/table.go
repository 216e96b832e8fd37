// Package member tracks the other entry instances: which of them are in the
// instance list, which are alive, and the contents of their latest heartbeats.
// It does no I/O and reads no clock. In a large fleet, two delegates of each
// data centre exchange heartbeats with the delegates of the others.
package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"mangoloft/decide"
	"mangoloft/ident"
)

const (
	// silenceTimeout is the time for which an instance stays alive without a
	// heartbeat.
	silenceTimeout = 3 * time.Second
	// skipDuration is the time for which a silent instance of another data
	// centre is skipped when a delegate of that data centre is chosen.
	skipDuration = 15 * time.Second
	// delegatesPerDataCentre is the number of instances of a data centre that
	// exchange heartbeats with other data centres.
	delegatesPerDataCentre = 2
	// meshLimit is the number of other listed instances at which heartbeats are
	// no longer exchanged between all pairs.
	meshLimit = 24
	// separateRolesThreshold is the minimum number of instances in a data
	// centre for which delegates and readers don't also poll upstreams.
	separateRolesThreshold = 12
	// readersPerDataCentre is the number of instances of a data centre that
	// read the configuration and the instance list from the platform.
	readersPerDataCentre = 2
)

// Keys of the roles in rendezvous hashing.
const (
	delegateKey = "delegate"
	readerKey   = "reader"
)

// ListedInstance is an entry instance in the instance list. The list may be out
// of date.
type ListedInstance struct {
	Name       string
	DataCentre string
	// Peer is the address for other entry instances.
	Peer    netip.AddrPort
	Leaving bool
}

// LeavingMark marks an incarnation of an upstream as leaving. It is never
// revoked.
type LeavingMark struct {
	Upstream    string
	Incarnation ident.Incarnation
}

// Load is an upstream's load report, forwarded by a peer.
type Load struct {
	Upstream string
	Report   decide.Report
}

// Heartbeat is the state that an entry instance reports about itself.
type Heartbeat struct {
	Name       string
	DataCentre string
	// Home identifies the incarnation of the instance.
	Home          ident.Home
	Stopping      bool
	ConfigVersion uint64
	ConfigDigest  string
	// ConfigContact is the time of the configuration service's latest response
	// to the instance; zero if its latest attempt failed.
	ConfigContact time.Time
	// ConfigFailed reports whether the instance recently failed to reach the
	// configuration service.
	ConfigFailed bool
	// ListHash identifies the contents of the instance list. ListRead is the
	// time at which any instance last read this list from the platform,
	// ListSince the time at which the list first appeared at the instance that
	// read it.
	ListHash            uint64
	ListRead, ListSince time.Time
	// LeavingHash is a hash over the marks of all listed upstreams. Leaving
	// contains the marks themselves if the receiver's latest hash differed.
	LeavingHash uint64
	Leaving     []LeavingMark
	Loads       []Load
}

// Peer is another entry instance that is alive.
type Peer struct {
	Heartbeat
	// AliveUntil is the time at which the peer expires unless another heartbeat
	// arrives.
	AliveUntil time.Time
}

// Table tracks the other entry instances. It is confined to one goroutine.
type Table struct {
	self       string
	dataCentre string
	listed     []ListedInstance
	peers      map[string]Peer
	// newestIncarnation holds the highest incarnation received for each name.
	newestIncarnation map[string]ident.Incarnation
	// silentSince holds the time at which a silent instance of another data
	// centre was first chosen as a delegate; skippedUntil holds the time until
	// which it is skipped.
	silentSince, skippedUntil map[string]time.Time
}

// New returns a table for the instance named self.
func New(self, dataCentre string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre, peers: map[string]Peer{}, newestIncarnation: map[string]ident.Incarnation{},
		silentSince: map[string]time.Time{}, skippedUntil: map[string]time.Time{},
	}
}

// SetListed replaces the instance list and reports whether it differs.
func (t *Table) SetListed(listed []ListedInstance) bool {
	listed = slices.DeleteFunc(slices.Clone(listed), func(l ListedInstance) bool { return l.Name == t.self })
	if slices.Equal(listed, t.listed) {
		return false
	}
	t.listed = listed
	t.removeUnlisted()
	return true
}

// removeUnlisted removes the state of names that are neither listed nor alive,
// so that the memory does not grow.
func (t *Table) removeUnlisted() {
	isListed := map[string]bool{}
	for _, l := range t.listed {
		isListed[l.Name] = true
	}
	for name := range t.newestIncarnation {
		if _, alive := t.peers[name]; !alive && !isListed[name] {
			delete(t.newestIncarnation, name)
		}
	}
	for _, times := range []map[string]time.Time{t.silentSince, t.skippedUntil} {
		for name := range times {
			if !isListed[name] {
				delete(times, name)
			}
		}
	}
}

// ListedPeers returns the other entry instances in the instance list.
func (t *Table) ListedPeers() []ListedInstance { return t.listed }

// Update records a heartbeat. It reports whether the peer is new, and whether
// the heartbeat was ignored because it is from this instance or, delayed, from
// an older incarnation of the peer.
func (t *Table) Update(now time.Time, h Heartbeat) (isNew, ignored bool) {
	if h.Name == t.self || h.Home.Incarnation < t.newestIncarnation[h.Name] {
		return false, true
	}
	previous, wasAlive := t.peers[h.Name]
	t.newestIncarnation[h.Name] = h.Home.Incarnation
	t.peers[h.Name] = Peer{h, now.Add(silenceTimeout)}
	delete(t.silentSince, h.Name)
	delete(t.skippedUntil, h.Name)
	return !wasAlive || previous.Home.Incarnation != h.Home.Incarnation, false
}

// Peer returns the peer with its latest heartbeat, or the zero value if it is
// not alive.
func (t *Table) Peer(name string) Peer { return t.peers[name] }

// ExtendLiveness restarts the silence timeout of all peers. It is called after
// a pause of this process, which could not receive their heartbeats.
func (t *Table) ExtendLiveness(now time.Time) {
	for name, peer := range t.peers {
		peer.AliveUntil = now.Add(silenceTimeout)
		t.peers[name] = peer
	}
}

// Expire removes the peers whose silence timeout has passed and returns them,
// sorted by name.
func (t *Table) Expire(now time.Time) []Peer {
	var expired []Peer
	for name, peer := range t.peers {
		if now.After(peer.AliveUntil) {
			expired = append(expired, peer)
			delete(t.peers, name)
		}
	}
	sortPeers(expired)
	return expired
}

// Alive returns the peers that are alive, sorted by name.
func (t *Table) Alive() []Peer {
	alive := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		alive = append(alive, peer)
	}
	sortPeers(alive)
	return alive
}

// Any reports whether the condition holds for any peer that is alive.
func (t *Table) Any(condition func(Peer) bool) bool {
	for _, peer := range t.peers {
		if condition(peer) {
			return true
		}
	}
	return false
}

func sortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// LocalInstances returns the names of the live instances of the local data
// centre that are not stopping, including this instance.
func (t *Table) LocalInstances() []string {
	names := []string{t.self}
	for _, peer := range t.peers {
		if peer.DataCentre == t.dataCentre && !peer.Stopping {
			names = append(names, peer.Name)
		}
	}
	slices.Sort(names)
	return names
}

// IsReader reports whether this instance is a reader of its data centre.
// Readers are chosen by rendezvous hashing among the instances that have not
// recently failed to reach the configuration service, or among all instances if
// all have. selfFailed reports whether this instance has.
func (t *Table) IsReader(selfFailed bool) bool {
	names := t.LocalInstances()
	candidates := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return name == t.self && selfFailed || t.peers[name].ConfigFailed
	})
	if len(candidates) > 0 {
		names = candidates
	}
	return slices.Contains(NewChooser(names).Choose(readerKey, readersPerDataCentre), t.self)
}

func (t *Table) delegates() []string {
	return NewChooser(t.LocalInstances()).Choose(delegateKey, delegatesPerDataCentre)
}

// Partners returns the instances with which heartbeats are exchanged. In a
// small fleet these are all listed instances. In a larger one they are the
// listed instances of the local data centre and, if this instance is a
// delegate, one delegate of each other data centre: first delegates exchange
// heartbeats with first delegates, and second with second.
func (t *Table) Partners(now time.Time) []ListedInstance {
	if len(t.listed) < meshLimit {
		return t.listed
	}
	var partners []ListedInstance
	remote := map[string][]ListedInstance{}
	for _, l := range t.listed {
		if l.DataCentre == t.dataCentre {
			partners = append(partners, l)
		} else {
			remote[l.DataCentre] = append(remote[l.DataCentre], l)
		}
	}
	rank := slices.Index(t.delegates(), t.self)
	if rank < 0 {
		clear(t.silentSince)
		return partners
	}
	for _, instances := range remote {
		partners = append(partners, t.remoteDelegate(now, instances, rank))
	}
	slices.SortFunc(partners, func(a, b ListedInstance) int { return strings.Compare(a.Name, b.Name) })
	return partners
}

// remoteDelegate estimates the delegate of the rank in another data centre. It
// chooses among the listed instances, of which some may have failed: an
// instance that stays silent is skipped for skipDuration.
func (t *Table) remoteDelegate(now time.Time, instances []ListedInstance, rank int) ListedInstance {
	var names []string
	for _, l := range instances {
		since, isSilent := t.silentSince[l.Name]
		if isSilent && now.Sub(since) > silenceTimeout {
			t.skippedUntil[l.Name] = now.Add(skipDuration)
			delete(t.silentSince, l.Name)
		}
		if !l.Leaving && !now.Before(t.skippedUntil[l.Name]) {
			names = append(names, l.Name)
		}
	}
	if len(names) == 0 {
		for _, l := range instances {
			names = append(names, l.Name)
		}
	}
	chosen := NewChooser(names).Choose(delegateKey, delegatesPerDataCentre)
	name := chosen[rank%len(chosen)]
	_, alive := t.peers[name]
	if _, isSilent := t.silentSince[name]; !alive && !isSilent {
		t.silentSince[name] = now
	}
	return instances[slices.IndexFunc(instances, func(l ListedInstance) bool { return l.Name == name })]
}

// Pollers returns the instances of the local data centre that poll upstreams
// for their load. In a large data centre, delegates and readers do not poll,
// because they have other work.
func (t *Table) Pollers() []string {
	names := t.LocalInstances()
	if len(names) < separateRolesThreshold {
		return names
	}
	chooser := NewChooser(names)
	withRoles := append(chooser.Choose(delegateKey, delegatesPerDataCentre), chooser.Choose(readerKey, readersPerDataCentre)...)
	return slices.DeleteFunc(names, func(name string) bool { return slices.Contains(withRoles, name) })
}
