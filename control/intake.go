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

// How a configuration comes in:
//
// A few readers in each data centre, chosen by rendezvous hashing over its live
// instances, hold a watch at the service. The others hear of a new version by
// heartbeat and fetch it from a peer. Either way has the other to fall back to:
// a reader whose service is down or stale still hears its peers, and an
// instance that no reader serves asks the service itself, at a jittered time,
// so that a whole fleet that falls back stays far below the service's rate.
const (
	// contactLimit is the age from which a reader's contact with the service
	// no longer counts. A healthy watch is answered more often than that.
	contactLimit = 5 * time.Second
	// fallbackInterval is the time between two reads of an instance that
	// falls back; as much again is added as jitter.
	fallbackInterval = 5 * time.Second
	// lateAfter is how long a version that is known to exist may be late
	// before an instance asks the service; up to lateJitter is added.
	lateAfter  = 1 * time.Second
	lateJitter = 1 * time.Second
	// newcomerJitter spreads the reads of instances that have no configuration
	// at all. They need every value, and may all have started at once.
	newcomerJitter = 8 * time.Second
	// fetchRetry is the time after which another peer is asked for the same.
	fetchRetry = 1 * time.Second
	// failedFor is how long an instance that failed at the service is no reader
	// while others are.
	failedFor = 60 * time.Second
	// newestLimit is how long a newcomer waits for a version that it has heard of.
	newestLimit = 10 * time.Second
)

// intake follows what is known about newer configurations.
type intake struct {
	// wanted is the newest version heard of that is not in force, seenAt since when.
	wanted config.Index
	digest string
	seenAt time.Time
	// contact is the last answer of the service, zero when the latest try
	// failed. failed says that it did at failedAt, of late.
	contact  time.Time
	failed   bool
	failedAt time.Time
	fetchAt  time.Time
	fallback timer
	// asked says that the service, peers that the peers were tried once.
	askedService, askedPeers bool
}

// see notes that a version exists somewhere.
func (s *State) see(now time.Time, version uint64, digest string) {
	newest := version > s.intake.wanted.Version || version == s.intake.wanted.Version && digest > s.intake.digest
	if newest && s.register.IsCandidate(version, digest) {
		s.intake.wanted.Version, s.intake.digest, s.intake.seenAt = version, digest, now
	}
}

// late returns since when a version newer than the one in force is known; zero
// when there is none.
func (s *State) late() time.Time {
	if s.register.IsCandidate(s.intake.wanted.Version, s.intake.digest) {
		return s.intake.seenAt
	}
	return time.Time{}
}

