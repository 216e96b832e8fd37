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

// The sizes that the system must support.
const (
	targetEntries     = 410
	targetDataCentres = 16
	targetUpstreams   = 2000
	targetTeams       = 21_000
	targetShards      = 256
	targetClasses     = 100
	targetPools       = 8
	// targetStreams is the number of streams per second of one instance, derived from
	// 1,700 requests per second of the whole fleet.
	targetStreams = 4
	// targetChanges is the number of configuration changes per day.
	targetChanges = 6400
)

// fleetSizes are the sizes of a simulated fleet.
type fleetSizes struct {
	entries, dataCentres, upstreams, teams, shards, classes int
}

func targetSizes() fleetSizes {
	return fleetSizes{targetEntries, targetDataCentres, targetUpstreams, targetTeams, targetShards, targetClasses}
}

func (s fleetSizes) instancesPerDataCentre() int {
	return (s.entries + s.dataCentres - 1) / s.dataCentres
}

// document returns a configuration document. Its value of teams/0 depends on change.
func (s fleetSizes) document(change int) config.Document {
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

// teamsValue returns the configuration value of one shard of the teams. The
// credential of team 0 depends on change.
func (s fleetSizes) teamsValue(shard, change int) []byte {
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
		panic(err) // Can't fail for strings.
	}
	return content
}

// list returns an instance list of these sizes, read at the time now.
func (s fleetSizes) list(now time.Time) control.ListRead {
	list := control.ListRead{ReadAt: now, RequestedAt: now}
	for i := range s.entries {
		list.Entries = append(list.Entries, member.ListedInstance{
			Name: fmt.Sprintf("entry-%d-%d", i%s.dataCentres, i/s.dataCentres), DataCentre: fmt.Sprint("dc", i%s.dataCentres),
			Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
		})
	}
	for i := range s.upstreams {
		list.Upstreams = append(list.Upstreams, decide.Upstream{
			Name: fmt.Sprintf("engine-%d-%d", i%s.dataCentres, i/s.dataCentres), Pool: fmt.Sprint("pool", i%targetPools), DataCentre: fmt.Sprint("dc", i%s.dataCentres),
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000), Incarnation: ident.Incarnation(i + 1),
		})
	}
	return list
}

// simulatedInstance is the control state of one instance in a fleet of the given
// sizes, with the messages that the instance receives every second.
type simulatedInstance struct {
	fleetSizes
	now          time.Time
	state        *control.State
	snapshot     *control.Snapshot
	instanceList control.ListRead
	heartbeats   []member.Heartbeat
}

func newSimulatedInstance(s fleetSizes) *simulatedInstance {
	n := &simulatedInstance{fleetSizes: s, now: time.Unix(1_700_000_000, 0), state: control.New("entry-0-0", "dc0"), snapshot: &control.Snapshot{}}
	n.instanceList = s.list(n.now)
	n.step(n.instanceList)
	doc := s.document(0)
	n.step(control.ConfigReceived{Document: doc, RequestedAt: n.now})
	n.step(control.PeersAttempted{})
	n.step(control.ConfigVersionRead{Version: 1, Digest: doc.Index.Digest(), RequestedAt: n.now})
	for _, entry := range n.instanceList.Entries[1:] {
		if entry.DataCentre == "dc0" {
			n.heartbeats = append(n.heartbeats, n.heartbeat(entry))
		}
	}
	n.simulateSecond()
	n.simulateSecond()
	// A delegate, which exchanges heartbeats on behalf of its data centre, also
	// receives heartbeats from the delegates of other data centres.
	for _, entry := range n.snapshot.Partners {
		if entry.DataCentre != "dc0" {
			n.heartbeats = append(n.heartbeats, n.heartbeat(entry))
		}
	}
	return n
}

func (n *simulatedInstance) step(e control.Event) {
	for _, action := range n.state.Step(n.now, e) {
		if publish, ok := action.(control.Publish); ok {
			n.snapshot = publish.Snapshot
		}
	}
}

func (n *simulatedInstance) heartbeat(entry member.ListedInstance) member.Heartbeat {
	h := member.Heartbeat{
		Name: entry.Name, DataCentre: entry.DataCentre, Home: ident.Home{Peer: entry.Peer, Incarnation: 1},
		ConfigVersion: n.snapshot.Config.Version, ConfigDigest: n.snapshot.Config.Digest,
		ListHash: n.snapshot.ListHash,
	}
	if entry.DataCentre == "dc0" {
		// Each instance reports the load of a part of its data centre's upstreams.
		perDataCentre := n.upstreams / n.dataCentres
		for i := range perDataCentre / n.instancesPerDataCentre() {
			h.Loads = append(h.Loads, member.Load{Upstream: fmt.Sprintf("engine-0-%d", i), Report: decide.Report{
				TakenAt: n.now, Running: 30, UsedTokens: 50_000, CapacityTokens: 100_000, StepTime: 30 * time.Millisecond,
			}})
		}
	}
	return h
}

