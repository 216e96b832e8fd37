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

func (s *Scheduler) handlePushBack(now time.Time, e PushedBack) {
	if u := s.upstreams[e.Upstream]; u != nil && u.Incarnation == e.Incarnation {
		s.pause(now, u, e.Until.Sub(now))
	}
}

// pause sends no requests to the upstream for a time.
func (s *Scheduler) pause(now time.Time, u *upstream, d time.Duration) {
	until := now.Add(d)
	if !until.After(u.pausedUntil) {
		return
	}
	u.pausedUntil = until
	s.outgoing = append(s.outgoing, Paused{Upstream: u.Name, Until: until})
}

// refuseUnaccepted refuses a request that no candidate accepts now: a call at once, unless it
// can wait for room at a brittle upstream, and a stream if all candidates are paused until
// after its deadline. It reports whether it did.
func (s *Scheduler) refuseUnaccepted(now time.Time, w *waitingRequest, candidates []*upstream) (Refuse, bool) {
	var earliest time.Time
	var states []string
	var limited []*upstream
	for _, u := range candidates {
		switch {
		case !now.Before(u.pausedUntil) && !s.hasRoom(now, &w.Request, u):
			return Refuse{}, false
		case !now.Before(u.pausedUntil):
			limited = append(limited, u)
			states = append(states, fmt.Sprintf("%s at its limit of %.4g/s", u.Name, s.acceptedRate(now, u))+s.coldText(now, u))
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
