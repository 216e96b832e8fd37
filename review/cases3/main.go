// Command cases3 plays the scripts of the third review: it starts entry instances as processes,
// stands in for the platform's store, for servers and for clients, and checks one rule.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not
// run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one play of a case.
type play struct {
	record *record
	// trouble reports whether the disruption is played.
	trouble bool
	// program is the entry instance's program, and dir a temporary folder.
	program, dir string
	fleet        *fleet
}

var cases = map[string]func(*play) (broken bool, err error){
	"history": playHistory,
	"uploads": playUploads,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases3 CASE PROGRAM RECORD")
		return exitNotRun
	}
	rec, err := newRecord(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	program, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	p := &play{record: rec, trouble: os.Getenv("TROUBLE") != "0", program: program, dir: dir}
	rec.add("case %s, trouble %v", args[0], p.trouble)
	p.stopOnSignal()
	broken, err := cases[args[0]](p)
	if p.fleet != nil {
		p.fleet.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" && p.fleet != nil {
		p.fleet.copyLogs(keep)
	}
	switch {
	case err != nil:
		rec.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}

// stopOnSignal ends all processes if this one is told to end.
func (p *play) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		if p.fleet != nil {
			p.fleet.stop()
		}
		os.RemoveAll(p.dir)
		os.Exit(exitNotRun)
	}()
}

// record is the file that tells what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Close()
}
