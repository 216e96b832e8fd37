package decide

import (
	"math"
	"time"
)

// prefillBacklog returns the number of prompt tokens that an engine has yet to
// prefill. An engine prefills prompts one after another, interleaved with the
// decoding of running requests, so a new prompt waits for all earlier ones. On
// a crowded engine the prefill backlog, and not memory, determines when a
// stream starts.
//
// Without a recent load report, the backlog consists of the prompts of all
// known streams that have not started. With one, it is the reported backlog
// plus the prompts sent since the report.
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

// The notice of a stream's first token may be lost, so a stream is assumed to
// have started after startFactor times its expected prefill time plus
// startMargin.
const (
	startFactor = 3
	startMargin = 1 * time.Second
)

// estimateStart sets the request's prefillTokens and assumedStart.
func (s *Scheduler) estimateStart(now time.Time, u *upstream, f *inFlight) {
	f.prefillTokens = u.prefillBacklog(now) + float64(f.PromptTokens)
	expected := time.Duration(f.prefillTokens / s.prefillRate(u) * float64(time.Second))
	f.assumedStart = now.Add(startFactor*expected + startMargin)
}

// prefillRate is the average number of prompt tokens per second that an engine
// of a pool prefills while it serves other requests.
type prefillRate struct{ perSecond float64 }

const (
	// initialPrefillRate is used until the first stream has started. A value that
	// is too low only spreads the first prompts more evenly.
	initialPrefillRate = 5000
	// prefillRateSamples is the effective number of started streams in the
	// average.
	prefillRateSamples = 30
	minPrefillRate     = 500
	maxPrefillRate     = 200_000
)

func (r *prefillRate) tokensPerSecond() float64 {
	if r.perSecond == 0 {
		return initialPrefillRate
	}
	return r.perSecond
}

// observe records the time that an engine took to prefill a number of tokens.
func (r *prefillRate) observe(tokens float64, elapsed time.Duration) {
	if elapsed <= 0 || tokens <= 0 {
		return
	}
	observed := min(maxPrefillRate, max(minPrefillRate, tokens/elapsed.Seconds()))
	r.perSecond = r.tokensPerSecond() + (observed-r.tokensPerSecond())/prefillRateSamples
}

const (
	// crossDataCentreCost is added for an engine in another data centre. A stream
	// may start this much later in the local data centre, where a partition
	// between data centres doesn't interrupt it.
	crossDataCentreCost = 400 * time.Millisecond
	// memoryPressureCost is added for an engine whose memory is full. It falls
	// linearly to 0 for an engine whose memory is half full. Requests on a full
	// engine risk preemption, and they can't all be moved in time when the engine
	// leaves.
	memoryPressureCost = 800 * time.Millisecond
	// tieBreakCost is the maximum of a random cost that spreads the streams which
	// several instances place at the same time.
	tieBreakCost = 30 * time.Millisecond
	// slowStartPenalty is added during an engine's slow start, in proportion to
	// the share of its usual traffic that the engine doesn't get yet.
	slowStartPenalty = 3 * time.Second
)

// maxPrefillBacklog is the prefill time of the backlog above which an engine
// gets no more prompts. Further streams wait in the queue instead, where they
// can be placed on the first engine that becomes available, and are refused
// immediately if they would start too late.
const maxPrefillBacklog = 400 * time.Millisecond

// prefillBacklogged reports whether an engine's prefill backlog is full.
func (s *Scheduler) prefillBacklogged(now time.Time, u *upstream) bool {
	return u.CapacityTokens > 0 && u.prefillBacklog(now) > s.prefillRate(u)*maxPrefillBacklog.Seconds()
}

// remoteProbability is the probability per attempt that a stream considers an
// engine in another data centre whose load is known only from reports. All
// instances receive the same reports, and would otherwise all send requests to
// the engine that has just become free.
const remoteProbability = 0.1

func (s *Scheduler) isLocal(u *upstream) bool { return u.DataCentre == s.dataCentre }

// withKnownLoad removes the engines whose load is not known, unless no others are
// left. The load is known from notices in the local data centre and in a small
// fleet, and otherwise from a recent report. Other data centres report only their
// engines with the most room.
func (s *Scheduler) withKnownLoad(now time.Time, candidates []*upstream) []*upstream {
	if !s.receivesPeerReports {
		return candidates
	}
	var known []*upstream
	for _, u := range candidates {
		if s.isLocal(u) || u.hasRecentReport(now) {
			known = append(known, u)
		}
	}
	if len(known) == 0 {
		return candidates
	}
	return known
}

// skipsRemote reports whether this attempt skips an engine in another data
// centre because its load is known only from reports. The engine is skipped if
// it has a prefill backlog, and otherwise at random.
func (s *Scheduler) skipsRemote(now time.Time, w *waitingRequest, u *upstream) bool {
	if !s.receivesPeerReports || s.isLocal(u) {
		return false
	}
	return u.prefillBacklog(now) > 0 || hashFraction(w.ID, u.hash+w.attempts) > remoteProbability
}

// startCost returns the cost of placing the request, with the expected number of
// output tokens, on the engine, where the given amount of memory would stay free:
// the time to the first token, plus penalties expressed as times.
func (s *Scheduler) startCost(now time.Time, w *waitingRequest, u *upstream, free, outputTokens float64) time.Duration {
	cost := s.weighedStart(now, w, u, outputTokens) + time.Duration(s.lateness(now, w, u, outputTokens)*float64(lateCost))
	if u.DataCentre != s.dataCentre {
		cost += crossDataCentreCost
	}
	usedShare := 1 - free/u.capacity()
	cost += time.Duration(math.Max(0, 2*usedShare-1) * float64(memoryPressureCost))
	cost += time.Duration((1 - u.trafficShare(now)) * float64(slowStartPenalty))
	cost += s.failureCost(now, &w.Request, u)
	cost += s.interference(now, u, w.PromptTokens)
	return cost + time.Duration(hashFraction(w.ID, u.hash)*float64(tieBreakCost))
}

// lowestCost selects the engine with the lowest cost.
type lowestCost struct {
	best *upstream
	cost time.Duration
}

func (c *lowestCost) consider(u *upstream, cost time.Duration) {
	if c.best == nil || cost < c.cost {
		c.best, c.cost = u, cost
	}
}
