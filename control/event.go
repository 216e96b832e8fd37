package control

import (
	"time"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/member"
)

// Event is an input of State.Step. Events that report the response to a request
// of this instance contain the time of the request, so that a response that was
// in flight during a pause of the process is not treated as current.
type Event interface{ controlEvent() }

// ConfigReceived is a complete configuration from the service or a peer.
type ConfigReceived struct {
	Document config.Document
	// Source identifies the origin of the document in the audit trail.
	Source      string
	RequestedAt time.Time
}

// ConfigVersionRead is a response of the configuration service with its newest
// version.
type ConfigVersionRead struct {
	Version     uint64
	Digest      string
	RequestedAt time.Time
}

// ConfigServiceUnreachable reports a failed attempt to reach the configuration
// service.
type ConfigServiceUnreachable struct{}

// FetchFailed reports that fetching a configuration or a list from a peer
// failed.
type FetchFailed struct{}

// ListRead is a copy of the instance list.
type ListRead struct {
	Entries   []member.ListedInstance
	Upstreams []decide.Upstream
	// Source identifies the origin of the list. ReadAt is the time at which it
	// was read from the platform.
	Source string
	ReadAt time.Time
	// Since is the time at which the list first appeared, as reported by the
	// peer that sent it; zero for a list that this instance read itself.
	Since       time.Time
	RequestedAt time.Time
}

// HeartbeatReceived is a peer's heartbeat. RequestedAt is zero unless the
// heartbeat is the response to a heartbeat of this instance.
type HeartbeatReceived struct {
	Heartbeat   member.Heartbeat
	RequestedAt time.Time
}

// PeersAttempted reports that a heartbeat to each partner has been attempted
// once.
type PeersAttempted struct{}

// UpstreamLeaving is an upstream's announcement that it is leaving.
type UpstreamLeaving struct{ Mark member.LeavingMark }

// SchedulerEvent wraps an event for the scheduler.
type SchedulerEvent struct{ Event decide.Event }

// StopRequested begins the planned stop.
type StopRequested struct{}

// Paused reports that the process did not run for the length of Gap, so that
// its state may be out of date.
type Paused struct{ Gap time.Duration }

// Tick advances the time.
type Tick struct{}

func (ConfigReceived) controlEvent()           {}
func (ConfigVersionRead) controlEvent()        {}
func (ConfigServiceUnreachable) controlEvent() {}
func (FetchFailed) controlEvent()              {}
func (ListRead) controlEvent()                 {}
func (HeartbeatReceived) controlEvent()        {}
func (PeersAttempted) controlEvent()           {}
func (UpstreamLeaving) controlEvent()          {}
func (SchedulerEvent) controlEvent()           {}
func (StopRequested) controlEvent()            {}
func (Paused) controlEvent()                   {}
func (Tick) controlEvent()                     {}

// Action is an output of State.Step that the caller carries out.
type Action interface{ controlAction() }

// SchedulerAction wraps a decision of the scheduler.
type SchedulerAction struct{ Action decide.Action }

// FetchConfigFromPeer fetches the configuration of a peer that has a newer one.
type FetchConfigFromPeer struct{ Peer member.Peer }

// FetchListFromPeer fetches the instance list of a peer that has a newer one.
type FetchListFromPeer struct{ Peer member.Peer }

// ReadConfigFromService reads from the configuration service once.
type ReadConfigFromService struct{}

// ReadListFromPlatform reads the instance list from the platform once.
type ReadListFromPlatform struct{}

// PollUpstream requests an upstream's load report immediately.
type PollUpstream struct{ Upstream decide.Upstream }

// SendHeartbeats sends heartbeats to the partners immediately, without waiting
// for the next interval.
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
	// Removed contains the keys that were most recently removed from the
	// configuration.
	Removed   []config.Removal
	Upstreams []decide.Upstream
	// PolledUpstreams contains the upstreams whose load this instance polls.
	PolledUpstreams []decide.Upstream
	// PollingShared reports whether each instance polls only some upstreams.
	// Most load reports then arrive in heartbeats, which adds to their age.
	PollingShared bool
	// ListedPeers contains the other entry instances in the instance list.
	ListedPeers []member.ListedInstance
	// Entries and ListedUpstreams are the instance list as it was read, for
	// forwarding to peers.
	Entries         []member.ListedInstance
	ListedUpstreams []decide.Upstream
	// Partners are the instances with which heartbeats are exchanged.
	Partners []member.ListedInstance
	// Peers are the live peers with their latest heartbeats.
	Peers []member.Peer
	// Leaving contains the leaving marks of listed upstreams. LeavingHash is a
	// hash over them.
	Leaving     []member.LeavingMark
	LeavingHash uint64
	// ListHash identifies the contents of the instance list. ListReadAt is the
	// time at which any instance last read this list from the platform.
	ListHash   uint64
	ListReadAt time.Time
	// ListSince is the time at which the list first appeared at the instance
	// that read it.
	ListSince time.Time
	// ConfigContactAt is the time of the configuration service's latest
	// response; zero if the latest attempt failed.
	ConfigContactAt time.Time
	// ConfigFailed reports whether this instance recently failed to reach the
	// configuration service.
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
	// service, successful or not.
	NeedsServiceAnswer
	// NeedsPeerAnswers requires one attempt to reach each heartbeat partner.
	NeedsPeerAnswers
	// NeedsNewestConfiguration requires the newest announced version to be
	// active.
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
