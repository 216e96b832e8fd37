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
	// settleTime is the time between the start of a fleet and its measurement.
	settleTime = 4 * time.Second
	// observationTime is the duration of the measurement of a fleet.
	observationTime = 8 * time.Second
	// procTicksPerSecond is the unit of processor time in /proc.
	procTicksPerSecond = 100
	// entriesPerDataCentre is the number of instances in a data centre of the
	// target size.
	entriesPerDataCentre = (targetEntries + targetDataCentres - 1) / targetDataCentres
)

// usage is the resource usage of a process.
type usage struct {
	// processor is the processor time in microseconds, ioBytes the number of bytes
	// read and written on all files and connections, and resident the resident
	// memory in kilobytes.
	processor, ioBytes, resident float64
}

// readUsage reads the usage of a process since its start.
func readUsage(p *Process) (usage, error) {
	var u usage
	dir := fmt.Sprint("/proc/", p.command.Process.Pid, "/")
	content, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The command name, in parentheses, may contain spaces. The first field after
	// it is number 3.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	for _, field := range []int{14, 15} {
		ticks, err := strconv.ParseFloat(fields[field-3], 64)
		if err != nil {
			return u, err
		}
		u.processor += ticks / procTicksPerSecond * 1e6
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
		u.ioBytes += bytes
	}
	return u, nil
}

// observe measures the entry instances for the given time while activity runs.
func (f *Fleet) observe(ctx context.Context, length time.Duration, activity func(ctx context.Context) error) (meanUsage, error) {
	before, err := f.entryUsage()
	if err != nil {
		return meanUsage{}, err
	}
	start := time.Now()
	if err := activity(ctx); err != nil {
		return meanUsage{}, err
	}
	sleepUntil(ctx, start.Add(length))
	after, err := f.entryUsage()
	if err != nil {
		return meanUsage{}, err
	}
	seconds := time.Since(start).Seconds()
	var o meanUsage
	for i := range after {
		n := float64(len(after))
		ioBytes := (after[i].ioBytes - before[i].ioBytes) / seconds
		o.processor += (after[i].processor - before[i].processor) / seconds / n
		o.ioBytes += ioBytes / n
		o.resident += after[i].resident / n
		o.maxIOBytes = max(o.maxIOBytes, ioBytes)
	}
	return o, nil
}

// meanUsage is the mean usage of the entry instances. Processor time and bytes are
// per second.
type meanUsage struct {
	usage
	// maxIOBytes is the maximum of ioBytes over the entry instances.
	maxIOBytes float64
}

