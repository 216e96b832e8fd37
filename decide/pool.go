package decide

import (
	"math"
	"time"
)

// pool is what is learned about the traffic to one pool.
type pool struct {
	// placements counts those of this instance, the older the lighter.
	placements   float64
	placedAt     time.Time
	firstAt      time.Time
	promptTokens float64
	// reported and own count, over the reports, all generations and this
	// instance's: their ratio tells how many instances there seem to be.
	reported, own float64
}

const (
	// trafficMemory is the time after which traffic counts about a third.
	trafficMemory = 5 * time.Second
	// ratioMemory is how many reports weigh as much as all before.
	ratioMemory = 100
	startPrompt = 100
)

func (p *pool) fade(now time.Time) {
	if !p.placedAt.IsZero() {
		p.placements *= math.Exp(-now.Sub(p.placedAt).Seconds() / trafficMemory.Seconds())
	}
	p.placedAt = now
}

func (p *pool) placed(now time.Time, promptTokens int) {
	if p.firstAt.IsZero() {
		p.firstAt, p.promptTokens = now, startPrompt
	}
	p.fade(now)
	p.placements++
	p.promptTokens += (float64(promptTokens) - p.promptTokens) / ratioMemory
}

// rate returns this instance's placements a second.
func (p *pool) rate(now time.Time) float64 {
	if p.firstAt.IsZero() {
		return 0
	}
	p.fade(now)
	// A young count hasn't filled its memory yet.
	filled := 1 - math.Exp(-max(1, now.Sub(p.firstAt).Seconds())/trafficMemory.Seconds())
	return p.placements / (trafficMemory.Seconds() * filled)
}

func (p *pool) observe(all, own int) {
	p.reported += float64(all) - p.reported/ratioMemory
	p.own += float64(own) - p.own/ratioMemory
}

// othersPerOwn returns how many generations others place for each of ours.
func (p *pool) othersPerOwn() float64 { return max(0, (p.reported+1)/(p.own+1)-1) }

// unseenRate returns how many generations a second others may place at each of
// the upstreams.
func (p *pool) unseenRate(now time.Time, upstreams int) float64 {
	return p.rate(now) * p.othersPerOwn() / float64(max(1, upstreams))
}
