// Package decide schedules requests on crowded upstreams: it decides on which
// upstream a request runs, when, and whether it is refused. A scheduler is a
// pure function of its state, the time and an event. It uses no network,
// clock, lock or goroutine, so any test harness or simulation can drive it.
//
// Each instance has its own scheduler. The schedulers of all instances exchange
// notices about the streams that they queue and place, so that each can forecast
// the load of an engine without a central coordinator. A stream is a generation
// on a model engine; a call is a request to a plain service.
package decide

import (
	"net/netip"
	"time"

	"mangoloft/config"
	"mangoloft/fingerprint"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/prompt"
	"mangoloft/verdict"
)

// Upstream is a model engine or a replica of a plain service. Requests are
// placed on it.
type Upstream struct {
	Name string
	// Pool is the name of the set of interchangeable upstreams that this one
	// belongs to.
	Pool       string
	DataCentre string
	Addr       netip.AddrPort
	// Incarnation identifies the process: it changes when the upstream restarts.
	Incarnation ident.Incarnation
	// Version is the version of its software.
	Version string
	// Leaving upstreams get no new requests.
	Leaving bool
	// Slots is the maximum number of concurrent requests, CapacityTokens the size
	// of the KV cache, and StepTime the duration of an iteration with a single
	// generation. A value of zero is not declared and is known only from
	// load reports.
	Slots, CapacityTokens int
	StepTime              time.Duration
	// ColdUntil is the end of the time in which the upstream is cold, according to the list
	// and its start. ColdPerSecond is the rate of requests that it bears while it is cold; 0
	// if there is no limit. ColdStart is the usual cold time.
	ColdUntil     time.Time
	ColdPerSecond float64
	ColdStart     time.Duration
}

// Request is a request to be placed on an upstream.
type Request struct {
	ID    ident.Request
	Team  string
	Class config.Class
	// Rank orders the requests of a service: 0 to MaxRank, the most urgent first. Ranked
	// reports whether the requests of the service differ in rank; otherwise Rank is 0.
	Rank   int
	Ranked bool
	// PromptTokens is the length of the prompt, estimated if the model's
	// tokenizer is not available.
	PromptTokens int
	// Prefix contains the hashes of the prompt's leading blocks, the longest
	// prefix last.
	Prefix []uint64
	// Parts are the parts of the prompt that other requests may share. Requests with parts
	// on which engines crash are refused.
	Parts []prompt.Part
	// Fingerprint recognizes repeats of the request; zero if it isn't known.
	Fingerprint fingerprint.Fingerprint
	// Stream identifies the stream to other instances; zero if the caller can't take it up.
	Stream origin.Key
	// NeedsVersion means that the stream has begun, and may go on only at an upstream whose
	// software has the Version.
	NeedsVersion bool
	Version      string
	// StartBy is the deadline for placing the request; zero if its class has
	// none.
	StartBy time.Time
	// FirstTokenBy is the deadline for the first token; zero if there is none.
	FirstTokenBy time.Time
	// Deadline is the time at which the caller gives up; zero if it isn't known.
	Deadline time.Time
	// PauseTarget is the target for the longest pause between two events of a stream;
	// zero if it has none.
	PauseTarget time.Duration
	// MaxOutputTokens limits the output; zero if the caller set no limit.
	MaxOutputTokens int
	// Excluded contains the names of the upstreams on which this request has
	// failed.
	Excluded []string
	// NeverSent reports whether no upstream has received the request yet. Another
	// attempt then doesn't count as a retry.
	NeverSent bool
	// Repeatable reports whether the request can be sent again if an upstream fails it.
	Repeatable bool
	// Resubmitted reports whether the request was submitted before, and FromMember whether
	// another instance sent it.
	Resubmitted, FromMember bool
	// Regions are the regions to which the request is restricted; nil if it isn't. An empty
	// list allows none.
	Regions []string
	// CanDetour reports whether another instance reaches the upstreams of the pool, as far
	// as this one knows, and can be asked to serve the request.
	CanDetour bool
	// CanUseCoordinator reports whether the request can be sent to the coordinator of an
	// upstream. Only is the name of the upstream for which another instance sent it here;
	// empty if the caller did.
	CanUseCoordinator bool
	Only              string
}

// Report is an upstream's load at a time in the past.
type Report struct {
	TakenAt time.Time
	// Running and Waiting are the numbers of generations or calls.
	Running, Waiting int
	// PacePercent is how long work takes at the moment, in percent of the usual time; 0 if
	// the upstream does not declare it.
	PacePercent float64
	// UsedTokens and CapacityTokens are the used and the total size of the KV
	// cache; zero for plain services.
	UsedTokens, CapacityTokens int
	// StepTime is the duration of the latest iteration.
	StepTime time.Duration
	// PendingPrefillTokens is the number of prompt tokens not yet prefilled.
	PendingPrefillTokens int
	// Preemptions is the number of preempted generations since the upstream's
	// start.
	Preemptions uint64
	// Factor is how long work takes there, relative to the mean of its service; zero if
	// not known.
	Factor float64
}

// Event is an input to the scheduler.
type Event interface{ decideEvent() }

// UpstreamsChanged replaces the list of upstreams.
type UpstreamsChanged struct{ Upstreams []Upstream }

