package gossip

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
)

// fuzzSink applies the contents of datagrams to a real scheduler and directory.
type fuzzSink struct {
	now       time.Time
	scheduler *decide.Scheduler
	directory *upstream.Directory
	orders    evacuation.Register
}

func (s *fuzzSink) HandleNotice(n decide.Notice) {
	s.scheduler.Step(s.now, decide.NoticeReceived{Notice: n})
}

func (s *fuzzSink) ReportLeaving(id string, startUnixMS int64, leavesAt time.Time, source upstream.Source) {
	s.directory.MarkLeaving(s.now, id, startUnixMS, leavesAt, source)
}

func (s *fuzzSink) UpdateTable(routing.Document, string) {}

func (s *fuzzSink) UpdateList(items []upstream.Item, at history.Position, _ bool, _ upstream.Source) {
	s.directory.Apply(s.now, items, at.Era)
}

func (s *fuzzSink) SetListUnreadable() {}

func (s *fuzzSink) ConfirmOrders() {}

func (s *fuzzSink) UpdateOrders(o evacuation.Orders, _ string) {
	s.orders.Update(s.now, o)
	s.scheduler.Step(s.now, decide.EvacuationsChanged{DataCentres: s.orders.DataCentres()})
}

func (s *fuzzSink) HandleLimit(n decide.LimitNotice) {
	s.scheduler.Step(s.now, decide.LimitNoticeReceived{Notice: n})
}

func (s *fuzzSink) HandleBrittle(n decide.BrittleNotice) {
	s.scheduler.Step(s.now, decide.BrittleNoticeReceived{Notice: n})
}

func (s *fuzzSink) SetMembers(e decide.MembersChanged) { s.scheduler.Step(s.now, e) }

func (s *fuzzSink) HandleCrash(c containment.Crash) {
	s.scheduler.Step(s.now, decide.CrashReceived{Crash: c})
}

func (s *fuzzSink) HandleFinding(f containment.Finding) {
	s.scheduler.Step(s.now, decide.FindingReceived{Finding: f})
}

func (s *fuzzSink) HandleReport(name string, r decide.Report) {
	s.scheduler.Step(s.now, decide.ReportReceived{Upstream: name, Report: r})
}

func (s *fuzzSink) Loads(context.Context, string, int) []decide.Load { return nil }

// failingDecoder decodes no document.
type failingDecoder struct{}

func (failingDecoder) Table([]byte) (*routing.Table, error) { return nil, io.EOF }

func (failingDecoder) Entry(string, []byte) (*upstream.Entry, error) { return nil, io.EOF }

