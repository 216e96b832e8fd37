package call

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/verdict"
)

// maxAttempts is the maximum number of times that one call is sent, including
// attempts that are proved not to have run.
const maxAttempts = 3

// ServiceClient sends calls to services.
type ServiceClient interface {
	// Call sends the request exactly once. An error with verdict NotRun proves
	// that it had no effect.
	Call(ctx context.Context, addr netip.AddrPort, r Request) (Answer, error)
}

// Scheduler places requests on upstreams and receives their outcomes.
type Scheduler interface {
	Place(ctx context.Context, r decide.Request) (decide.Place, error)
	Send(e control.Event)
}

// Dispatcher sends calls to the services that the scheduler chooses.
type Dispatcher struct {
	Scheduler Scheduler
	Client    ServiceClient
}

// Run places the call and sends it. It retries on another upstream only when the
// call is proved not to have run. The returned steps contain one line for each
// decision and failed attempt, for the audit record.
func (d *Dispatcher) Run(ctx context.Context, class config.Class, r Request) (answer Answer, steps []string, err error) {
	placeRequest := decide.Request{ID: r.ID, Team: r.Team, Class: class}
	if class.WaitTarget > 0 {
		placeRequest.StartBy = time.Now().Add(class.WaitTarget)
	}
	for range maxAttempts {
		place, refusal := d.Scheduler.Place(ctx, placeRequest)
		if refusal != nil {
			return Answer{}, append(steps, verdict.OutcomeOf(refusal).Detail), firstCause(err, refusal)
		}
		if time.Now().After(r.Deadline) {
			// The process may have been paused after the call was placed.
			err = verdict.Fail(verdict.NotRun, verdict.WaitExpired, "the deadline passed before the call was sent to %s", place.Upstream.Name)
			d.Scheduler.Send(control.SchedulerEvent{Event: decide.Ended{ID: r.ID, Outcome: verdict.OutcomeOf(err)}})
			return Answer{}, append(steps, verdict.OutcomeOf(err).Detail), err
		}
		steps = append(steps, fmt.Sprintf("sent to %s: %s", place.Upstream.Name, place.Explanation))
		answer, err = d.Client.Call(ctx, place.Upstream.Addr, r)
		d.Scheduler.Send(control.SchedulerEvent{Event: decide.Ended{ID: r.ID, Outcome: verdict.OutcomeOf(err)}})
		if err == nil {
			answer.Upstream = place.Upstream.Name
			return answer, steps, nil
		}
		outcome := verdict.OutcomeOf(err)
		steps = append(steps, fmt.Sprintf("%s: %s, %s: %s", place.Upstream.Name, outcome.Verdict, outcome.Reason, outcome.Detail))
		if outcome.Verdict != verdict.NotRun || ctx.Err() != nil {
			return Answer{}, steps, err
		}
		d.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: place.Upstream.Name, Reason: outcome.Reason}})
		placeRequest.Excluded = append(placeRequest.Excluded, place.Upstream.Name)
	}
	return Answer{}, steps, err
}

// firstCause returns the error of a call that could not be placed again: the
// error of the previous attempt if there was one, and otherwise the scheduler's
// refusal.
func firstCause(previous, refusal error) error {
	if previous == nil {
		return refusal
	}
	outcome := verdict.OutcomeOf(previous)
	return verdict.FailAt(verdict.NotRun, outcome.Reason, verdict.OutcomeOf(refusal).RetryAt, "%s", outcome.Detail)
}
