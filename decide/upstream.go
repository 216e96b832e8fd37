package decide

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"mangoloft/ident"
)

// upstream is the scheduler's state for one upstream.
type upstream struct {
	Upstream
	hash   uint64
	report Report
	// requests are the known ones in flight. departed are those that have left
	// but may still count in the latest report.
	requests   []*inFlight
	departed   []*inFlight
	departedAt []time.Time
	pace       paceModel
	// overhead is the average memory of a generation beyond its tokens, which
	// arises because engines allocate whole blocks.
	overhead float64
	// meanSquaredError is that of the estimated memory, in tokens squared.
	meanSquaredError float64
	health           health

	// base is the memory forecast without the request to be placed, as of baseAt.
	base     forecast
	baseLoad batch
	baseAt   time.Time
	stale    bool
}

// batch counts the generations that may be running at an upstream.
type batch struct {
	known  int
	others aggregate
	unseen aggregate
}

func (b batch) count() float64 { return float64(b.known) + b.others.count + b.unseen.count }

// maxForecastAge is how long a forecast is reused if nothing else changes.
const maxForecastAge = 20 * time.Millisecond

// maxReportAge is the age from which a load report is ignored.
const maxReportAge = 3 * time.Second

func newUpstream(u Upstream) *upstream {
	name := fnv.New64a()
	name.Write([]byte(u.Name))
	return &upstream{Upstream: u, hash: name.Sum64(), stale: true}
}

// forecastable reports whether the upstream's memory can be forecast.
func (u *upstream) forecastable(now time.Time) bool {
	return u.CapacityTokens > 0 || u.report.CapacityTokens > 0 && now.Sub(u.report.TakenAt) < maxReportAge
}

// capacity returns the memory as declared, or else as reported.
func (u *upstream) capacity() float64 {
	if u.CapacityTokens > 0 {
		return float64(u.CapacityTokens)
	}
	return float64(u.report.CapacityTokens)
}

// hasRecentReport reports whether a recent load report shows the requests of
// other instances.
func (u *upstream) hasRecentReport(now time.Time) bool {
	return !u.report.TakenAt.IsZero() && now.Sub(u.report.TakenAt) < maxReportAge
}

// load returns the known number of requests per slot.
func (u *upstream) load(now time.Time) float64 {
	count := len(u.requests)
	if now.Sub(u.report.TakenAt) < maxLoadAge {
		count = max(count, u.report.Running+u.report.Waiting)
	}
	return float64(count) / float64(max(1, u.Slots))
}

// maxLoadAge is how long a reported load is a useful estimate for the next call.
const maxLoadAge = 300 * time.Millisecond

// Load is the known load of an engine.
type Load struct {
	Upstream   string
	Running    int
	UsedTokens int
	// PendingPrefillTokens is the number of prompt tokens not yet prefilled.
	PendingPrefillTokens int
}

// Loads returns the loads of those engines of a data centre that declare their
// memory.
func (s *Scheduler) Loads(now time.Time, dataCentre string) []Load {
	var loads []Load
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.DataCentre != dataCentre || u.CapacityTokens == 0 {
			continue
		}
		load := Load{Upstream: name, PendingPrefillTokens: int(u.prefillBacklog(now))}
		for _, f := range u.requests {
			load.Running++
			load.UsedTokens += int(float64(f.PromptTokens) + f.generatedAt(now, u.step()))
		}
		loads = append(loads, load)
	}
	return loads
}

// hasSlot reports whether the upstream has a free slot, by the known requests.
func (u *upstream) hasSlot() bool { return u.Slots == 0 || len(u.requests) < u.Slots }

func (u *upstream) applyReport(now time.Time, r Report) {
	if !r.TakenAt.After(u.report.TakenAt) {
		return
	}
	u.report, u.stale = r, true
	if u.CapacityTokens == 0 {
		// A report on an engine with declared memory comes from another instance,
		// so it doesn't show that the engine is healthy.
		u.health.recordSuccess(now)
	}
	if r.StepTime > 0 && r.Running > 0 {
		u.pace.observe(r.Running, r.StepTime)
	}
	u.learnOverhead()
	for len(u.departed) > 0 && u.departedAt[0].Before(r.TakenAt) {
		u.departed, u.departedAt = u.departed[1:], u.departedAt[1:]
	}
}

func (u *upstream) addRequest(f *inFlight) {
	u.requests = append(u.requests, f)
	u.stale = true
}

func (u *upstream) find(id ident.Request) *inFlight {
	for _, f := range u.requests {
		if f.ID == id {
			return f
		}
	}
	return nil
}

// remove deletes a request as if it had never been there, and returns it.
func (u *upstream) remove(id ident.Request) *inFlight {
	i := slices.IndexFunc(u.requests, func(f *inFlight) bool { return f.ID == id })
	if i < 0 {
		return nil
	}
	f := u.requests[i]
	u.requests = slices.Delete(u.requests, i, i+1)
	u.stale = true
	return f
}

