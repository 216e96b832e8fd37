// Package upstream tracks the state of each upstream: whether it is ready,
// leaving or removed, and since when. The state follows from the published list
// of upstreams, from the responses and reports of the upstreams, and from the
// messages of other instances. The package does no I/O and reads no clock.
package upstream

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"mangoloft/history"
)

// State is the state of one incarnation of an upstream, that is, of one process
// from its start to its exit.
type State uint8

const (
	// Ready upstreams get new requests.
	Ready State = iota
	// Lapsed upstreams disappeared from the list during or shortly after an
	// outage of the list, when it may be incomplete. They get new requests until
	// a grace period ends.
	Lapsed
	// Draining upstreams finish their running requests and get no new ones. An
	// upstream that disappears from the list without an announcement usually
	// continues to run for about as long as an announced one, so it is also
	// assumed to be draining.
	Draining
	// Removed upstreams have exited, or another incarnation runs at their address.
	Removed
)

var stateNames = [...]string{Ready: "ready", Lapsed: "lapsed", Draining: "draining", Removed: "gone"}

// String returns the state's name in snake case.
func (s State) String() string { return stateNames[s] }

// Entry is one upstream in the published list.
type Entry struct {
	ID string
	// Service is the name of the service that the upstream belongs to.
	Service    string
	Addr       netip.AddrPort
	DataCentre string
	// Version is the version of its software; empty if the entry does not contain it.
	// Versions have no order.
	Version string
	// Slots is the maximum number of concurrent requests; 0 if the entry does not
	// contain it.
	Slots    int
	Draining bool
	// StartUnixMS is the start of the incarnation in Unix milliseconds; 0 if
	// the entry does not contain it.
	StartUnixMS int64
	// ColdRemaining is the remaining time in which the upstream is slow after its
	// start, as of the entry's publication.
	ColdRemaining time.Duration
	// Malformed describes the values that could not be decoded and were ignored; nil if there
	// are none.
	Malformed error
}

// Item is the state of one entry of the list as of a revision.
type Item struct {
	ID       string
	Revision uint64
	// Deleted items are no longer in the list.
	Deleted bool
	// Entry is nil for an item that could not be decoded, for the reason in Err.
	Entry *Entry
	Err   error
	// Raw is the encoded entry, which is forwarded to peers.
	Raw []byte
}

// Source is the origin of a change.
type Source uint8

const (
	// FromList is the published list.
	FromList Source = iota
	// FromAnswer is an upstream's response to a request.
	FromAnswer
	// FromReport is an upstream's report of its state.
	FromReport
	// FromPeer is another instance.
	FromPeer
)

var sourceNames = [...]string{FromList: "list", FromAnswer: "answer", FromReport: "report", FromPeer: "peer"}

// String returns the source's name.
func (s Source) String() string { return sourceNames[s] }

// Report is a model engine's report of its own state.
type Report struct {
	Draining bool
	// LeavesAt is the time at which the engine will exit; zero if unknown.
	LeavesAt time.Time
	// StartUnixMS is the start of the incarnation in Unix milliseconds.
	StartUnixMS int64
	// Runs are the IDs of the attempts whose runs the engine has.
	Runs []string
}

// Status is the known status of one upstream.
type Status struct {
	Entry
	State State
	// Position is the position of the latest change of the list that was applied.
	Position history.Position
	// Since is the time at which the state was entered.
	Since time.Time
	// GraceEndsAt is the end of the Lapsed or Draining state of an upstream that
	// disappeared from the list.
	GraceEndsAt time.Time
	// SeenAt is the time at which the incarnation was listed first, and ColdUntil the end of
	// its cold time according to its entries; zero if it was never cold.
	SeenAt, ColdUntil time.Time
	// LeavesAt is the time at which a draining upstream is expected to exit; zero
	// if unknown.
	LeavesAt time.Time
	// raw is the encoded entry; nil if the list does not contain the upstream.
	raw []byte
	// announcedLeaving reports whether the incarnation was announced as leaving.
	// replaced reports whether another incarnation has responded at its address.
	announcedLeaving, replaced bool
}

