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

// Runtime is the plug-ins' interface to the instance.
type Runtime struct {
	Settings settings.Settings
	Home     ident.Home
	Keyring  *ticket.Keyring
	Log      *event.Log
	Trail    *audit.Trail
	// Requests counts the open requests, which the planned stop waits for.
	Requests RequestTracker

	// parts are the arguments of Provide, and watchers the callbacks of OnAction.
	parts    []any
	watchers []func(control.Action)
	// handovers and drainers are steps of the planned stop: see OnHandOver and
	// OnDrain.
	handovers, drainers []func(context.Context)
	snapshot            atomic.Pointer[control.Snapshot]
	// sequence is the sequence of the latest request.
	sequence atomic.Uint64
	// events queues events for the control goroutine.
	events chan envelope
	// stopped is closed when the control goroutine ends.
	stopped chan struct{}
}

// envelope is an event queued for the control goroutine.
type envelope struct {
	event control.Event
	// reply, if not nil, receives the scheduler's only decision about the request
	// with this id.
	id    ident.Request
	reply chan<- decide.Action
}

// Provide makes part available to Find in the plug-ins of later stages.
func (rt *Runtime) Provide(part any) { rt.parts = append(rt.parts, part) }

// OnAction registers a callback for the actions of the control state. The callback
// runs on the control goroutine, so it must not block.
func (rt *Runtime) OnAction(watch func(control.Action)) { rt.watchers = append(rt.watchers, watch) }

// OnHandOver adds a step to the planned stop. The step runs once new requests are
// refused and no call is open. Streams may still be open.
func (rt *Runtime) OnHandOver(step func(context.Context)) { rt.handovers = append(rt.handovers, step) }

// OnDrain adds a step to the planned stop. The step runs once no request is open.
func (rt *Runtime) OnDrain(step func(context.Context)) { rt.drainers = append(rt.drainers, step) }

// Snapshot returns the latest published control state.
func (rt *Runtime) Snapshot() *control.Snapshot { return rt.snapshot.Load() }

// Backlog returns the number of events queued for the control goroutine.
func (rt *Runtime) Backlog() int { return len(rt.events) }

// NewRequest returns a new request id of this incarnation.
func (rt *Runtime) NewRequest() ident.Request {
	return ident.Request{Home: rt.Home, Sequence: rt.sequence.Add(1)}
}

// Send queues an event for the control goroutine. After the instance has stopped
// the event is dropped.
func (rt *Runtime) Send(e control.Event) {
	select {
	case rt.events <- envelope{event: e}:
	case <-rt.stopped:
	}
}

// Place submits the request to the scheduler and waits until it is placed on an
// upstream. If it is not placed, the error contains its outcome. The caller must send
// a decide.Ended event for each placed request.
func (rt *Runtime) Place(ctx context.Context, r decide.Request) (decide.Place, error) {
	reply := make(chan decide.Action, 1)
	select {
	case rt.events <- envelope{control.SchedulerEvent{Event: decide.Arrived{Request: r}}, r.ID, reply}:
	case <-rt.stopped:
		return decide.Place{}, verdict.Fail(verdict.NotRun, verdict.Stopping, "the instance has stopped")
	}
	select {
	case action := <-reply:
		switch action := action.(type) {
		case decide.Place:
			return action, nil
		case decide.Refuse:
			return decide.Place{}, verdict.FailAt(verdict.NotRun, action.Reason, action.RetryAt, "%s", action.Explanation)
		}
	case <-ctx.Done():
		err := verdict.ContextEnded(ctx, verdict.NotRun, "before the request was placed")
		rt.Send(control.SchedulerEvent{Event: decide.Ended{ID: r.ID, Outcome: verdict.OutcomeOf(err)}})
		return decide.Place{}, err
	case <-rt.stopped:
	}
	return decide.Place{}, verdict.Fail(verdict.NotRun, verdict.Stopping, "the instance has stopped")
}

// Admission is the result of RequestTracker.Begin.
type Admission uint8

const (
	// Admitted means that the request was counted and that End must be called when
	// it ends.
	Admitted Admission = iota
	// Full means that the request is refused, because as many requests are open as
	// the settings allow.
	Full
	// Stopping means that the request is refused because of the planned stop.
	Stopping
)

