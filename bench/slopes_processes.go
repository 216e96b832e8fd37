package bench

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// settleFor is the time that a new fleet gets before it is measured.
	settleFor = 4 * time.Second
	// watchFor is the time over which a fleet is measured.
	watchFor = 8 * time.Second
	// clockTicks is the unit of processor time in /proc, a second's share.
	clockTicks = 100
	// centreEntries is a data centre's share of the instances to carry.
	centreEntries = (targetEntries + targetCentres - 1) / targetCentres
)

// usage is what a process used: processor time in microseconds, bytes read and
// written over all files and connections, resident memory in kilobytes.
type usage struct {
	processor, moved, resident float64
}

// processUsage reads what a process has used since its start.
func processUsage(p *Process) (usage, error) {
	var u usage
	dir := fmt.Sprint("/proc/", p.command.Process.Pid, "/")
	content, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name, in brackets, may have spaces in it. Behind it the fields count from 3.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	for _, field := range []int{14, 15} {
		ticks, err := strconv.ParseFloat(fields[field-3], 64)
		if err != nil {
			return u, err
		}
		u.processor += ticks / clockTicks * 1e6
	}
	pages, err := strconv.ParseFloat(fields[24-3], 64)
	if err != nil {
		return u, err
	}
	u.resident = pages * float64(os.Getpagesize()) / 1024
	content, err = os.ReadFile(dir + "io")
	if err != nil {
		return u, err
	}
	for _, name := range []string{"rchar: ", "wchar: "} {
		_, rest, found := strings.Cut(string(content), name)
		value, _, _ := strings.Cut(rest, "\n")
		bytes, err := strconv.ParseFloat(value, 64)
		if !found || err != nil {
			return u, errorx.IllegalFormat.New("%sio: no %s", dir, name)
		}
		u.moved += bytes
	}
	return u, nil
}

// watch measures the entry instances for a while, at which they only do what
// is asked for meanwhile.
func (f *Fleet) watch(ctx context.Context, length time.Duration, meanwhile func(ctx context.Context) error) (observed, error) {
	before, err := f.usage()
	if err != nil {
		return observed{}, err
	}
	start := time.Now()
	if err := meanwhile(ctx); err != nil {
		return observed{}, err
	}
	sleepUntil(ctx, start.Add(length))
	after, err := f.usage()
	if err != nil {
		return observed{}, err
	}
	seconds := time.Since(start).Seconds()
	var o observed
	for i := range after {
		n := float64(len(after))
		moved := (after[i].moved - before[i].moved) / seconds
		o.processor += (after[i].processor - before[i].processor) / seconds / n
		o.moved += moved / n
		o.resident += after[i].resident / n
		o.busiest = max(o.busiest, moved)
	}
	return o, nil
}

// observed is the mean over the entry instances in a second, and the most bytes
// that any of them moved.
type observed struct {
	usage
	busiest float64
}

