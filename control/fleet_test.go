package control_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/member"
)

// fleet simulates many instances by calling the Step functions of their control
// states on a virtual clock. There is no network: a message is a Step call on
// its receiver.
type fleet struct {
	t       testing.TB
	now     time.Time
	random  *rand.Rand
	members []*instance
	service service
	list    control.ListRead
	// partitioned contains the data centres that are partitioned from all
	// others.
	partitioned map[string]bool
	// maxDelay is the maximum delivery time of a document.
	maxDelay time.Duration
	inFlight []delivery
	// noFetch makes every fetch of a configuration from a peer fail.
	noFetch bool
}

// service is the configuration service. Data centres in behind see its oldest
// version; data centres and instances in down cannot reach it. reads counts the
// requests.
type service struct {
	versions     []config.Document
	behind, down map[string]bool
	reads        int
}

func (s *service) document(centre string) config.Document {
	if s.behind[centre] {
		return s.versions[0]
	}
	return s.versions[len(s.versions)-1]
}

// delivery is a document in transit.
type delivery struct {
	to      *instance
	home    ident.Home
	arrives time.Time
	content control.ConfigReceived
}

func (f *fleet) send(to *instance, content control.ConfigReceived) {
	delay := time.Duration(f.random.Int64N(int64(f.maxDelay) + 1))
	f.inFlight = append(f.inFlight, delivery{to, to.home, f.now.Add(delay), content})
}

// deliver delivers the documents that are due. Documents for an earlier
// incarnation of the receiver are dropped.
func (f *fleet) deliver() {
	f.inFlight = slices.DeleteFunc(f.inFlight, func(d delivery) bool {
		if f.now.Before(d.arrives) || f.frozen(d.to) {
			return false
		}
		if d.to.home == d.home {
			f.step(d.to, d.content)
		}
		return true
	})
}

type instance struct {
	name, centre string
	home         ident.Home
	state        *control.State
	snapshot     *control.Snapshot
	// frozenUntil is the end of the pause of the process; zero if it runs.
	frozenUntil time.Time
	// heartbeatsDue is true if heartbeats are to be sent at the next tick.
	heartbeatsDue bool
	// leavingHashes holds the LeavingHash of each peer's latest heartbeat.
	leavingHashes map[string]uint64
	// highestVersion is the highest configuration version that was active.
	highestVersion uint64
	steps          int
}

func documentOf(version uint64) config.Document {
	value := fmt.Appendf(nil, `{"checks_fencing": %t}`, version%2 == 0)
	entry := config.IndexEntry{Version: version, SHA256: config.Hash(value)}
	return config.Document{
		Index: config.Index{Version: version, Values: map[string]config.IndexEntry{"pools/p": entry}}, Values: map[string][]byte{"pools/p": value},
	}
}

func newFleet(t testing.TB, seed uint64, centres, perCentre, upstreams int) *fleet {
	f := &fleet{
		t: t, now: time.UnixMilli(1_700_000_000_000), random: rand.New(rand.NewPCG(seed, 0)), partitioned: map[string]bool{},
		service: service{versions: []config.Document{documentOf(1)}, behind: map[string]bool{}, down: map[string]bool{}},
	}
	for dc := range centres {
		centre := fmt.Sprint("dc", dc)
		for i := range perCentre {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(dc), byte(i >> 8), byte(i)}), 1)
			name := fmt.Sprintf("entry-%d-%d", dc, i)
			f.list.Entries = append(f.list.Entries, member.ListedInstance{Name: name, DataCentre: centre, Peer: addr})
			f.members = append(f.members, &instance{name: name, centre: centre, home: ident.Home{Peer: addr}})
		}
		for i := range upstreams {
			f.list.Upstreams = append(f.list.Upstreams, decide.Upstream{Name: fmt.Sprintf("engine-%d-%d", dc, i), Pool: "p", DataCentre: centre, Incarnation: 1})
		}
	}
	for _, m := range f.members {
		f.start(m)
	}
	return f
}

