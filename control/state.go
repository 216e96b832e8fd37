// Package control holds all control state of an entry instance and the one
// step that changes it. The step is a pure function of the state, the time and
// an event: it does no I/O and reads no clock, so every decision can be
// replayed.
package control

import (
	"time"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/jsonc"
	"mangoloft/member"
	"mangoloft/verdict"
)

// Event is something that happened.
type Event interface{ controlEvent() }

// ConfigOffered is a whole configuration read from the service or a peer.
type ConfigOffered struct {
	Document config.Document
	// Source names where it came from, for the audit trail.
	Source string
}

// ListRead is a new copy of the instance list.
type ListRead struct {
	Entries   []member.Listed
	Upstreams []decide.Upstream
}

// PeerHeard is a peer's heartbeat.
type PeerHeard struct{ Heartbeat member.Heartbeat }

// UpstreamLeaves is an upstream's own sign that it is leaving.
type UpstreamLeaves struct{ Mark member.Mark }

// Scheduling is an event for the scheduler.
type Scheduling struct{ Event decide.Event }

// StopRequested begins the planned stop.
type StopRequested struct{}

// Paused says that the process did not run for a while and may believe things
// that are no longer true.
type Paused struct{ Gap time.Duration }

// Tick lets time pass.
type Tick struct{}

func (ConfigOffered) controlEvent()  {}
func (ListRead) controlEvent()       {}
func (PeerHeard) controlEvent()      {}
func (UpstreamLeaves) controlEvent() {}
func (Scheduling) controlEvent()     {}
func (StopRequested) controlEvent()  {}
func (Paused) controlEvent()         {}
func (Tick) controlEvent()           {}

// Action is something to be done.
type Action interface{ controlAction() }

// Scheduled is a decision of the scheduler.
type Scheduled struct{ Action decide.Action }

// FetchConfig asks a peer for its configuration, which is newer.
type FetchConfig struct{ Peer member.Peer }

// Announce tells all peers the news at once, before the next heartbeat.
type Announce struct{}

// Record puts a change into the audit trail.
type Record struct {
	ID     event.ID
	Change any
}

// Publish replaces the snapshot that traffic reads.
type Publish struct{ Snapshot *Snapshot }

func (Scheduled) controlAction()   {}
func (FetchConfig) controlAction() {}
func (Announce) controlAction()    {}
func (Record) controlAction()      {}
func (Publish) controlAction()     {}

// Snapshot is what traffic reads of the control state. It is immutable.
type Snapshot struct {
	Config    *config.View
	Document  config.Document
	Upstreams []decide.Upstream
	Listed    []member.Listed
	Peers     []member.Peer
	Leaving   []member.Mark
	// Ready says that the instance wants new work from the balancer.
	Ready    bool
	Stopping bool
}

// State is all control state. It belongs to one goroutine.
type State struct {
	register  config.Register
	members   *member.Table
	scheduler *decide.Scheduler
	listed    []decide.Upstream
	listRead  bool
	leaving   map[member.Mark]bool
	stopping  bool
	// stale is set after a pause, until anything was heard from outside.
	stale bool
	ready bool
}

// New returns the state of an instance that knows nothing yet.
func New(instance, dataCentre string) *State {
	return &State{members: member.New(instance), scheduler: decide.New(dataCentre), leaving: map[member.Mark]bool{}}
}

// Step takes one event and returns what to do, in order.
func (s *State) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case ConfigOffered:
		return s.offerConfig(now, e)
	case ListRead:
		return s.readList(now, e)
	case PeerHeard:
		return s.hearPeer(now, e.Heartbeat)
	case UpstreamLeaves:
		return s.markLeaving(now, e.Mark, "upstream")
	case Scheduling:
		return s.schedule(now, e.Event)
	case StopRequested:
		s.stopping = true
		return []Action{Announce{}, s.publish()}
	case Paused:
		s.stale = true
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

// configRecord is the audit record of a configuration, accepted or refused.
type configRecord struct {
	Version uint64   `json:"version"`
	Source  string   `json:"source"`
	Changed []string `json:"changed,omitempty"`
	Faults  []string `json:"faults,omitempty"`
}

func (s *State) offerConfig(now time.Time, e ConfigOffered) []Action {
	s.stale = false
	before := s.register.Document()
	accepted, faults := s.register.Offer(e.Document)
	record := configRecord{Version: e.Document.Index.Version, Source: e.Source}
	if len(faults) > 0 {
		record.Faults = faultLines(faults)
		return []Action{Record{event.ConfigRefused, record}}
	}
	if !accepted {
		return nil
	}
	record.Changed = e.Document.Index.Missing(before.Values, before.Index)
	return append(s.refreshReady(now), Record{event.ConfigAccepted, record}, Announce{}, s.publish())
}

