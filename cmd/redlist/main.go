// Command redlist runs go test and passes when it passes, or when every test
// that failed is listed in KNOWN-RED.txt; those it prints. Usage:
//
//	redlist -- go test ./...
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// testEvent is one line of the output of go test -json.
type testEvent struct {
	Action, Package, Test, Output string
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) < 3 || args[0] != "--" || args[1] != "go" || args[2] != "test" {
		fmt.Fprintln(os.Stderr, "usage: redlist -- go test [flags] packages")
		return 2
	}
	known, err := readKnownRed("KNOWN-RED.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	command := exec.Command("go", append([]string{"test", "-json"}, args[3:]...)...)
	command.Stderr = os.Stderr
	output, err := command.StdoutPipe()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	// A package that fails without a failed test (it doesn't compile, or its
	// process died) is named by its path, and no entry can excuse it.
	var failedTests, failedPackages []string
	blamed := map[string]bool{}
	lines := bufio.NewScanner(output)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		var e testEvent
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			fmt.Println(lines.Text())
			continue
		}
		switch {
		case e.Action == "output" || e.Action == "build-output":
			fmt.Print(e.Output)
		case e.Action == "fail" && e.Test != "":
			blamed[e.Package] = true
			if !strings.Contains(e.Test, "/") {
				failedTests = append(failedTests, e.Package+"."+e.Test)
			}
		case e.Action == "fail" && !blamed[e.Package]:
			failedPackages = append(failedPackages, e.Package)
		}
	}
	err = command.Wait()
	for _, name := range known {
		fmt.Println("known red:", name)
	}
	if err == nil {
		return 0
	}
	code := 1
	if len(failedTests) > 0 && len(failedPackages) == 0 {
		code = 0
	}
	for _, name := range failedTests {
		if slices.Contains(known, name) {
			fmt.Println("failed as listed in KNOWN-RED.txt:", name)
			continue
		}
		fmt.Println("failed:", name)
		code = 1
	}
	for _, name := range failedPackages {
		fmt.Println("failed:", name)
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
