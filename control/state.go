// Package control holds all control state of an entry instance and the step
// function that changes it. The step depends only on the state, the time and an
// event: it does no I/O and reads no clock, so every decision can be replayed.
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
	// staleTimeout is how long after a pause the instance waits for an answer
	// from outside. An instance without any answer is cut off, and goes on
	// serving with the state it has.
	staleTimeout = 2 * time.Second
	// maxHeld bounds the requests that wait for the end of the stale state.
	maxHeld = 1024
	// overflowBackoff is the retry delay given to requests beyond maxHeld.
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
	missing    []Prerequisite
	// serviceBehind is set while the configuration service's version is lower
	// than the one in force.
	serviceBehind bool

	// stale is set by a pause, and cleared by an answer to a question asked
	// after staleSince or after staleTimeout. Requests that arrive in between
	// are held.
	stale      bool
	staleSince time.Time
	held       []decide.Arrived

	// The following fields are derived: the instance's role, its heartbeat
	// partners and the upstreams that it polls.
	reader         bool
	partners       []member.ListedInstance
	polled         []decide.Upstream
	pollingShared  bool
	topologyDirty  bool
	nextTopologyAt time.Time
	// dirty is set when the published snapshot is out of date.
	dirty bool
	// draws counts the calls of jitter.
	draws uint64
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
	if !s.stale && len(s.held) > 0 {
		actions = append(actions, s.releaseHeld(now)...)
	}
	if !s.dirty {
		return actions
	}
	// The snapshot comes first, because announcements are built from it.
	s.dirty = false
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
	case PeersContacted:
		s.configSync.peersContacted, s.topologyDirty = true, true
		return s.refreshReady(now)
	case UpstreamLeaving:
		return s.markLeaving(now, e.Mark, "upstream")
	case SchedulerEvent:
		return s.handleSchedulerEvent(now, e.Event)
	case StopRequested:
		s.stopping, s.dirty = true, true
		return []Action{Announce{}}
	case Paused:
		s.stale, s.staleSince = true, now
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

// confirmByPeer ends the stale state if the answer's question was asked after
// the pause. An earlier answer may have been queued for as long as the process
// was paused.
func (s *State) confirmByPeer(askedAt time.Time) {
	if s.stale && askedAt.After(s.staleSince) {
		s.stale = false
	}
}

// confirmByPlatform ends the stale state of an instance without peers. An
// instance with peers waits for one of them: peers know of upstreams that have
// left while the platform's list still shows them as live.
func (s *State) confirmByPlatform(askedAt time.Time) {
	if len(s.partners) == 0 {
		s.confirmByPeer(askedAt)
	}
}

// handleSchedulerEvent passes an event from a request goroutine to the
// scheduler. Arriving requests are held while the state is stale.
func (s *State) handleSchedulerEvent(now time.Time, e decide.Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case decide.Arrived:
		if s.stale {
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

func (s *State) hold(now time.Time, e decide.Arrived) []Action {
	if len(s.held) >= maxHeld {
		return []Action{SchedulerAction{decide.Refuse{
			ID: e.Request.ID, Reason: verdict.Overloaded, RetryAt: now.Add(overflowBackoff),
			Why: "this instance was paused, and too many requests are waiting until it has caught up",
		}}}
	}
	s.held = append(s.held, e)
	return nil
}

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
	if s.stale && now.Sub(s.staleSince) > staleTimeout {
		s.stale = false
	}
	actions := s.expirePeers(now)
	s.upstreams.expireMarks(now)
	s.refreshTopology(now)
	actions = append(actions, s.readConfigAsFallback(now)...)
	actions = append(actions, s.readListAsFallback(now)...)
	actions = append(actions, s.refreshReady(now)...)
	return append(actions, s.schedule(now, decide.Tick{})...)
}

// missingPrerequisites lists what the instance still needs to be ready. A
// starting instance asks both the service and its peers, so that neither a
// stale service nor a peer that missed a version puts it behind the fleet.
func (s *State) missingPrerequisites(now time.Time) []Prerequisite {
	var missing []Prerequisite
	seenAt := s.newerVersionSince()
	for _, c := range []struct {
		missing      bool
		prerequisite Prerequisite
	}{
		{s.register.View() == nil, NeedsConfiguration},
		{!s.list.known, NeedsInstanceList},
		{!s.configSync.serviceContacted, NeedsServiceAnswer},
		{!s.configSync.peersContacted, NeedsPeerAnswers},
		{!seenAt.IsZero() && now.Sub(seenAt) < newestVersionTimeout, NeedsNewestConfiguration},
	} {
		if c.missing {
			missing = append(missing, c.prerequisite)
		}
	}
	return missing
}

// readyRecord is the audit record of an instance that became ready.
type readyRecord struct {
	Version uint64 `json:"version"`
}

// prerequisitesRecord is the audit record of an instance that is not ready.
type prerequisitesRecord struct {
	Lacks []Prerequisite `json:"lacks"`
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
		s.ready, s.missing, s.dirty = true, nil, true
		return []Action{Record{event.InstanceReady, readyRecord{s.register.View().Version}}}
	}
	if slices.Equal(missing, s.missing) {
		return nil
	}
	s.missing, s.dirty = missing, true
	return []Action{Record{event.InstanceNotReady, prerequisitesRecord{missing}}}
}

func (s *State) publish() Action {
	s.list.publishedAt = s.list.readAt
	return Publish{&Snapshot{
		Config: s.register.View(), Document: s.register.Document(), Removed: s.register.Removed(),
		Upstreams: s.upstreams.marked, PolledUpstreams: s.polled, PollingShared: s.pollingShared, ListedPeers: s.members.ListedPeers(), Entries: s.list.entries, ListedUpstreams: s.upstreams.listed,
		Partners: s.partners, Peers: s.members.Alive(),
		Leaving: s.upstreams.leaving, LeavingHash: s.upstreams.hash,
		ListHash: s.list.hash, ListReadAt: s.list.readAt, ListSince: s.list.since, ConfigContactAt: s.configSync.contactAt, ConfigFailed: s.configSync.failed, Reader: s.reader,
		Ready: s.ready && !s.stopping, Stopping: s.stopping, Missing: s.missing,
	}}
}
