package main

import (
	"context"
	"os"
	"strings"

	"mangoloft/bench"
)

type runCommand struct {
	Scenario string `arg:"required" help:"the scenario file"`
	Seed     uint64 `default:"1" help:"the seed of arrivals and lengths"`
	Policy   string `default:"mangoloft" help:"the scheduler"`
	JSON     bool   `arg:"--json" help:"print a line of JSON instead of a table"`
	Keep     string `help:"a directory to store the fleet's logs in"`
}

func (c *runCommand) run(ctx context.Context, bin string) error {
	return bench.Compare(ctx, bench.Comparison{
		Bin: bin, Scenario: c.Scenario, Seeds: []uint64{c.Seed}, Policies: []string{c.Policy}, JSON: c.JSON, LogDir: c.Keep,
	}, os.Stdout)
}

type compareCommand struct {
	Scenario string   `arg:"required" help:"the scenario file"`
	Seed     []uint64 `help:"one or more seeds of arrivals and lengths"`
	Policies string   `default:"round_robin,least_requests,two_choices,mangoloft,known_lengths" help:"schedulers, separated by commas"`
	JSON     bool     `arg:"--json" help:"print a line of JSON for each policy instead of a table"`
	Keep     string   `help:"a directory to store the fleets' logs in"`
}

func (c *compareCommand) run(ctx context.Context, bin string) error {
	seeds := c.Seed
	if len(seeds) == 0 {
		seeds = []uint64{1}
	}
	return bench.Compare(ctx, bench.Comparison{
		Bin: bin, Scenario: c.Scenario, Seeds: seeds, Policies: strings.Split(c.Policies, ","), JSON: c.JSON, LogDir: c.Keep,
	}, os.Stdout)
}
