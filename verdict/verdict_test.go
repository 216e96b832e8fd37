package verdict_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/verdict"
)

func TestOutcomeOf(t *testing.T) {
	tests := map[string]struct {
		err  error
		want verdict.Verdict
	}{
		"no error means ran":          {nil, verdict.Ran},
		"an error without an outcome": {errors.New("boom"), verdict.MayHaveRun},
		"an error with an outcome":    {verdict.Fail(verdict.NotRun, verdict.NoUpstream, "none"), verdict.NotRun},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, verdict.OutcomeOf(test.err).Verdict, test.want)
		})
	}
}

func TestReasonNamesRoundTrip(t *testing.T) {
	seen := map[string]bool{}
	for _, reason := range verdict.Reasons() {
		text, err := reason.MarshalText()
		assert.NilError(t, err)
		assert.Assert(t, len(text) > 0 && !seen[string(text)], "reason %d must have a unique name", reason)
		seen[string(text)] = true
		var parsed verdict.Reason
		assert.NilError(t, parsed.UnmarshalText(text))
		assert.Equal(t, parsed, reason)
	}
}
