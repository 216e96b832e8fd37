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
	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/freshconn"
	"mangoloft/gateway"
	"mangoloft/gossip"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/pause"
	"mangoloft/probe"
	"mangoloft/reports"
	"mangoloft/telemetry"
	"mangoloft/upstream"
)

const (
	// balancerDetectTime is the time that the load balancer needs to detect that
	// the instance is not ready: two probes one second apart, plus their duration.
	balancerDetectTime = 2500 * time.Millisecond
	// stopMargin is the time before the end of the grace period at which the
	// process exits by itself.
	stopMargin = 400 * time.Millisecond
	// shutdownTime is the time after the end of the planned stop in which requests that were
	// just accepted are answered. It is shorter than stopMargin. In the last answerTime of it
	// those that are still in progress are interrupted.
	shutdownTime         = 200 * time.Millisecond
	answerTime           = 100 * time.Millisecond
	shutdownPollInterval = 5 * time.Millisecond
	// idleBeforeClose is the minimum idle time of a connection that a planned
	// stop closes.
	idleBeforeClose = 300 * time.Millisecond
	// stopPollInterval is the time between two checks for open requests and
	// connections during a planned stop.
	stopPollInterval = 50 * time.Millisecond
	// logFlushTimeout is the timeout for writing the remaining log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// reloadInterval is the time between two checks of the settings file, and
	// between two updates of what depends on them and on the size of the fleet.
	reloadInterval = 1 * time.Second
	// bodyMemoryShare is the share of the memory that the bodies of requests and responses
	// may use.
	bodyMemoryShare = 0.25
)

// Dependencies are the platform-specific parts of an instance.
type Dependencies struct {
	// Store returns a client of the store. The client calls addr for each call
	// to the store.
	Store    func(addr func() netip.AddrPort) catalog.Store
	Protocol gateway.Protocol
	Engines  gateway.EngineClient
	Decoder  gossip.Decoder
	// Dial opens connections to upstreams; nil for the network of the operating system.
	Dial freshconn.Dial
}

// instance is a running entry instance.
type instance struct {
	past         *past
	engineClient gateway.EngineClient
	// path is the path of the settings file.
	path         string
	settings     atomic.Pointer[Settings]
	home         ident.Home
	log          *event.Log
	controller   *dispatch.Controller
	peers        *gossip.Peers
	follower     *catalog.Follower
	reports      *reports.Poller
	prober       *probe.Prober
	gateway      *gateway.Gateway
	callerServer *callerServer
	metrics      *telemetry.Metrics
	// stopping reports whether the planned stop has begun.
	stopping atomic.Bool
}

