package decide

import (
	"math"
	"time"
)

// pool holds traffic statistics of one pool.
type pool struct {
	// placements is the rate of known placements, by all instances.
	placements   rate
	promptTokens float64
	prefill      prefillRate
	// reported and known are exponentially decaying counts, over the load
	// reports, of all generations and of those known here. Their ratio shows how
	// many are placed without notice.
	reported, known float64
}

const (
	// rateTimeConstant is the time in which the weight of an event decays to 1/e.
	rateTimeConstant = 5 * time.Second
	// ratioSamples is the effective number of reports or prompts in the averages.
	ratioSamples        = 100
	initialPromptTokens = 100
)

func newPool() *pool { return &pool{promptTokens: initialPromptTokens} }

func (p *pool) observePlacement(now time.Time, promptTokens int) {
	p.placements.count(now)
	p.promptTokens += (float64(promptTokens) - p.promptTokens) / ratioSamples
}

func (p *pool) observeReport(all, known int) {
	p.reported += float64(all) - p.reported/ratioSamples
	p.known += float64(known) - p.known/ratioSamples
}

// unknownPerKnown returns how many generations are placed without notice per
// known one.
func (p *pool) unknownPerKnown() float64 { return max(0, (p.reported+1)/(p.known+1)-1) }

// unseenRate estimates the generations per second that are placed without notice
// at each upstream.
func (p *pool) unseenRate(now time.Time, upstreams int) float64 {
	return p.placements.perSecond(now) * p.unknownPerKnown() / float64(max(1, upstreams))
}

// rate is an exponentially weighted event rate.
type rate struct {
	weight          float64
	firstAt, lastAt time.Time
}

func (r *rate) decay(now time.Time) {
	r.weight *= math.Exp(-now.Sub(r.lastAt).Seconds() / rateTimeConstant.Seconds())
	r.lastAt = now
}

func (r *rate) count(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt, r.lastAt = now, now
	}
	r.decay(now)
	r.weight++
}

// perSecond returns the events per second; zero if there were none.
func (r *rate) perSecond(now time.Time) float64 {
	if r.firstAt.IsZero() {
		return 0
	}
	r.decay(now)
	// Corrects for a count that has not run for the full time constant yet.
	filled := 1 - math.Exp(-max(1, now.Sub(r.firstAt).Seconds())/rateTimeConstant.Seconds())
	return r.weight / (rateTimeConstant.Seconds() * filled)
}