// UpstreamChanged adds, replaces or removes one upstream.
type UpstreamChanged struct {
	Upstream Upstream
	Removed  bool
}

// ReportReceived contains a load report of an upstream.
type ReportReceived struct {
	Upstream string
	Report   Report
}

// Arrived requests the placement of a new or retried request.
type Arrived struct{ Request Request }

// Progressed updates the number of tokens that a placed request has generated
// so far.
type Progressed struct {
	ID     ident.Request
	Tokens int
	// Pace is the pace since the previous report.
	Pace Pace
}

// Answered reports that the header of a placed stream has arrived.
type Answered struct{ ID ident.Request }

// Ended reports that a placed or waiting request is finished.
type Ended struct {
	ID      ident.Request
	Tokens  int
	Outcome verdict.Outcome
}

// Failed reports that a request failed on an upstream. An Ended or another
// Arrived event for the request follows. The ID is zero if it isn't known.
type Failed struct {
	ID       ident.Request
	Upstream string
	Reason   verdict.Reason
}

// NoticeReceived contains a notice from another instance.
type NoticeReceived struct{ Notice Notice }

// MoveRequested requests another upstream, the destination, for a running
// request. The request counts as load on both upstreams until MoveEnded.
type MoveRequested struct {
	ID ident.Request
	// Optional reports whether the request can stay where it is. It then moves only if
	// prompts delay it less elsewhere. Otherwise its upstream leaves.
	Optional bool
	// Excluded contains the names of the upstreams that can't receive the
	// request.
	Excluded []string
}

// MoveEnded reports that a move is finished. The request remains on its source
// unless Moved is true.
type MoveEnded struct {
	ID    ident.Request
	Moved bool
}

// Tick makes the scheduler check its deadlines.
type Tick struct{}

func (UpstreamsChanged) decideEvent() {}
func (UpstreamChanged) decideEvent()  {}
func (ReportReceived) decideEvent()   {}
func (Arrived) decideEvent()          {}
func (Progressed) decideEvent()       {}
func (Answered) decideEvent()         {}
func (Ended) decideEvent()            {}
func (Failed) decideEvent()           {}
func (NoticeReceived) decideEvent()   {}
func (MoveRequested) decideEvent()    {}
func (MoveEnded) decideEvent()        {}
func (Tick) decideEvent()             {}

// Action is an output of the scheduler for its caller to carry out.
type Action interface{ decideAction() }

// Place places a request on an upstream.
type Place struct {
	ID       ident.Request
	Upstream Upstream
	// Coordinator is the control address of the instance that admits requests to the
	// upstream; invalid if this one does.
	Coordinator netip.AddrPort
	// Limited reports whether the upstream has declared a limit, and Brittle whether an
	// upstream of its pool has declared that it is brittle.
	Limited, Brittle bool
	// Priority is for engines: requests with a higher priority are preempted
	// later.
	Priority int
	// Explanation contains the figures behind the choice, for the audit record.
	Explanation string
}

// Refuse ends a request that was not run.
type Refuse struct {
	ID     ident.Request
	Reason verdict.Reason
	// RetryAt is the time after which a new attempt is likely to succeed.
	RetryAt     time.Time
	Explanation string
}

// NoticeKind is the kind of change that a notice reports.
type NoticeKind uint8

const (
	// NoticePlaced reports that an instance placed a request on an upstream.
	NoticePlaced NoticeKind = iota
	// NoticeProgressed reports the number of tokens generated so far.
	NoticeProgressed
	// NoticeEnded reports that the request has left the upstream or the queue.
	NoticeEnded
	// NoticeWaiting reports that the request entered the queue.
	NoticeWaiting
)

// Notice is a message to other instances about a stream that this one queued
// or placed.
type Notice struct {
	Kind NoticeKind
	// Request has only its ID set, except in NoticeWaiting and NoticePlaced.
	Request  Request
	Upstream string
	// DataCentre is the upstream's data centre; empty if there is no upstream.
	DataCentre string
	Tokens     int
	// Pace is the pace of the stream since the previous NoticeProgressed.
	Pace Pace
	// Completed reports whether the output reached its regular end.
	Completed bool
	// Failed reports whether the upstream failed the request, in NoticeEnded.
	Failed bool
	// Remote reports whether the sender is in another data centre than the upstream, if Failed.
	Remote bool
	// Began is the stream that has begun on the upstream, in the first NoticeProgressed;
	// otherwise zero.
	Began origin.Key
	// Version is the version of the upstream's software, if Began is set. Notices of older
	// builds don't contain it.
	Version string
	// Deferrable notices can be sent later, together with others: the recipients only
	// overestimate the load in the meantime.
	Deferrable bool
}

// Notify sends a notice to all other instances.
type Notify struct{ Notice Notice }

// Ejected reports that an upstream, or a whole data centre, temporarily gets
// no new requests because it fails or can't be reached. With a zero Until it
// reports that a data centre can be reached again.
type Ejected struct {
	// Upstream is empty if the whole data centre is ejected.
	Upstream   string
	DataCentre string
	// Until is the end of the ejection; zero if a data centre is reachable again.
	Until time.Time
}

func (Place) decideAction()  {}
func (Notify) decideAction() {}

func (Ejected) decideAction() {}
func (Refuse) decideAction()  {}
