// Command redlist runs go test and passes when it passes, or when every test
// that failed is listed in KNOWN-RED.txt; those it prints. Usage:
//
//	redlist -- go test ./...
package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
)

// The exit codes.
const (
	exitPassed = 0
	exitFailed = 1
	exitUnable = 2
)

func main() {
	os.Exit(run(os.Args[1:], "KNOWN-RED.txt", os.Stdout, os.Stderr))
}

func run(args []string, listPath string, out, errors io.Writer) int {
	if len(args) < 3 || args[0] != "--" || args[1] != "go" || args[2] != "test" {
		fmt.Fprintln(errors, "usage: redlist -- go test [flags] packages")
		return exitUnable
	}
	known, err := readKnownRed(listPath)
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUnable
	}
	command := exec.Command("go", append([]string{"test", "-json"}, args[3:]...)...)
	command.Stderr = errors
	output, err := command.StdoutPipe()
	if err != nil {
		fmt.Fprintln(errors, err)
		return exitUnable
	}
	if err := command.Start(); err != nil {
		fmt.Fprintln(errors, err)
		return exitUnable
	}
	seen := read(output, out)
	seen.failed = command.Wait() != nil
	return seen.judge(known, out)
}
