package decide

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"mangoloft/config"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/routing"
	"mangoloft/verdict"
)

// Scheduler chooses an upstream for each request. It must be used by one
// goroutine at a time.
//
// A stream is placed on an engine only if, with the stream added, the engine's
// forecast memory stays within its capacity at every horizon and its forecast
// step time meets the pace targets of all its streams. An idle engine takes any
// stream whose prompt fits, even if the forecast exceeds its capacity. Among
// engines whose memory is declared in the list (Upstream.CapacityTokens), the
// one with the lowest start cost is chosen. They take precedence over engines
// whose memory is known only from load reports. Of these, one is chosen with a
// probability in proportion to its free memory, so that instances that receive
// the same reports don't all choose the same engine. A stream that fits on no
// engine waits in the queue.
//
// Calls to plain services go to the least loaded upstream, with preference for
// the local data centre. So do streams if the memory of no candidate is known.
type Scheduler struct {
	dataCentre string
	lengths    LengthForecaster
	upstreams  map[string]*upstream
	// order contains the sorted names of the upstreams.
	order []string
	pools map[string]*pool
	// placed maps each placed request, and each request with a reservation, to its
	// upstream.
	placed map[ident.Request]string
	// moves maps each request that is being moved to its destination.
	moves map[ident.Request]string
	queue queue
	// partitions contains the data centres in which upstreams could not be
	// reached recently.
	partitions map[string]*partition
	// reaches contains the pools in which upstreams could not be reached recently.
	reaches map[string]*reach
	retries retryBudgets
	// evacuated contains the evacuated data centres.
	evacuated []string
	// regions contains the regions of the data centres.
	regions routing.Regions
	// brittle contains the pools whose upstreams are brittle. self is the control address
	// of this instance, invalid if it can't coordinate upstreams, and localMembers are the
	// others of its data centre.
	brittle      map[string]*brittlePool
	self         netip.AddrPort
	localMembers []Member
	// origins contains the versions that began streams, and retired the times at which the
	// last upstream of a version left its pool.
	origins *origin.Table
	retired map[poolVersion]time.Time
	// departuresKnownSince is the time since which all upstreams that left are known; zero
	// if none are.
	departuresKnownSince time.Time
	// trackers track the traits of requests on which upstreams crash.
	trackers trackers
	// receivesPeerReports is true once a load report has arrived for an engine
	// with declared memory. Only other instances send such reports: in a large
	// fleet, instances send them to other data centres instead of a notice for
	// each placement.
	receivesPeerReports bool
	// instances is the number of live instances, including this one, and instancesIn their
	// numbers by data centre.
	instances   int
	instancesIn map[string]int
	// coldBounds limit the requests to cold upstreams.
	coldBounds ColdBounds
	// outgoing contains the notices and ejections to return from the current
	// step.
	outgoing []Action
}

// New returns the scheduler of an instance in the given data centre.
func New(dataCentre string) *Scheduler { return NewWithLengths(dataCentre, newLearnedLengths()) }

// NewWithLengths is like New, but with the given forecaster of output lengths.
func NewWithLengths(dataCentre string, lengths LengthForecaster) *Scheduler {
	return &Scheduler{
		dataCentre: dataCentre, lengths: lengths, upstreams: map[string]*upstream{}, pools: map[string]*pool{},
		placed: map[ident.Request]string{}, moves: map[ident.Request]string{}, partitions: map[string]*partition{}, reaches: map[string]*reach{}, retries: newRetryBudgets(), brittle: map[string]*brittlePool{},
		trackers: newTrackers(), origins: origin.New(), retired: map[poolVersion]time.Time{},
		instances: 1,
	}
}

// SetInstances sets the number of live instances, including this one.
func (s *Scheduler) SetInstances(now time.Time, n int) {
	s.instances = max(1, n)
	s.retries.fleet.observe(now, n)
	s.trackers.setInstances(n)
}

// Waiting returns the length of the queue.
func (s *Scheduler) Waiting() int { return len(s.queue.list) }

// Step handles one event and returns the resulting actions. The time must not go
// backwards between calls.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	s.trackers.tick(now)
	s.claimAll(now)
	actions := append(s.handle(now, e), s.outgoing...)
	actions = append(actions, s.containmentActions()...)
	s.outgoing = nil
	return actions
}