// start starts the instance, or restarts it as a new incarnation.
func (f *fleet) start(m *instance) {
	m.state, m.snapshot, m.leavingHashes, m.highestVersion = control.New(m.name, m.centre), &control.Snapshot{}, map[string]uint64{}, 0
	m.home.Incarnation = ident.Incarnation(f.now.UnixNano())
	m.frozenUntil = time.Time{}
	f.step(m, f.listRead())
	f.step(m, control.Tick{})
	f.checkVersion(m)
	for _, partner := range m.snapshot.Partners {
		f.exchange(m, partner.Name)
	}
	f.step(m, control.PeersAttempted{})
}

func (f *fleet) listRead() control.ListRead {
	list := f.list
	list.ReadAt, list.RequestedAt = f.now, f.now
	return list
}

// frozen reports whether the instance has not started or is paused.
func (f *fleet) frozen(m *instance) bool { return m.state == nil || f.now.Before(m.frozenUntil) }

func (f *fleet) step(m *instance, e control.Event) {
	m.steps++
	for _, action := range m.state.Step(f.now, e) {
		f.perform(m, action)
	}
}

func (f *fleet) perform(m *instance, action control.Action) {
	switch a := action.(type) {
	case control.Publish:
		m.snapshot = a.Snapshot
		if m.snapshot.Config != nil {
			assert.Assert(f.t, m.snapshot.Config.Version >= m.highestVersion, "%s reverted from version %d to %d", m.name, m.highestVersion, m.snapshot.Config.Version)
			m.highestVersion = m.snapshot.Config.Version
		}
	case control.SendHeartbeats:
		m.heartbeatsDue = true
	case control.FetchConfigFromPeer:
		peer := f.find(a.Peer.Name)
		if f.noFetch || !f.reaches(m, peer) {
			f.step(m, control.FetchFailed{})
			return
		}
		f.send(m, control.ConfigReceived{Document: peer.snapshot.Document, Source: peer.name, RequestedAt: f.now})
	case control.FetchListFromPeer:
		from := f.find(a.Peer.Name).snapshot
		f.step(m, control.ListRead{
			Entries: from.Entries, Upstreams: from.ListedUpstreams, Source: a.Peer.Name, ReadAt: from.ListReadAt, Since: from.ListSince, RequestedAt: f.now,
		})
	case control.ReadConfigFromService:
		f.read(m)
	case control.ReadListFromPlatform:
		f.step(m, f.listRead())
	}
}

func (f *fleet) find(name string) *instance {
	return f.members[slices.IndexFunc(f.members, func(m *instance) bool { return m.name == name })]
}

// reaches reports whether messages between the two instances are delivered.
func (f *fleet) reaches(a, b *instance) bool {
	return !f.frozen(a) && !f.frozen(b) && (a.centre == b.centre || !f.partitioned[a.centre] && !f.partitioned[b.centre])
}

// checkVersion reads the service's index and reports whether the service was
// reachable.
func (f *fleet) checkVersion(m *instance) bool {
	if f.service.down[m.centre] || f.service.down[m.name] {
		f.step(m, control.ConfigServiceUnreachable{})
		return false
	}
	f.service.reads++
	index := f.service.document(m.centre).Index
	f.step(m, control.ConfigVersionRead{Version: index.Version, Digest: index.Digest(), RequestedAt: f.now})
	return true
}

// read reads the configuration from the service if its version is not the
// highest one of the instance.
func (f *fleet) read(m *instance) {
	if f.checkVersion(m) && f.service.document(m.centre).Index.Version != m.highestVersion {
		f.service.reads++
		f.send(m, control.ConfigReceived{Document: f.service.document(m.centre), Source: "service", RequestedAt: f.now})
	}
}

