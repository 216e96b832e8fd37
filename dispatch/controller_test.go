package dispatch_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

// announced keeps what other instances would be told.
type announced struct {
	mu      sync.Mutex
	notices []decide.NoticeKind
	leaving []string
	lists   int
	tables  int
}

func (a *announced) Notice(n decide.Notice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notices = append(a.notices, n.Kind)
}

func (a *announced) Leaving(id string, _ int64, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = append(a.leaving, id)
}

func (a *announced) ListChanged([]upstream.Item, uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lists++
}

func (a *announced) TableChanged() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tables++
}

func engine(id string, revision uint64, draining bool) upstream.Item {
	addr := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(len(id))+uint16(id[len(id)-1]))
	return upstream.Item{ID: id, Revision: revision, Raw: []byte("x"), Entry: &upstream.Entry{
		ID: id, Service: "pool", Addr: addr, DataCentre: "a", Slots: 8, StartUnixMS: 1, Draining: draining,
	}}
}

func table(version uint64) routing.Document {
	engine := &routing.Engine{Slots: 8, KVCacheTokens: 10_000, EventTokens: 1, SupportsMove: true}
	return routing.Document{Table: &routing.Table{Version: version, Services: map[string]*routing.Service{"pool": {Name: "pool", Engine: engine}}}}
}

func start(t *testing.T) (*dispatch.Controller, *announced) {
	t.Helper()
	log := event.NewLog(io.Discard, "i", time.Now)
	c, told := dispatch.New("a", log), &announced{}
	c.SetAnnouncer(told)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		log.Close(time.Now().Add(time.Second))
	})
	c.TableRead(table(3), "test")
	return c, told
}

func request(n uint64) decide.Request {
	return decide.Request{
		ID: ident.Request{Sequence: n}, Class: config.Class{Name: "draft", Pool: "pool", Kind: config.Stream, WaitTarget: 50 * time.Millisecond},
		PromptTokens: 100, MaxOutputTokens: 100, StartBy: time.Now().Add(50 * time.Millisecond),
	}
}

func TestPlaceAndRelocate(t *testing.T) {
	c, told := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.Place(ctx, request(1))
	assert.Equal(t, verdict.Of(err).Reason, verdict.NoUpstream)
	assert.Equal(t, verdict.Of(err).Verdict, verdict.NotRun)

	c.ListRead([]upstream.Item{engine("e1", 1, false)}, 1, true, upstream.FromList)
	place, err := c.Place(ctx, request(2))
	assert.NilError(t, err)
	assert.Equal(t, place.Name, "e1")

	c.ListRead([]upstream.Item{engine("e1", 2, true), engine("e2", 3, false)}, 3, false, upstream.FromList)
	select {
	case b := <-place.Leaving:
		assert.Equal(t, b.State, upstream.Draining)
	case <-ctx.Done():
		t.Fatal("the run was not told that its engine leaves")
	}
	to, err := c.Relocate(ctx, request(2).ID, nil)
	assert.NilError(t, err)
	assert.Equal(t, to.Name, "e2")
	c.Relocated(request(2).ID, true)
	again, err := c.Relocate(ctx, request(2).ID, nil)
	assert.Equal(t, verdict.Of(err).Reason, verdict.NoUpstream, "%v", again.Name)

	c.End(request(2).ID, 100, verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed})
	_, err = c.Relocate(ctx, request(2).ID, nil)
	assert.Equal(t, verdict.Of(err).Reason, verdict.NotFound)

	told.mu.Lock()
	defer told.mu.Unlock()
	assert.Equal(t, told.tables, 1)
	assert.Equal(t, told.lists, 2)
	// The move is told when it begins, and again with what the run has when it
	// is done.
	assert.DeepEqual(t, told.notices, []decide.NoticeKind{decide.NoticePlaced, decide.NoticePlaced, decide.NoticePlaced, decide.NoticeEnded})
}

// TestGivenUpRelocation holds that a run keeps its place when its move is given up.
func TestGivenUpRelocation(t *testing.T) {
	c, _ := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.ListRead([]upstream.Item{engine("e1", 1, false), engine("e2", 2, false)}, 2, true, upstream.FromList)
	_, err := c.Place(ctx, request(1))
	assert.NilError(t, err)
	over, stop := context.WithCancel(ctx)
	stop()
	for range 20 {
		if _, err := c.Relocate(over, request(1).ID, nil); err != nil {
			assert.Equal(t, verdict.Of(err).Reason, verdict.CallerGone)
		}
		c.Relocated(request(1).ID, false)
	}
	_, err = c.Relocate(ctx, request(1).ID, nil)
	assert.NilError(t, err)
}

func TestTableNeverFalls(t *testing.T) {
	c, told := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, version := range []uint64{5, 4, 5, 2} {
		c.TableRead(table(version), "test")
	}
	c.Loads(ctx, "a") // What was sent before is done.
	assert.Equal(t, c.Snapshot().Document.Table.Version, uint64(5))
	told.mu.Lock()
	defer told.mu.Unlock()
	assert.Equal(t, told.tables, 2)
}

// TestWordOfUpstreamsIsPassedOn holds that what an upstream says of itself is
// told to the others, and what others or the list say is not told again.
func TestWordOfUpstreamsIsPassedOn(t *testing.T) {
	tests := map[string]struct {
		source upstream.Source
		told   bool
	}{"report": {upstream.FromReport, true}, "answer": {upstream.FromAnswer, true}, "peer": {upstream.FromPeer, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, told := start(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			c.ListRead([]upstream.Item{engine("e1", 1, false)}, 1, true, upstream.FromList)
			c.Leaving("e1", 1, time.Now().Add(time.Second), test.source)
			c.Loads(ctx, "a")
			told.mu.Lock()
			defer told.mu.Unlock()
			assert.Equal(t, len(told.leaving) == 1, test.told)
		})
	}
}
