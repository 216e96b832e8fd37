// Package member tracks the other entry instances: which of them are in the
// instance list, which are alive, and the contents of their latest heartbeats.
// It does no I/O and reads no clock.
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
	// silenceTimeout is how long an instance stays alive without a heartbeat.
	silenceTimeout = 3 * time.Second
	// avoidFor is how long a silent instance of another data centre is skipped
	// when a delegate there is chosen.
	avoidFor = 15 * time.Second
	// delegatesPerDataCentre is how many instances of a data centre exchange
	// heartbeats with other data centres.
	delegatesPerDataCentre = 2
	// meshLimit is the number of other instances from which heartbeats are no
	// longer exchanged between all pairs.
	meshLimit = 24
	// separateRolesThreshold is the number of instances in a data centre from
	// which delegates and readers don't also poll upstreams.
	separateRolesThreshold = 12
	// readersPerDataCentre is how many instances of a data centre read the
	// platform.
	readersPerDataCentre = 2
)

// Keys of the roles in rendezvous hashing.
const (
	delegateKey = "delegate"
	readerKey   = "reader"
)

// ListedInstance is an entry instance in the instance list, which lags behind
// reality.
type ListedInstance struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
	Leaving    bool
}

// LeavingMark marks an incarnation of an upstream as leaving. It is never
// revoked.
type LeavingMark struct {
	Upstream    string
	Incarnation ident.Incarnation
}

// Load is an upstream's load report, passed on by a peer.
type Load struct {
	Upstream string
	Report   decide.Report
}

// Heartbeat is the state that an entry instance reports about itself.
type Heartbeat struct {
	Name          string
	DataCentre    string
	Home          ident.Home
	Stopping      bool
	ConfigVersion uint64
	ConfigDigest  string
	// ConfigContact is the time of the configuration service's last answer to
	// the instance; zero when its latest attempt failed.
	ConfigContact time.Time
	// ConfigFailed is set for a while after the instance could not reach the
	// configuration service.
	ConfigFailed bool
	// ListHash identifies the contents of the instance list. ListRead is when
	// any instance last read this list from the platform, ListSince is when the
	// list first appeared at the instance that read it.
	ListHash            uint64
	ListRead, ListSince time.Time
	// LeavingHash is a hash over the marks of all listed upstreams. Leaving
	// holds the marks themselves if the receiver's latest hash differed.
	LeavingHash uint64
	Leaving     []LeavingMark
	Loads       []Load
}

// Peer is another entry instance that is alive.
type Peer struct {
	Heartbeat
	// AliveUntil is when the peer expires unless another heartbeat arrives.
	AliveUntil time.Time
}

// Table holds the other entry instances. It is confined to one goroutine.
type Table struct {
	self       string
	dataCentre string
	listed     []ListedInstance
	peers      map[string]Peer
	// newestIncarnation holds the latest known incarnation of each name.
	newestIncarnation map[string]ident.Incarnation
	// silentSince holds when a silent instance of another data centre was first
	// contacted without an answer; avoidedUntil holds until when it is skipped
	// as a delegate.
	silentSince, avoidedUntil map[string]time.Time
}

// New returns a table for the instance named self.
func New(self, dataCentre string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre, peers: map[string]Peer{}, newestIncarnation: map[string]ident.Incarnation{},
		silentSince: map[string]time.Time{}, avoidedUntil: map[string]time.Time{},
	}
}

// SetListed replaces the instance list and reports whether it differs.
func (t *Table) SetListed(listed []ListedInstance) bool {
	listed = slices.DeleteFunc(slices.Clone(listed), func(l ListedInstance) bool { return l.Name == t.self })
	if slices.Equal(listed, t.listed) {
		return false
	}
	t.listed = listed
	t.forgetUnlisted()
	return true
}

