// Package control holds all control state of an entry instance and the one
// step that changes it. The step is a pure function of the state, the time and
// an event: it does no I/O and reads no clock, so every decision can be
// replayed.
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
	// staleLimit is how long after a pause the instance waits to hear from
	// outside. One that hears from nobody is cut off, and serves what it can.
	staleLimit = 2 * time.Second
	// heldLimit bounds the requests that wait for the end of the stale state.
	heldLimit = 1024
	// overflowBackoff is when a request may come back that was one too many.
	overflowBackoff = 1 * time.Second
)

// State is all control state. It belongs to one goroutine.
type State struct {
	instance, dataCentre string

	register  config.Register
	intake    intake
	members   *member.Table
	list      list
	upstreams upstreams
	scheduler Scheduler
	stopping  bool
	ready     bool
	lacks     []Prerequisite
	// serviceBehind says that the configuration service's version is lower
	// than the one in force.
	serviceBehind bool

	// staleSince is set by a pause, until something was heard from outside
	// that was asked for after it. Requests that come meanwhile are held.
	stale      bool
	staleSince time.Time
	held       []decide.Arrived

	// What follows is derived: whom the instance speaks to and for what.
	reader      bool
	partners    []member.ListedInstance
	polls       []decide.Upstream
	pollsShared bool
	lookAround  bool
	lookAgainAt time.Time
	// dirty says that the snapshot is out of date.
	dirty bool
	// draws counts the uses of jitter.
	draws uint64
}

// Scheduler decides where requests go, when, and which are refused.
type Scheduler interface {
	// Step takes one event at a time that never falls, and returns what to do.
	Step(now time.Time, e decide.Event) []decide.Action
}

// New returns the state of an instance that knows nothing yet.
func New(instance, dataCentre string) *State {
	return NewWithScheduler(instance, dataCentre, decide.New(dataCentre))
}

// NewWithScheduler is New with a scheduler of the caller's choice.
func NewWithScheduler(instance, dataCentre string, scheduler Scheduler) *State {
	return &State{
		instance: instance, dataCentre: dataCentre,
		members: member.New(instance, dataCentre), scheduler: scheduler, upstreams: newUpstreams(),
	}
}

// Step takes one event and returns what to do, in order.
func (s *State) Step(now time.Time, e Event) []Action {
	actions := s.handle(now, e)
	if !s.stale && len(s.held) > 0 {
		actions = append(actions, s.releaseHeld(now)...)
	}
	if !s.dirty {
		return actions
	}
	// The snapshot comes first: what is announced must be in it.
	s.dirty = false
	return append([]Action{s.publish()}, actions...)
}

