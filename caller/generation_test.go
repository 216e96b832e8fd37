package caller

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/verdict"
)

// The verdict of a completion covers all of its tries, not only the last.
func TestOutcomeOfSeveralTries(t *testing.T) {
	refused := verdict.Fail(verdict.NotRun, verdict.NoUpstream, "full")
	lost := verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "silent")
	tests := map[string]struct {
		last       error
		mayHaveRun bool
		delivered  int
		hungUp     bool
		want       verdict.Verdict
		reason     verdict.Reason
	}{
		"regular end":                    {nil, true, 5, false, verdict.Ran, verdict.Completed},
		"refused at once":                {refused, false, 0, false, verdict.NotRun, verdict.NoUpstream},
		"refused after a try may run":    {refused, true, 0, false, verdict.MayHaveRun, verdict.NoUpstream},
		"lost before the first token":    {lost, true, 0, false, verdict.MayHaveRun, verdict.UpstreamLost},
		"lost after some tokens":         {lost, true, 5, false, verdict.Ran, verdict.UpstreamLost},
		"hung up while waiting":          {refused, false, 0, true, verdict.NotRun, verdict.CallerGone},
		"hung up before the first token": {lost, true, 0, true, verdict.MayHaveRun, verdict.CallerGone},
		"hung up after some tokens":      {lost, true, 5, true, verdict.Ran, verdict.CallerGone},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.hungUp {
				cancel()
			}
			g := &generation{ctx: ctx, mayHaveRun: test.mayHaveRun, delivered: test.delivered}
			got := verdict.Of(g.outcome(test.last))
			assert.Equal(t, got.Verdict, test.want)
			assert.Equal(t, got.Reason, test.reason)
		})
	}
}
