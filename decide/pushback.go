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
// others from it before a time, or can reject only few requests in a second.
type PushedBack struct {
	Upstream    string
	Incarnation ident.Incarnation
	// Until is zero if the upstream did not say.
	Until time.Time
	// MaxRejections is the number of requests that it can reject in a second; 0 if it
	// declares none.
	MaxRejections int
}

// rejectionShare is the share of the rejections that an upstream can bear which all
// instances together plan for.
const rejectionShare = 0.6

// windowGrowth is the time without a rejection after which one more request is sent to an
// upstream that can reject only few.
const windowGrowth = 1 * time.Second

// window is the number of requests at an upstream, as known here, up to which it gets
// others after a rejection.
type window struct {
	size  int
	setAt time.Time
}

func (w window) allows(now time.Time, requests int) bool {
	return w.size == 0 || requests < w.size+int(now.Sub(w.setAt)/windowGrowth)
}

func (PushedBack) decideEvent() {}

// Paused reports that an upstream gets no requests from this instance before a time.
type Paused struct {
	Upstream string
	Until    time.Time
}

func (Paused) decideAction() {}

func (s *Scheduler) handlePushBack(now time.Time, e PushedBack) {
	u := s.upstreams[e.Upstream]
	if u != nil && e.MaxRejections > 0 {
		// The rejected request is one of those known.
		u.window = window{max(1, len(u.requests)-1), now}
		// Each instance has one rejection in this time.
		pause := time.Duration(float64(s.instances) / (rejectionShare * float64(e.MaxRejections)) * float64(time.Second))
		e.Until = now.Add(min(pause, maxRetryDelay))
	}
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
		case !now.Before(u.pausedUntil) && !u.window.allows(now, len(u.requests)):
			earliest = now.Add(minRetryDelay)
			states = append(states, fmt.Sprintf("%s rejected requests and has %d", u.Name, len(u.requests)))
			continue
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
