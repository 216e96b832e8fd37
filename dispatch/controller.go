// Package dispatch runs the scheduling of an instance that routes requests to
// upstreams. One goroutine, the control goroutine, owns the routing table, the
// known states of the upstreams and the scheduler. Request handlers send it
// commands to get placements.
package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

const (
	// commandBacklog is the capacity of the control goroutine's command queue.
	commandBacklog = 1024
	// busyTick is the interval of ticks while requests wait, idleTick otherwise.
	busyTick = 20 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// assumedStep is an engine's iteration time until one is observed.
	assumedStep = 10 * time.Millisecond
)

// Announcer sends news to the other instances.
type Announcer interface {
	Notice(n decide.Notice)
	Leaving(id string, born int64, leavesAt time.Time)
	// ListChanged announces the items that changed in the list after a revision.
	ListChanged(items []upstream.Item, after uint64)
	// TableChanged announces a newer routing table.
	TableChanged()
}

// Snapshot is the state that request handlers read. It is immutable.
type Snapshot struct {
	// Document holds the table in force; its table is nil before the first.
	Document routing.Document
	// ListRevision is the revision of the list of upstreams; 0 before the first.
	ListRevision uint64
	Upstreams    []upstream.Status
	Items        []upstream.Item
}

// Placement is the upstream that a request is placed at.
type Placement struct {
	decide.Upstream
	Why string
	// Leaving receives the state of the upstream once it is known to leave.
	Leaving <-chan upstream.Status
}

// Controller owns the control state of an instance.
type Controller struct {
	log       *event.Log
	announcer Announcer
	commands  chan command
	stopped   chan struct{}
	snapshot  atomic.Pointer[Snapshot]

	// The fields below are used by the control goroutine only.
	tables    routing.Register
	directory *upstream.Directory
	scheduler *decide.Scheduler
	pending   map[ident.Request]chan<- decision
	runs      map[ident.Request]*run
}

// run is a placed request.
type run struct {
	upstream string
	leaving  chan upstream.Status
}

// decision is the scheduler's decision on a request. Its leaving channel is set
// only with a placement.
type decision struct {
	action  decide.Action
	leaving <-chan upstream.Status
}

type command interface {
	apply(c *Controller, now time.Time)
}

// New returns a controller for an instance in the data centre.
//
// SetAnnouncer must be called before Run.
func New(dataCentre string, log *event.Log) *Controller {
	c := &Controller{
		log: log, commands: make(chan command, commandBacklog), stopped: make(chan struct{}),
		directory: upstream.NewDirectory(), scheduler: decide.New(dataCentre),
		pending: map[ident.Request]chan<- decision{}, runs: map[ident.Request]*run{},
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// SetAnnouncer sets the announcer to other instances.
func (c *Controller) SetAnnouncer(a Announcer) { c.announcer = a }

// Snapshot returns the latest published state.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Backlog returns the number of queued commands.
func (c *Controller) Backlog() int { return len(c.commands) }

// Run runs the control goroutine until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case cmd := <-c.commands:
			cmd.apply(c, time.Now())
		case <-timer.C:
			c.tick(time.Now())
		}
		if c.scheduler.Waiting() > 0 || c.directory.HasLapsed() {
			timer.Reset(busyTick)
		} else {
			timer.Reset(idleTick)
		}
	}
}

func (c *Controller) send(cmd command) bool {
	select {
	case c.commands <- cmd:
		return true
	case <-c.stopped:
		return false
	}
}

func (c *Controller) tick(now time.Time) {
	if changes := c.directory.Tick(now); len(changes) > 0 {
		c.handleChanges(now, changes)
	}
	c.schedule(now, decide.Tick{})
}

func (c *Controller) schedule(now time.Time, e decide.Event) {
	for _, action := range c.scheduler.Step(now, e) {
		switch a := action.(type) {
		case decide.Place:
			c.reply(a.ID, decision{a, c.subscribe(a)})
		case decide.Refuse:
			c.reply(a.ID, decision{action: a})
		case decide.Notify:
			c.announcer.Notice(a.Notice)
		case decide.Ejected:
			c.logEjection(now, a)
		}
	}
}

