package kernel

import (
	"context"
	"io"
	"time"

	"github.com/oklog/run"

	"mangoloft/audit"
	"mangoloft/control"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/settings"
	"mangoloft/ticket"
)

const (
	// stepsTimeout is the timeout for all handover steps of a planned stop, which
	// run after the last call, and also for all its drain steps, which run after
	// the last request.
	stepsTimeout = 10 * time.Second
	// flushTimeout is the timeout for the final flush of the audit trail and the
	// log.
	flushTimeout = 2 * time.Second
	// eventQueueSize is the capacity of the control goroutine's event queue.
	eventQueueSize = 1024
)

// Run runs an entry instance until ctx is done and the planned stop has
// finished, or until an actor fails. It writes audit records to trail and log
// lines to logs.
func Run(ctx context.Context, s settings.Settings, trail, logs io.Writer) error {
	keyring, err := ticket.NewKeyring(s.Keys)
	if err != nil {
		return err
	}
	home := ident.Home{Peer: s.Advertise, Incarnation: ident.NewIncarnation(time.Now())}
	rt := &Runtime{
		Settings: s, Home: home, Keyring: keyring,
		Log:      event.NewLog(logs, s.Instance, time.Now),
		Trail:    audit.NewTrail(trail, s.Instance, home, time.Now),
		Requests: RequestTracker{limit: s.Limits.OpenRequests},
		events:   make(chan envelope, eventQueueSize), stopped: make(chan struct{}),
	}
	defer rt.closeOutput()
	for _, warning := range s.Warnings {
		rt.Log.Emit(event.SettingsWarning, "warning", warning)
	}
	rt.snapshot.Store(&control.Snapshot{})
	state := control.NewWithScheduler(s.Instance, s.DataCentre, newScheduler(s.DataCentre))

	var group run.Group
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	add := func(a Actor) {
		group.Add(func() error { return a.Run(base) }, func(error) { cancel() })
	}
	add(Actor{"control", func(ctx context.Context) error { return rt.runControl(ctx, state) }})
	if s.File != "" {
		add(Actor{"keys", func(ctx context.Context) error { return rt.watchKeys(ctx, settings.Load) }})
	}
	for _, plugin := range registered {
		actors, err := plugin.Start(rt)
		if err != nil {
			return err
		}
		for _, actor := range actors {
			add(actor)
		}
	}
	add(Actor{"planned stop", func(base context.Context) error {
		select {
		case <-ctx.Done():
			rt.drain(base)
		case <-base.Done():
		}
		return nil
	}})
	rt.emit(event.InstanceStarted)
	err = group.Run()
	rt.emit(event.InstanceStopped)
	return err
}

// lifecycleRecord is the audit record of an instance's start and stop.
type lifecycleRecord struct {
	Instance    string            `json:"instance"`
	DataCentre  string            `json:"data_centre"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

func (rt *Runtime) emit(id event.ID) {
	rt.Trail.Append(id, "", lifecycleRecord{rt.Settings.Instance, rt.Settings.DataCentre, rt.Home.Incarnation})
	rt.Log.Emit(id, "data_centre", rt.Settings.DataCentre, "incarnation", rt.Home.Incarnation.String())
}

func (rt *Runtime) closeOutput() {
	deadline := time.Now().Add(flushTimeout)
	rt.Trail.Close(deadline)
	rt.Log.Close(deadline)
}

// drain carries out the planned stop. The instance first reports that it is not
// ready. After the grace period it refuses new requests. Once the open calls
// have ended, the handover steps run; they don't wait for open streams. Once the
// streams have ended too, the drain steps run.
func (rt *Runtime) drain(ctx context.Context) {
	rt.emit(event.InstanceStopping)
	rt.Send(control.StopRequested{})
	sleepUntil(ctx, time.Now().Add(time.Duration(rt.Settings.Limits.StopGraceMS)*time.Millisecond))
	callsDone, allDone := rt.Requests.close()
	select {
	case <-callsDone:
	case <-ctx.Done():
		return
	}
	runSteps(ctx, rt.handovers)
	select {
	case <-allDone:
	case <-ctx.Done():
		return
	}
	runSteps(ctx, rt.drainers)
}

func runSteps(ctx context.Context, steps []func(context.Context)) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(stepsTimeout))
	defer cancel()
	for _, step := range steps {
		step(ctx)
	}
}

func sleepUntil(ctx context.Context, deadline time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(deadline)):
	}
}
