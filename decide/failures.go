package decide

import (
	"fmt"
	"maps"
	"math"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// failureRecord estimates the probability that the next request to an upstream fails, from
// the outcomes of this instance's requests and of those that other instances report. An
// engine that fails at once looks empty, so without the estimate it attracts requests, and
// with many instances each of them has to lose some before it avoids the engine.
//
// An upstream that fails most requests is avoided: it gets only a probe now and then. After
// probesToPass probes in a row it is used again, with slow start.
type failureRecord struct {
	// failed and succeeded are the weights of the latest outcomes as of decayedAt.
	failed, succeeded float64
	decayedAt         time.Time
	// streak is the weight of the failures since the latest success.
	streak float64
	// ownFailedAt is the time of this instance's latest failure.
	ownFailedAt time.Time
	// reports contains the failures that other instances report.
	reports map[ident.Incarnation]failureReports
	// avoidedAt is the time since which the upstream is avoided; zero if it isn't. Until then
	// strikes is the number of times in a row that it was avoided.
	avoidedAt time.Time
	strikes   int
	// probeAt is the time after which the next probe may be sent, and probeInterval the time
	// to the one after it if it fails. passed counts the probes in a row that succeeded.
	probeAt       time.Time
	probeInterval time.Duration
	passed        int
	// usedAgainAt is the time at which the latest avoidance ended.
	usedAgainAt time.Time
}

// failureReports are the failures at one upstream that one instance reports.
type failureReports struct {
	count    int
	latestAt time.Time
}

// poolFailures contains the failures in a pool.
type poolFailures struct {
	// latestAt is the time of the latest failure; zero if there was none.
	latestAt time.Time
	// failed and succeeded are the sums of the weights of the upstreams in use as of summedAt,
	// which is zero if they have changed since. Each decision needs them many times.
	failed, succeeded float64
	summedAt          time.Time
	// reporters contains the other instances that reported outcomes.
	reporters map[ident.Incarnation]*reporter
}

// reporter contains what another instance reported of a pool.
type reporter struct {
	// failedAt is the time of the latest failure at each upstream.
	failedAt map[string]time.Time
	// succeeded is the weight of its successes as of decayedAt.
	succeeded float64
	decayedAt time.Time
}

func (p *poolFailures) reporter(now time.Time, instance ident.Incarnation) *reporter {
	r := p.reporters[instance]
	if r == nil {
		if p.reporters == nil {
			p.reporters = map[ident.Incarnation]*reporter{}
		}
		r = &reporter{failedAt: map[string]time.Time{}, decayedAt: now}
		p.reporters[instance] = r
	}
	r.succeeded *= math.Exp(-now.Sub(r.decayedAt).Seconds() / evidenceTime.Seconds())
	r.decayedAt = now
	return r
}

// credibility returns the weight of a failure at an upstream that the instance reports. If it
// also reports failures of others, and few successes, its own links are the likely cause.
func (r *reporter) credibility(upstream string) float64 {
	elsewhere := len(r.failedAt)
	if _, ok := r.failedAt[upstream]; ok {
		elsewhere--
	}
	return (r.succeeded + 1) / (r.succeeded + 1 + float64(elsewhere))
}

const (
	// outcomeWeight is the share of the estimate that one outcome replaces, so that it follows
	// the latest 5 or so. After a change, a few requests must suffice.
	outcomeWeight = 0.2
	// evidenceTime is the time constant with which outcomes are forgotten.
	evidenceTime = 10 * time.Second
	// priorOutcomes is the number of outcomes at the pool's rate that are assumed in addition.
	priorOutcomes = 1
	// otherWeight is the number of successes assumed of the rest of a pool, so that a single
	// failure is not yet its usual rate.
	otherWeight = 4
	// avoidShare is the estimated share of failures from which an upstream is avoided, if it
	// exceeds that of its pool by avoidExcess, and minFailed the minimum weight of failures.
	avoidShare, avoidExcess, minFailed = 0.5, 0.4, 1.5
	// avoidStreak is the weight of failures in a row from which an upstream is avoided even
	// if it did well before.
	avoidStreak = 2.5
	// credibleFailure is the weight of failures in a row from which an upstream is avoided
	// again in its slow start.
	credibleFailure = 0.75
	// remoteWeight is the weight of a failure at an upstream of this data centre that an
	// instance of another one reports. The links between them may be the cause, and the
	// instances here notice soon whether it is the upstream.
	remoteWeight = 0.25
	// repeatWeight is the weight of each further failure that one instance reports of an
	// upstream relative to the one before, so that one instance adds at most 2.
	repeatWeight = 0.5
	// Probes of an avoided upstream are sent after firstProbe, and after twice that time after
	// each failed one, up to longestProbe. An upstream that recovers must be used again within
	// some 2 s. Each time it is avoided again within strikeTime after its return, the first
	// probe is sent later, up to longestFirstProbe.
	firstProbe        = 500 * time.Millisecond
	longestProbe      = 2 * time.Second
	longestFirstProbe = 4 * time.Second
	strikeTime        = 20 * time.Second
	// onceOnlyProbeDelay is the additional time before a request that can't be repeated
	// becomes a probe.
	onceOnlyProbeDelay = 1 * time.Second
	// probeSpread is the time in which the share of the requests that may become a probe
	// grows to 1. All instances may send one until they hear of another's.
	probeSpread = 1 * time.Second
	// probesToPass is the number of successes in a row after which an upstream is used again.
	probesToPass = 3
	// repeatableFailureCost and onceOnlyFailureCost are the costs of a request that certainly
	// fails: the delay of a repeat, and a lost answer.
	repeatableFailureCost = 2 * time.Second
	onceOnlyFailureCost   = 10 * time.Second
	// unconfirmedFailureCost is the maximum cost while a single other instance reports
	// failures, whose own links may be the cause.
	unconfirmedFailureCost = 1 * time.Second
	// The same for calls, as a load in requests per slot.
	repeatableFailureLoad = 1.0
	onceOnlyFailureLoad   = 5.0
	// probePreference makes a request that may be a probe choose the avoided upstream.
	probePreference = 1 * time.Hour
	// negligibleShare is the estimated share of failures below which explanations omit it.
	negligibleShare = 0.01
)

// UpstreamAvoided reports that an upstream is avoided because it fails requests, or that it
// is used again.
type UpstreamAvoided struct {
	Upstream, DataCentre string
	Avoided              bool
	// FailedShare is the estimated share of requests that fail there, and PoolShare that of
	// the other upstreams of its pool.
	FailedShare, PoolShare float64
	// Reporters is the number of other instances that report failures.
	Reporters int
	// AvoidedFor is the time for which the upstream was avoided; zero if it is now.
	AvoidedFor time.Duration
}

func (UpstreamAvoided) decideAction() {}

// decay reduces the weights by their age.
func (r *failureRecord) decay(now time.Time) {
	if r.failed+r.succeeded > 0 && now.After(r.decayedAt) {
		factor := math.Exp(-now.Sub(r.decayedAt).Seconds() / evidenceTime.Seconds())
		r.failed, r.succeeded = r.failed*factor, r.succeeded*factor
	}
	r.decayedAt = now
}

// add adds an outcome with a weight of at most 1.
func (r *failureRecord) add(now time.Time, failed bool, weight float64) {
	r.decay(now)
	keep := 1 - outcomeWeight*weight
	r.failed, r.succeeded = r.failed*keep, r.succeeded*keep
	if failed {
		r.failed += weight
		r.streak += weight
		return
	}
	r.succeeded += weight
	r.streak = 0
}

func (r *failureRecord) isAvoided() bool { return !r.avoidedAt.IsZero() }

// recentReporters returns the number of other instances that reported failures lately.
func (r *failureRecord) recentReporters(now time.Time) int {
	count := 0
	for _, reports := range r.reports {
		if now.Sub(reports.latestAt) < evidenceTime {
			count++
		}
	}
	return count
}

// isConfirmed reports whether two other instances, or this one, have seen failures lately.
func (r *failureRecord) isConfirmed(now time.Time) bool {
	return !r.ownFailedAt.IsZero() && now.Sub(r.ownFailedAt) < evidenceTime || r.recentReporters(now) >= 2
}

// probeDue reports whether the request may be a probe of the upstream.
func (r *failureRecord) probeDue(now time.Time, request *Request, salt uint64) bool {
	due := r.probeAt
	if !request.Repeatable {
		due = due.Add(onceOnlyProbeDelay)
	}
	return now.After(due) && hashFraction(request.ID, salt) < float64(now.Sub(due))/float64(probeSpread)
}

// placed defers the next probe, because a request was sent.
func (r *failureRecord) placed(now time.Time) {
	r.probeAt = now.Add(max(firstProbe, r.probeInterval))
}

// trafficShare returns the share of its usual traffic that the upstream gets: 0 while it
// is avoided, and 1 when it has been used again for slowStartTime.
func (r *failureRecord) trafficShare(now time.Time) float64 {
	switch {
	case r.isAvoided():
		return 0
	case r.usedAgainAt.IsZero():
		return 1
	}
	return min(1, slowStartShare+(1-slowStartShare)*float64(now.Sub(r.usedAgainAt))/float64(slowStartTime))
}

// trafficShare returns the share of its usual traffic that the upstream gets.
func (u *upstream) trafficShare(now time.Time) float64 {
	return u.health.trafficShare(now) * u.failures.trafficShare(now)
}

// isUpstreamFailure reports whether the reason shows that the upstream failed the request. An
// unreachable upstream loses no request, and the links of the instance may be the cause; a
// request that timed out may have waited for its turn, and one that was refused has not run.
func isUpstreamFailure(r verdict.Reason) bool {
	switch r {
	case verdict.UpstreamLost, verdict.UpstreamFailed, verdict.AnswerMismatch, verdict.GenerationLost:
		return true
	}
	return false
}

// recordOwnFailure records that an upstream failed a request of this instance.
func (s *Scheduler) recordOwnFailure(now time.Time, e Failed) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Leaving || s.isLost(u.Pool) || !isUpstreamFailure(e.Reason) {
		return
	}
	sentAt, began := now, false
	if f := u.find(e.ID); f != nil {
		f.failed = true
		sentAt, began = f.sentAt, f.tokens > 0
	}
	u.failures.ownFailedAt = now
	s.recordOutcome(now, u, sentAt, true, began, 1)
}

