// Package dispatch assigns the requests of an instance to upstreams. One
// goroutine, the control goroutine, owns the routing table, the states of the
// upstreams and the scheduler. Request handlers and the sources of updates
// send it commands.
package dispatch

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/routing"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

const (
	// commandQueueSize is the capacity of the control goroutine's command queue.
	commandQueueSize = 1024
	// busyTick is the interval between ticks while requests wait or a grace
	// period of an upstream is running, idleTick the interval otherwise.
	busyTick = 20 * time.Millisecond
	idleTick = 500 * time.Millisecond
	// assumedStep is the assumed time of an engine's iteration until its step
	// time is observed.
	assumedStep = 10 * time.Millisecond
)

// Announcer sends updates to the other instances.
type Announcer interface {
	// SendNotice sends a notice of the scheduler.
	SendNotice(n decide.Notice)
	// SendLimit sends a notice of an upstream's limit and its use.
	SendLimit(n decide.LimitNotice)
	// SendBrittle sends a notice of brittle upstreams.
	SendBrittle(n decide.BrittleNotice)
	// SendCrash sends the report of a crash of an upstream.
	SendCrash(c containment.Crash)
	// SendFinding sends what is known of a trait of requests.
	SendFinding(f containment.Finding)
	// PoolReachChanged announces the pools from which this instance is cut off.
	PoolReachChanged()
	// Reaching returns the number of other instances that reach the upstreams of a pool.
	Reaching(pool string) int
	// SendLeaving announces that an incarnation of an upstream, identified by its
	// start time, is leaving.
	SendLeaving(id string, startUnixMS int64, leavesAt time.Time)
	// ListChanged announces the items of the list of upstreams that changed between
	// two positions; none if the other instances need the complete list.
	ListChanged(items []upstream.Item, after, upTo history.Position)
	// OrdersChanged announces orders that this instance has read from the store.
	OrdersChanged(o evacuation.Orders)
	// RequestOrders asks another instance for the orders that it knows. ConfirmOrders is called
	// when they have been submitted.
	RequestOrders()
	// TableChanged announces a newer routing table.
	TableChanged()
}

// Snapshot is the state that request handlers read. It is immutable.
type Snapshot struct {
	// Document is the active routing table; its Table is nil until one is
	// received.
	Document routing.Document
	// ListPosition is the position of the list of upstreams in the store's history;
	// zero until one is received.
	ListPosition history.Position
	// Contained are the traits of requests on which upstreams crash.
	Contained []containment.Finding
	// LostPools are the pools from which this instance is cut off.
	LostPools []string
	// Orders are the newest orders to evacuate data centres; zero if there never were any.
	// Evacuated are the data centres to whose upstreams nothing may be sent.
	Orders    evacuation.Orders
	Evacuated []string
	// Regions are the regions of the data centres.
	Regions routing.Regions
	// Avoided is the number of upstreams that are avoided because they fail requests.
	Avoided int
}

// Placement is the upstream that a request is placed on.
type Placement struct {
	decide.Upstream
	// Detour reports that Addr is that of another instance, which places the request.
	Detour bool
	// Admits reports that this is the upstream's coordinator, and Upstream is where it is to
	// place the request; with a detour only.
	Admits bool
	// Limited reports whether the upstream has declared a limit on its requests, and
	// Brittle whether one of its pool has declared that it is brittle.
	Limited, Brittle bool
	// Explanation contains the figures behind the choice.
	Explanation string
	// Leaving receives the status of the upstream when it leaves.
	Leaving <-chan upstream.Status
}

// Controller owns the control state of an instance.
type Controller struct {
	// FollowsOrders reports whether operators can evacuate data centres. It must be set before
	// Run; nil stands for no.
	FollowsOrders func() bool

	hold hold
	// tickedAt is the time of the latest tick.
	tickedAt  time.Time
	log       *event.Log
	announcer Announcer
	commands  chan command
	stopped   chan struct{}
	snapshot  atomic.Pointer[Snapshot]
	// unevenServices is the number of services whose engines differ in speed.
	unevenServices atomic.Int64

	// The fields below are used by the control goroutine only.
	tables    routing.Register
	directory *upstream.Directory
	scheduler *decide.Scheduler
	regions   routing.Regions
	orders    evacuation.Register
	evacuated []string
	// pending contains the requests that wait for a decision.
	pending map[ident.Request]chan<- decision
	runs    map[ident.Request]*run
}

