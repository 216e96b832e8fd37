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

// hedge is one idempotent call that may run on several services concurrently.
type hedge struct {
	*Dispatcher
	request      Request
	placeRequest decide.Request
	// running counts the attempts in progress, started all attempts.
	running, started int
	attempts         chan attempt
	group            sync.WaitGroup
	steps            []string
	// unanswered holds the services that have not answered.
	unanswered map[string]bool
	lastErr    error
}

// attempt is the outcome of sending the call to one service.
type attempt struct {
	upstream string
	answer   Answer
	err      error
}

// RunIdempotent places the call and sends it, and sends it to another service too
// if the answer is late or lost. The first complete answer is used. The scheduler
// places each further attempt only within the retry budget.
func (d *Dispatcher) RunIdempotent(ctx context.Context, class config.Class, r Request) (Answer, []string, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{
		Dispatcher: d, request: r, placeRequest: decide.Request{ID: r.ID, Team: r.Team, Class: class},
		attempts: make(chan attempt, maxAttempts), unanswered: map[string]bool{},
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

func (h *hedge) run(ctx context.Context, delay time.Duration) (Answer, error) {
	if !h.start(ctx) {
		return Answer{}, h.lastErr
	}
	for h.running > 0 {
		late := time.NewTimer(delay)
		select {
		case <-late.C:
			h.start(ctx)
		case a := <-h.attempts:
			late.Stop()
			h.running--
			delete(h.unanswered, a.upstream)
			if a.err == nil {
				h.reportUnanswered()
				a.answer.Upstream = a.upstream
				return a.answer, nil
			}
			h.recordFailure(a)
			if ctx.Err() == nil {
				h.start(ctx)
			}
		}
	}
	return Answer{}, h.lastErr
}

// start sends the call to one more service, if the scheduler places it.
func (h *hedge) start(ctx context.Context) bool {
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
	h.steps = append(h.steps, fmt.Sprintf("sent to %s: %s", name, place.Why))
	h.placeRequest.Avoid = append(h.placeRequest.Avoid, name)
	h.unanswered[name] = true
	h.running++
	h.started++
	h.group.Go(func() {
		answer, err := h.Client.Call(ctx, place.Upstream.Addr, h.request)
		h.attempts <- attempt{name, answer, err}
	})
	return true
}

func (h *hedge) recordFailure(a attempt) {
	outcome := verdict.OutcomeOf(a.err)
	h.steps = append(h.steps, fmt.Sprintf("%s: %s, %s: %s", a.upstream, outcome.Verdict, outcome.Reason, outcome.Detail))
	h.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: a.upstream, Reason: outcome.Reason}})
	// An attempt that may have run takes precedence over refusals, since the call
	// counts as not run only if every attempt is proved not to have run.
	if h.lastErr == nil || outcome.Verdict != verdict.NotRun || verdict.OutcomeOf(h.lastErr).Verdict == verdict.NotRun {
		h.lastErr = a.err
	}
}

// reportUnanswered reports to the scheduler, as failed, the services that have not
// answered although another service has.
func (h *hedge) reportUnanswered() {
	for name := range h.unanswered {
		h.steps = append(h.steps, name+" had not answered when another service did")
		h.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: name, Reason: verdict.UpstreamLost}})
	}
}
