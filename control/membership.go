package control

import (
	"slices"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/member"
)

const (
	// newerListMargin is the minimum time by which another list must have
	// appeared later than the current one to replace it. Times are sent as
	// ages, which are some milliseconds off after transit, and readers that see
	// different replicas of the list must not make all instances alternate
	// between them.
	newerListMargin = 100 * time.Millisecond
	// assumedFirstListAge is the assumed age of the first list that an instance
	// reads. Its real age is unknown, and a stale copy read by a starting
	// instance must not replace the lists of its peers.
	assumedFirstListAge = 1 * time.Hour
	// shrunkListDelay is the time for which lists that lost most of the current
	// list's names must keep arriving before one is applied. The check applies
	// only when the current list has at least minShrinkCheckSize names of a
	// kind.
	shrunkListDelay    = 10 * time.Second
	minShrinkCheckSize = 4
	// refreshStep is the minimum increase of the list's read time for which the
	// snapshot is published again.
	refreshStep = 500 * time.Millisecond
	// topologyInterval is the maximum time between two updates of the heartbeat
	// partners.
	topologyInterval = 1 * time.Second
)

// list is the current instance list.
type list struct {
	// loaded reports whether any list has been received.
	loaded  bool
	entries []member.ListedInstance
	hash    uint64
	readAt  time.Time
	// since is the time at which the list first appeared at the instance that
	// read it from the platform.
	since time.Time
	// shrunkSince is the time at which the instance began to hold back a shrunk
	// list; zero if none is held back.
	shrunkSince time.Time
	// publishedReadAt is the value of readAt in the latest snapshot.
	publishedReadAt time.Time
	// nextFetchAt is the earliest time of the next fetch from a peer, fallback
	// schedules reads by an instance that is not a reader.
	nextFetchAt time.Time
	fallback    timer
}

// listRecord is the audit record of a change of the instance list.
type listRecord struct {
	Entries   int    `json:"entries"`
	Upstreams int    `json:"upstreams"`
	Source    string `json:"source"`
}

// handleList applies a list that replaces the current one, unless it is held
// back. A list read from the platform is newer than the current one if it was
// read after that one appeared.
func (s *State) handleList(now time.Time, e ListRead) []Action {
	s.endResumingWithoutPeers(e.RequestedAt)
	s.list.nextFetchAt = time.Time{}
	hash := hashList(e.Entries, e.Upstreams)
	fromPlatform := e.Since.IsZero()
	switch {
	case s.list.loaded && hash == s.list.hash:
		s.confirmList(e.ReadAt)
		s.list.shrunkSince = time.Time{}
		return nil
	case !s.list.loaded && fromPlatform:
		e.Since = e.ReadAt.Add(-assumedFirstListAge)
	case !s.list.loaded:
		// The first list, from a peer, is applied with the peer's Since.
	case fromPlatform && e.ReadAt.Before(s.list.since):
		return nil // A slow read must not replace a faster one that started later.
	case fromPlatform:
		e.Since = e.ReadAt
	case !s.replacesList(e.Since, e.ReadAt):
		return nil
	}
	if actions, heldBack := s.holdBackShrunkList(now, e); heldBack {
		return actions
	}
	s.list.loaded, s.list.hash, s.list.entries, s.list.since = true, hash, e.Entries, e.Since
	s.list.readAt = e.ReadAt
	s.members.SetListed(e.Entries)
	listed := slices.Clone(e.Upstreams)
	sortUpstreams(listed)
	s.upstreams.setListed(now, listed)
	actions := []Action{Record{event.ListChanged, listRecord{len(e.Entries), len(e.Upstreams), e.Source}}}
	actions = append(actions, s.markListedLeaving(now, listed)...)
	s.applyUpstreams(now)
	s.topologyStale = true
	return append(actions, s.refreshReady(now)...)
}

// markListedLeaving marks the upstreams that the list shows as leaving.
func (s *State) markListedLeaving(now time.Time, listed []decide.Upstream) []Action {
	var actions []Action
	for _, u := range listed {
		if u.Leaving {
			actions = append(actions, s.markLeaving(now, markOf(u), "instance_list")...)
		}
	}
	return actions
}

// holdBackShrunkList reports whether to hold back a list that lost most of its
// names, such as a platform can serve while it restarts. This is safe, because
// upstreams that have really been removed refuse or fail requests in the
// meantime. Leaving marks in the list are applied immediately.
func (s *State) holdBackShrunkList(now time.Time, e ListRead) ([]Action, bool) {
	if !s.list.loaded || !s.losesMajority(e) {
		s.list.shrunkSince = time.Time{}
		return nil, false
	}
	var actions []Action
	if s.list.shrunkSince.IsZero() {
		s.list.shrunkSince = now
		actions = append(actions, Record{event.ListHeldBack, listRecord{len(e.Entries), len(e.Upstreams), e.Source}})
	}
	if now.Sub(s.list.shrunkSince) >= shrunkListDelay {
		s.list.shrunkSince = time.Time{}
		return nil, false
	}
	return append(actions, s.markListedLeaving(now, e.Upstreams)...), true
}