// run is the execution of a placed request on an upstream.
type run struct {
	upstream string
	// leaving receives the status of the upstream when it leaves.
	leaving chan upstream.Status
	// source is the run that is being moved to the upstream; nil if there is none.
	source *run
}

// decision is the scheduler's decision on a request. Its leaving channel is
// nil unless the action is a placement.
type decision struct {
	action  decide.Action
	leaving <-chan upstream.Status
}

// command is executed by the control goroutine.
type command interface {
	apply(c *Controller, now time.Time)
}

// New returns a controller for an instance in the data centre.
//
// SetAnnouncer must be called before Run.
func New(dataCentre string, log *event.Log) *Controller {
	c := &Controller{
		log: log, commands: make(chan command, commandQueueSize), stopped: make(chan struct{}),
		directory: upstream.NewDirectory(), scheduler: decide.New(dataCentre),
		pending: map[ident.Request]chan<- decision{}, runs: map[ident.Request]*run{},
	}
	c.snapshot.Store(&Snapshot{})
	c.hold.start(time.Now())
	return c
}

// SetAnnouncer sets the announcer.
func (c *Controller) SetAnnouncer(a Announcer) { c.announcer = a }

// Snapshot returns the latest published state.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// UnevenServices returns the number of services whose engines differ in speed.
func (c *Controller) UnevenServices() int { return int(c.unevenServices.Load()) }

// Backlog returns the number of queued commands.
func (c *Controller) Backlog() int { return len(c.commands) }

// Run runs the control goroutine until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	defer close(c.stopped)
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	c.hold.start(time.Now())
	c.tickedAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case cmd := <-c.commands:
			c.checkPause(time.Now())
			c.tickOrders(time.Now())
			cmd.apply(c, time.Now())
			// While commands arrive all the time, the timer never fires.
			if now := time.Now(); now.Sub(c.tickedAt) >= 2*idleTick {
				c.tick(now)
			}
		case <-timer.C:
			c.checkPause(time.Now())
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
	c.tickedAt = now
	if changes := c.directory.Tick(now); len(changes) > 0 {
		c.handleChanges(now, changes)
	}
	c.tickOrders(now)
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
			c.announcer.SendNotice(a.Notice)
		case decide.Ejected:
			c.logEjection(now, a)
		case decide.UpstreamAvoided:
			c.logAvoided(a)
			c.publish()
		case decide.UnevenChanged:
			c.unevenServices.Store(int64(a.Total))
			c.log.Emit(event.PoolUneven, "service", a.Pool, "uneven", a.Uneven, "spread", a.Spread)
		case decide.LimitChanged:
			c.log.Emit(event.UpstreamLimited, "upstream", a.Upstream, "limited", a.Limited, "per_second", a.PerSecond, "before", a.Before, "from_peer", a.FromPeer)
		case decide.Paused:
			c.log.Emit(event.UpstreamPaused, "upstream", a.Upstream, "for_ms", a.Until.Sub(now).Milliseconds())
		case decide.ColdChanged:
			c.logCold(now, a)
		case decide.NotifyLimit:
			c.announcer.SendLimit(a.Notice)
		case decide.BrittleChanged:
			c.log.Emit(event.PoolBrittle, "service", a.Pool, "brittle", a.MaxRejections > 0, "max_rejections", a.MaxRejections, "from_peer", a.FromPeer)
		case decide.CoordinatorChanged:
			c.log.Emit(event.CoordinatorChanged, "upstream", a.Upstream, "member", addressText(a.Coordinator), "self", a.IsSelf)
		case decide.NotifyBrittle:
			c.announcer.SendBrittle(a.Notice)
		case decide.NotifyCrash:
			c.logCrash(a.Crash)
			c.announcer.SendCrash(a.Crash)
		case decide.NotifyFinding:
			c.announcer.SendFinding(a.Finding)
		case decide.PoolReachChanged:
			c.logPoolReach(a)
			c.publish()
			c.announcer.PoolReachChanged()
		case decide.ContainmentChanged:
			c.logContainment(now, a)
			c.publish()
		}
	}
}

// addressText returns the address for the log; empty if it is invalid.
func addressText(addr netip.AddrPort) string {
	if !addr.IsValid() {
		return ""
	}
	return addr.String()
}

func (c *Controller) logCrash(crash containment.Crash) {
	fields := []any{"upstream", crash.Upstream.Name, "born", int64(crash.Upstream.Incarnation)}
	if crash.Kind == containment.Requests {
		c.log.Emit(event.RequestsSuspected, append(fields, "requests", len(crash.Traits), "first_fingerprints", containment.List(crash.Traits))...)
		return
	}
	c.log.Emit(event.PromptsSuspected, append(fields, "parts", len(crash.Traits), "waiting_parts", len(crash.Waiting), "first_parts", containment.List(crash.Traits))...)
}

