package dispatch_test

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/containment"
	"mangoloft/decide"
	"mangoloft/dispatch"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/upstream"
	"mangoloft/verdict"
)

// recordingAnnouncer records the announcements to other instances.
type recordingAnnouncer struct {
	mu      sync.Mutex
	notices []decide.NoticeKind
	leaving []string
	lists   int
	// changed are the items of the announced changes of the list.
	changed []string
	tables  int
	// ordersRequested is the number of requests for the orders of other instances.
	ordersRequested atomic.Int64
}

func (a *recordingAnnouncer) SendNotice(n decide.Notice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notices = append(a.notices, n.Kind)
}

func (a *recordingAnnouncer) SendLeaving(id string, _ int64, _ time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = append(a.leaving, id)
}

func (a *recordingAnnouncer) ListChanged(items []upstream.Item, _, _ history.Position) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lists++
	for _, item := range items {
		a.changed = append(a.changed, item.ID)
	}
}

func (a *recordingAnnouncer) OrdersChanged(evacuation.Orders) {}

func (a *recordingAnnouncer) RequestOrders() { a.ordersRequested.Add(1) }

func (a *recordingAnnouncer) SendLimit(decide.LimitNotice) {}

func (a *recordingAnnouncer) SendBrittle(decide.BrittleNotice) {}

func (a *recordingAnnouncer) SendCrash(containment.Crash) {}
func (a *recordingAnnouncer) PoolReachChanged()           {}
func (a *recordingAnnouncer) Reaching(string) int         { return 0 }

func (a *recordingAnnouncer) SendFinding(containment.Finding) {}

func (a *recordingAnnouncer) TableChanged() {
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

func start(t *testing.T) (*dispatch.Controller, *recordingAnnouncer) {
	t.Helper()
	return startFollowing(t, false)
}

// startFollowing starts a controller that follows orders to evacuate data centres, or not.
func startFollowing(t *testing.T, followsOrders bool) (*dispatch.Controller, *recordingAnnouncer) {
	t.Helper()
	log := event.NewLog(io.Discard, "i", time.Now)
	c, announcer := dispatch.New("a", log), &recordingAnnouncer{}
	c.SetAnnouncer(announcer)
	c.FollowsOrders = func() bool { return followsOrders }
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
		log.Close(time.Now().Add(time.Second))
	})
	c.UpdateTable(table(3), "test")
	return c, announcer
}

func request(n uint64) decide.Request {
	return decide.Request{
		ID: ident.Request{Sequence: n}, Class: config.Class{Name: "draft", Pool: "pool", Kind: config.Stream, WaitTarget: 50 * time.Millisecond},
		PromptTokens: 100, MaxOutputTokens: 100, StartBy: time.Now().Add(50 * time.Millisecond),
	}
}

// TestPlaceEndsWithItsContext guards against taking a deadline that ends in the queue, or the
// end of the instance, for a caller that has disconnected: nothing is answered to those.
func TestPlaceEndsWithItsContext(t *testing.T) {
	log := event.NewLog(io.Discard, "i", time.Now)
	defer log.Close(time.Now().Add(time.Second))
	background := context.Background()
	for name, test := range map[string]struct {
		request func() (context.Context, context.CancelFunc)
		// stops reports whether the controller has stopped.
		stops bool
		want  verdict.Reason
	}{
		"deadline": {func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(background, 20*time.Millisecond)
		}, false, verdict.WaitExpired},
		"caller disconnected": {func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(background)
			cancel()
			return ctx, cancel
		}, false, verdict.CallerDisconnected},
		"instance stopped": {func() (context.Context, context.CancelFunc) { return context.WithCancel(background) }, true, verdict.Stopping},
	} {
		t.Run(name, func(t *testing.T) {
			// The controller doesn't run, or only until it has stopped, so it decides nothing.
			c := dispatch.New("a", log)
			c.SetAnnouncer(&recordingAnnouncer{})
			ctx, cancel := test.request()
			defer cancel()
			if test.stops {
				stopped, stop := context.WithCancel(background)
				stop()
				assert.NilError(t, c.Run(stopped))
			}
			_, err := c.Place(ctx, request(1))
			assert.Equal(t, verdict.OutcomeOf(err).Reason, test.want, "%v", err)
			assert.Equal(t, verdict.OutcomeOf(err).Verdict, verdict.NotRun)
		})
	}
}

