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

// How instances learn of a new configuration:
//
// A few readers in each data centre, chosen by rendezvous hashing over its live
// instances, watch the configuration service. The other instances see a new
// version in a heartbeat and fetch it from a peer. Each path is the fallback of
// the other: a reader whose service is down or stale still gets heartbeats, and
// an instance whose data centre has no working reader asks the service itself.
// It does so at a jittered time, so that a whole fleet that falls back stays
// far below the service's request rate limit.
const (
	// contactTimeout is the age from which a reader's contact with the service
	// no longer counts. A healthy watch is answered more often than that.
	contactTimeout = 5 * time.Second
	// fallbackInterval is the minimum time between two reads of an instance
	// that falls back; a jitter of up to the same length is added.
	fallbackInterval = 5 * time.Second
	// lateAfter is how long a version that is known to exist may be missing
	// before an instance asks the service; up to lateJitter is added.
	lateAfter  = 1 * time.Second
	lateJitter = 1 * time.Second
	// startupJitter spreads the reads of instances that have no configuration
	// at all. They need every value, and may all have started at once.
	startupJitter = 8 * time.Second
	// fetchRetry is the time after which another peer is asked for the same
	// document.
	fetchRetry = 1 * time.Second
	// readerCooldown is how long an instance that failed to reach the service
	// does not act as a reader while other instances can.
	readerCooldown = 60 * time.Second
	// newestVersionTimeout is how long a starting instance waits for a version
	// that it knows to exist.
	newestVersionTimeout = 10 * time.Second
)

// configSync tracks the newest known configuration and how to get it.
type configSync struct {
	// wanted is the newest known version that is not in force; seenAt is when
	// this instance first learned of it.
	wanted config.Index
	digest string
	seenAt time.Time
	// contactAt is the time of the service's last answer, zero when the latest
	// attempt failed. failed is set for a while after a failure at failedAt.
	contactAt   time.Time
	failed      bool
	failedAt    time.Time
	nextFetchAt time.Time
	fallback    timer
	// serviceContacted and peersContacted are set after the first attempt to
	// reach the service and the peers, whether or not it succeeded.
	serviceContacted, peersContacted bool
}

// noteVersion records that a version exists somewhere. Of two configurations
// with the same version, the one with the higher digest counts as newer.
func (s *State) noteVersion(now time.Time, version uint64, digest string) {
	newest := version > s.configSync.wanted.Version || version == s.configSync.wanted.Version && digest > s.configSync.digest
	if newest && s.register.IsNewer(version, digest) {
		s.configSync.wanted.Version, s.configSync.digest, s.configSync.seenAt = version, digest, now
	}
}

