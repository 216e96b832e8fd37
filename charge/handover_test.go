package charge_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/charge"
	"mangoloft/verdict"
)

// TestHandOver hands the book of one instance, and a second time that of its
// successor, to the next.
func TestHandOver(t *testing.T) {
	first, second, third := newInstance(t, 1), newInstance(t, 2), newInstance(t, 3)
	ran, unknown := first.book.Mint("reef", "top_up"), first.book.Mint("reef", "top_up")
	fresh, closed := first.book.Mint("reef", "top_up"), first.book.Mint("reef", "top_up")
	first.want(first.run(ran, "a"), verdict.Ran, verdict.Completed, 1)
	first.fault = lost
	first.want(first.run(unknown, "a"), verdict.MayHaveRun, verdict.UpstreamLost, 2)
	first.fault = refused
	next := first.want(first.run(closed, "a"), verdict.NotRun, verdict.NoUpstream, 2).RetryTicket
	first.fault = nil

	handed := first.book.Release()
	repeated := copyOf(handed)
	assert.NilError(t, second.book.Adopt(handed))
	assert.Equal(t, len(second.book.AdoptedHomes()), 1)
	// The former home runs nothing any more, whatever became of the ledgers.
	first.want(first.run(fresh, "a"), verdict.NotRun, verdict.Stopping, 2)
	assert.ErrorContains(t, first.book.Adopt([]charge.HandedLedger{{Ledger: &charge.Ledger{Home: third.home}}}), "hands its own")

	second.want(second.run(ran, "a"), verdict.Ran, verdict.Completed, 0)
	second.want(second.run(ran, "b"), verdict.NotRun, verdict.ForeignKey, 0)
	second.want(second.run(unknown, "a"), verdict.MayHaveRun, verdict.UpstreamLost, 0)
	second.want(second.run(closed, "a"), verdict.NotRun, verdict.TicketClosed, 0)
	second.want(second.run(next, "a"), verdict.Ran, verdict.Completed, 1)

	// The transfer comes once more, and changes nothing of what was since.
	second.fault = refused
	freshNext := second.want(second.run(fresh, "a"), verdict.NotRun, verdict.NoUpstream, 1).RetryTicket
	second.fault = nil
	assert.NilError(t, second.book.Adopt(repeated))
	second.want(second.run(fresh, "a"), verdict.NotRun, verdict.TicketClosed, 1)

	own := second.book.Mint("reef", "top_up")
	assert.NilError(t, third.book.Adopt(second.book.Release()))
	assert.Equal(t, len(third.book.AdoptedHomes()), 2)
	third.want(third.run(next, "a"), verdict.Ran, verdict.Completed, 0)
	third.want(third.run(freshNext, "a"), verdict.Ran, verdict.Completed, 1)
	third.want(third.run(own, "a"), verdict.Ran, verdict.Completed, 2)
	// Nothing is kept for ever.
	third.now = third.now.Add(3 * time.Hour)
	assert.Equal(t, len(third.book.AdoptedHomes()), 0)
}

// copyOf returns what the network would carry.
func copyOf(handed []charge.HandedLedger) []charge.HandedLedger {
	var copied []charge.HandedLedger
	for _, h := range handed {
		ledger := &charge.Ledger{
			Home: h.Ledger.Home, FirstSequence: h.Ledger.FirstSequence, Ran: slices.Clone(h.Ledger.Ran), Closed: slices.Clone(h.Ledger.Closed),
			Attempts: maps.Clone(h.Ledger.Attempts), ForgetAt: h.Ledger.ForgetAt,
		}
		copied = append(copied, charge.HandedLedger{Ledger: ledger, Results: slices.Clone(h.Results)})
	}
	return copied
}
