package main

import (
	"context"
	"os"
	"time"

	"mangoloft/bench"
)

type leavingCommand struct {
	DataCentres int           `arg:"--data-centres" default:"2"`
	Entries     int           `default:"3" help:"entry instances in each data centre"`
	Rounds      int           `default:"4" help:"the number of engines that leave, one after the other"`
	Watch       time.Duration `default:"10s" help:"how long each leaving engine is watched"`
}

func (c *leavingCommand) run(ctx context.Context, bin string) error {
	return bench.PrintLeaving(ctx, bench.LeavingPlan{
		Bin: bin, DataCentres: c.DataCentres, Entries: c.Entries, Rounds: c.Rounds, Watch: c.Watch,
	}, os.Stdout)
}
