// Command mangoloft is the entry instance and the tool to look into one.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"

	_ "mangoloft/caller"
	"mangoloft/certs"
	_ "mangoloft/charge"
	"mangoloft/check"
	_ "mangoloft/engine"
	"mangoloft/ident"
	"mangoloft/kernel"
	"mangoloft/operator"
	_ "mangoloft/peer"
	_ "mangoloft/publisher"
	_ "mangoloft/service"
	"mangoloft/settings"
)

// The exit codes.
const (
	exitDone = 0
	// exitNo is for faults found, a request without a record, and an instance
	// that ended by a failure.
	exitNo = 1
	// exitUnable is for a command that could not do its work.
	exitUnable = 2
)

type serveCommand struct {
	Settings string `arg:"required" help:"the settings file; see docs/SETTINGS.md"`
}

type checkCommand struct {
	Files []string   `arg:"positional,required" placeholder:"FILE" help:"settings, a configuration (a directory of values, or one file with an object of values by key), or a stream of audit records; - is standard input"`
	Kind  check.Kind `arg:"--kind" default:"detect" help:"settings, configuration or trail; the content tells unless given"`
	Heads []string   `arg:"--head,separate" placeholder:"HASH" help:"a hash that status once showed, which the trail must hold; may be given several times"`
}

// instanceOptions say which instance to ask, and how.
type instanceOptions struct {
	Operators   netip.AddrPort `arg:"required" help:"the instance's address for operators, such as 10.0.0.1:9090"`
	CA          string         `arg:"--ca" placeholder:"FILE" help:"the authorities of the instance's certificate, when it speaks TLS"`
	Certificate string         `arg:"--certificate" placeholder:"FILE" help:"the certificate to show, when the instance asks for one"`
	Key         string         `arg:"--key" placeholder:"FILE" help:"the key of the certificate"`
	JSON        bool           `arg:"--json" help:"show the answer as JSON"`
}

func (o instanceOptions) client() operator.Client {
	return operator.Client{Addr: o.Operators, Files: certs.Files{Certificate: o.Certificate, Key: o.Key, CA: o.CA}}
}

type explainCommand struct {
	instanceOptions
	RequestID string `arg:"positional,required" placeholder:"REQUEST_ID" help:"the request's id, from X-Request-Id; any instance finds it"`
}

type statusCommand struct {
	instanceOptions
}

type versionCommand struct{}

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an entry instance until SIGTERM or SIGINT, which begin its planned stop"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check files and report every fault"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell why a request ended as it did"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show an instance's state"`
	Version *versionCommand `arg:"subcommand:version" help:"show the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "mangoloft serves generations of unknown length on crowded engines."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `Exit codes: 0 done; 1 faults found, no record of the request, or an instance
that ended by a failure; 2 wrong usage, a file that can't be read, settings that
can't be used, or an instance that doesn't answer.`
}

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("name a command: serve, check, explain, status or version")
	}
	os.Exit(run(args))
}

func run(args arguments) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case args.Serve != nil:
		return serve(ctx, *args.Serve)
	case args.Check != nil:
		return checkFiles(*args.Check)
	case args.Explain != nil:
		return explain(ctx, *args.Explain)
	case args.Status != nil:
		content, err := args.Status.client().Status(ctx)
		return show(content, err, args.Status.JSON, operator.WriteStatus)
	}
	fmt.Println("mangoloft", version())
	return exitDone
}

func serve(ctx context.Context, command serveCommand) int {
	s, err := settings.Load(command.Settings)
	if err != nil {
		return fail(err, exitUnable)
	}
	// A pipe that nobody reads any more must not end the instance.
	signal.Ignore(syscall.SIGPIPE)
	if err := kernel.Run(ctx, s, os.Stdout, os.Stderr); err != nil {
		return fail(err, exitNo)
	}
	return exitDone
}

func checkFiles(command checkCommand) int {
	checker := check.Checker{Kind: command.Kind, Heads: command.Heads, In: os.Stdin, Out: os.Stdout, Faults: os.Stderr}
	good, err := checker.Files(command.Files)
	switch {
	case err != nil:
		return fail(err, exitUnable)
	case !good:
		return exitNo
	}
	return exitDone
}

func explain(ctx context.Context, command explainCommand) int {
	id, err := ident.ParseRequest(command.RequestID)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%q is no request id; an answer's X-Request-Id holds one, such as r-fwAAARtY...\n", command.RequestID)
		return exitUnable
	}
	content, err := command.client().Explain(ctx, id)
	return show(content, err, command.JSON, operator.WriteExplanation)
}

// show prints an instance's answer, for people or as JSON.
func show(content json.RawMessage, err error, asJSON bool, write func(io.Writer, json.RawMessage) error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, operator.MessageOf(err))
		if operator.IsRefusal(err) {
			return exitNo
		}
		return exitUnable
	}
	if asJSON {
		fmt.Println(strings.TrimSpace(string(content)))
		return exitDone
	}
	if err := write(os.Stdout, content); err != nil {
		return fail(err, exitUnable)
	}
	return exitDone
}

func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// version tells what was built, from what, by what and for what.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			text += " revision " + setting.Value
		}
	}
	return fmt.Sprintf("%s %s %s/%s", text, runtime.Version(), runtime.GOOS, runtime.GOARCH)
}