// exchange sends a heartbeat to the named peer, which responds with its own.
func (f *fleet) exchange(m *instance, name string) {
	peer := f.find(name)
	if !f.reaches(m, peer) {
		return
	}
	f.sendHeartbeat(m, peer, time.Time{})
	f.sendHeartbeat(peer, m, f.now)
}

// sendHeartbeat delivers the heartbeat of m to the peer.
func (f *fleet) sendHeartbeat(m, peer *instance, requestedAt time.Time) {
	s := m.snapshot
	h := member.Heartbeat{
		Name: m.name, DataCentre: m.centre, Home: m.home, Stopping: s.Stopping,
		ConfigContact: s.ConfigContactAt, ConfigFailed: s.ConfigFailed, ListHash: s.ListHash, ListRead: s.ListReadAt, ListSince: s.ListSince, LeavingHash: s.LeavingHash,
	}
	if s.Config != nil {
		h.ConfigVersion, h.ConfigDigest = s.Config.Version, s.Config.Digest
	}
	if m.leavingHashes[peer.name] != s.LeavingHash {
		h.Leaving = s.Leaving
	}
	peer.leavingHashes[m.name] = s.LeavingHash
	f.step(peer, control.HeartbeatReceived{Heartbeat: h, RequestedAt: requestedAt})
}

const (
	simulatedTick     = 100 * time.Millisecond
	ticksPerHeartbeat = 10
	ticksPerRead      = 5
)

// run advances the clock by the length. Instances send heartbeats once per
// second, each at its own tick.
func (f *fleet) run(length time.Duration) {
	for range length / simulatedTick {
		f.now = f.now.Add(simulatedTick)
		f.deliver()
		tick := int(f.now.UnixMilli() / simulatedTick.Milliseconds())
		for i, m := range f.members {
			if f.frozen(m) {
				continue
			}
			if !m.frozenUntil.IsZero() {
				f.step(m, control.Paused{Gap: f.now.Sub(m.frozenUntil)})
				m.frozenUntil = time.Time{}
			}
			f.step(m, control.Tick{})
			if m.snapshot.Reader && (tick+i)%ticksPerRead == 0 {
				f.read(m)
				f.step(m, f.listRead())
			}
			if m.heartbeatsDue || (tick+i)%ticksPerHeartbeat == 0 {
				m.heartbeatsDue = false
				for _, partner := range m.snapshot.Partners {
					f.exchange(m, partner.Name)
				}
			}
		}
	}
}

// publish publishes a new version of the configuration and returns it.
func (f *fleet) publish() uint64 {
	version := f.service.versions[len(f.service.versions)-1].Index.Version + 1
	f.service.versions = append(f.service.versions, documentOf(version))
	return version
}

func (f *fleet) readers(centre string) int {
	count := 0
	for _, m := range f.members {
		if m.centre == centre && m.snapshot.Reader {
			count++
		}
	}
	return count
}

func (f *fleet) assertAllAt(version uint64) {
	f.t.Helper()
	for _, m := range f.members {
		assert.Equal(f.t, m.highestVersion, version, "%s", m.name)
	}
}

// maxSpreadTime is the maximum time until an accepted change is active at every
// instance.
const maxSpreadTime = 4 * time.Second

func TestChangeReachesTheWholeFleet(t *testing.T) {
	f := newFleet(t, 1, 16, 25, 10)
	f.run(6 * time.Second)
	for _, m := range f.members {
		assert.Assert(t, m.snapshot.Ready, "%s is not ready: missing %v", m.name, m.snapshot.Missing)
	}
	for dc := range 16 {
		assert.Equal(t, f.readers(fmt.Sprint("dc", dc)), 2)
	}
	readsBefore := f.service.reads
	version := f.publish()
	f.run(maxSpreadTime)
	f.assertAllAt(version)
	// The two readers of each data centre read every half second here.
	assert.Assert(t, f.service.reads-readsBefore <= 16*2*(2*int(maxSpreadTime/time.Second)+1+1), "got %d reads, more than the readers make", f.service.reads-readsBefore)
}

