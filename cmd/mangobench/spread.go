package main

import (
	"context"
	"os"
	"time"

	"mangoloft/bench"
)

type spreadCommand struct {
	DataCentres int           `arg:"--data-centres" default:"3"`
	Entries     int           `default:"6" help:"entry instances in each data centre"`
	Changes     int           `default:"50" help:"the number of configuration changes"`
	Interval    time.Duration `default:"200ms" help:"the time between two changes"`
}

func (c *spreadCommand) run(ctx context.Context, bin string) error {
	return bench.PrintPropagation(ctx, bench.PropagationPlan{
		Bin: bin, DataCentres: c.DataCentres, Entries: c.Entries, Changes: c.Changes, Interval: c.Interval,
	}, os.Stdout)
}