func (f *Fleet) usage() ([]usage, error) {
	all := make([]usage, len(f.Entries))
	for i, p := range f.Entries {
		var err error
		if all[i], err = processUsage(p); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// experiment is a fleet at one size.
type experiment struct {
	plan Plan
	// prepare brings the fleet to the size, meanwhile is done while it is measured.
	prepare, meanwhile func(ctx context.Context, f *Fleet) error
}

func nothing(context.Context, *Fleet) error { return nil }

func (e experiment) run(ctx context.Context, bin string) (observed, error) {
	dir, err := os.MkdirTemp("", "mangoloft-slopes-")
	if err != nil {
		return observed{}, err
	}
	defer os.RemoveAll(dir)
	plan := e.plan
	plan.Bin, plan.Dir, plan.Step = bin, dir, time.Second
	fleet, err := Start(ctx, plan)
	defer fleet.Close()
	if err != nil {
		return observed{}, err
	}
	if err := e.prepare(ctx, fleet); err != nil {
		return observed{}, err
	}
	sleepUntil(ctx, time.Now().Add(settleFor))
	return fleet.watch(ctx, watchFor, func(ctx context.Context) error { return e.meanwhile(ctx, fleet) })
}

// processSlopes measures fleets of real processes. Nobody sends them requests,
// so that all they use is for control.
func processSlopes(ctx context.Context, bin string) ([]Slope, error) {
	neighbours := func(n int) experiment {
		return experiment{Plan{DataCentres: 1, Entries: n}, nothing, nothing}
	}
	centres := func(n int) experiment {
		return experiment{Plan{DataCentres: n, Entries: 2}, nothing, nothing}
	}
	upstreams := func(n int) experiment {
		return experiment{Plan{DataCentres: 1, Entries: centreEntries, Engines: 1}, func(ctx context.Context, f *Fleet) error { return f.publishCopies(ctx, n) }, nothing}
	}
	teams := func(n int) experiment {
		return experiment{Plan{DataCentres: 1, Entries: 12}, func(ctx context.Context, f *Fleet) error { return f.publishTeams(ctx, n) }, nothing}
	}
	changes := func(n int) experiment {
		e := teams(targetTeams)
		e.meanwhile = func(ctx context.Context, f *Fleet) error { return f.changeTeams(ctx, n) }
		return e
	}
	var slopes []Slope
	for _, x := range []struct {
		size   string
		target float64
		of     func(n int) experiment
		sizes  []int
	}{
		{"instances in a data centre", centreEntries, neighbours, []int{4, 8, 16, 26}},
		{"data centres of two delegates", targetCentres, centres, []int{13, 16, 20, 26}},
		{"upstreams of a data centre, 26 instances", targetUpstreams / targetCentres, upstreams, []int{16, 32, 64, 125}},
		{"teams, 12 instances", targetTeams, teams, []int{2625, 5250, 10_500, 21_000}},
		{"changes in 8 s, 12 instances, 21,000 teams", targetChanges * watchFor.Seconds() / (24 * 3600), changes, []int{4, 8, 16, 32}},
	} {
		measured, err := usageSlopes(ctx, bin, x.size, x.target, x.of, x.sizes)
		if err != nil {
			return slopes, err
		}
		slopes = append(slopes, measured...)
	}
	return slopes, nil
}

func usageSlopes(ctx context.Context, bin, size string, goal float64, of func(n int) experiment, sizes []int) ([]Slope, error) {
	processor := Slope{Size: size, Cost: "an idle process in a second", Unit: "us", Target: goal}
	moved := Slope{Size: size, Cost: "read and written by a process in a second", Unit: "bytes", Target: goal}
	busiest := Slope{Size: size, Cost: "read and written by the busiest process in a second", Unit: "bytes", Target: goal}
	resident := Slope{Size: size, Cost: "resident memory of a process", Unit: "KB", Target: goal}
	for _, n := range sizes {
		u, err := of(n).run(ctx, bin)
		if err != nil {
			return nil, errorx.Decorate(err, "%s: %d", size, n)
		}
		for slope, cost := range map[*Slope]float64{&processor: u.processor, &moved: u.moved, &busiest: u.busiest, &resident: u.resident} {
			slope.Sizes = append(slope.Sizes, float64(n))
			slope.Costs = append(slope.Costs, cost)
		}
	}
	return []Slope{newSlope(processor), newSlope(moved), newSlope(busiest), newSlope(resident)}, nil
}

// publishCopies lists the engine under many names.
func (f *Fleet) publishCopies(ctx context.Context, n int) error {
	engine := f.Engines[0]
	f.Engines = nil
	defer func() { f.Engines = []*Process{engine} }()
	for i := range n {
		copied := *engine
		copied.Name = fmt.Sprint(engine.Name, "-", i)
		f.Engines = append(f.Engines, &copied)
	}
	return f.PublishList(ctx)
}

func (f *Fleet) publishTeams(ctx context.Context, n int) error {
	s := target()
	s.teams = n
	for shard := range s.shards {
		if err := f.PutConfig(ctx, fmt.Sprint("teams/", shard), string(s.teamsValue(shard, 0))); err != nil {
			return err
		}
	}
	version, err := f.RemoveConfig(ctx, "pools/none")
	if err != nil {
		return err
	}
	return f.WaitVersion(ctx, version, time.Now().Add(2*readyTimeout))
}

func (f *Fleet) changeTeams(ctx context.Context, n int) error {
	s := target()
	start := time.Now()
	for i := range n {
		sleepUntil(ctx, start.Add(watchFor*time.Duration(i)/time.Duration(n)))
		if _, err := f.ChangeConfig(ctx, "teams/0", string(s.teamsValue(0, i+1))); err != nil {
			return err
		}
	}
	return nil
}
