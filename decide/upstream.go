package decide

import (
	"cmp"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"

	"mangoloft/ident"
)

// upstream is the scheduler's state for one upstream.
type upstream struct {
	Upstream
	// hash is the hash of the name.
	hash   uint64
	report Report
	// requests are the known requests in flight. departed are the requests that
	// have ended but may still count in the latest report; departedAt contains
	// the time of each end.
	requests   []*inFlight
	departed   []*inFlight
	departedAt []time.Time
	pace       paceModel
	speed      engineSpeed
	// overhead is the average memory that a generation uses in addition to its
	// tokens, because engines allocate whole blocks.
	overhead float64
	// meanSquaredError is the mean squared error of the estimated memory, in
	// tokens squared.
	meanSquaredError float64
	health           health
	failures         failureRecord
	limit            requestLimit
	// prompts is the rate of prompt tokens that the engine gets.
	prompts rate
	// window limits the requests to a brittle upstream. coordinator is the control address
	// of the instance that admits calls to it, as of claimedAt.
	window      window
	coordinator netip.AddrPort
	claimedAt   time.Time
	// addedAt is the time at which the incarnation was listed first.
	addedAt time.Time
	// pausedUntil is the time before which the upstream wants no requests from this
	// instance.
	pausedUntil time.Time

	// declaredPace is the pace that an engine declared, and calls is the load of a plain
	// upstream that declares its pace.
	declaredPace declaredPace
	calls        callLoad
	// cold limits the requests to a cold upstream.
	cold coldState

	// base is the memory forecast without the request to be placed, as of baseAt,
	// and baseLoad are the generations in it. stale reports whether the requests
	// or the report have changed since.
	base     forecast
	baseLoad batch
	baseAt   time.Time
	stale    bool
}

// batch counts the generations that are assumed to run on an upstream.
type batch struct {
	// knownCount is the number of generations that are known individually.
	knownCount int
	// reportedOnly are the other generations in the latest load report.
	reportedOnly aggregate
	// unreported are the generations that other instances are estimated to have
	// placed since that report.
	unreported aggregate
}

func (b batch) count() float64 {
	return float64(b.knownCount) + b.reportedOnly.count + b.unreported.count
}

// maxForecastAge is the maximum age of a forecast that is reused if nothing
// else changes.
const maxForecastAge = 20 * time.Millisecond

// maxReportAge is the age from which a load report is no longer used.
const maxReportAge = 3 * time.Second

func newUpstream(now time.Time, u Upstream) *upstream {
	nameHash := fnv.New64a()
	nameHash.Write([]byte(u.Name))
	return &upstream{Upstream: u, hash: nameHash.Sum64(), stale: true, addedAt: now}
}

// forecastable reports whether the upstream's memory can be forecast.
func (u *upstream) forecastable(now time.Time) bool {
	return u.CapacityTokens > 0 || u.report.CapacityTokens > 0 && now.Sub(u.report.TakenAt) < maxReportAge
}

// capacity returns the declared memory, or else the reported one.
func (u *upstream) capacity() float64 {
	if u.CapacityTokens > 0 {
		return float64(u.CapacityTokens)
	}
	return float64(u.report.CapacityTokens)
}

// hasRecentReport reports whether there is a recent load report, which
// includes the requests of other instances.
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

// maxLoadAge is the maximum age of a reported load that is used to place a
// call.
const maxLoadAge = 300 * time.Millisecond

// Load is the known load of an engine, which instances report to other data
// centres.
type Load struct {
	Upstream   string
	Running    int
	UsedTokens int
	// PendingPrefillTokens is the number of prompt tokens not yet prefilled.
	PendingPrefillTokens int
	// Factor is how long work takes there, relative to the mean of its service; zero if
	// not known.
	Factor float64
}

// Loads returns the loads of engines of a data centre that declare their memory and
// accept requests. If there are more than limit, it returns those with the most
// room: first the ones without a prefill backlog, then those with the least used
// memory. Other data centres place streams only on these.
func (s *Scheduler) Loads(now time.Time, dataCentre string, limit int) []Load {
	var loads []Load
	usedShares := map[string]float64{}
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.DataCentre != dataCentre || u.CapacityTokens == 0 || u.Leaving || u.trafficShare(now) == 0 {
			continue
		}
		load := Load{Upstream: name, PendingPrefillTokens: int(u.prefillBacklog(now)), Factor: u.speed.factor()}
		for _, f := range u.requests {
			load.Running++
			load.UsedTokens += int(float64(f.PromptTokens) + f.generatedAt(now, u.stepTime()))
		}
		loads = append(loads, load)
		usedShares[name] = float64(load.UsedTokens) / u.capacity()
	}
	hasBacklog := func(load Load) int { return min(load.PendingPrefillTokens, 1) }
	slices.SortStableFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(hasBacklog(a), hasBacklog(b)), cmp.Compare(usedShares[a.Upstream], usedShares[b.Upstream]))
	})
	return loads[:min(limit, len(loads))]
}

// hasSlot reports whether the upstream has more slots than known requests.
func (u *upstream) hasSlot() bool { return u.Slots == 0 || len(u.requests) < u.Slots }