// release removes a request that has ended, and returns it.
func (u *upstream) release(now time.Time, id ident.Request) *inFlight {
	f := u.remove(id)
	if f == nil {
		return nil
	}
	u.departed, u.departedAt = append(u.departed, f), append(u.departedAt, now)
	// Departed requests matter only as long as the latest report is used.
	for now.Sub(u.departedAt[0]) > maxReportAge {
		u.departed, u.departedAt = u.departed[1:], u.departedAt[1:]
	}
	return f
}

// step returns the latest estimate of the time of an iteration.
func (u *upstream) step() time.Duration {
	if learned := u.pace.step(float64(u.report.Running)); learned > 0 {
		return learned
	}
	if u.report.StepTime > 0 {
		return u.report.StepTime
	}
	return u.StepTime
}

// knownAt returns the count and the memory of the known requests that a report
// taken at that time includes.
func (u *upstream) knownAt(takenAt time.Time) (count int, memory float64) {
	step := u.step()
	for _, list := range [][]*inFlight{u.requests, u.departed} {
		for _, f := range list {
			if f.sentAt.Before(takenAt) {
				count++
				memory += float64(f.PromptTokens) + f.generatedAt(takenAt, step) + u.overhead
			}
		}
	}
	return count, memory
}

const (
	// overheadSamples is the effective number of reports in the exponentially
	// weighted averages.
	overheadSamples = 20
	maxOverhead     = 64
)

// learnOverhead compares the reported memory with the estimate if all reported
// generations are known.
func (u *upstream) learnOverhead() {
	count, memory := u.knownAt(u.report.TakenAt)
	if count == 0 || count != u.report.Running || u.report.Waiting > 0 {
		return
	}
	deviation := float64(u.report.UsedTokens) - memory
	u.overhead = min(maxOverhead, max(0, u.overhead+deviation/float64(count)/overheadSamples))
	u.meanSquaredError += (deviation*deviation - u.meanSquaredError) / overheadSamples
}

// others returns the generations in the latest report that this scheduler doesn't
// know.
func (u *upstream) others(meanPrompt float64) aggregate {
	knownCount, knownMemory := u.knownAt(u.report.TakenAt)
	count := float64(max(0, u.report.Running+u.report.Waiting-knownCount))
	if count == 0 {
		return aggregate{}
	}
	// Waiting requests will take the memory of their prompts once they run.
	memory := max(0, float64(u.report.UsedTokens)-knownMemory) + float64(u.report.Waiting)*meanPrompt
	return aggregate{count, max(meanPrompt/2, memory/count)}
}

// refresh recomputes the forecast of the generations already there, unless it is
// recent.
func (u *upstream) refresh(now time.Time, unseen aggregate, pool *Curve) {
	if !u.stale && now.Sub(u.baseAt) < maxForecastAge {
		return
	}
	u.base, u.baseAt, u.stale = forecast{}, now, false
	step := u.step()
	for _, f := range u.requests {
		u.base.addRequest(float64(f.PromptTokens)+u.overhead, f.generatedAt(now, step), f.lengths)
	}
	for i := range u.base {
		u.base[i].add(moments{variance: u.meanSquaredError, limit: patientDeviations * math.Sqrt(u.meanSquaredError)})
	}
	var others aggregate
	if u.hasRecentReport(now) {
		others = u.others(unseen.meanTokens)
	}
	u.baseLoad = batch{len(u.requests), others, unseen}
	stepsAgo := 0.0
	if step > 0 {
		stepsAgo = float64(now.Sub(u.report.TakenAt)) / float64(step)
	}
	u.base.addOthers(u.baseLoad.others, stepsAgo, pool)
	u.base.addUnseen(unseen, pool)
}

// peakWith returns the peak of the memory forecast if the request is added.
func (u *upstream) peakWith(request *forecast, deviations float64) float64 {
	f := u.base
	for i := range f {
		f[i].add(request[i])
	}
	return f.peak(deviations)
}

// idle reports whether no request is known to run or wait there.
func (u *upstream) idle() bool {
	return len(u.requests) == 0 && u.report.Running == 0 && u.report.Waiting == 0
}

// meetsPace reports whether the step time would still meet all pace targets there
// with one more generation. A target that even a single generation can't meet is
// ignored.
func (u *upstream) meetsPace(r Request) bool {
	step, alone := u.pace.step(u.baseLoad.count()+1), u.pace.step(1)
	attainable := func(pace time.Duration) bool { return pace > 0 && alone <= pace }
	if attainable(r.Class.PaceTarget) && step > r.Class.PaceTarget {
		return false
	}
	for _, f := range u.requests {
		if attainable(f.Class.PaceTarget) && step > f.Class.PaceTarget {
			return false
		}
	}
	return true
}
