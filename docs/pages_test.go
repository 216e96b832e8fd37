package docs_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPackages holds that the page on architecture names every package.
func TestPackages(t *testing.T) {
	page, err := os.ReadFile("ARCHITECTURE.md")
	assert.NilError(t, err)
	files, err := filepath.Glob("../*/*.go")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		name := filepath.Base(filepath.Dir(file))
		if !strings.HasSuffix(file, "_test.go") {
			assert.Assert(t, strings.Contains(string(page), "`"+name+"`"), name)
		}
	}
}
