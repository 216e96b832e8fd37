package decide

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"mangoloft/ident"
)

// upstream is what the scheduler knows of one upstream.
type upstream struct {
	Upstream
	hash   uint64
	report Report
	// flights are the known requests there, and departed those that
	// are over but may still count in the latest report.
	flights  []*flight
	departed []*flight
	goneAt   []time.Time
	pace     paceModel
	// overhead is the memory that a known generation takes beyond its tokens,
	// as whole blocks do.
	overhead float64
	// missed is the mean square of what the known memory was wrong by, in
	// tokens squared.
	missed float64
	health health

	// base is the forecast without the request in question, as of baseAt.
	base     forecast
	baseLoad batch
	baseAt   time.Time
	stale    bool
}

// batch counts the generations that may be at an upstream.
type batch struct {
	known  int
	others crowd
	unseen crowd
}

func (b batch) count() float64 { return float64(b.known) + b.others.count + b.unseen.count }

// forecastAge is how long a forecast is kept while nothing else changes.
const forecastAge = 20 * time.Millisecond

// reportAge is how old a report may be and still speak for its upstream.
const reportAge = 3 * time.Second

func newUpstream(u Upstream) *upstream {
	name := fnv.New64a()
	name.Write([]byte(u.Name))
	return &upstream{Upstream: u, hash: name.Sum64(), stale: true}
}

// fresh says that the memory of the upstream can be forecast.
func (u *upstream) fresh(now time.Time) bool {
	return u.CapacityTokens > 0 || u.report.CapacityTokens > 0 && now.Sub(u.report.TakenAt) < reportAge
}

// capacity returns the memory as declared, or else as reported.
func (u *upstream) capacity() float64 {
	if u.CapacityTokens > 0 {
		return float64(u.CapacityTokens)
	}
	return float64(u.report.CapacityTokens)
}

// reported says that a report tells what others have there.
func (u *upstream) reported(now time.Time) bool {
	return !u.report.TakenAt.IsZero() && now.Sub(u.report.TakenAt) < reportAge
}

// load returns the requests there for each slot, as far as is known.
func (u *upstream) load(now time.Time) float64 {
	here := len(u.flights)
	if now.Sub(u.report.TakenAt) < loadAge {
		here = max(here, u.report.Running+u.report.Waiting)
	}
	return float64(here) / float64(max(1, u.Slots))
}

// loadAge is how long a reported load says something about the next call.
const loadAge = 300 * time.Millisecond

// Load is what is known to run at an engine.
type Load struct {
	Upstream   string
	Running    int
	UsedTokens int
	// PendingPrefillTokens are those of prompts that it has yet to read.
	PendingPrefillTokens int
}

// Loads returns the loads of a data centre's engines that run anything known.
func (s *Scheduler) Loads(now time.Time, dataCentre string) []Load {
	var loads []Load
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.DataCentre != dataCentre || u.CapacityTokens == 0 {
			continue
		}
		load := Load{Upstream: name, PendingPrefillTokens: int(u.unread(now))}
		for _, f := range u.flights {
			load.Running++
			load.UsedTokens += int(float64(f.PromptTokens) + f.made(now, u.step()))
		}
		loads = append(loads, load)
	}
	return loads
}

// hasSlot says that one more request would run at once, as far as is known.
func (u *upstream) hasSlot() bool { return u.Slots == 0 || len(u.flights) < u.Slots }

func (u *upstream) take(now time.Time, r Report) {
	if !r.TakenAt.After(u.report.TakenAt) {
		return
	}
	u.report, u.stale = r, true
	if u.CapacityTokens == 0 {
		// Others' word on a load says nothing of the upstream's health.
		u.health.succeed(now)
	}
	if r.StepTime > 0 && r.Running > 0 {
		u.pace.observe(r.Running, r.StepTime)
	}
	u.learnOverhead()
	for len(u.departed) > 0 && u.goneAt[0].Before(r.TakenAt) {
		u.departed, u.goneAt = u.departed[1:], u.goneAt[1:]
	}
}

func (u *upstream) place(f *flight) {
	u.flights = append(u.flights, f)
	u.stale = true
}

func (u *upstream) find(id ident.Request) *flight {
	for _, f := range u.flights {
		if f.ID == id {
			return f
		}
	}
	return nil
}

// remove takes a flight away as if it had never been there, and returns it.
func (u *upstream) remove(id ident.Request) *flight {
	i := slices.IndexFunc(u.flights, func(f *flight) bool { return f.ID == id })
	if i < 0 {
		return nil
	}
	f := u.flights[i]
	u.flights = slices.Delete(u.flights, i, i+1)
	u.stale = true
	return f
}

