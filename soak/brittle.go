package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"mangoloft/pause"
	"mangoloft/platform/standin"
)

const (
	// contactTime is the time after which instances that were not disturbed must know what
	// any of them could notice.
	contactTime = 3 * time.Second
	// guiltyPath is the path of requests that crash the plain servers that run them.
	guiltyPath = "/read/guilty"
	// crashesToLearn is the number of crashes from which contactTime counts, and
	// excusedExecutions the number of later executions that are allowed.
	crashesToLearn, excusedExecutions = 3, 3
	// bearableRejections is the number of rejections in a second that a brittle server
	// bears, and brittleSlots the number of requests that it then runs.
	bearableRejections, brittleSlots = 3, 1
	// allowedFalls is 2 and a tenth of the plain servers.
	allowedFalls = 2 + plainServers/10
)

// handleCrash replaces a server that a request has crashed, or that fell over.
func (env *environment) handleCrash(id string) {
	env.mu.Lock()
	server := env.servers[id]
	env.crashes = append(env.crashes, time.Now())
	env.mu.Unlock()
	env.group.Go(func() {
		r := rand.New(rand.NewPCG(env.plan.Seed, uint64(time.Now().UnixNano())))
		if err := env.replaceServer(env.ctx, server, r, false); err != nil && env.ctx.Err() == nil {
			env.addViolation("server %s could not be replaced: %v", id, err)
		}
	})
}

// crashesSince returns the times of the crashes since a time.
func (env *environment) crashesSince(start time.Time) []time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	var crashes []time.Time
	for _, at := range env.crashes {
		if at.After(start) {
			crashes = append(crashes, at)
		}
	}
	return crashes
}

// repeatGuilty sends the same request, which crashes the servers that run it, to random
// instances for a time.
func (env *environment) repeatGuilty(ctx context.Context, r *rand.Rand, d time.Duration) error {
	client := newClient()
	defer client.CloseIdleConnections()
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; {
		if err := env.sendGuilty(ctx, client, env.randomInstance(r)); err != nil {
			return err
		}
		pause.Sleep(ctx, randomDuration(r, 100*time.Millisecond, 300*time.Millisecond))
	}
	return nil
}

func (env *environment) sendGuilty(ctx context.Context, client *http.Client, i *instance) error {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.callers.String()+guiltyPath, strings.NewReader("guilty"))
	if err != nil {
		return err
	}
	id := fmt.Sprintf("s%d-guilty-%d", env.plan.Seed, time.Now().UnixNano())
	request.Host = hostName
	request.Header = standin.CallerRequest{ID: id, Key: apiKey, Timeout: timeout}.Header()
	env.mu.Lock()
	env.sentRequests[id] = sentRequest{route: "read"}
	env.mu.Unlock()
	response, err := client.Do(request)
	if err != nil {
		return nil // Its instance may be down.
	}
	response.Body.Close()
	env.mu.Lock()
	env.sentRequests[id] = sentRequest{"read", response.StatusCode}
	env.mu.Unlock()
	return nil
}

// makeBrittle makes all plain servers declare that they are brittle, and after contactTime
// run few requests for a time.
func (env *environment) makeBrittle(ctx context.Context, d time.Duration) {
	env.setBrittle(bearableRejections, serverSlots)
	pause.Sleep(ctx, contactTime)
	env.setBrittle(bearableRejections, brittleSlots)
	pause.Sleep(ctx, d)
	env.setBrittle(0, serverSlots)
}

// setBrittle applies to the plain servers, and to those that replace them.
func (env *environment) setBrittle(rejections, slots int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.rejections, env.plainSlots = rejections, slots
	for _, server := range env.servers {
		if !server.IsModel {
			server.SetBrittle(rejections, slots)
		}
	}
}

// checkCrashes checks, without other faults, that a repeated request that crashes servers
// is contained, and that brittle servers don't fall over.
func (env *environment) checkCrashes(ctx context.Context, r *rand.Rand) error {
	startedAt := time.Now()
	if err := env.repeatGuilty(ctx, r, 3*contactTime); err != nil {
		return err
	}
	late := 0
	if crashes := env.crashesSince(startedAt); len(crashes) >= crashesToLearn {
		for _, e := range env.executionLog.Executions() {
			if e.Path == guiltyPath && e.At.After(crashes[crashesToLearn-1].Add(contactTime)) {
				late++
			}
		}
	}
	if late > excusedExecutions {
		env.addViolation("a request that crashes servers was run %d times later than %v after its third crash", late, contactTime)
	}
	startedAt = time.Now()
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for n := range callers {
		r := rand.New(rand.NewPCG(env.plan.Seed, uint64(400+n)))
		env.group.Go(func() { env.runCaller(loadCtx, ctx, r, callers+n) })
	}
	env.makeBrittle(ctx, contactTime)
	if falls := len(env.crashesSince(startedAt)); falls > allowedFalls {
		env.addViolation("brittle servers fell over %d times", falls)
	}
	return nil
}
