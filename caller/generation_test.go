package caller

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/verdict"
)

// TestFinalErrorCoversAllAttempts checks that the verdict of a completion covers all
// of its attempts, not only the last.
func TestFinalErrorCoversAllAttempts(t *testing.T) {
	refused := verdict.Fail(verdict.NotRun, verdict.NoUpstream, "full")
	lost := verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "silent")
	tests := map[string]struct {
		last         error
		mayHaveRun   bool
		delivered    int
		disconnected bool
		want         verdict.Verdict
		reason       verdict.Reason
	}{
		"regular end":                                {nil, true, 5, false, verdict.Ran, verdict.Completed},
		"refused at the first attempt":               {refused, false, 0, false, verdict.NotRun, verdict.NoUpstream},
		"refused after an attempt that may have run": {refused, true, 0, false, verdict.MayHaveRun, verdict.NoUpstream},
		"lost before the first token":                {lost, true, 0, false, verdict.MayHaveRun, verdict.UpstreamLost},
		"lost after some tokens":                     {lost, true, 5, false, verdict.Ran, verdict.UpstreamLost},
		"disconnected while queued":                  {refused, false, 0, true, verdict.NotRun, verdict.CallerDisconnected},
		"disconnected before the first token":        {lost, true, 0, true, verdict.MayHaveRun, verdict.CallerDisconnected},
		"disconnected after some tokens":             {lost, true, 5, true, verdict.Ran, verdict.CallerDisconnected},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.disconnected {
				cancel()
			}
			g := &generation{ctx: ctx, mayHaveRun: test.mayHaveRun, delivered: test.delivered}
			got := verdict.OutcomeOf(g.finalError(test.last))
			assert.Equal(t, got.Verdict, test.want)
			assert.Equal(t, got.Reason, test.reason)
		})
	}
}
