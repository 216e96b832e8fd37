package decide

import (
	"hash/fnv"
	"maps"
	"net/netip"
	"slices"
	"time"

	"mangoloft/ident"
)

// Brittle upstreams. The upstreams of a pool may declare that each of them fails once it
// has to reject more than a number of requests in a second for want of room. As long as
// they do, all calls to an upstream are admitted by its coordinator, an instance of its
// data centre: the others send their calls there. The coordinator knows how many calls
// run at the upstream, and keeps them below its slots.

// BrittleReported contains what an upstream declared in a response.
type BrittleReported struct {
	Upstream    string
	Incarnation ident.Incarnation
	// MaxRejections is the number of requests that the upstream can reject in a second;
	// 0 if it declared none.
	MaxRejections int
	// Rejected reports whether the response rejected the request.
	Rejected bool
}

// BrittleNotice tells other instances that the upstreams of a pool are brittle, and which
// of them the sender coordinates.
type BrittleNotice struct {
	Pool          string
	MaxRejections int
	// HeardAt is the time at which an upstream declared it last.
	HeardAt time.Time
	// Coordinator is the control address of the sender, and Upstreams are those that it
	// coordinates.
	Coordinator netip.AddrPort
	Upstreams   []string
}

// BrittleNoticeReceived contains a notice of another instance.
type BrittleNoticeReceived struct{ Notice BrittleNotice }

// Member is another instance of the local data centre.
type Member struct {
	Control netip.AddrPort
	// LostPools are the pools from which it is cut off.
	LostPools []string
}

// MembersChanged contains the live instances of the local data centre that can be
// coordinators.
type MembersChanged struct {
	// Self is the control address of this instance; invalid if it is stopping or has just
	// started.
	Self   netip.AddrPort
	Others []Member
}

// CoordinatorFailed reports that a request could not be sent to the coordinator of an
// upstream, or that the coordinator could not reach the upstream.
type CoordinatorFailed struct {
	Upstream    string
	Coordinator netip.AddrPort
}

func (BrittleReported) decideEvent()       {}
func (BrittleNoticeReceived) decideEvent() {}
func (MembersChanged) decideEvent()        {}
func (CoordinatorFailed) decideEvent()     {}

// NotifyBrittle sends a notice to all other instances.
type NotifyBrittle struct{ Notice BrittleNotice }

// BrittleChanged reports that the upstreams of a pool have become brittle, or no longer are.
type BrittleChanged struct {
	Pool string
	// MaxRejections is 0 if they no longer are.
	MaxRejections int
	// FromPeer reports whether another instance heard it.
	FromPeer bool
}

// CoordinatorChanged reports that an upstream has another coordinator.
type CoordinatorChanged struct {
	Upstream string
	// Coordinator is invalid if there is none.
	Coordinator netip.AddrPort
	IsSelf      bool
}

func (NotifyBrittle) decideAction()      {}
func (BrittleChanged) decideAction()     {}
func (CoordinatorChanged) decideAction() {}

const (
	// brittleMemory is the time after which upstreams that were not heard of any more
	// count as sound.
	brittleMemory = 10 * time.Second
	// brittleOverlap is the time for which some upstreams of a pool may still declare
	// that they are brittle when others no longer do.
	brittleOverlap = 1 * time.Second
	// A coordinator sends a notice each minClaimInterval, or in a large pool less often: each
	// claimSpacing times the number of upstreams. After claimTTL times as long without a
	// notice it no longer is the coordinator.
	minClaimInterval = 400 * time.Millisecond
	claimSpacing     = 20 * time.Millisecond
	claimTTL         = 4
	// claimGrace is the time for which an upstream without a coordinator gets no calls,
	// so that it can get one first.
	claimGrace = 2 * time.Second
	// maxClaims is the maximum number of upstreams in a notice.
	maxClaims = 32

	// rejectionShare is the share of the rejections that an upstream can bear which all
	// instances together plan for.
	rejectionShare = 0.6
	// rejectionTime is the time in which an upstream rejects a request, usually.
	rejectionTime = 10 * time.Millisecond
	// rejectionWindow is a little more than the second for which upstreams count rejections.
	rejectionWindow = 1100 * time.Millisecond
	// openingStep is the time between two steps in which the number of calls at an upstream
	// grows. It is longer than rejectionTime.
	openingStep = 50 * time.Millisecond
	// windowGrowth is the time without a rejection after which one more request is sent
	// to an upstream without a coordinator, and roomGrowth to one that this instance
	// coordinates.
	windowGrowth = 1 * time.Second
	roomGrowth   = 3 * time.Second
)

