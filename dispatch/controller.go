// Package dispatch runs the decisions of an instance that routes requests to
// upstreams: one goroutine owns the routing table, the beliefs about upstreams
// and the scheduler, and traffic asks it for places.
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
	// commandBacklog is how many commands may wait for the control goroutine.
	commandBacklog = 1024
	// busyTick is how often time passes for requests that wait, idleTick
	// otherwise.
	busyTick = 20 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// assumedStep is the time of an engine's iteration until it is observed.
	assumedStep = 10 * time.Millisecond
)

// Announcer tells other instances what they should know.
type Announcer interface {
	Notice(n decide.Notice)
	Leaving(id string, born int64, leavesAt time.Time)
	// ListChanged tells what changed in the list after a revision.
	ListChanged(items []upstream.Item, after uint64)
	// TableChanged tells that the routing table is newer.
	TableChanged()
}

// Snapshot is what traffic reads. It is immutable.
type Snapshot struct {
	// Document holds the table in force; its table is nil before the first.
	Document routing.Document
	// ListRevision is that of the list of upstreams, 0 before the first.
	ListRevision uint64
	Upstreams    []upstream.Status
	Items        []upstream.Item
}

// Placement is a place at an upstream.
type Placement struct {
	decide.Upstream
	Why string
	// Leaving gets the belief once the upstream is known to leave.
	Leaving <-chan upstream.Status
}

// Controller owns the control state of an instance.
type Controller struct {
	log       *event.Log
	announcer Announcer
	commands  chan command
	stopped   chan struct{}
	snapshot  atomic.Pointer[Snapshot]

	// What follows belongs to the control goroutine.
	tables    routing.Register
	directory *upstream.Directory
	scheduler *decide.Scheduler
	waiting   map[ident.Request]chan<- decision
	runs      map[ident.Request]*run
}

// run is a placed request.
type run struct {
	upstream string
	leaving  chan upstream.Status
}

// decision is the scheduler's answer to a request. Leaving is set with a place.
type decision struct {
	action  decide.Action
	leaving <-chan upstream.Status
}

type command interface {
	apply(c *Controller, now time.Time)
}

// New returns a controller for an instance in the data centre.
//
// Its announcer must be set before it runs.
func New(dataCentre string, log *event.Log) *Controller {
	c := &Controller{
		log: log, commands: make(chan command, commandBacklog), stopped: make(chan struct{}),
		directory: upstream.NewDirectory(), scheduler: decide.New(dataCentre),
		waiting: map[ident.Request]chan<- decision{}, runs: map[ident.Request]*run{},
	}
	c.snapshot.Store(&Snapshot{})
	return c
}

// SetAnnouncer sets who tells other instances.
func (c *Controller) SetAnnouncer(a Announcer) { c.announcer = a }

// Snapshot returns the latest published state.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Backlog returns how many commands wait.
func (c *Controller) Backlog() int { return len(c.commands) }

// Run is the control goroutine.
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
		c.beliefsChanged(now, changes)
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
			c.logLeftOut(now, a)
		}
	}
}

func (c *Controller) logLeftOut(now time.Time, a decide.Ejected) {
	if a.Until.IsZero() {
		c.log.Emit(event.DataCentreBack, "data_centre", a.DataCentre)
		return
	}
	c.log.Emit(event.LeftOut, "upstream", a.Upstream, "data_centre", a.DataCentre, "for_ms", a.Until.Sub(now).Milliseconds())
}

func (c *Controller) reply(id ident.Request, d decision) {
	if reply, ok := c.waiting[id]; ok {
		reply <- d
		delete(c.waiting, id)
	}
}

// beliefsChanged logs what changed, gives the scheduler the upstreams, and
// tells the runs of those that leave.
func (c *Controller) beliefsChanged(now time.Time, changes []upstream.Change) {
	for _, change := range changes {
		id := event.UpstreamBelief
		c.log.Emit(id, "upstream", change.ID, "address", change.Addr.String(), "service", change.Service, "data_centre", change.DataCentre,
			"born", change.StartUnixMS, "before", change.Before.String(), "state", change.State.String(), "source", change.Source.String(),
			"revision", change.ChangeRevision)
	}
	c.upstreamsChanged(now)
	for _, change := range changes {
		if change.State == upstream.Draining && change.Source != upstream.FromPeer && change.Source != upstream.FromList {
			c.announcer.Leaving(change.ID, change.StartUnixMS, change.LeavesAt)
		}
		if change.State == upstream.Draining || change.State == upstream.Gone {
			c.warnRuns(change.Status)
		}
	}
	c.publish()
}

