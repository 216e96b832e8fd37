// Command mangoloft-edge runs an entry instance for the Halvorsen platform, and
// checks its settings and routing tables.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alexflint/go-arg"

	"mangoloft/catalog"
	"mangoloft/entry"
	"mangoloft/platform"
)

const (
	// gcPercent is the percentage by which the heap can grow between garbage
	// collections. On small instances, memory costs more than processor time.
	gcPercent = 50
)

type serveCommand struct {
	Settings string `arg:"--settings,env:MANGOLOFT_CONFIG,required" help:"the settings file"`
}

type checkCommand struct {
	Settings string `arg:"positional" help:"a settings file"`
	Table    string `arg:"--table" help:"a file with a routing table as operators publish it"`
}

type arguments struct {
	Serve *serveCommand `arg:"subcommand:serve" help:"run an entry instance"`
	Check *checkCommand `arg:"subcommand:check" help:"check files and report every fault"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	switch {
	case args.Serve != nil:
		os.Exit(exitCode(serve(args.Serve.Settings)))
	case args.Check != nil:
		os.Exit(exitCode(check(*args.Check)))
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(2)
	}
}

// exitCode prints the error, if any, and returns the exit code.
func exitCode(err error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func serve(path string) error {
	debug.SetGCPercent(gcPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return entry.Run(ctx, path, reloads, entry.Dependencies{
		Store:    func(addr func() netip.AddrPort) catalog.Store { return platform.NewStore(addr) },
		Protocol: platform.Headers{}, Engines: platform.NewEngineClient(), Decoder: platform.DocumentDecoder{},
	}, os.Stdout)
}

func check(c checkCommand) error {
	if c.Settings != "" {
		if _, err := entry.Load(c.Settings); err != nil {
			return err
		}
	}
	if c.Table != "" {
		raw, err := os.ReadFile(c.Table)
		if err != nil {
			return err
		}
		if _, err := (platform.DocumentDecoder{}).Table(raw); err != nil {
			return err
		}
	}
	return nil
}
