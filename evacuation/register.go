// Package evacuation keeps the operators' orders to send no more requests to the
// upstreams of a data centre. It decides which set of orders is the newest, also after the
// platform's store was restored from an older copy.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"mangoloft/history"
)

const (
	// MaxNameBytes is the maximum length of the name of a data centre in an order.
	MaxNameBytes = 200
	// MaxOrders is the maximum number of orders in force, so that a set of usual names fits
	// into one datagram.
	MaxOrders = 64
	// restoreGrace is the time for which orders that a restored store has lost stay in force,
	// and orders whose end it has lost stay lifted. The operator writes again what was lost.
	restoreGrace = 3 * time.Second
	// maxLifted is the maximum number of lifted orders that are remembered.
	maxLifted = 64
)

// Key is a change of one order in the store.
type Key struct {
	DataCentre string
	// Revision is the revision of the change.
	Revision uint64
	// Deleted reports whether the order was lifted.
	Deleted bool
}

// Orders are the data centres that are evacuated at a position in the store's history.
type Orders struct {
	At history.Position
	// DataCentres contains the revision of each evacuated data centre's key.
	DataCentres map[string]uint64
}

// With returns the orders after a change. A change that is older than what is known of its
// data centre has no effect: the pages of a read may contain later changes than their
// position.
func (o Orders) With(k Key) Orders {
	changed := Orders{At: o.At, DataCentres: maps.Clone(o.DataCentres)}
	changed.At.Revision = max(o.At.Revision, k.Revision)
	if k.Revision < o.DataCentres[k.DataCentre] {
		return changed
	}
	if k.Deleted {
		delete(changed.DataCentres, k.DataCentre)
		return changed
	}
	if changed.DataCentres == nil {
		changed.DataCentres = map[string]uint64{}
	}
	changed.DataCentres[k.DataCentre] = k.Revision
	return changed
}

// Equal reports whether the orders are the same, whatever their positions.
func (o Orders) Equal(p Orders) bool { return maps.Equal(o.DataCentres, p.DataCentres) }

// order is an order for a data centre, identified by the revision of its key.
type order struct {
	dataCentre string
	revision   uint64
}

// Register keeps the newest orders. It must be used by one goroutine at a time.
type Register struct {
	current Orders
	// wasUsed reports whether any order was ever known here or, as Announce tells, to others.
	wasUsed bool
	// retained contains the data centres that stay evacuated though the restored store has no
	// order, and suspended those that stay lifted though it has one, until the given times.
	retained, suspended map[string]time.Time
	// lifted are the orders known to be lifted, the latest one last.
	lifted []order
}

// Update submits orders. Those at a later position replace earlier ones; others have no
// effect. It reports whether they did.
func (r *Register) Update(now time.Time, o Orders) bool {
	r.wasUsed = r.wasUsed || len(o.DataCentres) > 0
	if !o.At.After(r.current.At) {
		return false
	}
	previous := r.current
	r.current = Orders{At: o.At, DataCentres: maps.Clone(o.DataCentres)}
	if !previous.At.IsZero() && previous.At.Era != o.At.Era {
		r.merge(now, previous)
		return true
	}
	for dataCentre, revision := range previous.DataCentres {
		if o.DataCentres[dataCentre] != revision {
			r.recordLifted(order{dataCentre, revision})
		}
	}
	// A change in the new era ends the grace period.
	maps.DeleteFunc(r.suspended, func(dataCentre string, _ time.Time) bool {
		return o.DataCentres[dataCentre] != previous.DataCentres[dataCentre]
	})
	maps.DeleteFunc(r.retained, func(dataCentre string, _ time.Time) bool { return o.DataCentres[dataCentre] != 0 })
	return true
}

// merge applies the first orders of a later era.
func (r *Register) merge(now time.Time, previous Orders) {
	until := now.Add(restoreGrace)
	retained, suspended := map[string]time.Time{}, map[string]time.Time{}
	for dataCentre, end := range r.retained {
		if r.current.DataCentres[dataCentre] == 0 {
			retained[dataCentre] = end
		}
	}
	for dataCentre := range previous.DataCentres {
		if _, isSuspended := r.suspended[dataCentre]; !isSuspended && r.current.DataCentres[dataCentre] == 0 {
			retained[dataCentre] = until
		}
	}
	for dataCentre, revision := range r.current.DataCentres {
		_, isSuspended := r.suspended[dataCentre]
		wasActive := previous.DataCentres[dataCentre] != 0 && !isSuspended
		if !wasActive && slices.Contains(r.lifted, order{dataCentre, revision}) {
			suspended[dataCentre] = until
		}
	}
	r.retained, r.suspended = retained, suspended
}

func (r *Register) recordLifted(o order) {
	if slices.Contains(r.lifted, o) {
		return
	}
	if len(r.lifted) >= maxLifted {
		r.lifted = slices.Delete(r.lifted, 0, 1)
	}
	r.lifted = append(r.lifted, o)
}

// Tick ends the grace periods that have passed. It reports whether any did.
func (r *Register) Tick(now time.Time) bool {
	hasPassed := func(_ string, until time.Time) bool { return !now.Before(until) }
	before := len(r.retained) + len(r.suspended)
	maps.DeleteFunc(r.retained, hasPassed)
	maps.DeleteFunc(r.suspended, hasPassed)
	return len(r.retained)+len(r.suspended) < before
}

// Active reports whether a data centre is evacuated.
func (r *Register) Active(dataCentre string) bool {
	if _, isRetained := r.retained[dataCentre]; isRetained {
		return true
	}
	_, isSuspended := r.suspended[dataCentre]
	return r.current.DataCentres[dataCentre] != 0 && !isSuspended
}

// DataCentres returns the evacuated data centres, in order.
func (r *Register) DataCentres() []string {
	var active []string
	for dataCentre := range r.current.DataCentres {
		if r.Active(dataCentre) {
			active = append(active, dataCentre)
		}
	}
	for dataCentre := range r.retained {
		active = append(active, dataCentre)
	}
	slices.Sort(active)
	return slices.Compact(active)
}

// Announce makes Current return orders even if none was ever known here. It is called when
// another instance has sent orders, which may be older ones.
func (r *Register) Announce() { r.wasUsed = true }

// Current returns the newest orders, for other instances; zero if no order was ever known,
// so that instances that have none say nothing.
func (r *Register) Current() Orders {
	if !r.wasUsed {
		return Orders{}
	}
	return r.current
}