func (f *Fleet) entryUsage() ([]usage, error) {
	all := make([]usage, len(f.Entries))
	for i, p := range f.Entries {
		var err error
		if all[i], err = readUsage(p); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// experiment is a fleet at one size.
type experiment struct {
	plan Plan
	// prepare publishes the state to measure. activity runs during the measurement.
	prepare, activity func(ctx context.Context, f *Fleet) error
}

func noActivity(context.Context, *Fleet) error { return nil }

func (e experiment) run(ctx context.Context, bin string) (meanUsage, error) {
	dir, err := os.MkdirTemp("", "mangoloft-slopes-")
	if err != nil {
		return meanUsage{}, err
	}
	defer os.RemoveAll(dir)
	plan := e.plan
	plan.Bin, plan.Dir, plan.Step = bin, dir, time.Second
	fleet, err := Start(ctx, plan)
	defer fleet.Close()
	if err != nil {
		return meanUsage{}, err
	}
	if err := e.prepare(ctx, fleet); err != nil {
		return meanUsage{}, err
	}
	sleepUntil(ctx, time.Now().Add(settleTime))
	return fleet.observe(ctx, observationTime, func(ctx context.Context) error { return e.activity(ctx, fleet) })
}

// processSlopes measures fleets of real processes without requests, so that all of
// their usage is caused by control work.
func processSlopes(ctx context.Context, bin string) ([]Slope, error) {
	instances := func(n int) experiment {
		return experiment{Plan{DataCentres: 1, Entries: n}, noActivity, noActivity}
	}
	dataCentres := func(n int) experiment {
		return experiment{Plan{DataCentres: n, Entries: 2}, noActivity, noActivity}
	}
	upstreams := func(n int) experiment {
		return experiment{Plan{DataCentres: 1, Entries: entriesPerDataCentre, Engines: 1}, func(ctx context.Context, f *Fleet) error { return f.publishCopies(ctx, n) }, noActivity}
	}
	teams := func(n int) experiment {
		return experiment{Plan{DataCentres: 1, Entries: 12}, func(ctx context.Context, f *Fleet) error { return f.publishTeams(ctx, n) }, noActivity}
	}
	changes := func(n int) experiment {
		e := teams(targetTeams)
		e.activity = func(ctx context.Context, f *Fleet) error { return f.changeTeams(ctx, n) }
		return e
	}
	var slopes []Slope
	for _, x := range []struct {
		size          string
		target        float64
		newExperiment func(n int) experiment
		sizes         []int
	}{
		{"instances in a data centre", entriesPerDataCentre, instances, []int{4, 8, 16, 26}},
		{"data centres of two delegates", targetDataCentres, dataCentres, []int{13, 16, 20, 26}},
		{"upstreams of a data centre, 26 instances", targetUpstreams / targetDataCentres, upstreams, []int{16, 32, 64, 125}},
		{"teams, 12 instances", targetTeams, teams, []int{2625, 5250, 10_500, 21_000}},
		{"changes in 8 s, 12 instances, 21,000 teams", targetChanges * observationTime.Seconds() / (24 * 3600), changes, []int{4, 8, 16, 32}},
	} {
		measured, err := usageSlopes(ctx, bin, x.size, x.target, x.newExperiment, x.sizes)
		if err != nil {
			return slopes, err
		}
		slopes = append(slopes, measured...)
	}
	return slopes, nil
}

// usageSlopes measures the four kinds of usage at each size.
func usageSlopes(ctx context.Context, bin, size string, target float64, newExperiment func(n int) experiment, sizes []int) ([]Slope, error) {
	processor := Slope{Size: size, Cost: "an idle process in a second", Unit: "us", Target: target}
	ioBytes := Slope{Size: size, Cost: "read and written by a process in a second", Unit: "bytes", Target: target}
	maxIOBytes := Slope{Size: size, Cost: "read and written by the busiest process in a second", Unit: "bytes", Target: target}
	resident := Slope{Size: size, Cost: "resident memory of a process", Unit: "KB", Target: target}
	for _, n := range sizes {
		u, err := newExperiment(n).run(ctx, bin)
		if err != nil {
			return nil, errorx.Decorate(err, "%s: %d", size, n)
		}
		for slope, cost := range map[*Slope]float64{&processor: u.processor, &ioBytes: u.ioBytes, &maxIOBytes: u.maxIOBytes, &resident: u.resident} {
			slope.Sizes = append(slope.Sizes, float64(n))
			slope.Costs = append(slope.Costs, cost)
		}
	}
	return []Slope{fitSlope(processor), fitSlope(ioBytes), fitSlope(maxIOBytes), fitSlope(resident)}, nil
}

// publishCopies publishes an instance list with the first engine under n names.
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

// publishTeams publishes n teams and waits until they are active on all entry
// instances.
func (f *Fleet) publishTeams(ctx context.Context, n int) error {
	s := targetSizes()
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

// changeTeams publishes n changes of one shard of teams, evenly over
// observationTime.
func (f *Fleet) changeTeams(ctx context.Context, n int) error {
	s := targetSizes()
	start := time.Now()
	for i := range n {
		sleepUntil(ctx, start.Add(observationTime*time.Duration(i)/time.Duration(n)))
		if _, err := f.ChangeConfig(ctx, "teams/0", string(s.teamsValue(0, i+1))); err != nil {
			return err
		}
	}
	return nil
}
