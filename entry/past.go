package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"mangoloft/event"
	"mangoloft/pause"
	"mangoloft/upstream"
)

const (
	// pastTimeout is the timeout for reading the store's history, and runsTimeout that for
	// the engines' reports. A caller waits for both.
	pastTimeout = 500 * time.Millisecond
	runsTimeout = 300 * time.Millisecond
	// minListInterval is the time between two reads of the list for streams that callers take
	// up.
	minListInterval = 100 * time.Millisecond
	// runsReuse is the time for which the engines' reports are reused.
	runsReuse = 300 * time.Millisecond
	// maxRunEngines is the maximum number of engines that are asked for their runs.
	maxRunEngines = 60
)

// past finds out what happened before the instance started. It implements gateway.Past.
type past struct {
	instance *instance

	mu sync.Mutex
	// extended reports whether the store's history was read, and complete whether it showed
	// everything.
	extended, complete bool
	// runs contains the versions of the engines by service and run, as of runsAt.
	runs   map[string]map[string]string
	runsAt map[string]time.Time

	listMu sync.Mutex
	// listReadAt is the time at which the latest read of the list began, and listRead reports
	// whether it succeeded.
	listReadAt time.Time
	listRead   bool
}

// Extend implements gateway.Past. The history is read once: later it holds less.
func (p *past) Extend(ctx context.Context) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	age := p.instance.settings.Load().Store.historyTime()
	at := p.instance.controller.Snapshot().ListPosition
	if p.extended || age <= 0 || at.IsZero() {
		return p.complete
	}
	ctx, cancel := context.WithTimeout(ctx, pastTimeout)
	defer cancel()
	since := time.Now().Add(-age)
	items, err := p.instance.follower.Past(ctx, at)
	if err != nil {
		p.instance.log.EmitRateLimited(event.PastUnknown, "error", err.Error())
		return false
	}
	p.extended = true
	p.complete = p.instance.controller.ExtendPast(ctx, items, since)
	p.instance.log.Emit(event.PastRead, "revision", at.Revision, "changes", len(items), "complete", p.complete)
	return p.complete
}

// ReadList implements gateway.Past. Requests that wait for one read share the result of the
// next one.
func (p *past) ReadList(ctx context.Context, until time.Time) bool {
	p.listMu.Lock()
	defer p.listMu.Unlock()
	if !p.listReadAt.Before(until) {
		return p.listRead
	}
	if !pause.Sleep(ctx, time.Until(p.listReadAt.Add(minListInterval))) {
		return false
	}
	// Other requests use the result, too.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pastTimeout)
	defer cancel()
	p.listReadAt = time.Now()
	err := p.instance.follower.ReadList(ctx)
	p.listRead = err == nil
	if err != nil {
		p.instance.log.EmitRateLimited(event.PastUnknown, "error", err.Error())
	}
	return p.listRead
}

// FindRun implements gateway.Past.
func (p *past) FindRun(ctx context.Context, service, run string) (version string, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.runsAt[service]) > runsReuse {
		p.runs[service], p.runsAt[service] = p.readRuns(ctx, service), time.Now()
	}
	version, known = p.runs[service][run]
	return version, known
}

// readRuns returns the versions of the service's engines by the runs that they report.
func (p *past) readRuns(ctx context.Context, service string) map[string]string {
	ctx, cancel := context.WithTimeout(ctx, runsTimeout)
	defer cancel()
	engines := slices.DeleteFunc(p.instance.controller.Upstreams(), func(u upstream.Status) bool { return u.Service != service })
	var group sync.WaitGroup
	var mu sync.Mutex
	versions := map[string]string{}
	for _, engine := range engines[:min(len(engines), maxRunEngines)] {
		group.Go(func() {
			report, err := p.instance.engineClient.Report(ctx, engine.Addr)
			if err != nil {
				return // The engine may have ended.
			}
			mu.Lock()
			defer mu.Unlock()
			for _, run := range report.Runs {
				versions[run] = engine.Version
			}
		})
	}
	group.Wait()
	return versions
}
