package decide

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/routing"
	"mangoloft/verdict"
)

// Scheduler chooses an upstream for each request. It must be used by one
// goroutine at a time.
//
// A stream is placed on an engine only if, with the stream added, the engine's
// forecast memory stays within its capacity at every horizon and its forecast
// step time meets the pace targets of all its streams. An idle engine takes any
// stream whose prompt fits, even if the forecast exceeds its capacity. Among
// engines whose memory is declared in the list (Upstream.CapacityTokens), the
// one with the lowest start cost is chosen. They take precedence over engines
// whose memory is known only from load reports. Of these, one is chosen with a
// probability in proportion to its free memory, so that instances that receive
// the same reports don't all choose the same engine. A stream that fits on no
// engine waits in the queue.
//
// Calls to plain services go to the least loaded upstream, with preference for
// the local data centre. So do streams if the memory of no candidate is known.
type Scheduler struct {
	dataCentre string
	lengths    LengthForecaster
	upstreams  map[string]*upstream
	// order contains the sorted names of the upstreams.
	order []string
	pools map[string]*pool
	// placed maps each placed request, and each request with a reservation, to its
	// upstream.
	placed map[ident.Request]string
	// moves maps each request that is being moved to its destination.
	moves map[ident.Request]string
	queue queue
	// partitions contains the data centres in which upstreams could not be
	// reached recently.
	partitions map[string]*partition
	// reaches contains the pools in which upstreams could not be reached recently.
	reaches map[string]*reach
	retries retryBudgets
	// evacuated contains the evacuated data centres.
	evacuated []string
	// regions contains the regions of the data centres.
	regions routing.Regions
	// brittle contains the pools whose upstreams are brittle. self is the control address
	// of this instance, invalid if it can't coordinate upstreams, and localMembers are the
	// others of its data centre.
	brittle      map[string]*brittlePool
	self         netip.AddrPort
	localMembers []Member
	// origins contains the versions that began streams, and retired the times at which the
	// last upstream of a version left its pool.
	origins *origin.Table
	retired map[poolVersion]time.Time
	// departuresKnownSince is the time since which all upstreams that left are known; zero
	// if none are.
	departuresKnownSince time.Time
	// trackers track the traits of requests on which upstreams crash.
	trackers trackers
	// receivesPeerReports is true once a load report has arrived for an engine
	// with declared memory. Only other instances send such reports: in a large
	// fleet, instances send them to other data centres instead of a notice for
	// each placement.
	receivesPeerReports bool
	// instances is the number of live instances, including this one, and instancesIn their
	// numbers by data centre.
	instances   int
	instancesIn map[string]int
	// coldBounds limit the requests to cold upstreams.
	coldBounds ColdBounds
	// outgoing contains the notices and ejections to return from the current
	// step.
	outgoing []Action
}

// New returns the scheduler of an instance in the given data centre.
func New(dataCentre string) *Scheduler { return NewWithLengths(dataCentre, newLearnedLengths()) }

// NewWithLengths is like New, but with the given forecaster of output lengths.
func NewWithLengths(dataCentre string, lengths LengthForecaster) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre, lengths: lengths, upstreams: map[string]*upstream{}, pools: map[string]*pool{},
		placed: map[ident.Request]string{}, moves: map[ident.Request]string{}, partitions: map[string]*partition{}, reaches: map[string]*reach{}, retries: newRetryBudgets(), brittle: map[string]*brittlePool{},
		trackers: newTrackers(), origins: origin.New(), retired: map[poolVersion]time.Time{},
		instances: 1,
	}
}

// SetInstances sets the number of live instances, including this one.
func (s *Scheduler) SetInstances(now time.Time, n int) {
	s.instances = max(1, n)
	s.retries.fleet.observe(now, n)
	s.trackers.setInstances(n)
}

// Waiting returns the length of the queue.
func (s *Scheduler) Waiting() int { return len(s.queue.list) }

// Step handles one event and returns the resulting actions. The time must not go
// backwards between calls.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.trackers.tick(now)
	s.claimAll(now)
	actions := append(s.handle(now, e), s.outgoing...)
	actions = append(actions, s.containmentActions()...)
	s.outgoing = nil
	return actions
}

