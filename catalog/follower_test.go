package catalog_test

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangoloft/catalog"
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/routing"
	"mangoloft/upstream"
)

// response is the store's response to one call.
type response struct {
	raw      string
	items    []upstream.Item
	revision uint64
	era      uint64
	// orders and malformed are changes of orders to evacuate data centres.
	orders    []evacuation.Key
	malformed []string
	err       error
}

// store returns its responses in order, and blocks further calls until they are
// cancelled.
type store struct {
	mu        sync.Mutex
	responses []response
	calls     []string
}

func (s *store) respond(ctx context.Context, call string) response {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.responses) > 0 {
		r := s.responses[0]
		s.responses = s.responses[1:]
		s.mu.Unlock()
		return r
	}
	s.mu.Unlock()
	<-ctx.Done()
	return response{err: ctx.Err()}
}

func (r response) position() history.Position {
	return history.Position{Era: r.era, Revision: r.revision}
}

func (s *store) Table(ctx context.Context) ([]byte, history.Position, error) {
	r := s.respond(ctx, "table")
	return []byte(r.raw), r.position(), r.err
}

func (s *store) List(ctx context.Context) ([]upstream.Item, history.Position, error) {
	r := s.respond(ctx, "list")
	return r.items, r.position(), r.err
}

func (s *store) WatchTable(ctx context.Context, _ history.Position, _ time.Time) ([]byte, history.Position, error) {
	r := s.respond(ctx, "watch")
	if r.raw == "" {
		return nil, r.position(), r.err
	}
	return []byte(r.raw), r.position(), r.err
}

func (s *store) Published(ctx context.Context) (catalog.Published, history.Position, error) {
	r := s.respond(ctx, "published")
	return r.published(), r.position(), r.err
}

func (s *store) WatchPublished(ctx context.Context, _ history.Position, _ time.Time) (catalog.Published, history.Position, error) {
	r := s.respond(ctx, "watch published")
	return r.published(), r.position(), r.err
}

func (r response) published() catalog.Published {
	p := catalog.Published{Orders: r.orders, Malformed: r.malformed}
	if r.raw != "" {
		p.Table = []byte(r.raw)
	}
	return p
}

func (s *store) WatchList(ctx context.Context, _ history.Position, _ time.Time) ([]upstream.Item, history.Position, error) {
	r := s.respond(ctx, "watch")
	return r.items, r.position(), r.err
}

// sink records the tables and lists that were read.
type sink struct {
	mu       sync.Mutex
	versions []uint64
	lists    []string
	orders   []evacuation.Orders
	lost     int
}

func (s *sink) UpdateTable(d routing.Document, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, d.Table.Version)
}

func (s *sink) UpdateList(items []upstream.Item, _ history.Position, complete bool, _ upstream.Source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := "changes"
	if complete {
		content = "complete"
	}
	for _, item := range items {
		content += " " + item.ID
	}
	s.lists = append(s.lists, content)
}

func (s *sink) UpdateOrders(o evacuation.Orders, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders = append(s.orders, o)
}

func (s *sink) SetListUnreadable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
}

// digitDecoder decodes a table from a digit, which is its version.
type digitDecoder struct{}

func (digitDecoder) Table(raw []byte) (*routing.Table, error) {
	if raw[0] < '0' || raw[0] > '9' {
		return nil, errors.New("not a digit")
	}
	return &routing.Table{Version: uint64(raw[0] - '0')}, nil
}

func oneReader() int { return 1 }

func applyTime() time.Duration { return 2 * time.Second }

func noList() history.Position { return history.Position{} }

// follow follows the list or the table until the store has returned all responses.
func follow(t *testing.T, responses []response, list bool) (*store, *sink) {
	t.Helper()
	st, si := &store{responses: responses}, &sink{}
	log := event.NewLog(&bytes.Buffer{}, "i", time.Now)
	f := &catalog.Follower{Store: st, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return true }, HasTable: func() bool { return false }, Readers: oneReader, ApplyTime: applyTime, ListPosition: noList}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() {
		if list {
			_ = f.FollowList(ctx)
		} else {
			_ = f.FollowTable(ctx)
		}
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		st.mu.Lock()
		defer st.mu.Unlock()
		if len(st.calls) > len(responses) {
			return poll.Success()
		}
		return poll.Continue("calls so far: %v", st.calls)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	cancel()
	group.Wait()
	log.Close(time.Now().Add(time.Second))
	return st, si
}