func faultLines(faults jsonc.Faults) []string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return lines
}

// listRecord is the audit record of a change of the instance list.
type listRecord struct {
	Entries   int `json:"entries"`
	Upstreams int `json:"upstreams"`
}

// upstreamRecord is the audit record of a change of one upstream.
type upstreamRecord struct {
	Upstream    string            `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Source      string            `json:"source"`
}

func (s *State) readList(now time.Time, e ListRead) []Action {
	s.stale = false
	changed := s.members.SetListed(e.Entries) || !equalUpstreams(s.listed, e.Upstreams)
	first := !s.listRead
	s.listRead = true
	if !changed && !first {
		return nil
	}
	s.listed = e.Upstreams
	var actions []Action
	for _, u := range e.Upstreams {
		if u.Leaving {
			actions = append(actions, s.markLeaving(now, member.Mark{Upstream: u.Name, Incarnation: u.Incarnation}, "instance_list")...)
		}
	}
	s.applyUpstreams(now)
	actions = append(actions, Record{event.ListChanged, listRecord{len(e.Entries), len(e.Upstreams)}})
	return append(actions, append(s.refreshReady(now), s.publish())...)
}

func equalUpstreams(a, b []decide.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (s *State) hearPeer(now time.Time, h member.Heartbeat) []Action {
	s.stale = false
	var actions []Action
	if s.members.Heard(now, h) {
		actions = append(actions, Record{event.PeerAlive, peerRecord{h.Name, h.Home.Incarnation}}, s.publish())
	}
	for _, mark := range h.Leaving {
		actions = append(actions, s.markLeaving(now, mark, h.Name)...)
	}
	if s.register.Wants(h.ConfigVersion, h.ConfigDigest) {
		actions = append(actions, FetchConfig{member.Peer{Heartbeat: h}})
	}
	return actions
}

// peerRecord is the audit record of a peer that came or fell silent.
type peerRecord struct {
	Peer        string            `json:"peer"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// markLeaving is sticky: whatever the list says later, this incarnation of the
// upstream gets no new work.
func (s *State) markLeaving(now time.Time, mark member.Mark, source string) []Action {
	if s.leaving[mark] {
		return nil
	}
	s.leaving[mark] = true
	s.applyUpstreams(now)
	return []Action{Record{event.UpstreamLeaving, upstreamRecord{mark.Upstream, mark.Incarnation, source}}, Announce{}, s.publish()}
}

func (s *State) upstreams() []decide.Upstream {
	marked := make([]decide.Upstream, len(s.listed))
	for i, u := range s.listed {
		u.Leaving = u.Leaving || s.leaving[member.Mark{Upstream: u.Name, Incarnation: u.Incarnation}]
		marked[i] = u
	}
	return marked
}

func (s *State) applyUpstreams(now time.Time) {
	s.scheduler.Step(now, decide.UpstreamsChanged{Upstreams: s.upstreams()})
}

func (s *State) schedule(now time.Time, e decide.Event) []Action {
	if arrived, ok := e.(decide.Arrived); ok && s.stale {
		return []Action{Scheduled{decide.Refuse{
			ID: arrived.Request.ID, Reason: verdict.NotConfigured, RetryAt: now.Add(time.Second),
			Why: "this instance was paused and has not heard from anyone since",
		}}}
	}
	var actions []Action
	for _, action := range s.scheduler.Step(now, e) {
		actions = append(actions, Scheduled{action})
	}
	return actions
}

func (s *State) tick(now time.Time) []Action {
	var actions []Action
	for _, peer := range s.members.Expire(now) {
		actions = append(actions, Record{event.PeerSilent, peerRecord{peer.Name, peer.Home.Incarnation}}, s.publish())
	}
	return append(actions, s.schedule(now, decide.Tick{})...)
}

func (s *State) refreshReady(time.Time) []Action {
	ready := s.register.View() != nil && s.listRead
	if ready == s.ready {
		return nil
	}
	s.ready = ready
	return []Action{Record{event.InstanceReady, configRecord{Version: s.register.View().Version}}}
}

func (s *State) publish() Action {
	marks := make([]member.Mark, 0, len(s.leaving))
	for mark := range s.leaving {
		marks = append(marks, mark)
	}
	return Publish{&Snapshot{
		Config: s.register.View(), Document: s.register.Document(),
		Upstreams: s.upstreams(), Listed: s.members.Listed(), Peers: s.members.Alive(), Leaving: marks,
		Ready: s.ready && !s.stopping, Stopping: s.stopping,
	}}
}
