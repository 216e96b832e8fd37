package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Output lines of go test -json.
const (
	passA      = `{"Action":"pass","Package":"m/a","Test":"TestA"}`
	failA      = `{"Action":"fail","Package":"m/a","Test":"TestA"}`
	failSub    = `{"Action":"fail","Package":"m/a","Test":"TestA/case"}`
	failB      = `{"Action":"fail","Package":"m/b","Test":"TestB"}`
	endA       = `{"Action":"fail","Package":"m/a"}`
	endB       = `{"Action":"fail","Package":"m/b"}`
	completedA = `{"Action":"output","Package":"m/a","Output":"FAIL\n"}`
	summary    = `{"Action":"output","Package":"m/a","Output":"FAIL\tm/a\t0.1s\n"}`
	printed    = `{"Action":"output","Package":"m/a","Test":"TestA","Output":"FAIL\n"}`
	skipA      = `{"Action":"skip","Package":"m/a","Test":"TestA"}`
	build      = `{"Action":"build-output","ImportPath":"m/a","Output":"a.go:1: syntax error\n"}`
)

// TestReport checks the exit code and the output for the events of go test.
func TestReport(t *testing.T) {
	for name, c := range map[string]struct {
		events []string
		failed bool
		known  []string
		code   int
		want   string
	}{
		"all pass":                                              {[]string{passA}, false, nil, exitPassed, ""},
		"an unknown failure":                                    {[]string{failSub, failA, completedA, summary, endA}, true, nil, exitFailed, "failed: m/a.TestA\n"},
		"a known failure":                                       {[]string{failSub, failA, completedA, summary, endA}, true, []string{"m/a.TestA"}, exitPassed, "failed as listed in KNOWN-RED.txt: m/a.TestA\n"},
		"a known and an unknown failure":                        {[]string{failA, completedA, endA, failB, endB}, true, []string{"m/a.TestA"}, exitFailed, "failed: m/b.TestB\n"},
		"a known name in another package":                       {[]string{failB, endB}, true, []string{"m/a.TestB"}, exitFailed, "failed: m/b.TestB\n"},
		"a known test that passes":                              {[]string{passA}, false, []string{"m/a.TestA"}, exitPassed, "passed, though listed in KNOWN-RED.txt: m/a.TestA\n"},
		"a package that does not compile":                       {[]string{build, endA}, true, []string{"m/a.TestA"}, exitFailed, "a.go:1: syntax error\n"},
		"a known test that panics":                              {[]string{failA, summary, endA}, true, []string{"m/a.TestA"}, exitFailed, "failed: m/a\n"},
		"a known test whose process exits after FAIL":           {[]string{printed, failA, summary, endA}, true, []string{"m/a.TestA"}, exitFailed, "failed: m/a\n"},
		"a failure without a test":                              {nil, true, []string{"m/a.TestA"}, exitFailed, "known red: m/a.TestA\n"},
		"a skipped known test":                                  {[]string{skipA}, false, []string{"m/a.TestA"}, exitPassed, "known red: m/a.TestA\n"},
		"a line that is not an event":                           {[]string{"# m/a", endA}, true, nil, exitFailed, "# m/a\nfailed: m/a\n"},
		"a line that is too long":                               {[]string{strings.Repeat("x", maxLineBytes+1), failA}, true, []string{"m/a.TestA"}, exitFailed, "can't be read"},
		"a known failure and a package that failed without one": {[]string{failA, completedA, endA, endB}, true, []string{"m/a.TestA"}, exitFailed, "failed: m/b\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			r := readResults(strings.NewReader(strings.Join(c.events, "\n")), &out)
			r.failed = c.failed
			assert.Equal(t, r.report(c.known, &out), c.code, out.String())
			assert.Assert(t, strings.Contains(out.String(), c.want), out.String())
			assert.Equal(t, strings.Contains(out.String(), "passed, though"), strings.Contains(c.want, "passed, though"))
		})
	}
}

// TestReadKnownRed checks that comments and lines that are not entries are
// ignored, and that a missing file counts as an empty list.
func TestReadKnownRed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	names, err := readKnownRed(path)
	assert.NilError(t, err)
	assert.Equal(t, len(names), 0)
	list := "# mangoloft/x.TestComment: no entry\n\nmangoloft/relay.TestX: make test, seed 1, lost a token\nnot an entry\n"
	assert.NilError(t, os.WriteFile(path, []byte(list), 0o600))
	names, err = readKnownRed(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, names, []string{"mangoloft/relay.TestX"})
}

// TestRun checks the exit codes with the real go test, on a module with a failing
// test and a test that panics.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	write := func(name, content string) {
		t.Helper()
		assert.NilError(t, os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o700))
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	write("go.mod", "module m\n")
	write("a/a_test.go", "package a\nimport \"testing\"\nfunc TestA(t *testing.T) { t.Error(\"red\") }\n")
	write("b/b_test.go", "package b\nimport \"testing\"\nfunc TestB(t *testing.T) { panic(\"dead\") }\nfunc TestC(t *testing.T) {}\n")
	list := filepath.Join(dir, "list")
	for name, c := range map[string]struct {
		args []string
		list string
		code int
	}{
		"unknown":           {[]string{"./a"}, "", exitFailed},
		"known":             {[]string{"./a"}, "m/a.TestA: always", exitPassed},
		"known, but panics": {[]string{"./b"}, "m/b.TestB: always", exitFailed},
		"no such package":   {[]string{"./c"}, "m/a.TestA: always", exitFailed},
		"not go test":       {nil, "", exitUnable},
	} {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, os.WriteFile(list, []byte(c.list), 0o600))
			args := append([]string{"--", "go", "test"}, c.args...)
			if c.args == nil {
				args = []string{"--", "go", "build"}
			}
			var out bytes.Buffer
			t.Chdir(dir)
			assert.Equal(t, run(args, list, &out, &out), c.code, out.String())
		})
	}
}
