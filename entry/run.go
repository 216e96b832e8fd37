package entry

import (
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"mangoloft/catalog"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/gateway"
	"mangoloft/gossip"
	"mangoloft/ident"
	"mangoloft/pause"
	"mangoloft/reports"
	"mangoloft/telemetry"
	"mangoloft/upstream"
)

const (
	// noticeTime is how long the balancer takes to see that the instance is
	// not ready: two questions a second apart, and what they take.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace the process ends by
	// itself.
	stopMargin = 400 * time.Millisecond
	// settleTime is how long a connection is idle before a stop closes it.
	settleTime = 300 * time.Millisecond
	stopPoll   = 50 * time.Millisecond
	// outputLimit bounds the writing of what is left of the log.
	outputLimit = 200 * time.Millisecond
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = 1 * time.Second
	// retryPart is the part of the fleet's retry budget that is used. The rest
	// is for instances that start again and forget what they sent.
	retryPart = 0.75
	// bodiesShare is the share of the memory that bodies of requests may fill.
	bodiesShare = 0.25
)

// Peripherals are what the instance speaks to by the platform's protocols.
type Peripherals struct {
	// Store returns a client of the store at the address that is asked for
	// with each call.
	Store    func(addr func() netip.AddrPort) catalog.Store
	Protocol gateway.Protocol
	Engines  gateway.Engines
	Decoder  gossip.Decoder
}

// instance is a running instance.
type instance struct {
	path     string
	settings atomic.Pointer[Settings]
	home     ident.Home
	log      *event.Log
	control  *dispatch.Controller
	peers    *gossip.Peers
	follower *catalog.Follower
	reports  *reports.Poller
	gateway  *gateway.Gateway
	callers  *callers
	figures  *telemetry.Metrics
	stopping atomic.Bool
}

// Run runs an instance with the settings at path until ctx ends and its planned
// stop is done, or until a part of it fails. A reload is asked for by reloads.
func Run(ctx context.Context, path string, reloads <-chan os.Signal, p Peripherals, logs io.Writer) error {
	s, err := Load(path)
	if err != nil {
		return err
	}
	i := &instance{path: path, home: ident.Home{Peer: s.Listen.Peers, Incarnation: ident.NewIncarnation(time.Now())}}
	i.settings.Store(&s)
	i.log = event.NewLog(logs, s.Instance, time.Now)
	defer func() { i.log.Close(time.Now().Add(outputLimit)) }()
	if err := i.assemble(s, p); err != nil {
		return err
	}
	i.log.Emit(event.InstanceStarted, "data_centre", s.DataCentre, "incarnation", i.home.Incarnation.String())
	err = i.run(ctx, s, reloads)
	i.log.Emit(event.InstanceStopped, "error", errorText(err))
	return err
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// assemble makes the parts and connects them.
func (i *instance) assemble(s Settings, p Peripherals) (err error) {
	i.control = dispatch.New(s.DataCentre, i.log)
	i.peers, err = gossip.Listen(gossip.Options{
		Name: s.Instance, DataCentre: s.DataCentre, Listen: s.Listen.Peers, Control: s.Listen.Control, Incarnation: i.home.Incarnation,
		Seeds: func() []netip.AddrPort { return i.settings.Load().Seeds }, State: i.state, Decoder: p.Decoder, Log: i.log,
	}, i.control)
	if err != nil {
		return err
	}
	i.control.SetAnnouncer(i.peers)
	i.follower = &catalog.Follower{
		Store: p.Store(func() netip.AddrPort { return i.settings.Load().Store.Address }), Sink: i.control, Decoder: p.Decoder, Log: i.log,
		IsReader: i.peers.ShouldReadStore, HasTable: func() bool { return i.control.Snapshot().Document.Table != nil },
		ListRevision: func() uint64 { return i.control.Snapshot().ListRevision },
	}
	i.reports = &reports.Poller{Engines: p.Engines, Sink: i.control, Log: i.log, IsPoller: i.peers.IsPrimary, ListUnavailable: i.follower.Unavailable, Candidates: i.engines, Reread: i.follower.Reread}
	i.figures = telemetry.New()
	i.gateway = gateway.New(gateway.Options{
		Home: i.home, Dispatcher: i.control, Protocol: p.Protocol, Engines: p.Engines, Log: i.log, Metrics: i.figures,
		MaxBodies: int64(bodiesShare * s.Limits.MemoryMB * (1 << 20)),
	})
	i.figures.RegisterGauges(i.source())
	i.callers, err = listenCallers(s.Listen.Callers, i.gateway, i.idleLimit)
	return err
}

// source is what the figures show of the instance at any moment.
func (i *instance) source() telemetry.Source {
	return telemetry.Source{
		OpenRequests: i.gateway.Open, PeersAlive: i.peers.Alive, ControlBacklog: i.control.Backlog,
		TableVersion: func() uint64 { return i.state().TableVersion }, ListRevision: func() uint64 { return i.state().ListRevision },
		LinesDropped: i.log.Dropped, StoreLost: i.follower.Unavailable, Ready: i.ready, Upstreams: i.upstreams,
	}
}

// upstreams counts the upstreams by state.
func (i *instance) upstreams() map[string]int {
	counts := map[string]int{}
	for _, b := range i.control.Snapshot().Upstreams {
		counts[b.State.String()]++
	}
	return counts
}

// engines returns the model engines of the instance's data centre.
func (i *instance) engines() []upstream.Status {
	snapshot := i.control.Snapshot()
	if snapshot.Document.Table == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Upstreams), func(b upstream.Status) bool {
		service := snapshot.Document.Table.Services[b.Service]
		return service == nil || service.Engine == nil || b.DataCentre != i.settings.Load().DataCentre
	})
}

