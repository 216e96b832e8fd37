// Package decide implements scheduling on crowded upstreams: where a request
// goes, when, and whether it is refused. A scheduler is a pure function of its
// state, the time and an event. It uses no network, clock, lock or goroutine, so
// any test harness or simulation can drive it.
package decide

import (
	"net/netip"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// Upstream is a model engine or a plain service that requests can be placed at.
type Upstream struct {
	Name        string
	Pool        string
	DataCentre  string
	Addr        netip.AddrPort
	Incarnation ident.Incarnation
	// Leaving upstreams get no new requests.
	Leaving bool
	// Slots is the maximum number of concurrent requests, CapacityTokens the size
	// of the KV cache, and StepTime the duration of an iteration with a single
	// generation. Each is zero if it isn't declared and only load reports provide
	// it.
	Slots, CapacityTokens int
	StepTime              time.Duration
}

// Request is a request to be placed at an upstream.
type Request struct {
	ID    ident.Request
	Team  string
	Class config.Class
	// PromptTokens is the length of the prompt, estimated if the tokenizer isn't
	// known.
	PromptTokens int
	// Prefix holds the hashes of the prompt's leading blocks, the longest prefix
	// last.
	Prefix []uint64
	// StartBy is the deadline for placing the request; zero if its class has
	// none.
	StartBy time.Time
	// FirstTokenBy is the deadline for the first token; zero if there is none.
	FirstTokenBy time.Time
	// MaxOutputTokens bounds the output; zero if the caller gave no bound.
	MaxOutputTokens int
	// Excluded names the upstreams at which this request has failed.
	Excluded []string
	// NeverSent is set if no upstream has received the request yet, so that another
	// attempt doesn't count as a retry.
	NeverSent bool
}

// Report is an upstream's load at a time in the past.
type Report struct {
	TakenAt time.Time
	// Running and Waiting count generations or calls.
	Running, Waiting int
	// UsedTokens and CapacityTokens measure the KV cache; zero for plain
	// services.
	UsedTokens, CapacityTokens int
	// StepTime is the duration of the latest iteration.
	StepTime time.Duration
	// PendingPrefillTokens is the number of prompt tokens not yet prefilled.
	PendingPrefillTokens int
	// Preemptions is the total since the upstream's start.
	Preemptions uint64
}

// Event is an input to the scheduler.
type Event interface{ decideEvent() }

// UpstreamsChanged replaces the list of upstreams.
type UpstreamsChanged struct{ Upstreams []Upstream }

// ReportReceived carries a load report of an upstream.
type ReportReceived struct {
	Upstream string
	Report   Report
}

// Arrived requests a placement.
type Arrived struct{ Request Request }

// Progressed carries the number of tokens that a placed request has generated so
// far.
type Progressed struct {
	ID     ident.Request
	Tokens int
}

// Ended signals that a placed or waiting request is finished.
type Ended struct {
	ID      ident.Request
	Tokens  int
	Outcome verdict.Outcome
}

// Failed signals that an upstream failed for a request. An Ended or another
// Arrived event for the request follows.
type Failed struct {
	Upstream string
	Reason   verdict.Reason
}

// NoticeReceived carries a notice from another instance.
type NoticeReceived struct{ Notice Notice }

// MoveRequested requests a destination to which a placed request can move. The
// request counts at both upstreams until MoveEnded.
type MoveRequested struct {
	ID ident.Request
	// Excluded names the upstreams that can't take the request.
	Excluded []string
}

// MoveEnded signals that a move is finished. The request stays at its source
// unless Moved is set.
type MoveEnded struct {
	ID    ident.Request
	Moved bool
}

// Tick makes the scheduler act on the passage of time.
type Tick struct{}

func (UpstreamsChanged) decideEvent() {}
func (ReportReceived) decideEvent()   {}
func (Arrived) decideEvent()          {}
func (Progressed) decideEvent()       {}
func (Ended) decideEvent()            {}
func (Failed) decideEvent()           {}
func (NoticeReceived) decideEvent()   {}
func (MoveRequested) decideEvent()    {}
func (MoveEnded) decideEvent()        {}
func (Tick) decideEvent()             {}

// Action is an output of the scheduler for its caller to carry out.
type Action interface{ decideAction() }

// Place assigns a request to an upstream.
type Place struct {
	ID       ident.Request
	Upstream Upstream
	// Priority is for engines: requests with a higher priority are preempted
	// later.
	Priority int
	// Explanation holds the figures behind the choice, for the audit record.
	Explanation string
}

// Refuse ends a request that was not run.
type Refuse struct {
	ID     ident.Request
	Reason verdict.Reason
	// RetryAt is when a new attempt is likely to succeed.
	RetryAt     time.Time
	Explanation string
}

// NoticeKind is the kind of change that a notice reports.
type NoticeKind uint8

const (
	// NoticePlaced reports that an instance placed a request at an upstream.
	NoticePlaced NoticeKind = iota
	// NoticeProgressed reports how many tokens the request has generated so far.
	NoticeProgressed
	// NoticeEnded reports that the request has left the upstream or the queue.
	NoticeEnded
	// NoticeWaiting reports that the request entered the queue.
	NoticeWaiting
)

// Notice informs other instances about a stream that this one queued or placed.
type Notice struct {
	Kind NoticeKind
	// Request has only its ID set, except in NoticeWaiting and NoticePlaced.
	Request  Request
	Upstream string
	// DataCentre is that of the upstream; empty if there is no upstream.
	DataCentre string
	Tokens     int
	// Completed is set if the output came to its regular end.
	Completed bool
}

// Notify sends a notice to all other instances.
type Notify struct{ Notice Notice }

// Ejected signals that an upstream, or a whole data centre, temporarily gets no
// new requests because it fails or can't be reached. A zero Until signals that a
// data centre can be reached again.
type Ejected struct {
	// Upstream is empty if the whole data centre is ejected.
	Upstream   string
	DataCentre string
	// Until is the end of the ejection; zero if a data centre is back before its
	// time.
	Until time.Time
}

func (Place) decideAction()  {}
func (Notify) decideAction() {}

func (Ejected) decideAction() {}
func (Refuse) decideAction()  {}