// Change is a change of an upstream's status.
type Change struct {
	Status
	// Before is the previous state.
	Before State
	// New reports whether the change is the first for its incarnation.
	New    bool
	Source Source
	// ChangeRevision is the list revision of a change that comes from the list; 0
	// for other changes.
	ChangeRevision uint64
}

const (
	// lapsedGrace is the time for which an upstream that disappeared from the
	// list during or shortly after an outage still gets new requests. A live
	// upstream is listed again about two seconds after the outage; an upstream
	// that has left must not get requests for longer.
	lapsedGrace = 1500 * time.Millisecond
	// outageWindow is the time after a failure to read the list in which a
	// disappearance can be due to the outage. Entries that were actually deleted
	// during the outage are read as soon as it ends, so a later deletion is not
	// caused by it.
	outageWindow = 700 * time.Millisecond
	// unlistedGrace is the time for which an upstream that disappeared from the
	// list without an announcement is assumed to continue its running requests.
	unlistedGrace = 10 * time.Second
	// removedRetention is the time for which the status of a removed incarnation
	// is kept, so that a delayed entry does not make it ready again.
	removedRetention = time.Minute
)

// HasLapsed reports whether any upstream is Lapsed. Tick must then be called
// in short intervals to end its grace period in time.
func (d *Directory) HasLapsed() bool {
	for _, u := range d.statuses {
		if u.State == Lapsed {
			return true
		}
	}
	return false
}