func (c *Controller) logContainment(now time.Time, a decide.ContainmentChanged) {
	f := a.Finding
	contained, released, name := event.PromptContained, event.PromptReleased, "part"
	if f.Kind == containment.Requests {
		contained, released, name = event.RequestContained, event.RequestReleased, "fingerprint"
	}
	fields := []any{name, f.Trait.String(), "contained_ms", now.Sub(f.ContainedAt).Milliseconds()}
	if !a.Contained {
		c.log.Emit(released, append(fields, "probes", f.Probes)...)
		return
	}
	c.log.Emit(contained, append(fields, "crashed_ago_ms", now.Sub(f.CrashedAt).Milliseconds(), "probe_in_ms", f.ProbeAt.Sub(now).Milliseconds())...)
}

func (c *Controller) logPoolReach(a decide.PoolReachChanged) {
	if !a.Lost {
		c.log.Emit(event.PoolReachable, "service", a.Pool)
		return
	}
	c.log.Emit(event.PoolUnreachable, "service", a.Pool, "unreachable", a.Unreachable, "instances_reaching", c.announcer.Reaching(a.Pool))
}

func (c *Controller) logEjection(now time.Time, a decide.Ejected) {
	if a.Until.IsZero() {
		c.log.Emit(event.DataCentreRecovered, "data_centre", a.DataCentre)
		return
	}
	c.log.Emit(event.UpstreamEjected, "upstream", a.Upstream, "data_centre", a.DataCentre, "for_ms", a.Until.Sub(now).Milliseconds())
}

func (c *Controller) logAvoided(a decide.UpstreamAvoided) {
	fields := []any{"upstream", a.Upstream, "data_centre", a.DataCentre, "failed_share", a.FailedShare, "pool_share", a.PoolShare}
	if !a.Avoided {
		c.log.Emit(event.UpstreamUsedAgain, append(fields, "avoided_ms", a.AvoidedFor.Milliseconds())...)
		return
	}
	c.log.Emit(event.UpstreamAvoided, append(fields, "reporters", a.Reporters)...)
}

func (c *Controller) reply(id ident.Request, d decision) {
	if reply, ok := c.pending[id]; ok {
		reply <- d
		delete(c.pending, id)
	}
}

// handleChanges logs the changes, updates the scheduler, announces upstreams
// that leave, and notifies the requests placed on them.
func (c *Controller) handleChanges(now time.Time, changes []upstream.Change) {
	for _, change := range changes {
		id := event.UpstreamStatusChanged
		c.log.Emit(id, "upstream", change.ID, "address", change.Addr.String(), "service", change.Service, "data_centre", change.DataCentre,
			"born", change.StartUnixMS, "version", change.Version, "before", change.Before.String(), "state", change.State.String(), "source", change.Source.String(),
			"revision", change.ChangeRevision)
	}
	for _, change := range changes {
		c.schedule(now, decide.UpstreamChanged{Upstream: c.schedulerUpstream(change.Status), Removed: change.State == upstream.Removed})
	}
	for _, change := range changes {
		if change.State == upstream.Draining && change.Source != upstream.FromPeer && change.Source != upstream.FromList {
			c.announcer.SendLeaving(change.ID, change.StartUnixMS, change.LeavesAt)
		}
		if change.State == upstream.Draining || change.State == upstream.Removed {
			c.notifyRuns(change.Status)
		}
	}
	c.publish()
}

// notifyRuns notifies the requests placed on an upstream that it leaves.
func (c *Controller) notifyRuns(status upstream.Status) {
	for _, r := range c.runs {
		for ; r != nil; r = r.source {
			r.notify(status)
		}
	}
}

// notify notifies the request if it runs on the upstream.
func (r *run) notify(status upstream.Status) {
	if r.upstream != status.ID {
		return
	}
	select {
	case r.leaving <- status:
	default:
		// The request has been notified before.
	}
}

// updateScheduler sends all current upstreams to the scheduler. It is called for a new
// routing table, which can change the properties of every upstream.
func (c *Controller) updateScheduler(now time.Time) {
	var list []decide.Upstream
	for _, status := range c.directory.All() {
		list = append(list, c.schedulerUpstream(status))
	}
	c.schedule(now, decide.UpstreamsChanged{Upstreams: list})
}

