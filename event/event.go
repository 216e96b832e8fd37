// Package event is the catalogue of the numbered events that the system logs.
// docs/EVENTS.md explains each to the people on call.
package event

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"mangoloft/output"
)

// ID is an event's number. Numbers are never used again for another event.
type ID uint16

// The numbers: 1xx the process, 2xx configuration, 3xx membership, 4xx
// upstreams, 5xx requests, 6xx tickets.
const (
	InstanceStarted  ID = 101
	InstanceReady    ID = 102
	InstanceStopping ID = 103
	InstanceStopped  ID = 104
	ProcessPaused    ID = 105
	AuditGap         ID = 106
	SettingsWarning  ID = 107
	InstanceLacks    ID = 108
	KeysReplaced     ID = 109
	SettingsUnread   ID = 110
	SettingsReloaded ID = 111

	ConfigAccepted      ID = 201
	ConfigRefused       ID = 202
	ConfigServiceFailed ID = 203
	ConfigServiceBehind ID = 204
	TableAccepted       ID = 205
	TableRefused        ID = 206
	StoreLost           ID = 207
	StoreBack           ID = 208

	PeerAlive   ID = 301
	PeerSilent  ID = 302
	ListFailed  ID = 303
	ListChanged ID = 304
	ListDoubted ID = 305
	PeerJoined  ID = 306
	PeerLost    ID = 307

	UpstreamJoined      ID = 401
	UpstreamLeaving     ID = 402
	UpstreamGone        ID = 403
	UpstreamUnreachable ID = 404
	UpstreamBelief      ID = 405
	ReportFailed        ID = 406
	LeftOut             ID = 407
	DataCentreBack      ID = 408

	RequestEnded        ID = 501
	StreamResumed       ID = 502
	GenerationCancelled ID = 503
	GenerationOrphaned  ID = 504
	RequestPlaced       ID = 505
	AttemptEnded        ID = 506
	RunMoved            ID = 507
	RequestClosed       ID = 508

	LedgerHandedOver ID = 601
	LedgerTaken      ID = 602
)

var names = map[ID]string{
	InstanceStarted:     "instance_started",
	InstanceReady:       "instance_ready",
	InstanceStopping:    "instance_stopping",
	InstanceStopped:     "instance_stopped",
	ProcessPaused:       "process_paused",
	AuditGap:            "audit_gap",
	SettingsWarning:     "settings_warning",
	InstanceLacks:       "instance_lacks",
	KeysReplaced:        "keys_replaced",
	SettingsUnread:      "settings_unread",
	ConfigAccepted:      "config_accepted",
	ConfigRefused:       "config_refused",
	ConfigServiceFailed: "config_service_failed",
	ConfigServiceBehind: "config_service_behind",
	PeerAlive:           "peer_alive",
	PeerSilent:          "peer_silent",
	ListFailed:          "list_failed",
	ListChanged:         "list_changed",
	ListDoubted:         "list_doubted",
	UpstreamJoined:      "upstream_joined",
	UpstreamLeaving:     "upstream_leaving",
	UpstreamGone:        "upstream_gone",
	UpstreamUnreachable: "upstream_unreachable",
	UpstreamBelief:      "upstream_belief",
	ReportFailed:        "report_failed",
	LeftOut:             "left_out",
	DataCentreBack:      "data_centre_back",
	TableAccepted:       "table_accepted",
	TableRefused:        "table_refused",
	StoreLost:           "store_lost",
	StoreBack:           "store_back",
	RequestPlaced:       "request_placed",
	AttemptEnded:        "attempt_ended",
	RunMoved:            "run_moved",
	RequestClosed:       "request_closed",
	PeerJoined:          "peer_joined",
	PeerLost:            "peer_lost",
	SettingsReloaded:    "settings_reloaded",
	RequestEnded:        "request_ended",
	StreamResumed:       "stream_resumed",
	GenerationCancelled: "generation_cancelled",
	GenerationOrphaned:  "generation_orphaned",
	LedgerHandedOver:    "ledger_handed_over",
	LedgerTaken:         "ledger_taken",
}

// String returns the event's name in snake case.
func (id ID) String() string { return names[id] }

// All returns every event with its name.
func All() map[ID]string { return names }

// Log writes numbered events as one JSON object a line. A stream that is stuck
// or closed holds up nobody: events without room are dropped and counted.
type Log struct {
	out    *output.Writer
	logger log.Logger
	now    func() time.Time

	mu      sync.Mutex
	repeats map[ID]repeat
}

// repeat is an event that comes again and again.
type repeat struct {
	quietUntil time.Time
	suppressed int
}

// repeatInterval is the least time between two events of one number that are
// emitted sparingly.
const repeatInterval = 10 * time.Second

// NewLog returns a log of one instance that writes to w. It must be closed.
func NewLog(w io.Writer, instance string, now func() time.Time) *Log {
	out := output.New(w)
	logger := log.With(log.NewJSONLogger(out), "time", log.TimestampFormat(func() time.Time { return now().UTC() }, time.RFC3339Nano), "instance", instance)
	return &Log{out: out, logger: logger, now: now, repeats: map[ID]repeat{}}
}

// Emit writes one event with pairs of field names and values.
func (l *Log) Emit(id ID, pairs ...any) {
	// A log that can't be written must not stop the service.
	_ = l.logger.Log(append([]any{"event", uint16(id), "name", id.String()}, pairs...)...)
}

// EmitRateLimited is Emit for troubles that last and are tried again all the
// time. Of one number it writes an event every repeatInterval at most, which
// tells how many were suppressed before it.
func (l *Log) EmitRateLimited(id ID, pairs ...any) {
	l.mu.Lock()
	now, r := l.now(), l.repeats[id]
	if now.Before(r.quietUntil) {
		r.suppressed++
		l.repeats[id] = r
		l.mu.Unlock()
		return
	}
	l.repeats[id] = repeat{quietUntil: now.Add(repeatInterval)}
	l.mu.Unlock()
	l.Emit(id, append(pairs, "suppressed", r.suppressed)...)
}

// Dropped returns how many events the stream has not got.
func (l *Log) Dropped() uint64 { return l.out.Dropped() }

// Close writes what is left, but not past until.
func (l *Log) Close(until time.Time) { l.out.Close(until) }
