// Command rig2 plays the script cases of the second review: it starts entry instances as
// separate processes, stand-ins for the platform's store, for servers and clients, and one
// disruption, and reports whether the rule of the case was broken.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// plays are the cases by name. A case returns whether its rule was broken.
var plays = map[string]func(*rig) (bool, error){
	"departure": playDeparture,
	"memory":    playMemory,
}

func main() {
	name := flag.String("case", "", "the case to play")
	program := flag.String("program", "target/mangoloft-edge", "the entry instance's program")
	recordPath := flag.String("record", "record.txt", "the file that receives what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(*name, *program, *recordPath, *trouble))
}

// closeOnSignal ends the processes when the case is interrupted.
func (r *rig) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-signals
	_ = r.close()
	os.Exit(exitNotRun)
}

func run(name, program, recordPath string, trouble bool) int {
	play := plays[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", name)
		return exitNotRun
	}
	r, err := newRig(program, recordPath, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.group.Go(r.closeOnSignal)
	broken, err := play(r)
	if err = errors.Join(err, r.close()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if broken {
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}
