package decide

import "time"

// reach keeps a data centre out of the choice while it seems to be cut off from
// this one. The load that it answers: every request at a cut-off instance would
// else wait for a time-out at one unreachable upstream after the other.
type reach struct {
	// failed holds when upstreams could not be reached, since one last could.
	failed map[string]time.Time
	// outs counts the times that the data centre was left out since then.
	outs  int
	until time.Time
}

const (
	// cutUpstreams is how many upstreams that can't be reached tell a cut from
	// an upstream that has left.
	cutUpstreams = 2
	// cutWindow is the time within which they fail.
	cutWindow = 2 * time.Second
	// firstOut doubles with each time in a row, up to longestOut: one request
	// has to find out that the cut is over.
	firstOut   = 1 * time.Second
	longestOut = 4 * time.Second
)

// fail notes that an upstream could not be reached. It reports whether the data
// centre is left out from now on.
func (r *reach) fail(now time.Time, upstream string) bool {
	if now.Before(r.until) {
		return false
	}
	r.failed[upstream] = now
	recent := 0
	for name, at := range r.failed {
		if now.Sub(at) > cutWindow {
			delete(r.failed, name)
			continue
		}
		recent++
	}
	// After a first time, one failure shows that the cut goes on.
	if recent < cutUpstreams && r.outs == 0 {
		return false
	}
	r.until = now.Add(min(longestOut, firstOut<<min(r.outs, 4)))
	r.outs++
	return true
}

func (s *Scheduler) unreachable(now time.Time, u *upstream) {
	if u.DataCentre == s.dataCentre {
		return
	}
	r := s.reaches[u.DataCentre]
	if r == nil {
		r = &reach{failed: map[string]time.Time{}}
		s.reaches[u.DataCentre] = r
	}
	if r.fail(now, u.Name) {
		s.notices = append(s.notices, Ejected{DataCentre: u.DataCentre, Until: r.until})
	}
}

// reached notes that an upstream answered.
func (s *Scheduler) reached(u *upstream) {
	r := s.reaches[u.DataCentre]
	delete(s.reaches, u.DataCentre)
	if r != nil && r.outs > 0 {
		s.notices = append(s.notices, Ejected{DataCentre: u.DataCentre})
	}
}

// reachable leaves out the upstreams of data centres that seem to be cut off,
// as long as there are others.
func (s *Scheduler) reachable(now time.Time, live []*upstream) []*upstream {
	if len(s.reaches) == 0 {
		return live
	}
	var within []*upstream
	for _, u := range live {
		if r := s.reaches[u.DataCentre]; r == nil || !now.Before(r.until) {
			within = append(within, u)
		}
	}
	if len(within) == 0 {
		return live
	}
	return within
}
