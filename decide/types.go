// Package decide holds the decisions on crowded upstreams: where a request
// goes, when, and whether it is refused. It is a pure function of its state,
// the time and an event: no network, clock, lock or process is in it, so that
// any harness can drive it.
package decide

import (
	"net/netip"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// Upstream is a model engine or a plain service that may get work.
type Upstream struct {
	Name        string
	Pool        string
	DataCentre  string
	Addr        netip.AddrPort
	Incarnation ident.Incarnation
	// Leaving upstreams get no new work.
	Leaving bool
	// Slots is how many requests it runs at once, CapacityTokens its key-value
	// memory, and StepTime that of an iteration with a single generation, as
	// far as they are declared; zero when only reports tell.
	Slots, CapacityTokens int
	StepTime              time.Duration
}

// Request is one request that asks for a place.
type Request struct {
	ID    ident.Request
	Team  string
	Class config.Class
	// PromptTokens is the length of the prompt, estimated where the tokenizer
	// is not known.
	PromptTokens int
	// Prefix holds the hashes of the prompt's leading blocks, longest last.
	Prefix []uint64
	// StartBy is when the target for waiting passes; zero when the class has none.
	StartBy time.Time
	// FirstTokenBy is when the first token is due; zero when there is no such target.
	FirstTokenBy time.Time
	// MaxOutputTokens bounds the output; zero when the caller gave no bound.
	MaxOutputTokens int
	// Avoid names upstreams that this request has failed at.
	Avoid []string
	// Unsent says that no upstream has got the request yet, so that another
	// try is no retry.
	Unsent bool
}

// Report is an upstream's report of its load, as of a time in the past.
type Report struct {
	TakenAt time.Time
	// Running and Waiting count generations or calls.
	Running, Waiting int
	// UsedTokens and CapacityTokens measure key-value memory; zero for services.
	UsedTokens, CapacityTokens int
	// StepTime is the duration of the latest iteration.
	StepTime time.Duration
	// PendingPrefillTokens are those of prompts that it has yet to read.
	PendingPrefillTokens int
	// Preemptions counts since the upstream's start.
	Preemptions uint64
}

// Event is what the scheduler is told.
type Event interface{ decideEvent() }

// UpstreamsChanged replaces the upstreams.
type UpstreamsChanged struct{ Upstreams []Upstream }

// ReportReceived is a new load report of an upstream.
type ReportReceived struct {
	Upstream string
	Report   Report
}

// Arrived asks for a place for a request.
type Arrived struct{ Request Request }

// Progressed says how many tokens a placed request has got by now.
type Progressed struct {
	ID     ident.Request
	Tokens int
}

// Ended says that a placed or waiting request is over.
type Ended struct {
	ID      ident.Request
	Tokens  int
	Outcome verdict.Outcome
}

// Failed says that an upstream failed for a request, which is then over or
// asks again by Arrived.
type Failed struct {
	Upstream string
	Reason   verdict.Reason
}

// NoticeReceived is another instance's notice.
type NoticeReceived struct{ Notice Notice }

// Relocating asks for an upstream that a placed request can move to. Until
// Relocated, it counts at both.
type Relocating struct {
	ID ident.Request
	// Avoid names upstreams that can't take it.
	Avoid []string
}

// Relocated says that a move is over. The request stays where it was unless
// Moved is set.
type Relocated struct {
	ID    ident.Request
	Moved bool
}

// Tick lets time pass.
type Tick struct{}

func (UpstreamsChanged) decideEvent() {}
func (ReportReceived) decideEvent()   {}
func (Arrived) decideEvent()          {}
func (Progressed) decideEvent()       {}
func (Ended) decideEvent()            {}
func (Failed) decideEvent()           {}
func (NoticeReceived) decideEvent()   {}
func (Relocating) decideEvent()       {}
func (Relocated) decideEvent()        {}
func (Tick) decideEvent()             {}

// Action is what the scheduler wants done.
type Action interface{ decideAction() }

// Place sends a request to an upstream.
type Place struct {
	ID       ident.Request
	Upstream Upstream
	// Priority is for engines: a larger one is preempted later.
	Priority int
	// Why holds the figures that decided, for the audit record.
	Why string
}

// Refuse ends a request that was not run.
type Refuse struct {
	ID     ident.Request
	Reason verdict.Reason
	// RetryAt is when a new try has a chance.
	RetryAt time.Time
	Why     string
}

// NoticeKind is what a notice tells.
type NoticeKind uint8

const (
	// NoticePlaced tells that an instance sends a request to an upstream.
	NoticePlaced NoticeKind = iota
	// NoticeProgressed tells how many tokens it has by now.
	NoticeProgressed
	// NoticeEnded tells that it is over, there or in the queue.
	NoticeEnded
	// NoticeWaiting tells that a request waits in the queue.
	NoticeWaiting
)

// Notice tells other instances of a stream that this one queued or placed.
type Notice struct {
	Kind NoticeKind
	// Request has only its id, unless the request waits or is being placed.
	Request  Request
	Upstream string
	// DataCentre is the upstream's; empty without one.
	DataCentre string
	Tokens     int
	// Completed says that the output came to its regular end.
	Completed bool
}

// Notify sends a notice to all other instances.
type Notify struct{ Notice Notice }

// Ejected says that an upstream, or all of a data centre, gets nothing new for a
// while because it fails or can't be reached.
type Ejected struct {
	// Upstream is empty when all of the data centre is left out.
	Upstream   string
	DataCentre string
	// Until is zero when a data centre is back before its time.
	Until time.Time
}

func (Place) decideAction()  {}
func (Notify) decideAction() {}

func (Ejected) decideAction() {}
func (Refuse) decideAction()  {}
