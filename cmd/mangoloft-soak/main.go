// Command mangoloft-soak plays random faults against entry instances of the
// Halvorsen platform and checks what callers and upstreams see.
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
	Seeds     int     `arg:"--seeds" default:"1" help:"how many seeds, one after the other"`
	Seconds   float64 `arg:"--seconds" default:"20" help:"how long faults are played for each"`
	Instances int     `arg:"--instances" default:"4" help:"entry instances"`
	Calm      bool    `arg:"--calm" help:"play no faults"`
	Bin       string  `arg:"--bin" default:"bin" help:"the directory with mangoloft-edge"`
	Dir       string  `arg:"--dir" help:"where settings and logs go; kept when a seed fails"`
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
		plan := soak.Plan{Seed: seed, Until: time.Now().Add(time.Duration(a.Seconds * float64(time.Second))), Instances: a.Instances, NoFaults: a.Calm, Bin: a.Bin, Dir: dir}
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
