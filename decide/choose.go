package decide

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangoloft/config"
)

// candidates returns the upstreams of the request's pool that are neither
// leaving, evacuated, ejected nor excluded by the request. Those in partitioned data
// centres are omitted unless no others are left.
func (s *Scheduler) candidates(now time.Time, r Request) []*upstream {
	var live []*upstream
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.Pool == r.Class.Pool && (r.Only == "" || name == r.Only) && !u.Leaving && s.isOpen(&r, u) && !slices.Contains(r.Excluded, name) && r.canRunOn(u.Version) && (u.health.trafficShare(now) > 0 || s.admittedBy(now, &r, u).IsValid()) {
			live = append(live, u)
		}
	}
	return s.withoutPartitioned(now, s.withoutAvoided(now, &r, live))
}

// choice is the upstream chosen for a request, with the forecast of its output
// length and the explanation of the choice.
type choice struct {
	upstream    *upstream
	lengths     Distribution
	explanation string
}

// place places the request on an upstream that has capacity for it. It reports
// whether there is such an upstream.
func (s *Scheduler) place(now time.Time, w *waitingRequest, candidates []*upstream) (Place, bool) {
	c, ok := s.choose(now, w, candidates)
	if !ok {
		return Place{}, false
	}
	if coordinator := s.admittedBy(now, &w.Request, c.upstream); coordinator.IsValid() {
		s.recordPlacement(now, c.upstream, w.Request, c.lengths, false)
		return Place{ID: w.ID, Upstream: c.upstream.Upstream, Coordinator: coordinator, Explanation: c.explanation}, true
	}
	if l := &c.upstream.limit; l.active {
		c.explanation += fmt.Sprintf("; %.1f of its limit of %.4g/s available", l.tokens, l.perSecond)
	}
	c.explanation += s.coldText(now, c.upstream)
	s.useLimit(now, c.upstream)
	s.recordPlacement(now, c.upstream, w.Request, c.lengths, false)
	s.trackers.sent(now, w.Request, containedUpstream(c.upstream))
	if w.Class.Kind == config.Stream {
		s.notify(Notice{Kind: NoticePlaced, Request: w.Request, Upstream: c.upstream.Name})
	}
	return Place{ID: w.ID, Upstream: c.upstream.Upstream, Limited: c.upstream.limit.active, Brittle: s.brittleOf(now, c.upstream.Pool) != nil, Priority: priorityOf(w.Request, c.lengths.Mean()), Explanation: c.explanation}, true
}