func (s *Scheduler) handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case UpstreamsChanged:
		s.replaceUpstreams(now, e.Upstreams)
		s.renewClaims()
	case UpstreamChanged:
		s.changeUpstream(now, e.Upstream, e.Removed)
		s.renewClaims()
	case ReportReceived:
		s.handleReport(now, e)
	case LimitReported:
		s.handleLimitReported(now, e)
	case PaceReported:
		s.handlePaceReported(e)
		return nil
	case ColdReported:
		s.handleColdReported(now, e)
	case ColdAssumed:
		s.handleColdAssumed(now, e)
	case PushedBack:
		s.handlePushBack(now, e)
		return nil
	case BrittleReported:
		s.handleBrittleReported(now, e)
		return nil
	case BrittleNoticeReceived:
		s.handleBrittleNotice(now, e.Notice)
		return nil
	case CoordinatorFailed:
		s.handleCoordinatorFailed(e)
		return nil
	case MembersChanged:
		s.setMembers(e)
		return nil
	case LimitNoticeReceived:
		s.handleLimitNotice(now, e.Notice)
		return nil
	case UpstreamEnded:
		s.handleUpstreamEnded(now, e)
		return nil
	case CrashReceived:
		s.trackers[e.Crash.Kind].HandleCrash(now, e.Crash)
		return nil
	case FindingReceived:
		s.trackers[e.Finding.Kind].HandleFinding(now, e.Finding)
		return nil
	case Arrived:
		return s.handleArrival(now, e.Request)
	case Answered:
		s.trackers.answered(e.ID)
		return nil
	case Progressed:
		s.handleProgress(now, e)
		return nil
	case Ended:
		s.handleEnd(now, e)
	case Failed:
		s.recordOwnFailure(now, e)
		s.handleFailure(now, e.Upstream, e.Reason)
		return nil
	case Reached:
		if u := s.upstreams[e.Upstream]; u != nil {
			s.recordPoolReached(now, u)
		}
	case MoveRequested:
		return s.startMove(now, e)
	case MoveEnded:
		s.endMove(now, e)
	case NoticeReceived:
		s.handleNotice(now, e.Notice)
		if e.Notice.Kind != NoticeEnded {
			return nil
		}
	case RegionsChanged:
		s.regions = e.Regions
	case EvacuationsChanged:
		s.evacuated = slices.Clone(e.DataCentres)
	case Tick:
		s.expirePeerRequests(now)
		s.expireFailureReports(now)
		s.expireCold(now)
	}
	// The remaining events can make room for waiting requests, or let them expire.
	return s.serveQueue(now)
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = newPool()
		s.pools[name] = p
	}
	return p
}

// handleArrival places a new request, queues it, or refuses it if it can't be
// placed in time.
func (s *Scheduler) handleArrival(now time.Time, r Request) []Action {
	s.releaseFailed(now, r.ID)
	s.cancelMove(r.ID)
	s.trackers.closed(now, r.ID, false, r.NeverSent)
	if refusal, ok := s.refuseContained(now, r); ok {
		return []Action{refusal}
	}
	if !s.countAttempt(now, r) {
		return []Action{s.refuse(now, r, verdict.Overloaded, "the retry budget is exhausted")}
	}
	if refusal, ok := s.refuseCutOff(now, r); ok {
		return []Action{refusal}
	}
	if refusal, ok := s.refuseClosed(now, r); ok {
		return []Action{refusal}
	}
	candidates := s.candidates(now, r)
	if len(candidates) == 0 {
		return []Action{s.refuse(now, r, verdict.NoUpstream, "no live upstream in pool "+r.Class.Pool+r.versionText()+r.regionsText())}
	}
	w := newWaitingRequest(now, r)
	ahead := s.queue.ahead(now, w)
	if ahead.total() == 0 {
		if place, ok := s.place(now, w, candidates); ok {
			return []Action{place}
		}
		if len(s.accepting(now, &w.Request, candidates)) == 0 {
			if refusal, ok := s.refuseUnaccepted(now, w, candidates); ok {
				return []Action{refusal}
			}
		}
	}
	s.limitWait(w)
	start, latest := s.pool(r.Class.Pool).optimisticStart(now, r.Rank, ahead), earlier(w.deadline, w.expiresAt)
	if start.After(latest) || len(s.queue.list) >= maxQueue {
		explanation := fmt.Sprintf("%d requests are ahead in the queue and the earliest start is %v too late", ahead.total(), start.Sub(latest).Round(time.Millisecond))
		return []Action{s.refuseRanked(now, w, verdict.Overloaded, ahead, explanation)}
	}
	s.setLatestStart(w)
	s.queue.add(now, w)
	if r.Class.Kind == config.Stream {
		s.notify(Notice{Kind: NoticeWaiting, Request: r})
	}
	return nil
}

// countAttempt counts an attempt at a request. It reports whether it is the first one or the
// retry budget allows it.
func (s *Scheduler) countAttempt(now time.Time, r Request) bool {
	first := len(r.Excluded) == 0 && !r.Resubmitted
	switch {
	case r.Only != "" || first && r.FromMember:
		// The instance that sent the request has counted it.
		return true
	case first:
		s.retries.deposit(now, r.Class.Pool)
		return true
	}
	return r.NeverSent || s.retries.tryWithdraw(now, r.Class.Pool)
}
