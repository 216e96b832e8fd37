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

// evacuatedRetryDelay is the time after which a request that was refused because of
// evacuations may be repeated. Operators evacuate all upstreams of a service only briefly.
const evacuatedRetryDelay = 1 * time.Second

// isEvacuated reports whether the upstream's data centre is evacuated. There is no fallback:
// the operators' order is binding even if no other upstream is left.
func (s *Scheduler) isEvacuated(u *upstream) bool { return slices.Contains(s.evacuated, u.DataCentre) }

// setEvacuated replaces the evacuated data centres, and refuses the waiting requests that can
// only be served there. The others wait for upstreams elsewhere.
func (s *Scheduler) setEvacuated(now time.Time, dataCentres []string) []Action {
	s.evacuated = slices.Clone(dataCentres)
	var actions []Action
	for _, w := range slices.Clone(s.queue.list) {
		if w.handledByPeer {
			continue
		}
		if refusal, ok := s.refuseEvacuated(now, w.Request); ok {
			s.dequeue(w)
			actions = append(actions, refusal)
		}
	}
	return actions
}

// refuseEvacuated refuses a request if all upstreams that could serve it are in evacuated
// data centres. It reports whether it did.
func (s *Scheduler) refuseEvacuated(now time.Time, r Request) (Refuse, bool) {
	if len(s.evacuated) == 0 {
		return Refuse{}, false
	}
	evacuated := 0
	for _, name := range s.order {
		u := s.upstreams[name]
		if u.Pool != r.Class.Pool || u.Leaving || r.Only != "" && name != r.Only || !r.canRunOn(u.Version) {
			continue
		}
		if !s.isEvacuated(u) {
			return Refuse{}, false
		}
		evacuated++
	}
	if evacuated == 0 {
		return Refuse{}, false
	}
	refusal := s.refuse(now, r, verdict.Evacuated, fmt.Sprintf("all %d upstreams that could serve the request are in evacuated data centres", evacuated))
	jitter := 0.75 + hashFraction(r.ID, 0)/2
	refusal.RetryAt = now.Add(time.Duration(float64(evacuatedRetryDelay) * jitter))
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
