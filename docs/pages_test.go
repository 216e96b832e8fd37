package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
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

// TestFaultsPageNamesTests checks that the tests named by the page on faults exist.
func TestFaultsPageNamesTests(t *testing.T) {
	page, err := os.ReadFile("FAULTS.md")
	assert.NilError(t, err)
	names := regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z]+)`").FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		files, err := filepath.Glob(filepath.Join("..", name[1], "*_test.go"))
		assert.NilError(t, err)
		exists := false
		for _, file := range files {
			content, err := os.ReadFile(file)
			assert.NilError(t, err)
			exists = exists || strings.Contains(string(content), "func "+name[2]+"(")
		}
		assert.Assert(t, exists, name[0])
	}
}