// recordPeerFailure records that an upstream failed a request of another instance. It is
// called once for each request, as long as the request is known.
func (s *Scheduler) recordPeerFailure(now time.Time, f *inFlight, remote bool) {
	u := s.upstreams[f.upstream]
	if u == nil || u.Leaving {
		return
	}
	instance := f.ID.Home.Incarnation
	from := s.pool(u.Pool).failures.reporter(now, instance)
	from.failedAt[u.Name] = now
	if u.failures.reports == nil {
		u.failures.reports = map[ident.Incarnation]failureReports{}
	}
	if remote && s.isLocal(u) {
		s.recordOutcome(now, u, f.sentAt, true, f.tokens > 0, remoteWeight*from.credibility(u.Name))
		return
	}
	reports := u.failures.reports[instance]
	if now.Sub(reports.latestAt) > evidenceTime {
		reports.count = 0
	}
	weight := math.Pow(repeatWeight, float64(reports.count)) * from.credibility(u.Name)
	u.failures.reports[instance] = failureReports{reports.count + 1, now}
	s.recordOutcome(now, u, f.sentAt, true, f.tokens > 0, weight)
}

// releaseFailed removes a request that is placed again from its upstream, and notifies the
// other instances if the upstream has failed it.
func (s *Scheduler) releaseFailed(now time.Time, id ident.Request) {
	if f := s.release(now, id); f != nil && f.failed && f.Class.Kind == config.Stream {
		s.notify(Notice{Kind: NoticeEnded, Request: Request{ID: id}, Upstream: f.upstream, Tokens: f.tokens, Failed: true})
	}
}

