// Package event defines the numbered events that the system logs, and the log
// itself. docs/EVENTS.md describes each event for the people on call.
package event

import (
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"mangoloft/output"
)

// ID is the number of an event. A number is never reused for another event.
type ID uint16

// The numbers are grouped: 1xx process, 2xx configuration, 3xx membership, 4xx
// upstreams, 5xx requests, 6xx tickets.
const (
	InstanceStarted    ID = 101
	InstanceReady      ID = 102
	InstanceStopping   ID = 103
	InstanceStopped    ID = 104
	ProcessPaused      ID = 105
	AuditGap           ID = 106
	SettingsWarning    ID = 107
	InstanceNotReady   ID = 108
	KeysReplaced       ID = 109
	SettingsReadFailed ID = 110
	SettingsReloaded   ID = 111

	ConfigAccepted      ID = 201
	ConfigRefused       ID = 202
	ConfigServiceFailed ID = 203
	ConfigServiceBehind ID = 204
	TableAccepted       ID = 205
	TableRefused        ID = 206
	StoreLost           ID = 207
	StoreRecovered      ID = 208
	StoreEraChanged     ID = 209
	EvacuationStarted   ID = 210
	EvacuationEnded     ID = 211
	EvacuationRefused   ID = 212
	PlacementsHeld      ID = 213
	RanksClamped        ID = 216
	RegionsUnknown      ID = 214

	PeerAlive    ID = 301
	PeerSilent   ID = 302
	ListFailed   ID = 303
	ListChanged  ID = 304
	ListHeldBack ID = 305
	PeerJoined   ID = 306
	PeerLost     ID = 307
	// DatagramDropped reports a datagram that was not sent or could not be decoded.
	DatagramDropped ID = 308
	StatePullFailed ID = 309

	UpstreamJoined        ID = 401
	UpstreamLeaving       ID = 402
	UpstreamRemoved       ID = 403
	UpstreamUnreachable   ID = 404
	UpstreamStatusChanged ID = 405
	ReportFailed          ID = 406
	UpstreamEjected       ID = 407
	DataCentreRecovered   ID = 408
	UpstreamLimited       ID = 409
	UpstreamHeaderRefused ID = 410
	UpstreamPaused        ID = 411
	UpstreamEnded         ID = 412
	PromptsSuspected      ID = 413
	PromptContained       ID = 414
	PromptReleased        ID = 415
	RequestsSuspected     ID = 416
	RequestContained      ID = 417
	RequestReleased       ID = 418
	PoolUnreachable       ID = 419
	PoolReachable         ID = 420
	PoolBrittle           ID = 421
	CoordinatorChanged    ID = 422
	UpstreamAvoided       ID = 428
	UpstreamUsedAgain     ID = 429
	PoolUneven            ID = 426
	PastRead              ID = 430
	PastUnknown           ID = 431
	EntryRefused          ID = 432
	UpstreamCold          ID = 423
	UpstreamWarm          ID = 424
	ColdValueRefused      ID = 425

	RequestEnded        ID = 501
	StreamResumed       ID = 502
	GenerationCancelled ID = 503
	GenerationOrphaned  ID = 504
	RequestPlaced       ID = 505
	AttemptEnded        ID = 506
	RunMoved            ID = 507
	RequestClosed       ID = 508
	StreamTakenUp       ID = 509
	RequestDetoured     ID = 510

	LedgerHandedOver ID = 601
	LedgerAdopted    ID = 602
)

