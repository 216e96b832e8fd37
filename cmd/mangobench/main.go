// Command mangobench is the load and experiment tool, and the only program of
// the project that starts processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alexflint/go-arg"

	"mangoloft/bench"
)

type demoCommand struct{}

type arguments struct {
	Demo *demoCommand `arg:"subcommand:demo" help:"start a fleet, show it at work, and end it"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	switch {
	case args.Demo != nil:
		err = bench.Demo(ctx, filepath.Dir(program), os.Stdout)
	default:
		parser.Fail("name a command")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