// recordSuccess records that a request has begun or was completed.
func (s *Scheduler) recordSuccess(now time.Time, u *upstream, f *inFlight) {
	if f.handledByPeer {
		s.pool(u.Pool).failures.reporter(now, f.ID.Home.Incarnation).succeeded++
	}
	s.recordOutcome(now, u, f.sentAt, false, false, 1)
}

// recordOutcome records the outcome of a request that was sent to the upstream at the given
// time, and avoids the upstream or uses it again if necessary. The failure of a request that
// had begun replaces the success that was recorded then.
func (s *Scheduler) recordOutcome(now time.Time, u *upstream, sentAt time.Time, failed, began bool, weight float64) {
	r := &u.failures
	if failed && began {
		r.decay(now)
		r.succeeded = max(0, r.succeeded-weight)
	}
	r.add(now, failed, weight)
	failures := &s.pool(u.Pool).failures
	failures.summedAt = time.Time{}
	if failed {
		failures.latestAt = now
	}
	switch {
	case r.isAvoided() && !sentAt.After(r.avoidedAt):
		// Only probes show whether the upstream has recovered.
	case r.isAvoided() && failed:
		r.passed = 0
		r.probeInterval = min(max(longestProbe, r.probeInterval), 2*r.probeInterval)
		r.probeAt = now.Add(r.probeInterval)
	case r.isAvoided():
		r.passed++
		r.probeAt = now.Add(-probeSpread)
		if r.passed >= probesToPass {
			s.useAgain(now, u)
		}
	case failed && s.mustAvoid(now, u):
		s.avoid(now, u)
	}
}