// TestOtherInstancesReadWhenReadersCannot checks that a change spreads when the
// readers of the only data centre lose contact with the service while the other
// instances keep it.
func TestOtherInstancesReadWhenReadersCannot(t *testing.T) {
	f := newFleet(t, 1, 1, 8, 4)
	f.run(6 * time.Second)
	for _, m := range f.members {
		f.service.down[m.name] = m.snapshot.Reader
	}
	version := f.publish()
	f.run(maxSpreadTime)
	f.assertAllAt(version)
	assert.Equal(t, f.readers("dc0"), 2)
	for _, m := range f.members {
		assert.Assert(t, !m.snapshot.Reader || !f.service.down[m.name], "%s must not stay a reader", m.name)
	}
}

// TestChangeSpreadsAfterServiceOutage checks that no instance reads from the
// service during an outage, and that a change spreads after it.
func TestChangeSpreadsAfterServiceOutage(t *testing.T) {
	f := newFleet(t, 1, 1, 8, 4)
	f.run(6 * time.Second)
	readsBefore := f.service.reads
	for _, m := range f.members {
		f.service.down[m.name] = true
	}
	f.run(30 * time.Second)
	assert.Equal(t, f.service.reads, readsBefore)
	clear(f.service.down)
	version := f.publish()
	f.run(maxSpreadTime)
	f.assertAllAt(version)
}

// TestMissingVersionIsReadFromTheService checks that instances which have seen
// a newer version in a heartbeat and can't fetch it from a peer read it from
// the service.
func TestMissingVersionIsReadFromTheService(t *testing.T) {
	f := newFleet(t, 1, 1, 8, 4)
	f.run(6 * time.Second)
	f.noFetch = true
	version := f.publish()
	f.run(maxSpreadTime)
	f.assertAllAt(version)
}

// TestChangeSpreads checks that a change reaches every running instance within
// maxSpreadTime of a fault, and the paused ones after their pause.
func TestChangeSpreads(t *testing.T) {
	tests := map[string]func(f *fleet){
		"when one data centre's service is down":  func(f *fleet) { f.service.down["dc1"] = true },
		"when one data centre's service is stale": func(f *fleet) { f.service.behind["dc1"] = true },
		"when only one data centre has an up-to-date service": func(f *fleet) {
			f.service.down["dc0"], f.service.down["dc1"], f.service.behind["dc2"] = true, true, true
		},
		"when both readers of a data centre are paused": func(f *fleet) {
			for _, m := range f.members {
				if m.centre == "dc1" && m.snapshot.Reader {
					m.frozenUntil = f.now.Add(5 * time.Second)
				}
			}
		},
		"through its own readers when a data centre is partitioned": func(f *fleet) { f.partitioned["dc2"] = true },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 4, 8, 4)
			f.run(6 * time.Second)
			fault(f)
			version := f.publish()
			f.run(maxSpreadTime)
			for _, m := range f.members {
				assert.Assert(t, m.highestVersion == version || f.frozen(m), "%s has version %d, want %d", m.name, m.highestVersion, version)
			}
			f.run(maxSpreadTime)
			f.assertAllAt(version)
		})
	}
}

// TestVersionNeverDecreasesUnderRandomFaults checks that the version of an
// instance never decreases under random faults, and that all instances reach
// the same version after the faults end. Half of the fleets are small enough
// for heartbeats between all instances.
func TestVersionNeverDecreasesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(40) {
		f := newFleet(t, seed, 3, 6+int(seed%2)*4, 3)
		f.maxDelay = 3 * time.Second
		for range 30 {
			m := f.members[f.random.IntN(len(f.members))]
			centre := fmt.Sprint("dc", f.random.IntN(3))
			switch f.random.IntN(7) {
			case 0:
				f.publish()
			case 1:
				f.partitioned[centre] = !f.partitioned[centre]
			case 2:
				f.service.down[centre] = !f.service.down[centre]
			case 3:
				f.service.behind[centre] = !f.service.behind[centre]
			case 4:
				m.frozenUntil = f.now.Add(time.Duration(f.random.IntN(8000)) * time.Millisecond)
			case 5:
				f.start(m)
			}
			f.run(time.Duration(f.random.IntN(2500)) * time.Millisecond)
		}
		clear(f.partitioned)
		clear(f.service.down)
		clear(f.service.behind)
		f.maxDelay = 0
		version := f.publish()
		f.run(15 * time.Second)
		f.assertAllAt(version)
	}
}

