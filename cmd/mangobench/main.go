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
)

// command is a subcommand. Each has a file of its own.
type command interface {
	// run does the work with the programs in the directory bin.
	run(ctx context.Context, bin string) error
}

type arguments struct {
	Account *accountCommand `arg:"subcommand:account" help:"tell from instances' logs what callers didn't get, and why"`
	Compare *compareCommand `arg:"subcommand:compare" help:"run several policies on the same load"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"start a fleet, show it at work, and end it"`
	Leaving *leavingCommand `arg:"subcommand:leaving" help:"measure what a leaving engine still gets"`
	Relay   *relayCommand   `arg:"subcommand:relay" help:"measure what relaying a token costs an entry instance"`
	Restart *restartCommand `arg:"subcommand:restart" help:"measure what it takes when a whole fleet starts at once"`
	Slopes  *slopesCommand  `arg:"subcommand:slopes" help:"measure how the cost of control grows with the sizes of the fleet"`
	Run     *runCommand     `arg:"subcommand:run" help:"run one policy under a scenario"`
	Soak    *soakCommand    `arg:"subcommand:soak" help:"put load and random faults on a fleet and check every promise"`
	Spread  *spreadCommand  `arg:"subcommand:spread" help:"measure how soon a change of the configuration is in force everywhere"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.Fail("name a command")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	program, err := os.Executable()
	if err == nil {
		err = chosen.run(ctx, filepath.Dir(program))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
