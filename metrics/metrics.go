// Package metrics publishes the metrics of an entry instance that package kernel
// runs, through expvar. docs/METRICS.md describes each metric for the people on
// call.
package metrics

import (
	"expvar"
	"sync"

	"mangoloft/control"
	"mangoloft/verdict"
)

// Metric names.
const (
	requestsEnded       = "requests_ended"
	tokensRelayed       = "tokens_relayed"
	openRequests        = "open_requests"
	ready               = "ready"
	configVersion       = "config_version"
	peersAlive          = "peers_alive"
	peersListed         = "peers_listed"
	heartbeatPartners   = "heartbeat_partners"
	upstreamsLive       = "upstreams_live"
	upstreamsLeaving    = "upstreams_leaving"
	controlBacklog      = "control_backlog"
	auditRecordsDropped = "audit_records_dropped"
	logEventsDropped    = "log_events_dropped"
)

// Names returns the names of all metrics.
func Names() []string {
	return []string{
		requestsEnded, tokensRelayed, openRequests, ready, configVersion, peersAlive, peersListed, heartbeatPartners,
		upstreamsLive, upstreamsLeaving, controlBacklog, auditRecordsDropped, logEventsDropped,
	}
}

var (
	requests = expvar.NewMap(requestsEnded)
	// TokensRelayed counts the tokens relayed to clients.
	TokensRelayed = expvar.NewInt(tokensRelayed)
)

// CountRequest counts a request that ended, by its verdict and reason.
func CountRequest(o verdict.Outcome) {
	requests.Add(o.Verdict.String()+"."+o.Reason.String(), 1)
}

// Source contains functions that return the current state of an instance.
type Source struct {
	Snapshot     func() *control.Snapshot
	OpenRequests func() int
	// ControlBacklog returns the number of events queued for the control goroutine.
	ControlBacklog                        func() int
	AuditRecordsDropped, LogEventsDropped func() uint64
}

var (
	mu        sync.Mutex
	source    Source
	published bool
)

// Publish publishes the metrics, whose values are read from the source. The source
// replaces the source of an earlier call.
func Publish(s Source) {
	mu.Lock()
	defer mu.Unlock()
	source = s
	if published {
		return
	}
	published = true
	for name, read := range map[string]func(Source) any{
		openRequests:        func(s Source) any { return s.OpenRequests() },
		controlBacklog:      func(s Source) any { return s.ControlBacklog() },
		auditRecordsDropped: func(s Source) any { return s.AuditRecordsDropped() },
		logEventsDropped:    func(s Source) any { return s.LogEventsDropped() },
		ready:               func(s Source) any { return s.Snapshot().Ready },
		configVersion:       func(s Source) any { return versionOf(s.Snapshot()) },
		peersAlive:          func(s Source) any { return len(s.Snapshot().Peers) },
		peersListed:         func(s Source) any { return len(s.Snapshot().ListedPeers) },
		heartbeatPartners:   func(s Source) any { return len(s.Snapshot().Partners) },
		upstreamsLive:       func(s Source) any { return countUpstreams(s.Snapshot(), false) },
		upstreamsLeaving:    func(s Source) any { return countUpstreams(s.Snapshot(), true) },
	} {
		expvar.Publish(name, expvar.Func(func() any { return read(currentSource()) }))
	}
}

// currentSource returns the source of the latest Publish.
func currentSource() Source {
	mu.Lock()
	defer mu.Unlock()
	return source
}

// versionOf returns the version of the snapshot's configuration, 0 if it has none.
func versionOf(s *control.Snapshot) uint64 {
	if s.Config == nil {
		return 0
	}
	return s.Config.Version
}

// countUpstreams returns the number of upstreams that are leaving, or that are not.
func countUpstreams(s *control.Snapshot, leaving bool) int {
	count := 0
	for _, u := range s.Upstreams {
		if u.Leaving == leaving {
			count++
		}
	}
	return count
}
