package decide

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mangoloft/verdict"
)

// EvacuationsChanged replaces the evacuated data centres, whose upstreams get no requests.
type EvacuationsChanged struct{ DataCentres []string }

func (EvacuationsChanged) decideEvent() {}

// closedRetryDelay is the time after which a request may be repeated that was refused because
// nothing may be sent to any upstream that could serve it. Operators evacuate all of them only
// briefly, and engines of a region that has none are soon replaced.
const closedRetryDelay = 1 * time.Second

// isEvacuated reports whether the upstream's data centre is evacuated. There is no fallback:
// the operators' order is binding even if no other upstream is left.
func (s *Scheduler) isEvacuated(u *upstream) bool { return slices.Contains(s.evacuated, u.DataCentre) }

// refuseClosed refuses a request if there are upstreams that could serve it, but all of them
// are in evacuated data centres, or outside the regions to which it is restricted. It reports
// whether it did.
func (s *Scheduler) refuseClosed(now time.Time, r Request) (Refuse, bool) {
	if len(s.evacuated) == 0 && r.Regions == nil {
		return Refuse{}, false
	}
	evacuated, outside := 0, 0
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.Pool != r.Class.Pool || u.Leaving || r.Only != "" && name != r.Only || !r.canRunOn(u.Version) {
			continue
		}
		switch {
		case s.isOpen(&r, u):
			return Refuse{}, false
		case s.regions.Allow(r.Regions, u.DataCentre):
			evacuated++
		default:
			outside++
		}
	}
	if evacuated+outside == 0 {
		return Refuse{}, false
	}
	reason := verdict.NoUpstream
	if evacuated > 0 {
		reason = verdict.Evacuated
	}
	explanation := fmt.Sprintf("of the upstreams that could serve the request, %d are in evacuated data centres and %d outside its regions%s", evacuated, outside, r.regionsText())
	refusal := s.refuse(now, r, reason, explanation)
	jitter := 0.75 + hashFraction(r.ID, 0)/2
	refusal.RetryAt = now.Add(time.Duration(float64(closedRetryDelay) * jitter))
	return refusal, true
}

// evacuatedText names the evacuated data centres in an explanation; it is empty if there are
// none.
func (s *Scheduler) evacuatedText() string {
	if len(s.evacuated) == 0 {
		return ""
	}
	return "; evacuated: " + strings.Join(s.evacuated, ", ")
}

// EvacuatedRequests returns the number of requests of this instance that still run in
// evacuated data centres.
func (s *Scheduler) EvacuatedRequests() int {
	count := 0
	for _, dataCentre := range s.evacuated {
		count += s.RequestsIn(dataCentre)
	}
	return count
}

// RequestsIn returns the number of requests of this instance that run in a data centre.
func (s *Scheduler) RequestsIn(dataCentre string) int {
	count := 0
	for _, u := range s.upstreams {
		if u.DataCentre != dataCentre {
			continue
		}
		for _, f := range u.requests {
			if !f.handledByPeer {
				count++
			}
		}
	}
	return count
}

// UpstreamsIn returns the number of upstreams of a data centre.
func (s *Scheduler) UpstreamsIn(dataCentre string) int {
	count := 0
	for _, u := range s.upstreams {
		if u.DataCentre == dataCentre {
			count++
		}
	}
	return count
}
