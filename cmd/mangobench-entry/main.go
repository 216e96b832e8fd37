// Command mangobench-entry is the entry instance as measurements run it: the
// product's own, with the scheduler that the measurement names.
package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"mangoloft/baseline"
	_ "mangoloft/caller"
	_ "mangoloft/charge"
	"mangoloft/control"
	_ "mangoloft/engine"
	"mangoloft/kernel"
	_ "mangoloft/operator"
	_ "mangoloft/peer"
	_ "mangoloft/publisher"
	_ "mangoloft/service"
	"mangoloft/settings"
)

type serveCommand struct {
	Settings string `arg:"required" help:"the settings file"`
	Policy   string `default:"mangoloft" help:"the scheduler"`
	Lengths  string `help:"the file with the true lengths, for the bound"`
	Seed     uint64 `help:"for schedulers that draw lots"`
}

type arguments struct {
	Serve *serveCommand `arg:"subcommand:serve" help:"run an entry instance until SIGTERM or SIGINT"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if args.Serve == nil {
		parser.Fail("name a command: serve")
	}
	if err := serve(args.Serve); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(c *serveCommand) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	name := fnv.New64a()
	name.Write([]byte(s.Instance))
	scheduler, err := baseline.New(c.Policy, baseline.Options{DataCentre: s.DataCentre, LengthsFile: c.Lengths, Seed: c.Seed ^ name.Sum64()})
	if err != nil {
		return err
	}
	kernel.ReplaceScheduler(func(string) control.Scheduler { return scheduler })
	return kernel.Run(ctx, s, os.Stdout, os.Stderr)
}
