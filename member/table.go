// Package member knows the other entry instances: which the instance list
// names, which have been heard lately, and what they said. It is a pure
// function of its state, the time and what it is told.
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
	// silenceLimit is how long an instance may be silent and still count as alive.
	silenceLimit = 3 * time.Second
	// avoidFor is how long a silent instance of another data centre is passed
	// over when delegates there are chosen.
	avoidFor = 15 * time.Second
	// delegates is how many instances of a data centre speak to other data centres.
	delegates = 2
	// meshLimit is from how many instances on a fleet is too large for each to
	// speak to all.
	meshLimit = 24
	// manyNeighbours is from how many instances of a data centre on the roles
	// are kept apart.
	manyNeighbours = 12
	// readers is how many instances of a data centre read the platform.
	readers = 2
)

// The keys of the roles in rendezvous hashing.
const (
	delegateKey = "delegate"
	readerKey   = "reader"
)

// ListedInstance is an entry instance as the instance list names it. The list lags.
type ListedInstance struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
	Leaving    bool
}

// LeavingMark says that an upstream's incarnation is leaving. It is never taken back.
type LeavingMark struct {
	Upstream    string
	Incarnation ident.Incarnation
}

// Load is an upstream's load report as a peer passes it on.
type Load struct {
	Upstream string
	Report   decide.Report
}

// Heartbeat is what an entry instance says about itself.
type Heartbeat struct {
	Name          string
	DataCentre    string
	Home          ident.Home
	Stopping      bool
	ConfigVersion uint64
	ConfigDigest  string
	// ConfigContact is when the instance last had an answer from the
	// configuration service; zero when its latest try failed.
	ConfigContact time.Time
	// ConfigFailed says that the instance could not reach the configuration
	// service of late.
	ConfigFailed bool
	// ListHash tells instance lists apart; ListRead is when the list was read
	// from the platform, by whichever instance.
	// ListSince is when it appeared there.
	ListHash            uint64
	ListRead, ListSince time.Time
	// LeavingHash is over all marks of listed upstreams. Leaving holds the
	// marks themselves when the receiver's hash was another.
	LeavingHash uint64
	Leaving     []LeavingMark
	Loads       []Load
}

// Peer is another entry instance that is alive.
type Peer struct {
	Heartbeat
	// AliveUntil is when it counts as gone unless it is heard again.
	AliveUntil time.Time
}

// Table holds the other entry instances. It belongs to one goroutine.
type Table struct {
	self       string
	dataCentre string
	listed     []ListedInstance
	peers      map[string]Peer
	// newest holds the latest incarnation heard of each name.
	newest map[string]ident.Incarnation
	// asked holds since when a silent instance of another data centre is
	// asked in vain, avoided until when it is passed over.
	asked, avoided map[string]time.Time
}

// New returns a table for the instance named self.
func New(self, dataCentre string) *Table {
	return &Table{
		self: self, dataCentre: dataCentre, peers: map[string]Peer{}, newest: map[string]ident.Incarnation{},
		asked: map[string]time.Time{}, avoided: map[string]time.Time{},
	}
}

// SetListed takes a new instance list and reports whether it differs.
func (t *Table) SetListed(listed []ListedInstance) bool {
	listed = slices.DeleteFunc(slices.Clone(listed), func(l ListedInstance) bool { return l.Name == t.self })
	if slices.Equal(listed, t.listed) {
		return false
	}
	t.listed = listed
	t.forgetUnlisted()
	return true
}

// forgetUnlisted bounds the memory to names that are listed or alive.
func (t *Table) forgetUnlisted() {
	known := map[string]bool{}
	for _, l := range t.listed {
		known[l.Name] = true
	}
	for name := range t.newest {
		if _, alive := t.peers[name]; !alive && !known[name] {
			delete(t.newest, name)
		}
	}
	for _, times := range []map[string]time.Time{t.asked, t.avoided} {
		for name := range times {
			if !known[name] {
				delete(times, name)
			}
		}
	}
}

// ListedPeers returns the other entry instances that the list names.
func (t *Table) ListedPeers() []ListedInstance { return t.listed }

