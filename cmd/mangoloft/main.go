// Command mangoloft is the entry instance and the tool to look into one.
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/joomcode/errorx"

	_ "mangoloft/caller"
	_ "mangoloft/charge"
	_ "mangoloft/engine"
	"mangoloft/kernel"
	_ "mangoloft/operator"
	_ "mangoloft/peer"
	_ "mangoloft/platform"
	_ "mangoloft/service"
	"mangoloft/settings"
)

type serveCommand struct {
	Settings string `arg:"required" help:"the settings file"`
}

type checkCommand struct {
	File string `arg:"positional,required" help:"a settings file"`
}

type explainCommand struct {
	Operators netip.AddrPort `arg:"required" help:"the operators' address of any instance"`
	RequestID string         `arg:"positional,required" help:"the request's id, from X-Request-Id"`
}

type statusCommand struct {
	Operators netip.AddrPort `arg:"required" help:"the operators' address of the instance"`
}

type versionCommand struct{}

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run an entry instance until SIGTERM or SIGINT"`
	Check   *checkCommand   `arg:"subcommand:check" help:"check a file and report every fault"`
	Explain *explainCommand `arg:"subcommand:explain" help:"tell why a request ended as it did"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show an instance's state"`
	Version *versionCommand `arg:"subcommand:version" help:"show the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "mangoloft serves generations of unknown length on crowded engines."
}

// askLimit bounds a question to an instance.
const askLimit = 5 * time.Second

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	if parser.Subcommand() == nil {
		parser.Fail("name a command: serve, check, explain, status or version")
	}
	if err := run(args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(args arguments) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	switch {
	case args.Serve != nil:
		s, err := settings.Load(args.Serve.Settings)
		if err != nil {
			return err
		}
		return kernel.Run(ctx, s, os.Stdout, os.Stderr)
	case args.Check != nil:
		_, err := settings.Load(args.Check.File)
		return err
	case args.Explain != nil:
		return ask(ctx, args.Explain.Operators, "/requests/"+args.Explain.RequestID)
	case args.Status != nil:
		return ask(ctx, args.Status.Operators, "/status")
	default:
		fmt.Println("mangoloft", version())
		return nil
	}
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		return info.Main.Version
	}
	return "unknown"
}

// ask prints an instance's answer.
func ask(ctx context.Context, addr netip.AddrPort, path string) error {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr.String()+path, nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		content, _ := io.ReadAll(response.Body)
		return errorx.ExternalError.New("%s: %s", response.Status, content)
	}
	_, err = io.Copy(os.Stdout, response.Body)
	return err
}
