package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// maxLineBytes is the maximum length of a line of go test's output.
const maxLineBytes = 16 << 20

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
}

// results contains the results of one execution of go test.
type results struct {
	// failed reports whether go test exited with an error.
	failed bool
	// tests are the top-level tests that failed, as "package.Test".
	tests []string
	// packages are the packages that failed for a reason other than failed tests:
	// they don't compile, or the test process exited before all tests ended.
	packages []string
	// passed contains the tests and subtests that passed, as "package.Test".
	passed map[string]bool
}

// completedLine is printed by a test binary that has run all its tests, at least one
// of which failed. A binary that panics, is killed or times out doesn't print it.
const completedLine = "FAIL\n"

// readResults reads the events of go test and copies the output of the tests to out.
func readResults(events io.Reader, out io.Writer) results {
	r := results{passed: map[string]bool{}}
	testFailed, completed := map[string]bool{}, map[string]bool{}
	lines := bufio.NewScanner(events)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var e testEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		name := e.Package + "." + e.Test
		switch {
		case e.Action == "output" || e.Action == "build-output":
			fmt.Fprint(out, e.Output)
			completed[e.Package] = completed[e.Package] || e.Test == "" && e.Output == completedLine
		case e.Action == "pass" && e.Test != "":
			r.passed[name] = true
		case e.Action == "fail" && e.Test != "":
			testFailed[e.Package] = true
			if !strings.Contains(e.Test, "/") {
				r.tests = append(r.tests, name)
			}
		case e.Action == "fail" && !(completed[e.Package] && testFailed[e.Package]):
			r.packages = append(r.packages, e.Package)
		}
	}
	if err := lines.Err(); err != nil {
		// The rest of the output is unknown, so the run must fail.
		r.packages = append(r.packages, fmt.Sprint("the output of go test can't be read: ", err))
	}
	return r
}

// report prints the known red tests and the failures, and returns the exit code.
func (r results) report(known []string, out io.Writer) int {
	for _, name := range known {
		fmt.Fprintln(out, "known red:", name)
		if r.passed[name] {
			fmt.Fprintln(out, "passed, though listed in KNOWN-RED.txt:", name)
		}
	}
	code := exitPassed
	for _, name := range r.tests {
		if slices.Contains(known, name) {
			fmt.Fprintln(out, "failed as listed in KNOWN-RED.txt:", name)
			continue
		}
		fmt.Fprintln(out, "failed:", name)
		code = exitFailed
	}
	for _, name := range r.packages {
		fmt.Fprintln(out, "failed:", name)
		code = exitFailed
	}
	if r.failed && len(r.tests) == 0 {
		code = exitFailed
	}
	return code
}

// readKnownRed returns the names of the tests in the list. An entry begins with
// the name of the test, as in "mangoloft/relay.TestX: make test, seed 1, ...". A
// missing file counts as an empty list.
func readKnownRed(path string) ([]string, error) {
	content, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var names []string
	for line := range strings.Lines(string(content)) {
		name, _, found := strings.Cut(line, ":")
		if found && !strings.HasPrefix(line, "#") {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names, nil
}