// configRecord is the audit record of a configuration, accepted or refused.
type configRecord struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest,omitempty"`
	Source  string   `json:"source"`
	Changed []string `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Faults  []string `json:"faults,omitempty"`
	// SeenAt is when the instance first heard of the version, InForceAt when
	// its requests began to follow it.
	SeenAt    time.Time  `json:"seen_at"`
	InForceAt *time.Time `json:"in_force_at,omitempty"`
}

func (s *State) offerConfig(now time.Time, e ConfigReceived) []Action {
	s.heardPlatform(e.AskedAt)
	s.intake.fetchAt = time.Time{}
	index, digest := e.Document.Index, e.Document.Index.Digest()
	s.see(now, index.Version, digest)
	record := configRecord{Version: index.Version, Digest: digest, Source: e.Source, SeenAt: now}
	if index.Version == s.intake.wanted.Version && digest == s.intake.digest {
		record.SeenAt = s.intake.seenAt
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
	record.Changed, record.Removed = index.Missing(before.Values, before.Index), index.Removed(before.Index)
	record.InForceAt = &now
	s.dirty = true
	return append([]Action{Record{event.ConfigAccepted, record}, Announce{}}, s.refreshReady(now)...)
}

// faultsKept bounds the faults in one record.
const faultsKept = 20

func faultLines(faults jsonc.Faults) []string {
	faults = faults[:min(len(faults), faultsKept)]
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return lines
}

// seeService takes the service's word about its newest version. A service that
// is behind, because it is stale or was restored from a backup, changes nothing.
func (s *State) seeService(now time.Time, e ConfigVersionRead) []Action {
	s.heardPlatform(e.AskedAt)
	s.intake.contact, s.intake.askedService, s.dirty = now, true, true
	s.setFailed(false)
	s.see(now, e.Version, e.Digest)
	view := s.register.View()
	behind := view != nil && e.Version < view.Version
	var actions []Action
	if behind && !s.serviceBehind {
		actions = append(actions, Record{event.ConfigServiceBehind, behindRecord{e.Version, view.Version}})
	}
	s.serviceBehind = behind
	return append(actions, s.refreshReady(now)...)
}

// behindRecord is the audit record of a service that is behind the fleet.
type behindRecord struct {
	ServiceVersion uint64 `json:"service_version"`
	InForce        uint64 `json:"in_force"`
}

func (s *State) missService(now time.Time) []Action {
	s.dirty = s.dirty || !s.intake.contact.IsZero()
	s.intake.contact, s.intake.askedService, s.intake.failedAt = time.Time{}, true, now
	s.setFailed(true)
	return s.refreshReady(now)
}

// setFailed notes whether this instance reaches the service. One that doesn't
// gives way to another reader.
func (s *State) setFailed(failed bool) {
	if s.intake.failed != failed {
		s.intake.failed, s.lookAround, s.dirty = failed, true, true
	}
}

// fetchConfig asks the peer for its configuration, unless another one was
// asked just now.
func (s *State) fetchConfig(now time.Time, peer member.Peer) []Action {
	s.see(now, peer.ConfigVersion, peer.ConfigDigest)
	if !s.register.IsCandidate(peer.ConfigVersion, peer.ConfigDigest) || now.Before(s.intake.fetchAt) {
		return nil
	}
	s.intake.fetchAt = now.Add(fetchRetry)
	return []Action{FetchConfig{peer}}
}

// fallBack asks the service when no reader of the data centre can, or when a
// version that is known to exist doesn't come.
func (s *State) fallBack(now time.Time) []Action {
	if s.intake.failed && now.Sub(s.intake.failedAt) > failedFor {
		s.setFailed(false)
	}
	if s.reader || !s.intake.askedPeers {
		s.intake.fallback.stop()
		return nil
	}
	seenAt := s.late()
	late := !seenAt.IsZero() && now.Sub(seenAt) > lateAfter
	if !late && s.served(now, func(p member.Peer) time.Time { return p.ConfigContact }) {
		s.intake.fallback.stop()
		return nil
	}
	first := s.jitter(lateJitter)
	if s.register.View() == nil {
		first = s.jitter(newcomerJitter)
	}
	if s.intake.fallback.due(now, first, fallbackInterval+s.jitter(fallbackInterval)) {
		return []Action{ReadConfig{}}
	}
	return nil
}

// served reports whether any live peer of the data centre had contact with the
// platform lately.
func (s *State) served(now time.Time, contact func(member.Peer) time.Time) bool {
	return s.members.Any(func(peer member.Peer) bool {
		return peer.DataCentre == s.dataCentre && now.Sub(contact(peer)) < contactLimit
	})
}

// timer says when something that goes on for a while is to be done again.
type timer struct{ at time.Time }

func (t *timer) stop() { t.at = time.Time{} }

// due starts a stopped timer, and reports whether its time has come.
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

// jitter returns a part of the limit that differs between instances and from
// one call to the next, and yet is the same in every replay.
func (s *State) jitter(limit time.Duration) time.Duration {
	s.draws++
	hash := xxhash.Sum64String(s.instance + strconv.FormatUint(s.draws, 10))
	return time.Duration(float64(limit) * float64(hash>>11) / (1 << 53))
}
