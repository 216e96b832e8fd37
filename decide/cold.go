package decide

import (
	"fmt"
	"math"
	"time"

	"mangoloft/ident"
)

// Cold upstreams. An upstream that has just started, or whose data centre was just taken back
// into use, bears only a known rate of requests from all instances together and crashes well
// above it. The load that matters is a burst over all instances in the first second, so no
// instance may wait for a round trip, and a part of the fleet that hears no others must not
// exceed its part of the rate.
//
// Each instance keeps two token buckets for a cold upstream. The first is filled at the rate
// of the whole fleet and charged with all requests that the instance knows of, the second at
// the rate of its data centre and charged with those of its data centre. Both must allow a
// request. The rate of a data centre is its share of the instances. It is more, up to what the
// other data centres leave unused, only while all of them have been heard since the upstream
// became cold, and lately.

// ColdBounds limit the requests to a cold upstream in any second: Overage times the rate that
// it bears, and Slack more. With the zero value cold upstreams are treated like others.
type ColdBounds struct{ Overage, Slack float64 }

// ColdSource is the origin of the knowledge that an upstream is cold.
type ColdSource uint8

const (
	// ColdFromList is the upstream's entry in the list, or the start of its incarnation.
	ColdFromList ColdSource = iota
	// ColdFromAnswer is a response of the upstream to this instance.
	ColdFromAnswer
	// ColdFromPeer is a response to another instance.
	ColdFromPeer
	// ColdFromDataCentre is the return of a data centre.
	ColdFromDataCentre
)

var coldSourceNames = [...]string{ColdFromList: "list", ColdFromAnswer: "answer", ColdFromPeer: "peer", ColdFromDataCentre: "data_centre"}

// String returns the source's name in snake case.
func (s ColdSource) String() string { return coldSourceNames[s] }

// ColdReported contains until when an upstream is cold, as it declared in a response; a past
// time if it no longer is.
type ColdReported struct {
	Upstream    string
	Incarnation ident.Incarnation
	Until       time.Time
}

// ColdAssumed reports that all upstreams of a data centre count as cold, because nothing was
// sent to them before.
type ColdAssumed struct {
	DataCentre string
	// Until is the end of the assumption. If it is zero, each upstream counts as cold for its
	// cold start time and coldReturnMargin.
	Until time.Time
}

func (ColdReported) decideEvent() {}
func (ColdAssumed) decideEvent()  {}

// ColdChanged reports that an upstream has become cold, that the end of its cold time has
// changed, or with a past Until that it no longer is cold.
type ColdChanged struct {
	Upstream  string
	Until     time.Time
	Source    ColdSource
	PerSecond float64
	// Share is the part of the rate that the instances of the local data centre may use
	// without knowledge of the others.
	Share float64
}

func (ColdChanged) decideAction() {}

const (
	// coldUsedShare is the planned use of the rate. The rest is for requests of which
	// notices were lost.
	coldUsedShare = 0.92
	// coldSpreadShare is the share of the bounds' excess over the rate that may be saved up in
	// a bucket. The rest is for requests that instances send before they hear of each other's.
	coldSpreadShare = 0.28
	// coldSpreadSeconds limits it for low rates, whose tokens would take long to save up.
	coldSpreadSeconds = 0.3
	// minColdSpread is the least number of tokens beyond the first at which any request may
	// use one.
	minColdSpread = 0.5
	// coldPatience is the exponent by which requests wait for more than one token: the larger,
	// the fewer use the same token before a notice of its use arrives.
	coldPatience = 2
	// coldUseMemory is the time constant with which the use by other data centres is forgotten.
	// It is longer than coldHearing: right after a split all still seem to leave their part
	// unused.
	coldUseMemory = 5 * time.Second
	// coldPriorTime is the time constant with which the assumption that other data centres use
	// their whole share gives way to the measured use.
	coldPriorTime = 150 * time.Millisecond
	// coldHearing is the time for which a data centre counts as heard after a notice from it,
	// and coldAnswerInterval the least time between two notices by which a data centre
	// without requests shows that it hears. Two of these may be lost.
	// The use by others is measured only within coldMeasuring after a notice from each, because
	// after a split it would seem to fall.
	coldHearing        = 600 * time.Millisecond
	coldMeasuring      = 350 * time.Millisecond
	coldAnswerInterval = 180 * time.Millisecond
	// maxHeard is the maximum number of data centres that are remembered, far above the number
	// that exist: datagrams are not authenticated.
	maxHeard = 100
	// coldDoubt is the time by which what is assumed or listed about an upstream may be behind
	// what it declares itself: entries are written about every 1.2 s, and read up to a second
	// later.
	coldDoubt = 2200 * time.Millisecond
	// coldReturnMargin is the time by which upstreams of a data centre that returns count as
	// cold for longer than their cold start time: instances learn of the return at different
	// times.
	coldReturnMargin = 2 * time.Second
	// coldTolerance is the difference of two ends of a cold time that count as equal.
	coldTolerance = 250 * time.Millisecond
)

