package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"mangoloft/audit"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/settings"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

// Runtime is what plug-ins see of the instance.
type Runtime struct {
	Settings settings.Settings
	Home     ident.Home
	Keyring  *ticket.Keyring
	Log      *event.Log
	Trail    *audit.Trail
	// Requests counts the requests under way; the planned stop waits for them.
	Requests RequestTracker

	parts    []any
	watchers []func(control.Action)
	// handovers and drainers are steps of the planned stop.
	handovers, drainers []func(context.Context)
	snapshot            atomic.Pointer[control.Snapshot]
	sequence            atomic.Uint64
	events              chan envelope
	stopped             chan struct{}
}

// envelope is an event on its way to the control goroutine.
type envelope struct {
	event control.Event
	// reply gets the scheduler's decision about the request id, once.
	id    ident.Request
	reply chan<- decide.Action
}

// Provide offers a part to the plug-ins of later stages.
func (rt *Runtime) Provide(part any) { rt.parts = append(rt.parts, part) }

// OnAction adds a watcher of actions. It runs on the control goroutine, so it
// must not block.
func (rt *Runtime) OnAction(watch func(control.Action)) { rt.watchers = append(rt.watchers, watch) }

// OnHandOver adds a step to the planned stop, run when no new request is taken
// and no call is under way any more. Streams may still be.
func (rt *Runtime) OnHandOver(step func(context.Context)) { rt.handovers = append(rt.handovers, step) }

// OnDrain adds a step to the planned stop, run when no request is under way
// any more.
func (rt *Runtime) OnDrain(drain func(context.Context)) { rt.drainers = append(rt.drainers, drain) }

// Snapshot returns the latest published control state.
func (rt *Runtime) Snapshot() *control.Snapshot { return rt.snapshot.Load() }

// Backlog returns how many events wait for the control goroutine.
func (rt *Runtime) Backlog() int { return len(rt.events) }

// NewRequest returns a request id of this incarnation.
func (rt *Runtime) NewRequest() ident.Request {
	return ident.Request{Home: rt.Home, Sequence: rt.sequence.Add(1)}
}

// Send gives the control goroutine an event. It is dropped when the instance
// has stopped.
func (rt *Runtime) Send(e control.Event) {
	select {
	case rt.events <- envelope{event: e}:
	case <-rt.stopped:
	}
}

// Place asks for a place and waits for the decision. The error carries the
// outcome of a request that gets none. A request that was placed must end
// with an event decide.Ended.
func (rt *Runtime) Place(ctx context.Context, r decide.Request) (decide.Place, error) {
	reply := make(chan decide.Action, 1)
	select {
	case rt.events <- envelope{control.Scheduling{Event: decide.Arrived{Request: r}}, r.ID, reply}:
	case <-rt.stopped:
		return decide.Place{}, verdict.Fail(verdict.NotRun, verdict.Stopping, "the instance has stopped")
	}
	select {
	case action := <-reply:
		switch action := action.(type) {
		case decide.Place:
			return action, nil
		case decide.Refuse:
			return decide.Place{}, verdict.FailAt(verdict.NotRun, action.Reason, action.RetryAt, "%s", action.Why)
		}
	case <-ctx.Done():
	case <-rt.stopped:
	}
	outcome := verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.CallerGone}
	rt.Send(control.Scheduling{Event: decide.Ended{ID: r.ID, Outcome: outcome}})
	return decide.Place{}, verdict.Fail(outcome.Verdict, outcome.Reason, "the caller hung up before the request had a place")
}

// Admission says whether a request was counted in.
type Admission uint8

const (
	// Admitted requests must be counted out with End.
	Admitted Admission = iota
	// Full means that as many requests are under way as the settings allow.
	Full
	// Stopping means that the planned stop takes no more requests.
	Stopping
)

// RequestTracker counts the requests under way.
type RequestTracker struct {
	mu      sync.Mutex
	limit   int
	open    int
	streams int
	closed  bool
	// callsDone is closed once no call is under way, allDone once nothing is.
	callsDone, allDone chan struct{}
}

// RequestKind is what a request is for the planned stop.
type RequestKind uint8

const (
	// Call is a request whose end is bounded by its own deadline.
	Call RequestKind = iota
	// Stream is a request that may take as long as its generation does.
	Stream
)

// Begin counts a request in, unless the instance takes no more.
func (w *RequestTracker) Begin(k RequestKind) Admission {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.closed:
		return Stopping
	case w.open >= w.limit:
		return Full
	}
	w.open++
	if k == Stream {
		w.streams++
	}
	return Admitted
}

// End counts a request out.
func (w *RequestTracker) End(k RequestKind) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.open--
	if k == Stream {
		w.streams--
	}
	w.signal()
}

// signal tells the planned stop what is over.
func (w *RequestTracker) signal() {
	if !w.closed {
		return
	}
	if w.open == w.streams {
		closeOnce(w.callsDone)
	}
	if w.open == 0 {
		closeOnce(w.allDone)
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Open returns how many requests are under way.
func (w *RequestTracker) Open() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open
}

// close takes no more requests and returns channels that are closed once no
// call is under way, and once nothing is.
func (w *RequestTracker) close() (callsDone, allDone <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.callsDone, w.allDone = make(chan struct{}), make(chan struct{})
	w.signal()
	return w.callsDone, w.allDone
}

// controlTick is how often time passes for the control state.
const controlTick = 100 * time.Millisecond

// pauseLimit is the gap between two ticks from which the process counts as
// having been paused.
const pauseLimit = 2 * time.Second

// runControl is the control goroutine.
func (rt *Runtime) runControl(ctx context.Context, state *control.State) error {
	defer close(rt.stopped)
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	waiting := map[ident.Request]chan<- decide.Action{}
	lastTick := time.Now()
	for {
		var e envelope
		select {
		case <-ctx.Done():
			return nil
		case e = <-rt.events:
		case <-ticker.C:
			e = envelope{event: control.Tick{}}
		}
		now := time.Now()
		// The gap is looked at before the event that ended it, whichever that
		// is, so that nothing is decided on what was true before a pause.
		if gap := now.Sub(lastTick); gap > pauseLimit {
			rt.carryOut(state.Step(now, control.Paused{Gap: gap}), waiting)
		}
		lastTick = now
		if e.reply != nil {
			waiting[e.id] = e.reply
		}
		if ended, ok := endedRequest(e.event); ok {
			delete(waiting, ended)
		}
		rt.carryOut(state.Step(now, e.event), waiting)
	}
}

func endedRequest(e control.Event) (ident.Request, bool) {
	if scheduling, ok := e.(control.Scheduling); ok {
		if ended, ok := scheduling.Event.(decide.Ended); ok {
			return ended.ID, true
		}
	}
	return ident.Request{}, false
}

func (rt *Runtime) carryOut(actions []control.Action, waiting map[ident.Request]chan<- decide.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Publish:
			rt.snapshot.Store(a.Snapshot)
		case control.Record:
			rt.Trail.Append(a.ID, "", a.Change)
			rt.Log.Emit(a.ID, "record", a.Change)
		case control.Scheduled:
			reply(a.Action, waiting)
		}
		for _, watch := range rt.watchers {
			watch(action)
		}
	}
}

func reply(action decide.Action, waiting map[ident.Request]chan<- decide.Action) {
	var id ident.Request
	switch a := action.(type) {
	case decide.Place:
		id = a.ID
	case decide.Refuse:
		id = a.ID
	}
	if waiter, ok := waiting[id]; ok {
		waiter <- action
		delete(waiting, id)
	}
}
