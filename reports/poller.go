// Package reports polls the state reports of a data centre's model engines, to
// detect in time that an engine is leaving even if the list of upstreams can't
// be read or is out of date.
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
	// pollInterval is the time between two polls of an engine while the list
	// can be read. The list may still be out of date without an error.
	pollInterval = 1 * time.Second
	// listOutageInterval is the time between two polls while the list can't be
	// read and reports are the only source. Engines are reclaimed with less
	// than two seconds of notice, and their reports are some hundred
	// milliseconds old.
	listOutageInterval = 200 * time.Millisecond
	// reportTimeout is the timeout of one round of polls, so that a silent
	// engine does not delay the next round.
	reportTimeout = 400 * time.Millisecond
)

// Engines fetches reports from model engines.
type Engines interface {
	Report(ctx context.Context, engine netip.AddrPort) (upstream.Report, error)
}

// Sink receives the announcements of leaving engines.
type Sink interface {
	// ReportLeaving reports that an incarnation of an engine is leaving.
	ReportLeaving(id string, startUnixMS int64, leavesAt time.Time, source upstream.Source)
}

// Poller polls the engines' reports until its context ends.
type Poller struct {
	Engines Engines
	Sink    Sink
	Log     *event.Log
	// IsPoller reports whether this instance polls for its data centre.
	// Otherwise another instance does, and announces leaving engines.
	IsPoller func() bool
	// ListUnavailable reports whether the list can't be read.
	ListUnavailable func() bool
	// Candidates returns the engines that may be polled.
	Candidates func() []upstream.Status
	// Reread is called when an engine reports that it is leaving before the
	// list shows this.
	Reread func()
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	var lastPoll time.Time
	for pause.Sleep(ctx, listOutageInterval) {
		due := p.ListUnavailable() || time.Since(lastPoll) >= pollInterval
		if due && p.IsPoller() {
			lastPoll = time.Now()
			p.pollAll(ctx)
		}
	}
	return nil
}

// pollAll polls the engines that are not marked as leaving, and waits for their
// reports.
func (p *Poller) pollAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var group sync.WaitGroup
	defer group.Wait()
	for _, engine := range p.Candidates() {
		if engine.State == upstream.Ready || engine.State == upstream.Lapsed {
			group.Go(func() { p.poll(ctx, engine) })
		}
	}
}

func (p *Poller) poll(ctx context.Context, engine upstream.Status) {
	report, err := p.Engines.Report(ctx, engine.Addr)
	switch {
	case ctx.Err() == context.Canceled:
	case err != nil:
		p.Log.EmitRateLimited(event.ReportFailed, "upstream", engine.ID, "address", engine.Addr.String(), "error", err.Error())
	case report.Draining:
		p.Sink.ReportLeaving(engine.ID, report.StartUnixMS, report.LeavesAt, upstream.FromReport)
		p.Reread()
	}
}
