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
	// take some hundred milliseconds, and in a large fleet several reports.
	meanMemory = 10 * time.Second
	// paceShrinkage is the number of reports of one upstream that count as much as the mean of
	// all. A single report may be from a slow period.
	paceShrinkage = 3
	// callSpread is the largest random addition to the expected time of a call, as a multiple of
	// the usual time, so that instances with similar reports don't all choose the same upstream.
	callSpread = 0.5
)

// callLoad contains the sums over the recent reports of a plain upstream that declares its
// pace, weighted by age.
type callLoad struct{ reports, pace, requests float64 }

// add adds a report that follows the previous one after elapsed.
func (c *callLoad) add(r Report, elapsed time.Duration) {
	if r.PacePercent == 0 {
		return
	}
	weight := math.Exp(-elapsed.Seconds() / meanMemory.Seconds())
	c.reports = c.reports*weight + 1
	c.pace = c.pace*weight + r.PacePercent
	c.requests = c.requests*weight + float64(r.Running+r.Waiting)
}

// declaresPace reports whether the upstream declared a pace in a recent report.
func (u *upstream) declaresPace(now time.Time) bool {
	return u.report.PacePercent > 0 && now.Sub(u.report.TakenAt) < meanMemory
}

// callEstimate estimates the time of calls at the upstreams of a pool.
type callEstimate struct {
	now time.Time
	// pace and requests are the means of all upstreams.
	pace, requests float64
}

// estimateCalls returns the estimate for the upstreams. It reports whether any of them
// declares its pace.
func estimateCalls(now time.Time, upstreams []*upstream) (callEstimate, bool) {
	var all callLoad
	for _, u := range upstreams {
		if u.declaresPace(now) {
			all.reports, all.pace, all.requests = all.reports+u.calls.reports, all.pace+u.calls.pace, all.requests+u.calls.requests
		}
	}
	if all.reports == 0 {
		return callEstimate{}, false
	}
	return callEstimate{now: now, pace: all.pace / all.reports, requests: all.requests / all.reports}, true
}

// timeAt returns the expected time of a call at the upstream, as a multiple of the usual time
// of a call: the requests in front of it per slot, and itself, at the current pace. What the
// upstream last reported approaches the means by its age.
func (e callEstimate) timeAt(u *upstream) float64 {
	requests, pace := e.requests, e.pace
	if u.declaresPace(e.now) {
		pace = (u.calls.pace + paceShrinkage*e.pace) / (u.calls.reports + paceShrinkage)
		recency := math.Exp(-e.now.Sub(u.report.TakenAt).Seconds() / reportMemory.Seconds())
		requests += recency * (float64(u.report.Running+u.report.Waiting) - requests)
		pace += recency * (u.report.PacePercent - pace)
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
func (u *upstream) paceText(now time.Time, candidates []*upstream) string {
	e, ok := estimateCalls(now, candidates)
	if !ok {
		return ""
	}
	return fmt.Sprintf("; a call takes %.2f times as long as usual, at a pace of %.0f%% %v ago", e.timeAt(u), u.report.PacePercent, now.Sub(u.report.TakenAt).Round(time.Millisecond))
}
