package verdict

import "github.com/joomcode/errorx"

// Reason is the cause of a request's outcome. docs/API.md lists all reasons.
//
// Some reasons concern tickets. A ticket is an idempotency key under which a call
// runs at most once. Its home is the incarnation of an instance (one execution of
// its process) that issued it. Only the home, or the instance that has adopted the
// home's records in a planned stop, may run the ticket.
type Reason uint8

const (
	// Internal is an internal error of the entry instance.
	Internal Reason = iota
	// Completed means that the complete answer was delivered.
	Completed
	// BadRequest means that the request is malformed or exceeds a limit.
	BadRequest
	// UnknownTeam means that the credential is missing or unknown.
	UnknownTeam
	// UnknownClass means that the configuration does not contain the class.
	UnknownClass
	// NotConfigured means that the instance has no configuration yet.
	NotConfigured
	// NoUpstream means that no live upstream serves the class.
	NoUpstream
	// Overloaded means that the forecast wait exceeds the class's target, or that
	// a limit is reached, such as the limit on the instance's open requests.
	Overloaded
	// WaitExpired means that the request's target for waiting or its deadline has
	// passed.
	WaitExpired
	// Stopping means that the instance is in its planned stop.
	Stopping
	// ForeignKey means that no instance issued the idempotency key, or that it was
	// issued for another team or class.
	ForeignKey
	// TicketExpired means that the ticket's expiry time has passed.
	TicketExpired
	// TicketClosed means that the ticket was refused earlier. It did not run and
	// can no longer run, so a retry needs another ticket.
	TicketClosed
	// HomeUnavailable means that the ticket's home does not respond, or was replaced by a
	// later incarnation of the instance.
	HomeUnavailable
	// AlreadyRan means that the ticket ran before and its answer is no longer kept.
	AlreadyRan
	// UpstreamRefused means that the upstream explicitly refused the request, which
	// had no effect.
	UpstreamRefused
	// UpstreamUnreachable means that no connection to the upstream could be made.
	UpstreamUnreachable
	// UpstreamLost means that the connection failed or timed out after the
	// request was written.
	UpstreamLost
	// UpstreamFailed means that the upstream returned an error response that
	// doesn't prove that the request had no effect.
	UpstreamFailed
	// AnswerMismatch means that the answer can't be accepted as the complete answer
	// to the request: it belongs to another request, is malformed or exceeds a
	// limit.
	AnswerMismatch
	// GenerationLost means that the engine no longer has the generation, so the
	// rest of its tokens can't be delivered.
	GenerationLost
	// CallerDisconnected means that the caller disconnected and did not resume.
	CallerDisconnected
	// UpstreamLeaving means that the upstream refused the request because it is
	// draining and accepts no new work.
	UpstreamLeaving
	// PromptContained means that the prompt has a part on which engines crash.
	PromptContained
	// CutOff means that the instance can't reach the upstreams, and no other instance
	// could serve the request either.
	CutOff
	// RequestContained means that upstreams crash on this very request.
	RequestContained
	// NotFound means that the request id or reference is unknown or belongs to
	// another team.
	NotFound
	// Evacuated means that the operators let nothing be sent to the data centres of all
	// upstreams that could serve the request.
	Evacuated
)

var reasonNames = [...]string{
	Internal: "internal", Completed: "completed", BadRequest: "bad_request", UnknownTeam: "unknown_team",
	UnknownClass: "unknown_class", NotConfigured: "not_configured", NoUpstream: "no_upstream",
	Overloaded: "overloaded", WaitExpired: "wait_expired", Stopping: "stopping", ForeignKey: "foreign_key",
	TicketExpired: "ticket_expired", TicketClosed: "ticket_closed", HomeUnavailable: "home_gone", AlreadyRan: "already_ran",
	UpstreamRefused: "upstream_refused", UpstreamUnreachable: "upstream_unreachable",
	UpstreamLost: "upstream_lost", UpstreamFailed: "upstream_failed", AnswerMismatch: "answer_mismatch",
	UpstreamLeaving: "upstream_leaving", GenerationLost: "generation_lost", CallerDisconnected: "caller_gone", NotFound: "not_found",
	PromptContained: "prompt_contained", RequestContained: "request_contained", CutOff: "cut_off", Evacuated: "evacuated",
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
