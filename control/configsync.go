package control

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mangoloft/config"
	"mangoloft/event"
	"mangoloft/jsonc"
	"mangoloft/member"
)

// A new configuration spreads as follows.
//
// A few readers in each data centre, chosen by rendezvous hashing over its live
// instances, watch the configuration service. The other instances see a newer
// version in a peer's heartbeat and fetch it from that peer. Each path is the
// fallback of the other: a reader whose service is down or stale still receives
// heartbeats, and an instance whose data centre has no working reader reads
// from the service itself. These reads are jittered, so that a whole fleet that
// falls back at the same time stays far below the service's request rate limit.

const (
	// contactTimeout is the age from which the latest response of the platform
	// no longer counts as contact. A healthy watch returns more often.
	contactTimeout = 5 * time.Second
	// fallbackInterval is the minimum time between two fallback reads of an
	// instance. A jitter of up to the same length is added.
	fallbackInterval = 5 * time.Second
	// missingVersionTimeout is the time after which an instance that has seen a
	// newer version in a heartbeat, but has not received it, reads from the
	// service. A jitter of up to fallbackJitter is added.
	missingVersionTimeout = 1 * time.Second
	// fallbackJitter also delays the first fallback read when no peer of the
	// local data centre is in contact with the service.
	fallbackJitter = 1 * time.Second
	// startupJitter is the maximum delay of the first fallback read of an
	// instance without any configuration. Such an instance reads every value,
	// and the whole fleet may have started at the same time.
	startupJitter = 8 * time.Second
	// fetchTimeout is the time after which an unfinished fetch from a peer no
	// longer prevents a fetch from another peer.
	fetchTimeout = 1 * time.Second
	// readerCooldown is the time for which an instance that failed to reach the
	// service is not chosen as a reader while other instances can be.
	readerCooldown = 60 * time.Second
	// newestVersionTimeout is the maximum time for which a starting instance
	// stays not ready while it waits for a newer version that was announced.
	newestVersionTimeout = 10 * time.Second
)

// configSync tracks the newest configuration version that the service or a peer
// has announced, and the attempts to get it.
type configSync struct {
	// newest contains only the version number of the newest announced
	// configuration, newestDigest is its digest. seenAt is the time at which
	// this instance first saw it.
	newest       config.Index
	newestDigest string
	seenAt       time.Time
	// contactAt is the time of the service's latest response; zero if the
	// latest attempt failed. serviceFailed is true while the instance counts as
	// failed to reach the service: from a failure, at failedAt, until a success
	// or the end of readerCooldown.
	contactAt     time.Time
	serviceFailed bool
	failedAt      time.Time
	// nextFetchAt is the earliest time of the next fetch from a peer.
	nextFetchAt time.Time
	// fallback schedules reads by an instance that is not a reader.
	fallback timer
	// serviceAttempted and peersAttempted report whether contact with the
	// service and the peers has been attempted at least once, successfully or
	// not.
	serviceAttempted, peersAttempted bool
}

// recordVersion records a version that the service or a peer has announced. Of
// two configurations with the same version, the one with the higher digest
// counts as newer.
func (s *State) recordVersion(now time.Time, version uint64, digest string) {
	isNewest := version > s.configSync.newest.Version || version == s.configSync.newest.Version && digest > s.configSync.newestDigest
	if isNewest && s.register.IsNewer(version, digest) {
		s.configSync.newest.Version, s.configSync.newestDigest, s.configSync.seenAt = version, digest, now
	}
}

// newerVersionSince returns the time at which this instance first saw the
// newest version; zero if no version newer than the active one is announced.
func (s *State) newerVersionSince() time.Time {
	if s.register.IsNewer(s.configSync.newest.Version, s.configSync.newestDigest) {
		return s.configSync.seenAt
	}
	return time.Time{}
}