var names = map[ID]string{
	InstanceStarted:       "instance_started",
	InstanceReady:         "instance_ready",
	InstanceStopping:      "instance_stopping",
	InstanceStopped:       "instance_stopped",
	ProcessPaused:         "process_paused",
	AuditGap:              "audit_gap",
	SettingsWarning:       "settings_warning",
	InstanceNotReady:      "instance_lacks",
	KeysReplaced:          "keys_replaced",
	SettingsReadFailed:    "settings_unread",
	ConfigAccepted:        "config_accepted",
	ConfigRefused:         "config_refused",
	ConfigServiceFailed:   "config_service_failed",
	ConfigServiceBehind:   "config_service_behind",
	PeerAlive:             "peer_alive",
	PeerSilent:            "peer_silent",
	ListFailed:            "list_failed",
	ListChanged:           "list_changed",
	ListHeldBack:          "list_doubted",
	UpstreamJoined:        "upstream_joined",
	UpstreamLeaving:       "upstream_leaving",
	UpstreamRemoved:       "upstream_gone",
	UpstreamUnreachable:   "upstream_unreachable",
	UpstreamStatusChanged: "upstream_belief",
	ReportFailed:          "report_failed",
	UpstreamEjected:       "left_out",
	DataCentreRecovered:   "data_centre_back",
	UpstreamLimited:       "upstream_limited",
	UpstreamHeaderRefused: "upstream_header_refused",
	UpstreamPaused:        "upstream_paused",
	UpstreamEnded:         "upstream_ended",
	PromptsSuspected:      "prompts_suspected",
	PromptContained:       "prompt_contained",
	PromptReleased:        "prompt_released",
	RequestsSuspected:     "requests_suspected",
	RequestContained:      "request_contained",
	RequestReleased:       "request_released",
	PoolUnreachable:       "pool_unreachable",
	PoolReachable:         "pool_reachable",
	PoolBrittle:           "pool_brittle",
	CoordinatorChanged:    "coordinator_changed",
	UpstreamAvoided:       "upstream_avoided",
	UpstreamUsedAgain:     "upstream_used_again",
	PoolUneven:            "pool_uneven",
	UpstreamCold:          "upstream_cold",
	UpstreamWarm:          "upstream_warm",
	ColdValueRefused:      "cold_value_refused",
	RequestDetoured:       "request_detoured",
	TableAccepted:         "table_accepted",
	TableRefused:          "table_refused",
	StoreLost:             "store_lost",
	StoreRecovered:        "store_back",
	StoreEraChanged:       "store_era_changed",
	EvacuationStarted:     "evacuation_started",
	EvacuationEnded:       "evacuation_ended",
	EvacuationRefused:     "evacuation_refused",
	PlacementsHeld:        "placements_held",
	RanksClamped:          "ranks_clamped",
	RegionsUnknown:        "regions_unknown",
	RequestPlaced:         "request_placed",
	AttemptEnded:          "attempt_ended",
	RunMoved:              "run_moved",
	RequestClosed:         "request_closed",
	StreamTakenUp:         "stream_taken_up",
	PastRead:              "past_read",
	PastUnknown:           "past_unknown",
	EntryRefused:          "entry_refused",
	PeerJoined:            "peer_joined",
	PeerLost:              "peer_lost",
	DatagramDropped:       "datagram_dropped",
	StatePullFailed:       "state_pull_failed",
	SettingsReloaded:      "settings_reloaded",
	RequestEnded:          "request_ended",
	StreamResumed:         "stream_resumed",
	GenerationCancelled:   "generation_cancelled",
	GenerationOrphaned:    "generation_orphaned",
	LedgerHandedOver:      "ledger_handed_over",
	LedgerAdopted:         "ledger_taken",
}

// String returns the event's name in snake case.
func (id ID) String() string { return names[id] }

// All returns the names of all events by number.
func All() map[ID]string { return names }

// Log writes each event as a line with a JSON object. It never blocks, even if writes
// to the stream block or fail: events that don't fit into the buffer are dropped and
// counted.
type Log struct {
	out    *output.Writer
	logger log.Logger
	now    func() time.Time

	mu       sync.Mutex
	limiters map[ID]limiterState
}

// limiterState is the rate limiting state of one event number.
type limiterState struct {
	// quietUntil is the time until which events are suppressed.
	quietUntil time.Time
	// suppressed counts the events suppressed since the last logged event.
	suppressed int
}

// repeatInterval is the minimum time between two rate-limited events of one number.
const repeatInterval = 10 * time.Second

// NewLog returns an instance's log, which writes to w. The caller must close the log.
func NewLog(w io.Writer, instance string, now func() time.Time) *Log {
	out := output.New(w)
	logger := log.With(log.NewJSONLogger(out), "time", log.TimestampFormat(func() time.Time { return now().UTC() }, time.RFC3339Nano), "instance", instance)
	return &Log{out: out, logger: logger, now: now, limiters: map[ID]limiterState{}}
}

// Emit logs an event with alternating field names and values.
func (l *Log) Emit(id ID, pairs ...any) {
	// The instance must keep serving even if it can't write its log.
	_ = l.logger.Log(append([]any{"event", uint16(id), "name", id.String()}, pairs...)...)
}

// EmitRateLimited is Emit for failures of operations that are retried often. It
// logs each event number at most once per repeatInterval, with the number of
// events suppressed since the previous one.
func (l *Log) EmitRateLimited(id ID, pairs ...any) {
	l.mu.Lock()
	now, state := l.now(), l.limiters[id]
	if now.Before(state.quietUntil) {
		state.suppressed++
		l.limiters[id] = state
		l.mu.Unlock()
		return
	}
	l.limiters[id] = limiterState{quietUntil: now.Add(repeatInterval)}
	l.mu.Unlock()
	l.Emit(id, append(pairs, "suppressed", state.suppressed)...)
}

// Dropped returns the number of events that did not fit into the buffer.
func (l *Log) Dropped() uint64 { return l.out.Dropped() }

// Close waits until the queued events are written, but no later than the deadline.
func (l *Log) Close(deadline time.Time) { l.out.Close(deadline) }
