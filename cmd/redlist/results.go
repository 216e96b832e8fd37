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

// maxLineBytes bounds one line of go test's output.
const maxLineBytes = 16 << 20

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
}

// results are what a run of go test showed.
type results struct {
	// failed says that go test itself reports a failure.
	failed bool
	// tests are the top-level tests that failed, as "package.Test".
	tests []string
	// packages failed in a way that no test can be blamed for: one doesn't
	// compile, or its process died and took the tests behind with it.
	packages []string
	passed   map[string]bool
}

// endLine is what a test binary prints of itself when tests failed and it came
// to its end. One that panics, is killed or runs past its time does not.
const endLine = "FAIL\n"

// read takes in the events and passes the tests' own output on.
func read(events io.Reader, out io.Writer) results {
	r := results{passed: map[string]bool{}}
	blamed, ended := map[string]bool{}, map[string]bool{}
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
			ended[e.Package] = ended[e.Package] || e.Test == "" && e.Output == endLine
		case e.Action == "pass" && e.Test != "":
			r.passed[name] = true
		case e.Action == "fail" && e.Test != "":
			blamed[e.Package] = true
			if !strings.Contains(e.Test, "/") {
				r.tests = append(r.tests, name)
			}
		case e.Action == "fail" && !(ended[e.Package] && blamed[e.Package]):
			r.packages = append(r.packages, e.Package)
		}
	}
	if err := lines.Err(); err != nil {
		// What came behind is unread, so nothing can be excused.
		r.packages = append(r.packages, fmt.Sprint("the output of go test can't be read: ", err))
	}
	return r
}

// judge prints what failed and what is known to, and returns the exit code.
func (r results) judge(known []string, out io.Writer) int {
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

// readKnownRed returns the test names that the list's lines begin with, such
// as "mangoloft/relay.TestX: make test, seed 1, ...". A missing file is an
// empty list.
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