// schedulerUpstream returns the upstream in the form that the scheduler uses.
func (c *Controller) schedulerUpstream(status upstream.Status) decide.Upstream {
	u := decide.Upstream{
		Name: status.ID, Pool: status.Service, DataCentre: status.DataCentre, Addr: status.Addr, Incarnation: ident.Incarnation(status.StartUnixMS),
		Version: status.Version, Leaving: status.State == upstream.Draining, Slots: status.Slots,
	}
	table := c.tables.Current().Table
	if table != nil {
		setCold(&u, status, table.Services[status.Service])
	}
	if table != nil && table.Services[status.Service] != nil && table.Services[status.Service].Engine != nil {
		engine := table.Services[status.Service].Engine
		u.CapacityTokens, u.StepTime = engine.KVCacheTokens, assumedStep
		if engine.Slots > 0 {
			u.Slots = engine.Slots
		}
	}
	return u
}

func (c *Controller) publish() {
	c.snapshot.Store(&Snapshot{Document: c.tables.Current(), ListPosition: c.directory.Position(), Contained: c.scheduler.Contained(), LostPools: c.scheduler.LostPools(), Orders: c.orders.Current(), Evacuated: c.evacuated, Regions: c.regions, Avoided: c.scheduler.Avoided()})
}

// ProbeTargets returns an upstream of each pool from which this instance is cut off.
func (c *Controller) ProbeTargets(ctx context.Context) []decide.ProbeTarget {
	if len(c.Snapshot().LostPools) == 0 {
		return nil
	}
	return query(ctx, c, func(time.Time) []decide.ProbeTarget { return c.scheduler.ProbeTargets() })
}

// ReportReached reports that a connection to an upstream could be made.
func (c *Controller) ReportReached(name string) {
	c.send(schedulerEventCommand{decide.Reached{Upstream: name}})
}

// Upstreams returns the statuses of the upstreams that are not Removed; nil if the
// controller has stopped.
func (c *Controller) Upstreams() []upstream.Status {
	return query(context.Background(), c, func(time.Time) []upstream.Status { return c.directory.All() })
}

// List returns the list of upstreams in encoded form, for peers, and its position; nil
// if the context ends first.
func (c *Controller) List(ctx context.Context) ([]upstream.Item, history.Position) {
	type list struct {
		items []upstream.Item
		at    history.Position
	}
	l := query(ctx, c, func(time.Time) list { return list{c.directory.Items(), c.directory.Position()} })
	return l.items, l.at
}

// StreamOrigin returns the origin of a stream that a caller takes up in a pool, and that has
// begun or gone on since a time; the zero value if the context ends first.
func (c *Controller) StreamOrigin(ctx context.Context, pool string, stream origin.Key, since time.Time) decide.StreamOrigin {
	return query(ctx, c, func(now time.Time) decide.StreamOrigin { return c.scheduler.StreamOrigin(now, pool, stream, since) })
}

// RecordOrigin records the version that began a stream, as another instance knows it.
func (c *Controller) RecordOrigin(stream origin.Key, version string) {
	c.send(queryCommand{func(now time.Time) { c.scheduler.RecordOrigin(now, stream, version) }})
}

// query runs a function on the control goroutine and returns its result, or the zero
// value if the context ends first or the controller has stopped.
func query[T any](ctx context.Context, c *Controller, run func(now time.Time) T) T {
	reply := make(chan T, 1)
	var none T
	if !c.send(queryCommand{func(now time.Time) { reply <- run(now) }}) {
		return none
	}
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
	case <-c.stopped:
	}
	return none
}

// Place requests a placement and waits for the decision. If the request is not
// placed, the error contains its outcome. End must be called for each placed
// request.
func (c *Controller) Place(ctx context.Context, r decide.Request) (Placement, error) {
	cmd := &placeCommand{event: decide.Arrived{Request: r}, id: r.ID, reply: make(chan decision, 1)}
	place, err := c.await(ctx, cmd)
	if err != nil && ctx.Err() != nil {
		// The scheduler may already have queued or placed the request.
		c.End(r.ID, 0, verdict.OutcomeOf(err))
	}
	return place, err
}

// StartMove requests another upstream for a placed request and waits for the
// decision. EndMove or End must be called for each move.
func (c *Controller) StartMove(ctx context.Context, id ident.Request, excluded []string) (Placement, error) {
	return c.move(ctx, decide.MoveRequested{ID: id, Excluded: excluded})
}

