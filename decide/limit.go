package decide

import (
	"time"

	"mangoloft/ident"
)

// LimitReported contains what an upstream declared in a response: the rate of requests
// that it accepts from all instances together, or none.
type LimitReported struct {
	Upstream    string
	Incarnation ident.Incarnation
	Limited     bool
	// PerSecond is the rate in requests per second.
	PerSecond float64
}

func (LimitReported) decideEvent() {}

// LimitChanged reports that the known limit of an upstream has changed.
type LimitChanged struct {
	Upstream string
	// Limited and PerSecond are the new limit; Before is the previous rate, 0 if there
	// was none.
	Limited           bool
	PerSecond, Before float64
}

func (LimitChanged) decideAction() {}

// requestLimit is the rate of requests that an upstream accepts from all instances
// together.
type requestLimit struct {
	// active reports whether there is a limit.
	active    bool
	perSecond float64
	heardAt   time.Time
}

func (s *Scheduler) handleLimitReported(now time.Time, e LimitReported) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	before := u.limit
	u.limit = requestLimit{active: e.Limited, perSecond: e.PerSecond, heardAt: now}
	if before.active != u.limit.active || before.perSecond != u.limit.perSecond {
		s.outgoing = append(s.outgoing, LimitChanged{Upstream: u.Name, Limited: e.Limited, PerSecond: e.PerSecond, Before: before.perSecond})
	}
}