func (s *State) handle(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case ConfigReceived:
		return s.offerConfig(now, e)
	case ConfigVersionRead:
		return s.seeService(now, e)
	case ConfigServiceUnreachable:
		return s.missService(now)
	case FetchFailed:
		s.intake.fetchAt, s.list.fetchAt = time.Time{}, time.Time{}
	case ListRead:
		return s.readList(now, e)
	case HeartbeatReceived:
		return s.hearPeer(now, e)
	case PeersContacted:
		s.intake.askedPeers, s.lookAround = true, true
		return s.refreshReady(now)
	case UpstreamLeaving:
		return s.markLeaving(now, e.Mark, "upstream")
	case SchedulerEvent:
		return s.hearTraffic(now, e.Event)
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

// heardPeer ends the stale state if the answer was asked for after the pause:
// what came earlier may have waited as long as the process did.
func (s *State) heardPeer(askedAt time.Time) {
	if s.stale && askedAt.After(s.staleSince) {
		s.stale = false
	}
}

// heardPlatform ends the stale state of an instance without peers. One that
// has peers waits for them: they know of upstreams that left while the
// platform's list still shows them live.
func (s *State) heardPlatform(askedAt time.Time) {
	if len(s.partners) == 0 {
		s.heardPeer(askedAt)
	}
}

// hearTraffic takes what traffic goroutines tell the scheduler.
func (s *State) hearTraffic(now time.Time, e decide.Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case decide.Arrived:
		if s.stale {
			return s.hold(now, e)
		}
	case decide.Ended:
		s.held = slices.DeleteFunc(s.held, func(a decide.Arrived) bool { return a.Request.ID == e.ID })
	case decide.Failed:
		actions = s.hearRefusal(now, e)
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
	if len(s.held) >= heldLimit {
		return []Action{SchedulerAction{decide.Refuse{
			ID: e.Request.ID, Reason: verdict.Overloaded, RetryAt: now.Add(overflowBackoff),
			Why: "this instance was paused, and too many requests wait until it has heard what it missed",
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
	if s.stale && now.Sub(s.staleSince) > staleLimit {
		s.stale = false
	}
	actions := s.expirePeers(now)
	s.upstreams.forget(now)
	s.refreshTopology(now)
	actions = append(actions, s.fallBack(now)...)
	actions = append(actions, s.fallBackOnList(now)...)
	actions = append(actions, s.refreshReady(now)...)
	return append(actions, s.schedule(now, decide.Tick{})...)
}

// lacksNow lists what the instance waits for. A newcomer asks both the service
// and its peers, so that neither a stale service nor a peer that missed a
// version sets it back behind the fleet.
func (s *State) lacksNow(now time.Time) []Prerequisite {
	var lacks []Prerequisite
	seenAt := s.late()
	for _, c := range []struct {
		lacks bool
		lack  Prerequisite
	}{
		{s.register.View() == nil, NeedsConfiguration},
		{!s.list.known, NeedsInstanceList},
		{!s.intake.askedService, NeedsServiceAnswer},
		{!s.intake.askedPeers, NeedsPeerAnswers},
		{!seenAt.IsZero() && now.Sub(seenAt) < newestLimit, NeedsNewestConfiguration},
	} {
		if c.lacks {
			lacks = append(lacks, c.lack)
		}
	}
	return lacks
}

// readyRecord is the audit record of an instance that is ready.
type readyRecord struct {
	Version uint64 `json:"version"`
}

// lacksRecord is the audit record of an instance that is not ready.
type lacksRecord struct {
	Lacks []Prerequisite `json:"lacks"`
}

// refreshReady looks whether a newcomer lacks nothing any more. Once ready, an
// instance stays so: it serves what it can.
func (s *State) refreshReady(now time.Time) []Action {
	if s.ready {
		return nil
	}
	lacks := s.lacksNow(now)
	if len(lacks) == 0 {
		s.ready, s.lacks, s.dirty = true, nil, true
		return []Action{Record{event.InstanceReady, readyRecord{s.register.View().Version}}}
	}
	if slices.Equal(lacks, s.lacks) {
		return nil
	}
	s.lacks, s.dirty = lacks, true
	return []Action{Record{event.InstanceLacks, lacksRecord{lacks}}}
}

func (s *State) publish() Action {
	s.list.publishedAt = s.list.readAt
	return Publish{&Snapshot{
		Config: s.register.View(), Document: s.register.Document(), Removed: s.register.Removed(),
		Upstreams: s.upstreams.marked, PolledUpstreams: s.polls, PollingShared: s.pollsShared, ListedPeers: s.members.ListedPeers(), Entries: s.list.entries, ListedUpstreams: s.upstreams.listed,
		Partners: s.partners, Peers: s.members.Alive(),
		Leaving: s.upstreams.leaving, LeavingHash: s.upstreams.hash,
		ListHash: s.list.hash, ListReadAt: s.list.readAt, ListSince: s.list.since, ConfigContactAt: s.intake.contact, ConfigFailed: s.intake.failed, Reader: s.reader,
		Ready: s.ready && !s.stopping, Stopping: s.stopping, Missing: s.lacks,
	}}
}