// choose returns an upstream that has capacity for the request and accepts it, if there
// is one.
func (s *Scheduler) choose(now time.Time, w *waitingRequest, candidates []*upstream) (choice, bool) {
	if candidates = s.accepting(now, &w.Request, candidates); len(candidates) == 0 {
		return choice{}, false
	}
	lengths := s.lengthsOf(w.Request)
	anyForecastable := slices.ContainsFunc(candidates, func(u *upstream) bool { return u.forecastable(now) })
	if w.Class.Kind != config.Stream || !anyForecastable {
		// Only streams use the KV cache, whose size must be known for a forecast.
		u := s.leastLoaded(now, &w.Request, candidates)
		explanation := fmt.Sprintf("fewest requests: %d known, %d running and %d waiting in the latest report", len(u.requests), u.report.Running, u.report.Waiting) + u.paceText(now, candidates) + s.failureText(now, u)
		return choice{u, lengths, explanation}, true
	}
	poolStats, poolLengths := s.pool(w.Class.Pool), s.lengths.PoolForecast(w.Class.Pool)
	// unreported estimates the generations that other instances placed since the
	// engine's report and of which no notice has arrived.
	unreported := aggregate{meanTokens: max(1, poolStats.promptTokens)}
	unannouncedRate := poolStats.unannouncedRate(now, len(candidates))
	margin := safetyMargin(now, w.arrivedAt, w.deadline)
	var requestForecast forecast
	requestForecast.addRequest(float64(w.PromptTokens), 0, lengths)
	candidates = s.withKnownLoad(now, candidates)
	hasLocal := slices.ContainsFunc(candidates, s.isLocal)
	rendezvous, lowest := weightedRendezvous{id: w.ID}, lowestCost{}
	fitCount := 0
	w.obstacles, w.deferredUntil = obstacleCounts{}, time.Time{}
	sampled := s.sample(candidates, w.ID, w.attempts)
	w.attempts++
	for _, u := range sampled {
		if !u.forecastable(now) {
			continue
		}
		unreported.count = 0
		if u.hasRecentReport(now) {
			unreported.count = unannouncedRate * now.Sub(u.report.TakenAt).Seconds()
		}
		u.refresh(now, unreported, poolLengths)
		free := u.capacity() - u.peakWith(&requestForecast, margin)
		if free < 0 && u.idle() && float64(w.PromptTokens) < u.capacity() {
			// An idle engine never has more free memory than now, so further waiting is
			// useless. It counts as almost full, with the least that fits, so that
			// engines with more free memory have preference.
			free = 1
		}
		if obstacle := s.obstacleAt(now, w, u, free, hasLocal); obstacle != noObstacle {
			w.obstacles[obstacle]++
			continue
		}
		fitCount++
		if u.CapacityTokens > 0 {
			lowest.consider(u, s.startCost(now, w, u, free, lengths.Mean()))
			continue
		}
		rendezvous.consider(u, free*u.trafficShare(now)*(1-s.excessFailures(now, u)))
	}
	// Engines with declared memory have preference.
	u := rendezvous.best
	if lowest.best != nil {
		u = lowest.best
	}
	if u == nil || len(s.queue.list) < maxQueue && s.defers(now, w, u, candidates, lengths.Mean()) {
		return choice{}, false
	}
	explanation := fmt.Sprintf(
		"start cost %v, room on %d of %d sampled; %d tokens stay free of %d at the peak with a margin of %.2f deviations; %d known generations, %.1f known only from the report and %.1f placed since; output forecast %.0f tokens; waited %v",
		lowest.cost.Round(time.Millisecond), fitCount, len(sampled), int(u.capacity()-u.peakWith(&requestForecast, margin)), int(u.capacity()), margin,
		u.baseLoad.knownCount, u.baseLoad.reportedOnly.count, u.baseLoad.unreported.count, lengths.Mean(), now.Sub(w.arrivedAt).Round(time.Millisecond)) + s.failureText(now, u) + s.speedText(now, w, u, lengths.Mean())
	return choice{u, lengths, explanation}, true
}

// busyShare is the share of used slots from which an upstream of the local
// data centre is no longer preferred to those of other data centres. It is also
// added to the load of upstreams that are busy or in other data centres.
const busyShare = 0.7

// leastLoaded returns the upstream with the fewest requests per slot, or with the shortest
// expected time of a call if upstreams declare their paces.
// Upstreams in the local data centre have preference as long as they are not
// busy. An upstream in slow start is skipped for the share of requests that it
// doesn't get yet.
func (s *Scheduler) leastLoaded(now time.Time, r *Request, candidates []*upstream) *upstream {
	estimate, anyPace := estimateCalls(now, candidates)
	cost := func(u *upstream) float64 {
		load := u.load(now)
		if anyPace {
			load = estimate.timeAt(u) + callSpread*hashFraction(r.ID, u.hash+1)
		}
		load += s.failureLoad(now, r, u)
		if u.DataCentre != s.dataCentre || !anyPace && load >= busyShare {
			load += busyShare
		}
		if !u.failures.isAvoided() && hashFraction(r.ID, ^u.hash) > u.trafficShare(now) {
			load += slowStartCost
		}
		return load
	}
	return slices.MinFunc(candidates, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(hashFraction(r.ID, a.hash), hashFraction(r.ID, b.hash)))
	})
}

// slowStartCost is added to the load of an upstream that is skipped, so that
// it ranks behind all others.
const slowStartCost = 100
