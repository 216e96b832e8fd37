package settings

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/jsonc"
	"mangoloft/ticket"
)

var fieldRow = regexp.MustCompile("(?m)^\\| `([a-z0-9_.\\[\\]]+)` \\|.*$")

// TestDocumentedFields checks that docs/SETTINGS.md lists exactly the fields of the
// settings file, and contains the defaults and ranges of numbers.
func TestDocumentedFields(t *testing.T) {
	content, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(content), "\n## Settings\n")
	section, _, _ = strings.Cut(section, "\n## Configuration\n")
	rows := map[string]string{}
	var listed []string
	for _, match := range fieldRow.FindAllStringSubmatch(section, -1) {
		rows[match[1]] = match[0]
		listed = append(listed, match[1])
	}
	slices.Sort(listed)
	assert.DeepEqual(t, listed, jsonc.FieldPaths(fileWire{}))
	for field, numbers := range map[string][]int{
		"limits.body_bytes":    {defaultBodyBytes, minBodyBytes, maxBodyBytes},
		"limits.open_requests": {defaultOpenRequests, 1, maxOpenRequests},
		"limits.stop_grace_ms": {defaultStopGraceMS, 0, maxStopGraceMS},
		"keys[].secret_file":   {ticket.MinSecretBytes, maxSecretBytes},
	} {
		for _, n := range numbers {
			assert.Assert(t, strings.Contains(rows[field], fmt.Sprint(n)), "the row of %s must contain %d", field, n)
		}
	}
}
