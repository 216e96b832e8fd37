package main

import (
	"context"
	"os"
	"time"

	"mangoloft/bench"
)

type soakCommand struct {
	Seed    uint64 `default:"1" help:"repeats a schedule of faults"`
	Seconds int    `default:"60" help:"the length, with 10 s without faults at the end"`
	Streams int    `default:"20" help:"readers at once"`
	Charges int    `default:"10" help:"callers of charges at once"`
	Reads   int    `default:"4" help:"callers of reads at once"`
}

func (c *soakCommand) run(ctx context.Context, bin string) error {
	return bench.PrintSoak(ctx, bench.SoakPlan{
		Bin: bin, Seed: c.Seed, Length: time.Duration(c.Seconds) * time.Second,
		Streams: c.Streams, Charges: c.Charges, Reads: c.Reads,
	}, os.Stdout)
}
