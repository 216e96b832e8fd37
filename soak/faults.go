package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"mangoloft/bench"
	"mangoloft/pause"
	"mangoloft/platform/standin"
)

// fault is one kind of trouble. It lasts until it returns.
type fault struct {
	name string
	play func(w *world, ctx context.Context, r *rand.Rand) error
}

func someTime(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

func (w *world) someInstance(r *rand.Rand) *instance { return w.instances[r.IntN(len(w.instances))] }

// someServer returns one by lot, in an order that the seed decides.
func (w *world) someServer(r *rand.Rand, model bool) *host {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fit []*host
	for _, id := range serverIDs {
		if h := w.servers[id]; h != nil && h.IsModel == model {
			fit = append(fit, h)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[r.IntN(len(fit))]
}

var serverIDs = []string{"e0", "e1", "e2", "e3", "e4", "p0", "p1", "p2"}

var faults = []fault{
	{"kill", func(w *world, ctx context.Context, r *rand.Rand) error {
		return w.restart(ctx, w.someInstance(r), syscall.SIGKILL, someTime(r, 50*time.Millisecond, time.Second))
	}},
	{"stop", func(w *world, ctx context.Context, r *rand.Rand) error {
		return w.restart(ctx, w.someInstance(r), syscall.SIGTERM, 100*time.Millisecond)
	}},
	{"pause", func(w *world, ctx context.Context, r *rand.Rand) error {
		i := w.someInstance(r)
		i.signal(syscall.SIGSTOP)
		pause.For(ctx, someTime(r, 200*time.Millisecond, 3*time.Second))
		i.signal(syscall.SIGCONT)
		return nil
	}},
	{"settings", func(w *world, _ context.Context, r *rand.Rand) error {
		i := w.someInstance(r)
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
	{"configuration", func(w *world, _ context.Context, _ *rand.Rand) error { return w.publish() }},
	{"store cut", func(w *world, ctx context.Context, r *rand.Rand) error {
		return w.proxied(ctx, r, w.someInstance(r).store)
	}},
	{"store modes", func(w *world, ctx context.Context, r *rand.Rand) error {
		w.store.SetMode([]standin.Mode{standin.ModeUnavailable, standin.ModeThrottled, standin.ModeSlow}[r.IntN(3)])
		pause.For(ctx, someTime(r, 300*time.Millisecond, 2*time.Second))
		w.store.SetMode(standin.ModeNormal)
		return nil
	}},
	{"store forgets", func(w *world, _ context.Context, _ *rand.Rand) error { w.store.DropHistory(); return nil }},
	{"bad entries", func(w *world, _ context.Context, r *rand.Rand) error {
		w.store.AddMalformedEntry("odd", []byte([]string{"{", `{"service":"llm"}`, `[]`, "\xff\xfe"}[r.IntN(4)]))
		return nil
	}},
	{"server cut", func(w *world, ctx context.Context, r *rand.Rand) error {
		if h := w.someServer(r, r.IntN(2) == 0); h != nil {
			return w.proxied(ctx, r, h.proxy)
		}
		return nil
	}},
	{"engine leaves", func(w *world, ctx context.Context, r *rand.Rand) error {
		return w.replace(ctx, w.someServer(r, true), r, true)
	}},
	{"server crashes", func(w *world, ctx context.Context, r *rand.Rand) error {
		return w.replace(ctx, w.someServer(r, r.IntN(2) == 0), r, false)
	}},
}

// proxied puts a fault on a proxy's connections for a while.
func (w *world) proxied(ctx context.Context, r *rand.Rand, p *bench.Proxy) error {
	kinds := []bench.LinkFault{bench.Cut, bench.Silence, bench.SilenceAnswers, bench.SilenceRequests}
	switch n := r.IntN(len(kinds) + 2); n {
	case len(kinds):
		p.SetDelay(someTime(r, 5*time.Millisecond, 200*time.Millisecond))
	case len(kinds) + 1:
		p.ForgetOpen()
		return nil
	default:
		p.Set(bench.AllSources, kinds[n])
	}
	pause.For(ctx, someTime(r, 200*time.Millisecond, 3*time.Second))
	p.Heal()
	return nil
}

// restart ends a process by a signal and starts it again.
func (w *world) restart(ctx context.Context, i *instance, s syscall.Signal, after time.Duration) error {
	if !i.restarting.TryLock() {
		return nil
	}
	defer i.restarting.Unlock()
	if !i.signal(s) {
		return nil
	}
	select {
	case <-i.ended():
	case <-time.After(graceTime):
		// A paused process doesn't heed SIGTERM.
		i.signal(syscall.SIGKILL)
		<-i.ended()
	}
	pause.For(ctx, after)
	return i.start(w.plan.Bin, w.plan.Dir, &w.group)
}

// replace takes a server away, with notice or without, and brings another
// incarnation under its id.
func (w *world) replace(ctx context.Context, h *host, r *rand.Rand, notice bool) error {
	if h == nil {
		return nil
	}
	w.mu.Lock()
	if w.servers[h.ID] != h {
		w.mu.Unlock()
		return nil
	}
	w.mu.Unlock()
	if notice {
		h.Drain()
		if err := w.store.AddEntry(h.Server); err != nil {
			return err
		}
		pause.For(ctx, 1500*time.Millisecond)
	}
	w.mu.Lock()
	if w.servers[h.ID] != h {
		w.mu.Unlock()
		return nil
	}
	delete(w.servers, h.ID)
	w.mu.Unlock()
	h.Crash()
	h.proxy.Close()
	if r.IntN(2) == 0 {
		w.store.RemoveEntry(h.ID)
	}
	pause.For(ctx, someTime(r, 100*time.Millisecond, time.Second))
	return w.addServer(h.ID, h.Service, h.IsModel, h.Zone)
}
