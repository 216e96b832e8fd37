// Command standin runs a stand-in for one of the systems around the entry
// instances.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/oklog/run"

	"mangoloft/ident"
	"mangoloft/standin"
)

type arguments struct {
	Engine        *engineCommand        `arg:"subcommand:engine" help:"a model engine"`
	Service       *serviceCommand       `arg:"subcommand:service" help:"a service with plain calls"`
	Configuration *configurationCommand `arg:"subcommand:configuration" help:"the configuration service"`
	List          *listCommand          `arg:"subcommand:list" help:"the instance list"`
}

type engineCommand struct {
	Listen          netip.AddrPort `arg:"required"`
	Incarnation     string         `arg:"required" help:"the incarnation given in the instance list"`
	Step            time.Duration  `default:"5ms" help:"the time of an iteration without work"`
	StepPerSequence time.Duration  `arg:"--step-per-sequence" help:"the time that each running generation adds to an iteration"`
	PrefillPerToken time.Duration  `arg:"--prefill-per-token" help:"the time that each prefilled token adds to an iteration"`
	PrefillTokens   int            `arg:"--prefill-tokens" default:"2048" help:"maximum tokens prefilled in one iteration"`
	MaxBatch        int            `arg:"--max-batch" default:"256" help:"maximum generations that run at once"`
	Blocks          int            `default:"8192" help:"size of the KV cache, in blocks"`
	BlockTokens     int            `arg:"--block-tokens" default:"16" help:"tokens in a block"`
	CacheBlocks     int            `arg:"--cache-blocks" default:"1024" help:"size of the prefix cache, in blocks"`
	ReportLag       time.Duration  `arg:"--report-lag" help:"age of a load report"`
	EventLag        time.Duration  `arg:"--event-lag" help:"age of a cache event"`
	EventLoss       float64        `arg:"--event-loss" help:"share of cache events that are lost"`
	Seed            uint64         `help:"decides which cache events are lost"`
}

func (c *engineCommand) model() standin.ModelSettings {
	return standin.ModelSettings{
		StepTime: c.Step, StepPerSequence: c.StepPerSequence, PrefillPerToken: c.PrefillPerToken,
		PrefillTokens: c.PrefillTokens, MaxBatch: c.MaxBatch, Blocks: c.Blocks, BlockTokens: c.BlockTokens,
		CacheBlocks: c.CacheBlocks, ReportLag: c.ReportLag, EventLag: c.EventLag, EventLoss: c.EventLoss, Seed: c.Seed,
	}
}

type serviceCommand struct {
	Listen      netip.AddrPort `arg:"required"`
	Incarnation string         `arg:"required" help:"the incarnation given in the instance list"`
}

type configurationCommand struct {
	Listen netip.AddrPort `arg:"required"`
}

type listCommand struct {
	Listen netip.AddrPort `arg:"required"`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var group run.Group
	var listen netip.AddrPort
	var routes http.Handler
	switch {
	case args.Engine != nil:
		engine := standin.NewEngine(parseIncarnation(parser, args.Engine.Incarnation), args.Engine.model())
		listen, routes = args.Engine.Listen, engine.Routes()
		done := make(chan struct{})
		group.Add(func() error { engine.Run(done); return nil }, func(error) { close(done) })
	case args.Service != nil:
		listen, routes = args.Service.Listen, standin.NewService(parseIncarnation(parser, args.Service.Incarnation), os.Stdout).Routes()
	case args.Configuration != nil:
		listen, routes = args.Configuration.Listen, standin.NewConfigurationService().Routes()
	case args.List != nil:
		listen, routes = args.List.Listen, standin.NewInstanceList([]byte("{}")).Routes()
	default:
		parser.Fail("name a stand-in: engine, service, configuration or list")
	}
	server := &http.Server{Addr: listen.String(), Handler: routes, ReadHeaderTimeout: time.Second}
	group.Add(server.ListenAndServe, func(error) { server.Close() })
	group.Add(func() error { <-ctx.Done(); return nil }, func(error) { stop() })
	if err := group.Run(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// parseIncarnation parses the text, and exits with a usage message if it is
// malformed.
func parseIncarnation(parser *arg.Parser, text string) ident.Incarnation {
	parsed, err := ident.ParseIncarnation(text)
	if err != nil {
		parser.Fail(err.Error())
	}
	return parsed
}