// losesMajority reports whether the list lacks more than half of the current
// list's entry instances or upstreams, if there are at least minShrinkCheckSize
// of that kind.
func (s *State) losesMajority(e ListRead) bool {
	names := map[string]bool{}
	for _, l := range e.Entries {
		names["entry "+l.Name] = true
	}
	for _, u := range e.Upstreams {
		names["upstream "+u.Name] = true
	}
	lostEntries, lostUpstreams := 0, 0
	for _, l := range s.list.entries {
		if !names["entry "+l.Name] {
			lostEntries++
		}
	}
	for _, u := range s.upstreams.listed {
		if !names["upstream "+u.Name] {
			lostUpstreams++
		}
	}
	return isMajority(lostEntries, len(s.list.entries)) || isMajority(lostUpstreams, len(s.upstreams.listed))
}

func isMajority(lost, all int) bool { return all >= minShrinkCheckSize && 2*lost > all }

// replacesList reports whether a peer's list replaces the current one: it
// appeared later, or it was read more than contactTimeout after the current one
// was last confirmed.
func (s *State) replacesList(since, readAt time.Time) bool {
	return since.Sub(s.list.since) > newerListMargin || readAt.Sub(s.list.readAt) > contactTimeout
}

// confirmList records that the list was unchanged at readAt.
func (s *State) confirmList(readAt time.Time) {
	if readAt.After(s.list.readAt) {
		s.list.readAt = readAt
	}
	if s.list.readAt.Sub(s.list.publishedReadAt) > refreshStep {
		s.snapshotStale = true
	}
}

// fetchNewerList fetches a peer's list if it replaces the current one.
func (s *State) fetchNewerList(now time.Time, peer member.Peer) []Action {
	switch {
	case peer.ListRead.IsZero():
		return nil
	case s.list.loaded && peer.ListHash == s.list.hash:
		s.confirmList(peer.ListRead)
		return nil
	case s.list.loaded && !s.replacesList(peer.ListSince, peer.ListRead), now.Before(s.list.nextFetchAt):
		return nil
	}
	s.list.nextFetchAt = now.Add(fetchTimeout)
	return []Action{FetchListFromPeer{peer}}
}

// readListAsFallback reads the list from the platform if the instance is not a
// reader and the current list was not confirmed within contactTimeout.
func (s *State) readListAsFallback(now time.Time) []Action {
	fresh := s.list.loaded && now.Sub(s.list.readAt) < contactTimeout
	if s.reader || fresh {
		s.list.fallback.stop()
		return nil
	}
	if s.list.fallback.due(now, s.jitter(fallbackJitter), fallbackInterval+s.jitter(fallbackInterval)) {
		return []Action{ReadListFromPlatform{}}
	}
	return nil
}

// peerRecord is the audit record of a peer that became alive or silent.
type peerRecord struct {
	Peer        string            `json:"peer"`
	DataCentre  string            `json:"data_centre"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

func (s *State) handleHeartbeat(now time.Time, e HeartbeatReceived) []Action {
	h := e.Heartbeat
	previous := s.members.Peer(h.Name)
	isNew, ignored := s.members.Update(now, h)
	if ignored {
		return nil
	}
	s.handlePeerResponse(e.RequestedAt)
	var actions []Action
	if isNew {
		actions = append(actions, Record{event.PeerAlive, peerRecord{h.Name, h.DataCentre, h.Home.Incarnation}})
	}
	if isNew || h.Stopping != previous.Stopping || h.ConfigFailed != previous.ConfigFailed {
		s.topologyStale, s.snapshotStale = true, true
	}
	// Operators see the peers' versions in the snapshot.
	s.snapshotStale = s.snapshotStale || h.ConfigVersion != previous.ConfigVersion
	for _, mark := range h.Leaving {
		actions = append(actions, s.markLeaving(now, mark, h.Name)...)
	}
	for _, load := range h.Loads {
		actions = append(actions, s.schedule(now, decide.ReportReceived{Upstream: load.Upstream, Report: load.Report})...)
	}
	peer := member.Peer{Heartbeat: h}
	actions = append(actions, s.fetchNewerConfig(now, peer)...)
	return append(actions, s.fetchNewerList(now, peer)...)
}

func (s *State) expirePeers(now time.Time) []Action {
	var actions []Action
	for _, peer := range s.members.Expire(now) {
		actions = append(actions, Record{event.PeerSilent, peerRecord{peer.Name, peer.DataCentre, peer.Home.Incarnation}})
		s.topologyStale, s.snapshotStale = true, true
	}
	return actions
}

// refreshTopology updates the heartbeat partners, the polled upstreams and the
// reader role. It runs only at ticks, so that many changes in a short time need
// only one update.
func (s *State) refreshTopology(now time.Time) {
	if !s.topologyStale && now.Before(s.nextTopologyAt) {
		return
	}
	s.nextTopologyAt = now.Add(topologyInterval)
	// The partners can also change without an event, when delegates of other
	// data centres stay silent.
	partners := s.members.Partners(now)
	polled, reader := s.polled, s.reader
	if s.topologyStale {
		polled = s.choosePolledUpstreams()
		reader = s.configSync.peersAttempted && s.members.IsReader(s.configSync.serviceFailed)
	}
	s.topologyStale = false
	if reader != s.reader || !slices.Equal(partners, s.partners) || !slices.Equal(polled, s.polled) {
		s.snapshotStale = true
	}
	s.reader, s.partners, s.polled = reader, partners, polled
}
