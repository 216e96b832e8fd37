package control

import (
	"time"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/member"
)

// Event is an input of State.Step. Events that answer a question of this
// instance carry the time when it was asked, so that an answer that was in
// flight during a pause of the process is not treated as current.
type Event interface{ controlEvent() }

// ConfigReceived is a complete configuration from the service or a peer.
type ConfigReceived struct {
	Document config.Document
	// Source names the origin of the document, for the audit trail.
	Source      string
	RequestedAt time.Time
}

// ConfigVersionRead is the configuration service's answer about its newest
// version.
type ConfigVersionRead struct {
	Version     uint64
	Digest      string
	RequestedAt time.Time
}

// ConfigServiceUnreachable reports that the configuration service did not
// answer.
type ConfigServiceUnreachable struct{}

// FetchFailed reports that fetching a configuration or a list from a peer
// failed.
type FetchFailed struct{}

// ListRead is a copy of the instance list.
type ListRead struct {
	Entries   []member.ListedInstance
	Upstreams []decide.Upstream
	// Source names the origin of the list, ReadAt is when it was read from the
	// platform.
	Source string
	ReadAt time.Time
	// Since is when the list first appeared, as known to the peer that passes
	// it on; zero for a list that this instance read itself.
	Since       time.Time
	RequestedAt time.Time
}

// HeartbeatReceived is a peer's heartbeat. RequestedAt is zero unless the heartbeat
// is an answer to this instance's own.
type HeartbeatReceived struct {
	Heartbeat   member.Heartbeat
	RequestedAt time.Time
}

// PeersContacted reports that heartbeats to all partners were attempted once.
type PeersContacted struct{}

// UpstreamLeaving is an upstream's own announcement that it is leaving.
type UpstreamLeaving struct{ Mark member.LeavingMark }

// SchedulerEvent is an event for the scheduler.
type SchedulerEvent struct{ Event decide.Event }

// StopRequested begins the planned stop.
type StopRequested struct{}

// Paused reports that the process did not run for a while, so that its state
// may be out of date.
type Paused struct{ Gap time.Duration }

// Tick advances the time.
type Tick struct{}

func (ConfigReceived) controlEvent()           {}
func (ConfigVersionRead) controlEvent()        {}
func (ConfigServiceUnreachable) controlEvent() {}
func (FetchFailed) controlEvent()              {}
func (ListRead) controlEvent()                 {}
func (HeartbeatReceived) controlEvent()        {}
func (PeersContacted) controlEvent()           {}
func (UpstreamLeaving) controlEvent()          {}
func (SchedulerEvent) controlEvent()           {}
func (StopRequested) controlEvent()            {}
func (Paused) controlEvent()                   {}
func (Tick) controlEvent()                     {}

// Action is an output of State.Step that the caller carries out.
type Action interface{ controlAction() }

// SchedulerAction is a decision of the scheduler.
type SchedulerAction struct{ Action decide.Action }

// FetchConfigFromPeer fetches the configuration of a peer that has a newer one.
type FetchConfigFromPeer struct{ Peer member.Peer }

// FetchListFromPeer fetches the instance list of a peer that has a newer one.
type FetchListFromPeer struct{ Peer member.Peer }

// ReadConfigFromService reads from the configuration service once.
type ReadConfigFromService struct{}

// ReadListFromPlatform reads the instance list from the platform once.
type ReadListFromPlatform struct{}

// PollUpstream requests an upstream's load report at once.
type PollUpstream struct{ Upstream decide.Upstream }

// SendHeartbeats sends heartbeats to the partners at once, without waiting for the
// next interval.
type SendHeartbeats struct{}

// Record adds a change to the audit trail.
type Record struct {
	ID     event.ID
	Change any
}

// Publish replaces the snapshot that request goroutines read.
type Publish struct{ Snapshot *Snapshot }

func (SchedulerAction) controlAction()       {}
func (FetchConfigFromPeer) controlAction()   {}
func (FetchListFromPeer) controlAction()     {}
func (ReadConfigFromService) controlAction() {}
func (ReadListFromPlatform) controlAction()  {}
func (PollUpstream) controlAction()          {}
func (SendHeartbeats) controlAction()        {}
func (Record) controlAction()                {}
func (Publish) controlAction()               {}

// Snapshot is the part of the control state that other goroutines read. It is
// immutable.
type Snapshot struct {
	Config   *config.View
	Document config.Document
	// Removed holds the keys that were most recently removed from the
	// configuration.
	Removed   []config.Removal
	Upstreams []decide.Upstream
	// PolledUpstreams holds the upstreams whose load this instance polls.
	PolledUpstreams []decide.Upstream
	// PollingShared reports that each instance polls only some upstreams. Most
	// load reports then arrive by heartbeat, and are that old.
	PollingShared bool
	// ListedPeers holds the other entry instances in the instance list.
	ListedPeers []member.ListedInstance
	// Entries and ListedUpstreams are the instance list as it was read, for
	// passing on to peers.
	Entries         []member.ListedInstance
	ListedUpstreams []decide.Upstream
	// Partners are the instances that heartbeats are exchanged with.
	Partners []member.ListedInstance
	Peers    []member.Peer
	// Leaving holds the leaving marks of listed upstreams; LeavingHash is a
	// hash over them.
	Leaving     []member.LeavingMark
	LeavingHash uint64
	// ListHash identifies the contents of the instance list; ListReadAt is when
	// any instance last read this list from the platform.
	ListHash   uint64
	ListReadAt time.Time
	// ListSince is when the list first appeared at the instance that read it.
	ListSince time.Time
	// ConfigContactAt is the time of the configuration service's last answer,
	// zero when the latest attempt failed.
	ConfigContactAt time.Time
	// ConfigFailed is set for a while after the configuration service could not
	// be reached.
	ConfigFailed bool
	// Reader reports whether this instance watches the platform for its data
	// centre.
	Reader bool
	// Ready reports whether the load balancer should send new requests here.
	Ready    bool
	Stopping bool
	// Missing lists the prerequisites that keep the instance from being ready.
	Missing []Prerequisite
}

// Prerequisite is a condition that an instance must meet before it is ready.
type Prerequisite uint8

const (
	// NeedsConfiguration requires a configuration, from the service or a peer.
	NeedsConfiguration Prerequisite = iota
	// NeedsInstanceList requires an instance list, from the platform or a peer.
	NeedsInstanceList
	// NeedsServiceAnswer requires one attempt to reach the configuration
	// service.
	NeedsServiceAnswer
	// NeedsPeerAnswers requires one attempt to reach the known peers.
	NeedsPeerAnswers
	// NeedsNewestConfiguration requires the newest known version to be in
	// force.
	NeedsNewestConfiguration
)

var prerequisiteNames = [...]string{
	NeedsConfiguration: "configuration", NeedsInstanceList: "instance_list", NeedsServiceAnswer: "configuration_service_answer",
	NeedsPeerAnswers: "peer_answers", NeedsNewestConfiguration: "newest_configuration",
}

// String returns the name in snake case.
func (p Prerequisite) String() string { return prerequisiteNames[p] }

// MarshalText implements encoding.TextMarshaler.
func (p Prerequisite) MarshalText() ([]byte, error) { return []byte(p.String()), nil }
