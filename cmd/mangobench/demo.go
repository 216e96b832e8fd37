package main

import (
	"context"
	"os"

	"mangoloft/bench"
)

type demoCommand struct{}

func (demoCommand) run(ctx context.Context, bin string) error {
	return bench.Demo(ctx, bin, os.Stdout)
}
