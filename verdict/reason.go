package verdict

import "github.com/joomcode/errorx"

// Reason is why a request ended as it did. docs/API.md lists all reasons.
type Reason uint8

const (
	// Internal is an internal error of the entry instance.
	Internal Reason = iota
	// Completed means that the complete answer was delivered.
	Completed
	// BadRequest is a request that is malformed or exceeds a limit.
	BadRequest
	// UnknownTeam is a missing or unknown credential.
	UnknownTeam
	// UnknownClass is a class that is not in the configuration.
	UnknownClass
	// NotConfigured means that the instance has no configuration yet.
	NotConfigured
	// NoUpstream means that no live upstream serves the class.
	NoUpstream
	// Overloaded means that the forecast wait exceeds the class's target, or that
	// a limit is reached, such as that on the instance's open requests.
	Overloaded
	// WaitExpired means that the request's target for waiting or its deadline
	// passed.
	WaitExpired
	// Stopping means that the instance is in its planned stop.
	Stopping
	// ForeignKey is an idempotency key that no instance issued, or one issued
	// for another team or class.
	ForeignKey
	// TicketExpired is a ticket past its expiry time.
	TicketExpired
	// TicketClosed is a ticket that was refused earlier. It did not run and can
	// no longer run, so a retry needs another ticket.
	TicketClosed
	// HomeGone means that the only instance that may run the ticket doesn't
	// answer, or was replaced by a later incarnation.
	HomeGone
	// AlreadyRan means that the ticket ran before and its answer is no longer kept.
	AlreadyRan
	// UpstreamRefused is an upstream's explicit refusal of a request that had no
	// effect.
	UpstreamRefused
	// UpstreamUnreachable means that no connection to the upstream could be made.
	UpstreamUnreachable
	// UpstreamLost means that the connection failed or timed out after the
	// request was written.
	UpstreamLost
	// UpstreamFailed is an error response from the upstream that doesn't prove
	// that the request had no effect.
	UpstreamFailed
	// AnswerMismatch is an answer that can't be accepted as the complete answer to
	// the request: it belongs to another request, is malformed or exceeds a limit.
	AnswerMismatch
	// GenerationLost means that the engine no longer holds the generation, so
	// the rest of its tokens can't be delivered.
	GenerationLost
	// CallerDisconnected means that the caller disconnected and did not resume.
	CallerDisconnected
	// UpstreamLeaving is the refusal of an upstream that is draining and accepts
	// no new work.
	UpstreamLeaving
	// NotFound is a request id or reference that is unknown or belongs to another
	// team.
	NotFound
)

var reasonNames = [...]string{
	Internal: "internal", Completed: "completed", BadRequest: "bad_request", UnknownTeam: "unknown_team",
	UnknownClass: "unknown_class", NotConfigured: "not_configured", NoUpstream: "no_upstream",
	Overloaded: "overloaded", WaitExpired: "wait_expired", Stopping: "stopping", ForeignKey: "foreign_key",
	TicketExpired: "ticket_expired", TicketClosed: "ticket_closed", HomeGone: "home_gone", AlreadyRan: "already_ran",
	UpstreamRefused: "upstream_refused", UpstreamUnreachable: "upstream_unreachable",
	UpstreamLost: "upstream_lost", UpstreamFailed: "upstream_failed", AnswerMismatch: "answer_mismatch",
	UpstreamLeaving: "upstream_leaving", GenerationLost: "generation_lost", CallerDisconnected: "caller_gone", NotFound: "not_found",
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
