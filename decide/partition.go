package decide

import "time"

// partition detects that another data centre is cut off from the local one,
// and excludes its upstreams during that time. Otherwise every request would
// wait for the timeouts of one unreachable upstream after another.
type partition struct {
	// failedAt is the time of the latest failed connection to each upstream. It
	// is cleared when any upstream of the data centre responds.
	failedAt map[string]time.Time
	// exclusions is the number of consecutive exclusions of the data centre.
	exclusions    int
	excludedUntil time.Time
}

const (
	// minFailedUpstreams is the number of unreachable upstreams that indicates a
	// partition. A single unreachable upstream may simply have exited.
	minFailedUpstreams = 2
	// failureWindow is the period in which minFailedUpstreams must be
	// unreachable.
	failureWindow = 2 * time.Second
	// An exclusion lasts for firstExclusion, doubled with each consecutive
	// exclusion up to longestExclusion. After each exclusion, the next requests
	// probe whether the partition has ended.
	firstExclusion   = 1 * time.Second
	longestExclusion = 4 * time.Second
)

// recordFailure records that an upstream could not be reached. It reports
// whether this starts an exclusion of the data centre.
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

// withoutPartitioned removes the upstreams of excluded data centres, unless no
// others are left.
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