func (s *Scheduler) handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case UpstreamsChanged:
		s.replaceUpstreams(now, e.Upstreams)
		s.renewClaims()
	case UpstreamChanged:
		s.changeUpstream(now, e.Upstream, e.Removed)
		s.renewClaims()
	case ReportReceived:
		s.handleReport(now, e)
	case LimitReported:
		s.handleLimitReported(now, e)
	case PaceReported:
		s.handlePaceReported(e)
		return nil
	case ColdReported:
		s.handleColdReported(now, e)
	case ColdAssumed:
		s.handleColdAssumed(now, e)
	case PushedBack:
		s.handlePushBack(now, e)
		return nil
	case BrittleReported:
		s.handleBrittleReported(now, e)
		return nil
	case BrittleNoticeReceived:
		s.handleBrittleNotice(now, e.Notice)
		return nil
	case CoordinatorFailed:
		s.handleCoordinatorFailed(e)
		return nil
	case MembersChanged:
		s.setMembers(e)
		return nil
	case LimitNoticeReceived:
		s.handleLimitNotice(now, e.Notice)
		return nil
	case UpstreamEnded:
		s.handleUpstreamEnded(now, e)
		return nil
	case CrashReceived:
		s.trackers[e.Crash.Kind].HandleCrash(now, e.Crash)
		return nil
	case FindingReceived:
		s.trackers[e.Finding.Kind].HandleFinding(now, e.Finding)
		return nil
	case Arrived:
		return s.handleArrival(now, e.Request)
	case Answered:
		s.trackers.answered(e.ID)
		return nil
	case Progressed:
		s.handleProgress(now, e)
		return nil
	case Ended:
		s.handleEnd(now, e)
	case Failed:
		s.recordOwnFailure(now, e)
		s.handleFailure(now, e.Upstream, e.Reason)
		return nil
	case Reached:
		if u := s.upstreams[e.Upstream]; u != nil {
			s.recordPoolReached(now, u)
		}
	case MoveRequested:
		return s.startMove(now, e)
	case MoveEnded:
		s.endMove(now, e)
	case NoticeReceived:
		s.handleNotice(now, e.Notice)
		if e.Notice.Kind != NoticeEnded {
			return nil
		}
	case RegionsChanged:
		s.regions = e.Regions
	case EvacuationsChanged:
		s.evacuated = slices.Clone(e.DataCentres)
	case Tick:
		s.expirePeerRequests(now)
		s.expireFailureReports(now)
		s.expireCold(now)
	}
	// The remaining events can make room for waiting requests, or let them expire.
	return s.serveQueue(now)
}

func (s *Scheduler) replaceUpstreams(now time.Time, list []Upstream) {
	previous := s.upstreams
	s.upstreams, s.order = make(map[string]*upstream, len(list)), nil
	for _, listed := range list {
		u, ok := previous[listed.Name]
		if !ok || u.Incarnation != listed.Incarnation {
			u = s.newUpstream(now, listed)
		}
		u.Upstream = listed
		s.upstreams[listed.Name] = u
		s.order = append(s.order, listed.Name)
	}
	slices.Sort(s.order)
	for _, name := range s.order {
		s.applyListedCold(now, s.upstreams[name])
	}
	for name, u := range previous {
		if s.upstreams[name] != u {
			s.retire(now, u.Upstream)
			s.dropPeerRequests(u)
		}
	}
}

// changeUpstream adds, replaces or removes one upstream.
func (s *Scheduler) changeUpstream(now time.Time, changed Upstream, removed bool) {
	previous := s.upstreams[changed.Name]
	if previous != nil {
		s.retire(now, previous.Upstream)
	}
	i, listed := slices.BinarySearch(s.order, changed.Name)
	if removed {
		if listed {
			s.order = slices.Delete(s.order, i, i+1)
			delete(s.upstreams, changed.Name)
			s.dropPeerRequests(previous)
		}
		return
	}
	if !listed {
		s.order = slices.Insert(s.order, i, changed.Name)
	}
	if previous != nil && previous.Incarnation == changed.Incarnation {
		previous.Upstream = changed
		s.applyListedCold(now, previous)
		return
	}
	s.upstreams[changed.Name] = s.newUpstream(now, changed)
	s.applyListedCold(now, s.upstreams[changed.Name])
	if previous != nil {
		s.dropPeerRequests(previous)
	}
}

