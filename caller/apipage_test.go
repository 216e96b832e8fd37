package caller

import (
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/verdict"
)

// TestPage checks that docs/API.md lists exactly the reasons of the code, with
// their HTTP statuses, and all verdicts.
func TestPage(t *testing.T) {
	content, err := os.ReadFile("../docs/API.md")
	assert.NilError(t, err)
	statuses := map[string]string{}
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d+) \\|").FindAllSubmatch(content, -1) {
		statuses[string(row[1])] = string(row[2])
	}
	for _, reason := range verdict.Reasons() {
		want := statusOf(reason)
		if reason == verdict.Completed {
			want = http.StatusOK
		}
		assert.Equal(t, statuses[reason.String()], strconv.Itoa(want), reason.String())
	}
	assert.Equal(t, len(statuses), len(verdict.Reasons()), "the page must list only reasons that exist")
	for _, v := range []verdict.Verdict{verdict.MayHaveRun, verdict.NotRun, verdict.Ran} {
		assert.Assert(t, regexp.MustCompile("(?m)^\\| `"+v.String()+"` \\|").Match(content), v.String())
	}
}
