package decide

import "time"

// partition tracks whether a data centre seems to be cut off from this one, and
// excludes it meanwhile. Without this, every request at a cut-off instance would
// wait for timeouts at one unreachable upstream after another.
type partition struct {
	// failedAt holds when each upstream could not be reached, since one last
	// responded.
	failedAt map[string]time.Time
	// exclusions counts the consecutive exclusions of the data centre.
	exclusions    int
	excludedUntil time.Time
}

const (
	// minFailedUpstreams is how many unreachable upstreams indicate a partition
	// rather than an upstream that has left.
	minFailedUpstreams = 2
	// failureWindow is the time within which they must fail.
	failureWindow = 2 * time.Second
	// firstExclusion doubles with each consecutive exclusion, up to
	// longestExclusion. After each, a request must probe whether the partition is
	// over.
	firstExclusion   = 1 * time.Second
	longestExclusion = 4 * time.Second
)

// recordFailure records that an upstream could not be reached. It reports whether
// the data centre is excluded from now on.
func (p *partition) recordFailure(now time.Time, upstream string) bool {
	if now.Before(p.excludedUntil) {
		return false
	}
	p.failedAt[upstream] = now
	recent := 0
	for name, at := range p.failedAt {
		if now.Sub(at) > failureWindow {
			delete(p.failedAt, name)
			continue
		}
		recent++
	}
	// After a first exclusion, one failure shows that the partition continues.
	if recent < minFailedUpstreams && p.exclusions == 0 {
		return false
	}
	p.excludedUntil = now.Add(min(longestExclusion, firstExclusion<<min(p.exclusions, 4)))
	p.exclusions++
	return true
}

func (s *Scheduler) recordUnreachable(now time.Time, u *upstream) {
	if u.DataCentre == s.dataCentre {
		return
	}
	p := s.partitions[u.DataCentre]
	if p == nil {
		p = &partition{failedAt: map[string]time.Time{}}
		s.partitions[u.DataCentre] = p
	}
	if p.recordFailure(now, u.Name) {
		s.outgoing = append(s.outgoing, Ejected{DataCentre: u.DataCentre, Until: p.excludedUntil})
	}
}

// recordReachable records that an upstream responded.
func (s *Scheduler) recordReachable(u *upstream) {
	p := s.partitions[u.DataCentre]
	delete(s.partitions, u.DataCentre)
	if p != nil && p.exclusions > 0 {
		s.outgoing = append(s.outgoing, Ejected{DataCentre: u.DataCentre})
	}
}

// withoutPartitioned removes the upstreams of data centres that seem to be cut
// off, unless no others are left.
func (s *Scheduler) withoutPartitioned(now time.Time, live []*upstream) []*upstream {
	if len(s.partitions) == 0 {
		return live
	}
	var included []*upstream
	for _, u := range live {
		if p := s.partitions[u.DataCentre]; p == nil || !now.Before(p.excludedUntil) {
			included = append(included, u)
		}
	}
	if len(included) == 0 {
		return live
	}
	return included
}
