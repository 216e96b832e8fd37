// Command mangobench-entry runs an entry instance for measurements. It differs from
// command mangoloft only in the scheduler, which can be chosen.
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
	Lengths  string `help:"the file with the true output lengths, for the policy known_lengths"`
	Seed     uint64 `help:"the seed of schedulers that choose at random"`
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
	nameHash := fnv.New64a()
	nameHash.Write([]byte(s.Instance))
	scheduler, err := baseline.New(c.Policy, baseline.Options{DataCentre: s.DataCentre, LengthsFile: c.Lengths, Seed: c.Seed ^ nameHash.Sum64()})
	if err != nil {
		return err
	}
	kernel.ReplaceScheduler(func(string) control.Scheduler { return scheduler })
	return kernel.Run(ctx, s, os.Stdout, os.Stderr)
}
