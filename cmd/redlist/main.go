// Command redlist runs go test. It succeeds if all tests pass, or if every failed
// test is listed in KNOWN-RED.txt. It prints the listed tests. Usage:
//
//	redlist -- go test ./...
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
)

// Exit codes.
const (
	exitPassed = 0
	exitFailed = 1
	// exitUnable is for wrong usage, an unreadable list, and a go test that can't be
	// started.
	exitUnable = 2
)

func main() {
	os.Exit(run(os.Args[1:], "KNOWN-RED.txt", os.Stdout, os.Stderr))
}

// run runs go test with the arguments after "--" and returns the exit code.
func run(args []string, listPath string, stdout, stderr io.Writer) int {
	if len(args) < 3 || args[0] != "--" || args[1] != "go" || args[2] != "test" {
		fmt.Fprintln(stderr, "usage: redlist -- go test [flags] packages")
		return exitUnable
	}
	known, err := readKnownRed(listPath)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUnable
	}
	command := exec.Command("go", append([]string{"test", "-json"}, args[3:]...)...)
	command.Stderr = stderr
	output, err := command.StdoutPipe()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUnable
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(stderr, err)
		return exitUnable
	}
	r := readResults(output, stdout)
	r.failed = command.Wait() != nil
	return r.report(known, stdout)
}
