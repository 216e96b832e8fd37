package main

import (
	"context"
	"os"
	"time"

	"mangoloft/bench"
)

type relayCommand struct {
	Streams int           `default:"300" help:"streams read through one entry instance"`
	Sampled int           `default:"20" help:"streams that are also read directly from the engine"`
	Step    time.Duration `default:"25ms" help:"the time between two tokens of a stream"`
	Length  time.Duration `default:"10s" help:"the length of the measurement"`
}

func (c *relayCommand) run(ctx context.Context, bin string) error {
	return bench.PrintRelayCost(ctx, bench.RelayCostPlan{
		Bin: bin, Streams: c.Streams, Sampled: c.Sampled, Step: c.Step, MeasureFor: c.Length,
	}, os.Stdout)
}
