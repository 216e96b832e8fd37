// Package charge gives calls that are not idempotent at-most-once execution.
// Each call runs under a ticket, which names the ticket's home: the only entry
// instance that may run the call, and the incarnation of that instance, which is
// one run of its process. A home records in a ledger which of its tickets ran. In
// a planned stop it hands the ledger over to one successor.
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
	// RanAs is the request that ran the call. It can be earlier than the request
	// that receives this result.
	RanAs ident.Request
	// Steps contains one line for each scheduling decision and failed attempt.
	Steps []string
	Err   error
	// RetryTicket is the ticket to retry with when the one in the request is
	// closed. It is empty while the ticket in the request remains valid.
	RetryTicket string
}

// runFunc sends the call of a ticket to a service. An error with verdict NotRun
// proves that the call had no effect and will have none.
type runFunc func(ctx context.Context, r call.Request) (call.Answer, []string, error)

// Executor runs each ticket's call at most once. It holds this instance's own
// ledger and adopts those that other instances hand over.
type Executor struct {
	home       ident.Home
	dataCentre string
	keyring    *ticket.Keyring
	run        runFunc
	now        func() time.Time

	mu sync.Mutex
	// sequence is the sequence of the latest minted ticket.
	sequence uint64
	// ledgers holds this instance's own ledger and the adopted ones.
	ledgers    map[ident.Home]*Ledger
	executions executions
	// released is true after Release, when this executor runs no further tickets.
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
	if ledger, ok := x.ledgers[x.home]; ok {
		ledger.recordMinted(now, x.sequence)
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

	// If the caller disconnects, the call still runs until its own deadline:
	// the caller can repeat the request and then needs the result.
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	e.result.RanAs = r.ID
	e.result.Answer, e.result.Steps, e.result.Err = x.run(runCtx, r)

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

// lookUpLedger returns the ledger that records the ticket, or the refusal of a
// ticket that can neither run nor have a kept result in this instance.
func (x *Executor) lookUpLedger(t ticket.Ticket, r call.Request) (*Ledger, *Result) {
	ledger, ok := x.ledgers[t.Home]
	switch {
	case x.released:
		// Only the successor can run the ticket now. This request did not run it.
		return nil, refuseAt(x.now().Add(time.Second), verdict.Stopping, "the ticket's home is stopping and hands its ledger over")
	case !ok:
		return nil, fail(verdict.MayHaveRun, verdict.HomeUnavailable, "the ticket's home has exited and this instance does not hold its ledger")
	case t.Sequence < ledger.FirstSequence:
		return nil, fail(verdict.MayHaveRun, verdict.TicketExpired, "the ticket expired so long ago that its home no longer has a record of whether it ran")
	case ledger.hasBit(ledger.Closed, t.Sequence):
		return nil, fail(verdict.NotRun, verdict.TicketClosed, "the ticket was refused earlier and can no longer run; request a new one")
	case t.Attempt < ledger.Attempts[t.Sequence]:
		closed := fail(verdict.NotRun, verdict.TicketClosed, "the ticket was refused earlier and can no longer run; retry with the ticket in this answer")
		closed.RetryTicket = x.retryTicket(t)
		return nil, closed
	case x.now().After(r.Deadline):
		// The caller no longer waits: the request was delayed in the network, or
		// this process was paused.
		return nil, fail(verdict.NotRun, verdict.WaitExpired, "the request arrived after its deadline")
	}
	return ledger, nil
}

// checkRunnable returns the refusal of a ticket that has no kept result and can't
// run, or nil if the ticket can run.
func (x *Executor) checkRunnable(ledger *Ledger, t ticket.Ticket) *Result {
	switch {
	case ledger.hasBit(ledger.Ran, t.Sequence):
		return fail(verdict.Ran, verdict.AlreadyRan, "the ticket ran, and its answer is no longer kept")
	case x.now().After(t.Expires):
		// The ticket is closed, so that it doesn't become valid again if the clock
		// is set back.
		ledger.setBit(&ledger.Closed, t.Sequence)
		return fail(verdict.NotRun, verdict.TicketExpired, "the ticket expired at %s", t.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// retryTicket returns the ticket of the only attempt that can still run.
func (x *Executor) retryTicket(t ticket.Ticket) string {
	t.Attempt = x.ledgers[t.Home].Attempts[t.Sequence]
	return x.keyring.SignTicket(t)
}

func fail(v verdict.Verdict, r verdict.Reason, format string, args ...any) *Result {
	return &Result{Err: verdict.Fail(v, r, format, args...)}
}

func refuseAt(retryAt time.Time, r verdict.Reason, detail string) *Result {
	return &Result{Err: verdict.FailAt(verdict.NotRun, r, retryAt, "%s", detail)}
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
