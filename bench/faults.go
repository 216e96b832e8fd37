package bench

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"mangoloft/ident"
)

// injector injects the faults of a schedule into a fleet.
type injector struct {
	fleet *Fleet
	start time.Time

	mu sync.Mutex
	// busy contains the processes with an active fault. Further faults on them are
	// skipped.
	busy   map[*Process]bool
	counts map[string]int
	errs   []string
}

// run injects the scheduled faults and returns when the last one has ended.
func (i *injector) run(ctx context.Context, schedule []PlannedFault) {
	var group sync.WaitGroup
	defer group.Wait()
	for _, planned := range schedule {
		if !sleepUntil(ctx, i.start.Add(planned.Start)) {
			return
		}
		group.Go(func() { i.inject(ctx, planned) })
	}
}

// sleepUntil sleeps until the time and returns true, or returns false if ctx ends
// first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(at)):
		return true
	}
}

func (i *injector) inject(ctx context.Context, p PlannedFault) {
	targets := i.targets(p.Kind)
	target := targets[p.Target%len(targets)]
	if !i.claim(target) {
		return
	}
	defer i.release(target)
	i.mu.Lock()
	i.counts[p.Kind.String()]++
	i.mu.Unlock()
	end := i.start.Add(p.End)
	if err := i.apply(ctx, p, target, end); err != nil && ctx.Err() == nil {
		i.mu.Lock()
		i.errs = append(i.errs, fmt.Sprintf("%s of %s: %v", p.Kind, target.Name, err))
		i.mu.Unlock()
	}
}

func (i *injector) targets(kind FaultKind) []*Process {
	switch kind {
	case KillEngine, FreezeEngine:
		return i.fleet.Engines
	case KillService:
		return i.fleet.Services
	case CutUpstream, SilenceUpstream, SilenceUpstreamAnswers, BlackholeUpstream:
		return append(append([]*Process{}, i.fleet.Engines...), i.fleet.Services...)
	case PlatformDown, StaleConfiguration, OperatorRace:
		return []*Process{i.fleet.ConfigService}
	default:
		return i.fleet.Entries
	}
}

func (i *injector) claim(p *Process) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.busy[p] {
		return false
	}
	i.busy[p] = true
	return true
}

func (i *injector) release(p *Process) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.busy, p)
}

// apply injects the fault, waits until its end and reverts it.
func (i *injector) apply(ctx context.Context, p PlannedFault, target *Process, end time.Time) error {
	switch p.Kind {
	case KillEntry:
		target.Kill()
		sleepUntil(ctx, end)
		return i.fleet.Restart(target)
	case StopEntry:
		if err := target.Stop(ctx); err != nil {
			return err
		}
		return i.fleet.Restart(target)
	case KillEngine, KillService:
		return i.replaceUpstream(ctx, target, end)
	case FreezeEntry, FreezeEngine:
		return freezeUntil(ctx, target, end)
	case FreezeRestartedEntry:
		target.Kill()
		if err := i.fleet.Restart(target); err != nil {
			return err
		}
		sleepUntil(ctx, time.Now().Add(restartToFreeze*time.Duration(p.Target%freezeSteps)/freezeSteps))
		return freezeUntil(ctx, target, end)
	case CutUpstream:
		return setUntil(ctx, target.Proxy, Cut, end)
	case SilenceUpstream:
		return setUntil(ctx, target.Proxy, Silence, end)
	case SilenceUpstreamAnswers:
		return setUntil(ctx, target.Proxy, SilenceAnswers, end)
	case SilencePeer:
		return setUntil(ctx, target.PeerProxy, Silence, end)
	case BlackholeUpstream, BlackholeCallers:
		target.Proxy.BlackholeOpen()
		return nil
	case CutDataCentre:
		i.setDataCentreLinks(target.DataCentre, Cut)
		sleepUntil(ctx, end)
		i.setDataCentreLinks(target.DataCentre, Pass)
		return nil
	case PlatformDown:
		i.fleet.InstanceList.Proxy.Set(AllSources, Cut)
		defer i.fleet.InstanceList.Proxy.Set(AllSources, Pass)
		return setUntil(ctx, target.Proxy, Cut, end)
	case StaleConfiguration:
		if err := i.fleet.SetConfigStale(ctx, true); err != nil {
			return err
		}
		sleepUntil(ctx, end)
		return i.fleet.SetConfigStale(ctx, false)
	case OperatorRace:
		return i.operatorRace(ctx)
	case faultKindCount:
	}
	return nil
}

// freezeSteps is the number of different times from a restart to the freeze.
const freezeSteps = 30

// freezeUntil pauses the process until the end.
func freezeUntil(ctx context.Context, target *Process, end time.Time) error {
	if err := target.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	sleepUntil(ctx, end)
	return target.Signal(syscall.SIGCONT)
}

// setUntil applies a fault to all connections of the proxy and removes it at the
// end.
func setUntil(ctx context.Context, proxy *Proxy, f LinkFault, end time.Time) error {
	proxy.Set(AllSources, f)
	sleepUntil(ctx, end)
	proxy.Set(AllSources, Pass)
	return nil
}

// replaceUpstream kills an upstream, starts a new incarnation in its place, and
// then publishes it in the instance list.
func (i *injector) replaceUpstream(ctx context.Context, upstream *Process, end time.Time) error {
	upstream.Kill()
	sleepUntil(ctx, end)
	if err := i.fleet.RestartUpstream(upstream, ident.NewIncarnation(time.Now())); err != nil {
		return err
	}
	return i.fleet.PublishList(ctx)
}

// setDataCentreLinks applies the fault to all links between the data centre and the
// other ones, and to the links from its entry instances to the platform.
func (i *injector) setDataCentreLinks(dataCentre string, f LinkFault) {
	for _, a := range i.fleet.Entries {
		if a.DataCentre == dataCentre {
			i.fleet.ConfigService.Proxy.Set(a.IP, f)
			i.fleet.InstanceList.Proxy.Set(a.IP, f)
		}
		for _, b := range i.fleet.Entries {
			if (a.DataCentre == dataCentre) != (b.DataCentre == dataCentre) {
				b.PeerProxy.Set(a.IP, f)
			}
		}
		for _, group := range [][]*Process{i.fleet.Engines, i.fleet.Services} {
			for _, u := range group {
				if (a.DataCentre == dataCentre) != (u.DataCentre == dataCentre) {
					u.Proxy.Set(a.IP, f)
				}
			}
		}
	}
}

// operatorRace publishes two changes of the same value concurrently.
func (i *injector) operatorRace(ctx context.Context) error {
	var group sync.WaitGroup
	errs := make([]error, 2)
	for n := range errs {
		group.Go(func() {
			wait := 2000 + time.Now().UnixMilli()%100 + int64(n)
			errs[n] = i.fleet.PutConfig(ctx, "classes/"+DraftClass, fmt.Sprintf(
				`{"kind": "stream", "pool": "drafting", "model": "tuning-large", "target": {"wait_ms": %d, "pace_ms": 40}}`, wait))
		})
	}
	group.Wait()
	if errs[0] != nil {
		return errs[0]
	}
	return errs[1]
}
