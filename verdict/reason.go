package verdict

import "github.com/joomcode/errorx"

// Reason is why a request ended. The set is closed; docs/API.md lists it.
type Reason uint8

const (
	// Internal is an error of the entry instance itself.
	Internal Reason = iota
	// Completed is the whole answer, delivered.
	Completed
	// BadRequest is a request that is malformed or beyond a limit.
	BadRequest
	// UnknownTeam is a missing or unknown credential.
	UnknownTeam
	// UnknownClass is a class that the configuration doesn't have.
	UnknownClass
	// NotConfigured is an instance that hasn't got a configuration yet.
	NotConfigured
	// NoUpstream means that no live upstream serves the class.
	NoUpstream
	// Overloaded means that the forecast misses the class's target for waiting.
	Overloaded
	// WaitExpired means that the target for waiting passed in the queue.
	WaitExpired
	// Stopping is an instance in its planned stop.
	Stopping
	// ForeignKey is an idempotency key that no instance issued, or one issued
	// for another team or class.
	ForeignKey
	// TicketExpired is a ticket past its time of expiry.
	TicketExpired
	// TicketClosed is a ticket that was refused before: it did not run and
	// can't run any more. A new try needs another ticket.
	TicketClosed
	// HomeGone means that the only instance that may run the ticket doesn't
	// answer, or has given way to another incarnation.
	HomeGone
	// AlreadyRan means that the ticket ran before and its answer is no longer kept.
	AlreadyRan
	// UpstreamRefused is an upstream's explicit refusal, before any effect.
	UpstreamRefused
	// UpstreamUnreachable means that no connection could be made.
	UpstreamUnreachable
	// UpstreamLost is a connection lost, or silent past its deadline, after
	// the request was written.
	UpstreamLost
	// UpstreamFailed is an upstream's answer that says it failed.
	UpstreamFailed
	// AnswerMismatch is an answer that belongs to another request, or is cut short.
	AnswerMismatch
	// GenerationLost means that the engine no longer holds the generation, so
	// the rest of its tokens can't be delivered.
	GenerationLost
	// CallerGone is a caller that hung up and did not come back.
	CallerGone
	// UpstreamLeaving is the refusal of an upstream that takes no new work
	// any more.
	UpstreamLeaving
	// NotFound is a request or reference unknown here, or of another team.
	NotFound
)

var reasonNames = [...]string{
	Internal: "internal", Completed: "completed", BadRequest: "bad_request", UnknownTeam: "unknown_team",
	UnknownClass: "unknown_class", NotConfigured: "not_configured", NoUpstream: "no_upstream",
	Overloaded: "overloaded", WaitExpired: "wait_expired", Stopping: "stopping", ForeignKey: "foreign_key",
	TicketExpired: "ticket_expired", TicketClosed: "ticket_closed", HomeGone: "home_gone", AlreadyRan: "already_ran",
	UpstreamRefused: "upstream_refused", UpstreamUnreachable: "upstream_unreachable",
	UpstreamLost: "upstream_lost", UpstreamFailed: "upstream_failed", AnswerMismatch: "answer_mismatch",
	UpstreamLeaving: "upstream_leaving", GenerationLost: "generation_lost", CallerGone: "caller_gone", NotFound: "not_found",
}

// String returns the reason's name in snake case.
func (r Reason) String() string { return reasonNames[r] }

// MarshalText implements encoding.TextMarshaler.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is an error.
func (r *Reason) UnmarshalText(text []byte) error {
	for i, name := range reasonNames {
		if name == string(text) {
			*r = Reason(i)
			return nil
		}
	}
	return errorx.IllegalFormat.New("unknown reason %q", text)
}

// Reasons returns every reason, in order.
func Reasons() []Reason {
	all := make([]Reason, len(reasonNames))
	for i := range all {
		all[i] = Reason(i)
	}
	return all
}
