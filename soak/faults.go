package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"mangoloft/bench"
	"mangoloft/pause"
	"mangoloft/platform/standin"
)

// fault is a kind of fault. The function inject returns when the fault has ended.
type fault struct {
	name   string
	inject func(env *environment, ctx context.Context, r *rand.Rand) error
}

// randomDuration returns a duration of at least shortest and less than longest.
func randomDuration(r *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(r.Int64N(int64(longest-shortest)))
}

func (env *environment) randomInstance(r *rand.Rand) *instance {
	return env.instances[r.IntN(len(env.instances))]
}

// randomServer returns a random running model server or plain server, or nil if there
// is none. The candidates have a fixed order, so that the choice depends only on the
// seed and the running servers.
func (env *environment) randomServer(r *rand.Rand, model bool) *proxiedServer {
	env.mu.Lock()
	defer env.mu.Unlock()
	var candidates []*proxiedServer
	for _, id := range serverIDs {
		if server := env.servers[id]; server != nil && server.IsModel == model {
			candidates = append(candidates, server)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[r.IntN(len(candidates))]
}

// serverIDs are the ids of the model servers (e) and plain servers (p).
var serverIDs = []string{"e0", "e1", "e2", "e3", "e4", "p0", "p1", "p2"}

// oddEntries are entries of another writer.
var oddEntries = [][]byte{
	[]byte("{"), []byte(`{"service":"llm"}`), []byte(`[]`), []byte("\xff\xfe"), bytes.Repeat([]byte("x"), 1<<20), bytes.Repeat([]byte("["), 100_000),
	[]byte(`{"service":"llm","address":"127.0.0.1:99999","zone":"a","state":"ready"}`),
	[]byte(`{"service":"llm","address":"127.0.0.1:0","zone":"a","state":"ready"}`),
	[]byte(`{"service":"llm","address":"127.0.0.1:80","zone":"a","state":"ready","slots":1e400}`),
	[]byte(`{"service":"llm","address":"127.0.0.1:80","zone":"a","state":"ready","slots":-1,"born":-1}`),
}

var faults = []fault{
	{"kill", func(env *environment, ctx context.Context, r *rand.Rand) error {
		return env.restart(ctx, env.randomInstance(r), syscall.SIGKILL, randomDuration(r, 50*time.Millisecond, time.Second))
	}},
	{"stop", func(env *environment, ctx context.Context, r *rand.Rand) error {
		return env.restart(ctx, env.randomInstance(r), syscall.SIGTERM, 100*time.Millisecond)
	}},
	{"pause", func(env *environment, ctx context.Context, r *rand.Rand) error {
		i := env.randomInstance(r)
		i.signal(syscall.SIGSTOP)
		pause.Sleep(ctx, randomDuration(r, 200*time.Millisecond, 3*time.Second))
		i.signal(syscall.SIGCONT)
		return nil
	}},
	{"settings", func(env *environment, _ context.Context, r *rand.Rand) error {
		i := env.randomInstance(r)
		content, err := os.ReadFile(i.settings)
		if err != nil {
			return err
		}
		if err := os.WriteFile(i.settings, append(content, '\n'), 0o600); err != nil {
			return err
		}
		i.signal(syscall.SIGHUP)
		return nil
	}},
	{"configuration", func(env *environment, _ context.Context, _ *rand.Rand) error { return env.publish() }},
	{"store cut", func(env *environment, ctx context.Context, r *rand.Rand) error {
		return env.disturbProxy(ctx, r, env.randomInstance(r).store)
	}},
	{"store modes", func(env *environment, ctx context.Context, r *rand.Rand) error {
		env.store.SetMode([]standin.Mode{standin.ModeUnavailable, standin.ModeThrottled, standin.ModeSlow}[r.IntN(3)])
		pause.Sleep(ctx, randomDuration(r, 300*time.Millisecond, 2*time.Second))
		env.store.SetMode(standin.ModeNormal)
		return nil
	}},
	{"store forgets", func(env *environment, _ context.Context, _ *rand.Rand) error { env.store.DropHistory(); return nil }},
	{"store restored", func(env *environment, ctx context.Context, r *rand.Rand) error { return env.restoreStore(ctx, r) }},
	{"bad entries", func(env *environment, _ context.Context, r *rand.Rand) error {
		env.store.AddMalformedEntry(fmt.Sprintf("odd%d", r.IntN(3)), oddEntries[r.IntN(len(oddEntries))])
		return nil
	}},
	{"repeated refusals", func(env *environment, ctx context.Context, r *rand.Rand) error {
		if server := env.randomServer(r, false); server != nil {
			server.SetRepeatShare(0.3)
			pause.Sleep(ctx, randomDuration(r, time.Second, 3*time.Second))
			server.SetRepeatShare(0)
		}
		return nil
	}},
	{"server cut", func(env *environment, ctx context.Context, r *rand.Rand) error {
		if server := env.randomServer(r, r.IntN(2) == 0); server != nil {
			return env.disturbProxy(ctx, r, server.proxy)
		}
		return nil
	}},
	{"engine leaves", func(env *environment, ctx context.Context, r *rand.Rand) error {
		return env.replaceServer(ctx, env.randomServer(r, true), r, true)
	}},
	{"server crashes", func(env *environment, ctx context.Context, r *rand.Rand) error {
		return env.replaceServer(ctx, env.randomServer(r, r.IntN(2) == 0), r, false)
	}},
	{"guilty request", func(env *environment, ctx context.Context, r *rand.Rand) error {
		return env.repeatGuilty(ctx, r, randomDuration(r, time.Second, 4*time.Second))
	}},
	{"brittle servers", func(env *environment, ctx context.Context, r *rand.Rand) error {
		env.makeBrittle(ctx, randomDuration(r, time.Second, 3*time.Second))
		return nil
	}},
	{"server silent", func(env *environment, ctx context.Context, r *rand.Rand) error {
		if server := env.randomServer(r, r.IntN(2) == 0); server != nil {
			server.proxy.Set(bench.AllSources, bench.Silence)
			pause.Sleep(ctx, randomDuration(r, 500*time.Millisecond, 1500*time.Millisecond))
			server.proxy.Heal()
		}
		return nil
	}},
}

// restoreStore restores the store from a copy of some seconds ago, and has the
// configuration and all entries written again. It has no effect while another fault does
// the same.
func (env *environment) restoreStore(ctx context.Context, r *rand.Rand) error {
	if !env.restoring.TryLock() {
		return nil
	}
	defer env.restoring.Unlock()
	saved := env.store.Copy()
	pause.Sleep(ctx, randomDuration(r, 200*time.Millisecond, 4*time.Second))
	err := env.restoreCopy(ctx, r, saved)
	pause.Sleep(ctx, randomDuration(r, 0, 1500*time.Millisecond))
	return errors.Join(err, env.writeEntries())
}

// restoreCopy restores the store from the copy and publishes a new configuration. Some
// restores close the watches and make the store unavailable for a while.
func (env *environment) restoreCopy(ctx context.Context, r *rand.Rand, saved standin.Copy) error {
	if r.IntN(3) > 0 {
		env.store.SetMode(standin.ModeUnavailable)
		env.store.CutWatches()
		pause.Sleep(ctx, randomDuration(r, 0, time.Second))
	}
	env.store.Restore(saved)
	err := errors.Join(env.writeConfiguration(), env.publish())
	env.store.SetMode(standin.ModeNormal)
	return err
}

// writeEntries stores the entries of all servers again.
func (env *environment) writeEntries() error {
	var err error
	for _, id := range serverIDs {
		env.mu.Lock()
		server := env.servers[id]
		env.mu.Unlock()
		if server != nil {
			err = errors.Join(err, env.store.AddEntry(server.Server))
		}
	}
	return err
}

// checkRestore restores the store from a copy that is older than the configuration in
// force, lets its revisions pass those that were issued before, and checks that all
// instances have the latest version in time.
func (env *environment) checkRestore(ctx context.Context, r *rand.Rand) error {
	const rewrites = 3
	saved := env.store.Copy()
	var err error
	for range rewrites {
		err = errors.Join(err, env.writeEntries())
	}
	err = errors.Join(err, env.publish())
	pause.Sleep(ctx, applyTime)
	err = errors.Join(err, env.restoreCopy(ctx, r, saved))
	for range 2 * rewrites {
		err = errors.Join(err, env.writeEntries())
	}
	if err != nil {
		return err
	}
	pause.Sleep(ctx, applyTime)
	client := newClient()
	for _, i := range env.instances {
		if version, err := readVersion(client, i); err != nil || version != env.version {
			env.addViolation("%v after a restore of the store instance %s has version %d, want %d; error %v", applyTime, i.name, version, env.version, err)
		}
	}
	return nil
}

// disturbProxy applies a random fault to a proxy's connections for a random time, or
// blackholes the open ones permanently.
func (env *environment) disturbProxy(ctx context.Context, r *rand.Rand, p *bench.Proxy) error {
	kinds := []bench.LinkFault{bench.Cut, bench.Silence, bench.SilenceAnswers, bench.SilenceRequests}
	switch n := r.IntN(len(kinds) + 2); n {
	case len(kinds):
		p.SetDelay(randomDuration(r, 5*time.Millisecond, 200*time.Millisecond))
	case len(kinds) + 1:
		p.BlackholeOpen()
		return nil
	default:
		p.Set(bench.AllSources, kinds[n])
	}
	pause.Sleep(ctx, randomDuration(r, 200*time.Millisecond, 3*time.Second))
	p.Heal()
	return nil
}

// restart terminates an instance's process with a signal and starts it again after
// the delay. It has no effect while another fault restarts the process.
func (env *environment) restart(ctx context.Context, i *instance, s syscall.Signal, delay time.Duration) error {
	if !i.restarting.TryLock() {
		return nil
	}
	defer i.restarting.Unlock()
	if !i.signal(s) {
		return nil
	}
	select {
	case <-i.exitedChannel():
	case <-time.After(stopGrace):
		// A process stopped by SIGSTOP doesn't handle SIGTERM.
		i.signal(syscall.SIGKILL)
		<-i.exitedChannel()
	}
	pause.Sleep(ctx, delay)
	return i.start(env.plan.Bin, env.plan.Dir, &env.group)
}

// replaceServer stops a server and starts a new incarnation with its id. If notice is
// true, the instance list first marks the server as draining. It has no effect if
// server is nil or another fault replaces it.
func (env *environment) replaceServer(ctx context.Context, server *proxiedServer, r *rand.Rand, notice bool) error {
	if server == nil {
		return nil
	}
	env.mu.Lock()
	if env.servers[server.ID] != server {
		env.mu.Unlock()
		return nil
	}
	env.mu.Unlock()
	if notice {
		server.Drain()
		if err := env.store.AddEntry(server.Server); err != nil {
			return err
		}
		pause.Sleep(ctx, 1500*time.Millisecond)
	}
	env.mu.Lock()
	if env.servers[server.ID] != server {
		env.mu.Unlock()
		return nil
	}
	delete(env.servers, server.ID)
	env.mu.Unlock()
	server.Crash()
	server.proxy.Close()
	if r.IntN(2) == 0 {
		env.store.RemoveEntry(server.ID)
	}
	pause.Sleep(ctx, randomDuration(r, 100*time.Millisecond, time.Second))
	return env.addServer(server.ID, server.Service, server.IsModel, server.Zone)
}