func (c *Controller) logEjection(now time.Time, a decide.Ejected) {
	if a.Until.IsZero() {
		c.log.Emit(event.DataCentreRecovered, "data_centre", a.DataCentre)
		return
	}
	c.log.Emit(event.UpstreamEjected, "upstream", a.Upstream, "data_centre", a.DataCentre, "for_ms", a.Until.Sub(now).Milliseconds())
}

func (c *Controller) reply(id ident.Request, d decision) {
	if reply, ok := c.pending[id]; ok {
		reply <- d
		delete(c.pending, id)
	}
}

// handleChanges logs the changes, updates the scheduler, announces upstreams that
// leave, and notifies the requests placed there.
func (c *Controller) handleChanges(now time.Time, changes []upstream.Change) {
	for _, change := range changes {
		id := event.UpstreamStatusChanged
		c.log.Emit(id, "upstream", change.ID, "address", change.Addr.String(), "service", change.Service, "data_centre", change.DataCentre,
			"born", change.StartUnixMS, "before", change.Before.String(), "state", change.State.String(), "source", change.Source.String(),
			"revision", change.ChangeRevision)
	}
	c.updateScheduler(now)
	for _, change := range changes {
		if change.State == upstream.Draining && change.Source != upstream.FromPeer && change.Source != upstream.FromList {
			c.announcer.Leaving(change.ID, change.StartUnixMS, change.LeavesAt)
		}
		if change.State == upstream.Draining || change.State == upstream.Gone {
			c.notifyRuns(change.Status)
		}
	}
	c.publish()
}

// notifyRuns notifies the requests placed at an upstream that it leaves.
func (c *Controller) notifyRuns(b upstream.Status) {
	for _, r := range c.runs {
		if r.upstream != b.ID {
			continue
		}
		select {
		case r.leaving <- b:
		default:
		}
	}
}

func (c *Controller) updateScheduler(now time.Time) {
	var list []decide.Upstream
	table := c.tables.Current().Table
	for _, b := range c.directory.All() {
		u := decide.Upstream{
			Name: b.ID, Pool: b.Service, DataCentre: b.DataCentre, Addr: b.Addr, Incarnation: ident.Incarnation(b.StartUnixMS),
			Leaving: b.State == upstream.Draining, Slots: b.Slots,
		}
		if table != nil && table.Services[b.Service] != nil && table.Services[b.Service].Engine != nil {
			engine := table.Services[b.Service].Engine
			u.CapacityTokens, u.StepTime = engine.KVCacheTokens, assumedStep
			if engine.Slots > 0 {
				u.Slots = engine.Slots
			}
		}
		list = append(list, u)
	}
	c.schedule(now, decide.UpstreamsChanged{Upstreams: list})
}

func (c *Controller) publish() {
	c.snapshot.Store(&Snapshot{
		Document: c.tables.Current(), ListRevision: c.directory.Revision(),
		Upstreams: c.directory.All(), Items: c.directory.Items(),
	})
}

// Place requests a placement and waits for the decision. The error carries the
// outcome of a request that gets none. Each placed request must end with End.
func (c *Controller) Place(ctx context.Context, r decide.Request) (Placement, error) {
	cmd := &placeCommand{event: decide.Arrived{Request: r}, id: r.ID, reply: make(chan decision, 1)}
	place, err := c.await(ctx, cmd)
	if err != nil && verdict.Of(err).Reason == verdict.CallerGone {
		c.End(r.ID, 0, verdict.Of(err))
	}
	return place, err
}

// Relocate requests a destination for a placed request and waits for the
// decision. Each move must end with Relocated or End.
func (c *Controller) Relocate(ctx context.Context, id ident.Request, avoid []string) (Placement, error) {
	cmd := &placeCommand{event: decide.Relocating{ID: id, Avoid: avoid}, id: id, reply: make(chan decision, 1)}
	return c.await(ctx, cmd)
}

