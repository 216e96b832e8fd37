// Package member knows the other entry instances: which the instance list
// names, which have been heard lately, and what they said about upstreams. It
// is a pure function of its state, the time and what it is told.
package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"mangoloft/ident"
)

// silenceLimit is how long an instance may be silent and still count as alive.
const silenceLimit = 3 * time.Second

// Listed is an entry instance as the instance list names it. The list lags.
type Listed struct {
	Name       string
	DataCentre string
	Peer       netip.AddrPort
	Leaving    bool
}

// Mark says that an upstream's incarnation is leaving. It is never taken back.
type Mark struct {
	Upstream    string
	Incarnation ident.Incarnation
}

// Heartbeat is what an entry instance says about itself.
type Heartbeat struct {
	Name          string
	DataCentre    string
	Home          ident.Home
	Stopping      bool
	ConfigVersion uint64
	ConfigDigest  string
	Leaving       []Mark
}

// Peer is another entry instance that is alive.
type Peer struct {
	Heartbeat
	// AliveUntil is when it counts as gone unless it is heard again.
	AliveUntil time.Time
}

// Table holds the other entry instances. It belongs to one goroutine.
type Table struct {
	self   string
	listed []Listed
	peers  map[string]Peer
}

// New returns a table for the instance named self.
func New(self string) *Table {
	return &Table{self: self, peers: map[string]Peer{}}
}

// SetListed takes a new instance list and reports whether it differs.
func (t *Table) SetListed(listed []Listed) bool {
	listed = slices.DeleteFunc(slices.Clone(listed), func(l Listed) bool { return l.Name == t.self })
	if slices.Equal(listed, t.listed) {
		return false
	}
	t.listed = listed
	return true
}

// Listed returns the other entry instances that the list names.
func (t *Table) Listed() []Listed { return t.listed }

// Heard takes a heartbeat. An older incarnation of an instance is ignored once
// a newer one was heard. It reports whether the peer is new.
func (t *Table) Heard(now time.Time, h Heartbeat) (isNew bool) {
	old, known := t.peers[h.Name]
	if h.Name == t.self || known && h.Home.Incarnation < old.Home.Incarnation {
		return false
	}
	t.peers[h.Name] = Peer{h, now.Add(silenceLimit)}
	return !known || old.Home.Incarnation != h.Home.Incarnation
}

// Expire drops the peers whose time has passed and returns them.
func (t *Table) Expire(now time.Time) []Peer {
	var gone []Peer
	for name, peer := range t.peers {
		if now.After(peer.AliveUntil) {
			gone = append(gone, peer)
			delete(t.peers, name)
		}
	}
	return gone
}

// Alive returns the peers that were heard lately, by name.
func (t *Table) Alive() []Peer {
	alive := make([]Peer, 0, len(t.peers))
	for _, peer := range t.peers {
		alive = append(alive, peer)
	}
	slices.SortFunc(alive, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return alive
}