// dropPeerRequests removes the requests that other instances placed on a
// removed upstream. This instance's own requests there end by their Ended
// events.
func (s *Scheduler) dropPeerRequests(u *upstream) {
	for _, f := range u.requests {
		if f.handledByPeer {
			delete(s.placed, f.ID)
		}
	}
}

func (s *Scheduler) handleReport(now time.Time, e ReportReceived) {
	u := s.upstreams[e.Upstream]
	if u == nil || !e.Report.TakenAt.After(u.report.TakenAt) {
		return
	}
	u.applyReport(now, e.Report)
	s.receivesPeerReports = s.receivesPeerReports || u.CapacityTokens > 0
	knownCount, _ := u.knownUsageAt(e.Report.TakenAt)
	s.pool(u.Pool).observeReport(e.Report.Running+e.Report.Waiting, knownCount)
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = newPool()
		s.pools[name] = p
	}
	return p
}

func (s *Scheduler) handleProgress(now time.Time, e Progressed) {
	started := s.hasStarted(e.ID)
	if s.updateTokens(now, e.ID, e.Tokens, e.Pace) {
		// The start of a stream is not deferred, because its prompt no longer delays
		// others from then on.
		n := Notice{Kind: NoticeProgressed, Request: Request{ID: e.ID}, Upstream: s.placed[e.ID], Tokens: e.Tokens, Pace: e.Pace, Deferrable: started}
		if !started {
			n.Began = s.recordOrigin(now, e.ID)
		}
		s.notify(n)
	}
}

// hasStarted reports whether the request has generated its first token.
func (s *Scheduler) hasStarted(id ident.Request) bool {
	if u := s.upstreams[s.placed[id]]; u != nil {
		if f := u.find(id); f != nil {
			return f.tokens > 0
		}
	}
	return false
}

// updateTokens records the number of tokens that a request has generated so
// far, and its pace since the previous report. It reports whether the number has grown.
func (s *Scheduler) updateTokens(now time.Time, id ident.Request, tokens int, pace Pace) bool {
	u := s.upstreams[s.placed[id]]
	if u == nil {
		return false
	}
	f := u.find(id)
	if f == nil || tokens <= f.tokens {
		return false
	}
	if f.tokens == 0 && !f.handledByPeer {
		s.trackers.began(now, id)
		s.recordReachable(u)
		s.recordPoolReached(now, u)
	}
	if f.tokens == 0 && !f.moved {
		s.recordSuccess(now, u, f)
	}
	if f.tokens == 0 && f.prefillTokens > 0 && !f.handledByPeer {
		s.pool(u.Pool).prefill.observe(f.prefillTokens, now.Sub(f.sentAt))
	}
	if f.tokens == 0 {
		s.observeStart(now, u, f)
	}
	s.observePace(u, f, tokens-f.tokens, pace)
	s.lengths.ObserveProgress(f.Request, f.tokens, tokens)
	f.tokens, f.tokensAt = tokens, now
	u.stale = true
	return true
}

func (s *Scheduler) handleEnd(now time.Time, e Ended) {
	s.cancelMove(e.ID)
	if s.queue.remove(e.ID) {
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: e.ID}})
		return
	}
	completed := e.Outcome.Reason == verdict.Completed
	s.trackers.closed(now, e.ID, completed, e.Outcome.Verdict == verdict.NotRun)
	f := s.finish(now, e.ID, e.Tokens, completed)
	if f == nil || f.admittedElsewhere {
		return
	}
	if f.Class.Kind == config.Stream {
		// While streams wait for room, its end matters to the other instances at once.
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: e.ID}, Upstream: f.upstream, Tokens: e.Tokens, Completed: completed, Failed: f.failed, Deferrable: len(s.queue.list) == 0 && !f.failed})
	}
	// The error of a call may be due to the call, not to the upstream.
	responded := completed || f.Class.Kind != config.Stream && e.Outcome.Verdict == verdict.Ran && e.Outcome.Reason == verdict.UpstreamFailed
	if u := s.upstreams[f.upstream]; u != nil && responded {
		u.health.recordSuccess(now)
		s.recordReachable(u)
	}
	if u := s.upstreams[f.upstream]; u != nil && (responded || e.Outcome.Reason == verdict.UpstreamRefused) {
		s.recordPoolReached(now, u)
	}
}

