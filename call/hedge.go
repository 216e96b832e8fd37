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

// hedgeDelay is when a call of a class without a target for waiting is sent a
// second time. With a target it is half of it, so that the second answer can
// still meet it.
const hedgeDelay = 500 * time.Millisecond

// hedge is one idempotent call that may be at several services at once.
type hedge struct {
	*Dispatcher
	request Request
	asked   decide.Request
	// under counts the attempts that are under way, started all.
	under, started int
	attempts       chan attempt
	group          sync.WaitGroup
	steps          []string
	// pending holds the services that have not answered.
	pending map[string]bool
	lastErr error
}

// attempt is what came of sending the call to one service.
type attempt struct {
	upstream string
	answer   Answer
	err      error
}

// RunIdempotent places the call and sends it, and sends it to another service
// as well when the answer is late or lost. The first whole answer counts. Each
// further attempt needs a place, which the scheduler gives within the retry
// budget.
func (d *Dispatcher) RunIdempotent(ctx context.Context, class config.Class, r Request) (Answer, []string, error) {
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{
		Dispatcher: d, request: r, asked: decide.Request{ID: r.ID, Team: r.Team, Class: class},
		attempts: make(chan attempt, maxAttempts), pending: map[string]bool{},
	}
	delay := hedgeDelay
	if class.WaitTarget > 0 {
		h.asked.StartBy = time.Now().Add(class.WaitTarget)
		delay = class.WaitTarget / 2
	}
	defer h.group.Wait()
	defer cancel()
	answer, err := h.run(ctx, delay)
	if h.started > 0 {
		d.Scheduler.Send(control.SchedulerEvent{Event: decide.Ended{ID: r.ID, Outcome: verdict.Of(err)}})
	}
	return answer, h.steps, err
}

func (h *hedge) run(ctx context.Context, delay time.Duration) (Answer, error) {
	if !h.start(ctx) {
		return Answer{}, h.lastErr
	}
	for h.under > 0 {
		late := time.NewTimer(delay)
		select {
		case <-late.C:
			h.start(ctx)
		case a := <-h.attempts:
			late.Stop()
			h.under--
			delete(h.pending, a.upstream)
			if a.err == nil {
				h.blameSilent()
				a.answer.Upstream = a.upstream
				return a.answer, nil
			}
			h.fail(a)
			if ctx.Err() == nil {
				h.start(ctx)
			}
		}
	}
	return Answer{}, h.lastErr
}

// start sends the call to one more service, if there is a place for it.
func (h *hedge) start(ctx context.Context) bool {
	if h.started == maxAttempts {
		return false
	}
	place, err := h.Scheduler.Place(ctx, h.asked)
	if err != nil {
		h.steps = append(h.steps, verdict.Of(err).Detail)
		if h.lastErr == nil {
			h.lastErr = err
		}
		return false
	}
	name := place.Upstream.Name
	h.steps = append(h.steps, fmt.Sprintf("sent to %s: %s", name, place.Why))
	h.asked.Avoid = append(h.asked.Avoid, name)
	h.pending[name] = true
	h.under++
	h.started++
	h.group.Go(func() {
		answer, err := h.Client.Call(ctx, place.Upstream.Addr, h.request)
		h.attempts <- attempt{name, answer, err}
	})
	return true
}

func (h *hedge) fail(a attempt) {
	outcome := verdict.Of(a.err)
	h.steps = append(h.steps, fmt.Sprintf("%s: %s, %s: %s", a.upstream, outcome.Verdict, outcome.Reason, outcome.Detail))
	h.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: a.upstream, Reason: outcome.Reason}})
	// What may have run outweighs what was refused: only if every attempt is
	// proved not to have run does the whole call count as not run.
	if h.lastErr == nil || outcome.Verdict != verdict.NotRun || verdict.Of(h.lastErr).Verdict == verdict.NotRun {
		h.lastErr = a.err
	}
}

// blameSilent tells the scheduler of the services that were asked earlier and
// still have not answered.
func (h *hedge) blameSilent() {
	for name := range h.pending {
		h.steps = append(h.steps, name+" had not answered when another had")
		h.Scheduler.Send(control.SchedulerEvent{Event: decide.Failed{Upstream: name, Reason: verdict.UpstreamLost}})
	}
}
