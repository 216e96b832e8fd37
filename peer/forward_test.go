package peer

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/charge"
	"mangoloft/verdict"
)

// A request that was sent before may have run then, whatever is said of the
// second sending.
func TestSettle(t *testing.T) {
	tests := map[string]struct {
		verdict verdict.Verdict
		reason  verdict.Reason
		next    string
		once    verdict.Verdict
		again   verdict.Verdict
	}{
		"a whole answer":       {verdict.Ran, verdict.Completed, "", verdict.Ran, verdict.Ran},
		"ran":                  {verdict.Ran, verdict.AlreadyRan, "", verdict.Ran, verdict.Ran},
		"unknown":              {verdict.MayHaveRun, verdict.UpstreamLost, "", verdict.MayHaveRun, verdict.MayHaveRun},
		"the home is stopping": {verdict.NotRun, verdict.Stopping, "", verdict.NotRun, verdict.MayHaveRun},
		"the home is full":     {verdict.NotRun, verdict.Overloaded, "", verdict.NotRun, verdict.MayHaveRun},
		"late":                 {verdict.NotRun, verdict.WaitExpired, "", verdict.NotRun, verdict.MayHaveRun},
		"refused and closed":   {verdict.NotRun, verdict.Overloaded, "next", verdict.NotRun, verdict.NotRun},
		"closed before":        {verdict.NotRun, verdict.TicketClosed, "", verdict.NotRun, verdict.NotRun},
		"expired":              {verdict.NotRun, verdict.TicketExpired, "", verdict.NotRun, verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			result := charge.Result{Err: verdict.Fail(test.verdict, test.reason, "x"), RetryTicket: test.next}
			if test.reason == verdict.Completed {
				result.Err = nil
			}
			assert.Equal(t, verdict.Of(settle(result, false).Err).Verdict, test.once)
			settled := verdict.Of(settle(result, true).Err)
			assert.Equal(t, settled.Verdict, test.again)
			assert.Equal(t, settled.Reason, test.reason)
		})
	}
}