// FuzzDatagram checks that no datagram makes the scheduler panic, and that the
// scheduler still places a request afterwards.
func FuzzDatagram(f *testing.F) {
	request := ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.1:7200"), Incarnation: 7}, Sequence: 1}
	for _, n := range []noticeWire{
		{Kind: decide.NoticePlaced, ID: request.String(), Pool: "pool", PromptTokens: 100, MaxOutput: 10, Upstream: "e1"},
		{Kind: decide.NoticePlaced, ID: request.String(), Pool: "pool", PromptTokens: -1 << 62, MaxOutput: -1, Upstream: "e1", Tokens: -5},
		{Kind: decide.NoticeWaiting, ID: request.String(), Pool: "pool", StartInMS: 1 << 62, WaitMS: -1 << 62, FirstInMS: 1 << 62},
		{Kind: decide.NoticeWaiting, ID: request.String(), Pool: "pool", StartInMS: 100, WaitMS: 900, Rank: 1 << 40},
		{Kind: 200, ID: request.String()},
		{Kind: decide.NoticeEnded, ID: request.String(), Upstream: "e1", Tokens: -1 << 62, Failed: true, Remote: true},
	} {
		content, err := json.Marshal(datagramWire{
			From: netip.MustParseAddrPort("10.0.0.1:7200"), Name: "b", Notices: []noticeWire{n},
			Leaving: []leavingWire{{ID: "e1", StartUnixMS: 1, LeavesInMS: -1}}, Limits: []limitWire{{ID: "e1", StartUnixMS: 1, Limited: true, PerSecond: 1e300, HeardAgoMS: 1 << 62, Sent: 1 << 62}},
			Crashes:  []crashWire{{ID: "e1", StartUnixMS: 1, AgoMS: -1, Parts: []string{"", "1"}}, {ID: "p1", Requests: slices.Repeat([]string{"3", "z"}, 60)}, {ID: "e1", Parts: slices.Repeat([]string{"2"}, 100)}},
			Findings: []findingWire{{Request: "x", ContainedAgoMS: new(int64(5)), ProbeInMS: 7}, {Part: "3", SurvivedAgoMS: new(int64(1 << 62)), ProbeInMS: -1 << 62, Probes: -1}, {ContainedAgoMS: new(int64(0)), Probes: 1 << 30}},
			Loads:    []loadsWire{{Upstreams: []string{"e1"}, Running: []int{-1}, UsedTokens: []int{-1 << 62}, PendingPrefill: []int{1 << 62}}},
		})
		assert.NilError(f, err)
		f.Add(content)
	}
	f.Add([]byte(`{"from":"","notices":[{}],"list":{"items":[{"id":"e1"}]}}`))
	engine := decide.Upstream{Name: "e1", Pool: "pool", DataCentre: "a", Incarnation: 1, Slots: 8, CapacityTokens: 10_000, StepTime: 10 * time.Millisecond}
	f.Fuzz(func(t *testing.T, content []byte) {
		var w datagramWire
		if json.Unmarshal(content, &w) != nil {
			return
		}
		sink := &fuzzSink{now: time.Now(), scheduler: decide.New("a"), directory: upstream.NewDirectory()}
		sink.scheduler.Step(sink.now, decide.UpstreamsChanged{Upstreams: []decide.Upstream{engine}})
		log := event.NewLog(io.Discard, "a", time.Now)
		defer log.Close(time.Now())
		p, err := Listen(Options{
			Name: "a", DataCentre: "a", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Log: log, Decoder: failingDecoder{},
			State: func() State { return State{TableVersion: 1, ListPosition: history.Position{Revision: 1}} },
		}, sink)
		assert.NilError(t, err)
		defer p.conn.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.handleDatagram(ctx, w)
		p.pulls.group.Wait()

		for range 3 {
			sink.now = sink.now.Add(10 * time.Second)
			sink.scheduler.Step(sink.now, decide.Tick{})
		}
		r := decide.Request{ID: request, PromptTokens: 100, MaxOutputTokens: 10, StartBy: sink.now.Add(time.Second)}
		r.ID.Home.Incarnation++
		r.Class.Pool, r.Class.Kind = "pool", config.Stream
		placed := false
		for _, action := range sink.scheduler.Step(sink.now, decide.Arrived{Request: r}) {
			_, ok := action.(decide.Place)
			placed = placed || ok
		}
		assert.Assert(t, placed, "an idle engine must get the request after the datagram %s", content)
	})
}

// TestRankOfNotice checks that a notice carries its rank, that rank 0 adds no bytes, and
// that a rank out of range, which the scheduler can't count, is refused.
func TestRankOfNotice(t *testing.T) {
	now := time.Now()
	n := decide.Notice{Kind: decide.NoticeWaiting, Request: decide.Request{ID: ident.Request{Home: ident.Home{Peer: netip.MustParseAddrPort("10.0.0.1:7200"), Incarnation: 7}, Sequence: 1}}}
	for rank, valid := range map[int]bool{-1: false, 0: true, 9: true, 10: false} {
		n.Request.Rank = rank
		w := encodeNotice(now, n)
		content, err := json.Marshal(w)
		assert.NilError(t, err)
		assert.Equal(t, strings.Contains(string(content), "rank"), rank != 0)
		got, err := decodeNotice(now, w)
		assert.Equal(t, err == nil, valid, "rank %d", rank)
		if valid {
			assert.Equal(t, got.Request.Rank, rank)
		}
	}
}