// StartOptionalMove is like StartMove for a request that can stay where it is. It returns an
// error if another upstream is no better.
func (c *Controller) StartOptionalMove(ctx context.Context, id ident.Request) (Placement, error) {
	return c.move(ctx, decide.MoveRequested{ID: id, Optional: true})
}

func (c *Controller) move(ctx context.Context, e decide.MoveRequested) (Placement, error) {
	return c.await(ctx, &placeCommand{event: e, id: e.ID, reply: make(chan decision, 1)})
}

func (c *Controller) await(ctx context.Context, cmd *placeCommand) (Placement, error) {
	if !c.send(cmd) {
		return Placement{}, verdict.Fail(verdict.NotRun, verdict.Stopping, "the instance has stopped")
	}
	select {
	case d := <-cmd.reply:
		switch a := d.action.(type) {
		case decide.Place:
			p := Placement{Upstream: a.Upstream, Limited: a.Limited, Brittle: a.Brittle, Explanation: a.Explanation, Leaving: d.leaving}
			if a.Coordinator.IsValid() {
				p.Addr, p.Detour, p.Admits = a.Coordinator, true, true
			}
			return p, nil
		case decide.Refuse:
			return Placement{}, verdict.FailAt(verdict.NotRun, a.Reason, a.RetryAt, "%s", a.Explanation)
		}
	case <-ctx.Done():
		return Placement{}, verdict.ContextEnded(ctx, verdict.NotRun, "before an upstream had room")
	case <-c.stopped:
	}
	return Placement{}, verdict.Fail(verdict.NotRun, verdict.Stopping, "the instance has stopped")
}

// subscribe returns the channel that receives the upstream's status when it
// leaves. An upstream that is already leaving is reported immediately.
func (c *Controller) subscribe(place decide.Place) <-chan upstream.Status {
	r := &run{upstream: place.Upstream.Name, leaving: make(chan upstream.Status, 1)}
	if c.scheduler.IsMoving(place.ID) {
		r.source = c.runs[place.ID].origin()
	}
	c.runs[place.ID] = r
	if status, ok := c.directory.Find(r.upstream); ok && status.State >= upstream.Draining {
		r.leaving <- status
	}
	return r.leaving
}

// origin returns the run where the request is executed, also while it is being moved.
func (r *run) origin() *run {
	for r != nil && r.source != nil {
		r = r.source
	}
	return r
}

// Answered reports that the header of a placed stream has arrived.
func (c *Controller) Answered(id ident.Request) {
	c.send(schedulerEventCommand{decide.Answered{ID: id}})
}

// Progress reports the number of tokens that a placed request has generated so
// far, and its pace since the previous report.
func (c *Controller) Progress(id ident.Request, tokens int, pace decide.Pace) {
	c.send(schedulerEventCommand{decide.Progressed{ID: id, Tokens: tokens, Pace: pace}})
}

// EndMove ends a move. If moved is true, the request has moved to its
// destination; otherwise it remains on its source.
func (c *Controller) EndMove(id ident.Request, moved bool) {
	c.send(moveEndedCommand{decide.MoveEnded{ID: id, Moved: moved}})
}

// End reports that a request is finished.
func (c *Controller) End(id ident.Request, tokens int, o verdict.Outcome) {
	c.send(endCommand{decide.Ended{ID: id, Tokens: tokens, Outcome: o}})
}

// ReportFailure reports that a request failed on an upstream.
func (c *Controller) ReportFailure(id ident.Request, name string, r verdict.Reason) {
	c.send(schedulerEventCommand{decide.Failed{ID: id, Upstream: name, Reason: r}})
}

// HandleReport forwards an upstream's load report to the scheduler.
func (c *Controller) HandleReport(name string, r decide.Report) {
	c.send(schedulerEventCommand{decide.ReportReceived{Upstream: name, Report: r}})
}

// ReportLimit forwards the limit that an upstream declared in a response, or that it
// declared none.
func (c *Controller) ReportLimit(r decide.LimitReported) { c.send(schedulerEventCommand{r}) }

// ReportPace forwards how long work takes at an engine, as it declared.
func (c *Controller) ReportPace(r decide.PaceReported) { c.send(schedulerEventCommand{r}) }

// ReportCold forwards for how long an upstream declared that it is cold.
func (c *Controller) ReportCold(r decide.ColdReported) { c.send(schedulerEventCommand{r}) }

// ReportPushBack forwards the time before which an upstream wants no requests.
func (c *Controller) ReportPushBack(e decide.PushedBack) { c.send(schedulerEventCommand{e}) }

