package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/ident"
)

// LeavingSource is the source that first announces to entry instances that an
// engine is leaving, which means that it accepts no new work.
type LeavingSource uint8

const (
	// LeavingFromEngine is the engine itself, with its load reports and refusals.
	LeavingFromEngine LeavingSource = iota
	// LeavingFromList is the instance list. It soon lists the engine as live again.
	LeavingFromList
)

// LeavingPlan configures a measurement of the requests that a leaving engine still
// receives.
type LeavingPlan struct {
	Bin                  string
	DataCentres, Entries int
	// Rounds is the number of rounds. In each, one engine leaves.
	Rounds int
	// Watch is the time for which a leaving engine is observed.
	Watch time.Duration
}

// LeavingResults are the measurements of leaving engines.
type LeavingResults struct {
	Instances int `json:"instances"`
	Rounds    int `json:"rounds"`
	// LastRequestMS contains, for each round, the time from the first announcement
	// to the last request that the engine received, refused or not. It is zero if
	// there was no request.
	LastRequestMS []int64 `json:"last_order_ms"`
	WorstMS       int64   `json:"worst_ms"`
	// GenerationRequests counts the requests that leaving engines received.
	GenerationRequests int `json:"orders"`
	// Started counts the streams that callers started during the measurement.
	Started int `json:"started"`
	// Failed counts the started streams that didn't complete.
	Failed int `json:"failed"`
	// SuccessorRequests counts the requests that the next incarnations received.
	SuccessorRequests int `json:"successor_orders"`
}

// GenerationRequestCount is the number of requests to start a generation that
// reached an engine, refused or not, and the time of the latest one.
type GenerationRequestCount struct {
	Count      int   `json:"count"`
	LastUnixMS int64 `json:"last_unix_ms"`
}

// GenerationRequests reads the number of generation requests of a simulated engine.
func (f *Fleet) GenerationRequests(ctx context.Context, engine *Process) (GenerationRequestCount, error) {
	content, err := f.Get(ctx, "http://"+engine.DirectAddr.String()+"/orders")
	if err != nil {
		return GenerationRequestCount{}, err
	}
	var count GenerationRequestCount
	return count, json.Unmarshal(content, &count)
}

// StartLeaving makes an engine refuse new work and report in its load report that
// it is leaving.
func (f *Fleet) StartLeaving(ctx context.Context, engine *Process) error {
	_, err := f.send(ctx, http.MethodPost, engine.DirectAddr, "/leave", nil)
	return err
}

// ReportsLeaving reports whether the entry instance's status lists the upstream as
// leaving. The instance then sends it no new work.
func (f *Fleet) ReportsLeaving(ctx context.Context, p *Process, upstream string) bool {
	var status struct {
		Upstreams []struct {
			Name    string `json:"name"`
			Leaving bool   `json:"leaving"`
		} `json:"upstreams"`
	}
	content, err := f.Get(ctx, "http://"+p.OperatorAddr.String()+"/status")
	if err != nil || json.Unmarshal(content, &status) != nil {
		return false
	}
	for _, u := range status.Upstreams {
		if u.Name == upstream {
			return u.Leaving
		}
	}
	return false
}

// streamLoad starts short streams on all entry instances.
type streamLoad struct {
	group sync.WaitGroup
	stop  context.CancelFunc

	mu              sync.Mutex
	started, failed int
}

const (
	// loadCallers is the number of concurrent callers of each entry instance.
	loadCallers = 4
	// loadPause is the pause of a caller between two streams.
	loadPause = 10 * time.Millisecond
)

func startStreamLoad(ctx context.Context, fleet *Fleet) *streamLoad {
	ctx, stop := context.WithCancel(ctx)
	l := &streamLoad{stop: stop}
	client := &http.Client{}
	for _, entry := range fleet.Entries {
		for range loadCallers {
			l.group.Go(func() {
				for sleepUntil(ctx, time.Now().Add(loadPause)) {
					l.stream(ctx, client, entry.Addr)
				}
			})
		}
	}
	return l
}

func (l *streamLoad) stream(ctx context.Context, client *http.Client, addr netip.AddrPort) {
	r := &Reader{Credential: Credential}
	err := r.Begin(ctx, client, addr, DraftClass, "output_tokens=30")
	if ctx.Err() != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started++
	if err != nil || !r.Done {
		l.failed++
	}
}

