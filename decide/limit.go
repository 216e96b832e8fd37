package decide

import (
	"slices"
	"time"

	"mangoloft/ident"
)

// Limits. An upstream in need declares the rate of requests that it accepts from all
// instances together. Every instance keeps a token bucket for it, which all instances
// fill at the declared rate, and tells the others of each request that it sends there, so
// that the buckets are nearly equal. This uses the whole limit whichever instances get
// the requests, which a fixed share for each instance does not.
//
// Between the use of a token and the notice of it, others may use the same token. The
// buckets then go into debt, so only a short burst exceeds the limit. The longer a token
// has been available, the more requests may use it: if many instances have requests, the
// first one is likely to be alone.

// LimitReported contains what an upstream declared in a response: the rate of requests
// that it accepts from all instances together, or none.
type LimitReported struct {
	Upstream    string
	Incarnation ident.Incarnation
	Limited     bool
	// PerSecond is the rate in requests per second.
	PerSecond float64
}

// LimitNotice tells other instances of an upstream's limit and of requests sent to it.
type LimitNotice struct {
	Upstream    string
	Incarnation ident.Incarnation
	Limited     bool
	PerSecond   float64
	// HeardAt is the time at which the upstream declared the limit.
	HeardAt time.Time
	// Sent is the number of requests that the sender has sent since its previous
	// notice.
	Sent int
	// DataCentre is that of the sender, and ColdUntil until when the upstream is cold, as it
	// declared at ColdHeardAt; empty and zero if no cold time is known.
	DataCentre             string
	ColdUntil, ColdHeardAt time.Time
}

// LimitNoticeReceived contains a notice from another instance.
type LimitNoticeReceived struct{ Notice LimitNotice }

func (LimitReported) decideEvent()       {}
func (LimitNoticeReceived) decideEvent() {}

// NotifyLimit sends a notice to all other instances.
type NotifyLimit struct{ Notice LimitNotice }

// LimitChanged reports that the known limit of an upstream has changed.
type LimitChanged struct {
	Upstream string
	// Limited and PerSecond are the new limit; Before is the previous rate, 0 if there
	// was none.
	Limited           bool
	PerSecond, Before float64
	// FromPeer reports whether another instance heard it.
	FromPeer bool
}

func (NotifyLimit) decideAction()  {}
func (LimitChanged) decideAction() {}

const (
	// minPerSecond is the rate at which an upstream with a limit of zero still gets
	// requests, to find out whether the limit has ended.
	minPerSecond = 0.25
	// spreadSeconds is the time in which a token becomes available to all requests,
	// at least one token's.
	spreadSeconds = 0.125
	// burstSeconds is the time whose unused tokens are kept, beyond the spread.
	burstSeconds = 0.25
	// maxDebtSeconds is the time after which the bucket is out of debt at the latest.
	maxDebtSeconds = 2
)

