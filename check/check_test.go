package check_test

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/audit"
	"mangoloft/check"
	"mangoloft/event"
	"mangoloft/ident"
)

// run checks one file, or the content if the name is "-". It returns the text that was
// written to both outputs.
func run(t *testing.T, kind check.Kind, name, content string) (valid bool, output string) {
	t.Helper()
	var out bytes.Buffer
	checker := check.Checker{Kind: kind, In: strings.NewReader(content), Out: &out, Faults: &out}
	valid, err := checker.Files([]string{name})
	assert.NilError(t, err)
	return valid, out.String()
}

func TestSamples(t *testing.T) {
	for name, want := range map[string]string{
		"settings.json": "good settings", "configuration": "good configuration", "whole.json": "good configuration",
	} {
		t.Run(name, func(t *testing.T) {
			valid, output := run(t, check.Detect, filepath.Join("../samples", name), "")
			assert.Assert(t, valid && strings.Contains(output, want), output)
		})
	}
	entries, err := os.ReadDir("../samples")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 4, "this test must check every file in samples")
}

var codeBlock = regexp.MustCompile("(?ms)^ *```jsonc (\\w+)\n(.*?)^ *```$")

// TestCodeBlocks checks every code block with settings or a configuration in the docs.
func TestCodeBlocks(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	assert.NilError(t, err)
	blocks := 0
	for _, page := range append(pages, "../README.md") {
		content, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, block := range codeBlock.FindAllSubmatch(content, -1) {
			blocks++
			var kind check.Kind
			assert.NilError(t, kind.UnmarshalText(block[1]))
			// The path of the secret is relative to the settings file.
			path := filepath.Join(t.TempDir(), "block.json")
			assert.NilError(t, os.WriteFile(path, block[2], 0o600))
			assert.NilError(t, os.WriteFile(filepath.Join(filepath.Dir(path), "secret"), bytes.Repeat([]byte("x"), 64), 0o600))
			valid, output := run(t, kind, path, "")
			assert.Assert(t, valid, "%s:\n%s\n%s", page, block[2], output)
		}
	}
	assert.Assert(t, blocks >= 2, "got %d blocks, want at least 2", blocks)
}

func TestDetection(t *testing.T) {
	var trail bytes.Buffer
	writer := audit.NewTrail(&trail, "a", ident.Home{Incarnation: 1}, time.Now)
	writer.Append(event.InstanceStarted, "", nil)
	writer.Append(event.InstanceStopped, "", nil)
	assert.Assert(t, writer.Close(time.Now().Add(30*time.Second)))
	for name, c := range map[string]struct {
		kind    check.Kind
		content string
		valid   bool
		want    string
	}{
		"trail":                       {check.Detect, trail.String(), true, "standard input: a whole trail\na, incarnation 1: 2 records"},
		"edited record":               {check.Detect, strings.Replace(trail.String(), "101", "102", 1), false, "line 1: edited"},
		"malformed first line":        {check.Detect, strings.Replace(trail.String(), "{", "", 1), false, "line 1: malformed"},
		"trail by kind":               {check.Trail, "{}\n", false, "line 1: malformed"},
		"configuration":               {check.Detect, "// why\n{\"pools/p\": {}}", true, "good configuration with 1 values"},
		"faulty configuration":        {check.Detect, "{\"pools/p\": {},\n\"classes/c\": {\"kind\": 1}}", false, `standard input:2:23: ["classes/c"].kind: found 1`},
		"duplicate key":               {check.Configuration, `{"pools/p": {}, "pools/p": {}}`, false, `found field "pools/p" again`},
		"configuration by kind":       {check.Configuration, `{"instance": {}}`, false, "classes/, pools/ or teams/ and a name"},
		"settings":                    {check.Detect, `{"instance": "a b"}`, false, "standard input:1:14: instance: found \"a b\""},
		"settings by kind":            {check.Settings, `{"pools/p": {}}`, false, `unknown field "pools/p"`},
		"empty":                       {check.Detect, ``, false, "unexpected EOF"},
		"content after configuration": {check.Detect, `{"pools/p": {}} {}`, false, "after top-level value"},
	} {
		t.Run(name, func(t *testing.T) {
			valid, output := run(t, c.kind, check.Stdin, c.content)
			assert.Equal(t, valid, c.valid, output)
			assert.Assert(t, strings.Contains(output, c.want), output)
		})
	}
}

func TestDirectoryFaultsNameTheirFile(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, "classes"), 0o700))
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, ".git", "x"), 0o700))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, ".git", "x", "y"), []byte("hidden"), 0o600))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "classes", ".draft.json.swp"), []byte("hidden"), 0o600))
	path := filepath.Join(dir, "classes", "draft.json")
	assert.NilError(t, os.WriteFile(path, []byte("{\n\"kind\": \"batch\"}"), 0o600))
	valid, output := run(t, check.Detect, dir, "")
	assert.Assert(t, !valid)
	assert.Assert(t, strings.Contains(output, path+":2:9: kind: found \"batch\""), output)
	assert.Assert(t, !strings.Contains(output, "hidden") && !strings.Contains(output, "/."), output)
}

func TestUnreadableFilesDoNotHideFaults(t *testing.T) {
	var out bytes.Buffer
	checker := check.Checker{In: strings.NewReader("{}"), Out: &out, Faults: &out}
	valid, err := checker.Files([]string{"none", check.Stdin})
	assert.ErrorContains(t, err, "none")
	assert.Assert(t, !valid && strings.Contains(out.String(), "instance: found nothing"), out.String())
}
