package dispatch

import (
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
)

type placeCommand struct {
	event decide.Event
	id    ident.Request
	reply chan decision
}

func (cmd *placeCommand) apply(c *Controller, now time.Time) {
	c.pending[cmd.id] = cmd.reply
	c.schedule(now, cmd.event)
}

type schedulerEventCommand struct{ event decide.Event }

func (cmd schedulerEventCommand) apply(c *Controller, now time.Time) { c.schedule(now, cmd.event) }

type endCommand struct{ event decide.Ended }

func (cmd endCommand) apply(c *Controller, now time.Time) {
	delete(c.pending, cmd.event.ID)
	delete(c.runs, cmd.event.ID)
	c.schedule(now, cmd.event)
}

type retriesCommand struct{ share, capacity float64 }

func (cmd retriesCommand) apply(c *Controller, _ time.Time) {
	c.scheduler.LimitRetries(cmd.share, cmd.capacity)
}

type tableCommand struct {
	document routing.Document
	source   string
}

func (cmd tableCommand) apply(c *Controller, now time.Time) {
	before := c.tables.Version()
	if !c.tables.Update(cmd.document) {
		return
	}
	t := cmd.document.Table
	c.log.Emit(event.TableAccepted, "version", t.Version, "before", before, "routes", len(t.Routes), "credentials", t.CredentialCount(), "source", cmd.source)
	c.updateScheduler(now)
	c.publish()
	c.announcer.TableChanged()
}

type listCommand struct {
	items    []upstream.Item
	revision uint64
	whole    bool
	source   upstream.Source
}

func (cmd listCommand) apply(c *Controller, now time.Time) {
	before := c.directory.Revision()
	var changes []upstream.Change
	if cmd.whole {
		changes = c.directory.Replace(now, cmd.items, cmd.revision)
	} else {
		changes = c.directory.Apply(now, cmd.items)
	}
	c.directory.Advance(cmd.newest(before, len(changes) > 0))
	for i := range changes {
		changes[i].Source = cmd.source
	}
	if len(changes) > 0 {
		c.handleChanges(now, changes)
	}
	if c.directory.Revision() == before {
		return
	}
	c.publish()
	if cmd.source == upstream.FromList && len(cmd.items) > 0 {
		c.announcer.ListChanged(cmd.items, before)
	}
}

// newest returns the revision of the newest change. The store's own revision also
// grows with unrelated changes, which other instances need not fetch.
func (cmd listCommand) newest(before uint64, changed bool) uint64 {
	if cmd.source == upstream.FromPeer || cmd.whole && (changed || before == 0) {
		return cmd.revision
	}
	var newest uint64
	for _, item := range cmd.items {
		newest = max(newest, item.Revision)
	}
	return newest
}

type loadsCommand struct {
	dataCentre string
	reply      chan []decide.Load
}

func (cmd loadsCommand) apply(c *Controller, now time.Time) {
	cmd.reply <- c.scheduler.Loads(now, cmd.dataCentre)
}

type listLostCommand struct{}

func (listLostCommand) apply(c *Controller, now time.Time) { c.directory.SetListUnreadable(now) }

type leavingCommand struct {
	id       string
	born     int64
	leavesAt time.Time
	source   upstream.Source
}

func (cmd leavingCommand) apply(c *Controller, now time.Time) {
	if change, ok := c.directory.MarkLeaving(now, cmd.id, cmd.born, cmd.leavesAt, cmd.source); ok {
		c.handleChanges(now, []upstream.Change{change})
	}
}

type misdirectedCommand struct {
	id   string
	born int64
}

func (cmd misdirectedCommand) apply(c *Controller, now time.Time) {
	if change, ok := c.directory.MarkGone(now, cmd.id, cmd.born, upstream.FromAnswer); ok {
		c.handleChanges(now, []upstream.Change{change})
	}
}
