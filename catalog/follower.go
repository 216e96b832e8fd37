// Package catalog follows the contents of the platform's store: the routing
// table and the list of upstreams. A reader is an instance that reads the store
// for its data centre; the other instances get the contents from their peers.
package catalog

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
	"mangoloft/pause"
	"mangoloft/routing"
	"mangoloft/upstream"
)

var (
	storeErrors = errorx.NewNamespace("store")
	// ErrNoTable is returned when the store has no routing table yet.
	ErrNoTable = storeErrors.NewType("no_table")
	// ErrHistoryGone is returned when the store no longer has all changes after
	// the revision of a watch.
	ErrHistoryGone = storeErrors.NewType("history_gone")
	// errEarlierEra reports a response from an earlier era than the latest one, which
	// was delayed or came from a replica that is not restored yet.
	errEarlierEra = storeErrors.NewType("earlier_era")
)

// Store is the part of the platform's store that the follower uses.
type Store interface {
	// Table returns the routing table as published, and the store's position.
	Table(ctx context.Context) (raw []byte, at history.Position, err error)
	// Published returns the routing table and the orders, and the store's position.
	// The orders may contain later changes. It replaces Table if orders are followed.
	Published(ctx context.Context) (p Published, at history.Position, err error)
	// WatchPublished waits for changes of the table or the orders after the position until
	// the deadline.
	WatchPublished(ctx context.Context, after history.Position, deadline time.Time) (p Published, at history.Position, err error)
	// List returns all upstreams. The list contains all changes up to the
	// position.
	List(ctx context.Context) (items []upstream.Item, at history.Position, err error)
	// WatchTable waits for a table newer than the position until the deadline;
	// raw is nil if none was published.
	WatchTable(ctx context.Context, after history.Position, deadline time.Time) (raw []byte, at history.Position, err error)
	// WatchList waits for changes after the position until the deadline.
	WatchList(ctx context.Context, after history.Position, deadline time.Time) (items []upstream.Item, at history.Position, err error)
}

// Sink receives the tables and lists that were read.
type Sink interface {
	// UpdateTable submits a routing table that was read from the named source.
	UpdateTable(d routing.Document, sourceName string)
	// UpdateList submits the changes of the list up to the position, or the
	// complete list if complete is true.
	UpdateList(items []upstream.Item, at history.Position, complete bool, source upstream.Source)
	// SetListUnreadable reports that the latest attempt to read the list failed.
	SetListUnreadable()
	// UpdateOrders submits the orders to evacuate data centres that were read from the named
	// source.
	UpdateOrders(o evacuation.Orders, sourceName string)
}

// Decoder decodes a routing table.
type Decoder interface {
	Table(raw []byte) (*routing.Table, error)
}

const (
	// watchShare is the share of the time to apply a change for which the store keeps
	// a watch open, and watchTimeoutShare the share after which a watch without a
	// response is abandoned. The rest of the time is needed to read again and to tell
	// the other instances.
	watchShare        = 0.4
	watchTimeoutShare = 0.7
	// watchPause is the time between two watches of the table, so that changes
	// published in quick succession are read together.
	watchPause = 100 * time.Millisecond
	// listPause is the mean time between two watches of the list by any reader. The
	// mean for one reader is longer by their number, up to maxListPause.
	listPause    = 50 * time.Millisecond
	maxListPause = 600 * time.Millisecond
	// pauseJitter is the share by which the time between two watches of the list
	// varies. A change wakes all readers that are watching; the wider their pauses
	// vary, the sooner one of them watches again.
	pauseJitter = 0.9
	// minBackoff is the backoff after a failure. It doubles with each
	// consecutive one, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// roleCheckInterval is the time between two checks of whether the instance
	// has become a reader.
	roleCheckInterval = 200 * time.Millisecond
	// storeName is the source of the tables that are read from the store.
	storeName = "store"
)