// release takes away a flight that ended, and returns it.
func (u *upstream) release(now time.Time, id ident.Request) *flight {
	f := u.remove(id)
	if f == nil {
		return nil
	}
	u.departed, u.goneAt = append(u.departed, f), append(u.goneAt, now)
	// Without new reports nobody needs to know what the last one held.
	for now.Sub(u.goneAt[0]) > reportAge {
		u.departed, u.goneAt = u.departed[1:], u.goneAt[1:]
	}
	return f
}

// step returns the time of an iteration as last known.
func (u *upstream) step() time.Duration {
	if learned := u.pace.step(float64(u.report.Running)); learned > 0 {
		return learned
	}
	if u.report.StepTime > 0 {
		return u.report.StepTime
	}
	return u.StepTime
}

// knownAt returns the count and memory of the known part of the report.
func (u *upstream) knownAt(taken time.Time) (count int, memory float64) {
	step := u.step()
	for _, list := range [][]*flight{u.flights, u.departed} {
		for _, f := range list {
			if f.sentAt.Before(taken) {
				count++
				memory += float64(f.PromptTokens) + f.made(taken, step) + u.overhead
			}
		}
	}
	return count, memory
}

const (
	// overheadMemory is how many reports weigh as much as all before.
	overheadMemory = 20
	maxOverhead    = 64
)

// learnOverhead compares the memory of a report in which all generations are
// known with that of their tokens.
func (u *upstream) learnOverhead() {
	count, memory := u.knownAt(u.report.TakenAt)
	if count == 0 || count != u.report.Running || u.report.Waiting > 0 {
		return
	}
	miss := float64(u.report.UsedTokens) - memory
	u.overhead = min(maxOverhead, max(0, u.overhead+miss/float64(count)/overheadMemory))
	u.missed += (miss*miss - u.missed) / overheadMemory
}

// others returns what else was there at the time of the report.
func (u *upstream) others(meanPrompt float64) crowd {
	knownCount, knownMemory := u.knownAt(u.report.TakenAt)
	count := float64(max(0, u.report.Running+u.report.Waiting-knownCount))
	if count == 0 {
		return crowd{}
	}
	// What waits takes its prompt's memory once it runs.
	memory := max(0, float64(u.report.UsedTokens)-knownMemory) + float64(u.report.Waiting)*meanPrompt
	return crowd{count, max(meanPrompt/2, memory/count)}
}

// refresh computes the forecast of what is there already.
func (u *upstream) refresh(now time.Time, unseen crowd, pool *Curve) {
	if !u.stale && now.Sub(u.baseAt) < forecastAge {
		return
	}
	u.base, u.baseAt, u.stale = forecast{}, now, false
	step := u.step()
	for _, f := range u.flights {
		u.base.addFlight(float64(f.PromptTokens)+u.overhead, f.made(now, step), f.lengths)
	}
	for i := range u.base {
		u.base[i].add(moments{variance: u.missed, most: patient * math.Sqrt(u.missed)})
	}
	var others crowd
	if u.reported(now) {
		others = u.others(unseen.size)
	}
	u.baseLoad = batch{len(u.flights), others, unseen}
	ago := 0.0
	if step > 0 {
		ago = float64(now.Sub(u.report.TakenAt)) / float64(step)
	}
	u.base.addOthers(u.baseLoad.others, ago, pool)
	u.base.addUnseen(unseen, pool)
}

// with returns the peak of memory if a request with such a forecast came too.
func (u *upstream) with(request *forecast, deviations float64) float64 {
	f := u.base
	for i := range f {
		f[i].add(request[i])
	}
	return f.peak(deviations)
}

// idle reports whether nothing runs or waits there, as far as is known.
func (u *upstream) idle() bool {
	return len(u.flights) == 0 && u.report.Running == 0 && u.report.Waiting == 0
}

// holdsPace says that the tightest target for pace there would still hold. A
// target that not even a single generation can have holds nobody back.
func (u *upstream) holdsPace(r Request) bool {
	step, alone := u.pace.step(u.baseLoad.count()+1), u.pace.step(1)
	reachable := func(pace time.Duration) bool { return pace > 0 && alone <= pace }
	if reachable(r.Class.PaceTarget) && step > r.Class.PaceTarget {
		return false
	}
	for _, f := range u.flights {
		if reachable(f.Class.PaceTarget) && step > f.Class.PaceTarget {
			return false
		}
	}
	return true
}
