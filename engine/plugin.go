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

// reportInterval is the time between two looks at an upstream's load.
const reportInterval = 500 * time.Millisecond

func init() {
	kernel.Register(kernel.Plugin{Name: "engine", Stage: kernel.StageUpstream, Start: start})
}

func start(rt *kernel.Runtime) ([]kernel.Actor, error) {
	client := NewClient(rt.Settings)
	rt.Provide(client)
	return []kernel.Actor{{Name: "load reports", Run: func(ctx context.Context) error {
		return watchLoad(ctx, rt, client)
	}}}, nil
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
}

// watchLoad asks every upstream of the own data centre for its load.
func watchLoad(ctx context.Context, rt *kernel.Runtime, client *Client) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		var group sync.WaitGroup
		for _, u := range rt.Snapshot().Upstreams {
			if u.DataCentre == rt.Settings.DataCentre {
				group.Go(func() { client.report(ctx, rt, u) })
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

func (c *Client) report(ctx context.Context, rt *kernel.Runtime, u decide.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	response, err := c.send(ctx, http.MethodGet, url(u.Addr, "/load"), nil)
	if err != nil {
		rt.Send(control.Scheduling{Event: decide.Failed{Upstream: u.Name, Reason: verdict.Of(err).Reason}})
		return
	}
	defer response.Body.Close()
	var wire loadWire
	if json.NewDecoder(io.LimitReader(response.Body, maxTokenBytes)).Decode(&wire) != nil {
		return
	}
	if incarnation, err := ident.ParseIncarnation(wire.Incarnation); err == nil && wire.Leaving {
		rt.Send(control.UpstreamLeaves{Mark: member.Mark{Upstream: u.Name, Incarnation: incarnation}})
	}
	rt.Send(control.Scheduling{Event: decide.Reported{Upstream: u.Name, Report: decide.Report{
		TakenAt: time.UnixMilli(wire.TakenUnixMS),
		Running: wire.Running, Waiting: wire.Waiting,
		UsedTokens: wire.UsedTokens, CapacityTokens: wire.CapacityTokens,
		StepTime:    time.Duration(wire.StepMicros) * time.Microsecond,
		Preemptions: wire.Preemptions,
	}}})
}
