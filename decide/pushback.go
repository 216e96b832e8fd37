package decide

import (
	"fmt"
	"strings"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/verdict"
)

// PushedBack reports that an upstream rejected a request of this instance and wants no
// others from it before a time.
type PushedBack struct {
	Upstream    string
	Incarnation ident.Incarnation
	Until       time.Time
}

func (PushedBack) decideEvent() {}

// Paused reports that an upstream gets no requests from this instance before a time.
type Paused struct {
	Upstream string
	Until    time.Time
}

func (Paused) decideAction() {}

func (s *Scheduler) handlePushBack(e PushedBack) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation || !e.Until.After(u.pausedUntil) {
		return
	}
	u.pausedUntil = e.Until
	s.outgoing = append(s.outgoing, Paused{Upstream: u.Name, Until: e.Until})
}

// refuseUnaccepted refuses a request that no candidate accepts now: a call at once, since
// it does not wait, and a stream if all candidates are paused until after its deadline.
// It reports whether it did.
func (s *Scheduler) refuseUnaccepted(now time.Time, w *waitingRequest, candidates []*upstream) (Refuse, bool) {
	var earliest time.Time
	var states []string
	var limited []*upstream
	for _, u := range candidates {
		switch {
		case !now.Before(u.pausedUntil):
			limited = append(limited, u)
			states = append(states, fmt.Sprintf("%s at its limit of %.4g/s", u.Name, u.limit.perSecond))
			continue
		case earliest.IsZero() || u.pausedUntil.Before(earliest):
			earliest = u.pausedUntil
		}
		states = append(states, fmt.Sprintf("%s paused for %v", u.Name, u.pausedUntil.Sub(now).Round(time.Millisecond)))
	}
	if w.Class.Kind == config.Stream && (len(limited) > 0 || !earliest.After(w.deadline)) {
		return Refuse{}, false
	}
	retryAt := earliest
	if len(limited) > 0 {
		atLimit := s.retryAtLimits(now, s.pool(w.Class.Pool), limited)
		if retryAt.IsZero() || atLimit.Before(retryAt) {
			retryAt = atLimit
		}
	}
	if latest := now.Add(maxRetryDelay); retryAt.After(latest) {
		retryAt = latest
	}
	return Refuse{ID: w.ID, Reason: verdict.Overloaded, RetryAt: retryAt, Explanation: "no candidate accepts requests: " + strings.Join(states, ", ")}, true
}
