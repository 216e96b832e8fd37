package main

import (
	"context"
	"os"

	"mangoloft/bench"
)

type restartCommand struct {
	DataCentres int `arg:"--data-centres" default:"3"`
	Entries     int `default:"6" help:"entry instances in each data centre"`
	Teams       int `default:"21000" help:"teams in the configuration"`
}

func (c *restartCommand) run(ctx context.Context, bin string) error {
	return bench.PrintRestart(ctx, bench.RestartPlan{Bin: bin, DataCentres: c.DataCentres, Entries: c.Entries, Teams: c.Teams}, os.Stdout)
}
