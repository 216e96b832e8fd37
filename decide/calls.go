package decide

import (
	"fmt"
	"math"
	"time"

	"mangoloft/ident"
)

// Calls to plain services take tens of milliseconds, and an upstream may work at a fraction
// of its speed for some hundred milliseconds, because other processes run on its machine. A
// call goes to the upstream where it is expected to end first. This matters while some
// upstreams are slow and the others have room; without declared paces the number of requests
// decides alone (leastLoaded).

// PaceReported contains how long work takes at an engine, as it declared in a response.
type PaceReported struct {
	Upstream    string
	Incarnation ident.Incarnation
	// Percent is the time that work takes, in percent of the usual time.
	Percent float64
	At      time.Time
}

func (PaceReported) decideEvent() {}

// declaredPace is what an upstream declared last about its pace; zero if it declared none.
type declaredPace struct {
	percent float64
	at      time.Time
}

func (s *Scheduler) handlePaceReported(e PaceReported) {
	if u := s.upstreams[e.Upstream]; u != nil && u.Incarnation == e.Incarnation && e.At.After(u.declaredPace.at) {
		u.declaredPace = declaredPace{percent: e.Percent, at: e.At}
	}
}

const (
	// usualPace is the pace in percent at which work takes its usual time.
	usualPace = 100
	// reportMemory is the time constant with which a reported load and pace approach their
	// means. Both change many times a second.
	reportMemory = 150 * time.Millisecond
	// meanMemory is the time constant of these means. It covers several slow periods, which
	// take some hundred milliseconds.
	meanMemory = 3 * time.Second
)

// callLoad is the load of a plain upstream that declares its pace.
type callLoad struct {
	// meanPace is the recent mean pace in percent, and meanRequests that of the number of
	// requests; both are valid if meanPace is not 0.
	meanPace, meanRequests float64
}

// observe updates the means with a report that follows the previous one after elapsed.
func (c *callLoad) observe(r Report, elapsed time.Duration) {
	if r.PacePercent == 0 {
		return
	}
	requests := float64(r.Running + r.Waiting)
	if c.meanPace == 0 {
		// The first pace may be that of a slow period.
		c.meanPace, c.meanRequests = (r.PacePercent+usualPace)/2, requests
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/meanMemory.Seconds())
	c.meanPace += weight * (r.PacePercent - c.meanPace)
	c.meanRequests += weight * (requests - c.meanRequests)
}

// declaresPace reports whether the upstream declared a pace in a recent report.
func (u *upstream) declaresPace(now time.Time) bool {
	return u.report.PacePercent > 0 && now.Sub(u.report.TakenAt) < meanMemory
}

// callTime returns the expected time of a call at the upstream, as a multiple of the usual
// time of a call: the requests in front of it per slot, and itself, at the current pace.
func (u *upstream) callTime(now time.Time) float64 {
	requests, pace := 0.0, float64(usualPace)
	if u.declaresPace(now) {
		recency := math.Exp(-now.Sub(u.report.TakenAt).Seconds() / reportMemory.Seconds())
		requests = recency*float64(u.report.Running+u.report.Waiting) + (1-recency)*u.calls.meanRequests
		pace = recency*u.report.PacePercent + (1-recency)*u.calls.meanPace
	}
	sent := 0
	for _, f := range u.requests {
		if f.sentAt.After(u.report.TakenAt) {
			sent++
		}
	}
	requests = max(requests+float64(sent), float64(len(u.requests)))
	return pace / usualPace * (1 + requests/float64(max(1, u.Slots)))
}

// paceText explains the expected time of a call if the upstream declares its pace.
func (u *upstream) paceText(now time.Time) string {
	if !u.declaresPace(now) {
		return ""
	}
	return fmt.Sprintf("; a call takes %.2f times as long as usual, at a pace of %.0f%% %v ago", u.callTime(now), u.report.PacePercent, now.Sub(u.report.TakenAt).Round(time.Millisecond))
}
