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
	// followMargin is how much later than the own list another one must have
	// appeared to replace it. Ages lose some milliseconds on their way, and
	// readers that see different copies of the list must not make everybody
	// change to and fro.
	followMargin = 100 * time.Millisecond
	// firstListAge is the age of the first list that an instance reads: nobody
	// knows how long it has stood, and a newcomer's stale copy is no news.
	firstListAge = 1 * time.Hour
	// doubtFor is how long a list that lost most of what it named must go on
	// coming before it is believed; one that named less than doubtedSize of a
	// kind is believed at once.
	doubtFor    = 10 * time.Second
	doubtedSize = 4
	// refreshStep is how much the age of the list may change before it is
	// published again.
	refreshStep = 500 * time.Millisecond
	// topologyInterval is the longest time between two looks at whom to speak to.
	topologyInterval = 1 * time.Second
)

// list is the instance list as it was last taken.
type list struct {
	known   bool
	entries []member.ListedInstance
	hash    uint64
	readAt  time.Time
	// since is when the list appeared at the instance that read it.
	since time.Time
	// doubtedSince is since when lists come that are held back.
	doubtedSince time.Time
	// publishedAt is the readAt that the snapshot shows.
	publishedAt time.Time
	fetchAt     time.Time
	fallback    timer
}

// listRecord is the audit record of a change of the instance list.
type listRecord struct {
	Entries   int    `json:"entries"`
	Upstreams int    `json:"upstreams"`
	Source    string `json:"source"`
}

func (s *State) readList(now time.Time, e ListRead) []Action {
	s.heardPlatform(e.AskedAt)
	s.list.fetchAt = time.Time{}
	hash := hashList(e.Entries, e.Upstreams)
	own := e.Since.IsZero()
	switch {
	case s.list.known && hash == s.list.hash:
		s.freshList(e.ReadAt)
		s.list.doubtedSince = time.Time{}
		return nil
	case !s.list.known && own:
		e.Since = e.ReadAt.Add(-firstListAge)
	case !s.list.known:
	case own && e.ReadAt.Before(s.list.since):
		return nil // A slow answer must not undo a quick one that came after it.
	case own:
		e.Since = e.ReadAt
	case !s.isNewer(e.Since, e.ReadAt):
		return nil
	}
	if actions, doubted := s.doubtList(now, e); doubted {
		return actions
	}
	s.list.known, s.list.hash, s.list.entries, s.list.since = true, hash, e.Entries, e.Since
	s.list.readAt = e.ReadAt
	s.members.SetListed(e.Entries)
	listed := slices.Clone(e.Upstreams)
	sortUpstreams(listed)
	s.upstreams.setListed(now, listed)
	actions := []Action{Record{event.ListChanged, listRecord{len(e.Entries), len(e.Upstreams), e.Source}}}
	actions = append(actions, s.markListed(now, listed)...)
	s.applyUpstreams(now)
	s.lookAround = true
	return append(actions, s.refreshReady(now)...)
}

// markListed takes the list's word for what is leaving.
func (s *State) markListed(now time.Time, listed []decide.Upstream) []Action {
	var actions []Action
	for _, u := range listed {
		if u.Leaving {
			actions = append(actions, s.markLeaving(now, markOf(u), "instance_list")...)
		}
	}
	return actions
}

// doubtList holds back a list that lost most of what it named, as one from a
// platform that restarts may have. Upstreams that are really gone refuse and
// fail by themselves meanwhile; signs of leaving are taken at once.
func (s *State) doubtList(now time.Time, e ListRead) ([]Action, bool) {
	if !s.list.known || !s.losesMost(e) {
		s.list.doubtedSince = time.Time{}
		return nil, false
	}
	var actions []Action
	if s.list.doubtedSince.IsZero() {
		s.list.doubtedSince = now
		actions = append(actions, Record{event.ListDoubted, listRecord{len(e.Entries), len(e.Upstreams), e.Source}})
	}
	if now.Sub(s.list.doubtedSince) >= doubtFor {
		s.list.doubtedSince = time.Time{}
		return nil, false
	}
	return append(actions, s.markListed(now, e.Upstreams)...), true
}

// losesMost reports whether the list lacks more than half of the entry
// instances or of the upstreams that the own one names, if those are not few.
func (s *State) losesMost(e ListRead) bool {
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
	return isMost(lostEntries, len(s.list.entries)) || isMost(lostUpstreams, len(s.upstreams.listed))
}