const ticksPerSecond = 10

// simulateSecond simulates one second, in which the instance reads the configuration
// service and the instance list, and receives one heartbeat from every peer that it
// exchanges heartbeats with.
func (n *simulatedInstance) simulateSecond() {
	for range ticksPerSecond {
		n.now = n.now.Add(time.Second / ticksPerSecond)
		n.step(control.Tick{})
	}
	for _, h := range n.heartbeats {
		h.ConfigContact, h.ListRead = n.now, n.now
		for i := range h.Loads {
			h.Loads[i].Report.TakenAt = n.now
		}
		n.step(control.HeartbeatReceived{Heartbeat: h, RequestedAt: n.now})
	}
	n.instanceList.ReadAt, n.instanceList.RequestedAt = n.now, n.now
	n.step(n.instanceList)
	n.step(control.ConfigVersionRead{Version: n.snapshot.Config.Version, Digest: n.snapshot.Config.Digest, RequestedAt: n.now})
	for _, u := range n.snapshot.PolledUpstreams {
		for range 2 {
			n.step(control.SchedulerEvent{Event: decide.ReportReceived{Upstream: u.Name, Report: decide.Report{TakenAt: n.now, Running: 30}}})
		}
	}
}

// micros converts to microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// stepSlopes measures the control state machine and the codec without a network,
// and exchanges of heartbeats over the loopback interface.
func stepSlopes() ([]Slope, error) {
	costPerSecond := func(size string, target float64, vary func(*fleetSizes, int)) measurement {
		return measurement{Slope{Size: size, Cost: "control steps of a second", Unit: "us", Target: target}, func(count int) float64 {
			s := targetSizes()
			vary(&s, count)
			n := newSimulatedInstance(s)
			return micros(averageProcessorTime(n.simulateSecond))
		}}
	}
	heapSize := func(size string, target float64, vary func(*fleetSizes, int)) measurement {
		return measurement{Slope{Size: size, Cost: "control state", Unit: "KB", Target: target}, func(count int) float64 {
			s := targetSizes()
			vary(&s, count)
			return retainedHeap(func() any { return newSimulatedInstance(s) }) / 1024
		}}
	}
	entries := func(s *fleetSizes, n int) { s.entries = n }
	upstreams := func(s *fleetSizes, n int) { s.upstreams = n }
	teams := func(s *fleetSizes, n int) { s.teams = n }
	classes := func(s *fleetSizes, n int) { s.classes = n }
	slopes := []Slope{
		costPerSecond("peers", targetEntries, entries).measure(64, 128, 256, 410),
		heapSize("peers", targetEntries, entries).measure(64, 128, 256, 410),
		costPerSecond("upstreams", targetUpstreams, upstreams).measure(250, 500, 1000, 2000),
		heapSize("upstreams", targetUpstreams, upstreams).measure(250, 500, 1000, 2000),
		heapSize("teams", targetTeams, teams).measure(2625, 5250, 10_500, 21_000),
		heapSize("classes", targetClasses, classes).measure(25, 50, 100, 200),
		changeCost("teams", targetTeams, teams).measure(2625, 5250, 10_500, 21_000),
		changeCost("classes", targetClasses, classes).measure(25, 50, 100, 200),
		changeBytes("teams", targetTeams, teams).measure(2625, 5250, 10_500, 21_000),
		manyChanges().measure(8, 16, 32, 64),
		streamCost().measure(500, 1000, 2000, 4000),
		decisionCost().measure(250, 500, 1000, 2000),
		heartbeatBytes().measure(0, 5, 10, 20),
		heartbeatCodec().measure(0, 5, 10, 20),
	}
	exchanges, err := exchangeSlope()
	return append(slopes, exchanges), err
}

// changeCost measures the processor time for accepting a change of one value.
func changeCost(size string, target float64, vary func(*fleetSizes, int)) measurement {
	return measurement{Slope{Size: size, Cost: "an accepted change", Unit: "us", Target: target}, func(count int) float64 {
		s := targetSizes()
		vary(&s, count)
		n := newSimulatedInstance(s)
		change := 0
		base := s.document(0)
		return micros(averageProcessorTime(func() {
			change++
			n.step(control.ConfigReceived{Document: s.withChange(base, change), RequestedAt: n.now})
		}))
	}}
}

