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
	callers        = 16
	faultInjectors = 3
	// recoveryTime is the time between the last fault and the final checks.
	recoveryTime        = 4 * time.Second
	versionPollInterval = 200 * time.Millisecond
	// applyTime is the time within which a published configuration must be in force.
	applyTime = 2 * time.Second
)

// Run runs a soak and returns its results. An error means that the soak itself
// failed; violations are part of the results.
func Run(ctx context.Context, plan Plan) (Results, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	env := &environment{
		plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1)), ctx: ctx, store: standin.NewStore(), executionLog: &standin.ExecutionLog{},
		servers: map[string]*proxiedServer{}, sentRequests: map[string]sentRequest{}, results: Results{Faults: map[string]int{}},
	}
	err := env.build()
	if err == nil {
		err = env.run(ctx)
	}
	cancel()
	env.close()
	env.group.Wait()
	env.checkExecutions()
	slices.Sort(env.results.Violations)
	return env.results, err
}

// close stops all processes and stand-ins.
func (env *environment) close() {
	for _, i := range env.instances {
		i.signal(syscall.SIGCONT)
		i.signal(syscall.SIGKILL)
		i.store.Close()
	}
	if env.storeHTTP != nil {
		env.storeHTTP.Close()
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, server := range env.servers {
		server.Crash()
		server.proxy.Close()
	}
}

// run runs the callers and several concurrent fault injectors until the plan's
// deadline, then waits for recovery and checks that every instance serves requests.
func (env *environment) run(ctx context.Context) error {
	if err := env.waitUntilServing(ctx, startTimeout); err != nil {
		return fmt.Errorf("before any fault: %w", err)
	}
	loadCtx, stop := context.WithDeadline(ctx, env.plan.Deadline)
	defer stop()
	var group, watch sync.WaitGroup
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for _, i := range env.instances {
		watch.Go(func() { env.watchTableVersion(watchCtx, i) })
	}
	for n := range callers {
		r := rand.New(rand.NewPCG(env.plan.Seed, uint64(100+n)))
		group.Go(func() { env.runCaller(loadCtx, ctx, r, n) })
	}
	injectors := faultInjectors
	if env.plan.NoFaults {
		injectors = 0
	}
	for n := range injectors {
		r := rand.New(rand.NewPCG(env.plan.Seed, uint64(200+n)))
		group.Go(func() { env.injectFaults(loadCtx, r) })
	}
	group.Wait()
	stopWatching()
	watch.Wait()
	pause.Sleep(ctx, recoveryTime)
	if err := env.waitUntilServing(ctx, startTimeout); err != nil {
		env.addViolation("after all faults have ended: %v", err)
	}
	r := rand.New(rand.NewPCG(env.plan.Seed, 300))
	err := env.checkRestore(ctx, r)
	if !env.plan.NoFaults {
		err = errors.Join(err, env.checkCrashes(ctx, r))
	}
	return err
}

// injectFaults injects random faults, one after the other, until ctx ends.
func (env *environment) injectFaults(ctx context.Context, r *rand.Rand) {
	for {
		pause.Sleep(ctx, randomDuration(r, 100*time.Millisecond, time.Second))
		if ctx.Err() != nil {
			return
		}
		f := faults[r.IntN(len(faults))]
		env.updateResults(func(results *Results) { results.Faults[f.name]++ })
		if err := f.inject(env, ctx, r); err != nil {
			env.addViolation("fault %s could not be injected: %v", f.name, err)
		}
	}
}

// runCaller sends requests, one after the other, until loadCtx ends. It keeps its
// connections open until their process exits, and replaces them at random times.
func (env *environment) runCaller(loadCtx, ctx context.Context, r *rand.Rand, n int) {
	client := newClient()
	for count := 0; loadCtx.Err() == nil; count++ {
		if r.IntN(20) == 0 {
			client.CloseIdleConnections()
			client = newClient()
		}
		env.sendRequest(ctx, r, client, env.randomInstance(r), fmt.Sprintf("s%d-c%d-%d", env.plan.Seed, n, count))
		pause.Sleep(loadCtx, randomDuration(r, time.Millisecond, 30*time.Millisecond))
	}
}

func newClient() *http.Client { return &http.Client{Transport: &http.Transport{}} }

// waitUntilServing waits until every instance responds to a push with status 200.
func (env *environment) waitUntilServing(ctx context.Context, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for n, i := range env.instances {
		for {
			id := fmt.Sprintf("s%d-probe%d-%d", env.plan.Seed, n, time.Now().UnixNano())
			status, err := env.probe(ctx, i, id)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s responds with status %d, error %v", i.name, status, err)
			}
			if !pause.Sleep(ctx, 100*time.Millisecond) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// probe sends a push to the instance and returns the status of the response.
func (env *environment) probe(ctx context.Context, i *instance, id string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+"/push/x", nil)
	if err != nil {
		return 0, err
	}
	request.Host = hostName
	request.Header = standin.CallerRequest{ID: id, Key: apiKey, Timeout: 2 * time.Second}.Header()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// watchTableVersion checks that the version of the routing table never decreases
// within one process.
func (env *environment) watchTableVersion(ctx context.Context, i *instance) {
	var newest uint64
	lastStarts := 0
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for ctx.Err() == nil {
		i.mu.Lock()
		startsBefore := i.starts
		i.mu.Unlock()
		version, err := readVersion(client, i)
		i.mu.Lock()
		startsAfter := i.starts
		i.mu.Unlock()
		if err == nil && startsBefore == startsAfter {
			if startsBefore == lastStarts && version < newest {
				env.addViolation("instance %s went back from version %d to %d", i.name, newest, version)
			}
			newest, lastStarts = version, startsBefore
		}
		pause.Sleep(ctx, versionPollInterval)
	}
}

// readVersion reads the version of the routing table from the instance's metrics.
func readVersion(client *http.Client, i *instance) (uint64, error) {
	response, err := client.Get("http://" + i.metrics.String() + "/metrics")
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

// checkExecutions compares the executions that the servers recorded with the
// responses that callers received.
func (env *environment) checkExecutions() {
	runs := map[string]int{}
	for _, e := range env.executionLog.Executions() {
		runs[e.Request]++
		if e.Team != team {
			env.addViolation("request %s ran for team %q on %s, path %s", e.Request, e.Team, e.Server, e.Path)
		}
		if route := env.sentRequests[e.Request].route; route != "" && (e.Service == modelService) != (route == "draft" || route == "tag") {
			env.addViolation("request %s of route %s ran on service %s", e.Request, route, e.Service)
		}
	}
	limits := map[string]int{"draft": 1, "push": 1, "tag": 2, "read": 2}
	for id, sent := range env.sentRequests {
		if runs[id] > limits[sent.route] {
			env.addViolation("request %s of route %s ran %d times", id, sent.route, runs[id])
		}
		if notRunStatuses[sent.status] && runs[id] > 0 {
			env.addViolation("request %s of route %s got status %d but ran", id, sent.route, sent.status)
		}
	}
}

// ErrInterrupted reports that a soak was cancelled before its end.
var ErrInterrupted = errors.New("interrupted")

// Print runs a soak and prints its results. It returns an error if there were
// violations.
func Print(ctx context.Context, plan Plan, out io.Writer) error {
	f, err := Run(ctx, plan)
	if ctx.Err() != nil {
		// Failures seen after the cancellation may be caused by it.
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
