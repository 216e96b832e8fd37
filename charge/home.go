// Package charge runs calls that must not be repeated at most once. Each runs
// under a ticket, which names the only incarnation of the only entry instance
// that may run it: its home.
package charge

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"mangoloft/call"
	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/ticket"
	"mangoloft/verdict"
)

const (
	// ticketLifetime is how long a ticket may be used.
	ticketLifetime = 1 * time.Hour
	// keptOutcomes is how many answers a home keeps for callers that ask again.
	keptOutcomes = 4096
)

// Result is how a ticket's call ended, kept for callers that ask again.
type Result struct {
	Answer call.Answer
	// Steps holds a line for each decision on the way.
	Steps []string
	Err   error
}

// dispatcher sends a call to a service.
type dispatcher interface {
	Run(ctx context.Context, class config.Class, r call.Request) (call.Answer, []string, error)
}

// Home is the ledger of one incarnation: which of its tickets ran.
type Home struct {
	home       ident.Home
	dataCentre string
	keyring    *ticket.Keyring
	dispatcher dispatcher

	mu       sync.Mutex
	sequence uint64
	// ran holds a bit for each sequence whose call was sent, or may have been.
	ran     []uint64
	entries map[uint64]*entry
	order   []uint64
}

// entry is the call of one ticket, under way or over.
type entry struct {
	body [sha256.Size]byte
	// done is closed when result is there.
	done   chan struct{}
	result Result
}

// NewHome returns the empty ledger of an incarnation.
func NewHome(home ident.Home, dataCentre string, keyring *ticket.Keyring, d dispatcher) *Home {
	return &Home{home: home, dataCentre: dataCentre, keyring: keyring, dispatcher: d, entries: map[uint64]*entry{}}
}

// Mint returns a new ticket of this home for the team and class.
func (h *Home) Mint(now time.Time, team, class string) string {
	h.mu.Lock()
	h.sequence++
	sequence := h.sequence
	h.mu.Unlock()
	return h.keyring.SignTicket(ticket.Ticket{
		Home: h.home, DataCentre: h.dataCentre, Sequence: sequence, Team: team, Class: class, Expires: now.Add(ticketLifetime),
	})
}

// Run runs the ticket's call unless it ran before, and waits for its result.
// The ticket must be of this home and verified.
func (h *Home) Run(ctx context.Context, t ticket.Ticket, class config.Class, r call.Request) Result {
	body := sha256.Sum256(r.Body)
	h.mu.Lock()
	if e, ok := h.entries[t.Sequence]; ok {
		h.mu.Unlock()
		return e.wait(ctx, body)
	}
	switch {
	case h.hasRun(t.Sequence):
		h.mu.Unlock()
		return Result{Err: verdict.Fail(verdict.Ran, verdict.AlreadyRan, "the ticket ran, and its answer is no longer kept")}
	case time.Now().After(t.Expires):
		h.mu.Unlock()
		return Result{Err: verdict.Fail(verdict.NotRun, verdict.TicketExpired, "the ticket expired at %s", t.Expires.UTC().Format(time.RFC3339))}
	}
	e := &entry{body: body, done: make(chan struct{})}
	h.entries[t.Sequence] = e
	h.markRun(t.Sequence)
	h.mu.Unlock()

	// The caller may hang up; the call goes on, because its result is wanted
	// when the caller asks again.
	e.result.Answer, e.result.Steps, e.result.Err = h.dispatcher.Run(context.WithoutCancel(ctx), class, r)

	h.mu.Lock()
	if verdict.Of(e.result.Err).Verdict == verdict.NotRun {
		// Proved not to have run: the same ticket may try again.
		h.clearRun(t.Sequence)
		delete(h.entries, t.Sequence)
	} else {
		h.keep(t.Sequence)
	}
	h.mu.Unlock()
	close(e.done)
	return e.result
}

// wait returns the result of a call that another exchange began.
func (e *entry) wait(ctx context.Context, body [sha256.Size]byte) Result {
	if e.body != body {
		return Result{Err: verdict.Fail(verdict.NotRun, verdict.ForeignKey, "the ticket was used with another body")}
	}
	select {
	case <-e.done:
		return e.result
	case <-ctx.Done():
		return Result{Err: verdict.Fail(verdict.MayHaveRun, verdict.CallerGone, "the call is still under way")}
	}
}

// keep drops the oldest kept results beyond keptOutcomes.
func (h *Home) keep(sequence uint64) {
	h.order = append(h.order, sequence)
	for len(h.order) > keptOutcomes {
		delete(h.entries, h.order[0])
		h.order = h.order[1:]
	}
}

const bitsPerWord = 64

func (h *Home) hasRun(sequence uint64) bool {
	word := sequence / bitsPerWord
	return word < uint64(len(h.ran)) && h.ran[word]&(1<<(sequence%bitsPerWord)) != 0
}

func (h *Home) markRun(sequence uint64) {
	for uint64(len(h.ran)) <= sequence/bitsPerWord {
		h.ran = append(h.ran, 0)
	}
	h.ran[sequence/bitsPerWord] |= 1 << (sequence % bitsPerWord)
}

func (h *Home) clearRun(sequence uint64) {
	h.ran[sequence/bitsPerWord] &^= 1 << (sequence % bitsPerWord)
}