// ReportBrittle forwards what an upstream declared in a response about the rejections that
// it bears.
func (c *Controller) ReportBrittle(e decide.BrittleReported) { c.send(schedulerEventCommand{e}) }

// ReportCoordinatorFailed reports that a request could not be sent through the coordinator
// of an upstream.
func (c *Controller) ReportCoordinatorFailed(e decide.CoordinatorFailed) {
	c.send(schedulerEventCommand{e})
}

// HandleBrittle forwards another instance's notice of brittle upstreams to the scheduler.
func (c *Controller) HandleBrittle(n decide.BrittleNotice) {
	c.send(schedulerEventCommand{decide.BrittleNoticeReceived{Notice: n}})
}

// SetMembers sets the instances of the local data centre that can coordinate upstreams.
func (c *Controller) SetMembers(e decide.MembersChanged) { c.send(schedulerEventCommand{e}) }

// ReportEnded reports that the process of an engine has ended.
func (c *Controller) ReportEnded(e decide.UpstreamEnded) { c.send(schedulerEventCommand{e}) }

// HandleCrash forwards another instance's report of a crash to the scheduler.
func (c *Controller) HandleCrash(crash containment.Crash) {
	c.send(schedulerEventCommand{decide.CrashReceived{Crash: crash}})
}

// HandleFinding forwards what another instance knows of a trait of requests to the
// scheduler.
func (c *Controller) HandleFinding(f containment.Finding) {
	c.send(schedulerEventCommand{decide.FindingReceived{Finding: f}})
}

// HandleNotice forwards a notice from another instance to the scheduler.
func (c *Controller) HandleNotice(n decide.Notice) {
	c.send(schedulerEventCommand{decide.NoticeReceived{Notice: n}})
}

// HandleLimit forwards another instance's notice of an upstream's limit to the scheduler.
func (c *Controller) HandleLimit(n decide.LimitNotice) {
	c.send(schedulerEventCommand{decide.LimitNoticeReceived{Notice: n}})
}

// SetRegions sets the regions of the data centres.
func (c *Controller) SetRegions(r routing.Regions) { c.send(setRegionsCommand{r}) }

// SetInstances sets the number of live instances, including this one.
func (c *Controller) SetInstances(n int) { c.send(setInstancesCommand{n}) }

// LimitRetries sets the limits of repeats, of which the named instance takes its part.
func (c *Controller) LimitRetries(l decide.RetryLimits, instance string) {
	c.send(limitRetriesCommand{l, instance})
}

// RetryBudgets returns the budgets of all services.
func (c *Controller) RetryBudgets() []decide.RetryBudget {
	return query(context.Background(), c, func(now time.Time) []decide.RetryBudget { return c.scheduler.RetryBudgets(now) })
}

// RepeatCounts returns the numbers of repeats of all services.
func (c *Controller) RepeatCounts() []decide.RepeatCount {
	return query(context.Background(), c, func(time.Time) []decide.RepeatCount { return c.scheduler.RepeatCounts() })
}

// UpdateTable submits a routing table, which becomes active if it is newer.
// The source is the name of the peer or store that it comes from.
func (c *Controller) UpdateTable(d routing.Document, source string) {
	c.send(updateTableCommand{d, source})
}

// UpdateList submits the changes of the list of upstreams up to a position, or
// the complete list if complete is true. Revision 0 keeps the current position.
func (c *Controller) UpdateList(items []upstream.Item, at history.Position, complete bool, source upstream.Source) {
	c.send(updateListCommand{items, at, complete, source})
}

// Loads returns the known loads of up to limit engines of a data centre, those with
// the most room, or nil if the context ends first.
func (c *Controller) Loads(ctx context.Context, dataCentre string, limit int) []decide.Load {
	return query(ctx, c, func(now time.Time) []decide.Load { return c.scheduler.Loads(now, dataCentre, limit) })
}

// SetListUnreadable reports that the latest attempt to read the list failed.
func (c *Controller) SetListUnreadable() { c.send(listUnreadableCommand{}) }

// ReportLeaving reports that an incarnation of an upstream, identified by its
// start time, is leaving.
func (c *Controller) ReportLeaving(id string, startUnixMS int64, leavesAt time.Time, source upstream.Source) {
	c.send(leavingCommand{id, startUnixMS, leavesAt, source})
}

// ReportMisdirected reports that another incarnation responds at the address
// of an upstream.
func (c *Controller) ReportMisdirected(id string, startUnixMS int64) {
	c.send(misdirectedCommand{id, startUnixMS})
}