// finish removes a request from its upstream and adds its output length to the
// history.
func (s *Scheduler) finish(now time.Time, id ident.Request, tokens int, completed bool) *inFlight {
	f := s.release(now, id)
	if f == nil {
		return nil
	}
	if tokens > f.tokens {
		s.lengths.ObserveProgress(f.Request, f.tokens, tokens)
	}
	if u := s.upstreams[f.upstream]; u != nil && completed && f.tokens == 0 && !f.moved {
		s.recordSuccess(now, u, f)
	}
	if completed && tokens > 0 {
		s.lengths.ObserveEnd(f.Request, tokens)
	}
	return f
}

// release removes the request from its upstream, where it counts as departed:
// the latest load report may still include it.
func (s *Scheduler) release(now time.Time, id ident.Request) *inFlight {
	name, ok := s.placed[id]
	if !ok {
		return nil
	}
	delete(s.placed, id)
	if u := s.upstreams[name]; u != nil {
		return u.release(now, id)
	}
	return nil
}

func (s *Scheduler) handleFailure(now time.Time, name string, reason verdict.Reason) {
	u := s.upstreams[name]
	if u == nil {
		return
	}
	if reason == verdict.UpstreamUnreachable {
		s.recordUnreachable(now, u)
		s.recordPoolFailure(now, u)
	}
	// An unreachable upstream can't serve any request, so it is ejected on its
	// first failure and even beyond maxEjectedShare, unless it is the last one of
	// its pool that is not ejected.
	unreachable := reason == verdict.UpstreamUnreachable && u.health.trafficShare(now) > 0
	if !u.health.recordFailure(now) && !unreachable {
		return
	}
	ejected, total := 1, 0
	for _, other := range s.upstreams {
		if other.Pool != u.Pool || s.isEvacuated(other) {
			continue
		}
		total++
		if other.health.trafficShare(now) == 0 {
			ejected++
		}
	}
	if unreachable && ejected < total || float64(ejected) <= maxEjectedShare*float64(total) {
		u.health.eject(now)
		s.outgoing = append(s.outgoing, Ejected{Upstream: u.Name, DataCentre: u.DataCentre, Until: u.health.ejectedUntil})
	}
}

// handleArrival places a new request, queues it, or refuses it if it can't be
// placed in time.
func (s *Scheduler) handleArrival(now time.Time, r Request) []Action {
	s.releaseFailed(now, r.ID)
	s.cancelMove(r.ID)
	s.trackers.closed(now, r.ID, false, r.NeverSent)
	if refusal, ok := s.refuseContained(now, r); ok {
		return []Action{refusal}
	}
	if !s.countAttempt(now, r) {
		return []Action{s.refuse(now, r, verdict.Overloaded, "the retry budget is exhausted")}
	}
	if refusal, ok := s.refuseCutOff(now, r); ok {
		return []Action{refusal}
	}
	if refusal, ok := s.refuseClosed(now, r); ok {
		return []Action{refusal}
	}
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return []Action{s.refuse(now, r, verdict.NoUpstream, "no live upstream in pool "+r.Class.Pool+r.versionText()+r.regionsText())}
	}
	w := newWaitingRequest(now, r)
	ahead := s.queue.ahead(now, w)
	if ahead.total() == 0 {
		if place, ok := s.place(now, w, candidates); ok {
			return []Action{place}
		}
		if len(s.accepting(now, &w.Request, candidates)) == 0 {
			if refusal, ok := s.refuseUnaccepted(now, w, candidates); ok {
				return []Action{refusal}
			}
		}
	}
	start := s.pool(r.Class.Pool).optimisticStart(now, r.Rank, ahead)
	if start.After(w.deadline) || len(s.queue.list) >= maxQueue {
		explanation := fmt.Sprintf("%d requests are ahead in the queue and the earliest start is %v after the target", ahead.total(), start.Sub(w.deadline).Round(time.Millisecond))
		return []Action{s.refuseRanked(now, w, verdict.Overloaded, ahead, explanation)}
	}
	s.setLatestStart(w)
	s.queue.add(now, w)
	if r.Class.Kind == config.Stream {
		s.notify(Notice{Kind: NoticeWaiting, Request: r})
	}
	return nil
}