func isMost(lost, all int) bool { return all >= doubtedSize && 2*lost > all }

// isNewer reports whether a list replaces the own one: it appeared later, or
// nobody has seen the own one any more for long.
func (s *State) isNewer(since, readAt time.Time) bool {
	return since.Sub(s.list.since) > followMargin || readAt.Sub(s.list.readAt) > contactLimit
}

// freshList notes that the list was still the same at a time.
func (s *State) freshList(readAt time.Time) {
	if readAt.After(s.list.readAt) {
		s.list.readAt = readAt
	}
	if s.list.readAt.Sub(s.list.publishedAt) > refreshStep {
		s.dirty = true
	}
}

// followList takes the list of a peer that has read another one later.
func (s *State) followList(now time.Time, peer member.Peer) []Action {
	switch {
	case peer.ListRead.IsZero():
		return nil
	case s.list.known && peer.ListHash == s.list.hash:
		s.freshList(peer.ListRead)
		return nil
	case s.list.known && !s.isNewer(peer.ListSince, peer.ListRead), now.Before(s.list.fetchAt):
		return nil
	}
	s.list.fetchAt = now.Add(fetchRetry)
	return []Action{FetchList{peer}}
}

// fallBackOnList reads the list when no peer of the data centre has.
func (s *State) fallBackOnList(now time.Time) []Action {
	served := s.list.known && now.Sub(s.list.readAt) < contactLimit
	if s.reader || served {
		s.list.fallback.stop()
		return nil
	}
	if s.list.fallback.due(now, s.jitter(lateJitter), fallbackInterval+s.jitter(fallbackInterval)) {
		return []Action{ReadList{}}
	}
	return nil
}

// peerRecord is the audit record of a peer that came or fell silent.
type peerRecord struct {
	Peer        string            `json:"peer"`
	DataCentre  string            `json:"data_centre"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

func (s *State) hearPeer(now time.Time, e HeartbeatReceived) []Action {
	h := e.Heartbeat
	before := s.members.Peer(h.Name)
	isNew, ignored := s.members.Update(now, h)
	if ignored {
		return nil
	}
	s.heardPeer(e.AskedAt)
	var actions []Action
	if isNew {
		actions = append(actions, Record{event.PeerAlive, peerRecord{h.Name, h.DataCentre, h.Home.Incarnation}})
	}
	if isNew || h.Stopping != before.Stopping || h.ConfigFailed != before.ConfigFailed {
		s.lookAround, s.dirty = true, true
	}
	// Operators see the peers' versions in the snapshot.
	s.dirty = s.dirty || h.ConfigVersion != before.ConfigVersion
	for _, mark := range h.Leaving {
		actions = append(actions, s.markLeaving(now, mark, h.Name)...)
	}
	for _, load := range h.Loads {
		actions = append(actions, s.schedule(now, decide.ReportReceived{Upstream: load.Upstream, Report: load.Report})...)
	}
	peer := member.Peer{Heartbeat: h}
	actions = append(actions, s.fetchConfig(now, peer)...)
	return append(actions, s.followList(now, peer)...)
}

func (s *State) expirePeers(now time.Time) []Action {
	var actions []Action
	for _, peer := range s.members.Expire(now) {
		actions = append(actions, Record{event.PeerSilent, peerRecord{peer.Name, peer.DataCentre, peer.Home.Incarnation}})
		s.lookAround, s.dirty = true, true
	}
	return actions
}

// refreshTopology works out whom this instance speaks to and for what. It runs
// at ticks only, so that many changes at once cost one look.
func (s *State) refreshTopology(now time.Time) {
	if !s.lookAround && now.Before(s.lookAgainAt) {
		return
	}
	s.lookAgainAt = now.Add(topologyInterval)
	// Delegates of other data centres that stay silent make the partners
	// change with time alone.
	partners := s.members.Partners(now)
	polls, reader := s.polls, s.reader
	if s.lookAround {
		polls = s.choosePolls()
		reader = s.intake.askedPeers && s.members.IsReader(s.intake.failed)
	}
	s.lookAround = false
	if reader != s.reader || !slices.Equal(partners, s.partners) || !slices.Equal(polls, s.polls) {
		s.dirty = true
	}
	s.reader, s.partners, s.polls = reader, partners, polls
}
