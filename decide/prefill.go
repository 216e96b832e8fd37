package decide

import (
	"math"
	"time"
)

// prefillBacklog returns how many prompt tokens an engine has yet to prefill. It
// prefills prompts one after another, interleaved with the decoding of running
// requests, so a new prompt waits for all those ahead of it. On a crowded engine
// this, and not memory, determines when a stream starts.
//
// The backlog is the prompts of the streams that have not started, as known from
// the notices of the instances that placed them. If a load report is available,
// it is the backlog in that report and the prompts sent since.
func (u *upstream) prefillBacklog(now time.Time) float64 {
	since := time.Time{}
	tokens := 0.0
	if u.hasRecentReport(now) {
		since, tokens = u.report.TakenAt, float64(u.report.PendingPrefillTokens)
	}
	for _, f := range u.requests {
		if f.tokens == 0 && now.Before(f.assumedStart) && f.sentAt.After(since) {
			tokens += float64(f.PromptTokens)
		}
	}
	return tokens
}

// The notice that a stream started may be lost, so a stream is assumed to have
// started after startFactor times its expected prefill time plus startMargin.
const (
	startFactor = 3
	startMargin = 1 * time.Second
)

// estimateStart sets the prefill work ahead of the request's first token and the
// time of its assumed start.
func (s *Scheduler) estimateStart(now time.Time, u *upstream, f *inFlight) {
	f.prefillTokens = u.prefillBacklog(now) + float64(f.PromptTokens)
	expected := time.Duration(f.prefillTokens / s.pool(u.Pool).prefill.tokensPerSecond() * float64(time.Second))
	f.assumedStart = now.Add(startFactor*expected + startMargin)
}

// prefillRate learns how many prompt tokens per second an engine of a pool
// prefills while it serves other requests.
type prefillRate struct{ perSecond float64 }

const (
	// initialPrefillRate applies until streams have started. A value that is too
	// low only spreads the first prompts more evenly.
	initialPrefillRate = 5000
	// prefillRateSamples is the effective number of started streams in the
	// average.
	prefillRateSamples = 30
	minPrefillRate     = 500
	maxPrefillRate     = 200_000
)

func (s *prefillRate) tokensPerSecond() float64 {
	if s.perSecond == 0 {
		return initialPrefillRate
	}
	return s.perSecond
}

// observe records the time in which an engine prefilled a number of tokens.
func (s *prefillRate) observe(tokens float64, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	observed := min(maxPrefillRate, max(minPrefillRate, tokens/took.Seconds()))
	s.perSecond = s.tokensPerSecond() + (observed-s.tokensPerSecond())/prefillRateSamples
}

const (
	// crossDataCentreCost is the delay that is accepted to start a stream in the
	// own data centre, where a partition between data centres doesn't cut it off.
	crossDataCentreCost = 400 * time.Millisecond
	// memoryPressureCost is added for an engine whose memory is full. It falls to
	// 0 at half full. Requests on a full engine risk preemption, and they can't
	// all be moved in time when the engine is reclaimed.
	memoryPressureCost = 800 * time.Millisecond
	// tieBreakCost spreads the streams that several instances place at the same
	// time.
	tieBreakCost = 30 * time.Millisecond
	// slowStartPenalty is added during an engine's slow start, in proportion to
	// the share of traffic that it may not get yet.
	slowStartPenalty = 3 * time.Second
)

// maxPrefillBacklog is the prefill time from which an engine gets no more
// prompts. Further streams wait in the queue instead, in its common order: there
// they can take the first engine that becomes available, and can be refused at
// once when they would be late.
const maxPrefillBacklog = 400 * time.Millisecond

// prefillBacklogged reports whether an engine's prefill backlog is full.
func (s *Scheduler) prefillBacklogged(now time.Time, u *upstream) bool {
	rate := s.pool(u.Pool).prefill.tokensPerSecond()
	return u.CapacityTokens > 0 && u.prefillBacklog(now) > rate*maxPrefillBacklog.Seconds()
}

// remoteChance is the probability per attempt that a waiting stream may take an
// engine in another data centre of which only reports are known. Every instance
// there sees the same report, and otherwise all would send to the engine that has
// just become free.
const remoteChance = 0.1

// skipsReportOnly reports whether this attempt skips the engine because it is
// known only from reports: if it has no recent report or has a prefill backlog,
// and otherwise at random.
func (s *Scheduler) skipsReportOnly(now time.Time, w *waiting, u *upstream) bool {
	if !s.remoteByReport || u.DataCentre == s.dataCentre {
		return false
	}
	return !u.hasRecentReport(now) || u.prefillBacklog(now) > 0 || hashFraction(w.ID, u.hash+w.attempts) > remoteChance
}

// startCost returns the cost of an engine that would have so much memory left:
// the time to the stream's first token, plus penalties expressed as times.
func (s *Scheduler) startCost(now time.Time, w *waiting, u *upstream, free float64) time.Duration {
	rate := s.pool(u.Pool).prefill.tokensPerSecond()
	cost := time.Duration((u.prefillBacklog(now) + float64(w.PromptTokens)) / rate * float64(time.Second))
	if u.DataCentre != s.dataCentre {
		cost += crossDataCentreCost
	}
	full := 1 - free/u.capacity()
	cost += time.Duration(math.Max(0, 2*full-1) * float64(memoryPressureCost))
	cost += time.Duration((1 - u.health.trafficShare(now)) * float64(slowStartPenalty))
	return cost + time.Duration(hashFraction(w.ID, u.hash)*float64(tieBreakCost))
}

// cheapest keeps the engine with the lowest cost.
type cheapest struct {
	best *upstream
	cost time.Duration
}

func (c *cheapest) offer(u *upstream, cost time.Duration) {
	if c.best == nil || cost < c.cost {
		c.best, c.cost = u, cost
	}
}