func (c *Controller) await(ctx context.Context, cmd *placeCommand) (Placement, error) {
	if !c.send(cmd) {
		return Placement{}, verdict.Fail(verdict.NotRun, verdict.Stopping, "the instance has stopped")
	}
	select {
	case d := <-cmd.reply:
		switch a := d.action.(type) {
		case decide.Place:
			return Placement{Upstream: a.Upstream, Why: a.Why, Leaving: d.leaving}, nil
		case decide.Refuse:
			return Placement{}, verdict.FailAt(verdict.NotRun, a.Reason, a.RetryAt, "%s", a.Why)
		}
	case <-ctx.Done():
	case <-c.stopped:
	}
	return Placement{}, verdict.Fail(verdict.NotRun, verdict.CallerGone, "cancelled before the scheduler decided")
}

// subscribe returns the channel that receives the upstream's state once it
// leaves, or at once if it is already leaving.
func (c *Controller) subscribe(place decide.Place) <-chan upstream.Status {
	r := &run{upstream: place.Upstream.Name, leaving: make(chan upstream.Status, 1)}
	c.runs[place.ID] = r
	if b, ok := c.directory.Find(r.upstream); ok && b.State >= upstream.Draining {
		r.leaving <- b
	}
	return r.leaving
}

// Progress reports how many tokens a placed request has generated so far.
func (c *Controller) Progress(id ident.Request, tokens int) {
	c.send(schedulerEventCommand{decide.Progressed{ID: id, Tokens: tokens}})
}

// Relocated ends a move. If moved is set, the request is at its destination from
// then on, and otherwise still at its source.
func (c *Controller) Relocated(id ident.Request, moved bool) {
	c.send(schedulerEventCommand{decide.Relocated{ID: id, Moved: moved}})
}

// End reports that a request is finished.
func (c *Controller) End(id ident.Request, tokens int, o verdict.Outcome) {
	c.send(endCommand{decide.Ended{ID: id, Tokens: tokens, Outcome: o}})
}

// Failed reports that an upstream failed for a request.
func (c *Controller) Failed(name string, r verdict.Reason) {
	c.send(schedulerEventCommand{decide.Failed{Upstream: name, Reason: r}})
}

// Reported passes on an upstream's load report.
func (c *Controller) Reported(name string, r decide.Report) {
	c.send(schedulerEventCommand{decide.ReportReceived{Upstream: name, Report: r}})
}

// Noticed passes on a notice from another instance.
func (c *Controller) Noticed(n decide.Notice) {
	c.send(schedulerEventCommand{decide.NoticeReceived{Notice: n}})
}

// LimitRetries sets the retry budget.
func (c *Controller) LimitRetries(share, capacity float64) { c.send(retriesCommand{share, capacity}) }

// TableRead offers a routing table. Source names where it was read.
func (c *Controller) TableRead(d routing.Document, source string) { c.send(tableCommand{d, source}) }

// ListRead offers changes of the list of upstreams up to a revision, or the whole
// list if whole is set.
func (c *Controller) ListRead(items []upstream.Item, revision uint64, whole bool, source upstream.Source) {
	c.send(listCommand{items, revision, whole, source})
}

// Loads returns the known loads of a data centre's engines.
func (c *Controller) Loads(ctx context.Context, dataCentre string) []decide.Load {
	reply := make(chan []decide.Load, 1)
	if !c.send(loadsCommand{dataCentre, reply}) {
		return nil
	}
	select {
	case loads := <-reply:
		return loads
	case <-ctx.Done():
	case <-c.stopped:
	}
	return nil
}

// ListLost reports that the list can't be read at the moment.
func (c *Controller) ListLost() { c.send(listLostCommand{}) }

// Leaving reports that an incarnation of an upstream is leaving.
func (c *Controller) Leaving(id string, born int64, leavesAt time.Time, source upstream.Source) {
	c.send(leavingCommand{id, born, leavesAt, source})
}

// Misdirected reports that another incarnation responds at an upstream's address.
func (c *Controller) Misdirected(id string, born int64) { c.send(misdirectedCommand{id, born}) }