// withChange returns a shallow copy of the document with a new value of teams/0.
func (s fleetSizes) withChange(base config.Document, change int) config.Document {
	doc := config.Document{Index: config.Index{Version: uint64(change + 1), Values: map[string]config.IndexEntry{}}, Values: map[string][]byte{}}
	for key, entry := range base.Index.Values {
		doc.Index.Values[key], doc.Values[key] = entry, base.Values[key]
	}
	value := s.teamsValue(0, change)
	doc.Index.Values["teams/0"] = config.IndexEntry{Version: doc.Index.Version, SHA256: config.Hash(value)}
	doc.Values["teams/0"] = value
	return doc
}

// changeBytes measures the size of the message with which a peer forwards a change
// of one shard of teams.
func changeBytes(size string, target float64, vary func(*fleetSizes, int)) measurement {
	return measurement{Slope{Size: size, Cost: "a change between peers", Unit: "bytes", Target: target}, func(count int) float64 {
		s := targetSizes()
		vary(&s, count)
		return float64(proto.Size(&peerpb.ConfigReply{Version: 1 << 20, Digest: "0123456789abcdef", Values: []*peerpb.ConfigValue{
			{Key: "teams/0", Version: 1 << 20, Content: s.teamsValue(0, 1)},
		}}))
	}}
}

// manyChanges measures the processor time of a series of changes at the target
// sizes.
func manyChanges() measurement {
	return measurement{Slope{Size: "changes", Cost: "that many changes", Unit: "us", Target: targetChanges}, func(count int) float64 {
		s := targetSizes()
		n := newSimulatedInstance(s)
		base, change := s.document(0), 0
		return micros(averageProcessorTime(func() {
			for range count {
				change++
				n.step(control.ConfigReceived{Document: s.withChange(base, change), RequestedAt: n.now})
			}
		}))
	}}
}

// streamCost measures the processor time of streams in the control goroutine: for
// each stream a decision, a few progress reports and an end.
func streamCost() measurement {
	return measurement{Slope{Size: "streams", Cost: "control steps of that many streams", Unit: "us", Traffic: true, Target: targetStreams}, func(count int) float64 {
		n := newSimulatedInstance(targetSizes())
		return micros(averageProcessorTime(func() { n.runStreams(count) }))
	}}
}

const progressPerStream = 4

func (n *simulatedInstance) runStreams(count int) {
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

// decisionCost measures the processor time of one stream as a function of the
// number of upstreams.
func decisionCost() measurement {
	return measurement{Slope{Size: "upstreams", Cost: "control steps of one stream", Unit: "us", Traffic: true, Target: targetUpstreams}, func(count int) float64 {
		s := targetSizes()
		s.upstreams = count
		n := newSimulatedInstance(s)
		return micros(averageProcessorTime(func() { n.runStreams(100) })) / 100
	}}
}

// wireHeartbeat returns a heartbeat message with this number of load reports.
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

func heartbeatBytes() measurement {
	return measurement{Slope{Size: "load reports", Cost: "a heartbeat", Unit: "bytes", Target: 5}, func(count int) float64 {
		return float64(proto.Size(wireHeartbeat(count)))
	}}
}

func heartbeatCodec() measurement {
	return measurement{Slope{Size: "load reports", Cost: "encoding and decoding a heartbeat", Unit: "us", Target: 5}, func(count int) float64 {
		h := wireHeartbeat(count)
		return micros(averageProcessorTime(func() {
			content, err := proto.Marshal(h)
			if err != nil {
				panic(err) // Can't fail for a message of plain fields.
			}
			var decoded peerpb.Heartbeat
			if err := proto.Unmarshal(content, &decoded); err != nil {
				panic(err)
			}
		}))
	}}
}

// heartbeatServer responds to every heartbeat with the same heartbeat.
type heartbeatServer struct {
	peerpb.UnimplementedPeerServer
	response *peerpb.Heartbeat
}

// Exchange implements peerpb.PeerServer.
func (s heartbeatServer) Exchange(context.Context, *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	return s.response, nil
}

// exchangeSlope measures exchanges of heartbeats by gRPC over the loopback
// interface. Client and server run in this process, so the measured cost covers both
// sides, about half each.
func exchangeSlope() (Slope, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Slope{}, err
	}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, heartbeatServer{response: wireHeartbeat(5)})
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) }) // Serve returns after Stop.
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
	c := measurement{Slope{Size: "exchanges", Cost: "both sides of that many exchanges", Unit: "us", Target: targetEntries / targetDataCentres}, func(count int) float64 {
		return micros(averageProcessorTime(func() {
			for range count {
				if _, err := client.Exchange(context.Background(), h); err != nil {
					failure = err
				}
			}
		}))
	}}
	return c.measure(10, 20, 40, 80), failure
}
