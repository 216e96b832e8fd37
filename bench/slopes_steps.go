package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/member"
	"mangoloft/peerpb"
)

// The sizes to carry.
const (
	targetEntries   = 410
	targetCentres   = 16
	targetUpstreams = 2000
	targetTeams     = 21_000
	targetShards    = 256
	targetClasses   = 100
	targetPools     = 8
	// targetStreams is a node's share of 1,700 requests a second.
	targetStreams = 4
	targetChanges = 6400
)

// sized are the sizes of a simulated fleet.
type sized struct {
	entries, centres, upstreams, teams, shards, classes int
}

func target() sized {
	return sized{targetEntries, targetCentres, targetUpstreams, targetTeams, targetShards, targetClasses}
}

func (s sized) neighbours() int { return (s.entries + s.centres - 1) / s.centres }

// document returns a configuration. Its teams/0 differs from one change to the next.
func (s sized) document(change int) config.Document {
	doc := config.Document{Index: config.Index{Version: uint64(change + 1), Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	put := func(key string, value []byte) {
		doc.Index.Values[key] = config.IndexEntry{Version: 1, SHA256: config.Hash(value)}
		doc.Values[key] = value
	}
	for i := range targetPools {
		put(fmt.Sprint("pools/pool", i), []byte(`{"checks_fencing": true}`))
	}
	for i := range s.classes {
		put(fmt.Sprint("classes/class", i), fmt.Appendf(nil, `{"kind": "stream", "pool": "pool%d", "model": "m", "target": {"wait_ms": 370, "pace_ms": 36}}`, i%targetPools))
	}
	for shard := range s.shards {
		put(fmt.Sprint("teams/", shard), s.teamsValue(shard, change))
	}
	doc.Index.Values["teams/0"] = config.IndexEntry{Version: uint64(change + 1), SHA256: config.Hash(doc.Values["teams/0"])}
	return doc
}

type teamWire struct {
	Name             string `json:"name"`
	CredentialSHA256 string `json:"credential_sha256"`
}

type teamsWire struct {
	Teams []teamWire `json:"teams"`
}

func (s sized) teamsValue(shard, change int) []byte {
	wire := teamsWire{Teams: []teamWire{}}
	for team := shard; team < s.teams; team += s.shards {
		name := fmt.Sprint("team-", team)
		credential := name
		if team == 0 {
			credential = fmt.Sprint(name, change)
		}
		wire.Teams = append(wire.Teams, teamWire{name, config.Hash([]byte(credential))})
	}
	content, err := json.Marshal(wire)
	if err != nil {
		panic(err) // Strings always marshal.
	}
	return content
}

func (s sized) list(now time.Time) control.ListRead {
	list := control.ListRead{ReadAt: now, AskedAt: now}
	for i := range s.entries {
		list.Entries = append(list.Entries, member.ListedInstance{
			Name: fmt.Sprintf("entry-%d-%d", i%s.centres, i/s.centres), DataCentre: fmt.Sprint("dc", i%s.centres),
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		})
	}
	for i := range s.upstreams {
		list.Upstreams = append(list.Upstreams, decide.Upstream{
			Name: fmt.Sprintf("engine-%d-%d", i%s.centres, i/s.centres), Pool: fmt.Sprint("pool", i%targetPools), DataCentre: fmt.Sprint("dc", i%s.centres),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000), Incarnation: ident.Incarnation(i + 1),
		})
	}
	return list
}

// node is the control state of one instance in a fleet of the size, with what
// it is told in a second.
type node struct {
	sized
	now      time.Time
	state    *control.State
	snapshot *control.Snapshot
	read     control.ListRead
	beats    []member.Heartbeat
}

func newNode(s sized) *node {
	n := &node{sized: s, now: time.Unix(1_700_000_000, 0), state: control.New("entry-0-0", "dc0"), snapshot: &control.Snapshot{}}
	n.read = s.list(n.now)
	n.step(n.read)
	doc := s.document(0)
	n.step(control.ConfigReceived{Document: doc, AskedAt: n.now})
	n.step(control.PeersContacted{})
	n.step(control.ConfigVersionRead{Version: 1, Digest: doc.Index.Digest(), AskedAt: n.now})
	for _, entry := range n.read.Entries[1:] {
		if entry.DataCentre == "dc0" {
			n.beats = append(n.beats, n.heartbeat(entry))
		}
	}
	n.second()
	n.second()
	// It may be a delegate; then those of the other data centres speak to it.
	for _, entry := range n.snapshot.Partners {
		if entry.DataCentre != "dc0" {
			n.beats = append(n.beats, n.heartbeat(entry))
		}
	}
	return n
}

func (n *node) step(e control.Event) {
	for _, action := range n.state.Step(n.now, e) {
		if publish, ok := action.(control.Publish); ok {
			n.snapshot = publish.Snapshot
		}
	}
}

func (n *node) heartbeat(entry member.ListedInstance) member.Heartbeat {
	h := member.Heartbeat{
		Name: entry.Name, DataCentre: entry.DataCentre, Home: ident.Home{Peer: entry.Peer, Incarnation: 1},
		ConfigVersion: n.snapshot.Config.Version, ConfigDigest: n.snapshot.Config.Digest,
		ListHash: n.snapshot.ListHash,
	}
	if entry.DataCentre == "dc0" {
		// Its share of the data centre's upstreams.
		perCentre := n.upstreams / n.centres
		for i := range perCentre / n.neighbours() {
			h.Loads = append(h.Loads, member.Load{Upstream: fmt.Sprintf("engine-0-%d", i), Report: decide.Report{
				TakenAt: n.now, Running: 30, UsedTokens: 50_000, CapacityTokens: 100_000, StepTime: 30 * time.Millisecond,
			}})
		}
	}
	return h
}

const ticksPerSecond = 10

// second lets a second pass, as a reader that hears every peer once.
func (n *node) second() {
	for range ticksPerSecond {
		n.now = n.now.Add(time.Second / ticksPerSecond)
		n.step(control.Tick{})
	}
	for _, h := range n.beats {
		h.ConfigContact, h.ListRead = n.now, n.now
		for i := range h.Loads {
			h.Loads[i].Report.TakenAt = n.now
		}
		n.step(control.HeartbeatReceived{Heartbeat: h, AskedAt: n.now})
	}
	n.read.ReadAt, n.read.AskedAt = n.now, n.now
	n.step(n.read)
	n.step(control.ConfigVersionRead{Version: n.snapshot.Config.Version, Digest: n.snapshot.Config.Digest, AskedAt: n.now})
	for _, u := range n.snapshot.PolledUpstreams {
		for range 2 {
			n.step(control.SchedulerEvent{Event: decide.ReportReceived{Upstream: u.Name, Report: decide.Report{TakenAt: n.now, Running: 30}}})
		}
	}
}

// micros converts to microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// stepSlopes measures the pure control step and the codec, without a network.
func stepSlopes() ([]Slope, error) {
	second := func(size string, goal float64, vary func(*sized, int)) curve {
		return curve{Slope{Size: size, Cost: "control steps of a second", Unit: "us", Target: goal}, func(count int) float64 {
			s := target()
			vary(&s, count)
			n := newNode(s)
			return micros(costOf(n.second))
		}}
	}
	heap := func(size string, goal float64, vary func(*sized, int)) curve {
		return curve{Slope{Size: size, Cost: "control state", Unit: "KB", Target: goal}, func(count int) float64 {
			s := target()
			vary(&s, count)
			return heapOf(func() any { return newNode(s) }) / 1024
		}}
	}
	entries := func(s *sized, n int) { s.entries = n }
	upstreams := func(s *sized, n int) { s.upstreams = n }
	teams := func(s *sized, n int) { s.teams = n }
	classes := func(s *sized, n int) { s.classes = n }
	slopes := []Slope{
		second("peers", targetEntries, entries).measure(64, 128, 256, 410),
		heap("peers", targetEntries, entries).measure(64, 128, 256, 410),
		second("upstreams", targetUpstreams, upstreams).measure(250, 500, 1000, 2000),
		heap("upstreams", targetUpstreams, upstreams).measure(250, 500, 1000, 2000),
		heap("teams", targetTeams, teams).measure(2625, 5250, 10_500, 21_000),
		heap("classes", targetClasses, classes).measure(25, 50, 100, 200),
		changeCurve("teams", targetTeams, teams).measure(2625, 5250, 10_500, 21_000),
		changeCurve("classes", targetClasses, classes).measure(25, 50, 100, 200),
		changeBytes("teams", targetTeams, teams).measure(2625, 5250, 10_500, 21_000),
		manyChanges().measure(8, 16, 32, 64),
		streamCurve().measure(500, 1000, 2000, 4000),
		decisionCurve().measure(250, 500, 1000, 2000),
		heartbeatBytes().measure(0, 5, 10, 20),
		heartbeatCodec().measure(0, 5, 10, 20),
	}
	exchanges, err := exchangeSlope()
	return append(slopes, exchanges), err
}

// changeCurve measures one accepted change of one value.
func changeCurve(size string, goal float64, vary func(*sized, int)) curve {
	return curve{Slope{Size: size, Cost: "an accepted change", Unit: "us", Target: goal}, func(count int) float64 {
		s := target()
		vary(&s, count)
		n := newNode(s)
		change := 0
		base := s.document(0)
		return micros(costOf(func() {
			change++
			n.step(control.ConfigReceived{Document: s.changed(base, change), AskedAt: n.now})
		}))
	}}
}

// changed returns the document with one other value.
func (s sized) changed(base config.Document, change int) config.Document {
	doc := config.Document{Index: config.Index{Version: uint64(change + 1), Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	for key, entry := range base.Index.Values {
		doc.Index.Values[key], doc.Values[key] = entry, base.Values[key]
	}
	value := s.teamsValue(0, change)
	doc.Index.Values["teams/0"] = config.IndexEntry{Version: doc.Index.Version, SHA256: config.Hash(value)}
	doc.Values["teams/0"] = value
	return doc
}

// changeBytes measures what a peer sends of a change of one shard of teams.
func changeBytes(size string, goal float64, vary func(*sized, int)) curve {
	return curve{Slope{Size: size, Cost: "a change between peers", Unit: "bytes", Target: goal}, func(count int) float64 {
		s := target()
		vary(&s, count)
		return float64(proto.Size(&peerpb.ConfigReply{Version: 1 << 20, Digest: "0123456789abcdef", Values: []*peerpb.ConfigValue{
			{Key: "teams/0", Version: 1 << 20, Content: s.teamsValue(0, 1)},
		}}))
	}}
}

// manyChanges measures a run of changes at the target size.
func manyChanges() curve {
	return curve{Slope{Size: "changes", Cost: "that many changes", Unit: "us", Target: targetChanges}, func(count int) float64 {
		s := target()
		n := newNode(s)
		base, change := s.document(0), 0
		return micros(costOf(func() {
			for range count {
				change++
				n.step(control.ConfigReceived{Document: s.changed(base, change), AskedAt: n.now})
			}
		}))
	}}
}

// streamCurve measures what streams cost the control goroutine: a decision, a
// few reports of progress and an end for each.
func streamCurve() curve {
	return curve{Slope{Size: "streams", Cost: "control steps of that many streams", Unit: "us", Traffic: true, Target: targetStreams}, func(count int) float64 {
		n := newNode(target())
		return micros(costOf(func() { n.streams(count) }))
	}}
}

const progressPerStream = 4

func (n *node) streams(count int) {
	for i := range count {
		id := ident.Request{Sequence: uint64(i)}
		n.step(control.SchedulerEvent{Event: decide.Arrived{Request: decide.Request{ID: id, Team: "team-1", Class: n.snapshot.Config.Classes["class1"], PromptTokens: 200}}})
		for range progressPerStream {
			n.step(control.SchedulerEvent{Event: decide.Progressed{ID: id, Tokens: 10}})
		}
	}
	for i := range count {
		n.step(control.SchedulerEvent{Event: decide.Ended{ID: ident.Request{Sequence: uint64(i)}}})
	}
}

// decisionCurve measures one stream against the number of upstreams.
func decisionCurve() curve {
	return curve{Slope{Size: "upstreams", Cost: "control steps of one stream", Unit: "us", Traffic: true, Target: targetUpstreams}, func(count int) float64 {
		s := target()
		s.upstreams = count
		n := newNode(s)
		return micros(costOf(func() { n.streams(100) })) / 100
	}}
}

// wireHeartbeat is a heartbeat with that many load reports.
func wireHeartbeat(loads int) *peerpb.Heartbeat {
	h := &peerpb.Heartbeat{
		Name: "entry-dc12-17", DataCentre: "dc12", Peer: "10.120.17.3:7000", Incarnation: 1 << 60, ConfigVersion: 1 << 20,
		ConfigDigest: "0123456789abcdef", LeavingHash: 1, ConfigContactMs: 1500, ListHash: 1, ListAgeMs: 700,
	}
	for i := range loads {
		h.LoadsBaseUnixMs = 1_700_000_000_000
		h.Loads = append(h.Loads, &peerpb.Load{
			UpstreamHash: 1 << 30, TakenAfterMs: uint32(i * 50), Running: 30, Waiting: 2,
			UsedTokens: 50_000, CapacityTokens: 100_000, StepUs: 30_000, Preemptions: 1000,
		})
	}
	return h
}

func heartbeatBytes() curve {
	return curve{Slope{Size: "load reports", Cost: "a heartbeat", Unit: "bytes", Target: 5}, func(count int) float64 {
		return float64(proto.Size(wireHeartbeat(count)))
	}}
}

func heartbeatCodec() curve {
	return curve{Slope{Size: "load reports", Cost: "encoding and decoding a heartbeat", Unit: "us", Target: 5}, func(count int) float64 {
		h := wireHeartbeat(count)
		return micros(costOf(func() {
			content, err := proto.Marshal(h)
			if err != nil {
				panic(err) // A message of plain fields always marshals.
			}
			var back peerpb.Heartbeat
			if err := proto.Unmarshal(content, &back); err != nil {
				panic(err)
			}
		}))
	}}
}

// echo answers heartbeats with one of its own.
type echo struct {
	peerpb.UnimplementedPeerServer
	answer *peerpb.Heartbeat
}

// Exchange implements peerpb.PeerServer.
func (e echo) Exchange(context.Context, *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return e.answer, nil
}

// exchangeSlope measures exchanges of heartbeats over gRPC and the loopback
// interface. Both sides are in this process, so one side pays half.
func exchangeSlope() (Slope, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Slope{}, err
	}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, echo{answer: wireHeartbeat(5)})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) }) // It ends with Stop.
	defer group.Wait()
	defer server.Stop()
	conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return Slope{}, err
	}
	defer conn.Close()
	client := peerpb.NewPeerClient(conn)
	h := wireHeartbeat(5)
	var failure error
	c := curve{Slope{Size: "exchanges", Cost: "both sides of that many exchanges", Unit: "us", Target: targetEntries / targetCentres}, func(count int) float64 {
		return micros(costOf(func() {
			for range count {
				if _, err := client.Exchange(context.Background(), h); err != nil {
					failure = err
				}
			}
		}))
	}}
	return c.measure(10, 20, 40, 80), failure
}