func (u *upstream) applyReport(now time.Time, r Report) {
	if !r.TakenAt.After(u.report.TakenAt) {
		return
	}
	u.calls.add(r, r.TakenAt.Sub(u.report.TakenAt))
	u.report, u.stale = r, true
	u.speed.reported = r.Factor
	if u.CapacityTokens == 0 {
		// The report of an engine with declared memory comes from another instance,
		// so it doesn't indicate that the engine is healthy.
		u.health.recordSuccess(now)
	}
	if r.StepTime > 0 && r.Running > 0 {
		u.pace.observe(r.Running, r.StepTime)
	}
	u.updateOverhead()
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

// remove removes and returns a request without counting it as departed.
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

// release removes a request that has ended, and returns it. The request counts
// as departed.
func (u *upstream) release(now time.Time, id ident.Request) *inFlight {
	f := u.remove(id)
	if f == nil {
		return nil
	}
	u.departed, u.departedAt = append(u.departed, f), append(u.departedAt, now)
	// Departed requests are needed only as long as the latest report is used.
	for now.Sub(u.departedAt[0]) > maxReportAge {
		u.departed, u.departedAt = u.departed[1:], u.departedAt[1:]
	}
	return f
}

// stepTime returns the latest estimate of the duration of an iteration.
func (u *upstream) stepTime() time.Duration {
	if fitted := u.pace.stepTime(float64(u.report.Running)); fitted > 0 {
		return fitted
	}
	if u.report.StepTime > 0 {
		return u.report.StepTime
	}
	if measured := u.speed.stepTime(); measured > 0 {
		return measured
	}
	return u.StepTime
}

// knownUsageAt returns the number and the memory of the known requests that a
// report taken at the given time includes.
func (u *upstream) knownUsageAt(takenAt time.Time) (count int, memory float64) {
	step := u.stepTime()
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
	// weighted averages of overhead and meanSquaredError.
	overheadSamples = 20
	maxOverhead     = 64
)

// updateOverhead updates overhead and meanSquaredError from the difference
// between the reported and the estimated memory, if all reported generations
// are known individually.
func (u *upstream) updateOverhead() {
	count, memory := u.knownUsageAt(u.report.TakenAt)
	if count == 0 || count != u.report.Running || u.report.Waiting > 0 {
		return
	}
	deviation := float64(u.report.UsedTokens) - memory
	u.overhead = min(maxOverhead, max(0, u.overhead+deviation/float64(count)/overheadSamples))
	u.meanSquaredError += (deviation*deviation - u.meanSquaredError) / overheadSamples
}

// reportedOnly returns the generations in the latest report that are not known
// individually.
func (u *upstream) reportedOnly(meanPrompt float64) aggregate {
	knownCount, knownMemory := u.knownUsageAt(u.report.TakenAt)
	count := float64(max(0, u.report.Running+u.report.Waiting-knownCount))
	if count == 0 {
		return aggregate{}
	}
	// Waiting requests will use the memory of their prompts once they run.
	memory := max(0, float64(u.report.UsedTokens)-knownMemory) + float64(u.report.Waiting)*meanPrompt
	return aggregate{count, max(meanPrompt/2, memory/count)}
}

// refresh recomputes the memory forecast of the current generations, unless it
// is recent.
func (u *upstream) refresh(now time.Time, unreported aggregate, poolLengths *Curve) {
	if !u.stale && now.Sub(u.baseAt) < maxForecastAge {
		return
	}
	u.base, u.baseAt, u.stale = forecast{}, now, false
	step := u.stepTime()
	for _, f := range u.requests {
		u.base.addRequest(float64(f.PromptTokens)+u.overhead, f.generatedAt(now, step), f.lengths)
	}
	for i := range u.base {
		u.base[i].add(moments{variance: u.meanSquaredError, limit: patientMargin * math.Sqrt(u.meanSquaredError)})
	}
	var reportedOnly aggregate
	if u.hasRecentReport(now) {
		reportedOnly = u.reportedOnly(unreported.meanTokens)
	}
	u.baseLoad = batch{len(u.requests), reportedOnly, unreported}
	stepsAgo := 0.0
	if step > 0 {
		stepsAgo = float64(now.Sub(u.report.TakenAt)) / float64(step)
	}
	u.base.addReportedOnly(u.baseLoad.reportedOnly, stepsAgo, poolLengths)
	u.base.addUnreported(unreported, poolLengths)
}

// peakWith returns the peak of the memory forecast with the request added.
func (u *upstream) peakWith(request *forecast, margin float64) float64 {
	f := u.base
	for i := range f {
		f[i].add(request[i])
	}
	return f.peak(margin)
}

// idle reports whether the upstream has no known and no reported requests.
func (u *upstream) idle() bool {
	return len(u.requests) == 0 && u.report.Running == 0 && u.report.Waiting == 0
}

// meetsPace reports whether, with the request added, the step time would meet
// the pace targets of all generations. A target that even a single generation
// can't meet is ignored.
func (u *upstream) meetsPace(r Request) bool {
	step, alone := u.pace.stepTime(u.baseLoad.count()+1), u.pace.stepTime(1)
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