// TestOddEntriesAreNotAnnounced guards against entries of another writer that make all instances
// fetch the list again: they don't fit into a datagram, and nobody can use them.
func TestOddEntriesAreNotAnnounced(t *testing.T) {
	c, announcer := start(t)
	odd := func(revision uint64) upstream.Item {
		return upstream.Item{ID: "odd", Revision: revision, Raw: make([]byte, 1<<20)}
	}
	update := func(at uint64, complete bool, items ...upstream.Item) history.Position {
		c.UpdateList(items, history.Position{Revision: at}, complete, upstream.FromList)
		c.Upstreams() // Waits until the list is applied.
		return c.Snapshot().ListPosition
	}
	listed := update(3, true, odd(1), engine("e1", 2, false))
	assert.Equal(t, listed, history.Position{Revision: 3})
	assert.Equal(t, update(5, false, odd(4), odd(5)), listed)
	assert.Equal(t, update(8, false, odd(6), engine("e2", 7, false), odd(8)).Revision, uint64(7))
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	assert.DeepEqual(t, announcer.changed, []string{"e1", "e2"})
}

// TestPlaceAndMove places a request, moves it when its engine leaves, and checks
// the announcements.
func TestPlaceAndMove(t *testing.T) {
	c, announcer := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err := c.Place(ctx, request(1))
	assert.Equal(t, verdict.OutcomeOf(err).Reason, verdict.NoUpstream)
	assert.Equal(t, verdict.OutcomeOf(err).Verdict, verdict.NotRun)

	c.UpdateList([]upstream.Item{engine("e1", 1, false)}, history.Position{Revision: 1}, true, upstream.FromList)
	place, err := c.Place(ctx, request(2))
	assert.NilError(t, err)
	assert.Equal(t, place.Name, "e1")

	c.UpdateList([]upstream.Item{engine("e1", 2, true), engine("e2", 3, false)}, history.Position{Revision: 3}, false, upstream.FromList)
	select {
	case status := <-place.Leaving:
		assert.Equal(t, status.State, upstream.Draining)
	case <-ctx.Done():
		t.Fatal("the request must be notified that its engine is leaving")
	}
	destination, err := c.StartMove(ctx, request(2).ID, nil)
	assert.NilError(t, err)
	assert.Equal(t, destination.Name, "e2")
	c.EndMove(request(2).ID, true)
	secondDestination, err := c.StartMove(ctx, request(2).ID, nil)
	assert.Equal(t, verdict.OutcomeOf(err).Reason, verdict.NoUpstream, "%v", secondDestination.Name)

	c.End(request(2).ID, 100, verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed})
	_, err = c.StartMove(ctx, request(2).ID, nil)
	assert.Equal(t, verdict.OutcomeOf(err).Reason, verdict.NotFound)

	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	assert.Equal(t, announcer.tables, 1)
	assert.Equal(t, announcer.lists, 2)
	// A move is announced when it begins, and again with the number of tokens
	// when it is completed.
	assert.DeepEqual(t, announcer.notices, []decide.NoticeKind{decide.NoticePlaced, decide.NoticePlaced, decide.NoticePlaced, decide.NoticeEnded})
}

// TestCancelledMove checks that a request remains on its upstream when its
// move is cancelled.
func TestCancelledMove(t *testing.T) {
	c, _ := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.UpdateList([]upstream.Item{engine("e1", 1, false), engine("e2", 2, false)}, history.Position{Revision: 2}, true, upstream.FromList)
	_, err := c.Place(ctx, request(1))
	assert.NilError(t, err)
	cancelled, stop := context.WithCancel(ctx)
	stop()
	for range 20 {
		if _, err := c.StartMove(cancelled, request(1).ID, nil); err != nil {
			assert.Equal(t, verdict.OutcomeOf(err).Reason, verdict.CallerDisconnected)
		}
		c.EndMove(request(1).ID, false)
	}
	_, err = c.StartMove(ctx, request(1).ID, nil)
	assert.NilError(t, err)
}

func TestOlderTableIsIgnored(t *testing.T) {
	c, announcer := start(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, version := range []uint64{5, 4, 5, 2} {
		c.UpdateTable(table(version), "test")
	}
	c.Loads(ctx, "a", 1) // Waits until all earlier commands are executed.
	assert.Equal(t, c.Snapshot().Document.Table.Version, uint64(5))
	announcer.mu.Lock()
	defer announcer.mu.Unlock()
	assert.Equal(t, announcer.tables, 2)
}

// TestLeavingIsAnnouncedOnce checks that an upstream's own signal that it
// leaves is announced to other instances, and that a signal from a peer is not
// announced again.
func TestLeavingIsAnnouncedOnce(t *testing.T) {
	tests := map[string]struct {
		source    upstream.Source
		announced bool
	}{"report": {upstream.FromReport, true}, "answer": {upstream.FromAnswer, true}, "peer": {upstream.FromPeer, false}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c, announcer := start(t)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			c.UpdateList([]upstream.Item{engine("e1", 1, false)}, history.Position{Revision: 1}, true, upstream.FromList)
			c.ReportLeaving("e1", 1, time.Now().Add(time.Second), test.source)
			c.Loads(ctx, "a", 1)
			announcer.mu.Lock()
			defer announcer.mu.Unlock()
			assert.Equal(t, len(announcer.leaving) == 1, test.announced)
		})
	}
}