// brittlePool is a pool whose upstreams are brittle.
type brittlePool struct {
	maxRejections  int
	since, heardAt time.Time
	// notifiedAt is the time of the latest notice of this instance, and claimed are
	// the upstreams in it.
	notifiedAt time.Time
	claimed    []string
	// claimInterval is the time between two notices of a coordinator.
	claimInterval time.Duration
}

// hasExpired reports whether a claim is no longer valid.
func (b *brittlePool) hasExpired(now, claimedAt time.Time) bool {
	return now.Sub(claimedAt) > claimTTL*b.claimInterval
}

// window limits the requests at a brittle upstream, as far as they are known here.
type window struct {
	// size is the maximum number as of setAt, 0 if there is none. It grows by one in
	// each growth time, up to limit if that isn't 0.
	size, limit int
	setAt       time.Time
	growth      time.Duration
	// Until opensAt there is only one at a time, and then one more in each openingStep, if it
	// opens at all.
	opensAt time.Time
}

func (w window) allows(now time.Time, requests int) bool {
	if w.size == 0 {
		return true
	}
	size := w.size + int(now.Sub(w.setAt)/w.growth)
	if w.limit > 0 {
		size = min(size, w.limit)
	}
	if !w.opensAt.IsZero() {
		size = min(size, 1+int(max(0, now.Sub(w.opensAt))/openingStep))
	}
	return requests < size
}

// isOpening reports whether the window is opening, so that all of the given number of
// requests were sent since then.
func (w window) isOpening(now time.Time, requests int) bool {
	return now.After(w.opensAt) && now.Before(w.opensAt.Add(time.Duration(requests+2)*openingStep))
}

// brittleOf returns the state of a pool whose upstreams are brittle, or nil.
func (s *Scheduler) brittleOf(now time.Time, pool string) *brittlePool {
	if b := s.brittle[pool]; b != nil && now.Sub(b.heardAt) < brittleMemory {
		return b
	}
	return nil
}

// coordinator returns the control address of the instance that admits calls to the
// upstream; invalid if there is none.
func (s *Scheduler) coordinator(now time.Time, u *upstream) netip.AddrPort {
	if b := s.brittleOf(now, u.Pool); b == nil || b.hasExpired(now, u.claimedAt) {
		return netip.AddrPort{}
	}
	return u.coordinator
}

func (s *Scheduler) isCoordinatedHere(now time.Time, u *upstream) bool {
	c := s.coordinator(now, u)
	return c.IsValid() && c == s.self
}

// admittedBy returns the control address of the other instance to which the request must be
// sent if it is for the upstream; invalid if there is none.
func (s *Scheduler) admittedBy(now time.Time, r *Request, u *upstream) netip.AddrPort {
	if c := s.coordinator(now, u); r.CanUseCoordinator && c != s.self {
		return c
	}
	return netip.AddrPort{}
}

// awaitsCoordinator reports whether a brittle upstream is about to get a coordinator.
func (s *Scheduler) awaitsCoordinator(now time.Time, r *Request, u *upstream) bool {
	b := s.brittleOf(now, u.Pool)
	if b == nil || !r.CanUseCoordinator && r.Only == "" || u.CapacityTokens > 0 || s.coordinator(now, u).IsValid() || now.Sub(b.since) < claimGrace {
		return false
	}
	return now.Sub(u.addedAt) < claimGrace || !b.hasExpired(now.Add(-claimGrace), u.claimedAt)
}

// hasRoom reports whether an upstream that may be brittle has room for a request, as far as
// this instance knows.
func (s *Scheduler) hasRoom(now time.Time, r *Request, u *upstream) bool {
	return u.window.allows(now, len(u.requests)) && !s.awaitsCoordinator(now, r, u) && s.canRejectMore(now, u)
}

