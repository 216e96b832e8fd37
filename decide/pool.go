package decide

import (
	"math"
	"time"
)

// pool contains the traffic statistics of one pool.
type pool struct {
	// placements is the rate of placements, by this and other instances, that
	// this scheduler made or received notices of.
	placements rate
	// placementsByRank contains the rates for the ranks.
	placementsByRank [MaxRank + 1]rate
	// promptTokens is the average length of a prompt.
	promptTokens float64
	prefill      prefillRate
	speeds       *serviceSpeeds
	// reportedCount and knownCount are exponentially decaying sums over the load
	// reports: of all reported generations, and of the generations that this
	// scheduler placed or received notices of. Their ratio yields the number of generations
	// that are placed without a notice.
	reportedCount, knownCount float64
	// retryAt is the retry time of the latest request that was refused because all
	// upstreams were at their limits.
	retryAt  time.Time
	failures poolFailures
}

const (
	// rateTimeConstant is the time after which the weight of an event has decayed
	// to 1/e.
	rateTimeConstant = 5 * time.Second
	// ratioSamples is the effective number of reports or prompts in the averages
	// of a pool.
	ratioSamples        = 100
	initialPromptTokens = 100
)

func newPool() *pool { return &pool{promptTokens: initialPromptTokens, speeds: &serviceSpeeds{}} }

func (p *pool) observePlacement(now time.Time, rank, promptTokens int) {
	p.placements.count(now)
	p.placementsByRank[rank].count(now)
	p.promptTokens += (float64(promptTokens) - p.promptTokens) / ratioSamples
}

func (p *pool) observeReport(total, known int) {
	p.reportedCount += float64(total) - p.reportedCount/ratioSamples
	p.knownCount += float64(known) - p.knownCount/ratioSamples
}

// unannouncedPerKnown returns the number of generations placed without a
// notice for each known generation.
func (p *pool) unannouncedPerKnown() float64 { return max(0, (p.reportedCount+1)/(p.knownCount+1)-1) }

// unannouncedRate estimates the number of generations per second that are
// placed on each upstream without a notice.
func (p *pool) unannouncedRate(now time.Time, upstreams int) float64 {
	return p.placements.perSecond(now) * p.unannouncedPerKnown() / float64(max(1, upstreams))
}

// rate is an exponentially weighted rate of events.
type rate struct {
	weight          float64
	firstAt, lastAt time.Time
}

func (r *rate) decay(now time.Time) {
	r.weight *= math.Exp(-now.Sub(r.lastAt).Seconds() / rateTimeConstant.Seconds())
	r.lastAt = now
}

func (r *rate) count(now time.Time) { r.add(now, 1) }

// add counts an event with a weight.
func (r *rate) add(now time.Time, weight float64) {
	if r.firstAt.IsZero() {
		r.firstAt, r.lastAt = now, now
	}
	r.decay(now)
	r.weight += weight
}

// perSecond returns the number of events per second; zero if there were none.
func (r *rate) perSecond(now time.Time) float64 {
	if r.firstAt.IsZero() {
		return 0
	}
	r.decay(now)
	// Corrects for events that are counted for less than the time constant so
	// far.
	filled := 1 - math.Exp(-max(1, now.Sub(r.firstAt).Seconds())/rateTimeConstant.Seconds())
	return r.weight / (rateTimeConstant.Seconds() * filled)
}
