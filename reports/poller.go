// Package reports reads what the model engines of a data centre report of
// themselves, so that an engine's leaving is known in time also while the list
// of upstreams can't be read, or says nothing.
package reports

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"mangoloft/event"
	"mangoloft/pause"
	"mangoloft/upstream"
)

const (
	// pollInterval is the time between two reports of an engine while the list
	// is read: a sign that it may have gone silent.
	pollInterval = 1 * time.Second
	// urgentInterval is the same while only reports tell. Engines are reclaimed
	// with less than two seconds of notice, and what they report is some hundred
	// milliseconds old.
	urgentInterval = 200 * time.Millisecond
	// reportLimit bounds one report, so that an engine that is silent holds up
	// no round.
	reportLimit = 400 * time.Millisecond
)

// Engines speaks to model engines.
type Engines interface {
	Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error)
}

// Sink takes what was reported.
type Sink interface {
	Leaving(id string, born int64, leavesAt time.Time, source upstream.Source)
}

// Poller asks the engines for reports until its context ends.
type Poller struct {
	Engines Engines
	Sink    Sink
	Log     *event.Log
	// IsPoller reports whether the instance asks for its data centre; otherwise
	// another one does, and tells.
	IsPoller func() bool
	// ListUnavailable reports whether the list can't be read.
	ListUnavailable func() bool
	// Candidates returns the engines to ask.
	Candidates func() []upstream.Status
	// Reread is called when an engine leaves of which the list has not said so.
	Reread func()
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	var last time.Time
	for pause.For(ctx, urgentInterval) {
		due := p.ListUnavailable() || time.Since(last) >= pollInterval
		if due && p.IsPoller() {
			last = time.Now()
			p.round(ctx)
		}
	}
	return nil
}

// round asks every engine that is not known to leave.
func (p *Poller) round(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, engine := range p.Candidates() {
		if engine.State == upstream.Ready || engine.State == upstream.Lapsed {
			group.Go(func() { p.ask(ctx, engine) })
		}
	}
}

func (p *Poller) ask(ctx context.Context, engine upstream.Status) {
	report, err := p.Engines.Report(ctx, engine.Addr)
	switch {
	case ctx.Err() == context.Canceled:
	case err != nil:
		p.Log.EmitSparingly(event.ReportFailed, "upstream", engine.ID, "address", engine.Addr.String(), "error", err.Error())
	case report.Draining:
		p.Sink.Leaving(engine.ID, report.StartUnixMS, report.LeavesAt, upstream.FromReport)
		p.Reread()
	}
}
