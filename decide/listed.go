package decide

import (
	"slices"
	"time"
)

func (s *Scheduler) replaceUpstreams(now time.Time, list []Upstream) {
	previous := s.upstreams
	s.upstreams, s.order = make(map[string]*upstream, len(list)), nil
	for _, listed := range list {
		u, ok := previous[listed.Name]
		if !ok || u.Incarnation != listed.Incarnation {
			u = s.newUpstream(now, listed)
		}
		u.Upstream = listed
		s.upstreams[listed.Name] = u
		s.order = append(s.order, listed.Name)
	}
	slices.Sort(s.order)
	for _, name := range s.order {
		s.applyListedCold(now, s.upstreams[name])
	}
	for name, u := range previous {
		if s.upstreams[name] != u {
			s.retire(now, u.Upstream)
			s.dropPeerRequests(u)
		}
	}
}

// changeUpstream adds, replaces or removes one upstream.
func (s *Scheduler) changeUpstream(now time.Time, changed Upstream, removed bool) {
	previous := s.upstreams[changed.Name]
	if previous != nil {
		s.retire(now, previous.Upstream)
	}
	i, listed := slices.BinarySearch(s.order, changed.Name)
	if removed {
		if listed {
			s.order = slices.Delete(s.order, i, i+1)
			delete(s.upstreams, changed.Name)
			s.dropPeerRequests(previous)
		}
		return
	}
	if !listed {
		s.order = slices.Insert(s.order, i, changed.Name)
	}
	if previous != nil && previous.Incarnation == changed.Incarnation {
		previous.Upstream = changed
		s.applyListedCold(now, previous)
		return
	}
	s.upstreams[changed.Name] = s.newUpstream(now, changed)
	s.applyListedCold(now, s.upstreams[changed.Name])
	if previous != nil {
		s.dropPeerRequests(previous)
	}
}

// dropPeerRequests removes the requests that other instances placed on a
// removed upstream. This instance's own requests there end by their Ended
// events.
func (s *Scheduler) dropPeerRequests(u *upstream) {
	for _, f := range u.requests {
		if f.handledByPeer {
			delete(s.placed, f.ID)
		}
	}
}

func (s *Scheduler) handleReport(now time.Time, e ReportReceived) {
	u := s.upstreams[e.Upstream]
	if u == nil || !e.Report.TakenAt.After(u.report.TakenAt) {
		return
	}
	u.applyReport(now, e.Report)
	s.receivesPeerReports = s.receivesPeerReports || u.CapacityTokens > 0
	knownCount, _ := u.knownUsageAt(e.Report.TakenAt)
	s.pool(u.Pool).observeReport(e.Report.Running+e.Report.Waiting, knownCount)
}