// Update takes a heartbeat and reports whether the peer is new. An older
// incarnation of an instance is ignored once a newer one was heard, however
// late it wakes up.
func (t *Table) Update(now time.Time, h Heartbeat) (isNew, ignored bool) {
	if h.Name == t.self || h.Home.Incarnation < t.newest[h.Name] {
		return false, true
	}
	old, known := t.peers[h.Name]
	t.newest[h.Name] = h.Home.Incarnation
	t.peers[h.Name] = Peer{h, now.Add(silenceLimit)}
	delete(t.asked, h.Name)
	delete(t.avoided, h.Name)
	return !known || old.Home.Incarnation != h.Home.Incarnation, false
}

// Peer returns what the peer said last, if it is alive.
func (t *Table) Peer(name string) Peer { return t.peers[name] }

// ExtendLiveness gives all peers time to be heard again: after a pause of this process
// it is not they who were silent.
func (t *Table) ExtendLiveness(now time.Time) {
	for name, peer := range t.peers {
		peer.AliveUntil = now.Add(silenceLimit)
		t.peers[name] = peer
	}
}

// Expire drops the peers whose time has passed and returns them, by name.
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

// Alive returns the peers that were heard lately, by name.
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

// LocalInstances returns the live instances of the own data centre that stay, with
// the instance itself.
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
// for their data centre: chosen by rendezvous hashing among the ones that did
// not fail at it of late, or among all when all did.
func (t *Table) IsReader(selfFailed bool) bool {
	names := t.LocalInstances()
	able := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		return name == t.self && selfFailed || t.peers[name].ConfigFailed
	})
	if len(able) > 0 {
		names = able
	}
	return slices.Contains(NewChooser(names).Choose(readerKey, readers), t.self)
}

func (t *Table) delegates() []string {
	return NewChooser(t.LocalInstances()).Choose(delegateKey, delegates)
}

// Partners returns whom the instance exchanges heartbeats with: in a small fleet
// all; else all listed
// instances of its own data centre, and if it is a delegate also one delegate of
// each other: the first delegates speak to each other, and the second ones.
func (t *Table) Partners(now time.Time) []ListedInstance {
	if len(t.listed) < meshLimit {
		return t.listed
	}
	var partners []ListedInstance
	others := map[string][]ListedInstance{}
	for _, l := range t.listed {
		if l.DataCentre == t.dataCentre {
			partners = append(partners, l)
		} else {
			others[l.DataCentre] = append(others[l.DataCentre], l)
		}
	}
	rank := slices.Index(t.delegates(), t.self)
	if rank < 0 {
		clear(t.asked)
		return partners
	}
	for _, centre := range others {
		partners = append(partners, t.remoteDelegate(now, centre, rank))
	}
	slices.SortFunc(partners, func(a, b ListedInstance) int { return strings.Compare(a.Name, b.Name) })
	return partners
}

// remoteDelegate guesses another data centre's delegate from the list, which
// may name dead instances: one that stays silent is passed over for a while.
func (t *Table) remoteDelegate(now time.Time, centre []ListedInstance, rank int) ListedInstance {
	var names []string
	for _, l := range centre {
		since, asked := t.asked[l.Name]
		if asked && now.Sub(since) > silenceLimit {
			t.avoided[l.Name] = now.Add(avoidFor)
			delete(t.asked, l.Name)
		}
		if !l.Leaving && !now.Before(t.avoided[l.Name]) {
			names = append(names, l.Name)
		}
	}
	if len(names) == 0 {
		for _, l := range centre {
			names = append(names, l.Name)
		}
	}
	chosen := NewChooser(names).Choose(delegateKey, delegates)
	name := chosen[rank%len(chosen)]
	_, alive := t.peers[name]
	if _, asked := t.asked[name]; !alive && !asked {
		t.asked[name] = now
	}
	return centre[slices.IndexFunc(centre, func(l ListedInstance) bool { return l.Name == name })]
}

// Pollers returns the instances of the own data centre that ask upstreams for
// their load: all, unless they are many; then the ones that have other work
// for the data centre are left out.
func (t *Table) Pollers() []string {
	names := t.LocalInstances()
	if len(names) < manyNeighbours {
		return names
	}
	chooser := NewChooser(names)
	busy := append(chooser.Choose(delegateKey, delegates), chooser.Choose(readerKey, readers)...)
	return slices.DeleteFunc(names, func(name string) bool { return slices.Contains(busy, name) })
}
