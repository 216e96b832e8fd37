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
	// reportInterval is the time between two looks at an upstream's load.
	reportInterval = 500 * time.Millisecond
	// sharedTurns is how many intervals pass between two looks at an upstream
	// whose report goes out with the heartbeats, one a second.
	sharedTurns = 2
	// freshLimit is the age up to which a report is passed on to peers.
	freshLimit = 2 * time.Second
	// pollBacklog is how many upstreams may wait to be asked at once.
	pollBacklog = 16
)

func init() {
	kernel.Register(kernel.Plugin{Name: "engine", Stage: kernel.StageUpstream, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	client := NewClient(rt.Settings)
	loads := &loadReports{rt: rt, client: client, own: map[string]member.Load{}, asked: make(chan decide.Upstream, pollBacklog)}
	rt.Provide(client)
	rt.Provide(loads)
	rt.OnAction(loads.watch)
	return []kernel.Actor{{Name: "load reports", Run: loads.run}, {Name: "load reports at once", Run: loads.runAsked}}, nil
}

// loadReports asks upstreams for their load and keeps the answers for the peers.
type loadReports struct {
	rt     *kernel.Runtime
	client *Client
	// asked holds upstreams to be asked at once.
	asked chan decide.Upstream

	mu  sync.Mutex
	own map[string]member.Load
}

// watch runs on the control goroutine.
func (l *loadReports) watch(action control.Action) {
	if poll, ok := action.(control.PollUpstream); ok {
		select {
		case l.asked <- poll.Upstream:
		default:
		}
	}
}

// FreshLoads returns the reports that this instance asked for itself of late.
func (l *loadReports) FreshLoads() []member.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	var fresh []member.Load
	for name, load := range l.own {
		if time.Since(load.Report.TakenAt) > freshLimit {
			delete(l.own, name)
			continue
		}
		fresh = append(fresh, load)
	}
	return fresh
}

// loadWire is an upstream's load report. Engines and plain services send the
// same shape; what a service doesn't have is zero.
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
	// Unread holds generations under way that nobody reads.
	Unread []unreadWire `json:"unread"`
}

// run asks the upstreams that fall to this instance for their load.
func (l *loadReports) run(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		var group sync.WaitGroup
		if snapshot := l.rt.Snapshot(); !snapshot.PollingShared || turn%sharedTurns == 0 {
			for _, u := range snapshot.PolledUpstreams {
				group.Go(func() { l.report(ctx, u) })
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

// runAsked asks upstreams that something was heard of.
func (l *loadReports) runAsked(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-l.asked:
			l.report(ctx, u)
		}
	}
}

func (l *loadReports) report(ctx context.Context, u decide.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	response, err := l.client.send(ctx, http.MethodGet, url(u.Addr, "/load"), nil)
	if err != nil {
		l.rt.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: u.Name, Reason: verdict.Of(err).Reason}})
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
	l.own[u.Name] = load
	l.mu.Unlock()
	l.rt.Send(control.SchedulerEvent{Event: decide.ReportReceived{Upstream: u.Name, Report: load.Report}})
	l.cancelOrphans(ctx, u, wire.Unread)
}
