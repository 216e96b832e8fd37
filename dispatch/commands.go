package dispatch

import (
	"slices"
	"strings"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
)

// placeCommand requests a placement or the destination of a move.
type placeCommand struct {
	event decide.Event
	id    ident.Request
	reply chan decision
}

func (cmd *placeCommand) apply(c *Controller, now time.Time) {
	c.pending[cmd.id] = cmd.reply
	c.schedule(now, cmd.event)
}

// schedulerEventCommand forwards an event that needs no reply.
type schedulerEventCommand struct{ event decide.Event }

func (cmd schedulerEventCommand) apply(c *Controller, now time.Time) { c.schedule(now, cmd.event) }

type moveEndedCommand struct{ event decide.MoveEnded }

func (cmd moveEndedCommand) apply(c *Controller, now time.Time) {
	if r := c.runs[cmd.event.ID]; r != nil && r.source != nil {
		if cmd.event.Moved {
			r.source = nil
		} else {
			c.runs[cmd.event.ID] = r.origin()
		}
	}
	c.schedule(now, cmd.event)
}

type endCommand struct{ event decide.Ended }

func (cmd endCommand) apply(c *Controller, now time.Time) {
	delete(c.pending, cmd.event.ID)
	delete(c.runs, cmd.event.ID)
	c.schedule(now, cmd.event)
}

type limitRetriesCommand struct {
	limits   decide.RetryLimits
	instance string
}

func (cmd limitRetriesCommand) apply(c *Controller, now time.Time) {
	c.scheduler.LimitRetries(now, cmd.limits, cmd.instance)
}

type setInstancesCommand struct{ instances int }

func (cmd setInstancesCommand) apply(c *Controller, now time.Time) {
	c.scheduler.SetInstances(now, cmd.instances)
}

// maxLoggedRanks bounds the log line of a table with many ranks out of range.
const maxLoggedRanks = 20

type updateTableCommand struct {
	document routing.Document
	source   string
}

func (cmd updateTableCommand) apply(c *Controller, now time.Time) {
	versionBefore := c.tables.Version()
	if !c.tables.Update(cmd.document) {
		return
	}
	table := cmd.document.Table
	c.log.Emit(event.TableAccepted, "version", table.Version, "before", versionBefore, "routes", len(table.Routes), "credentials", table.CredentialCount(), "source", cmd.source,
		"era", cmd.document.ReadAt.Era, "revision", cmd.document.ReadAt.Revision)
	if clamped := table.ClampedRanks(); len(clamped) > 0 {
		c.log.Emit(event.RanksClamped, "version", table.Version, "count", len(clamped), "ranks", clamped[:min(len(clamped), maxLoggedRanks)])
	}
	c.logUnknownRegions(table)
	c.logMalformedServices(table)
	c.updateScheduler(now)
	c.publish()
	c.announcer.TableChanged()
}

type updateListCommand struct {
	items    []upstream.Item
	at       history.Position
	complete bool
	source   upstream.Source
}

func (cmd updateListCommand) apply(c *Controller, now time.Time) {
	before := c.directory.Position()
	for _, item := range cmd.items {
		if item.Err != nil {
			c.log.EmitRateLimited(event.EntryRefused, "entry", item.ID, "bytes", len(item.Raw), "revision", item.Revision, "error", shortError(item.Err))
		}
	}
	if !cmd.complete {
		cmd.items = usableItems(cmd.items)
	}
	var changes []upstream.Change
	if cmd.complete {
		changes = c.directory.Replace(now, cmd.items, cmd.at)
	} else {
		changes = c.directory.Apply(now, cmd.items, cmd.at.Era)
	}
	c.directory.Advance(cmd.newestPosition(before, len(changes) > 0))
	for i := range changes {
		changes[i].Source = cmd.source
	}
	if len(changes) > 0 {
		c.handleChanges(now, changes)
	}
	if before.IsZero() && !c.directory.Position().IsZero() {
		c.scheduler.ListKnown(now)
	}
	c.applyColder(now, cmd.items)
	after := c.directory.Position()
	if after == before {
		return
	}
	c.publish()
	switch {
	case cmd.source != upstream.FromList || len(cmd.items) == 0:
	case !before.IsZero() && after.Era != before.Era:
		// The complete list of a new era is pulled by the other instances.
		c.announcer.ListChanged(nil, before, after)
	default:
		c.announcer.ListChanged(usableItems(cmd.items), before, after)
	}
}

// maxErrorBytes is the maximum length of a decoding error in the log, which may quote the
// entry.
const maxErrorBytes = 200

func shortError(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxErrorBytes)], "")
}

// usableItems returns the items without those that could not be decoded. They change nothing,
// and may be too large for the other instances.
func usableItems(items []upstream.Item) []upstream.Item {
	return slices.DeleteFunc(slices.Clone(items), func(item upstream.Item) bool { return item.Entry == nil && !item.Deleted })
}

// newestPosition returns the position of the newest change in the command, or before if
// it was not applied completely. The store's own revision also grows with unrelated
// changes, which other instances need not fetch.
func (cmd updateListCommand) newestPosition(before history.Position, changed bool) history.Position {
	newEra := !before.IsZero() && cmd.at.Era != before.Era
	switch {
	case cmd.at.Revision == 0 || newEra && !cmd.complete:
		return before
	case cmd.source == upstream.FromPeer || cmd.complete && (changed || before.IsZero() || newEra):
		return cmd.at
	}
	newest := history.Position{Era: cmd.at.Era}
	for _, item := range cmd.items {
		newest.Revision = max(newest.Revision, item.Revision)
	}
	return newest
}

// queryCommand runs a function that reads the control state.
type queryCommand struct{ run func(now time.Time) }

func (cmd queryCommand) apply(_ *Controller, now time.Time) { cmd.run(now) }

type listUnreadableCommand struct{}

func (listUnreadableCommand) apply(c *Controller, now time.Time) { c.directory.SetListUnreadable(now) }

type leavingCommand struct {
	id          string
	startUnixMS int64
	leavesAt    time.Time
	source      upstream.Source
}

func (cmd leavingCommand) apply(c *Controller, now time.Time) {
	if change, ok := c.directory.MarkLeaving(now, cmd.id, cmd.startUnixMS, cmd.leavesAt, cmd.source); ok {
		c.handleChanges(now, []upstream.Change{change})
	}
}

type misdirectedCommand struct {
	id          string
	startUnixMS int64
}

func (cmd misdirectedCommand) apply(c *Controller, now time.Time) {
	if change, ok := c.directory.MarkRemoved(now, cmd.id, cmd.startUnixMS, upstream.FromAnswer); ok {
		c.handleChanges(now, []upstream.Change{change})
	}
}