// Follower reads the store until its context ends.
type Follower struct {
	Store   Store
	Sink    Sink
	Decoder Decoder
	Log     *event.Log
	// IsReader reports whether the instance is a reader, and Readers returns the
	// number of readers of all data centres. Each announces the changes of the list
	// that it reads to the others, so that the fleet reads the list about once in
	// listPause, whatever its size.
	IsReader func() bool
	Readers  func() int
	// ApplyTime returns the time within which all instances must apply a published
	// change.
	ApplyTime func() time.Duration
	// EvacuationTime returns the time within which all instances must apply an order to
	// evacuate a data centre; 0 if there are no such orders, and they are not read.
	EvacuationTime func() time.Duration
	// HasTable reports whether the instance has a routing table. An instance
	// without a table, or without a list, reads the store even if it is not a
	// reader.
	HasTable func() bool
	// ListPosition returns the position of the instance's list; zero if it has
	// none.
	ListPosition func() history.Position

	// orders are the orders as of the position up to which the table is known. They are used
	// only by FollowTable.
	orders evacuation.Orders
	// calls counts the calls to the store.
	calls atomic.Uint64
	// era is the latest known era of the store.
	era atomic.Uint64
	// tableConfirmedAt is the time in Unix nanoseconds of the latest response of the
	// store to a read or watch of the table; 0 if there was none.
	tableConfirmedAt atomic.Int64
	// tableUnavailable and listUnavailable report whether the latest attempt to
	// read each failed.
	tableUnavailable, listUnavailable atomic.Bool
	// readsList reports whether the instance is a reader and its latest attempt to
	// read the list succeeded.
	readsList atomic.Bool
	// tableCall and listCall are the current calls to the store, or the pauses
	// between them.
	tableCall, listCall call
}

// call is the current call to the store, which can be cancelled so that the
// store is read again.
type call struct {
	mu         sync.Mutex
	cancel     context.CancelFunc
	superseded bool
}

// start starts a call and returns its context.
func (c *call) start(ctx context.Context) context.Context {
	c.mu.Lock()
	defer c.mu.Unlock()
	ctx, c.cancel = context.WithCancel(ctx)
	c.superseded = false
	return ctx
}

// end ends the call and reports whether it was superseded.
func (c *call) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	c.cancel = nil
	return c.superseded
}

// pause waits for the duration d, but not longer than until it is superseded.
func (c *call) pause(ctx context.Context, d time.Duration) {
	pause.Sleep(c.start(ctx), d)
	c.end()
}

// supersede cancels the current call, if there is one.
func (c *call) supersede() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.superseded = true
		c.cancel()
	}
}

// Reread makes a reader read the store again immediately, instead of waiting
// for changes on a connection that may be dead. It is called when an upstream
// reports a change that should already be in the list.
func (f *Follower) Reread() {
	f.tableCall.supersede()
	f.listCall.supersede()
}

// Unavailable reports whether the latest attempt to read the store failed.
func (f *Follower) Unavailable() bool { return f.tableUnavailable.Load() || f.listUnavailable.Load() }

// Calls returns the number of calls to the store so far. A complete list of several
// pages counts as one.
func (f *Follower) Calls() uint64 { return f.calls.Load() }

// ReadsList reports whether the instance is a reader and its latest attempt to read
// the list succeeded.
func (f *Follower) ReadsList() bool { return f.readsList.Load() }

// Era returns the latest known era of the store; 0 if the store does not report it.
func (f *Follower) Era() uint64 { return f.era.Load() }

// TableConfirmedAt returns the time of the latest response of the store to a read or
// watch of the table; zero if there was none.
func (f *Follower) TableConfirmedAt() time.Time {
	if ns := f.tableConfirmedAt.Load(); ns != 0 {
		return time.Unix(0, ns)
	}
	return time.Time{}
}

// nextListPause returns the time until the next watch of the list.
func (f *Follower) nextListPause() time.Duration {
	average := min(maxListPause, listPause*time.Duration(max(1, f.Readers())))
	return time.Duration(float64(average) * (1 - pauseJitter + 2*pauseJitter*rand.Float64()))
}