// requestLimit is the rate of requests that an upstream accepts from all instances
// together, and the token bucket of its use.
type requestLimit struct {
	// active reports whether there is a limit.
	active    bool
	perSecond float64
	heardAt   time.Time
	// tokens is the number of requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// rate returns the rate at which tokens become available.
func (l *requestLimit) rate() float64 { return max(minPerSecond, l.perSecond) }

// spread is the number of tokens beyond the first at which any request may use one.
func (l *requestLimit) spread() float64 { return max(1, spreadSeconds*l.rate()) }

// capacity returns the maximum number of tokens.
func (l *requestLimit) capacity() float64 { return 1 + l.spread() + burstSeconds*l.rate() }

// set applies a limit that was declared at heardAt. It reports whether it differs from
// the previous one. The bucket of a new limit is empty: how many requests were sent just
// before is unknown.
func (l *requestLimit) set(now time.Time, active bool, perSecond float64, heardAt time.Time) bool {
	if !heardAt.After(l.heardAt) {
		return false
	}
	l.refill(now)
	changed := l.active != active || l.perSecond != perSecond
	if !l.active {
		l.tokens = 0
	}
	l.active, l.perSecond, l.heardAt = active, perSecond, heardAt
	l.tokens = min(l.tokens, l.capacity())
	return changed
}

func (l *requestLimit) refill(now time.Time) {
	if l.active {
		l.tokens = min(l.capacity(), l.tokens+l.rate()*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}

// allows reports whether a request may be sent. Its fraction in (0, 1) determines how
// soon it may use an available token.
func (l *requestLimit) allows(now time.Time, fraction float64) bool {
	if !l.active {
		return true
	}
	l.refill(now)
	return l.tokens >= 1+fraction*l.spread()
}

// take records requests that were sent.
func (l *requestLimit) take(now time.Time, count int) {
	if l.active {
		l.refill(now)
		l.tokens = max(-maxDebtSeconds*l.rate(), l.tokens-float64(count))
	}
}

// handleLimitReported applies what an upstream declared, and tells the others if it is
// new.
func (s *Scheduler) handleLimitReported(now time.Time, e LimitReported) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	if s.setLimit(now, u, e.Limited, e.PerSecond, now, false) {
		s.notifyLimit(u, 0)
	}
}

func (s *Scheduler) setLimit(now time.Time, u *upstream, limited bool, perSecond float64, heardAt time.Time, fromPeer bool) bool {
	before := u.limit.perSecond
	if !u.limit.set(now, limited, perSecond, heardAt) {
		return false
	}
	s.outgoing = append(s.outgoing, LimitChanged{Upstream: u.Name, Limited: limited, PerSecond: perSecond, Before: before, FromPeer: fromPeer})
	return true
}

// handleLimitNotice applies a notice of another instance.
func (s *Scheduler) handleLimitNotice(now time.Time, n LimitNotice) {
	u := s.upstreams[n.Upstream]
	if u == nil || u.Incarnation != n.Incarnation {
		return
	}
	s.setLimit(now, u, n.Limited, n.PerSecond, n.HeardAt, true)
	u.limit.take(now, n.Sent)
	s.handleColdNotice(now, u, n)
}

// useLimit records that this instance sends a request to the upstream.
func (s *Scheduler) useLimit(now time.Time, u *upstream) {
	isCold := s.useCold(now, u)
	if u.limit.active || isCold {
		u.limit.take(now, 1)
		s.notifyLimit(u, 1)
	}
}

func (s *Scheduler) notifyLimit(u *upstream, sent int) {
	l := &u.limit
	n := LimitNotice{Upstream: u.Name, Incarnation: u.Incarnation, Limited: l.active, PerSecond: l.perSecond, HeardAt: l.heardAt, Sent: sent}
	if !u.cold.since.IsZero() && s.coldBounds.Overage > 0 {
		n.DataCentre = s.dataCentre
		if u.cold.declaredHere {
			n.ColdUntil, n.ColdHeardAt = u.cold.until, u.cold.declaredAt
		}
	}
	s.outgoing = append(s.outgoing, NotifyLimit{n})
}

// accepting returns the candidates to which the request may be sent now: those that have
// not asked for a pause, within the limits that they declared or showed.
func (s *Scheduler) accepting(now time.Time, r *Request, candidates []*upstream) []*upstream {
	rejects := func(u *upstream) bool {
		if s.admittedBy(now, r, u).IsValid() {
			return false
		}
		return now.Before(u.pausedUntil) || !s.hasRoom(now, r, u) || !u.limit.allows(now, hashFraction(r.ID, ^u.hash)) || !s.coldAllows(now, u, hashFraction(r.ID, ^u.hash))
	}
	if !slices.ContainsFunc(candidates, rejects) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), rejects)
}

// retryAtLimits returns the retry time of a request that is refused because the upstreams
// are at their limits. Each refused request gets a later one, at the rate that this
// instance's share of the limits allows.
func (s *Scheduler) retryAtLimits(now time.Time, p *pool, limited []*upstream) time.Time {
	rate := 0.0
	for _, u := range limited {
		rate += s.acceptedRate(now, u)
	}
	interval := min(float64(s.instances)/rate, maxRetryDelay.Seconds())
	if p.retryAt.Before(now) || p.retryAt.Sub(now) > maxRetryDelay {
		p.retryAt = now.Add(minRetryDelay)
	}
	p.retryAt = p.retryAt.Add(time.Duration(interval * float64(time.Second)))
	return p.retryAt
}

// acceptedRate returns the rate of requests that an upstream at its limit accepts from all
// instances.
func (s *Scheduler) acceptedRate(now time.Time, u *upstream) float64 {
	switch {
	case !s.isCold(now, u):
		return u.limit.rate()
	case u.limit.active:
		return min(u.limit.rate(), u.ColdPerSecond)
	}
	return u.ColdPerSecond
}