// TestOnlyReadersWatch checks that an instance which is not a reader reads the
// store once, when it has no table yet, and not again.
func TestOnlyReadersWatch(t *testing.T) {
	st, si := &store{responses: []response{{raw: "2", revision: 5}}}, &sink{}
	log := event.NewLog(&bytes.Buffer{}, "i", time.Now)
	hasTable := func() bool {
		si.mu.Lock()
		defer si.mu.Unlock()
		return len(si.versions) > 0
	}
	f := &catalog.Follower{Store: st, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return false }, HasTable: hasTable, ApplyTime: applyTime}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	assert.NilError(t, f.FollowTable(ctx))
	log.Close(time.Now().Add(time.Second))
	assert.DeepEqual(t, st.calls, []string{"table"})
	assert.DeepEqual(t, si.versions, []uint64{2})
}

// TestNoTableYet checks that only readers continue to read the store in a fleet
// that starts before its first table is published.
func TestNoTableYet(t *testing.T) {
	for name, reads := range map[string]bool{"a reader": true, "not a reader": false} {
		t.Run(name, func(t *testing.T) {
			none := catalog.ErrNoTable.New("none")
			st, si := &store{responses: []response{{err: none}, {err: none}, {err: none}}}, &sink{}
			log := event.NewLog(&bytes.Buffer{}, "i", time.Now)
			f := &catalog.Follower{Store: st, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return reads }, HasTable: func() bool { return false }, ApplyTime: applyTime}
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			defer cancel()
			assert.NilError(t, f.FollowTable(ctx))
			log.Close(time.Now().Add(time.Second))
			assert.Equal(t, len(st.calls) > 1, reads, "%v", st.calls)
		})
	}
}

var errDown = errors.New("down")

func TestFollowTable(t *testing.T) {
	tests := map[string]struct {
		responses []response
		calls     []string
		versions  []uint64
	}{
		"read, then watched":               {[]response{{raw: "2", revision: 5}, {raw: "3", revision: 9}}, []string{"table", "watch", "watch"}, []uint64{2, 3}},
		"no table yet":                     {[]response{{err: catalog.ErrNoTable.New("none")}, {raw: "2", revision: 5}}, []string{"table", "table", "watch"}, []uint64{2}},
		"watch ends without a change":      {[]response{{raw: "2", revision: 5}, {revision: 9}}, []string{"table", "watch", "watch"}, []uint64{2}},
		"store outage":                     {[]response{{raw: "2", revision: 5}, {err: errDown}, {err: errDown}, {raw: "4", revision: 12}}, []string{"table", "watch", "watch", "watch", "watch"}, []uint64{2, 4}},
		"history is no longer available":   {[]response{{raw: "2", revision: 5}, {err: catalog.ErrHistoryGone.New("gone")}, {raw: "6", revision: 40}}, []string{"table", "watch", "table", "watch"}, []uint64{2, 6}},
		"restored, revisions passed again": {[]response{{raw: "2", revision: 50, era: 1}, {revision: 60, era: 2}, {raw: "3", revision: 61, era: 2}}, []string{"table", "watch", "table", "watch"}, []uint64{2, 3}},
		"restored twice": {
			[]response{{raw: "2", revision: 50, era: 1}, {raw: "4", revision: 60, era: 2}, {raw: "3", revision: 20, era: 3}, {raw: "5", revision: 21, era: 3}},
			[]string{"table", "watch", "table", "watch", "watch"},
			[]uint64{2, 3, 5},
		},
		"delayed response of an earlier era": {[]response{{raw: "2", revision: 50, era: 2}, {raw: "4", revision: 60, era: 1}, {raw: "3", revision: 51, era: 2}}, []string{"table", "watch", "watch", "watch"}, []uint64{2, 3}},
		"era not always declared":            {[]response{{raw: "2", revision: 50, era: 2}, {raw: "3", revision: 60}, {raw: "4", revision: 61, era: 2}}, []string{"table", "watch", "watch", "watch"}, []uint64{2, 3, 4}},
		"undecodable table":                  {[]response{{raw: "x", revision: 5}, {raw: "3", revision: 9}}, []string{"table", "watch", "watch"}, []uint64{3}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			st, si := follow(t, test.responses, false)
			assert.DeepEqual(t, st.calls, test.calls)
			assert.DeepEqual(t, si.versions, test.versions)
		})
	}
}

