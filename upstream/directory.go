// Package upstream holds what an instance believes of each upstream: that it
// is ready, leaving or gone, and since when. It is pure state: no network, no
// clock.
package upstream

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

// State is what is believed of one incarnation of an upstream.
type State uint8

const (
	// Ready upstreams get work.
	Ready State = iota
	// Lapsed upstreams vanished from the list while the list could not be
	// trusted. They get work until their grace ends.
	Lapsed
	// Draining upstreams finish what they run and get no new work. Some never
	// say so: they vanish from the list and go on for as long.
	Draining
	// Gone upstreams have left, or are another incarnation by now.
	Gone
)

var stateNames = [...]string{Ready: "ready", Lapsed: "lapsed", Draining: "draining", Gone: "gone"}

// String returns the state's name in snake case.
func (s State) String() string { return stateNames[s] }

// Entry is one upstream as the published list has it.
type Entry struct {
	ID         string
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	Slots      int
	Draining   bool
	// StartUnixMS is the start of the incarnation in Unix milliseconds; 0 when the
	// entry doesn't tell.
	StartUnixMS int64
	// ColdRemaining is how much longer the upstream was slow after its start.
	ColdRemaining time.Duration
}

// Item is the state of one entry of the list as of a revision.
type Item struct {
	ID       string
	Revision uint64
	// Deleted items are no longer in the list.
	Deleted bool
	// Entry is nil for an item that could not be read.
	Entry *Entry
	// Raw is what the entry was read from, for peers.
	Raw []byte
}

// Source says where a belief comes from.
type Source uint8

const (
	// FromList is the published list.
	FromList Source = iota
	// FromAnswer is an upstream's own answer.
	FromAnswer
	// FromReport is an upstream's report of its state.
	FromReport
	// FromPeer is another instance.
	FromPeer
)

var sourceNames = [...]string{FromList: "list", FromAnswer: "answer", FromReport: "report", FromPeer: "peer"}

// String returns the source's name.
func (s Source) String() string { return sourceNames[s] }

// Report is a model engine's report of itself.
type Report struct {
	Draining bool
	// LeavesAt is when it is gone; zero when not told.
	LeavesAt time.Time
	// StartUnixMS is the start of the incarnation in Unix milliseconds.
	StartUnixMS int64
}

// Status is what is believed of one upstream.
type Status struct {
	Entry
	State    State
	Revision uint64
	// Since is when the state was entered.
	Since time.Time
	// Until is when the state of an upstream that vanished from the list ends.
	Until time.Time
	// LeavesAt is when a draining upstream is expected to be gone; zero when
	// nobody said.
	LeavesAt time.Time
	raw      []byte
	// drained says that the incarnation announced its leaving, misdirected
	// that another one was met at its address.
	drained, misdirected bool
}

// Change is a belief that changed.
type Change struct {
	Status
	Before State
	New    bool
	Source Source
	// Revision of the list, for changes that come from it.
	ChangeRevision uint64
}

const (
	// lapseGrace is how long an entry that vanished in an outage of the list
	// still counts: a live upstream is listed again about two seconds after the
	// outage, and one that left must not get work for longer.
	lapseGrace = 1500 * time.Millisecond
	// outageMemory is how long after an outage a vanished entry may have
	// vanished because of it: what was removed meanwhile is read at once.
	outageMemory = 700 * time.Millisecond
	// unlistedLimit is how long an upstream that vanished without a word is
	// taken to finish what it runs.
	unlistedLimit = 10 * time.Second
	// goneKept is how long a gone incarnation is remembered, so that a late
	// entry doesn't bring it back.
	goneKept = time.Minute
)

// HasLapsed reports whether a grace runs, so that Tick is due soon.
func (d *Directory) HasLapsed() bool {
	for _, b := range d.beliefs {
		if b.State == Lapsed {
			return true
		}
	}
	return false
}

// Directory holds the beliefs. It belongs to one goroutine.
type Directory struct {
	beliefs map[string]*Status
	// outageEnd is when the list could last not be read.
	outageEnd time.Time
	revision  uint64
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{beliefs: map[string]*Status{}} }

// Revision is that of the newest change up to which all are known.
func (d *Directory) Revision() uint64 { return d.revision }

// ListLost notes that the list could not be read at this time.
func (d *Directory) ListLost(now time.Time) { d.outageEnd = now }

// Replace takes the whole list as of a revision: entries that it lacks are
// deleted, unless they are newer.
func (d *Directory) Replace(now time.Time, items []Item, revision uint64) []Change {
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.ID] = true
	}
	for _, id := range slices.Sorted(maps.Keys(d.beliefs)) {
		if b := d.beliefs[id]; !listed[id] && b.Revision <= revision && b.raw != nil {
			items = append(items, Item{ID: id, Revision: revision, Deleted: true})
		}
	}
	return d.Apply(now, items)
}

// Apply takes changes of the list.
func (d *Directory) Apply(now time.Time, items []Item) []Change {
	var changes []Change
	for _, item := range items {
		if c, ok := d.applyItem(now, item); ok {
			c.ChangeRevision = item.Revision
			changes = append(changes, c)
		}
	}
	return changes
}

// Advance notes that all changes up to a revision are known.
func (d *Directory) Advance(revision uint64) { d.revision = max(d.revision, revision) }

