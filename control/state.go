// Package control holds all control state of an entry instance and the step
// function that changes it. The step depends only on the state, the time and an
// event: it does no I/O and reads no clock, so every decision can be replayed.
//
// The platform provides the configuration service and the instance list, which
// contains all entry instances and upstreams. A reader is an instance that
// reads both for its data centre. An incarnation is one process lifetime of an
// instance or upstream. A leaving mark records that an incarnation of an
// upstream is leaving.
package control

import (
	"slices"
	"time"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/member"
	"mangoloft/verdict"
)

const (
	// resumeTimeout is the maximum time for which an instance holds new
	// requests after a pause until another process responds. An instance that
	// receives no response is partitioned, and continues with the state it has.
	resumeTimeout = 2 * time.Second
	// maxHeld is the maximum number of requests that are held after a pause.
	maxHeld = 1024
	// overflowBackoff is the retry delay returned for requests beyond maxHeld.
	overflowBackoff = 1 * time.Second
)

// State is the whole control state. It is confined to one goroutine.
type State struct {
	instance, dataCentre string

	register   config.Register
	configSync configSync
	members    *member.Table
	list       list
	upstreams  upstreams
	scheduler  Scheduler
	stopping   bool
	ready      bool
	// missing lists the prerequisites that are not met yet.
	missing []Prerequisite
	// serviceBehind is true while the configuration service's version is older
	// than the active one.
	serviceBehind bool

	// resuming is true from the end of a pause, at resumedAt, until the
	// response to a request sent after it arrives, or until resumeTimeout.
	// Requests that arrive in this time are held, because the state may be out
	// of date.
	resuming  bool
	resumedAt time.Time
	held      []decide.Arrived

	// The following fields are derived: the instance's role, its heartbeat
	// partners and the upstreams that it polls.
	reader        bool
	partners      []member.ListedInstance
	polled        []decide.Upstream
	pollingShared bool
	// topologyStale is true if the fields above are out of date. They are also
	// updated at nextTopologyAt.
	topologyStale  bool
	nextTopologyAt time.Time
	// snapshotStale is true if the published snapshot is out of date.
	snapshotStale bool
	// jitterCalls counts the calls of jitter.
	jitterCalls uint64
}

// Scheduler decides where and when requests are placed, and which are refused.
type Scheduler interface {
	// Step processes one event and returns the resulting actions. The times of
	// successive calls must not decrease.
	Step(now time.Time, e decide.Event) []decide.Action
}

// New returns the state of an instance that has just started.
func New(instance, dataCentre string) *State {
	return NewWithScheduler(instance, dataCentre, decide.New(dataCentre))
}

// NewWithScheduler is like New, with the given scheduler.
func NewWithScheduler(instance, dataCentre string, scheduler Scheduler) *State {
	return &State{
		instance: instance, dataCentre: dataCentre,
		members: member.New(instance, dataCentre), scheduler: scheduler, upstreams: newUpstreams(),
	}
}

// Step processes one event and returns the resulting actions in order.
func (s *State) Step(now time.Time, e Event) []Action {
	actions := s.handle(now, e)
	if !s.resuming && len(s.held) > 0 {
		actions = append(actions, s.releaseHeld(now)...)
	}
	if !s.snapshotStale {
		return actions
	}
	// The snapshot comes first, because heartbeats are built from it.
	s.snapshotStale = false
	return append([]Action{s.publish()}, actions...)
}

func (s *State) handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case ConfigReceived:
		return s.handleConfig(now, e)
	case ConfigVersionRead:
		return s.handleConfigVersion(now, e)
	case ConfigServiceUnreachable:
		return s.handleServiceFailure(now)
	case FetchFailed:
		s.configSync.nextFetchAt, s.list.nextFetchAt = time.Time{}, time.Time{}
	case ListRead:
		return s.handleList(now, e)
	case HeartbeatReceived:
		return s.handleHeartbeat(now, e)
	case PeersAttempted:
		s.configSync.peersAttempted, s.topologyStale = true, true
		return s.refreshReady(now)
	case UpstreamLeaving:
		return s.markLeaving(now, e.Mark, "upstream")
	case SchedulerEvent:
		return s.handleSchedulerEvent(now, e.Event)
	case StopRequested:
		s.stopping, s.snapshotStale = true, true
		return []Action{SendHeartbeats{}}
	case Paused:
		s.resuming, s.resumedAt = true, now
		s.members.ExtendLiveness(now)
		return []Action{Record{event.ProcessPaused, pauseRecord{e.Gap.Milliseconds()}}}
	case Tick:
		return s.tick(now)
	}
	return nil
}

// pauseRecord is the audit record of a pause.
type pauseRecord struct {
	GapMS int64 `json:"gap_ms"`
}

// handlePeerResponse ends the resuming state if the request was sent after the
// pause. The response to an earlier request may have been queued during the
// pause. requestedAt is zero for a heartbeat that is not a response.
func (s *State) handlePeerResponse(requestedAt time.Time) {
	if s.resuming && requestedAt.After(s.resumedAt) {
		s.resuming = false
	}
}

