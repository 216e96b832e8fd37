package control

import (
	"time"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/member"
)

// Event is something that happened. Events that answer a question of this
// instance hold when it was asked, so that what was on its way during a pause
// of the process is not taken for news.
type Event interface{ controlEvent() }

// ConfigReceived is a whole configuration read from the service or a peer.
type ConfigReceived struct {
	Document config.Document
	// Source names where it came from, for the audit trail.
	Source  string
	AskedAt time.Time
}

// ConfigVersionRead is the configuration service's answer about its newest version.
type ConfigVersionRead struct {
	Version uint64
	Digest  string
	AskedAt time.Time
}

// ConfigServiceUnreachable says that the configuration service gave no answer.
type ConfigServiceUnreachable struct{}

// FetchFailed says that a peer did not hand over its configuration.
type FetchFailed struct{}

// ListRead is a copy of the instance list.
type ListRead struct {
	Entries   []member.ListedInstance
	Upstreams []decide.Upstream
	// Source names where it came from, ReadAt when it was read from the platform.
	Source string
	ReadAt time.Time
	// Since is when the list appeared at the peer that passes it on; zero for
	// one that this instance read itself.
	Since   time.Time
	AskedAt time.Time
}

// HeartbeatReceived is a peer's heartbeat. AskedAt is zero unless it is an answer.
type HeartbeatReceived struct {
	Heartbeat member.Heartbeat
	AskedAt   time.Time
}

// PeersContacted says that every known peer was asked once.
type PeersContacted struct{}

// UpstreamLeaving is an upstream's own sign that it is leaving.
type UpstreamLeaving struct{ Mark member.LeavingMark }

// SchedulerEvent is an event for the scheduler.
type SchedulerEvent struct{ Event decide.Event }

// StopRequested begins the planned stop.
type StopRequested struct{}

// Paused says that the process did not run for a while and may believe things
// that are no longer true.
type Paused struct{ Gap time.Duration }

// Tick lets time pass.
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

// Action is something to be done.
type Action interface{ controlAction() }

// SchedulerAction is a decision of the scheduler.
type SchedulerAction struct{ Action decide.Action }

// FetchConfig asks a peer for its configuration, which is newer.
type FetchConfig struct{ Peer member.Peer }

// FetchList asks a peer for its instance list, which is newer.
type FetchList struct{ Peer member.Peer }

// ReadConfig asks the configuration service once.
type ReadConfig struct{}

// ReadList asks the platform for the instance list once.
type ReadList struct{}

// PollUpstream asks an upstream for its load at once.
type PollUpstream struct{ Upstream decide.Upstream }

// Announce tells all peers the news at once, before the next heartbeat.
type Announce struct{}

// Record puts a change into the audit trail.
type Record struct {
	ID     event.ID
	Change any
}

// Publish replaces the snapshot that traffic reads.
type Publish struct{ Snapshot *Snapshot }

func (SchedulerAction) controlAction() {}
func (FetchConfig) controlAction()     {}
func (FetchList) controlAction()       {}
func (ReadConfig) controlAction()      {}
func (ReadList) controlAction()        {}
func (PollUpstream) controlAction()    {}
func (Announce) controlAction()        {}
func (Record) controlAction()          {}
func (Publish) controlAction()         {}

// Snapshot is what traffic reads of the control state. It is immutable.
type Snapshot struct {
	Config   *config.View
	Document config.Document
	// Removed holds the configuration's latest removed keys.
	Removed   []config.Removal
	Upstreams []decide.Upstream
	// PolledUpstreams holds the upstreams whose load this instance asks for.
	PolledUpstreams []decide.Upstream
	// PollingShared says that not every instance asks every upstream, so that
	// reports are as old as a heartbeat anyway.
	PollingShared bool
	// ListedPeers holds the other entry instances that the list names.
	ListedPeers []member.ListedInstance
	// Entries and ListedUpstreams are the instance list word for word, to be
	// passed on.
	Entries         []member.ListedInstance
	ListedUpstreams []decide.Upstream
	// Partners are whom heartbeats are exchanged with.
	Partners []member.ListedInstance
	Peers    []member.Peer
	// Leaving holds the marks of listed upstreams, LeavingHash is over them.
	Leaving     []member.LeavingMark
	LeavingHash uint64
	// ListHash tells instance lists apart, ListReadAt is when the list was read
	// from the platform, by whichever instance.
	ListHash   uint64
	ListReadAt time.Time
	// ListSince is when the list appeared at the instance that read it.
	ListSince time.Time
	// ConfigContactAt is the last answer of the configuration service, zero
	// when the latest try failed.
	ConfigContactAt time.Time
	// ConfigFailed says that the configuration service could not be reached of late.
	ConfigFailed bool
	// Reader says that this instance watches the platform for its data centre.
	Reader bool
	// Ready says that the instance wants new work from the balancer.
	Ready    bool
	Stopping bool
	// Missing names what the instance waits for before it is ready.
	Missing []Prerequisite
}

// Prerequisite is something that an instance needs before it is ready.
type Prerequisite uint8

const (
	// NeedsConfiguration is a configuration, from the service or a peer.
	NeedsConfiguration Prerequisite = iota
	// NeedsInstanceList is an instance list, from the platform or a peer.
	NeedsInstanceList
	// NeedsServiceAnswer is a first try to reach the configuration service.
	NeedsServiceAnswer
	// NeedsPeerAnswers is a first try to reach the known peers.
	NeedsPeerAnswers
	// NeedsNewestConfiguration is a version known to be newer than the one in force.
	NeedsNewestConfiguration
)

var lackNames = [...]string{
	NeedsConfiguration: "configuration", NeedsInstanceList: "instance_list", NeedsServiceAnswer: "configuration_service_answer",
	NeedsPeerAnswers: "peer_answers", NeedsNewestConfiguration: "newest_configuration",
}

// String returns the name in snake case.
func (l Prerequisite) String() string { return lackNames[l] }

// MarshalText implements encoding.TextMarshaler.
func (l Prerequisite) MarshalText() ([]byte, error) { return []byte(l.String()), nil }