// FollowTable follows the routing table.
func (f *Follower) FollowTable(ctx context.Context) error {
	// position is the store's position up to which the table is known; zero if the
	// table must be read.
	var position history.Position
	var backoff time.Duration
	// noTable is true once the store has reported that it has no table. After
	// that only readers continue to read the store, and the first table reaches
	// the other instances through their peers.
	noTable := false
	// followedOrders reports whether the latest read included the orders. The settings can
	// change.
	followedOrders := f.followsOrders()
	var retryUntil time.Time
	for ctx.Err() == nil {
		if !f.IsReader() && (f.HasTable() || noTable) && time.Now().After(retryUntil) {
			position = history.Position{}
			pause.Sleep(ctx, roleCheckInterval)
			continue
		}
		if followed := f.followsOrders(); position.Era < f.Era() || followed != followedOrders {
			position, followedOrders = history.Position{}, followed
		}
		startedAt := time.Now()
		published, at, err := f.readTable(f.tableCall.start(ctx), position)
		superseded := f.tableCall.end()
		if err == nil {
			at, err = f.observeEra("table", at)
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case superseded && err != nil:
			position = history.Position{}
			continue
		case errorx.IsOfType(err, ErrHistoryGone):
			position = history.Position{}
			continue
		case errorx.IsOfType(err, ErrNoTable):
			noTable = true
			f.Log.EmitRateLimited(event.TableRefused, "error", err.Error())
			pause.Sleep(ctx, roleCheckInterval)
			continue
		case err != nil:
			if backoff == 0 {
				retryUntil = f.retryUntil(startedAt)
			}
			backoff = f.handleFailure(ctx, "table", &f.tableUnavailable, startedAt, backoff, err)
			continue
		}
		f.handleSuccess("table", &f.tableUnavailable, at)
		f.tableConfirmedAt.Store(time.Now().UnixNano())
		backoff = 0
		if !position.IsZero() && at.Era != position.Era {
			// The watch started in the previous era and may have missed changes.
			position = history.Position{}
			continue
		}
		f.deliverOrders(published, at, position.IsZero())
		if position.IsZero() && published.Table == nil && !noTable {
			noTable = true
			f.Log.EmitRateLimited(event.TableRefused, "error", "the store has no configuration")
		}
		position = history.Max(position, at)
		if published.Table != nil {
			f.deliverTable(published.Table, at)
		}
		pause.Sleep(ctx, watchPause)
	}
	return nil
}

// readTable reads the table, or waits for one newer than a position that is not zero.
func (f *Follower) readTable(ctx context.Context, after history.Position) (p Published, at history.Position, err error) {
	f.calls.Add(1)
	followsOrders := f.followsOrders()
	if after.IsZero() && followsOrders {
		return f.Store.Published(ctx)
	}
	if after.IsZero() {
		p.Table, at, err = f.Store.Table(ctx)
		return p, at, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.shareOfApplyTime(watchTimeoutShare))
	defer cancel()
	deadline := time.Now().Add(f.shareOfApplyTime(watchShare))
	if followsOrders {
		return f.Store.WatchPublished(ctx, after, deadline)
	}
	p.Table, at, err = f.Store.WatchTable(ctx, after, deadline)
	return p, at, err
}

func (f *Follower) shareOfApplyTime(share float64) time.Duration {
	applyTime := f.ApplyTime()
	if f.followsOrders() {
		applyTime = min(applyTime, f.EvacuationTime())
	}
	return time.Duration(share * float64(applyTime))
}

// observeEra records the era of a response. If the store was restored, both documents are
// read anew, because changes since the restore may have revisions that were already
// watched. The position that it returns has the known era if the response declares none.
func (f *Follower) observeEra(document string, at history.Position) (history.Position, error) {
	for {
		known := f.era.Load()
		switch {
		case at.Era == 0 || at.Era == known:
			at.Era = known
			return at, nil
		case at.Era < known:
			return at, errEarlierEra.New("the response is from era %d, the store has reached era %d", at.Era, known)
		}
		if !f.era.CompareAndSwap(known, at.Era) {
			continue
		}
		if known != 0 {
			f.Log.Emit(event.StoreEraChanged, "what", document, "before", known, "era", at.Era, "revision", at.Revision)
			f.Reread()
		}
		return at, nil
	}
}