// canRejectMore reports whether an upstream that this instance coordinates can bear that it
// rejects another request and all those that it may still reject.
func (s *Scheduler) canRejectMore(now time.Time, u *upstream) bool {
	if !s.isCoordinatedHere(now, u) {
		return true
	}
	recent := 0
	for _, f := range u.requests {
		if now.Sub(f.sentAt) < rejectionTime {
			recent++
		}
	}
	return recent < max(1, int(rejectionShare*float64(s.brittle[u.Pool].maxRejections)))
}

// handleBrittleReported applies what an upstream declared.
func (s *Scheduler) handleBrittleReported(now time.Time, e BrittleReported) {
	u := s.upstreams[e.Upstream]
	if u == nil || u.Incarnation != e.Incarnation {
		return
	}
	if e.MaxRejections == 0 {
		if b := s.brittle[u.Pool]; b != nil && now.Sub(b.heardAt) > brittleOverlap {
			s.forgetBrittle(u.Pool)
		}
		return
	}
	b := s.setBrittle(now, u.Pool, e.MaxRejections, now, false)
	if e.Rejected {
		s.handleRejection(now, u, e.MaxRejections)
	}
	s.claim(now, u.Pool, b)
	// Whoever is to be the coordinator may not have heard it yet.
	if !s.coordinator(now, u).IsValid() && u.CapacityTokens == 0 && now.Sub(b.since) < claimGrace && now.Sub(b.notifiedAt) >= b.claimInterval {
		s.notifyBrittle(now, u.Pool, b, nil)
	}
}

// handleBrittleNotice applies a notice of another instance.
func (s *Scheduler) handleBrittleNotice(now time.Time, n BrittleNotice) {
	b := s.setBrittle(now, n.Pool, n.MaxRejections, n.HeardAt, true)
	for _, name := range n.Upstreams {
		u := s.upstreams[name]
		if u != nil && u.Pool == n.Pool && n.Coordinator.IsValid() && n.Coordinator != s.self && !s.isOwn(u) {
			s.setCoordinator(now, u, n.Coordinator)
		}
	}
	s.claim(now, n.Pool, b)
}

func (s *Scheduler) setBrittle(now time.Time, pool string, maxRejections int, heardAt time.Time, fromPeer bool) *brittlePool {
	b := s.brittleOf(now, pool)
	if b == nil {
		b = &brittlePool{since: now, claimInterval: minClaimInterval}
		s.brittle[pool] = b
	}
	if b.maxRejections != maxRejections {
		s.outgoing = append(s.outgoing, BrittleChanged{pool, maxRejections, fromPeer})
	}
	b.maxRejections = maxRejections
	if heardAt.After(b.heardAt) {
		b.heardAt = heardAt
	}
	return b
}

func (s *Scheduler) forgetBrittle(pool string) {
	delete(s.brittle, pool)
	for _, u := range s.upstreams {
		if u.Pool == pool {
			u.window, u.coordinator, u.claimedAt = window{}, netip.AddrPort{}, time.Time{}
		}
	}
	s.outgoing = append(s.outgoing, BrittleChanged{Pool: pool})
}

// isOwn reports whether this instance is to coordinate the upstream: of the instances of
// its data centre that reach it, the one with the highest hash is.
func (s *Scheduler) isOwn(u *upstream) bool {
	if !s.self.IsValid() || u.DataCentre != s.dataCentre || u.CapacityTokens > 0 || s.isLost(u.Pool) {
		return false
	}
	own := rendezvousScore(u, s.self)
	return !slices.ContainsFunc(s.localMembers, func(m Member) bool {
		return !slices.Contains(m.LostPools, u.Pool) && rendezvousScore(u, m.Control) > own
	})
}

func rendezvousScore(u *upstream, control netip.AddrPort) uint64 {
	h := fnv.New64a()
	h.Write([]byte(control.String()))
	return hashMix(u.hash ^ h.Sum64())
}

