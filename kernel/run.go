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
	// stepsLimit bounds the steps after the last call of a planned stop, and
	// those after its last request.
	stepsLimit = 10 * time.Second
	// outputLimit bounds the writing of what is left of the trail and the log.
	outputLimit = 2 * time.Second
	// eventBacklog is how many events may wait for the control goroutine.
	eventBacklog = 1024
)

// Run runs an entry instance until ctx ends and its planned stop is done, or
// until a part of it fails. Audit records go to trail, logs to logs.
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
		events:   make(chan envelope, eventBacklog), stopped: make(chan struct{}),
	}
	defer rt.closeOutput()
	for _, warning := range s.Warnings {
		rt.Log.Emit(event.SettingsWarning, "warning", warning)
	}
	rt.snapshot.Store(&control.Snapshot{})
	state := control.NewWith(s.Instance, s.DataCentre, newScheduler(s.DataCentre))

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

// startRecord is the audit record of an instance's start and stop.
type startRecord struct {
	Instance    string            `json:"instance"`
	DataCentre  string            `json:"data_centre"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

func (rt *Runtime) emit(id event.ID) {
	rt.Trail.Append(id, "", startRecord{rt.Settings.Instance, rt.Settings.DataCentre, rt.Home.Incarnation})
	rt.Log.Emit(id, "data_centre", rt.Settings.DataCentre, "incarnation", rt.Home.Incarnation.String())
}

func (rt *Runtime) closeOutput() {
	until := time.Now().Add(outputLimit)
	rt.Trail.Close(until)
	rt.Log.Close(until)
}

// drain is the planned stop: readiness falls, then no new request is taken,
// then the calls under way end by themselves, then what others need is handed
// over, without waiting for the streams, which end by themselves too.
func (rt *Runtime) drain(ctx context.Context) {
	rt.emit(event.InstanceStopping)
	rt.Send(control.StopRequested{})
	wait(ctx, time.Now().Add(time.Duration(rt.Settings.Limits.StopGraceMS)*time.Millisecond))
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
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(stepsLimit))
	defer cancel()
	for _, step := range steps {
		step(ctx)
	}
}

func wait(ctx context.Context, until time.Time) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(until)):
	}
}