// end stops the load and returns the numbers of started and failed streams.
func (l *streamLoad) end() (started, failed int) {
	l.stop()
	l.group.Wait()
	return l.started, l.failed
}

// MeasureLeaving makes engines leave under load, although the instance list still
// or again lists them as live, and measures when each received its last request.
func MeasureLeaving(ctx context.Context, plan LeavingPlan, source LeavingSource) (LeavingResults, error) {
	dir, err := os.MkdirTemp("", "mangoloft-leaving-")
	if err != nil {
		return LeavingResults{}, err
	}
	defer os.RemoveAll(dir)
	fleet, err := Start(ctx, Plan{
		Bin: plan.Bin, Dir: dir, DataCentres: plan.DataCentres, Entries: plan.Entries, Engines: 2, Services: 1, Step: 2 * time.Millisecond,
	})
	defer fleet.Close()
	if err != nil {
		return LeavingResults{}, err
	}
	results := LeavingResults{Instances: len(fleet.Entries), Rounds: plan.Rounds}
	load := startStreamLoad(ctx, fleet)
	for round := range plan.Rounds {
		engine := fleet.Engines[round%len(fleet.Engines)]
		if err = results.round(ctx, fleet, engine, source, plan.Watch); err != nil {
			break
		}
	}
	results.Started, results.Failed = load.end()
	if len(results.LastRequestMS) > 0 {
		results.WorstMS = slices.Max(results.LastRequestMS)
	}
	return results, err
}

// round makes one engine leave, observes it, and replaces it by a new incarnation.
func (r *LeavingResults) round(ctx context.Context, fleet *Fleet, engine *Process, source LeavingSource, watch time.Duration) error {
	before, err := fleet.waitForGenerationRequest(ctx, engine, time.Now().Add(readyTimeout))
	if err != nil {
		return err
	}
	leavingAt := time.Now()
	if err := fleet.announceLeaving(ctx, engine, source); err != nil {
		return err
	}
	sleepUntil(ctx, leavingAt.Add(watch))
	after, err := fleet.GenerationRequests(ctx, engine)
	if err != nil {
		return err
	}
	r.GenerationRequests += after.Count - before.Count
	r.LastRequestMS = append(r.LastRequestMS, max(0, after.LastUnixMS-leavingAt.UnixMilli()))
	// Replace the incarnation that left by a new one.
	engine.Kill()
	if err := fleet.RestartUpstream(engine, ident.NewIncarnation(time.Now())); err != nil {
		return err
	}
	if err := fleet.PublishList(ctx); err != nil {
		return err
	}
	successor, err := fleet.waitForGenerationRequest(ctx, engine, time.Now().Add(readyTimeout))
	r.SuccessorRequests += successor.Count
	return err
}

// listedLeavingTime is the time for which the instance list marks an engine as
// leaving. Then the list is replaced by a stale one, with the engine as live.
const listedLeavingTime = 1500 * time.Millisecond

func (f *Fleet) announceLeaving(ctx context.Context, engine *Process, source LeavingSource) error {
	if source == LeavingFromEngine {
		return f.StartLeaving(ctx, engine)
	}
	engine.leaving = true
	if err := f.PublishList(ctx); err != nil {
		return err
	}
	sleepUntil(ctx, time.Now().Add(listedLeavingTime))
	engine.leaving = false
	return f.PublishList(ctx)
}

func (f *Fleet) waitForGenerationRequest(ctx context.Context, engine *Process, deadline time.Time) (GenerationRequestCount, error) {
	for {
		count, err := f.GenerationRequests(ctx, engine)
		if err == nil && count.Count > 0 {
			return count, nil
		}
		if time.Now().After(deadline) {
			return count, errorx.TimeoutElapsed.New("%s got no generation request: %v", engine.Name, err)
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return count, ctx.Err()
		}
	}
}

// PrintLeaving measures each source and prints one line of JSON for it.
func PrintLeaving(ctx context.Context, plan LeavingPlan, out io.Writer) error {
	for _, source := range []LeavingSource{LeavingFromEngine, LeavingFromList} {
		results, err := MeasureLeaving(ctx, plan, source)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(out).Encode(results); err != nil {
			return err
		}
	}
	return nil
}
