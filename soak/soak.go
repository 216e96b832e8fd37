package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mangoloft/pause"
	"mangoloft/platform/standin"
)

const (
	callers     = 16
	faultLines  = 3
	healTime    = 4 * time.Second
	versionPoll = 200 * time.Millisecond
)

// Run plays a soak and returns what it counted. An error is of the soak itself.
func Run(ctx context.Context, plan Plan) (Figures, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &world{
		plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1)), ctx: ctx, store: standin.NewStore(), ledger: &standin.Ledger{},
		servers: map[string]*host{}, sent: map[string]sentRequest{}, figures: Figures{Faults: map[string]int{}},
	}
	err := w.build()
	if err == nil {
		err = w.play(ctx)
	}
	cancel()
	w.close()
	w.group.Wait()
	w.check()
	slices.Sort(w.figures.Violations)
	return w.figures, err
}

// close ends what the soak started.
func (w *world) close() {
	for _, i := range w.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		i.store.Close()
	}
	if w.storeHTTP != nil {
		w.storeHTTP.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.servers {
		h.Stop()
		h.proxy.Close()
	}
}

// play runs callers and several lines of faults side by side, then heals all
// and asks for service.
func (w *world) play(ctx context.Context) error {
	if err := w.awaitService(ctx, startLimit); err != nil {
		return fmt.Errorf("before any fault: %w", err)
	}
	playing, stop := context.WithDeadline(ctx, w.plan.Until)
	defer stop()
	var group, watch sync.WaitGroup
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for _, i := range w.instances {
		watch.Go(func() { w.watchVersion(watching, i) })
	}
	for n := range callers {
		r := rand.New(rand.NewPCG(w.plan.Seed, uint64(100+n)))
		group.Go(func() { w.caller(playing, ctx, r, n) })
	}
	lines := faultLines
	if w.plan.NoFaults {
		lines = 0
	}
	for n := range lines {
		r := rand.New(rand.NewPCG(w.plan.Seed, uint64(200+n)))
		group.Go(func() { w.faultLine(playing, r) })
	}
	group.Wait()
	stopWatching()
	watch.Wait()
	pause.For(ctx, healTime)
	if err := w.awaitService(ctx, startLimit); err != nil {
		w.violation("after all faults have healed: %v", err)
	}
	return nil
}

func (w *world) faultLine(ctx context.Context, r *rand.Rand) {
	for {
		pause.For(ctx, someTime(r, 100*time.Millisecond, time.Second))
		if ctx.Err() != nil {
			return
		}
		f := faults[r.IntN(len(faults))]
		w.count(func(figures *Figures) { figures.Faults[f.name]++ })
		if err := f.play(w, ctx, r); err != nil {
			w.violation("the fault %s could not be played: %v", f.name, err)
		}
	}
}

// caller keeps its connections until their process is gone, and now and then
// opens new ones.
func (w *world) caller(playing, ctx context.Context, r *rand.Rand, n int) {
	client := newClient()
	for count := 0; playing.Err() == nil; count++ {
		if r.IntN(20) == 0 {
			client.CloseIdleConnections()
			client = newClient()
		}
		w.call(ctx, r, client, w.someInstance(r), fmt.Sprintf("s%d-c%d-%d", w.plan.Seed, n, count))
		pause.For(playing, someTime(r, time.Millisecond, 30*time.Millisecond))
	}
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// awaitService waits until every instance serves a push.
func (w *world) awaitService(ctx context.Context, limit time.Duration) error {
	until := time.Now().Add(limit)
	for n, i := range w.instances {
		for {
			id := fmt.Sprintf("s%d-probe%d-%d", w.plan.Seed, n, time.Now().UnixNano())
			status, err := w.probe(ctx, i, id)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("instance %s answers %d, %v", i.name, status, err)
			}
			if !pause.For(ctx, 100*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

func (w *world) probe(ctx context.Context, i *instance, id string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+"/push/x", nil)
	if err != nil {
		return 0, err
	}
	request.Host = hostName
	request.Header = standin.Call{ID: id, Key: apiKey, Within: 2 * time.Second}.Header()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// watchVersion holds that the routing table of one process never goes back.
func (w *world) watchVersion(ctx context.Context, i *instance) {
	var newest uint64
	starts := 0
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil {
		i.mu.Lock()
		before := i.starts
		i.mu.Unlock()
		version, err := readVersion(client, i)
		i.mu.Lock()
		after := i.starts
		i.mu.Unlock()
		if err == nil && before == after {
			if before == starts && version < newest {
				w.violation("instance %s went back from version %d to %d", i.name, newest, version)
			}
			newest, starts = version, before
		}
		pause.For(ctx, versionPoll)
	}
}

func readVersion(client *http.Client, i *instance) (uint64, error) {
	response, err := client.Get("http://" + i.info.String() + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(content), "mangoloft_table_version ")
	line, _, _ := strings.Cut(rest, "\n")
	version, err := strconv.ParseFloat(line, 64)
	return uint64(version), err
}

// check holds what ran against what callers were told.
func (w *world) check() {
	runs := map[string]int{}
	for _, e := range w.ledger.Executions() {
		runs[e.Request]++
		if e.Team != team {
			w.violation("request %s ran for team %q at %s, path %s", e.Request, e.Team, e.Server, e.Path)
		}
		if route := w.sent[e.Request].route; route != "" && (e.Service == modelService) != (route == "draft" || route == "tag") {
			w.violation("request %s of route %s ran at service %s", e.Request, route, e.Service)
		}
	}
	limits := map[string]int{"draft": 1, "push": 1, "tag": 2, "read": 2}
	for id, sent := range w.sent {
		if runs[id] > limits[sent.route] {
			w.violation("request %s of route %s ran %d times", id, sent.route, runs[id])
		}
		if notRun[sent.status] && runs[id] > 0 {
			w.violation("request %s of route %s was answered %d and ran", id, sent.route, sent.status)
		}
	}
}

// ErrInterrupted says that a soak was told to end before it had.
var ErrInterrupted = errors.New("interrupted")

// Print runs a soak and writes its figures.
func Print(ctx context.Context, plan Plan, out io.Writer) error {
	f, err := Run(ctx, plan)
	if ctx.Err() != nil {
		// What is seen once the soak is told to end says nothing of the instances.
		return ErrInterrupted
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "seed %d: %d requests, %d served, %d refused or failed, %d whole streams, faults %v\n", plan.Seed, f.Requests, f.Served, f.Refused, f.Streams, f.Faults)
	for _, v := range f.Violations {
		fmt.Fprintln(out, "VIOLATION:", v)
	}
	if len(f.Violations) > 0 {
		return fmt.Errorf("seed %d: %d violations", plan.Seed, len(f.Violations))
	}
	return nil
}