func (d *Directory) applyItem(now time.Time, item Item) (Change, bool) {
	b := d.beliefs[item.ID]
	if b != nil && item.Revision <= b.Revision {
		// The same change comes from several readers.
		return Change{}, false
	}
	switch {
	case item.Deleted && b == nil:
		return Change{}, false
	case item.Deleted:
		b.Revision, b.raw = item.Revision, nil
		return d.vanish(now, b)
	case item.Entry == nil:
		// Another writer's bytes say nothing of the upstream.
		return Change{}, false
	}
	return d.take(now, b, item)
}

// vanish handles an entry that is no longer in the list.
func (d *Directory) vanish(now time.Time, b *Status) (Change, bool) {
	switch {
	case b.State == Gone || b.State == Lapsed:
		return Change{}, false
	case b.State == Ready && now.Sub(d.outageEnd) < outageMemory:
		b.Until = now.Add(lapseGrace)
		return b.enter(now, Lapsed, FromList), true
	case b.State == Ready:
		b.Until = now.Add(unlistedLimit)
		return b.enter(now, Draining, FromList), true
	}
	return b.enter(now, Gone, FromList), true
}

func (d *Directory) take(now time.Time, b *Status, item Item) (Change, bool) {
	e := *item.Entry
	if b == nil || reborn(b.Entry, e) {
		before := Gone
		if b != nil {
			before = b.State
		}
		fresh := &Status{Entry: e, State: stateOf(e), Revision: item.Revision, Since: now, raw: item.Raw, drained: e.Draining}
		d.beliefs[e.ID] = fresh
		return Change{Status: *fresh, Before: before, New: true, Source: FromList}, true
	}
	state := stateOf(e)
	switch {
	case b.misdirected:
		state = Gone
	case b.drained:
		// What one incarnation said of its leaving stays said.
		state = Draining
	}
	moved := b.Addr != e.Addr || b.Service != e.Service
	b.Entry, b.Revision, b.raw, b.Until = e, item.Revision, item.Raw, time.Time{}
	b.drained = b.drained || e.Draining
	if state == b.State && !moved {
		return Change{}, false
	}
	return b.enter(now, state, FromList), true
}

// reborn reports whether the entry is of another incarnation than the belief.
func reborn(old, e Entry) bool {
	return old.StartUnixMS != e.StartUnixMS && e.StartUnixMS != 0 || old.Addr != e.Addr
}

func stateOf(e Entry) State {
	if e.Draining {
		return Draining
	}
	return Ready
}

func (b *Status) enter(now time.Time, s State, source Source) Change {
	before := b.State
	if s != before {
		b.Since = now
	}
	b.State = s
	return Change{Status: *b, Before: before, Source: source}
}

// MarkLeaving notes that the incarnation is on its way out, by its own word or a
// peer's. A zero leavesAt means that the time is not known.
func (d *Directory) MarkLeaving(now time.Time, id string, born int64, leavesAt time.Time, source Source) (Change, bool) {
	b := d.beliefs[id]
	if b == nil || b.State == Gone || born != 0 && b.StartUnixMS != 0 && born != b.StartUnixMS {
		return Change{}, false
	}
	known := b.State == Draining && (leavesAt.IsZero() || !b.LeavesAt.IsZero())
	if known {
		return Change{}, false
	}
	if !leavesAt.IsZero() {
		b.LeavesAt = leavesAt
	}
	b.drained = true
	return b.enter(now, Draining, source), true
}

// MarkGone notes that the incarnation no longer answers at its address: another
// one does.
func (d *Directory) MarkGone(now time.Time, id string, born int64, source Source) (Change, bool) {
	b := d.beliefs[id]
	if b == nil || b.State == Gone || born != b.StartUnixMS {
		return Change{}, false
	}
	b.misdirected = true
	return b.enter(now, Gone, source), true
}

// Tick ends graces and forgets what has long been gone.
func (d *Directory) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.beliefs)) {
		b := d.beliefs[id]
		switch {
		case b.State == Lapsed && !now.Before(b.Until):
			b.Until = now.Add(unlistedLimit)
			changes = append(changes, b.enter(now, Draining, FromList))
		case b.State == Draining && b.raw == nil && !b.Until.IsZero() && !now.Before(b.Until):
			changes = append(changes, b.enter(now, Gone, FromList))
		case b.State == Gone && b.raw == nil && now.Sub(b.Since) > goneKept:
			delete(d.beliefs, id)
		}
	}
	return changes
}

// Find returns the belief of an upstream.
func (d *Directory) Find(id string) (Status, bool) {
	if b := d.beliefs[id]; b != nil {
		return *b, true
	}
	return Status{}, false
}

// All returns the beliefs that are not gone, by id.
func (d *Directory) All() []Status {
	var all []Status
	for _, id := range slices.Sorted(maps.Keys(d.beliefs)) {
		if b := d.beliefs[id]; b.State != Gone {
			all = append(all, *b)
		}
	}
	return all
}

// Items returns the list as last read, for peers.
func (d *Directory) Items() []Item {
	var items []Item
	for _, id := range slices.Sorted(maps.Keys(d.beliefs)) {
		if b := d.beliefs[id]; b.raw != nil {
			items = append(items, Item{ID: id, Revision: b.Revision, Raw: b.raw})
		}
	}
	return items
}
