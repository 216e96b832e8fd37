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
	"time"

	"github.com/alexflint/go-arg"

	"mangoloft/bench"
)

type demoCommand struct{}

type soakCommand struct {
	Seed    uint64 `default:"1" help:"repeats a schedule of faults"`
	Seconds int    `default:"60" help:"the length, with 10 s without faults at the end"`
	Streams int    `default:"20" help:"readers at once"`
	Charges int    `default:"10" help:"callers of charges at once"`
	Reads   int    `default:"4" help:"callers of reads at once"`
}

type spreadCommand struct {
	DataCentres int           `arg:"--data-centres" default:"3"`
	Entries     int           `default:"6" help:"entry instances in each data centre"`
	Changes     int           `default:"50" help:"changes of the configuration"`
	Interval    time.Duration `default:"200ms" help:"the time between two changes"`
}

type arguments struct {
	Spread *spreadCommand `arg:"subcommand:spread" help:"measure how soon a change of the configuration is in force everywhere"`
	Soak   *soakCommand   `arg:"subcommand:soak" help:"put load and random faults on a fleet and check every promise"`
	Demo   *demoCommand   `arg:"subcommand:demo" help:"start a fleet, show it at work, and end it"`
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
	case args.Soak != nil:
		err = bench.PrintSoak(ctx, bench.SoakPlan{
			Bin: filepath.Dir(program), Seed: args.Soak.Seed, Length: time.Duration(args.Soak.Seconds) * time.Second,
			Streams: args.Soak.Streams, Charges: args.Soak.Charges, Reads: args.Soak.Reads,
		}, os.Stdout)
	case args.Spread != nil:
		err = bench.PrintSpread(ctx, bench.SpreadPlan{
			Bin: filepath.Dir(program), DataCentres: args.Spread.DataCentres, Entries: args.Spread.Entries,
			Changes: args.Spread.Changes, Interval: args.Spread.Interval,
		}, os.Stdout)
	default:
		parser.Fail("name a command")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
