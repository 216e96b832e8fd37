// Package telemetry holds the metrics of an entry instance for the Halvorsen platform
// and writes them in the text format of Prometheus. docs/METRICS.md describes each
// metric.
package telemetry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangoloft/decide"
	"mangoloft/gossip"
	"mangoloft/verdict"
)

// Metric names. Times are in seconds.
const (
	requests          = "mangoloft_requests_total"
	refusals          = "mangoloft_refusals_total"
	sends             = "mangoloft_sends_total"
	failedSends       = "mangoloft_failed_sends_total"
	moves             = "mangoloft_run_moves_total"
	duration          = "mangoloft_request_duration_seconds"
	firstEvent        = "mangoloft_first_event_seconds"
	longestPause      = "mangoloft_longest_pause_seconds"
	openRequests      = "mangoloft_open_requests"
	tableVersion      = "mangoloft_table_version"
	listRevision      = "mangoloft_list_revision"
	upstreams         = "mangoloft_upstreams"
	peersAlive        = "mangoloft_peers_alive"
	backlog           = "mangoloft_control_backlog"
	linesDropped      = "mangoloft_log_lines_dropped_total"
	storeLost         = "mangoloft_store_lost"
	instanceReady     = "mangoloft_ready"
	fleetSize         = "mangoloft_fleet_size"
	storeCalls        = "mangoloft_store_calls_total"
	datagrams         = "mangoloft_datagrams_total"
	datagramBytes     = "mangoloft_datagram_bytes_total"
	storeEra          = "mangoloft_store_era"
	tableAge          = "mangoloft_table_confirmed_age_seconds"
	contained         = "mangoloft_contained_parts"
	containedRequests = "mangoloft_contained_requests"
	evacuated         = "mangoloft_evacuated_data_centres"
	evacuatedRequests = "mangoloft_evacuated_requests"
	rankRefusals      = "mangoloft_rank_refusals_total"
	upstreamsAvoided  = "mangoloft_upstreams_avoided"
	coldUpstreams     = "mangoloft_cold_upstreams"
	unevenServices    = "mangoloft_uneven_services"
	retryBudget       = "mangoloft_retry_budget"
	retryCapacity     = "mangoloft_retry_budget_capacity"
	movesLeft         = "mangoloft_moves_left"
	repeats           = "mangoloft_repeats_total"
	takeUps           = "mangoloft_take_ups_total"
)

// Names returns the names of all metrics.
func Names() []string {
	return []string{
		requests, refusals, sends, failedSends, moves, duration, firstEvent, longestPause, openRequests, tableVersion, listRevision,
		upstreams, peersAlive, backlog, linesDropped, storeLost, instanceReady, fleetSize, storeCalls, datagrams, datagramBytes,
		storeEra, tableAge, contained, containedRequests, evacuated, evacuatedRequests, rankRefusals, upstreamsAvoided, coldUpstreams, unevenServices,
		retryBudget, retryCapacity, movesLeft, repeats, takeUps,
	}
}

// Metrics holds the metrics of one instance. Use New to create it.
type Metrics struct {
	set *metrics.Set
	// retries writes the metrics of the retry budgets, whose services aren't known in advance.
	retries func(io.Writer)
}

// New returns metrics without any samples.
func New() *Metrics { return &Metrics{set: metrics.NewSet(), retries: func(io.Writer) {}} }

// CountRequest counts a request that ended after the time elapsed. kind is the
// kind of its route, or empty if no route was found.
func (m *Metrics) CountRequest(kind string, status int, o verdict.Outcome, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q,status=%q,verdict=%q,reason=%q}", requests, kind, fmt.Sprint(status), o.Verdict, o.Reason)).Inc()
	if o.Verdict == verdict.NotRun && status == http.StatusServiceUnavailable {
		m.set.GetOrCreateCounter(fmt.Sprintf("%s{reason=%q}", refusals, o.Reason)).Inc()
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", duration, kind)).Update(elapsed.Seconds())
}

// CountRankRefusal counts a refused request of a service whose requests differ in rank.
func (m *Metrics) CountRankRefusal(service string, rank int) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,rank=\"%d\"}", rankRefusals, service, rank)).Inc()
}

// ObserveStream records the time to the first event of a stream and its longest
// pause between events.
func (m *Metrics) ObserveStream(toFirst, maxPause time.Duration) {
	m.set.GetOrCreateHistogram(firstEvent).Update(toFirst.Seconds())
	m.set.GetOrCreateHistogram(longestPause).Update(maxPause.Seconds())
}

// CountSend counts a request sent to an upstream of the service.
func (m *Metrics) CountSend(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q}", sends, service)).Inc()
}

// CountFailedSend counts a request to an upstream that got no usable response.
func (m *Metrics) CountFailedSend(service string, r verdict.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{service=%q,reason=%q}", failedSends, service, r)).Inc()
}

// CountMove counts a finished attempt to move a generation to another upstream.
func (m *Metrics) CountMove(outcome string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q}", moves, outcome)).Inc()
}

// CountTakeUp counts a stream that a caller takes up, by what told its origin.
func (m *Metrics) CountTakeUp(source string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("%s{source=%q}", takeUps, source)).Inc()
}

