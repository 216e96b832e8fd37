// Command mangoloft-soak injects random faults into a fleet of entry instances
// for the Halvorsen platform and checks the results that callers and upstreams
// observe.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"mangoloft/soak"
)

type arguments struct {
	Seed      uint64  `arg:"--seed" default:"1" help:"the first seed"`
	Seeds     int     `arg:"--seeds" default:"1" help:"the number of consecutive seeds to run"`
	Seconds   float64 `arg:"--seconds" default:"20" help:"how long faults are injected for each seed"`
	Instances int     `arg:"--instances" default:"4" help:"the number of entry instances"`
	Calm      bool    `arg:"--calm" help:"inject no faults"`
	Bin       string  `arg:"--bin" default:"bin" help:"the directory with mangoloft-edge"`
	Dir       string  `arg:"--dir" help:"the directory for settings and logs; those of failed seeds are kept"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if a.Dir == "" {
		a.Dir = filepath.Join(os.TempDir(), "mangoloft-soak")
	}
	failed := 0
	for n := range a.Seeds {
		seed := a.Seed + uint64(n)
		dir := filepath.Join(a.Dir, fmt.Sprint("seed-", seed))
		if err := os.MkdirAll(dir, 0o700); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		plan := soak.Plan{Seed: seed, Deadline: time.Now().Add(time.Duration(a.Seconds * float64(time.Second))), Instances: a.Instances, NoFaults: a.Calm, Bin: a.Bin, Dir: dir}
		err := soak.Print(ctx, plan, os.Stdout)
		if errors.Is(err, soak.ErrInterrupted) {
			fmt.Println("interrupted in seed", seed)
			os.Exit(1)
		}
		if err != nil {
			fmt.Println("FAILED", err, "logs in", dir)
			failed++
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
	if failed > 0 {
		os.Exit(1)
	}
}