// Run runs an instance with the settings at path until ctx ends and the planned
// stop is complete, or until one of its parts fails. A signal on reloads makes
// it reload the settings.
func Run(ctx context.Context, path string, reloads <-chan os.Signal, deps Dependencies, logs io.Writer) error {
	s, err := Load(path)
	if err != nil {
		return err
	}
	i := &instance{path: path, home: ident.Home{Peer: s.Listen.Peers, Incarnation: ident.NewIncarnation(time.Now())}}
	i.settings.Store(&s)
	i.log = event.NewLog(logs, s.Instance, time.Now)
	defer func() { i.log.Close(time.Now().Add(logFlushTimeout)) }()
	if err := i.assemble(s, deps); err != nil {
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

// assemble creates and connects the parts of the instance.
func (i *instance) assemble(s Settings, deps Dependencies) (err error) {
	i.controller = dispatch.New(s.DataCentre, i.log)
	i.controller.SetRegions(s.Regions)
	i.controller.FollowsOrders = func() bool { return i.settings.Load().Evacuation.applyTime() > 0 }
	i.peers, err = gossip.Listen(gossip.Options{
		Name: s.Instance, DataCentre: s.DataCentre, Listen: s.Listen.Peers, Control: s.Listen.Control, Incarnation: i.home.Incarnation,
		Seeds: func() []netip.AddrPort { return i.settings.Load().Seeds }, State: i.state, List: i.controller.List, Origin: i.origin, Decoder: deps.Decoder, Log: i.log,
	}, i.controller)
	if err != nil {
		return err
	}
	i.controller.SetAnnouncer(i.peers)
	i.follower = &catalog.Follower{
		Store: deps.Store(func() netip.AddrPort { return i.settings.Load().Store.Address }), Sink: i.controller, Decoder: deps.Decoder, Log: i.log,
		IsReader: i.peers.ShouldReadStore, Readers: i.peers.StoreReaders, ApplyTime: func() time.Duration { return i.settings.Load().Store.applyTime() },
		EvacuationTime: func() time.Duration { return i.settings.Load().Evacuation.applyTime() },
		HasTable:       func() bool { return i.controller.Snapshot().Document.Table != nil },
		ListPosition:   func() history.Position { return i.controller.Snapshot().ListPosition },
	}
	i.reports = &reports.Poller{Engines: deps.Engines, Sink: i.controller, Log: i.log, IsPoller: i.peers.IsPrimary, ListUnavailable: func() bool { return !i.peers.ListCurrent() }, Candidates: i.engines, Reread: i.follower.Reread}
	dial := deps.Dial
	if dial == nil {
		dial = gateway.NewDialer().DialContext
	}
	i.past = &past{instance: i, runs: map[string]map[string]string{}, runsAt: map[string]time.Time{}}
	i.engineClient = deps.Engines
	i.prober = &probe.Prober{Pools: i.controller, Dial: dial}
	i.metrics = telemetry.New()
	i.gateway = gateway.New(gateway.Options{
		Home: i.home, DataCentre: s.DataCentre, Dispatcher: i.controller, Protocol: deps.Protocol, Engines: deps.Engines, Origins: i.peers, Past: i.past, Members: i.peers, Dial: dial, IgnoresRanks: func() bool { return !i.settings.Load().Ranks.Enabled }, Log: i.log, Metrics: i.metrics,
		MaxBodyBytes: int64(bodyMemoryShare * s.Limits.MemoryMB * (1 << 20)),
	})
	i.metrics.RegisterGauges(i.metricsSource())
	i.callerServer, err = listenCallers(s.Listen.Callers, i.gateway, i.idleLimit)
	return err
}

// metricsSource returns the functions that supply the current values of the
// metrics.
func (i *instance) metricsSource() telemetry.Source {
	return telemetry.Source{
		OpenRequests: i.gateway.OpenRequests, PeersAlive: i.peers.Alive, FleetSize: i.peers.FleetSize, ControlBacklog: i.controller.Backlog,
		TableVersion: func() uint64 { return i.state().TableVersion }, ListRevision: func() uint64 { return i.state().ListPosition.Revision },
		LinesDropped: i.log.Dropped, StoreLost: i.follower.Unavailable, Ready: i.ready, Upstreams: i.upstreams,
		StoreCalls: i.follower.Calls, Datagrams: i.peers.Traffic, StoreEra: i.follower.Era, TableConfirmedAt: i.follower.TableConfirmedAt,
		ColdUpstreams:     i.controller.ColdUpstreams,
		ContainedParts:    func() int { return i.contained(containment.PromptParts) },
		ContainedRequests: func() int { return i.contained(containment.Requests) },
		Evacuated:         func() int { return len(i.controller.Snapshot().Evacuated) }, EvacuatedRequests: i.controller.EvacuatedRequests,
		UpstreamsAvoided: func() int { return i.controller.Snapshot().Avoided },
		UnevenServices:   i.controller.UnevenServices,
		RetryBudgets:     i.controller.RetryBudgets,
		RepeatCounts:     i.controller.RepeatCounts,
	}
}

// contained counts the contained traits of a kind.
func (i *instance) contained(kind containment.Kind) int {
	count := 0
	for _, f := range i.controller.Snapshot().Contained {
		if f.Kind == kind {
			count++
		}
	}
	return count
}

// upstreams counts the upstreams by state.
func (i *instance) upstreams() map[string]int {
	counts := map[string]int{}
	for _, status := range i.controller.Upstreams() {
		counts[status.State.String()]++
	}
	return counts
}

// engines returns the model engines of the instance's data centre.
func (i *instance) engines() []upstream.Status {
	snapshot := i.controller.Snapshot()
	if snapshot.Document.Table == nil {
		return nil
	}
	return slices.DeleteFunc(i.controller.Upstreams(), func(status upstream.Status) bool {
		service := snapshot.Document.Table.Services[status.Service]
		return service == nil || service.Engine == nil || status.DataCentre != i.settings.Load().DataCentre
	})
}

// origin returns the version that began a stream, if this instance knows it.
func (i *instance) origin(ctx context.Context, stream origin.Key) (string, bool) {
	known := i.controller.StreamOrigin(ctx, "", stream, time.Now())
	return known.Version, known.Recorded
}

// state returns the state that the instance shares with other instances.
func (i *instance) state() gossip.State {
	snapshot := i.controller.Snapshot()
	state := gossip.State{
		ListPosition: snapshot.ListPosition, StoreLost: i.follower.Unavailable(), ReadsStore: i.follower.ReadsList(), Table: snapshot.Document.Raw,
		Contained: snapshot.Contained, LostPools: snapshot.LostPools, Orders: snapshot.Orders,
	}
	if snapshot.Document.Table != nil {
		state.TableVersion = snapshot.Document.Table.Version
	}
	return state
}

// idleLimit returns the maximum idle time of a caller's connection; 0 if the
// instance has no routing table.
func (i *instance) idleLimit() time.Duration {
	if table := i.controller.Snapshot().Document.Table; table != nil {
		return table.Limits.IdleTimeout
	}
	return 0
}

// ready reports whether the instance accepts work from the load balancer.
func (i *instance) ready() bool {
	snapshot := i.controller.Snapshot()
	return !i.stopping.Load() && snapshot.Document.Table != nil && !snapshot.ListPosition.IsZero()
}

func (i *instance) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !i.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// run runs the parts of the instance until one of them returns, and then stops the
// others. The end of ctx begins the planned stop.
func (i *instance) run(ctx context.Context, s Settings, reloads <-chan os.Signal) error {
	var group run.Group
	actorCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	actors := []func(context.Context) error{
		i.controller.Run, i.peers.Receive, i.peers.Run, i.follower.FollowTable, i.follower.FollowList, i.reports.Run, i.callerServer.closeIdle, i.prober.Run,
		func(actorCtx context.Context) error { return i.watchSettings(actorCtx, reloads) },
		func(actorCtx context.Context) error { return i.plannedStop(ctx, actorCtx) },
		i.updateFleetLimits,
	}
	for _, actor := range actors {
		group.Add(func() error { return actor(actorCtx) }, func(error) { cancel() })
	}
	group.Add(func() error {
		err := ignoreServerClosed(i.callerServer.server.Serve(i.callerServer.listener))
		if i.stopping.Load() && errors.Is(err, net.ErrClosed) {
			// The planned stop has closed the listener, and waits for the last requests.
			<-actorCtx.Done()
			return nil
		}
		return err
	}, func(error) {
		i.gateway.Abort()
		i.callerServer.server.Close()
	})
	for addr, handler := range map[netip.AddrPort]http.Handler{
		s.Listen.Readiness: http.HandlerFunc(i.serveReadiness), s.Listen.Control: i.gateway.DetourHandler(i.peers.Handler()), s.Listen.Metrics: i.metrics,
	} {
		if !addr.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp4", addr.String())
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, ErrorLog: discardLog()}
		group.Add(func() error { return ignoreServerClosed(server.Serve(listener)) }, func(error) { server.Close() })
	}
	return group.Run()
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// discardLog returns a logger that discards the HTTP servers' own log lines, each
// of which reports a connection that a caller aborted.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// updateFleetLimits adapts the instance's parts of the limits that all instances keep together
// to the settings and to the number of instances.
func (i *instance) updateFleetLimits(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	for {
		s := i.settings.Load()
		i.controller.SetInstances(i.peers.FleetSize())
		i.controller.LimitRetries(decide.RetryLimits{Share: s.Retries.Share, Slack: s.Retries.Slack, Window: seconds(s.Retries.WindowSeconds)}, s.Instance)
		i.controller.SetRegions(s.Regions)
		i.controller.SetDataCentres(i.peers.DataCentres())
		i.controller.SetColdBounds(decide.ColdBounds(s.Cold))
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// watchSettings reloads the settings when the file has changed or a signal
// requests it. If they can't be read, the previous settings stay active.
func (i *instance) watchSettings(ctx context.Context, reloads <-chan os.Signal) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	var modTime time.Time
	if info, err := os.Stat(i.path); err == nil {
		modTime = info.ModTime()
	}
	for {
		requested := false
		select {
		case <-ctx.Done():
			return nil
		case <-reloads:
			requested = true
		case <-ticker.C:
		}
		info, err := os.Stat(i.path)
		if err == nil && !requested && info.ModTime().Equal(modTime) {
			continue
		}
		if err == nil {
			modTime = info.ModTime()
		}
		s, err := Load(i.path)
		if err != nil {
			i.log.EmitRateLimited(event.SettingsReadFailed, "error", err.Error())
			continue
		}
		i.settings.Store(&s)
		i.log.Emit(event.SettingsReloaded, "asked", requested)
	}
}

// plannedStop starts when ctx ends. It makes the instance not ready and closes idle
// connections, so that callers connect to other instances. It returns once no
// request is in progress, or shortly before the process would be killed. It also
// returns when actorCtx ends, because another part of the instance has returned.
func (i *instance) plannedStop(ctx, actorCtx context.Context) error {
	select {
	case <-ctx.Done():
	case <-actorCtx.Done():
		return nil
	}
	startedAt := time.Now()
	deadline := startedAt.Add(seconds(i.settings.Load().Stop.GraceSeconds) - stopMargin)
	i.stopping.Store(true)
	i.gateway.StopAt(deadline)
	i.gateway.Drain()
	i.peers.Stop()
	i.log.Emit(event.InstanceStopping, "open", i.gateway.OpenRequests(), "until", deadline.UTC().Format(time.RFC3339Nano))
	if !pause.Sleep(actorCtx, min(balancerDetectTime, time.Until(deadline))) {
		return nil
	}
	for time.Now().Before(deadline) {
		i.callerServer.idle.closeIdle(time.Now().Add(-idleBeforeClose))
		if i.gateway.OpenRequests() == 0 && i.callerServer.idle.count() == 0 {
			break
		}
		if !pause.Sleep(actorCtx, stopPollInterval) {
			return nil
		}
	}
	return i.shutDown(actorCtx, deadline.Add(shutdownTime))
}

// shutDown accepts no more connections, and waits until those that were accepted are closed,
// until the deadline at most. http.Server.Shutdown would not answer the requests that it has
// just read.
func (i *instance) shutDown(ctx context.Context, deadline time.Time) error {
	err := i.callerServer.listener.Close()
	// Between Accept and its registration by the server, a connection counts nowhere, so none
	// may be seen twice in a row.
	for unseen := 0; unseen < 2 && time.Now().Before(deadline); unseen++ {
		if i.callerServer.idle.openCount()+i.callerServer.listener.pending() > 0 {
			unseen = -1
		}
		if !pause.Sleep(ctx, shutdownPollInterval) {
			break
		}
		if time.Until(deadline) < answerTime {
			i.gateway.Interrupt()
		}
		i.callerServer.idle.closeIdle(time.Now().Add(-idleBeforeClose))
	}
	return err
}
