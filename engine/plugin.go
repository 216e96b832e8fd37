package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/member"
	"mangoloft/verdict"
)

const (
	// pollInterval is the time between two polls of an upstream's load.
	pollInterval = 500 * time.Millisecond
	// sharedIntervals is the number of poll intervals between two polls of an
	// upstream whose load report is shared with the peers through heartbeats,
	// which are sent once a second.
	sharedIntervals = 2
	// maxLoadAge is the age up to which a load report is shared with the peers.
	maxLoadAge = 2 * time.Second
	// pollQueueLength is the maximum number of queued immediate polls. Further
	// ones are dropped.
	pollQueueLength = 16
)

func init() {
	kernel.Register(kernel.Plugin{Name: "engine", Stage: kernel.StageUpstream, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	client := NewClient(rt.Settings)
	loads := &loadPoller{rt: rt, client: client, latest: map[string]member.Load{}, requested: make(chan decide.Upstream, pollQueueLength)}
	rt.Provide(client)
	rt.Provide(loads)
	rt.OnAction(loads.onAction)
	return []kernel.Actor{{Name: "load reports", Run: loads.run}, {Name: "immediate load reports", Run: loads.runRequested}}, nil
}

// loadPoller polls upstreams for their load and keeps the latest reports, which
// are shared with the peers.
type loadPoller struct {
	rt     *kernel.Runtime
	client *Client
	// requested queues the upstreams to poll immediately.
	requested chan decide.Upstream

	mu sync.Mutex
	// latest contains the latest report of each upstream, by its name.
	latest map[string]member.Load
}

// onAction queues an immediate poll if the action is a control.PollUpstream. It
// runs on the control goroutine, so it must not block.
func (l *loadPoller) onAction(action control.Action) {
	if poll, ok := action.(control.PollUpstream); ok {
		select {
		case l.requested <- poll.Upstream:
		default:
		}
	}
}

// FreshLoads returns the recent load reports that this instance polled itself.
func (l *loadPoller) FreshLoads() []member.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fresh []member.Load
	for name, load := range l.latest {
		if time.Since(load.Report.TakenAt) > maxLoadAge {
			delete(l.latest, name)
			continue
		}
		fresh = append(fresh, load)
	}
	return fresh
}

// loadWire is an upstream's load report. Engines and plain services use the same
// format; fields that don't apply to a service are zero.
type loadWire struct {
	Incarnation    string `json:"incarnation"`
	Leaving        bool   `json:"leaving"`
	TakenUnixMS    int64  `json:"taken_unix_ms"`
	Running        int    `json:"running"`
	Waiting        int    `json:"waiting"`
	UsedTokens     int    `json:"used_tokens"`
	CapacityTokens int    `json:"capacity_tokens"`
	StepMicros     int64  `json:"step_us"`
	Preemptions    uint64 `json:"preemptions"`
	// Unread contains the running generations that have no reader.
	Unread []readerlessWire `json:"unread"`
}

// run polls the upstreams that are assigned to this instance.
func (l *loadPoller) run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for interval := 0; ; interval++ {
		var group sync.WaitGroup
		if snapshot := l.rt.Snapshot(); !snapshot.PollingShared || interval%sharedIntervals == 0 {
			for _, u := range snapshot.PolledUpstreams {
				group.Go(func() { l.poll(ctx, u) })
			}
		}
		group.Wait()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// runRequested polls upstreams when an immediate poll is requested.
func (l *loadPoller) runRequested(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-l.requested:
			l.poll(ctx, u)
		}
	}
}

// poll requests an upstream's load report, and sends the report or the failure to
// the control state.
func (l *loadPoller) poll(ctx context.Context, u decide.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	response, err := l.client.send(ctx, http.MethodGet, url(u.Addr, "/load"), nil)
	if err != nil {
		l.rt.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: u.Name, Reason: verdict.OutcomeOf(err).Reason}})
		return
	}
	defer response.Body.Close()
	var wire loadWire
	if json.NewDecoder(io.LimitReader(response.Body, maxTokenBytes)).Decode(&wire) != nil {
		return
	}
	if incarnation, err := ident.ParseIncarnation(wire.Incarnation); err == nil && wire.Leaving {
		l.rt.Send(control.UpstreamLeaving{Mark: member.LeavingMark{Upstream: u.Name, Incarnation: incarnation}})
	}
	load := member.Load{Upstream: u.Name, Report: decide.Report{
		TakenAt: time.UnixMilli(wire.TakenUnixMS),
		Running: wire.Running, Waiting: wire.Waiting,
		UsedTokens: wire.UsedTokens, CapacityTokens: wire.CapacityTokens,
		StepTime:    time.Duration(wire.StepMicros) * time.Microsecond,
		Preemptions: wire.Preemptions,
	}}
	l.mu.Lock()
	l.latest[u.Name] = load
	l.mu.Unlock()
	l.rt.Send(control.SchedulerEvent{Event: decide.ReportReceived{Upstream: u.Name, Report: load.Report}})
	l.cancelOrphans(ctx, u, wire.Unread)
}
