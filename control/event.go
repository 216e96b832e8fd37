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

// ConfigOffered is a whole configuration read from the service or a peer.
type ConfigOffered struct {
	Document config.Document
	// Source names where it came from, for the audit trail.
	Source  string
	AskedAt time.Time
}

// ConfigSeen is the configuration service's answer about its newest version.
type ConfigSeen struct {
	Version uint64
	Digest  string
	AskedAt time.Time
}

// ConfigServiceSilent says that the configuration service gave no answer.
type ConfigServiceSilent struct{}

// FetchFailed says that a peer did not hand over its configuration.
type FetchFailed struct{}

// ListRead is a copy of the instance list.
type ListRead struct {
	Entries   []member.Listed
	Upstreams []decide.Upstream
	// Source names where it came from, ReadAt when it was read from the platform.
	Source string
	ReadAt time.Time
	// Since is when the list appeared at the peer that passes it on; zero for
	// one that this instance read itself.
	Since   time.Time
	AskedAt time.Time
}

// PeerHeard is a peer's heartbeat. AskedAt is zero unless it is an answer.
type PeerHeard struct {
	Heartbeat member.Heartbeat
	AskedAt   time.Time
}

// PeersAsked says that every known peer was asked once.
type PeersAsked struct{}

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

func (ConfigOffered) controlEvent()       {}
func (ConfigSeen) controlEvent()          {}
func (ConfigServiceSilent) controlEvent() {}
func (FetchFailed) controlEvent()         {}
func (ListRead) controlEvent()            {}
func (PeerHeard) controlEvent()           {}
func (PeersAsked) controlEvent()          {}
func (UpstreamLeaves) controlEvent()      {}
func (Scheduling) controlEvent()          {}
func (StopRequested) controlEvent()       {}
func (Paused) controlEvent()              {}
func (Tick) controlEvent()                {}

// Action is something to be done.
type Action interface{ controlAction() }

// Scheduled is a decision of the scheduler.
type Scheduled struct{ Action decide.Action }

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

func (Scheduled) controlAction()    {}
func (FetchConfig) controlAction()  {}
func (FetchList) controlAction()    {}
func (ReadConfig) controlAction()   {}
func (ReadList) controlAction()     {}
func (PollUpstream) controlAction() {}
func (Announce) controlAction()     {}
func (Record) controlAction()       {}
func (Publish) controlAction()      {}

// Snapshot is what traffic reads of the control state. It is immutable.
type Snapshot struct {
	Config   *config.View
	Document config.Document
	// Removed holds the configuration's latest removed keys.
	Removed   []config.Removal
	Upstreams []decide.Upstream
	// Polls holds the upstreams whose load this instance asks for.
	Polls []decide.Upstream
	// PollsShared says that not every instance asks every upstream, so that
	// reports are as old as a heartbeat anyway.
	PollsShared bool
	// Listed holds the other entry instances that the list names.
	Listed []member.Listed
	// Entries and ListedUpstreams are the instance list word for word, to be
	// passed on.
	Entries         []member.Listed
	ListedUpstreams []decide.Upstream
	// Partners are whom heartbeats are exchanged with.
	Partners []member.Listed
	Peers    []member.Peer
	// Leaving holds the marks of listed upstreams, LeavingHash is over them.
	Leaving     []member.Mark
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
	// Lacks names what the instance waits for before it is ready.
	Lacks []Lack
}

// Lack is something that an instance needs before it is ready.
type Lack uint8

const (
	// LacksConfiguration is a configuration, from the service or a peer.
	LacksConfiguration Lack = iota
	// LacksInstanceList is an instance list, from the platform or a peer.
	LacksInstanceList
	// LacksServiceAnswer is a first try to reach the configuration service.
	LacksServiceAnswer
	// LacksPeerAnswers is a first try to reach the known peers.
	LacksPeerAnswers
	// LacksNewestConfiguration is a version known to be newer than the one in force.
	LacksNewestConfiguration
)

var lackNames = [...]string{
	LacksConfiguration: "configuration", LacksInstanceList: "instance_list", LacksServiceAnswer: "configuration_service_answer",
	LacksPeerAnswers: "peer_answers", LacksNewestConfiguration: "newest_configuration",
}

// String returns the name in snake case.
func (l Lack) String() string { return lackNames[l] }

// MarshalText implements encoding.TextMarshaler.
func (l Lack) MarshalText() ([]byte, error) { return []byte(l.String()), nil }
