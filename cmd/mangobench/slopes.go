package main

import (
	"context"
	"os"

	"mangoloft/bench"
)

type slopesCommand struct {
	JSON      bool `help:"print a line of JSON for each slope instead of a table"`
	Processes bool `help:"also measure fleets of up to 40 real processes"`
}

func (c *slopesCommand) run(ctx context.Context, bin string) error {
	return bench.PrintSlopes(ctx, bench.SlopesPlan{Bin: bin, Processes: c.Processes}, c.JSON, os.Stdout)
}
