// Package charge runs calls that must not be repeated at most once. Each runs
// under a ticket, which names the only incarnation of the only entry instance
// that may run it: its home. A home that stops by plan hands its ledger to one
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

// Result is how a ticket's call ended, kept for callers that ask again.
type Result struct {
	Answer call.Answer
	// RanAs is the request that ran the call, which may be an earlier one than
	// the request that is answered.
	RanAs ident.Request
	// Steps holds a line for each decision on the way.
	Steps []string
	Err   error
	// RetryTicket is the ticket for a new try when this one is closed for good; empty
	// when the same ticket is still the one to ask with.
	RetryTicket string
}

// runner makes the call of a ticket. An error with verdict NotRun proves that
// it had no effect and will have none.
type runner func(ctx context.Context, r call.Request) (call.Answer, []string, error)

// Executor holds the ledgers of this instance: its own, and those that others
// handed over.
type Executor struct {
	home       ident.Home
	dataCentre string
	keyring    *ticket.Keyring
	run        runner
	now        func() time.Time

	mu       sync.Mutex
	sequence uint64
	ledgers  map[ident.Home]*Ledger
	outcomes outcomes
	// released is set once the ledgers are on their way to the successor.
	released bool
}

// NewExecutor returns a book with the empty ledger of the incarnation.
func NewExecutor(home ident.Home, dataCentre string, keyring *ticket.Keyring, run runner, now func() time.Time) *Executor {
	return &Executor{
		home: home, dataCentre: dataCentre, keyring: keyring, run: run, now: now,
		ledgers:  map[ident.Home]*Ledger{home: newLedger(home)},
		outcomes: outcomes{entries: map[entryKey]*entry{}},
	}
}

// Mint returns a new ticket of this home for the team and class.
func (b *Executor) Mint(team, class string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	now := b.now()
	if own, ok := b.ledgers[b.home]; ok {
		own.minted(now, b.sequence)
	}
	return b.keyring.SignTicket(ticket.Ticket{
		Home: b.home, DataCentre: b.dataCentre, Sequence: b.sequence, Team: team, Class: class, Expires: now.Add(ticketLifetime),
	})
}

// HoldsLedger reports whether the tickets of the home are run here.
func (b *Executor) HoldsLedger(home ident.Home) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.ledgers[home]
	return ok
}

// Run runs the ticket's call unless it ran before, and waits for its result.
// The ticket must be verified.
func (b *Executor) Run(ctx context.Context, t ticket.Ticket, r call.Request) Result {
	key := entryKey{t.Home, t.Sequence}
	body := sha256.Sum256(r.Body)
	b.mu.Lock()
	ledger, refusal := b.check(t, r)
	if refusal != nil {
		b.mu.Unlock()
		return *refusal
	}
	if e, ok := b.outcomes.entries[key]; ok {
		b.mu.Unlock()
		return e.wait(ctx, body)
	}
	if refusal := b.checkFresh(ledger, t); refusal != nil {
		b.mu.Unlock()
		return *refusal
	}
	e := b.outcomes.begin(key, body)
	ledger.set(&ledger.Ran, t.Sequence)
	b.mu.Unlock()

	// The caller may hang up; the call goes on until its own deadline, because
	// its result is wanted when the caller asks again.
	until, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	defer cancel()
	e.result.RanAs = r.ID
	e.result.Answer, e.result.Steps, e.result.Err = b.run(until, r)

	b.mu.Lock()
	if verdict.Of(e.result.Err).Verdict == verdict.NotRun {
		ledger.clear(ledger.Ran, t.Sequence)
		ledger.refuse(t.Sequence, t.Attempt)
		e.result.RetryTicket = b.successor(t)
		delete(b.outcomes.entries, key)
	} else {
		b.outcomes.keep(key)
	}
	b.mu.Unlock()
	close(e.done)
	return e.result
}

// check returns the ledger of a ticket that may have a result, or may run.
func (b *Executor) check(t ticket.Ticket, r call.Request) (*Ledger, *Result) {
	ledger, ok := b.ledgers[t.Home]
	switch {
	case b.released:
		// The successor runs the ticket from here on; this request did not.
		return nil, refuseAt(b.now().Add(time.Second), verdict.Stopping, "the ticket's home is stopping and hands its ledger over")
	case !ok:
		return nil, fail(verdict.MayHaveRun, verdict.HomeGone, "the ticket's home is gone, and its ledger is not here")
	case t.Sequence < ledger.FirstSequence:
		return nil, fail(verdict.MayHaveRun, verdict.TicketExpired, "the ticket expired so long ago that its home no longer knows whether it ran")
	case ledger.has(ledger.Closed, t.Sequence):
		return nil, fail(verdict.NotRun, verdict.TicketClosed, "the ticket was refused before and can't run any more; ask for a new one")
	case t.Attempt < ledger.Attempts[t.Sequence]:
		closed := fail(verdict.NotRun, verdict.TicketClosed, "the ticket was refused before and can't run any more; go on with the one in this answer")
		closed.RetryTicket = b.successor(t)
		return nil, closed
	case b.now().After(r.Deadline):
		// Nobody waits for it any more: it was held up on the way, or this
		// process was.
		return nil, fail(verdict.NotRun, verdict.WaitExpired, "the request came after its deadline")
	}
	return ledger, nil
}

// checkFresh returns why a ticket without a kept result can't run.
func (b *Executor) checkFresh(ledger *Ledger, t ticket.Ticket) *Result {
	switch {
	case ledger.has(ledger.Ran, t.Sequence):
		return fail(verdict.Ran, verdict.AlreadyRan, "the ticket ran, and its answer is no longer kept")
	case b.now().After(t.Expires):
		// Closed, so that a clock that is set back doesn't open it again.
		ledger.set(&ledger.Closed, t.Sequence)
		return fail(verdict.NotRun, verdict.TicketExpired, "the ticket expired at %s", t.Expires.UTC().Format(time.RFC3339))
	}
	return nil
}

// successor returns the ticket for the attempt that may run now.
func (b *Executor) successor(t ticket.Ticket) string {
	t.Attempt = b.ledgers[t.Home].Attempts[t.Sequence]
	return b.keyring.SignTicket(t)
}

func fail(v verdict.Verdict, r verdict.Reason, format string, args ...any) *Result {
	return &Result{Err: verdict.Fail(v, r, format, args...)}
}

func refuseAt(retryAt time.Time, r verdict.Reason, why string) *Result {
	return &Result{Err: verdict.FailAt(verdict.NotRun, r, retryAt, "%s", why)}
}

// wait returns the result of a call that another request began.
func (e *entry) wait(ctx context.Context, body [sha256.Size]byte) Result {
	if e.body != body {
		return *fail(verdict.NotRun, verdict.ForeignKey, "the ticket was used with another body")
	}
	select {
	case <-e.done:
		result := e.result
		result.Steps = append([]string{fmt.Sprintf("the ticket's call is that of request %s", result.RanAs)}, result.Steps...)
		return result
	case <-ctx.Done():
		return *fail(verdict.MayHaveRun, verdict.CallerGone, "the call is still under way")
	}
}
