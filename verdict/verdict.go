// Package verdict defines the outcome of a request: whether it ran, and why it
// ended as it did. Every error response carries both.
package verdict

import (
	"context"
	"errors"
	"time"

	"github.com/joomcode/errorx"
)

// Verdict classifies a request by whether it had an effect on an upstream.
type Verdict uint8

const (
	// MayHaveRun is deliberately the zero value: NotRun and Ran require proof, so
	// a verdict that was never set must be unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream received the request, or that the upstream
	// refused it before it had any effect.
	NotRun
	// Ran means that an upstream ran the request, whether or not the caller
	// received the complete answer.
	Ran
)

var verdictNames = [...]string{MayHaveRun: "may_have_run", NotRun: "not_run", Ran: "ran"}

// String returns the verdict's name in snake case.
func (v Verdict) String() string { return verdictNames[v] }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is an error.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return errorx.IllegalFormat.New("unknown verdict %q", text)
}

// Outcome is the final state of one request.
type Outcome struct {
	Verdict Verdict
	Reason  Reason
	// RetryAt is the earliest time at which a retry may succeed. It is set only
	// for NotRun, and is zero if a retry can't succeed.
	RetryAt time.Time
	// Detail is a message for people. It never contains secrets or prompts.
	Detail string
}

// Success reports whether the request ran and its complete answer was delivered.
func (o Outcome) Success() bool { return o.Verdict == Ran && o.Reason == Completed }

var (
	namespace = errorx.NewNamespace("verdict")
	// ErrorType is the errorx type of every error made by Fail.
	ErrorType       = namespace.NewType("failed")
	outcomeProperty = errorx.RegisterProperty("outcome")
)

// Fail returns an error that contains an outcome, which OutcomeOf extracts.
func Fail(v Verdict, r Reason, format string, args ...any) error {
	err := ErrorType.New(format, args...)
	return err.WithProperty(outcomeProperty, Outcome{Verdict: v, Reason: r, Detail: err.Message()})
}

// FailAt is like Fail, and sets the time from which a retry may succeed.
func FailAt(v Verdict, r Reason, retryAt time.Time, format string, args ...any) error {
	err := ErrorType.New(format, args...)
	return err.WithProperty(outcomeProperty, Outcome{Verdict: v, Reason: r, RetryAt: retryAt, Detail: err.Message()})
}

// OutcomeOf returns the outcome that err contains. An error without an outcome proves
// nothing, so its verdict is MayHaveRun.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Outcome{Verdict: Ran, Reason: Completed}
	}
	if property, ok := errorx.ExtractProperty(err, outcomeProperty); ok {
		if outcome, ok := property.(Outcome); ok {
			return outcome
		}
	}
	return Outcome{Verdict: MayHaveRun, Reason: Internal, Detail: err.Error()}
}

// ContextEnded returns the error of a request whose context has ended: at its deadline, because
// the instance stops, or because its caller has disconnected. when says how far it had come.
func ContextEnded(ctx context.Context, v Verdict, when string) error {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return Fail(v, WaitExpired, "the deadline passed %s", when)
	case OutcomeOf(cause).Reason == Stopping:
		return Fail(v, Stopping, "the instance stopped %s", when)
	}
	return Fail(v, CallerDisconnected, "the caller disconnected %s", when)
}
