// Package charge gives calls that are not idempotent at-most-once execution.
// Each call runs under a ticket, which names the only incarnation of the only
// entry instance that may run it: the ticket's home. A home records which of its
// tickets ran in a ledger, and in a planned stop it hands the ledger over to one
// successor.
package charge

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"time"

	"mangoloft/call"
	"mangoloft/ident"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

// Result is the outcome of a ticket's call, kept for callers that repeat the
// request.
type Result struct {
	Answer call.Answer
	// RanAs is the request that ran the call. It may be earlier than the request
	// that receives this result.
	RanAs ident.Request
	// Steps holds one line for each scheduling decision and failed attempt.
	Steps []string
	Err   error
	// RetryTicket is the ticket to retry with when the one in the request is
	// closed. It is empty while the ticket in the request remains valid.
	RetryTicket string
}

// runFunc makes the call of a ticket. An error with verdict NotRun proves that
// the call had no effect and will have none.
type runFunc func(ctx context.Context, r call.Request) (call.Answer, []string, error)

// Executor runs each ticket's call at most once. It holds this instance's own
// ledger and those that other instances handed over.
type Executor struct {
	home       ident.Home
	dataCentre string
	keyring    *ticket.Keyring
	run        runFunc
	now        func() time.Time

	mu         sync.Mutex
	sequence   uint64
	ledgers    map[ident.Home]*Ledger
	executions executions
	// released is set once the ledgers are given up for a handover.
	released bool
}

// NewExecutor returns an executor with an empty ledger for the home.
func NewExecutor(home ident.Home, dataCentre string, keyring *ticket.Keyring, run runFunc, now func() time.Time) *Executor {
	return &Executor{
		home: home, dataCentre: dataCentre, keyring: keyring, run: run, now: now,
		ledgers:    map[ident.Home]*Ledger{home: newLedger(home)},
		executions: executions{byKey: map[executionKey]*execution{}},
	}
}

// Mint issues a new ticket of this home for the team and class.
func (x *Executor) Mint(team, class string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.sequence++
	now := x.now()
	if own, ok := x.ledgers[x.home]; ok {
		own.recordMinted(now, x.sequence)
	}
	return x.keyring.SignTicket(ticket.Ticket{
		Home: x.home, DataCentre: x.dataCentre, Sequence: x.sequence, Team: team, Class: class, Expires: now.Add(ticketLifetime),
	})
}

// HoldsLedger reports whether this instance holds the home's ledger and so runs
// its tickets.
func (x *Executor) HoldsLedger(home ident.Home) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	_, ok := x.ledgers[home]
	return ok
}

// Run runs the ticket's call unless it already ran, and waits for its result.
// The caller must have verified the ticket's signature.
func (x *Executor) Run(ctx context.Context, t ticket.Ticket, r call.Request) Result {
	key := executionKey{t.Home, t.Sequence}
	bodyHash := sha256.Sum256(r.Body)
	x.mu.Lock()
	ledger, refusal := x.lookUpLedger(t, r)
	if refusal != nil {
		x.mu.Unlock()
		return *refusal
	}
	if e, ok := x.executions.byKey[key]; ok {
		x.mu.Unlock()
		return e.wait(ctx, bodyHash)
	}
	if refusal := x.checkRunnable(ledger, t); refusal != nil {
		x.mu.Unlock()
		return *refusal
	}
	e := x.executions.add(key, bodyHash)
	ledger.setBit(&ledger.Ran, t.Sequence)
	x.mu.Unlock()

	// If the caller disconnects, the call still runs until its own deadline,
	// because the caller may retry and needs the result.
	until, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	e.result.RanAs = r.ID
	e.result.Answer, e.result.Steps, e.result.Err = x.run(until, r)

	x.mu.Lock()
	if verdict.OutcomeOf(e.result.Err).Verdict == verdict.NotRun {
		ledger.clearBit(ledger.Ran, t.Sequence)
		ledger.closeAttempt(t.Sequence, t.Attempt)
		e.result.RetryTicket = x.retryTicket(t)
		delete(x.executions.byKey, key)
	} else {
		x.executions.retain(key)
	}
	x.mu.Unlock()
	close(e.done)
	return e.result
}

// lookUpLedger returns the ledger that holds the ticket, or the reason why the
// ticket can neither run nor have a result here.
func (x *Executor) lookUpLedger(t ticket.Ticket, r call.Request) (*Ledger, *Result) {
	ledger, ok := x.ledgers[t.Home]
	switch {
	case x.released:
		// From now on the successor runs the ticket; this request did not run it.
		return nil, refuseAt(x.now().Add(time.Second), verdict.Stopping, "the ticket's home is stopping and hands its ledger over")
	case !ok:
		return nil, fail(verdict.MayHaveRun, verdict.HomeGone, "the ticket's home is gone and this instance does not hold its ledger")
	case t.Sequence < ledger.FirstSequence:
		return nil, fail(verdict.MayHaveRun, verdict.TicketExpired, "the ticket expired so long ago that its home no longer has a record of whether it ran")
	case ledger.hasBit(ledger.Closed, t.Sequence):
		return nil, fail(verdict.NotRun, verdict.TicketClosed, "the ticket was refused earlier and can no longer run; request a new one")
	case t.Attempt < ledger.Attempts[t.Sequence]:
		closed := fail(verdict.NotRun, verdict.TicketClosed, "the ticket was refused earlier and can no longer run; retry with the ticket in this answer")
		closed.RetryTicket = x.retryTicket(t)
		return nil, closed
	case x.now().After(r.Deadline):
		// The caller no longer waits: the request was delayed on its way, or
		// this process was paused.
		return nil, fail(verdict.NotRun, verdict.WaitExpired, "the request arrived after its deadline")
	}
	return ledger, nil
}

// checkRunnable returns the reason why a ticket without a kept result can't run,
// or nil if it can.
func (x *Executor) checkRunnable(ledger *Ledger, t ticket.Ticket) *Result {
	switch {
	case ledger.hasBit(ledger.Ran, t.Sequence):
		return fail(verdict.Ran, verdict.AlreadyRan, "the ticket ran, and its answer is no longer kept")
	case x.now().After(t.Expires):
		// Close it, so that setting the clock back doesn't make it valid again.
		ledger.setBit(&ledger.Closed, t.Sequence)
		return fail(verdict.NotRun, verdict.TicketExpired, "the ticket expired at %s", t.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// retryTicket returns the ticket for the one attempt that may still run.
func (x *Executor) retryTicket(t ticket.Ticket) string {
	t.Attempt = x.ledgers[t.Home].Attempts[t.Sequence]
	return x.keyring.SignTicket(t)
}

func fail(v verdict.Verdict, r verdict.Reason, format string, args ...any) *Result {
	return &Result{Err: verdict.Fail(v, r, format, args...)}
}

func refuseAt(retryAt time.Time, r verdict.Reason, why string) *Result {
	return &Result{Err: verdict.FailAt(verdict.NotRun, r, retryAt, "%s", why)}
}

// wait returns the result of a call that an earlier request started.
func (e *execution) wait(ctx context.Context, bodyHash [sha256.Size]byte) Result {
	if e.bodyHash != bodyHash {
		return *fail(verdict.NotRun, verdict.ForeignKey, "the ticket was already used with a different body")
	}
	select {
	case <-e.done:
		result := e.result
		result.Steps = append([]string{fmt.Sprintf("the ticket's call was started by request %s", result.RanAs)}, result.Steps...)
		return result
	case <-ctx.Done():
		return *fail(verdict.MayHaveRun, verdict.CallerDisconnected, "the call is still running")
	}
}
