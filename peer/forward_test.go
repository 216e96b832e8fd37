package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/charge"
	"mangoloft/verdict"
)

// TestResultAfterResend checks that a request whose first attempt got no reply counts
// as possibly run, even if the second attempt is refused. Only a refusal because of
// the ledger rules out a run.
func TestResultAfterResend(t *testing.T) {
	tests := map[string]struct {
		verdict     verdict.Verdict
		reason      verdict.Reason
		retryTicket string
		firstTry    verdict.Verdict
		afterResend verdict.Verdict
	}{
		"completed":              {verdict.Ran, verdict.Completed, "", verdict.Ran, verdict.Ran},
		"already ran":            {verdict.Ran, verdict.AlreadyRan, "", verdict.Ran, verdict.Ran},
		"may have run":           {verdict.MayHaveRun, verdict.UpstreamLost, "", verdict.MayHaveRun, verdict.MayHaveRun},
		"home is stopping":       {verdict.NotRun, verdict.Stopping, "", verdict.NotRun, verdict.MayHaveRun},
		"home is overloaded":     {verdict.NotRun, verdict.Overloaded, "", verdict.NotRun, verdict.MayHaveRun},
		"wait expired":           {verdict.NotRun, verdict.WaitExpired, "", verdict.NotRun, verdict.MayHaveRun},
		"refused, ticket closed": {verdict.NotRun, verdict.Overloaded, "next", verdict.NotRun, verdict.NotRun},
		"ticket closed before":   {verdict.NotRun, verdict.TicketClosed, "", verdict.NotRun, verdict.NotRun},
		"ticket expired":         {verdict.NotRun, verdict.TicketExpired, "", verdict.NotRun, verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			result := charge.Result{Err: verdict.Fail(test.verdict, test.reason, "x"), RetryTicket: test.retryTicket}
			if test.reason == verdict.Completed {
				result.Err = nil
			}
			assert.Equal(t, verdict.OutcomeOf(resultAfterResend(result, false).Err).Verdict, test.firstTry)
			resent := verdict.OutcomeOf(resultAfterResend(result, true).Err)
			assert.Equal(t, resent.Verdict, test.afterResend)
			assert.Equal(t, resent.Reason, test.reason)
		})
	}
}