// coldState is the cold time of an upstream, and the use of the rate that it bears.
type coldState struct {
	since, until time.Time
	source       ColdSource
	// announced is true from a ColdChanged action until the one for the end.
	announced bool
	// declaredAt is the time of the latest declaration in a response, assumedAt that of the
	// latest assumption, and listedUntil the end according to the list.
	declaredAt, assumedAt, listedUntil time.Time
	// declaredHere reports whether this instance got the response. Only such a declaration is
	// told to others: with each repetition it would become later by the transit time.
	declaredHere bool
	// all is the bucket of the whole fleet, and local that of the local data centre.
	all, local coldBucket
	// othersUse is the number of recent requests of other data centres as of othersAt, and
	// othersTime the time in seconds in which they were counted, both weighted by age. heardAt
	// are the times of the latest notices from each data centre.
	othersUse, othersTime float64
	othersAt              time.Time
	heardAt               map[string]time.Time
	// answeredAt is the time of the latest notice from the local data centre.
	answeredAt time.Time
}

// coldBucket is a token bucket.
type coldBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *coldBucket) refill(now time.Time, rate, spread float64) {
	b.tokens = min(1+spread, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
}

func (b *coldBucket) take(count int, rate float64) {
	b.tokens = max(-maxDebtSeconds*rate, b.tokens-float64(count))
}

// coldRates are the rates in requests per second and the sizes of an upstream's buckets.
type coldRates struct{ all, local, spread, localSpread float64 }

// SetColdBounds sets the bounds for cold upstreams.
func (s *Scheduler) SetColdBounds(b ColdBounds) { s.coldBounds = b }

// SetDataCentres sets the number of live instances of each data centre, including this one in
// its own.
func (s *Scheduler) SetDataCentres(instances map[string]int) { s.instancesIn = instances }

// otherDataCentres calls visit for each other data centre that has instances or upstreams.
func (s *Scheduler) otherDataCentres(visit func(name string, instances int)) {
	own := max(1, s.instancesIn[s.dataCentre])
	seen := map[string]bool{s.dataCentre: true}
	for name, n := range s.instancesIn {
		if !seen[name] && n > 0 {
			seen[name] = true
			visit(name, n)
		}
	}
	for _, u := range s.upstreams {
		if !seen[u.DataCentre] {
			// Its instances haven't been heard yet, perhaps because of a partition.
			seen[u.DataCentre] = true
			visit(u.DataCentre, own)
		}
	}
}

// localShare returns the share of the local data centre in all instances, known or assumed.
func (s *Scheduler) localShare() float64 {
	own := max(1, s.instancesIn[s.dataCentre])
	total := own
	s.otherDataCentres(func(_ string, instances int) { total += instances })
	return float64(own) / float64(total)
}

// hearsAll reports whether notices about the upstream have arrived from all other data
// centres within a time and since it became cold.
func (s *Scheduler) hearsAll(now time.Time, c *coldState, within time.Duration) bool {
	all := true
	s.otherDataCentres(func(name string, _ int) {
		heardAt := c.heardAt[name]
		all = all && heardAt.After(c.since) && now.Sub(heardAt) < within
	})
	return all
}

// isCold reports whether the upstream is cold and bears a limited rate of requests.
func (s *Scheduler) isCold(now time.Time, u *upstream) bool {
	return s.coldBounds.Overage > 0 && u.ColdPerSecond > 0 && now.Before(u.cold.until)
}

// coldRates returns the rates and sizes of the upstream's buckets.
func (s *Scheduler) coldRates(now time.Time, u *upstream) coldRates {
	c, share := &u.cold, s.localShare()
	excess := max(0, s.coldBounds.Overage-1)*u.ColdPerSecond + s.coldBounds.Slack
	r := coldRates{all: coldUsedShare * u.ColdPerSecond, spread: max(minColdSpread, min(coldSpreadShare*excess, coldSpreadSeconds*u.ColdPerSecond))}
	r.local, r.localSpread = share*r.all, max(minColdSpread, r.spread*share)
	if share < 1 && s.hearsAll(now, c, coldHearing) {
		r.local = max(r.local, r.all-c.othersRate(r.all*(1-share)))
		r.localSpread = r.spread * r.local / r.all
	}
	return r
}

// othersRate returns the rate of requests of other data centres, which count as using their whole
// share until their use has been measured.
func (c *coldState) othersRate(share float64) float64 {
	unmeasured := math.Exp(-c.othersTime / coldPriorTime.Seconds())
	return unmeasured*share + (1-unmeasured)*c.othersUse/max(c.othersTime, coldPriorTime.Seconds())
}

// observeOthers updates the measured use by other data centres with a number of requests. The time
// in which not all are heard doesn't count: it says nothing about their use.
func (c *coldState) observeOthers(now time.Time, hearsAll bool, count int) {
	elapsed := now.Sub(c.othersAt).Seconds()
	c.othersAt = now
	if !hearsAll {
		return
	}
	weight := math.Exp(-elapsed / coldUseMemory.Seconds())
	c.othersUse = c.othersUse*weight + float64(count)
	c.othersTime = c.othersTime*weight + elapsed
}

// coldAllows reports whether a request with a fraction in (0, 1) may be sent to the upstream.
func (s *Scheduler) coldAllows(now time.Time, u *upstream, fraction float64) bool {
	switch {
	case !s.isCold(now, u):
		return true
	case u.CapacityTokens > 0:
		return float64(u.sentSince(now.Add(-time.Second))) < s.coldEngineRate(u)
	}
	r, c := s.refillCold(now, u), &u.cold
	patience := math.Pow(fraction, 1.0/coldPatience)
	return c.all.tokens >= 1+patience*r.spread && c.local.tokens >= 1+patience*r.localSpread
}

// coldEngineRate returns the number of requests in a second up to which a cold engine gets more
// from this data centre. Notices of placements tell the instances of a data centre, and of that of
// the engine, of each request there, so engines need no notices of use, which go to the whole
// fleet.
func (s *Scheduler) coldEngineRate(u *upstream) float64 {
	if s.isLocal(u) {
		return coldEngineShare * u.ColdPerSecond
	}
	return coldEngineShare * u.ColdPerSecond * s.localShare()
}

// coldEngineShare leaves room for requests whose notices are under way.
const coldEngineShare = 0.8

// sentSince returns the number of known requests that were sent to the upstream after a time.
func (u *upstream) sentSince(t time.Time) int {
	count := 0
	for _, list := range [][]*inFlight{u.requests, u.departed} {
		for _, f := range list {
			if f.sentAt.After(t) {
				count++
			}
		}
	}
	return count
}

func (s *Scheduler) refillCold(now time.Time, u *upstream) coldRates {
	u.cold.observeOthers(now, s.hearsAll(now, &u.cold, coldMeasuring), 0)
	r := s.coldRates(now, u)
	u.cold.all.refill(now, r.all, r.spread)
	u.cold.local.refill(now, r.local, r.localSpread)
	return r
}

// takeCold records requests that were sent from a data centre.
func (s *Scheduler) takeCold(now time.Time, u *upstream, dataCentre string, count int) {
	if !s.isCold(now, u) {
		return
	}
	r, c := s.refillCold(now, u), &u.cold
	c.all.take(count, r.all)
	if dataCentre == s.dataCentre {
		c.local.take(count, r.all)
		return
	}
	c.observeOthers(now, s.hearsAll(now, c, coldMeasuring), count)
}

// useCold records that this instance sends a request to the upstream, and tells the others.
// It reports whether the upstream is cold.
func (s *Scheduler) useCold(now time.Time, u *upstream) bool {
	if !s.isCold(now, u) || u.CapacityTokens > 0 {
		return false
	}
	s.takeCold(now, u, s.dataCentre, 1)
	u.cold.answeredAt = now
	return true
}

// setCold sets the end of the cold time. The buckets of an upstream that becomes cold have only
// one token, or a part of it: how many requests were sent just before is unknown.
func (s *Scheduler) setCold(now time.Time, u *upstream, until time.Time, source ColdSource) bool {
	c := &u.cold
	wasCold := now.Before(c.until)
	if !wasCold && !until.After(now) {
		return false
	}
	changed := until.Sub(c.until).Abs() > coldTolerance || !wasCold
	if !wasCold {
		c.heardAt, c.othersAt, c.othersTime, c.othersUse = nil, now, 0, 0
		c.since, c.all, c.local = now, coldBucket{tokens: 1, refilledAt: now}, coldBucket{refilledAt: now}
		c.local.tokens = min(1, s.coldRates(now, u).localSpread/2)
	}
	c.until = until
	if !changed || s.coldBounds.Overage == 0 || u.ColdPerSecond == 0 {
		return false
	}
	c.source, c.announced = source, until.After(now)
	s.outgoing = append(s.outgoing, ColdChanged{Upstream: u.Name, Until: until, Source: source, PerSecond: u.ColdPerSecond, Share: s.localShare()})
	return true
}

// extendCold makes the upstream cold at least until the given time.
func (s *Scheduler) extendCold(now time.Time, u *upstream, until time.Time, source ColdSource) bool {
	return until.After(u.cold.until) && s.setCold(now, u, until, source)
}

// applyListedCold applies the end of the cold time according to the list. The list may be
// behind what the upstream has declared in a response.
func (s *Scheduler) applyListedCold(now time.Time, u *upstream) {
	c := &u.cold
	if u.ColdUntil.Equal(c.listedUntil) {
		return
	}
	c.listedUntil = u.ColdUntil
	if now.Sub(c.declaredAt) > coldDoubt {
		s.extendCold(now, u, u.ColdUntil, ColdFromList)
	}
}

// handleColdReported applies what an upstream declared, and tells the others if it is new.
func (s *Scheduler) handleColdReported(now time.Time, e ColdReported) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	if s.declareCold(now, u, e.Until, now, ColdFromAnswer) {
		s.notifyLimit(u, 0)
	}
}