// countAttempt counts an attempt at a request. It reports whether it is the first one or the
// retry budget allows it.
func (s *Scheduler) countAttempt(now time.Time, r Request) bool {
	first := len(r.Excluded) == 0 && !r.Resubmitted
	switch {
	case r.Only != "" || first && r.FromMember:
		// The instance that sent the request has counted it.
		return true
	case first:
		s.retries.deposit(now, r.Class.Pool)
		return true
	}
	return r.NeverSent || s.retries.tryWithdraw(now, r.Class.Pool)
}

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

// serveQueue places the waiting requests that fit on an upstream now, and
// refuses those whose waiting time has expired. No later request of the pool
// and rank can overtake an urgent one. Requests queued on other instances get
// reservations instead, at most maxReservations times, and are then dropped.
func (s *Scheduler) serveQueue(now time.Time) []Action {
	var actions []Action
	s.queue.sort(now)
	overtaken, held, waiting := map[lane]int{}, newHolds(s.queue.list), map[string]aheadByRank{}
	for _, w := range slices.Clone(s.queue.list) {
		lane := lane{w.Class.Pool, w.Only, w.Rank}
		switch {
		case w.handledByPeer && now.Before(w.reservedUntil):
			continue
		case w.handledByPeer && (w.reservations >= maxReservations || !now.Before(w.expiresAt)):
			s.queue.remove(w.ID)
			s.cancelPlacement(w.ID)
			continue
		case w.handledByPeer:
			// A previous reservation, if any, has ended.
			s.cancelPlacement(w.ID)
		case !now.Before(w.expiresAt):
			s.dequeue(w)
			explanation := fmt.Sprintf("no upstream had room within %v", now.Sub(w.arrivedAt).Round(time.Millisecond))
			actions = append(actions, s.refuseRanked(now, w, verdict.WaitExpired, waiting[w.Class.Pool], explanation))
			continue
		}
		if refusal, ok := s.refuseContained(now, w.Request); ok {
			s.dequeue(w)
			actions = append(actions, refusal)
			continue
		}
		if refusal, ok := s.refuseClosed(now, w.Request); ok && !w.handledByPeer {
			s.dequeue(w)
			actions = append(actions, refusal)
			continue
		}
		if overtaken[lane] < maxOvertaken {
			action, ok := s.serve(now, w, held)
			if ok && action != nil {
				actions = append(actions, action)
			}
			if ok {
				continue
			}
			// A deferred request waits though there is room.
			if !now.Before(w.deferredUntil) {
				overtaken[lane]++
				if urgent(now, w) {
					overtaken[lane] = maxOvertaken
				}
			}
		}
		if now.Before(w.deferredUntil) {
			// It delays no others and could be placed now.
			continue
		}
		ahead := waiting[w.Class.Pool]
		if refusal, ok := s.refuseDisplaced(now, w, ahead); ok {
			s.dequeue(w)
			actions = append(actions, refusal)
			continue
		}
		ahead[w.rank]++
		waiting[w.Class.Pool] = ahead
	}
	return actions
}

// dequeue removes a request of this instance from the queue. Only streams that wait are known
// to the other instances.
func (s *Scheduler) dequeue(w *waitingRequest) {
	s.queue.remove(w.ID)
	if w.Class.Kind == config.Stream {
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: w.ID}})
	}
}

// lane identifies the requests that can overtake each other: those of a pool that the same
// upstreams can serve, and of one rank.
type lane struct {
	pool, only string
	rank       int
}

// urgentShare is the share of the wait target before a request's latestStart in
// which no later request can overtake it. Otherwise small requests could starve
// a large one.
const urgentShare = 0.3

func urgent(now time.Time, w *waitingRequest) bool {
	remaining := w.latestStart.Sub(now)
	return remaining >= 0 && remaining.Seconds() < urgentShare*w.Class.WaitTarget.Seconds()
}

// maxOvertaken is the maximum number of requests in a pool that later requests
// can overtake because no upstream has capacity for them.
const maxOvertaken = 8

