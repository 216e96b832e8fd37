// Command mangoloft runs an entry instance. It is also the operators' tool to check
// an instance's files and to query running instances.
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

// Exit codes.
const (
	exitDone = 0
	// exitNegative is for faults found by a check, a request without a record, a
	// refusal by the queried instance, and an instance that failed.
	exitNegative = 1
	// exitUnable is for a command that could not be carried out.
	exitUnable = 2
)

type serveCommand struct {
	Settings string `arg:"required" help:"the settings file; see docs/SETTINGS.md"`
}

type checkCommand struct {
	Files []string   `arg:"positional,required" placeholder:"FILE" help:"settings, a configuration (a directory of values, or one file with an object of values by key), or a stream of audit records; - is standard input"`
	Kind  check.Kind `arg:"--kind" default:"detect" help:"settings, configuration or trail; detected from the content if not given"`
	Heads []string   `arg:"--head,separate" placeholder:"HASH" help:"a hash shown by an earlier status, which the trail must contain; may be repeated"`
}

// instanceOptions are the options for connecting to an instance.
type instanceOptions struct {
	Operators   netip.AddrPort `arg:"required" help:"the instance's address for operators, such as 10.0.0.1:9090"`
	CA          string         `arg:"--ca" placeholder:"FILE" help:"the certificate authorities to trust, if the instance uses TLS"`
	Certificate string         `arg:"--certificate" placeholder:"FILE" help:"the client certificate, if the instance requires one"`
	Key         string         `arg:"--key" placeholder:"FILE" help:"the key of the client certificate"`
	JSON        bool           `arg:"--json" help:"print the answer as JSON"`
}

func (o instanceOptions) client() operator.Client {
	return operator.Client{Addr: o.Operators, Files: certs.Files{Certificate: o.Certificate, Key: o.Key, CA: o.CA}}
}

type explainCommand struct {
	instanceOptions
	RequestID string `arg:"positional,required" placeholder:"REQUEST_ID" help:"the request's id, from X-Request-Id; any instance can be asked"`
}

type statusCommand struct {
	instanceOptions
}

type versionCommand struct{}

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an entry instance until SIGTERM or SIGINT, which start a graceful stop"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check files and report every fault"`
	Explain *explainCommand `arg:"subcommand:explain" help:"explain how a request was handled and why it ended"`
	Status  *statusCommand  `arg:"subcommand:status" help:"print the state of an instance"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "mangoloft routes generations of unknown length to busy model engines."
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

// run runs the command and returns the exit code.
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
		return printResponse(content, err, args.Status.JSON, operator.WriteStatus)
	}
	fmt.Println("mangoloft", version())
	return exitDone
}

func serve(ctx context.Context, command serveCommand) int {
	s, err := settings.Load(command.Settings)
	if err != nil {
		return fail(err, exitUnable)
	}
	// The instance must keep running when the process that reads its output exits.
	signal.Ignore(syscall.SIGPIPE)
	if err := kernel.Run(ctx, s, os.Stdout, os.Stderr); err != nil {
		return fail(err, exitNegative)
	}
	return exitDone
}

func checkFiles(command checkCommand) int {
	checker := check.Checker{Kind: command.Kind, Heads: command.Heads, In: os.Stdin, Out: os.Stdout, Faults: os.Stderr}
	valid, err := checker.Files(command.Files)
	switch {
	case err != nil:
		return fail(err, exitUnable)
	case !valid:
		return exitNegative
	}
	return exitDone
}

func explain(ctx context.Context, command explainCommand) int {
	id, err := ident.ParseRequest(command.RequestID)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%q is not a request id; the header X-Request-Id of a response contains one, such as r-fwAAARtY...\n", command.RequestID)
		return exitUnable
	}
	content, err := command.client().Explain(ctx, id)
	return printResponse(content, err, command.JSON, operator.WriteExplanation)
}

// printResponse prints an instance's response as text or JSON, or prints the
// error, and returns the exit code.
func printResponse(content json.RawMessage, err error, asJSON bool, write func(io.Writer, json.RawMessage) error) int {
	if err != nil {
		fmt.Fprintln(os.Stderr, operator.MessageOf(err))
		if operator.IsRefusal(err) {
			return exitNegative
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

// fail prints the error and returns the exit code.
func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, err)
	return code
}

// version returns the module version, the revision, the Go version, and the operating
// system and architecture.
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
