package decide

import (
	"math"
	"time"
)

// pool is what is learned about the traffic to one pool.
type pool struct {
	// placements counts those of all instances, as far as they are known.
	placements   rate
	promptTokens float64
	reading      readingSpeed
	// reported and known count, over the reports, all generations and those
	// known here: their ratio tells how much is placed without notice.
	reported, known float64
}

const (
	// trafficMemory is the time after which traffic counts about a third.
	trafficMemory = 5 * time.Second
	// ratioMemory is how many reports or prompts weigh as much as all before.
	ratioMemory = 100
	startPrompt = 100
)

func newPool() *pool { return &pool{promptTokens: startPrompt} }

func (p *pool) placed(now time.Time, promptTokens int) {
	p.placements.count(now)
	p.promptTokens += (float64(promptTokens) - p.promptTokens) / ratioMemory
}

func (p *pool) observe(all, known int) {
	p.reported += float64(all) - p.reported/ratioMemory
	p.known += float64(known) - p.known/ratioMemory
}

// unknownPerKnown returns how many generations are placed without notice for
// each that is known.
func (p *pool) unknownPerKnown() float64 { return max(0, (p.reported+1)/(p.known+1)-1) }

// unseenRate returns how many generations a second may come to each of the
// upstreams without notice.
func (p *pool) unseenRate(now time.Time, upstreams int) float64 {
	return p.placements.perSecond(now) * p.unknownPerKnown() / float64(max(1, upstreams))
}

// rate counts events, the older the lighter.
type rate struct {
	weight          float64
	firstAt, lastAt time.Time
}

func (r *rate) fade(now time.Time) {
	r.weight *= math.Exp(-now.Sub(r.lastAt).Seconds() / trafficMemory.Seconds())
	r.lastAt = now
}

func (r *rate) count(now time.Time) {
	if r.firstAt.IsZero() {
		r.firstAt, r.lastAt = now, now
	}
	r.fade(now)
	r.weight++
}

// perSecond returns the events a second; zero when there was none.
func (r *rate) perSecond(now time.Time) float64 {
	if r.firstAt.IsZero() {
		return 0
	}
	r.fade(now)
	// A young count hasn't filled its memory yet.
	filled := 1 - math.Exp(-max(1, now.Sub(r.firstAt).Seconds())/trafficMemory.Seconds())
	return r.weight / (trafficMemory.Seconds() * filled)
}