func TestFollowList(t *testing.T) {
	u1, u2 := upstream.Item{ID: "u1", Revision: 3}, upstream.Item{ID: "u2", Revision: 8}
	tests := map[string]struct {
		responses []response
		calls     []string
		lists     []string
		lost      int
	}{
		"read, then watched": {[]response{{items: []upstream.Item{u1}, revision: 5}, {items: []upstream.Item{u2}, revision: 8}}, []string{"list", "watch", "watch"}, []string{"complete u1", "changes u2"}, 0},
		"store outage":       {[]response{{items: []upstream.Item{u1}, revision: 5}, {err: errDown}, {items: []upstream.Item{u2}, revision: 8}}, []string{"list", "watch", "watch", "watch"}, []string{"complete u1", "changes u2"}, 1},
		"history is no longer available": {
			[]response{{items: []upstream.Item{u1}, revision: 5}, {err: catalog.ErrHistoryGone.New("gone")}, {err: errDown}, {items: []upstream.Item{u2}, revision: 8}},
			[]string{"list", "watch", "list", "list", "watch"},
			[]string{"complete u1", "complete u2"},
			1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			st, si := follow(t, test.responses, true)
			assert.DeepEqual(t, st.calls, test.calls)
			assert.DeepEqual(t, si.lists, test.lists)
			assert.Equal(t, si.lost, test.lost)
		})
	}
}

// changingStore has a change of the list for every watch.
type changingStore struct {
	store
	revision uint64
	watches  int
	// after contains the revision of each watch.
	after []uint64
}

func (s *changingStore) WatchList(_ context.Context, after history.Position, _ time.Time) ([]upstream.Item, history.Position, error) {
	s.watches++
	s.revision++
	s.after = append(s.after, after.Revision)
	return []upstream.Item{{ID: "u", Revision: s.revision}}, history.Position{Revision: s.revision}, nil
}

// TestReadersShareTheWatches checks that a reader watches a list that changes all the
// time less often the more readers there are, but at least once a second or so, and
// that it continues after the changes that others have announced.
func TestReadersShareTheWatches(t *testing.T) {
	const length = 20 * time.Second
	tests := map[string]struct{ readers, fewest, most int }{
		"the only reader": {1, 330, 480},
		"6 readers":       {6, 45, 100},
		"32 readers":      {32, 22, 48},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, si := &changingStore{}, &sink{}
				log := event.NewLog(&bytes.Buffer{}, "i", time.Now)
				announced := uint64(100)
				f := &catalog.Follower{
					Store: st, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return true }, Readers: func() int { return test.readers }, ApplyTime: applyTime,
					HasTable: func() bool { return true }, ListPosition: func() history.Position { return history.Position{Revision: announced} },
				}
				ctx, cancel := context.WithTimeout(context.Background(), length)
				defer cancel()
				assert.NilError(t, f.FollowList(ctx))
				log.Close(time.Now().Add(time.Second))
				assert.Assert(t, st.watches >= test.fewest && st.watches <= test.most, "%d watches", st.watches)
				assert.Equal(t, st.after[0], announced)
				assert.Assert(t, f.ReadsList())
			})
		})
	}
}