// mustAvoid reports whether the upstream fails so many requests that it is to be avoided. At
// least two instances must have seen it, or this one, and at most maxEjectedShare of a pool
// is avoided at a time.
func (s *Scheduler) mustAvoid(now time.Time, u *upstream) bool {
	r := &u.failures
	// After its return, one credible failure shows that the upstream has not recovered.
	failsAgain := now.Sub(r.usedAgainAt) < slowStartTime && r.streak >= credibleFailure
	if !failsAgain && !r.isConfirmed(now) {
		return false
	}
	share, poolShare := s.failureShare(now, u)
	failsMost := share >= avoidShare && share-poolShare >= avoidExcess && r.failed >= minFailed
	// If requests fail everywhere, failures in a row are likely.
	failsInARow := r.streak >= avoidStreak/math.Pow(1-poolShare, 2)
	if poolShare >= avoidShare || !failsAgain && !failsMost && !failsInARow {
		return false
	}
	avoided, total := 1, 0
	for _, other := range s.listed(u.Pool) {
		total++
		if other != u && other.trafficShare(now) == 0 {
			avoided++
		}
	}
	return float64(avoided) <= maxEjectedShare*float64(total)
}

func (s *Scheduler) avoid(now time.Time, u *upstream) {
	r := &u.failures
	if now.Sub(r.usedAgainAt) > strikeTime {
		r.strikes = 0
	}
	share, poolShare := s.failureShare(now, u)
	s.pool(u.Pool).failures.summedAt = time.Time{}
	r.avoidedAt, r.passed = now, 0
	r.probeInterval = min(longestFirstProbe, firstProbe<<min(r.strikes, 8))
	r.probeAt = now.Add(r.probeInterval)
	r.strikes++
	s.outgoing = append(s.outgoing, UpstreamAvoided{Upstream: u.Name, DataCentre: u.DataCentre, Avoided: true, FailedShare: share, PoolShare: poolShare, Reporters: r.recentReporters(now)})
}

func (s *Scheduler) useAgain(now time.Time, u *upstream) {
	r := &u.failures
	avoidedFor := now.Sub(r.avoidedAt)
	r.avoidedAt, r.usedAgainAt, r.probeInterval = time.Time{}, now, 0
	// The failures are of the past; the slow start protects from another.
	r.failed, r.streak, r.reports = 0, 0, nil
	s.pool(u.Pool).failures.summedAt = time.Time{}
	share, poolShare := s.failureShare(now, u)
	s.outgoing = append(s.outgoing, UpstreamAvoided{Upstream: u.Name, DataCentre: u.DataCentre, FailedShare: share, PoolShare: poolShare, AvoidedFor: avoidedFor})
}

// failureShare returns the estimated probability that the upstream fails the next request,
// and that of the other upstreams of its pool that are in use.
func (s *Scheduler) failureShare(now time.Time, u *upstream) (share, poolShare float64) {
	if latest := s.pool(u.Pool).failures.latestAt; latest.IsZero() || now.Sub(latest) > 3*evidenceTime {
		return 0, 0
	}
	u.failures.decay(now)
	p := s.sumFailures(now, u.Pool)
	failed, succeeded := p.failed, p.succeeded
	if !u.failures.isAvoided() {
		failed, succeeded = max(0, failed-u.failures.failed), max(0, succeeded-u.failures.succeeded)
	}
	poolShare = failed / (failed + succeeded + otherWeight)
	return (u.failures.failed + priorOutcomes*poolShare) / (u.failures.failed + u.failures.succeeded + priorOutcomes), poolShare
}

