// Command mangobench runs load tests and experiments against fleets of processes that
// it starts on this machine.
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

// command is a subcommand.
type command interface {
	// run runs the subcommand, using the programs in the directory bin.
	run(ctx context.Context, bin string) error
}

type arguments struct {
	Account *accountCommand `arg:"subcommand:account" help:"summarize from instances' logs which requests were not served in time, and why"`
	Compare *compareCommand `arg:"subcommand:compare" help:"run several policies on the same load"`
	Demo    *demoCommand    `arg:"subcommand:demo" help:"start a fleet, demonstrate it, and stop it"`
	Leaving *leavingCommand `arg:"subcommand:leaving" help:"measure the requests that a leaving engine still receives"`
	Relay   *relayCommand   `arg:"subcommand:relay" help:"measure the cost of relaying a token in an entry instance"`
	Restart *restartCommand `arg:"subcommand:restart" help:"measure the start of a whole fleet at once"`
	Slopes  *slopesCommand  `arg:"subcommand:slopes" help:"measure how the cost of the control plane grows with the size of the fleet"`
	Run     *runCommand     `arg:"subcommand:run" help:"run one policy under a scenario"`
	Soak    *soakCommand    `arg:"subcommand:soak" help:"run a fleet under load and random faults, and check its guarantees"`
	Spread  *spreadCommand  `arg:"subcommand:spread" help:"measure how fast a configuration change takes effect in all instances"`
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