// deliverTable submits a table that the store returned at the position.
func (f *Follower) deliverTable(raw []byte, at history.Position) {
	table, err := f.Decoder.Table(raw)
	if err != nil {
		f.Log.Emit(event.TableRefused, "error", err.Error())
		return
	}
	f.Sink.UpdateTable(routing.Document{Table: table, Raw: raw, ReadAt: at}, storeName)
}

// FollowList follows the list of upstreams.
func (f *Follower) FollowList(ctx context.Context) error {
	var position history.Position
	var backoff time.Duration
	// complete is true if the next read must return the complete list, and not
	// only the changes after the position.
	complete := false
	var retryUntil time.Time
	for ctx.Err() == nil {
		if !f.IsReader() && !f.ListPosition().IsZero() && time.Now().After(retryUntil) {
			position = history.Position{}
			f.readsList.Store(false)
			pause.Sleep(ctx, roleCheckInterval)
			continue
		}
		// Other readers may have announced later changes.
		position = history.Max(position, f.ListPosition())
		complete = complete || position.IsZero() || position.Era < f.Era()
		startedAt := time.Now()
		items, at, err := f.readList(f.listCall.start(ctx), position, complete)
		superseded := f.listCall.end()
		if err == nil {
			at, err = f.observeEra("list", at)
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case superseded && err != nil:
			complete = true
			continue
		case errorx.IsOfType(err, ErrHistoryGone):
			complete = true
			continue
		case err != nil:
			f.readsList.Store(false)
			f.Sink.SetListUnreadable()
			if backoff == 0 {
				retryUntil = f.retryUntil(startedAt)
			}
			backoff = f.handleFailure(ctx, "list", &f.listUnavailable, startedAt, backoff, err)
			continue
		}
		f.handleSuccess("list", &f.listUnavailable, at)
		f.readsList.Store(true)
		backoff = 0
		if !complete && at.Era != position.Era {
			// The watch started in the previous era and may have missed changes.
			complete = true
			continue
		}
		position = history.Max(position, at)
		f.Sink.UpdateList(items, at, complete, upstream.FromList)
		complete = false
		f.listCall.pause(ctx, f.nextListPause())
	}
	return nil
}

// ReadList reads the complete list, whether or not the instance is a reader.
func (f *Follower) ReadList(ctx context.Context) error {
	items, at, err := f.readList(ctx, history.Position{}, true)
	if err != nil {
		return err
	}
	if at, err = f.observeEra("list", at); err != nil {
		return err
	}
	f.Sink.UpdateList(items, at, true, upstream.FromList)
	return nil
}

func (f *Follower) readList(ctx context.Context, after history.Position, complete bool) ([]upstream.Item, history.Position, error) {
	f.calls.Add(1)
	if complete {
		return f.Store.List(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, f.shareOfApplyTime(watchTimeoutShare))
	defer cancel()
	return f.Store.WatchList(ctx, after, time.Now().Add(f.shareOfApplyTime(watchShare)))
}

// retryUntil returns the time until which an instance whose call failed reads again though it
// is no longer a reader: the others notice that only later, and a change that the call
// missed must be applied by then.
func (f *Follower) retryUntil(startedAt time.Time) time.Time { return startedAt.Add(f.ApplyTime()) }

// handleSuccess logs the first success after failures.
func (f *Follower) handleSuccess(document string, unavailable *atomic.Bool, at history.Position) {
	if unavailable.CompareAndSwap(true, false) {
		f.Log.Emit(event.StoreRecovered, "what", document, "era", at.Era, "revision", at.Revision)
	}
}

// handleFailure logs the first of consecutive failures, waits for a jittered
// backoff, and returns the backoff. The failed call started at startedAt.
func (f *Follower) handleFailure(ctx context.Context, document string, unavailable *atomic.Bool, startedAt time.Time, backoff time.Duration, err error) time.Duration {
	if unavailable.CompareAndSwap(false, true) {
		f.Log.Emit(event.StoreLost, "what", document, "error", err.Error(), "waited_ms", time.Since(startedAt).Milliseconds())
	}
	backoff = min(max(2*backoff, minBackoff), maxBackoff)
	pause.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
	return backoff
}