// claim makes this instance the coordinator of the pool's upstreams that are its own, and
// tells the others.
func (s *Scheduler) claim(now time.Time, pool string, b *brittlePool) {
	var own []string
	listed := s.listed(pool)
	b.claimInterval = max(minClaimInterval, time.Duration(len(listed))*claimSpacing)
	for _, u := range listed {
		if len(own) < maxClaims && s.isOwn(u) {
			own = append(own, u.Name)
			s.setCoordinator(now, u, s.self)
		}
	}
	if len(own) > 0 && (now.Sub(b.notifiedAt) >= b.claimInterval || !slices.Equal(own, b.claimed)) {
		s.notifyBrittle(now, pool, b, own)
	}
}

// setMembers applies the live instances of the local data centre. An instance that is
// stopping no longer coordinates upstreams.
func (s *Scheduler) setMembers(e MembersChanged) {
	if e.Self != s.self {
		for _, u := range s.upstreams {
			if u.coordinator == s.self {
				u.coordinator = netip.AddrPort{}
			}
		}
	}
	s.self, s.localMembers = e.Self, e.Others
	s.renewClaims()
}

// renewClaims makes the next step claim the upstreams of all brittle pools anew, since the
// list has changed.
func (s *Scheduler) renewClaims() {
	for _, b := range s.brittle {
		b.notifiedAt = time.Time{}
	}
}

// claimAll renews the claims of this instance, and forgets pools that were not heard of.
func (s *Scheduler) claimAll(now time.Time) {
	if len(s.brittle) == 0 {
		return
	}
	for _, pool := range slices.Sorted(maps.Keys(s.brittle)) {
		b := s.brittle[pool]
		switch {
		case now.Sub(b.heardAt) >= brittleMemory:
			s.forgetBrittle(pool)
		case now.Sub(b.notifiedAt) >= b.claimInterval:
			s.claim(now, pool, b)
		}
	}
}

func (s *Scheduler) notifyBrittle(now time.Time, pool string, b *brittlePool, own []string) {
	b.notifiedAt, b.claimed = now, own
	s.outgoing = append(s.outgoing, NotifyBrittle{BrittleNotice{Pool: pool, MaxRejections: b.maxRejections, HeardAt: b.heardAt, Coordinator: s.self, Upstreams: own}})
}

// setCoordinator records who coordinates an upstream. If it becomes this instance, the calls
// that others still have there are unknown, so it begins with one.
func (s *Scheduler) setCoordinator(now time.Time, u *upstream, c netip.AddrPort) {
	if previous := s.coordinator(now, u); previous != c {
		s.outgoing = append(s.outgoing, CoordinatorChanged{u.Name, c, c == s.self})
		u.window = window{}
		if c == s.self {
			slots := max(1, u.Slots)
			u.window = window{size: slots, limit: slots, setAt: now, growth: roomGrowth, opensAt: now}
		}
	}
	u.coordinator, u.claimedAt = c, now
}

func (s *Scheduler) handleCoordinatorFailed(e CoordinatorFailed) {
	if u := s.upstreams[e.Upstream]; u != nil && u.coordinator == e.Coordinator {
		u.coordinator = netip.AddrPort{}
		s.outgoing = append(s.outgoing, CoordinatorChanged{Upstream: u.Name})
	}
}

// handleRejection limits the requests to a brittle upstream that has rejected one. It is
// one of those known.
func (s *Scheduler) handleRejection(now time.Time, u *upstream, maxRejections int) {
	others, bearable := max(0, len(u.requests)-1), rejectionShare*float64(max(1, maxRejections))
	if !s.isCoordinatedHere(now, u) {
		u.window = window{size: max(1, others), setAt: now, growth: windowGrowth}
		// Each instance has one rejection in this time.
		interval := time.Duration(float64(s.instances) / bearable * float64(time.Second))
		s.pause(now, u, min(interval, maxRetryDelay))
		return
	}
	hold := time.Duration(float64(rejectionWindow) / max(1, bearable))
	w := window{size: max(1, others), limit: max(1, u.Slots), setAt: now, growth: roomGrowth}
	switch {
	case u.window.size > 0 && others >= u.window.size:
		// It was the one more than there is known to be room for.
		w.size = u.window.size
	case !u.window.isOpening(now, others):
		// How many of the others would be rejected now is unknown.
		w.opensAt = now.Add(hold)
	}
	u.window = w
	if others == 0 {
		s.pause(now, u, hold)
	}
}
