package gateway

import (
	"context"
	"time"

	"mangoloft/routing"
	"mangoloft/verdict"
)

const (
	// A request is sent to an upstream only if the planned stop does not end within minBeforeStop
	// and timesBeforeStop times the time that it takes if it meets its targets. Most requests end
	// in that time.
	minBeforeStop   = 500 * time.Millisecond
	timesBeforeStop = 2
)

// StopAt sets the time at which the planned stop ends, and cuts off the requests that are still
// in progress. New ones that might be among them are refused.
func (g *Gateway) StopAt(t time.Time) { g.stopsAt.Store(&t) }

// errInterrupted is the cause of the end of the contexts of requests that are interrupted.
var errInterrupted = verdict.Fail(verdict.MayHaveRun, verdict.Stopping, "the planned stop ends")

// Interrupt ends the requests that are still in progress. Those that have no response yet get
// one, which a closed connection would not give.
func (g *Gateway) Interrupt() { g.interrupt(errInterrupted) }

// requestContext returns a context that also ends at the deadline and with Interrupt.
func (g *Gateway) requestContext(parent context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	interruptible, interrupt := context.WithCancelCause(parent)
	unregister := context.AfterFunc(g.open, func() { interrupt(context.Cause(g.open)) })
	ctx, cancel := context.WithDeadline(interruptible, deadline)
	return ctx, func() {
		cancel()
		unregister()
		interrupt(nil)
	}
}

// checkStop returns a refusal if the planned stop might cut off the request, so that its caller
// goes to another instance.
func (g *Gateway) checkStop(q *request) error {
	if g.draining.Load() && q.route.Kind == routing.Streaming && !q.route.Idempotent() {
		return verdict.FailAt(verdict.NotRun, verdict.Stopping, time.Now(), "the instance is stopping and might cut off the stream")
	}
	stopsAt := g.stopsAt.Load()
	if stopsAt == nil || !q.mayRunUntil().After(*stopsAt) {
		return nil
	}
	return verdict.FailAt(verdict.NotRun, verdict.Stopping, time.Now(), "the instance stops in %v and might cut off the request", time.Until(*stopsAt).Round(time.Millisecond))
}

// mayRunUntil returns the time at which the request will probably have ended if it is sent now.
func (q *request) mayRunUntil() time.Time {
	duration, ok := q.timeOnTarget()
	if !ok {
		return q.deadline
	}
	until := time.Now().Add(max(minBeforeStop, timesBeforeStop*duration))
	if until.After(q.deadline) {
		return q.deadline
	}
	return until
}

// timeOnTarget returns the longest time that the request takes if it meets the targets of its
// route; ok is false for a stream of unknown length.
func (q *request) timeOnTarget() (duration time.Duration, ok bool) {
	if q.route.Kind != routing.Streaming {
		return q.route.Target, true
	}
	if q.info.MaxOutputTokens == 0 {
		return 0, false
	}
	tokensPerEvent := q.tokensPerEvent()
	events := (q.info.MaxOutputTokens + tokensPerEvent - 1) / tokensPerEvent
	if lastEventID, ok := q.lastEventID(); ok {
		events -= lastEventID + 1
	}
	eventTime := q.route.PauseTarget
	if eventTime == 0 {
		eventTime = time.Duration(tokensPerEvent) * loadedTokenTime
	}
	return q.route.Target + time.Duration(max(0, events-1))*eventTime, true
}
