// Package telemetry holds the counters and latency histograms of an entry
// instance, in the text format of Prometheus. docs/METRICS.md explains each.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangoloft/verdict"
)

// The names of all figures. Times are in seconds.
const (
	requests      = "mangoloft_requests_total"
	refusals      = "mangoloft_refusals_total"
	sends         = "mangoloft_sends_total"
	failedSends   = "mangoloft_failed_sends_total"
	moves         = "mangoloft_run_moves_total"
	duration      = "mangoloft_request_duration_seconds"
	firstEvent    = "mangoloft_first_event_seconds"
	longestPause  = "mangoloft_longest_pause_seconds"
	openRequests  = "mangoloft_open_requests"
	tableVersion  = "mangoloft_table_version"
	listRevision  = "mangoloft_list_revision"
	upstreams     = "mangoloft_upstreams"
	peersAlive    = "mangoloft_peers_alive"
	backlog       = "mangoloft_control_backlog"
	linesDropped  = "mangoloft_log_lines_dropped_total"
	storeLost     = "mangoloft_store_lost"
	instanceReady = "mangoloft_ready"
)

// Names returns the names of all figures.
func Names() []string {
	return []string{
		requests, refusals, sends, failedSends, moves, duration, firstEvent, longestPause, openRequests, tableVersion, listRevision,
		upstreams, peersAlive, backlog, linesDropped, storeLost, instanceReady,
	}
}

// Metrics are those of one instance. The zero value is not usable.
type Metrics struct{ set *metrics.Set }

// New returns figures that are all zero.
func New() *Metrics { return &Metrics{metrics.NewSet()} }

// CountRequest counts a request that is over. Kind is the route's, empty when no
// route was found.
func (f *Metrics) CountRequest(kind string, status int, o verdict.Outcome, took time.Duration) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q,status=%q,verdict=%q,reason=%q}", requests, kind, fmt.Sprint(status), o.Verdict, o.Reason)).Inc()
	if o.Verdict == verdict.NotRun && status == http.StatusServiceUnavailable {
		f.set.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", refusals, o.Reason)).Inc()
	}
	f.set.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", duration, kind)).Update(took.Seconds())
}

// ObserveStream takes the pace of a stream that had events.
func (f *Metrics) ObserveStream(first, pause time.Duration) {
	f.set.GetOrCreateHistogram(firstEvent).Update(first.Seconds())
	f.set.GetOrCreateHistogram(longestPause).Update(pause.Seconds())
}

// CountSend counts a send to an upstream of a service.
func (f *Metrics) CountSend(service string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q}", sends, service)).Inc()
}

// CountFailedSend counts a send that brought no usable answer.
func (f *Metrics) CountFailedSend(service string, r verdict.Reason) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,reason=%q}", failedSends, service, r)).Inc()
}

// CountMove counts the end of a move.
func (f *Metrics) CountMove(outcome string) {
	f.set.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", moves, outcome)).Inc()
}

// Source is what an instance knows of itself at any moment.
type Source struct {
	OpenRequests, PeersAlive, ControlBacklog func() int
	TableVersion, ListRevision               func() uint64
	LinesDropped                             func() uint64
	StoreLost, Ready                         func() bool
	Upstreams                                func() map[string]int
}

// RegisterGauges shows what the source says whenever the figures are written.
func (f *Metrics) RegisterGauges(s Source) {
	number := func(read func() uint64) func() float64 { return func() float64 { return float64(read()) } }
	count := func(read func() int) func() float64 { return func() float64 { return float64(read()) } }
	flag := func(read func() bool) func() float64 {
		return func() float64 {
			if read() {
				return 1
			}
			return 0
		}
	}
	f.set.NewGauge(openRequests, count(s.OpenRequests))
	f.set.NewGauge(peersAlive, count(s.PeersAlive))
	f.set.NewGauge(backlog, count(s.ControlBacklog))
	f.set.NewGauge(tableVersion, number(s.TableVersion))
	f.set.NewGauge(listRevision, number(s.ListRevision))
	f.set.NewGauge(linesDropped, number(s.LinesDropped))
	f.set.NewGauge(storeLost, flag(s.StoreLost))
	f.set.NewGauge(instanceReady, flag(s.Ready))
	for _, state := range []string{"ready", "lapsed", "draining"} {
		f.set.NewGauge(fmt.Sprintf("%s{state=%q}", upstreams, state), func() float64 { return float64(s.Upstreams()[state]) })
	}
}

// Write writes all figures.
func (f *Metrics) Write(w io.Writer) { f.set.WritePrometheus(w) }

// ServeHTTP implements http.Handler.
func (f *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	f.Write(w)
}
