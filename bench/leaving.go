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

// LeavingSource is where entry instances first read that an engine is leaving.
type LeavingSource uint8

const (
	// LeavingFromEngine is the engine itself, by its load report and refusals.
	LeavingFromEngine LeavingSource = iota
	// LeavingFromList is the instance list, which soon lists the engine as live again.
	LeavingFromList
)

// LeavingPlan configures a measurement of the requests that a leaving engine
// still gets.
type LeavingPlan struct {
	Bin                  string
	DataCentres, Entries int
	// Rounds is the number of times that an engine leaves, one after the other.
	Rounds int
	// Watch is how long an engine is observed after it began to leave.
	Watch time.Duration
}

// LeavingResults are the measurements of leaving engines.
type LeavingResults struct {
	Instances int `json:"instances"`
	Rounds    int `json:"rounds"`
	// LastRequestMS holds for each round the time from the first announcement of
	// leaving to the last request that the engine got, refused or not, and zero
	// if it got none.
	LastRequestMS []int64 `json:"last_order_ms"`
	WorstMS       int64   `json:"worst_ms"`
	// GenerationRequests counts the requests that leaving engines got in all rounds.
	GenerationRequests int `json:"orders"`
	// Started counts the streams that callers started meanwhile, Failed those
	// of them that didn't complete.
	Started int `json:"started"`
	Failed  int `json:"failed"`
	// SuccessorRequests counts the requests that the next incarnations got.
	SuccessorRequests int `json:"successor_orders"`
}

// GenerationRequestCount counts the requests to start a generation that reached an
// engine, refused or not.
type GenerationRequestCount struct {
	Count      int   `json:"count"`
	LastUnixMS int64 `json:"last_unix_ms"`
}

// GenerationRequests reads a simulated engine's count of requests.
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

// ReportsLeaving reports whether the entry instance's status shows the upstream as
// leaving, so that it gets no new work.
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
	// loadCallers is how many callers each entry instance has.
	loadCallers = 4
	// loadPause is a caller's pause between two streams.
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

// end stops the load and returns how many streams were started and how many failed.
func (l *streamLoad) end() (started, failed int) {
	l.stop()
	l.group.Wait()
	return l.started, l.failed
}

// MeasureLeaving makes engines leave under load while the instance list keeps
// listing them as live, and measures when each got its last request.
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
	figures := LeavingResults{Instances: len(fleet.Entries), Rounds: plan.Rounds}
	load := startStreamLoad(ctx, fleet)
	for round := range plan.Rounds {
		engine := fleet.Engines[round%len(fleet.Engines)]
		if err = figures.round(ctx, fleet, engine, source, plan.Watch); err != nil {
			break
		}
	}
	figures.Started, figures.Failed = load.end()
	if len(figures.LastRequestMS) > 0 {
		figures.WorstMS = slices.Max(figures.LastRequestMS)
	}
	return figures, err
}

// round makes one engine leave, observes it, and replaces it by its successor.
func (s *LeavingResults) round(ctx context.Context, fleet *Fleet, engine *Process, source LeavingSource, watch time.Duration) error {
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
	s.GenerationRequests += after.Count - before.Count
	s.LastRequestMS = append(s.LastRequestMS, max(0, after.LastUnixMS-leavingAt.UnixMilli()))
	// Replace the incarnation that left by the next one.
	engine.Kill()
	if err := fleet.RestartUpstream(engine, ident.NewIncarnation(time.Now())); err != nil {
		return err
	}
	if err := fleet.PublishList(ctx); err != nil {
		return err
	}
	successor, err := fleet.waitForGenerationRequest(ctx, engine, time.Now().Add(readyTimeout))
	s.SuccessorRequests += successor.Count
	return err
}

// listedLeavingTime is how long the instance list shows an engine as leaving
// before a stale copy of the list shows the engine as live again.
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

func (f *Fleet) waitForGenerationRequest(ctx context.Context, engine *Process, until time.Time) (GenerationRequestCount, error) {
	for {
		o, err := f.GenerationRequests(ctx, engine)
		if err == nil && o.Count > 0 {
			return o, nil
		}
		if time.Now().After(until) {
			return o, errorx.TimeoutElapsed.New("%s got no generation request: %v", engine.Name, err)
		}
		if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return o, ctx.Err()
		}
	}
}

// PrintLeaving measures both sources and prints one line of JSON for each.
func PrintLeaving(ctx context.Context, plan LeavingPlan, out io.Writer) error {
	for _, source := range []LeavingSource{LeavingFromEngine, LeavingFromList} {
		figures, err := MeasureLeaving(ctx, plan, source)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(out).Encode(figures); err != nil {
			return err
		}
	}
	return nil
}