// TestRereadCancelsSilentWatch checks that Reread cancels a watch that never
// returns, and reads the complete list. It is called when an upstream reports a
// change that should be in the list.
func TestRereadCancelsSilentWatch(t *testing.T) {
	u1, u2 := upstream.Item{ID: "u1", Revision: 3}, upstream.Item{ID: "u2", Revision: 8}
	st := &store{responses: []response{{items: []upstream.Item{u1}, revision: 5}}}
	si, log := &sink{}, event.NewLog(&bytes.Buffer{}, "i", time.Now)
	f := &catalog.Follower{Store: st, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return true }, HasTable: func() bool { return false }, Readers: oneReader, ApplyTime: applyTime, ListPosition: noList}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = f.FollowList(ctx) })
	callCountIs := func(n int) func(poll.LogT) poll.Result {
		return func(poll.LogT) poll.Result {
			st.mu.Lock()
			defer st.mu.Unlock()
			if len(st.calls) == n {
				return poll.Success()
			}
			return poll.Continue("calls so far: %v", st.calls)
		}
	}
	poll.WaitOn(t, callCountIs(2), poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	st.mu.Lock()
	st.responses = []response{{items: []upstream.Item{u2}, revision: 8}}
	st.mu.Unlock()
	f.Reread()
	poll.WaitOn(t, callCountIs(4), poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	cancel()
	group.Wait()
	log.Close(time.Now().Add(time.Second))
	assert.DeepEqual(t, st.calls, []string{"list", "watch", "list", "watch"})
	assert.DeepEqual(t, si.lists, []string{"complete u1", "complete u2"})
	assert.Equal(t, si.lost, 0)
}

// silentStore returns each document once, and never responds to the first watch of it.
type silentStore struct {
	store
	watched bool
}

func (s *silentStore) Table(context.Context) ([]byte, history.Position, error) {
	return []byte("2"), history.Position{Revision: 5}, nil
}

func (s *silentStore) List(context.Context) ([]upstream.Item, history.Position, error) {
	return []upstream.Item{{ID: "u1", Revision: 5}}, history.Position{Revision: 5}, nil
}

func (s *silentStore) WatchTable(ctx context.Context, _ history.Position, _ time.Time) ([]byte, history.Position, error) {
	if !s.watched {
		s.watched = true
		<-ctx.Done()
		return nil, history.Position{}, ctx.Err()
	}
	return []byte("3"), history.Position{Revision: 6}, nil
}

func (s *silentStore) WatchList(ctx context.Context, after history.Position, deadline time.Time) ([]upstream.Item, history.Position, error) {
	raw, at, err := s.WatchTable(ctx, after, deadline)
	return []upstream.Item{{ID: string(raw), Revision: at.Revision}}, at, err
}

func TestSilentWatchIsReplacedInTime(t *testing.T) {
	for name, list := range map[string]bool{"table": false, "list": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				si, log := &sink{}, event.NewLog(&bytes.Buffer{}, "i", time.Now)
				defer func() { log.Close(time.Now().Add(time.Second)) }()
				f := &catalog.Follower{
					Store: &silentStore{}, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return true }, Readers: oneReader, ApplyTime: applyTime,
					HasTable: func() bool { return true }, ListPosition: noList,
				}
				ctx, cancel := context.WithTimeout(context.Background(), applyTime())
				defer cancel()
				if list {
					assert.NilError(t, f.FollowList(ctx))
					assert.Assert(t, len(si.lists) > 1 && si.lists[1] == "changes 3", "%v", si.lists)
				} else {
					assert.NilError(t, f.FollowTable(ctx))
					assert.Assert(t, len(si.versions) > 1 && si.versions[1] == 3, "%v", si.versions)
				}
			})
		})
	}
}

func TestReaderWhoseWatchWasSilentReadsAgainThoughOthersAreToRead(t *testing.T) {
	for name, list := range map[string]bool{"table": false, "list": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				si, log := &sink{}, event.NewLog(&bytes.Buffer{}, "i", time.Now)
				defer func() { log.Close(time.Now().Add(time.Second)) }()
				f := &catalog.Follower{
					Store: &silentStore{}, Sink: si, Decoder: digitDecoder{}, Log: log, Readers: oneReader, ApplyTime: applyTime,
					HasTable: func() bool { return true }, ListPosition: func() history.Position { return history.Position{Revision: 4} },
				}
				f.IsReader = func() bool { return !f.Unavailable() }
				ctx, cancel := context.WithTimeout(context.Background(), applyTime())
				defer cancel()
				if list {
					assert.NilError(t, f.FollowList(ctx))
					assert.Assert(t, slices.Contains(si.lists, "changes 3"), "%v", si.lists)
				} else {
					assert.NilError(t, f.FollowTable(ctx))
					assert.Assert(t, slices.Contains(si.versions, 3), "%v", si.versions)
				}
			})
		})
	}
}