// endResumingWithoutPeers ends the resuming state, in which new requests are
// held after a pause, if the instance has no peers and the request was sent
// after the pause. An instance with peers waits for one of them, because only a
// peer's heartbeat contains leaving marks of upstreams that the platform's list
// still shows as live.
func (s *State) endResumingWithoutPeers(requestedAt time.Time) {
	if len(s.partners) == 0 {
		s.handlePeerResponse(requestedAt)
	}
}

// handleSchedulerEvent forwards an event from a request goroutine to the
// scheduler. Arriving requests are held after a pause.
func (s *State) handleSchedulerEvent(now time.Time, e decide.Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case decide.Arrived:
		if s.resuming {
			return s.hold(now, e)
		}
	case decide.Ended:
		s.held = slices.DeleteFunc(s.held, func(a decide.Arrived) bool { return a.Request.ID == e.ID })
	case decide.Failed:
		actions = s.handleRefusal(now, e)
	}
	return append(actions, s.schedule(now, e)...)
}

func (s *State) schedule(now time.Time, e decide.Event) []Action {
	var actions []Action
	for _, action := range s.scheduler.Step(now, e) {
		actions = append(actions, SchedulerAction{action})
	}
	return actions
}

// hold holds an arriving request, or refuses it if maxHeld requests are held.
func (s *State) hold(now time.Time, e decide.Arrived) []Action {
	if len(s.held) >= maxHeld {
		return []Action{SchedulerAction{decide.Refuse{
			ID: e.Request.ID, Reason: verdict.Overloaded, RetryAt: now.Add(overflowBackoff),
			Explanation: "this instance was paused, and too many requests are waiting until it has caught up",
		}}}
	}
	s.held = append(s.held, e)
	return nil
}

// releaseHeld sends the held requests to the scheduler.
func (s *State) releaseHeld(now time.Time) []Action {
	held := s.held
	s.held = nil
	var actions []Action
	for _, arrived := range held {
		actions = append(actions, s.schedule(now, arrived)...)
	}
	return actions
}

func (s *State) tick(now time.Time) []Action {
	if s.resuming && now.Sub(s.resumedAt) > resumeTimeout {
		s.resuming = false
	}
	actions := s.expirePeers(now)
	s.upstreams.expireMarks(now)
	s.refreshTopology(now)
	actions = append(actions, s.readConfigAsFallback(now)...)
	actions = append(actions, s.readListAsFallback(now)...)
	actions = append(actions, s.refreshReady(now)...)
	return append(actions, s.schedule(now, decide.Tick{})...)
}

// missingPrerequisites lists the prerequisites that are not met yet. A starting
// instance contacts both the service and its peers, so that neither a stale
// service nor a peer that missed a version makes it start with an old
// configuration.
func (s *State) missingPrerequisites(now time.Time) []Prerequisite {
	var missing []Prerequisite
	seenAt := s.newerVersionSince()
	for _, check := range []struct {
		missing      bool
		prerequisite Prerequisite
	}{
		{s.register.View() == nil, NeedsConfiguration},
		{!s.list.loaded, NeedsInstanceList},
		{!s.configSync.serviceAttempted, NeedsServiceAnswer},
		{!s.configSync.peersAttempted, NeedsPeerAnswers},
		{!seenAt.IsZero() && now.Sub(seenAt) < newestVersionTimeout, NeedsNewestConfiguration},
	} {
		if check.missing {
			missing = append(missing, check.prerequisite)
		}
	}
	return missing
}

// readyRecord is the audit record of an instance that became ready.
type readyRecord struct {
	Version uint64 `json:"version"`
}

// prerequisitesRecord is the audit record of an instance that is not yet ready.
type prerequisitesRecord struct {
	Missing []Prerequisite `json:"lacks"`
}

// refreshReady checks whether a starting instance has become ready. A ready
// instance stays ready, even when it later loses contact: it serves with the
// state it has.
func (s *State) refreshReady(now time.Time) []Action {
	if s.ready {
		return nil
	}
	missing := s.missingPrerequisites(now)
	if len(missing) == 0 {
		s.ready, s.missing, s.snapshotStale = true, nil, true
		return []Action{Record{event.InstanceReady, readyRecord{s.register.View().Version}}}
	}
	if slices.Equal(missing, s.missing) {
		return nil
	}
	s.missing, s.snapshotStale = missing, true
	return []Action{Record{event.InstanceNotReady, prerequisitesRecord{missing}}}
}

func (s *State) publish() Action {
	s.list.publishedReadAt = s.list.readAt
	return Publish{&Snapshot{
		Config: s.register.View(), Document: s.register.Document(), Removed: s.register.Removed(),
		Upstreams: s.upstreams.marked, PolledUpstreams: s.polled, PollingShared: s.pollingShared, ListedPeers: s.members.ListedPeers(), Entries: s.list.entries, ListedUpstreams: s.upstreams.listed,
		Partners: s.partners, Peers: s.members.Alive(),
		Leaving: s.upstreams.leaving, LeavingHash: s.upstreams.hash,
		ListHash: s.list.hash, ListReadAt: s.list.readAt, ListSince: s.list.since, ConfigContactAt: s.configSync.contactAt, ConfigFailed: s.configSync.serviceFailed, Reader: s.reader,
		Ready: s.ready && !s.stopping, Stopping: s.stopping, Missing: s.missing,
	}}
}