// declareCold applies what an upstream declared at heardAt.
func (s *Scheduler) declareCold(now time.Time, u *upstream, until, heardAt time.Time, source ColdSource) bool {
	c := &u.cold
	if !heardAt.After(c.declaredAt) {
		return false
	}
	if c.source == ColdFromDataCentre && heardAt.Sub(c.assumedAt) < coldDoubt {
		// The response may be from before the data centre's return.
		return s.extendCold(now, u, until, source)
	}
	c.declaredAt, c.declaredHere = heardAt, source == ColdFromAnswer
	return s.setCold(now, u, until, source)
}

// handleColdAssumed makes all upstreams of a data centre count as cold.
func (s *Scheduler) handleColdAssumed(now time.Time, e ColdAssumed) {
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.DataCentre != e.DataCentre {
			continue
		}
		until := e.Until
		if until.IsZero() {
			until = now.Add(u.ColdStart + coldReturnMargin)
		}
		u.cold.assumedAt = now
		if !s.extendCold(now, u, until, ColdFromDataCentre) {
			continue
		}
		u.cold.source = ColdFromDataCentre
	}
}

// handleColdNotice applies the part of a notice of another instance that concerns the cold
// time.
func (s *Scheduler) handleColdNotice(now time.Time, u *upstream, n LimitNotice) {
	if !n.ColdHeardAt.IsZero() {
		s.declareCold(now, u, n.ColdUntil, n.ColdHeardAt, ColdFromPeer)
	}
	if n.DataCentre == "" || !s.isCold(now, u) {
		return
	}
	s.takeCold(now, u, n.DataCentre, n.Sent)
	c := &u.cold
	if n.DataCentre == s.dataCentre {
		c.answeredAt = now
		return
	}
	if c.heardAt == nil {
		c.heardAt = map[string]time.Time{}
	}
	if len(c.heardAt) < maxHeard {
		c.heardAt[n.DataCentre] = now
	}
	// One instance shows the others that this data centre hears them.
	if n.Sent > 0 && now.Sub(c.answeredAt) >= coldAnswerInterval && s.isFirstLocally() {
		c.answeredAt = now
		s.notifyLimit(u, 0)
	}
}