// RequestTracker counts the open requests and limits their number.
type RequestTracker struct {
	mu    sync.Mutex
	limit int
	// open counts all open requests, streams the open requests of kind Stream.
	open    int
	streams int
	// closed is true once new requests are refused.
	closed bool
	// callsDone is closed once no call is open, and allDone once no request is open.
	callsDone, allDone chan struct{}
}

// RequestKind determines how long the planned stop waits for a request.
type RequestKind uint8

const (
	// Call is a request that ends by its own deadline.
	Call RequestKind = iota
	// Stream is a request that can last as long as its generation.
	Stream
)

// Begin counts a new request, or returns the reason for refusing it.
func (t *RequestTracker) Begin(k RequestKind) Admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed:
		return Stopping
	case t.open >= t.limit:
		return Full
	}
	t.open++
	if k == Stream {
		t.streams++
	}
	return Admitted
}

// End counts an admitted request as ended. The kind must be the one given to Begin.
func (t *RequestTracker) End(k RequestKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open--
	if k == Stream {
		t.streams--
	}
	t.signal()
}

// signal closes callsDone and allDone once their conditions are met during a planned
// stop.
func (t *RequestTracker) signal() {
	if !t.closed {
		return
	}
	if t.open == t.streams {
		closeOnce(t.callsDone)
	}
	if t.open == 0 {
		closeOnce(t.allDone)
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Open returns the number of open requests.
func (t *RequestTracker) Open() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// close makes Begin refuse new requests. The returned channels are closed once no
// call is open and once no request is open.
func (t *RequestTracker) close() (callsDone, allDone <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.callsDone, t.allDone = make(chan struct{}), make(chan struct{})
	t.signal()
	return t.callsDone, t.allDone
}

// controlTick is the interval between Tick events of the control state.
const controlTick = 100 * time.Millisecond

// pauseThreshold is the gap between two events above which the process counts as
// having been paused.
const pauseThreshold = 2 * time.Second

// runControl runs the control goroutine. No other goroutine accesses state.
func (rt *Runtime) runControl(ctx context.Context, state *control.State) error {
	defer close(rt.stopped)
	ticker := time.NewTicker(controlTick)
	defer ticker.Stop()
	replies := map[ident.Request]chan<- decide.Action{}
	lastEventAt := time.Now()
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
		// A pause is reported before the event that follows it, so that the event
		// is not handled with a state from before the pause.
		if gap := now.Sub(lastEventAt); gap > pauseThreshold {
			rt.apply(state.Step(now, control.Paused{Gap: gap}), replies)
		}
		lastEventAt = now
		if e.reply != nil {
			replies[e.id] = e.reply
		}
		if ended, ok := endedRequest(e.event); ok {
			delete(replies, ended)
		}
		rt.apply(state.Step(now, e.event), replies)
	}
}

// endedRequest returns the id of the request that the event ends, if any.
func endedRequest(e control.Event) (ident.Request, bool) {
	if scheduling, ok := e.(control.SchedulerEvent); ok {
		if ended, ok := scheduling.Event.(decide.Ended); ok {
			return ended.ID, true
		}
	}
	return ident.Request{}, false
}

// apply carries out the actions of the control state. replies holds the reply
// channels of the Place calls that wait for a decision.
func (rt *Runtime) apply(actions []control.Action, replies map[ident.Request]chan<- decide.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case control.Publish:
			rt.snapshot.Store(a.Snapshot)
		case control.Record:
			rt.Trail.Append(a.ID, "", a.Change)
			rt.Log.Emit(a.ID, "record", a.Change)
		case control.SchedulerAction:
			deliver(a.Action, replies)
		}
		for _, watch := range rt.watchers {
			watch(action)
		}
	}
}

// deliver sends the scheduler's decision to the Place call that waits for it.
func deliver(action decide.Action, replies map[ident.Request]chan<- decide.Action) {
	var id ident.Request
	switch a := action.(type) {
	case decide.Place:
		id = a.ID
	case decide.Refuse:
		id = a.ID
	}
	if reply, ok := replies[id]; ok {
		reply <- action
		delete(replies, id)
	}
}