// TestFollowOrders guards against orders that are lost, applied twice or read with calls that
// deployments without evacuations don't make.
func TestFollowOrders(t *testing.T) {
	gone := catalog.ErrHistoryGone.New("gone")
	tests := map[string]struct {
		responses []response
		// ignored is true if the deployment has no evacuations.
		ignored bool
		calls   []string
		orders  []evacuation.Orders
	}{
		"not followed": {
			[]response{{raw: "1", revision: 5}}, true, []string{"table", "watch"}, nil,
		},
		"read and changed": {
			[]response{
				{raw: "1", revision: 5, orders: []evacuation.Key{{DataCentre: "b", Revision: 4}}},
				{revision: 9, orders: []evacuation.Key{{DataCentre: "c", Revision: 7}, {DataCentre: "b", Revision: 8, Deleted: true}}},
			},
			false,
			[]string{"published", "watch published", "watch published"},
			[]evacuation.Orders{at(5, "b", 4), at(7, "b", 4, "c", 7), at(8, "c", 7)},
		},
		"changes that the read included": {
			[]response{
				{raw: "1", revision: 5, orders: []evacuation.Key{{DataCentre: "b", Revision: 8}}},
				{revision: 9, orders: []evacuation.Key{{DataCentre: "b", Revision: 6}, {DataCentre: "b", Revision: 7, Deleted: true}, {DataCentre: "b", Revision: 8}}},
			},
			false,
			[]string{"published", "watch published", "watch published"},
			[]evacuation.Orders{at(5, "b", 8), at(6, "b", 8), at(7, "b", 8), at(8, "b", 8)},
		},
		"history gone": {
			[]response{
				{raw: "1", revision: 5, orders: []evacuation.Key{{DataCentre: "b", Revision: 4}}},
				{err: gone},
				{raw: "1", revision: 40},
			},
			false,
			[]string{"published", "watch published", "published", "watch published"},
			[]evacuation.Orders{at(5, "b", 4), at(40)},
		},
		"no table yet": {
			[]response{{revision: 5, orders: []evacuation.Key{{DataCentre: "b", Revision: 4}}}, {raw: "1", revision: 6}},
			false,
			[]string{"published", "watch published", "watch published"},
			[]evacuation.Orders{at(5, "b", 4)},
		},
		"malformed names": {
			[]response{{raw: "1", revision: 5, malformed: []string{"x"}, orders: []evacuation.Key{{DataCentre: "b", Revision: 4}}}},
			false,
			[]string{"published", "watch published"},
			[]evacuation.Orders{at(5, "b", 4)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				st, si := &store{responses: test.responses}, &sink{}
				ctx, cancel := context.WithCancel(context.Background())
				var group sync.WaitGroup
				log := event.NewLog(&bytes.Buffer{}, "i", time.Now)
				defer func() { cancel(); group.Wait(); log.Close(time.Now()) }()
				f := &catalog.Follower{
					Store: st, Sink: si, Decoder: digitDecoder{}, Log: log, IsReader: func() bool { return true }, HasTable: func() bool { return false }, ApplyTime: applyTime,
					EvacuationTime: func() time.Duration {
						if test.ignored {
							return 0
						}
						return 5 * time.Second
					},
				}
				group.Go(func() { _ = f.FollowTable(ctx) })
				// Each change is followed by a pause of 100 ms, and the last watch times out after
				// 1.4 s.
				time.Sleep(time.Second)
				st.mu.Lock()
				assert.DeepEqual(t, st.calls, test.calls)
				st.mu.Unlock()
				si.mu.Lock()
				assert.DeepEqual(t, si.orders, test.orders)
				si.mu.Unlock()
			})
		})
	}
}

// at returns orders at a revision, with pairs of a data centre and the revision of its key.
func at(revision uint64, pairs ...any) evacuation.Orders {
	o := evacuation.Orders{At: history.Position{Revision: revision}}
	for i := 0; i < len(pairs); i += 2 {
		o = o.With(evacuation.Key{DataCentre: pairs[i].(string), Revision: uint64(pairs[i+1].(int))})
	}
	o.At.Revision = revision
	return o
}