// Directory contains the status of all upstreams. It must be used by one
// goroutine at a time.
type Directory struct {
	statuses map[string]*Status
	// lastListFailure is the time of the latest failure to read the list.
	lastListFailure time.Time
	position        history.Position
	// colder are the upstreams to be returned by TakeColder.
	colder []Status
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory { return &Directory{statuses: map[string]*Status{}} }

// Position returns the position up to which all changes of the list have been applied;
// zero until there is a list.
func (d *Directory) Position() history.Position { return d.position }

// SetListUnreadable records a failure to read the list.
func (d *Directory) SetListUnreadable(now time.Time) { d.lastListFailure = now }

// Replace applies the complete list as of a position. Known entries that the
// list does not contain are deleted, unless they are newer. It ignores the list of an
// earlier era.
func (d *Directory) Replace(now time.Time, items []Item, at history.Position) []Change {
	if d.isEarlierEra(at.Era) {
		return nil
	}
	listed := map[string]bool{}
	for _, item := range items {
		listed[item.ID] = true
	}
	if d.isLaterEra(at.Era) {
		// Upstreams that are missing in the copy write their entries again soon.
		d.lastListFailure = now
		items = slices.DeleteFunc(slices.Clone(items), func(item Item) bool { return d.skipOutdated(item, at.Era) })
	}
	for _, id := range slices.Sorted(maps.Keys(d.statuses)) {
		if u := d.statuses[id]; !listed[id] && !u.Position.After(at) && u.raw != nil {
			items = append(items, Item{ID: id, Revision: at.Revision, Deleted: true})
		}
	}
	return d.applyItems(now, items, at.Era)
}

// isEarlierEra and isLaterEra compare an era with that of the list, if there is one.
func (d *Directory) isEarlierEra(era uint64) bool { return era < d.position.Era }

func (d *Directory) isLaterEra(era uint64) bool { return !d.position.IsZero() && era > d.position.Era }

// skipOutdated reports whether an entry in the first list of a later era only repeats
// what the store's copy contained: the upstream had left the list since, or a later
// incarnation had replaced it. Its later changes in the era apply.
func (d *Directory) skipOutdated(item Item, era uint64) bool {
	u := d.statuses[item.ID]
	if u == nil || item.Entry == nil {
		return false
	}
	hasLeft := u.raw == nil && u.State >= Draining && item.Revision <= u.Position.Revision
	replaced := item.Entry.StartUnixMS != 0 && item.Entry.StartUnixMS < u.StartUnixMS
	if hasLeft || replaced {
		u.Position = history.Position{Era: era, Revision: item.Revision}
		return true
	}
	return false
}

// Apply applies changes of the list. It ignores those of another era than that of the
// list: they are incomplete without the complete list of theirs.
func (d *Directory) Apply(now time.Time, items []Item, era uint64) []Change {
	if d.isEarlierEra(era) || d.isLaterEra(era) {
		return nil
	}
	return d.applyItems(now, items, era)
}

func (d *Directory) applyItems(now time.Time, items []Item, era uint64) []Change {
	var changes []Change
	for _, item := range items {
		if c, ok := d.applyItem(now, item, history.Position{Era: era, Revision: item.Revision}); ok {
			c.ChangeRevision = item.Revision
			changes = append(changes, c)
		}
	}
	return changes
}

// Advance records that all changes up to a position have been applied.
func (d *Directory) Advance(to history.Position) { d.position = history.Max(d.position, to) }

func (d *Directory) applyItem(now time.Time, item Item, at history.Position) (Change, bool) {
	u := d.statuses[item.ID]
	if u != nil && !at.After(u.Position) {
		// Several instances read the list and forward the same change.
		return Change{}, false
	}
	switch {
	case item.Deleted && u == nil:
		return Change{}, false
	case item.Deleted:
		u.Position, u.raw = at, nil
		return d.handleDeleted(now, u)
	case item.Entry == nil:
		// An entry that can't be decoded contains no information about the upstream.
		return Change{}, false
	}
	return d.applyEntry(now, u, item, at)
}

// handleDeleted handles the deletion of an entry from the list.
func (d *Directory) handleDeleted(now time.Time, u *Status) (Change, bool) {
	switch {
	case u.State == Removed || u.State == Lapsed:
		return Change{}, false
	case u.State == Ready && now.Sub(d.lastListFailure) < outageWindow:
		u.GraceEndsAt = now.Add(lapsedGrace)
		return u.setState(now, Lapsed, FromList), true
	case u.State == Ready:
		u.GraceEndsAt = now.Add(unlistedGrace)
		return u.setState(now, Draining, FromList), true
	}
	return u.setState(now, Removed, FromList), true
}

// applyEntry applies a decoded entry to the status u, which is nil for a new
// upstream.
func (d *Directory) applyEntry(now time.Time, u *Status, item Item, at history.Position) (Change, bool) {
	e := *item.Entry
	if u == nil || isNewIncarnation(u.Entry, e) {
		before := Removed
		if u != nil {
			before = u.State
		}
		created := &Status{Entry: e, State: stateOf(e), Position: at, Since: now, SeenAt: now, raw: item.Raw, announcedLeaving: e.Draining}
		created.extendCold(now)
		d.statuses[e.ID] = created
		return Change{Status: *created, Before: before, New: true, Source: FromList}, true
	}
	state := stateOf(e)
	switch {
	case u.replaced:
		state = Removed
	case u.announcedLeaving:
		// An incarnation that has announced that it is leaving never becomes
		// ready again.
		state = Draining
	}
	moved := u.Addr != e.Addr || u.Service != e.Service
	u.Entry, u.Position, u.raw, u.GraceEndsAt = e, at, item.Raw, time.Time{}
	u.announcedLeaving = u.announcedLeaving || e.Draining
	if u.extendCold(now) && state == u.State {
		d.colder = append(d.colder, *u)
	}
	if state == u.State && !moved {
		return Change{}, false
	}
	return u.setState(now, state, FromList), true
}

// coldTolerance is the difference of two ends of a cold time that is not reported: entries are
// read at different times after their publication.
const coldTolerance = 250 * time.Millisecond

// extendCold applies the cold time in the entry. It reports whether the upstream is cold
// noticeably longer than was known.
func (u *Status) extendCold(now time.Time) bool {
	until := now.Add(u.ColdRemaining)
	if u.ColdRemaining == 0 || until.Sub(u.ColdUntil) <= coldTolerance {
		return false
	}
	u.ColdUntil = until
	return true
}

// TakeColder returns the upstreams that are cold longer than was known according to their
// entries, without a change of their state, since the previous call.
func (d *Directory) TakeColder() []Status {
	colder := d.colder
	d.colder = nil
	return colder
}

// isNewIncarnation reports whether e is the entry of another incarnation than
// previous.
func isNewIncarnation(previous, e Entry) bool {
	return previous.StartUnixMS != e.StartUnixMS && e.StartUnixMS != 0 || previous.Addr != e.Addr
}

func stateOf(e Entry) State {
	if e.Draining {
		return Draining
	}
	return Ready
}

func (u *Status) setState(now time.Time, s State, source Source) Change {
	before := u.State
	if s != before {
		u.Since = now
	}
	u.State = s
	return Change{Status: *u, Before: before, Source: source}
}

// MarkLeaving records that the incarnation is leaving, as reported by itself
// or by a peer. A zero startUnixMS matches any incarnation. A zero leavesAt
// means that the time is unknown.
func (d *Directory) MarkLeaving(now time.Time, id string, startUnixMS int64, leavesAt time.Time, source Source) (Change, bool) {
	u := d.statuses[id]
	if u == nil || u.State == Removed || startUnixMS != 0 && u.StartUnixMS != 0 && startUnixMS != u.StartUnixMS {
		return Change{}, false
	}
	unchanged := u.State == Draining && (leavesAt.IsZero() || !u.LeavesAt.IsZero())
	if unchanged {
		return Change{}, false
	}
	if !leavesAt.IsZero() {
		u.LeavesAt = leavesAt
	}
	u.announcedLeaving = true
	return u.setState(now, Draining, source), true
}

// MarkRemoved records that the incarnation was removed: another one responded
// at its address.
func (d *Directory) MarkRemoved(now time.Time, id string, startUnixMS int64, source Source) (Change, bool) {
	u := d.statuses[id]
	if u == nil || u.State == Removed || startUnixMS != u.StartUnixMS {
		return Change{}, false
	}
	u.replaced = true
	return u.setState(now, Removed, source), true
}

// Tick ends the grace periods that have expired, and removes incarnations that
// have been in the state Removed for removedRetention.
func (d *Directory) Tick(now time.Time) []Change {
	var changes []Change
	for _, id := range slices.Sorted(maps.Keys(d.statuses)) {
		u := d.statuses[id]
		switch {
		case u.State == Lapsed && !now.Before(u.GraceEndsAt):
			u.GraceEndsAt = now.Add(unlistedGrace)
			changes = append(changes, u.setState(now, Draining, FromList))
		case u.State == Draining && u.raw == nil && !u.GraceEndsAt.IsZero() && !now.Before(u.GraceEndsAt):
			changes = append(changes, u.setState(now, Removed, FromList))
		case u.State == Removed && u.raw == nil && now.Sub(u.Since) > removedRetention:
			delete(d.statuses, id)
		}
	}
	return changes
}

// Find returns the status of an upstream.
func (d *Directory) Find(id string) (Status, bool) {
	if u := d.statuses[id]; u != nil {
		return *u, true
	}
	return Status{}, false
}

// All returns the statuses of upstreams that are not Removed, by ID.
func (d *Directory) All() []Status {
	var all []Status
	for _, id := range slices.Sorted(maps.Keys(d.statuses)) {
		if u := d.statuses[id]; u.State != Removed {
			all = append(all, *u)
		}
	}
	return all
}

// Items returns the current list, for forwarding to peers.
func (d *Directory) Items() []Item {
	var items []Item
	for _, id := range slices.Sorted(maps.Keys(d.statuses)) {
		if u := d.statuses[id]; u.raw != nil {
			items = append(items, Item{ID: id, Revision: u.Position.Revision, Raw: u.raw})
		}
	}
	return items
}