// newerVersionSince returns when this instance learned of a version newer than
// the one in force; zero when it knows of none.
func (s *State) newerVersionSince() time.Time {
	if s.register.IsNewer(s.configSync.wanted.Version, s.configSync.digest) {
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
	// SeenAt is when the instance first learned of the version, InForceAt is
	// when it applied the version to requests.
	SeenAt    time.Time  `json:"seen_at"`
	InForceAt *time.Time `json:"in_force_at,omitempty"`
}

func (s *State) handleConfig(now time.Time, e ConfigReceived) []Action {
	s.confirmByPlatform(e.RequestedAt)
	s.configSync.nextFetchAt = time.Time{}
	index, digest := e.Document.Index, e.Document.Index.Digest()
	s.noteVersion(now, index.Version, digest)
	record := configRecord{Version: index.Version, Digest: digest, Source: e.Source, SeenAt: now}
	if index.Version == s.configSync.wanted.Version && digest == s.configSync.digest {
		record.SeenAt = s.configSync.seenAt
	}
	before := s.register.Document()
	accepted, faults := s.register.Offer(e.Document)
	if len(faults) > 0 {
		record.Faults = faultLines(faults)
		return []Action{Record{event.ConfigRefused, record}}
	}
	if !accepted {
		return nil
	}
	record.Changed, record.Removed = index.ChangedKeys(before.Values, before.Index), index.Removed(before.Index)
	record.InForceAt = &now
	s.dirty = true
	return append([]Action{Record{event.ConfigAccepted, record}, SendHeartbeats{}}, s.refreshReady(now)...)
}

// maxRecordedFaults bounds the faults in one record.
const maxRecordedFaults = 20

func faultLines(faults jsonc.Faults) []string {
	faults = faults[:min(len(faults), maxRecordedFaults)]
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return lines
}

// handleConfigVersion handles the service's answer about its newest version. A
// service that is behind, because it is stale or was restored from a backup,
// changes nothing.
func (s *State) handleConfigVersion(now time.Time, e ConfigVersionRead) []Action {
	s.confirmByPlatform(e.RequestedAt)
	s.configSync.contactAt, s.configSync.serviceContacted, s.dirty = now, true, true
	s.setFailed(false)
	s.noteVersion(now, e.Version, e.Digest)
	view := s.register.View()
	behind := view != nil && e.Version < view.Version
	var actions []Action
	if behind && !s.serviceBehind {
		actions = append(actions, Record{event.ConfigServiceBehind, behindRecord{e.Version, view.Version}})
	}
	s.serviceBehind = behind
	return append(actions, s.refreshReady(now)...)
}

// behindRecord is the audit record of a service whose version is older than the
// one in force.
type behindRecord struct {
	ServiceVersion uint64 `json:"service_version"`
	InForce        uint64 `json:"in_force"`
}

func (s *State) handleServiceFailure(now time.Time) []Action {
	s.dirty = s.dirty || !s.configSync.contactAt.IsZero()
	s.configSync.contactAt, s.configSync.serviceContacted, s.configSync.failedAt = time.Time{}, true, now
	s.setFailed(true)
	return s.refreshReady(now)
}

// setFailed records whether this instance can reach the service. An instance
// that can't is replaced as a reader.
func (s *State) setFailed(failed bool) {
	if s.configSync.failed != failed {
		s.configSync.failed, s.topologyDirty, s.dirty = failed, true, true
	}
}

// fetchConfig fetches the peer's configuration if it is newer, unless a fetch
// was started within fetchRetry.
func (s *State) fetchConfig(now time.Time, peer member.Peer) []Action {
	s.noteVersion(now, peer.ConfigVersion, peer.ConfigDigest)
	if !s.register.IsNewer(peer.ConfigVersion, peer.ConfigDigest) || now.Before(s.configSync.nextFetchAt) {
		return nil
	}
	s.configSync.nextFetchAt = now.Add(fetchRetry)
	return []Action{FetchConfigFromPeer{peer}}
}

// readConfigAsFallback reads from the service when no peer of the data centre
// has contact with it, or when a version that is known to exist does not
// arrive.
func (s *State) readConfigAsFallback(now time.Time) []Action {
	if s.configSync.failed && now.Sub(s.configSync.failedAt) > readerCooldown {
		s.setFailed(false)
	}
	if s.reader || !s.configSync.peersContacted {
		s.configSync.fallback.stop()
		return nil
	}
	seenAt := s.newerVersionSince()
	late := !seenAt.IsZero() && now.Sub(seenAt) > lateAfter
	if !late && s.localPeerHasContact(now, func(p member.Peer) time.Time { return p.ConfigContact }) {
		s.configSync.fallback.stop()
		return nil
	}
	first := s.jitter(lateJitter)
	if s.register.View() == nil {
		first = s.jitter(startupJitter)
	}
	if s.configSync.fallback.due(now, first, fallbackInterval+s.jitter(fallbackInterval)) {
		return []Action{ReadConfigFromService{}}
	}
	return nil
}

// localPeerHasContact reports whether any live peer of the data centre was
// recently in contact with the platform.
func (s *State) localPeerHasContact(now time.Time, contactAt func(member.Peer) time.Time) bool {
	return s.members.Any(func(peer member.Peer) bool {
		return peer.DataCentre == s.dataCentre && now.Sub(contactAt(peer)) < contactTimeout
	})
}

// timer schedules a repeated action for as long as its condition holds.
type timer struct{ at time.Time }

func (t *timer) stop() { t.at = time.Time{} }

// due starts the timer if it is stopped, and reports whether it has fired.
func (t *timer) due(now time.Time, first, next time.Duration) bool {
	if t.at.IsZero() {
		t.at = now.Add(first)
	}
	if now.Before(t.at) {
		return false
	}
	t.at = now.Add(next)
	return true
}

// jitter returns a pseudo-random part of the limit. It differs between
// instances and between calls, and is the same in every replay.
func (s *State) jitter(limit time.Duration) time.Duration {
	s.draws++
	hash := xxhash.Sum64String(s.instance + strconv.FormatUint(s.draws, 10))
	return time.Duration(float64(limit) * float64(hash>>11) / (1 << 53))
}