// state is what other instances may ask for.
func (i *instance) state() gossip.State {
	snapshot := i.control.Snapshot()
	state := gossip.State{
		ListRevision: snapshot.ListRevision, StoreLost: i.follower.Unavailable(), Table: snapshot.Document.Raw, Items: snapshot.Items,
	}
	if snapshot.Document.Table != nil {
		state.TableVersion = snapshot.Document.Table.Version
	}
	return state
}

func (i *instance) idleLimit() time.Duration {
	if table := i.control.Snapshot().Document.Table; table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

// ready reports whether the instance asks the balancer for work.
func (i *instance) ready() bool {
	snapshot := i.control.Snapshot()
	return !i.stopping.Load() && snapshot.Document.Table != nil && snapshot.ListRevision > 0
}

func (i *instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (i *instance) run(ctx context.Context, s Settings, reloads <-chan os.Signal) error {
	var group run.Group
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	actors := []func(context.Context) error{
		i.control.Run, i.peers.Receive, i.peers.Run, i.follower.FollowTable, i.follower.FollowList, i.reports.Run, i.callers.sweep,
		func(base context.Context) error { return i.reload(base, reloads) },
		func(base context.Context) error { return i.stop(ctx, base) },
		i.retryBudget,
	}
	for _, actor := range actors {
		group.Add(func() error { return actor(base) }, func(error) { cancel() })
	}
	group.Add(func() error { return ended(i.callers.server.Serve(i.callers.listener)) }, func(error) { i.callers.server.Close() })
	for addr, handler := range map[netip.AddrPort]http.Handler{
		s.Listen.Readiness: http.HandlerFunc(i.serveReadiness), s.Listen.Control: i.peers.Handler(), s.Listen.Metrics: i.figures,
	} {
		if !addr.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headTimeout, ErrorLog: discardLog()}
		group.Add(func() error { return ended(server.Serve(listener)) }, func(error) { server.Close() })
	}
	return group.Run()
}

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// discardLog takes the servers' own lines, each of which tells of a connection
// that a caller broke off.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// retryBudget gives the instance its part of the budget that all share, which
// changes with their number.
func (i *instance) retryBudget(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		r := i.settings.Load().Retries
		i.control.LimitRetries(retryPart*r.Share, retryPart*r.Slack/float64(i.peers.Alive()+1))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reload reads the settings again when they have changed. What can't be read
// leaves the old ones in force.
func (i *instance) reload(ctx context.Context, reloads <-chan os.Signal) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var seen time.Time
	if info, err := os.Stat(i.path); err == nil {
		seen = info.ModTime()
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return nil
		case <-reloads:
			asked = true
		case <-ticker.C:
		}
		info, err := os.Stat(i.path)
		if err == nil && !asked && info.ModTime().Equal(seen) {
			continue
		}
		if err == nil {
			seen = info.ModTime()
		}
		s, err := Load(i.path)
		if err != nil {
			i.log.EmitRateLimited(event.SettingsUnread, "error", err.Error())
			continue
		}
		i.settings.Store(&s)
		i.log.Emit(event.SettingsReloaded, "asked", asked)
	}
}

// stop is the planned stop: readiness falls, callers are asked to use other
// connections, and the process ends once nothing is under way, or shortly
// before it would be killed.
func (i *instance) stop(ctx, base context.Context) error {
	select {
	case <-ctx.Done():
	case <-base.Done():
		return nil
	}
	began := time.Now()
	deadline := began.Add(seconds(i.settings.Load().Stop.GraceSeconds) - stopMargin)
	i.stopping.Store(true)
	i.gateway.Stop()
	i.peers.Stop()
	i.log.Emit(event.InstanceStopping, "open", i.gateway.Open(), "until", deadline.UTC().Format(time.RFC3339Nano))
	if !pause.For(base, min(noticeTime, time.Until(deadline))) {
		return nil
	}
	for time.Now().Before(deadline) {
		i.callers.idle.sweep(time.Now().Add(-settleTime))
		if i.gateway.Open() == 0 && i.callers.idle.count() == 0 {
			return nil
		}
		if !pause.For(base, stopPoll) {
			return nil
		}
	}
	return nil
}
