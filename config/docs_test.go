package config

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/jsonc"
)

var fieldRow = regexp.MustCompile("(?m)^\\| `([a-z0-9_.\\[\\]]+)` \\|.*$")

// TestDocumentedFields checks that the configuration section of docs/SETTINGS.md lists
// exactly the fields of the values, and contains their limits.
func TestDocumentedFields(t *testing.T) {
	content, err := os.ReadFile("../docs/SETTINGS.md")
	assert.NilError(t, err)
	_, section, _ := strings.Cut(string(content), "\n## Configuration\n")
	var listed []string
	for _, match := range fieldRow.FindAllStringSubmatch(section, -1) {
		listed = append(listed, match[1])
	}
	fields := slices.Concat(jsonc.FieldPaths(classWire{}), jsonc.FieldPaths(poolWire{}), jsonc.FieldPaths(teamsWire{}))
	slices.Sort(listed)
	slices.Sort(fields)
	assert.DeepEqual(t, listed, fields)
	for _, limit := range []string{fmt.Sprint(maxOutputTokens), fmt.Sprint(maxTarget.Milliseconds()), "1,048,576 bytes", strings.Join(kindNames[:2], "`, `")} {
		assert.Assert(t, strings.Contains(section, limit), limit)
	}
}