// forgetUnlisted drops the state of names that are neither listed nor alive,
// which bounds the memory.
func (t *Table) forgetUnlisted() {
	known := map[string]bool{}
	for _, l := range t.listed {
		known[l.Name] = true
	}
	for name := range t.newestIncarnation {
		if _, alive := t.peers[name]; !alive && !known[name] {
			delete(t.newestIncarnation, name)
		}
	}
	for _, times := range []map[string]time.Time{t.silentSince, t.avoidedUntil} {
		for name := range times {
			if !known[name] {
				delete(times, name)
			}
		}
	}
}

// ListedPeers returns the other entry instances in the instance list.
func (t *Table) ListedPeers() []ListedInstance { return t.listed }

// Update records a heartbeat. It reports whether the peer is new, and whether
// the heartbeat was ignored: a heartbeat of an older incarnation is ignored,
// however late it arrives.
func (t *Table) Update(now time.Time, h Heartbeat) (isNew, ignored bool) {
	if h.Name == t.self || h.Home.Incarnation < t.newestIncarnation[h.Name] {
		return false, true
	}
	old, known := t.peers[h.Name]
	t.newestIncarnation[h.Name] = h.Home.Incarnation
	t.peers[h.Name] = Peer{h, now.Add(silenceTimeout)}
	delete(t.silentSince, h.Name)
	delete(t.avoidedUntil, h.Name)
	return !known || old.Home.Incarnation != h.Home.Incarnation, false
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
// by name.
func (t *Table) Expire(now time.Time) []Peer {
	var gone []Peer
	for name, peer := range t.peers {
		if now.After(peer.AliveUntil) {
			gone = append(gone, peer)
			delete(t.peers, name)
		}
	}
	sortPeers(gone)
	return gone
}

// Alive returns the peers that are alive, by name.
func (t *Table) Alive() []Peer {
	alive := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		alive = append(alive, peer)
	}
	sortPeers(alive)
	return alive
}

// Any reports whether the condition holds for any peer that is alive.
func (t *Table) Any(holds func(Peer) bool) bool {
	for _, peer := range t.peers {
		if holds(peer) {
			return true
		}
	}
	return false
}

func sortPeers(peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
}

// LocalInstances returns the names of the live instances of the own data centre
// that are not stopping, including the instance itself.
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

// IsReader reports whether the instance is one of those that read the platform
// for their data centre. They are chosen by rendezvous hashing among the
// instances that have not recently failed to reach the configuration service,
// or among all instances if all have.
func (t *Table) IsReader(selfFailed bool) bool {
	names := t.LocalInstances()
	able := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return name == t.self && selfFailed || t.peers[name].ConfigFailed
	})
	if len(able) > 0 {
		names = able
	}
	return slices.Contains(NewChooser(names).Choose(readerKey, readersPerDataCentre), t.self)
}

func (t *Table) delegates() []string {
	return NewChooser(t.LocalInstances()).Choose(delegateKey, delegatesPerDataCentre)
}

// Partners returns the instances that heartbeats are exchanged with. In a small
// fleet these are all listed instances. In a larger one they are the listed
// instances of the own data centre and, if the instance is a delegate, one
// delegate of each other data centre: first delegates are paired with first
// delegates, and second with second.
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

// remoteDelegate estimates the delegate of another data centre from the list,
// which may contain dead instances. An instance that stays silent is skipped
// for a while.
func (t *Table) remoteDelegate(now time.Time, instances []ListedInstance, rank int) ListedInstance {
	var names []string
	for _, l := range instances {
		since, isSilent := t.silentSince[l.Name]
		if isSilent && now.Sub(since) > silenceTimeout {
			t.avoidedUntil[l.Name] = now.Add(avoidFor)
			delete(t.silentSince, l.Name)
		}
		if !l.Leaving && !now.Before(t.avoidedUntil[l.Name]) {
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

// Pollers returns the instances of the own data centre that poll upstreams for
// their load. In a large data centre, delegates and readers are left out,
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
