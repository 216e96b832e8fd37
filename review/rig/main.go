// Command rig plays the scripts of the review. It starts entry instances as separate
// processes with the command of the deploy file, and is their platform, servers and clients.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCantRun = 2
)

// maxTime is the time after which a script gives up.
const maxTime = 110 * time.Second

// play is one script. It returns the breaks of the rule that it has seen.
type play func(ctx context.Context, r *rig) ([]string, error)

var plays = map[string]play{
	"timeout-in-queue": playTimeoutInQueue,
	"resumed-at-end":   playResumedAtEnd,
	"planned-stop":     playPlannedStop,
	"readers-lost":     playReadersLost,
}

func main() { os.Exit(run(os.Args)) }

// run plays the script that the first argument names. The second one is the folder for its
// record. TROUBLE=0 in the environment leaves out the disruption.
func run(args []string) int {
	if len(args) != 3 || plays[args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig PLAY FOLDER")
		return exitCantRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	r, err := newRig(args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCantRun
	}
	defer r.close()
	breaks, err := plays[args[1]](ctx, r)
	if err != nil {
		r.record("the case could not run: %v", err)
		return exitCantRun
	}
	for _, b := range breaks {
		r.record("BROKEN %s", b)
	}
	r.record("%d breaks, disruption %v", len(breaks), r.trouble)
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