// sumFailures sums the outcomes at the upstreams of a pool that are in use.
func (s *Scheduler) sumFailures(now time.Time, pool string) *poolFailures {
	p := &s.pool(pool).failures
	if now.Sub(p.summedAt) < maxForecastAge {
		return p
	}
	p.failed, p.succeeded, p.summedAt = 0, 0, now
	for _, u := range s.listed(pool) {
		if !u.failures.isAvoided() {
			u.failures.decay(now)
			p.failed, p.succeeded = p.failed+u.failures.failed, p.succeeded+u.failures.succeeded
		}
	}
	return p
}

// excessFailures returns by how much the upstream's estimated share of failures exceeds that
// of its pool.
func (s *Scheduler) excessFailures(now time.Time, u *upstream) float64 {
	share, poolShare := s.failureShare(now, u)
	return max(0, share-poolShare)
}

// failureCost returns the cost of sending the request to an engine that may fail it. An
// avoided upstream is a candidate only for a probe.
func (s *Scheduler) failureCost(now time.Time, r *Request, u *upstream) time.Duration {
	if u.failures.isAvoided() {
		return -probePreference
	}
	cost := onceOnlyFailureCost
	if r.Repeatable {
		cost = repeatableFailureCost
	}
	share, poolShare := s.failureShare(now, u)
	expected, usual := time.Duration(share*float64(cost)), time.Duration(poolShare*float64(cost))
	switch {
	case expected <= usual:
	case u.failures.probeDue(now, r, u.hash):
		// Without requests, the estimate of a sound upstream would not recover.
		return usual
	case !u.failures.isConfirmed(now):
		return min(expected, usual+unconfirmedFailureCost)
	}
	return expected
}

// failureLoad is like failureCost, as a load in requests per slot.
func (s *Scheduler) failureLoad(now time.Time, r *Request, u *upstream) float64 {
	if u.failures.isAvoided() {
		return -probePreference.Seconds()
	}
	load := onceOnlyFailureLoad
	if r.Repeatable || r.Class.Kind == config.Read {
		load = repeatableFailureLoad
	}
	share, poolShare := s.failureShare(now, u)
	if share > poolShare && u.failures.probeDue(now, r, u.hash) {
		share = poolShare
	}
	return share * load
}

// withoutAvoided removes the avoided upstreams that the request doesn't probe, unless no
// others are left.
func (s *Scheduler) withoutAvoided(now time.Time, r *Request, live []*upstream) []*upstream {
	var used []*upstream
	for _, u := range live {
		if !u.failures.isAvoided() || u.failures.probeDue(now, r, u.hash) {
			used = append(used, u)
		}
	}
	if len(used) == 0 {
		return live
	}
	return used
}

// failureText returns the estimated share of failures for an explanation; empty if it is
// negligible.
func (s *Scheduler) failureText(now time.Time, u *upstream) string {
	share, poolShare := s.failureShare(now, u)
	switch {
	case u.failures.isAvoided():
		return fmt.Sprintf("; probe of an avoided upstream, %.2f of its requests are expected to fail", share)
	case share < negligibleShare:
		return ""
	}
	return fmt.Sprintf("; %.2f of its requests are expected to fail, %.2f elsewhere in the pool", share, poolShare)
}

// Avoided returns the number of upstreams that are avoided.
func (s *Scheduler) Avoided() int {
	count := 0
	for _, u := range s.upstreams {
		if u.failures.isAvoided() {
			count++
		}
	}
	return count
}

// expireFailureReports forgets what other instances reported too long ago.
func (s *Scheduler) expireFailureReports(now time.Time) {
	for _, u := range s.upstreams {
		maps.DeleteFunc(u.failures.reports, func(_ ident.Incarnation, r failureReports) bool { return now.Sub(r.latestAt) > evidenceTime })
	}
	for _, p := range s.pools {
		for instance, r := range p.failures.reporters {
			for name, at := range r.failedAt {
				if now.Sub(at) > evidenceTime {
					delete(r.failedAt, name)
				}
			}
			if len(r.failedAt) == 0 && now.Sub(r.decayedAt) > evidenceTime {
				delete(p.failures.reporters, instance)
			}
		}
	}
}