// Source contains functions that return the current values of an instance's gauges.
type Source struct {
	OpenRequests, PeersAlive, FleetSize, ControlBacklog, ContainedParts, ContainedRequests func() int
	TableVersion, ListRevision                                                             func() uint64
	LinesDropped, StoreCalls, StoreEra                                                     func() uint64
	// Evacuated returns the number of evacuated data centres, and EvacuatedRequests that of
	// the instance's requests that still run there.
	Evacuated, EvacuatedRequests func() int
	// UpstreamsAvoided returns the number of upstreams that are avoided because they fail requests.
	UpstreamsAvoided func() int
	// ColdUpstreams returns the number of cold upstreams.
	ColdUpstreams func() int
	// UnevenServices returns the number of services whose engines differ in speed.
	UnevenServices func() int
	// RetryBudgets and RepeatCounts return the retry budgets of all services and what was
	// taken from them.
	RetryBudgets func() []decide.RetryBudget
	RepeatCounts func() []decide.RepeatCount
	// TableConfirmedAt returns the time at which the store last confirmed the table;
	// zero if the instance does not read it.
	TableConfirmedAt func() time.Time
	StoreLost, Ready func() bool
	// Datagrams returns the datagrams between instances by content. The contents
	// don't change.
	Datagrams func() map[string]gossip.Traffic
	// Upstreams returns the number of upstreams by state.
	Upstreams func() map[string]int
}

// RegisterGauges adds gauges that read the source whenever the metrics are written.
func (m *Metrics) RegisterGauges(s Source) {
	fromUint := func(read func() uint64) func() float64 { return func() float64 { return float64(read()) } }
	fromInt := func(read func() int) func() float64 { return func() float64 { return float64(read()) } }
	fromBool := func(read func() bool) func() float64 {
		return func() float64 {
			if read() {
				return 1
			}
			return 0
		}
	}
	m.retries = func(w io.Writer) { writeRetries(w, s) }
	m.set.NewGauge(openRequests, fromInt(s.OpenRequests))
	m.set.NewGauge(peersAlive, fromInt(s.PeersAlive))
	m.set.NewGauge(fleetSize, fromInt(s.FleetSize))
	m.set.NewGauge(storeCalls, fromUint(s.StoreCalls))
	m.set.NewGauge(storeEra, fromUint(s.StoreEra))
	m.set.NewGauge(tableAge, func() float64 {
		confirmedAt := s.TableConfirmedAt()
		if confirmedAt.IsZero() {
			return 0
		}
		return time.Since(confirmedAt).Seconds()
	})
	for content := range s.Datagrams() {
		m.registerTraffic(content, func() gossip.Traffic { return s.Datagrams()[content] })
	}
	m.set.NewGauge(contained, fromInt(s.ContainedParts))
	m.set.NewGauge(containedRequests, fromInt(s.ContainedRequests))
	m.set.NewGauge(evacuated, fromInt(s.Evacuated))
	m.set.NewGauge(evacuatedRequests, fromInt(s.EvacuatedRequests))
	m.set.NewGauge(upstreamsAvoided, fromInt(s.UpstreamsAvoided))
	m.set.NewGauge(coldUpstreams, fromInt(s.ColdUpstreams))
	m.set.NewGauge(unevenServices, fromInt(s.UnevenServices))
	m.set.NewGauge(backlog, fromInt(s.ControlBacklog))
	m.set.NewGauge(tableVersion, fromUint(s.TableVersion))
	m.set.NewGauge(listRevision, fromUint(s.ListRevision))
	m.set.NewGauge(linesDropped, fromUint(s.LinesDropped))
	m.set.NewGauge(storeLost, fromBool(s.StoreLost))
	m.set.NewGauge(instanceReady, fromBool(s.Ready))
	for _, state := range []string{"ready", "lapsed", "draining"} {
		m.set.NewGauge(fmt.Sprintf("%s{state=%q}", upstreams, state), func() float64 { return float64(s.Upstreams()[state]) })
	}
}

func (m *Metrics) registerTraffic(content string, read func() gossip.Traffic) {
	gauge := func(name, direction string, value func(gossip.Traffic) uint64) {
		m.set.NewGauge(fmt.Sprintf("%s{content=%q,direction=%q}", name, content, direction), func() float64 { return float64(value(read())) })
	}
	gauge(datagrams, "sent", func(t gossip.Traffic) uint64 { return t.Sent })
	gauge(datagrams, "received", func(t gossip.Traffic) uint64 { return t.Received })
	gauge(datagramBytes, "sent", func(t gossip.Traffic) uint64 { return t.SentBytes })
	gauge(datagramBytes, "received", func(t gossip.Traffic) uint64 { return t.ReceivedBytes })
}

// Write writes all metrics.
func (m *Metrics) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	m.retries(w)
}

// writeRetries writes the metrics of the retry budgets.
func writeRetries(w io.Writer, s Source) {
	for _, b := range s.RetryBudgets() {
		fmt.Fprintf(w, "%s{service=%q} %g\n%s{service=%q} %g\n%s{service=%q} %g\n", retryBudget, b.Pool, b.Available, retryCapacity, b.Pool, b.Capacity, movesLeft, b.Pool, b.MovesLeft)
	}
	for _, c := range s.RepeatCounts() {
		fmt.Fprintf(w, "%s{service=%q,kind=%q,outcome=\"allowed\"} %d\n%s{service=%q,kind=%q,outcome=\"refused\"} %d\n", repeats, c.Pool, c.Kind, c.Allowed, repeats, c.Pool, c.Kind, c.Refused)
	}
}

// ServeHTTP implements http.Handler.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	m.Write(w)
}
