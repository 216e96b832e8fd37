package main

import (
	"context"
	"os"
	"time"

	"mangoloft/bench"
)

type soakCommand struct {
	Seed    uint64 `default:"1" help:"the seed of the fault schedule"`
	Seconds int    `default:"60" help:"the length in seconds, including 10 s without faults at the end"`
	Streams int    `default:"20" help:"concurrent readers of streams"`
	Charges int    `default:"10" help:"concurrent callers of charges"`
	Reads   int    `default:"4" help:"concurrent callers of reads"`
}

func (c *soakCommand) run(ctx context.Context, bin string) error {
	return bench.PrintSoak(ctx, bench.SoakPlan{
		Bin: bin, Seed: c.Seed, Length: time.Duration(c.Seconds) * time.Second,
		Streams: c.Streams, Charges: c.Charges, Reads: c.Reads,
	}, os.Stdout)
}
