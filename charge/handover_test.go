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

// TestHandOver checks that tickets keep their state when a first instance hands over
// its ledgers to a second, and the second hands over its ledgers to a third.
func TestHandOver(t *testing.T) {
	first, second, third := newInstance(t, 1), newInstance(t, 2), newInstance(t, 3)
	ran, unknown := first.executor.Mint("reef", "top_up"), first.executor.Mint("reef", "top_up")
	unused, closed := first.executor.Mint("reef", "top_up"), first.executor.Mint("reef", "top_up")
	first.check(first.run(ran, "a"), verdict.Ran, verdict.Completed, 1)
	first.fault = errLost
	first.check(first.run(unknown, "a"), verdict.MayHaveRun, verdict.UpstreamLost, 2)
	first.fault = errRefused
	retryTicket := first.check(first.run(closed, "a"), verdict.NotRun, verdict.NoUpstream, 2).RetryTicket
	first.fault = nil

	handed := first.executor.Release()
	repeated := cloneHanded(handed)
	assert.NilError(t, second.executor.Adopt(handed))
	assert.Equal(t, len(second.executor.AdoptedHomes()), 1)
	// After Release, the former home runs no further tickets, whether or not the
	// handover succeeded.
	first.check(first.run(unused, "a"), verdict.NotRun, verdict.Stopping, 2)
	assert.ErrorContains(t, first.executor.Adopt([]charge.HandedLedger{{Ledger: &charge.Ledger{Home: third.home}}}), "hands its own")

	second.check(second.run(ran, "a"), verdict.Ran, verdict.Completed, 0)
	second.check(second.run(ran, "b"), verdict.NotRun, verdict.ForeignKey, 0)
	second.check(second.run(unknown, "a"), verdict.MayHaveRun, verdict.UpstreamLost, 0)
	second.check(second.run(closed, "a"), verdict.NotRun, verdict.TicketClosed, 0)
	second.check(second.run(retryTicket, "a"), verdict.Ran, verdict.Completed, 1)

	// A repeated transfer doesn't overwrite the records made since the first one.
	second.fault = errRefused
	freshRetryTicket := second.check(second.run(unused, "a"), verdict.NotRun, verdict.NoUpstream, 1).RetryTicket
	second.fault = nil
	assert.NilError(t, second.executor.Adopt(repeated))
	second.check(second.run(unused, "a"), verdict.NotRun, verdict.TicketClosed, 1)

	ownTicket := second.executor.Mint("reef", "top_up")
	assert.NilError(t, third.executor.Adopt(second.executor.Release()))
	assert.Equal(t, len(third.executor.AdoptedHomes()), 2)
	third.check(third.run(retryTicket, "a"), verdict.Ran, verdict.Completed, 0)
	third.check(third.run(freshRetryTicket, "a"), verdict.Ran, verdict.Completed, 1)
	third.check(third.run(ownTicket, "a"), verdict.Ran, verdict.Completed, 2)
	// Adopted ledgers expire.
	third.now = third.now.Add(3 * time.Hour)
	assert.Equal(t, len(third.executor.AdoptedHomes()), 0)
}

// cloneHanded returns a copy that has only the fields sent over the network.
func cloneHanded(handed []charge.HandedLedger) []charge.HandedLedger {
	var copied []charge.HandedLedger
	for _, h := range handed {
		ledger := &charge.Ledger{
			Home: h.Ledger.Home, FirstSequence: h.Ledger.FirstSequence, Ran: slices.Clone(h.Ledger.Ran), Closed: slices.Clone(h.Ledger.Closed),
			Attempts: maps.Clone(h.Ledger.Attempts), DropAfter: h.Ledger.DropAfter,
		}
		copied = append(copied, charge.HandedLedger{Ledger: ledger, Results: slices.Clone(h.Results)})
	}
	return copied
}
