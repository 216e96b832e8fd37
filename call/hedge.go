package call

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/verdict"
)

// hedgeDelay is the time without an answer after which a call is sent to another
// service, for classes without a target for waiting. Classes with a target use
// half of it, so that the second answer can still meet the target.
const hedgeDelay = 500 * time.Millisecond

// hedgedCall is one idempotent call that can run on several services concurrently.
type hedgedCall struct {
	*Dispatcher
	request      Request
	placeRequest decide.Request
	// running is the number of attempts in progress; started is the number of all
	// attempts so far.
	running, started int
	results          chan attemptResult
	group            sync.WaitGroup
	// steps contains one line for each decision and failed attempt.
	steps []string
	// unanswered contains the names of the services that have not answered.
	unanswered map[string]bool
	// lastErr is the error of the call if no service answers; see recordFailure.
	lastErr error
}

// attemptResult is the result of sending the call to one service.
type attemptResult struct {
	upstream string
	answer   Answer
	err      error
}

// RunIdempotent places the call and sends it, and sends it to another service too
// if the answer is delayed or lost. The first complete answer is used. The scheduler
// places each further attempt only within the retry budget.
func (d *Dispatcher) RunIdempotent(ctx context.Context, class config.Class, r Request) (Answer, []string, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &hedgedCall{
		Dispatcher: d, request: r, placeRequest: decide.Request{ID: r.ID, Team: r.Team, Class: class},
		results: make(chan attemptResult, maxAttempts), unanswered: map[string]bool{},
	}
	delay := hedgeDelay
	if class.WaitTarget > 0 {
		h.placeRequest.StartBy = time.Now().Add(class.WaitTarget)
		delay = class.WaitTarget / 2
	}
	defer h.group.Wait()
	defer cancel()
	answer, err := h.run(ctx, delay)
	if h.started > 0 {
		d.Scheduler.Send(control.SchedulerEvent{Event: decide.Ended{ID: r.ID, Outcome: verdict.OutcomeOf(err)}})
	}
	return answer, h.steps, err
}

// run starts an attempt, and another one whenever an attempt fails or delay passes
// without a result. It returns the first answer.
func (h *hedgedCall) run(ctx context.Context, delay time.Duration) (Answer, error) {
	if !h.start(ctx) {
		return Answer{}, h.lastErr
	}
	for h.running > 0 {
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
			h.start(ctx)
		case result := <-h.results:
			timer.Stop()
			h.running--
			delete(h.unanswered, result.upstream)
			if result.err == nil {
				h.reportUnanswered()
				result.answer.Upstream = result.upstream
				return result.answer, nil
			}
			h.recordFailure(result)
			if ctx.Err() == nil {
				h.start(ctx)
			}
		}
	}
	return Answer{}, h.lastErr
}

// start sends the call to one more service. It reports whether the limit allowed
// another attempt and the scheduler placed it.
func (h *hedgedCall) start(ctx context.Context) bool {
	if h.started == maxAttempts {
		return false
	}
	place, err := h.Scheduler.Place(ctx, h.placeRequest)
	if err != nil {
		h.steps = append(h.steps, verdict.OutcomeOf(err).Detail)
		if h.lastErr == nil {
			h.lastErr = err
		}
		return false
	}
	name := place.Upstream.Name
	h.steps = append(h.steps, fmt.Sprintf("sent to %s: %s", name, place.Explanation))
	h.placeRequest.Excluded = append(h.placeRequest.Excluded, name)
	h.unanswered[name] = true
	h.running++
	h.started++
	h.group.Go(func() {
		answer, err := h.Client.Call(ctx, place.Upstream.Addr, h.request)
		h.results <- attemptResult{name, answer, err}
	})
	return true
}

// recordFailure records a failed attempt and reports it to the scheduler.
func (h *hedgedCall) recordFailure(result attemptResult) {
	outcome := verdict.OutcomeOf(result.err)
	h.steps = append(h.steps, fmt.Sprintf("%s: %s, %s: %s", result.upstream, outcome.Verdict, outcome.Reason, outcome.Detail))
	h.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: result.upstream, Reason: outcome.Reason}})
	// An attempt that may have run takes precedence over refusals, since the call
	// counts as not run only if every attempt is proved not to have run.
	if h.lastErr == nil || outcome.Verdict != verdict.NotRun || verdict.OutcomeOf(h.lastErr).Verdict == verdict.NotRun {
		h.lastErr = result.err
	}
}

// reportUnanswered reports the services that have not answered, although another
// service has, to the scheduler as failed.
func (h *hedgedCall) reportUnanswered() {
	for name := range h.unanswered {
		h.steps = append(h.steps, name+" had not answered when another service did")
		h.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: name, Reason: verdict.UpstreamLost}})
	}
}
