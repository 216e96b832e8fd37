package decide

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"mangoloft/verdict"
)

// reach tracks whether this instance can connect to the upstreams of a pool. If it can't
// connect to several, most likely its own links are down, and other instances still reach
// them.
type reach struct {
	// failedAt is the time of the latest failed connection to each upstream since one was
	// last made to any of them.
	failedAt map[string]time.Time
	// reachedAt is the time at which the success of a connection was last noticed.
	reachedAt time.Time
	lost      bool
	// probes is the number of upstreams that were proposed for a probe.
	probes int
}

const (
	// minUnreachable is the number of unreachable upstreams that indicates that this
	// instance is cut off from their pool, if the pool has so many.
	minUnreachable = 2
	// unreachableWindow is the period in which minUnreachable must be unreachable.
	unreachableWindow = 2 * time.Second
	// minUnreached is the minimum time without a successful connection. In a partition of
	// some data centres, connections to the others still succeed.
	minUnreached = 400 * time.Millisecond
)

// PoolReachChanged reports that this instance is cut off from the upstreams of a pool, or
// no longer is.
type PoolReachChanged struct {
	Pool string
	Lost bool
	// Unreachable is the number of upstreams to which connections failed.
	Unreachable int
}

func (PoolReachChanged) decideAction() {}

// Reached reports that a connection to an upstream could be made.
type Reached struct{ Upstream string }

func (Reached) decideEvent() {}

// recordPoolFailure records that an upstream could not be reached.
func (s *Scheduler) recordPoolFailure(now time.Time, u *upstream) {
	r := s.reach(u.Pool)
	r.failedAt[u.Name] = now
	maps.DeleteFunc(r.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) > unreachableWindow })
	if r.lost || now.Sub(r.reachedAt) < minUnreached || len(r.failedAt) < min(minUnreachable, max(1, len(s.listed(u.Pool)))) {
		return
	}
	r.lost = true
	s.outgoing = append(s.outgoing, PoolReachChanged{u.Pool, true, len(r.failedAt)})
}

func (s *Scheduler) reach(pool string) *reach {
	r := s.reaches[pool]
	if r == nil {
		r = &reach{failedAt: map[string]time.Time{}}
		s.reaches[pool] = r
	}
	return r
}

// listed returns the upstreams of a pool that are not leaving, in order.
func (s *Scheduler) listed(pool string) []*upstream {
	var list []*upstream
	for _, name := range s.order {
		if u := s.upstreams[name]; u.Pool == pool && !u.Leaving {
			list = append(list, u)
		}
	}
	return list
}

// recordPoolReached records that a connection to an upstream could be made. If it ends a
// cut, what failed meanwhile is not held against the upstream.
func (s *Scheduler) recordPoolReached(now time.Time, u *upstream) {
	r := s.reach(u.Pool)
	r.reachedAt = now
	clear(r.failedAt)
	if !r.lost {
		return
	}
	r.lost = false
	u.health = health{}
	delete(s.partitions, u.DataCentre)
	s.outgoing = append(s.outgoing, PoolReachChanged{Pool: u.Pool})
}

func (s *Scheduler) isLost(pool string) bool {
	r := s.reaches[pool]
	return r != nil && r.lost
}

// LostPools returns the pools from which this instance is cut off, in order.
func (s *Scheduler) LostPools() []string {
	var lost []string
	for pool, r := range s.reaches {
		if r.lost {
			lost = append(lost, pool)
		}
	}
	slices.Sort(lost)
	return lost
}

// ProbeTarget is an upstream to which a connection would show that its pool can be reached
// again.
type ProbeTarget struct {
	Upstream string
	Addr     netip.AddrPort
}

// ProbeTargets returns one upstream of each pool from which this instance is cut off, each
// time the next one.
func (s *Scheduler) ProbeTargets() []ProbeTarget {
	var targets []ProbeTarget
	for _, pool := range s.LostPools() {
		listed := s.listed(pool)
		if len(listed) == 0 {
			delete(s.reaches, pool)
			s.outgoing = append(s.outgoing, PoolReachChanged{Pool: pool})
			continue
		}
		r := s.reaches[pool]
		u := listed[r.probes%len(listed)]
		r.probes++
		targets = append(targets, ProbeTarget{u.Name, u.Addr})
	}
	return targets
}

// refuseCutOff refuses a request that another instance can serve while this one is cut off
// from its pool. It reports whether it did.
func (s *Scheduler) refuseCutOff(now time.Time, r Request) (Refuse, bool) {
	isAdmittedElsewhere := func(u *upstream) bool { return s.isOpen(&r, u) && s.admittedBy(now, &r, u).IsValid() }
	if !r.CanDetour || !s.isLost(r.Class.Pool) || slices.ContainsFunc(s.listed(r.Class.Pool), isAdmittedElsewhere) {
		return Refuse{}, false
	}
	explanation := fmt.Sprintf("this instance can't reach the upstreams of pool %s, of which %d were tried", r.Class.Pool, len(s.reaches[r.Class.Pool].failedAt))
	return Refuse{ID: r.ID, Reason: verdict.CutOff, RetryAt: now.Add(minRetryDelay), Explanation: explanation}, true
}