// serve places a waiting request, or reserves capacity for it if it is in
// another instance's queue. It reports whether an upstream has capacity for
// the request.
func (s *Scheduler) serve(now time.Time, w *waitingRequest, held holds) (Action, bool) {
	all := s.candidates(now, w.Request)
	candidates := held.without(now, w, all)
	if len(candidates) == 0 {
		return nil, false
	}
	if w.handledByPeer {
		c, ok := s.choose(now, w, candidates)
		if ok {
			s.reserve(now, w, c.upstream, c.lengths)
		} else {
			held.hold(now, w, all)
		}
		return nil, ok
	}
	place, ok := s.place(now, w, candidates)
	if !ok {
		held.hold(now, w, all)
		return nil, false
	}
	s.queue.remove(w.ID)
	return place, true
}

const (
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 30 * time.Second
)

// refuse returns a refusal. Its retry time is an estimate of the time at which
// the queue will be empty, at most maxRetryDelay from now before jitter. The
// jitter prevents requests that are refused together from being retried
// together.
func (s *Scheduler) refuse(now time.Time, r Request, reason verdict.Reason, explanation string) Refuse {
	delay := minRetryDelay
	if rate := s.pool(r.Class.Pool).placements.perSecond(now); rate > 0 {
		delay += time.Duration(min(maxRetryDelay.Seconds(), float64(len(s.queue.list))/rate) * float64(time.Second))
	}
	jitter := 0.75 + hashFraction(r.ID, 0)/2
	delay = time.Duration(float64(min(delay, maxRetryDelay)) * jitter)
	return Refuse{ID: r.ID, Reason: reason, RetryAt: now.Add(delay), Explanation: explanation + s.evacuatedText()}
}

// maxSampled is the maximum number of upstreams whose memory is forecast for
// one decision.
const maxSampled = 12

// remoteSampled is the number of sampled upstreams that are in other data
// centres, if the local data centre has enough.
const remoteSampled = 3

// sample returns a subset of the upstreams, mostly from the local data centre.
// Each attempt to place a request gets a different subset.
func (s *Scheduler) sample(all []*upstream, id ident.Request, attempt uint64) []*upstream {
	if len(all) <= maxSampled {
		return all
	}
	var local, remote []*upstream
	for _, u := range all {
		if s.isLocal(u) {
			local = append(local, u)
		} else {
			remote = append(remote, u)
		}
	}
	if len(local) == 0 || len(remote) == 0 {
		return sampleByHash(all, maxSampled, id, attempt)
	}
	sampled := sampleByHash(local, maxSampled-remoteSampled, id, attempt)
	return append(sampled, sampleByHash(remote, maxSampled-len(sampled), id, attempt)...)
}

// sampleByHash returns a pseudo-random subset of at most the given size.
func sampleByHash(all []*upstream, size int, id ident.Request, attempt uint64) []*upstream {
	if len(all) <= size {
		return slices.Clone(all)
	}
	type ranked struct {
		upstream *upstream
		rank     float64
	}
	var lowest [maxSampled]ranked
	count := 0
	for _, u := range all {
		entry := ranked{u, hashFraction(id, ^u.hash+attempt)}
		if count == size && entry.rank >= lowest[count-1].rank {
			continue
		}
		count = min(count+1, size)
		i := count - 1
		for ; i > 0 && lowest[i-1].rank > entry.rank; i-- {
			lowest[i] = lowest[i-1]
		}
		lowest[i] = entry
	}
	sampled := make([]*upstream, count)
	for i, entry := range lowest[:count] {
		sampled[i] = entry.upstream
	}
	return sampled
}

// weightedRendezvous chooses an upstream by weighted rendezvous hashing: the
// probability of each upstream is in proportion to its weight, and the choice
// is deterministic for a request.
type weightedRendezvous struct {
	id        ident.Request
	best      *upstream
	bestScore float64
}

func (r *weightedRendezvous) consider(u *upstream, weight float64) {
	if weight <= 0 {
		weight = math.SmallestNonzeroFloat32
	}
	// If each upstream draws an exponential variable with its weight as the rate,
	// the probability of being the minimum is in proportion to the weight.
	if score := -math.Log(hashFraction(r.id, u.hash)) / weight; r.best == nil || score < r.bestScore {
		r.best, r.bestScore = u, score
	}
}

// hashFraction returns a number in (0, 1) that depends only on the request and
// the salt.
func hashFraction(id ident.Request, salt uint64) float64 {
	x := hashMix(uint64(id.Home.Incarnation) ^ id.Sequence*0x9e3779b97f4a7c15 ^ salt)
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// hashMix returns a hash of x in which all bits depend on all bits of x.
func hashMix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