// isFirstLocally reports whether this instance has the lowest control address of its data
// centre.
func (s *Scheduler) isFirstLocally() bool {
	for _, m := range s.localMembers {
		if m.Control.Compare(s.self) < 0 {
			return false
		}
	}
	return s.self.IsValid()
}

// expireCold reports the upstreams whose cold time has ended.
func (s *Scheduler) expireCold(now time.Time) {
	for _, name := range s.order {
		if u := s.upstreams[name]; u.cold.announced && !now.Before(u.cold.until) {
			u.cold.announced = false
			s.outgoing = append(s.outgoing, ColdChanged{Upstream: name, Until: u.cold.until, Source: u.cold.source, PerSecond: u.ColdPerSecond, Share: s.localShare()})
		}
	}
}

// Cold returns the number of upstreams that are cold and bear a limited rate of requests.
func (s *Scheduler) Cold(now time.Time) int {
	count := 0
	for _, u := range s.upstreams {
		if s.isCold(now, u) {
			count++
		}
	}
	return count
}

// coldText explains how much of its rate a cold upstream has left.
func (s *Scheduler) coldText(now time.Time, u *upstream) string {
	if !s.isCold(now, u) {
		return ""
	}
	return fmt.Sprintf("; cold for %v, %.1f of its rate of %.4g/s available here, %.1f in all", u.cold.until.Sub(now).Round(time.Millisecond), u.cold.local.tokens, u.ColdPerSecond, u.cold.all.tokens)
}