// warnRuns tells the runs at an upstream that it leaves.
func (c *Controller) warnRuns(b upstream.Status) {
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

func (c *Controller) upstreamsChanged(now time.Time) {
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

// Place asks for a place and waits for the decision. The error carries the
// outcome of a request that gets none. A placed request must end with End.
func (c *Controller) Place(ctx context.Context, r decide.Request) (Placement, error) {
	cmd := &placeCommand{event: decide.Arrived{Request: r}, id: r.ID, reply: make(chan decision, 1)}
	place, err := c.await(ctx, cmd)
	if err != nil && verdict.Of(err).Reason == verdict.CallerGone {
		c.End(r.ID, 0, verdict.Of(err))
	}
	return place, err
}

// Relocate asks where a placed request can go on, and waits for the decision.
// A move that was begun must end with Relocated or End.
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
	return Placement{}, verdict.Fail(verdict.NotRun, verdict.CallerGone, "given up before there was a place")
}

// subscribe returns the channel that tells when the upstream of a place
// leaves. It tells at once when it leaves already.
func (c *Controller) subscribe(place decide.Place) <-chan upstream.Status {
	r := &run{upstream: place.Upstream.Name, leaving: make(chan upstream.Status, 1)}
	c.runs[place.ID] = r
	if b, ok := c.directory.Find(r.upstream); ok && b.State >= upstream.Draining {
		r.leaving <- b
	}
	return r.leaving
}

// Progress tells how many tokens a placed request has got.
func (c *Controller) Progress(id ident.Request, tokens int) {
	c.send(schedulingCommand{decide.Progressed{ID: id, Tokens: tokens}})
}

// Relocated ends a move. The request is at its destination from then on if it
// moved, and where it was otherwise.
func (c *Controller) Relocated(id ident.Request, moved bool) {
	c.send(schedulingCommand{decide.Relocated{ID: id, Moved: moved}})
}

// End tells that a request is over.
func (c *Controller) End(id ident.Request, tokens int, o verdict.Outcome) {
	c.send(endCommand{decide.Ended{ID: id, Tokens: tokens, Outcome: o}})
}

// Failed tells that an upstream failed for a request.
func (c *Controller) Failed(name string, r verdict.Reason) {
	c.send(schedulingCommand{decide.Failed{Upstream: name, Reason: r}})
}

// Reported takes an upstream's load.
func (c *Controller) Reported(name string, r decide.Report) {
	c.send(schedulingCommand{decide.ReportReceived{Upstream: name, Report: r}})
}

// Noticed takes another instance's notice.
func (c *Controller) Noticed(n decide.Notice) {
	c.send(schedulingCommand{decide.NoticeReceived{Notice: n}})
}

// LimitRetries sets the retry budget.
func (c *Controller) LimitRetries(share, saved float64) { c.send(retriesCommand{share, saved}) }

// TableRead offers a routing table. From says where it was read.
func (c *Controller) TableRead(d routing.Document, from string) { c.send(tableCommand{d, from}) }

// ListRead offers changes of the list of upstreams up to a revision, or, when
// whole is set, the whole list.
func (c *Controller) ListRead(items []upstream.Item, revision uint64, whole bool, source upstream.Source) {
	c.send(listCommand{items, revision, whole, source})
}

// Loads returns what is known of the loads of a data centre's engines.
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

// ListLost tells that the list can't be read at the moment.
func (c *Controller) ListLost() { c.send(listLostCommand{}) }

// Leaving tells that an incarnation of an upstream is on its way out.
func (c *Controller) Leaving(id string, born int64, leavesAt time.Time, source upstream.Source) {
	c.send(leavingCommand{id, born, leavesAt, source})
}

// Misdirected tells that another incarnation answers at an upstream's address.
func (c *Controller) Misdirected(id string, born int64) { c.send(misdirectedCommand{id, born}) }
