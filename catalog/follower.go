// Package catalog follows what the platform's store publishes: the routing
// table and the list of upstreams.
package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/event"
	"mangoloft/pause"
	"mangoloft/routing"
	"mangoloft/upstream"
)

var (
	storeErrors = errorx.NewNamespace("store")
	// ErrNoTable says that the store has no routing table yet.
	ErrNoTable = storeErrors.NewType("no_table")
	// ErrHistoryGone says that a watch can't go on from its revision.
	ErrHistoryGone = storeErrors.NewType("history_gone")
)

// Store is what is needed of the platform's store.
type Store interface {
	// Table returns the routing table as published and the store's revision.
	Table(ctx context.Context) (raw []byte, revision uint64, err error)
	// List returns all upstreams. What changed after the revision may be
	// missing.
	List(ctx context.Context) (items []upstream.Item, revision uint64, err error)
	// WatchTable waits for a table newer than the revision; raw is nil when
	// none came in time.
	WatchTable(ctx context.Context, after uint64, until time.Time) (raw []byte, revision uint64, err error)
	// WatchList waits for changes after the revision.
	WatchList(ctx context.Context, after uint64, until time.Time) (items []upstream.Item, revision uint64, err error)
}

// Sink takes what was read.
type Sink interface {
	TableRead(d routing.Document, from string)
	ListRead(items []upstream.Item, revision uint64, whole bool, source upstream.Source)
	ListLost()
}

// Decoder reads a routing table.
type Decoder interface {
	Table(raw []byte) (*routing.Table, error)
}

const (
	// watchWait is how long the store may hold a watch.
	watchWait = 5 * time.Second
	// watchPause is the time between two watches, so that changes which come
	// together are read together.
	watchPause = 100 * time.Millisecond
	// firstBackoff doubles with each failure in a row, up to longestBackoff.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
	// roleInterval is the time between two looks at whether the instance has
	// become a reader.
	roleInterval = 200 * time.Millisecond
	storeName    = "store"
)

// Follower reads the store until its context ends.
type Follower struct {
	Store   Store
	Sink    Sink
	Decoder Decoder
	Log     *event.Log
	// IsReader reports whether the instance reads the store; otherwise it learns
	// from others what is new.
	IsReader func() bool
	// HasTable reports whether there is any routing table yet. An instance
	// without one reads for itself, as one without a list does.
	HasTable func() bool
	// ListRevision is the revision up to which the list is known.
	ListRevision func() uint64

	tableLost, listLost atomic.Bool
	tableRead, listRead call
}

// call is a call to the store that may be given up for a new one.
type call struct {
	mu      sync.Mutex
	cancel  context.CancelFunc
	doubted bool
}

// start returns the context for a call. What was doubted before is forgotten:
// the call is newer.
func (c *call) start(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	c.doubted = false
	return ctx
}

// end ends the call and reports whether it was doubted.
func (c *call) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	c.cancel = nil
	return c.doubted
}

func (c *call) doubt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.doubted = true
		c.cancel()
	}
}

// Reread makes a reader read anew at once, instead of waiting for changes over a
// connection that may be dead: an upstream says what the list should have said.
func (f *Follower) Reread() {
	f.tableRead.doubt()
	f.listRead.doubt()
}

// Unavailable reports whether the store could not be read at the last try.
func (f *Follower) Unavailable() bool { return f.tableLost.Load() || f.listLost.Load() }

// FollowTable follows the routing table.
func (f *Follower) FollowTable(ctx context.Context) error {
	var revision uint64
	var backoff time.Duration
	// none says that the store had no table when it was last asked. Those who
	// read for the data centre ask on, and tell the others.
	none := false
	for ctx.Err() == nil {
		if !f.IsReader() && (f.HasTable() || none) {
			revision = 0
			pause.For(ctx, roleInterval)
			continue
		}
		raw, at, err := f.readTable(f.tableRead.start(ctx), revision)
		switch doubted := f.tableRead.end(); {
		case ctx.Err() != nil:
			return nil
		case doubted && err != nil:
			revision = 0
			continue
		case errorx.IsOfType(err, ErrHistoryGone):
			revision = 0
			continue
		case errorx.IsOfType(err, ErrNoTable):
			none = true
			f.Log.EmitSparingly(event.TableRefused, "error", err.Error())
			pause.For(ctx, roleInterval)
			continue
		case err != nil:
			backoff = f.failed(ctx, "table", &f.tableLost, backoff, err)
			continue
		}
		f.succeeded("table", &f.tableLost, at)
		revision, backoff = max(revision, at), 0
		if raw != nil {
			f.offer(raw)
		}
		pause.For(ctx, watchPause)
	}
	return nil
}

func (f *Follower) readTable(ctx context.Context, revision uint64) ([]byte, uint64, error) {
	if revision == 0 {
		return f.Store.Table(ctx)
	}
	return f.Store.WatchTable(ctx, revision, time.Now().Add(watchWait))
}

func (f *Follower) offer(raw []byte) {
	table, err := f.Decoder.Table(raw)
	if err != nil {
		f.Log.Emit(event.TableRefused, "error", err.Error())
		return
	}
	f.Sink.TableRead(routing.Document{Table: table, Raw: raw}, storeName)
}

// FollowList follows the list of upstreams.
func (f *Follower) FollowList(ctx context.Context) error {
	var revision uint64
	var backoff time.Duration
	whole := false
	for ctx.Err() == nil {
		if !f.IsReader() && f.ListRevision() != 0 {
			revision = 0
			pause.For(ctx, roleInterval)
			continue
		}
		if revision == 0 {
			revision = f.ListRevision()
		}
		whole = whole || revision == 0
		items, at, err := f.readList(f.listRead.start(ctx), revision, whole)
		switch doubted := f.listRead.end(); {
		case ctx.Err() != nil:
			return nil
		case doubted && err != nil:
			whole = true
			continue
		case errorx.IsOfType(err, ErrHistoryGone):
			whole = true
			continue
		case err != nil:
			f.Sink.ListLost()
			backoff = f.failed(ctx, "list", &f.listLost, backoff, err)
			continue
		}
		f.succeeded("list", &f.listLost, at)
		revision, backoff = max(revision, at), 0
		f.Sink.ListRead(items, at, whole, upstream.FromList)
		whole = false
		pause.For(ctx, watchPause)
	}
	return nil
}

func (f *Follower) readList(ctx context.Context, revision uint64, whole bool) ([]upstream.Item, uint64, error) {
	if whole {
		return f.Store.List(ctx)
	}
	return f.Store.WatchList(ctx, revision, time.Now().Add(watchWait))
}

func (f *Follower) succeeded(what string, lost *atomic.Bool, revision uint64) {
	if lost.CompareAndSwap(true, false) {
		f.Log.Emit(event.StoreBack, "what", what, "revision", revision)
	}
}

// failed notes a failure, waits, and returns the next backoff.
func (f *Follower) failed(ctx context.Context, what string, lost *atomic.Bool, backoff time.Duration, err error) time.Duration {
	if lost.CompareAndSwap(false, true) {
		f.Log.Emit(event.StoreLost, "what", what, "error", err.Error())
	}
	backoff = min(max(2*backoff, firstBackoff), longestBackoff)
	pause.For(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
	return backoff
}