// configRecord is the audit record of an accepted or refused configuration.
type configRecord struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest,omitempty"`
	Source  string   `json:"source"`
	Changed []string `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Faults  []string `json:"faults,omitempty"`
	// SeenAt is the time at which the instance first saw the version, ActiveAt
	// the time at which it accepted the version.
	SeenAt   time.Time  `json:"seen_at"`
	ActiveAt *time.Time `json:"in_force_at,omitempty"`
}

func (s *State) handleConfig(now time.Time, e ConfigReceived) []Action {
	s.endResumingWithoutPeers(e.RequestedAt)
	s.configSync.nextFetchAt = time.Time{}
	index, digest := e.Document.Index, e.Document.Index.Digest()
	s.recordVersion(now, index.Version, digest)
	record := configRecord{Version: index.Version, Digest: digest, Source: e.Source, SeenAt: now}
	if index.Version == s.configSync.newest.Version && digest == s.configSync.newestDigest {
		record.SeenAt = s.configSync.seenAt
	}
	previous := s.register.Document()
	accepted, faults := s.register.Apply(e.Document)
	if len(faults) > 0 {
		record.Faults = faultLines(faults)
		return []Action{Record{event.ConfigRefused, record}}
	}
	if !accepted {
		return nil
	}
	record.Changed, record.Removed = index.ChangedKeys(previous.Values, previous.Index), index.Removed(previous.Index)
	record.ActiveAt = &now
	s.snapshotStale = true
	return append([]Action{Record{event.ConfigAccepted, record}, SendHeartbeats{}}, s.refreshReady(now)...)
}

// maxRecordedFaults is the maximum number of faults in one record.
const maxRecordedFaults = 20

func faultLines(faults jsonc.Faults) []string {
	faults = faults[:min(len(faults), maxRecordedFaults)]
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return lines
}

// handleConfigVersion handles a response of the service with its newest
// version. If that version is older than the active one, because the service is
// stale or was restored from a backup, the active one is kept.
func (s *State) handleConfigVersion(now time.Time, e ConfigVersionRead) []Action {
	s.endResumingWithoutPeers(e.RequestedAt)
	s.configSync.contactAt, s.configSync.serviceAttempted, s.snapshotStale = now, true, true
	s.setServiceFailed(false)
	s.recordVersion(now, e.Version, e.Digest)
	view := s.register.View()
	behind := view != nil && e.Version < view.Version
	var actions []Action
	if behind && !s.serviceBehind {
		actions = append(actions, Record{event.ConfigServiceBehind, behindRecord{e.Version, view.Version}})
	}
	s.serviceBehind = behind
	return append(actions, s.refreshReady(now)...)
}

// behindRecord is the audit record of a service whose newest version is older
// than the active one.
type behindRecord struct {
	ServiceVersion uint64 `json:"service_version"`
	ActiveVersion  uint64 `json:"in_force"`
}

func (s *State) handleServiceFailure(now time.Time) []Action {
	s.snapshotStale = s.snapshotStale || !s.configSync.contactAt.IsZero()
	s.configSync.contactAt, s.configSync.serviceAttempted, s.configSync.failedAt = time.Time{}, true, now
	s.setServiceFailed(true)
	return s.refreshReady(now)
}

// setServiceFailed records whether this instance counts as failed to reach the
// service. A reader that failed is replaced by another instance.
func (s *State) setServiceFailed(failed bool) {
	if s.configSync.serviceFailed != failed {
		s.configSync.serviceFailed, s.topologyStale, s.snapshotStale = failed, true, true
	}
}

// fetchNewerConfig fetches the peer's configuration if it is newer than the
// active one, unless another fetch that started within fetchTimeout is
// unfinished.
func (s *State) fetchNewerConfig(now time.Time, peer member.Peer) []Action {
	s.recordVersion(now, peer.ConfigVersion, peer.ConfigDigest)
	if !s.register.IsNewer(peer.ConfigVersion, peer.ConfigDigest) || now.Before(s.configSync.nextFetchAt) {
		return nil
	}
	s.configSync.nextFetchAt = now.Add(fetchTimeout)
	return []Action{FetchConfigFromPeer{peer}}
}

// readConfigAsFallback reads from the service if the instance is not a reader
// and either no peer of its data centre is in contact with the service, or a
// newer version has not arrived within missingVersionTimeout. It also ends
// the cooldown after a failure to reach the service. It does nothing else until
// the peers were attempted.
func (s *State) readConfigAsFallback(now time.Time) []Action {
	if s.configSync.serviceFailed && now.Sub(s.configSync.failedAt) > readerCooldown {
		s.setServiceFailed(false)
	}
	if s.reader || !s.configSync.peersAttempted {
		s.configSync.fallback.stop()
		return nil
	}
	seenAt := s.newerVersionSince()
	overdue := !seenAt.IsZero() && now.Sub(seenAt) > missingVersionTimeout
	if !overdue && s.localPeerHasContact(now, func(p member.Peer) time.Time { return p.ConfigContact }) {
		s.configSync.fallback.stop()
		return nil
	}
	initialDelay := s.jitter(fallbackJitter)
	if s.register.View() == nil {
		initialDelay = s.jitter(startupJitter)
	}
	if s.configSync.fallback.due(now, initialDelay, fallbackInterval+s.jitter(fallbackInterval)) {
		return []Action{ReadConfigFromService{}}
	}
	return nil
}

// localPeerHasContact reports whether contactAt is within contactTimeout for
// any live peer of the local data centre.
func (s *State) localPeerHasContact(now time.Time, contactAt func(member.Peer) time.Time) bool {
	return s.members.Any(func(peer member.Peer) bool {
		return peer.DataCentre == s.dataCentre && now.Sub(contactAt(peer)) < contactTimeout
	})
}

// timer schedules an action that is repeated while a condition holds. The
// caller stops it when the condition ends.
type timer struct{ at time.Time }

func (t *timer) stop() { t.at = time.Time{} }

// due starts a stopped timer with the initial delay. It reports whether the
// time of the action has come, and if so schedules the next one after the
// interval.
func (t *timer) due(now time.Time, initialDelay, interval time.Duration) bool {
	if t.at.IsZero() {
		t.at = now.Add(initialDelay)
	}
	if now.Before(t.at) {
		return false
	}
	t.at = now.Add(interval)
	return true
}

// jitter returns a pseudo-random duration below the limit. It differs between
// instances and between calls, and is the same in every replay of the events.
func (s *State) jitter(limit time.Duration) time.Duration {
	s.jitterCalls++
	hash := xxhash.Sum64String(s.instance + strconv.FormatUint(s.jitterCalls, 10))
	return time.Duration(float64(limit) * float64(hash>>11) / (1 << 53))
}