// TestStartingInstanceWaitsForNewestVersion checks that a starting instance
// whose service is stale does not serve with an older version than its peers.
func TestStartingInstanceWaitsForNewestVersion(t *testing.T) {
	f := newFleet(t, 1, 2, 4, 2)
	f.run(5 * time.Second)
	version := f.publish()
	f.run(maxSpreadTime)
	f.service.behind["dc0"], f.service.behind["dc1"] = true, true
	for _, m := range f.members {
		f.noFetch = true
		f.start(m)
		f.run(5 * time.Second)
		assert.Assert(t, !m.snapshot.Ready, "%s must not be ready with version %d", m.name, m.highestVersion)
		f.noFetch = false
		f.run(3 * time.Second)
		assert.Assert(t, m.snapshot.Ready && m.highestVersion == version, "%s is not ready: missing %v", m.name, m.snapshot.Missing)
	}
}

func TestLeavingMarkReachesTheWholeFleet(t *testing.T) {
	f := newFleet(t, 1, 6, 10, 10)
	f.run(6 * time.Second)
	mark := member.LeavingMark{Upstream: "engine-3-4", Incarnation: 1}
	f.step(f.members[7], control.UpstreamLeaving{Mark: mark})
	f.run(time.Second)
	for _, m := range f.members {
		assert.Assert(t, slices.Contains(m.snapshot.Leaving, mark), "%s must have the mark", m.name)
	}
	// The list still shows the leaving incarnation as live for 40 seconds, and
	// then its successor.
	f.run(40 * time.Second)
	for i := range f.list.Upstreams {
		if f.list.Upstreams[i].Name == mark.Upstream {
			f.list.Upstreams[i].Incarnation = 2
		}
	}
	assert.Assert(t, isLeaving(f.members[0], mark.Upstream))
	f.run(10 * time.Second)
	for _, m := range f.members {
		assert.Assert(t, !isLeaving(m, mark.Upstream), "%s must not treat the successor as leaving", m.name)
	}
}

func isLeaving(m *instance, upstream string) bool {
	i := slices.IndexFunc(m.snapshot.Upstreams, func(u decide.Upstream) bool { return u.Name == upstream })
	return m.snapshot.Upstreams[i].Leaving
}

// TestPollingIsShared checks that every upstream of a large data centre is
// polled by some instance, even after instances have failed, and that no
// instance polls all of them.
func TestPollingIsShared(t *testing.T) {
	f := newFleet(t, 1, 1, 26, 125)
	f.run(6 * time.Second)
	check := func() {
		t.Helper()
		polled := map[string]int{}
		for _, m := range f.members {
			if f.frozen(m) {
				continue
			}
			assert.Assert(t, m.snapshot.PollingShared && len(m.snapshot.PolledUpstreams) < 30, "%s polls %d upstreams, want shared polling of fewer than 30", m.name, len(m.snapshot.PolledUpstreams))
			assert.Assert(t, !m.snapshot.Reader || len(m.snapshot.PolledUpstreams) == 0, "%s is a reader and must not poll", m.name)
			for _, u := range m.snapshot.PolledUpstreams {
				polled[u.Name]++
			}
		}
		assert.Equal(t, len(polled), 125)
	}
	check()
	for _, m := range f.members[:10] {
		m.frozenUntil = f.now.Add(time.Hour)
	}
	f.run(5 * time.Second)
	check()
}
