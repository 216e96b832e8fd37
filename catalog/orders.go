package catalog

import (
	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
)

// Published is what operators have published in the store: all of it, or changes.
type Published struct {
	// Table is the routing table; nil if there is none, or it has not changed.
	Table []byte
	// Orders are the orders to evacuate data centres, or their changes in order.
	Orders []evacuation.Key
	// Malformed are descriptions of orders that can't be used.
	Malformed []string
}

func (f *Follower) followsOrders() bool { return f.EvacuationTime != nil && f.EvacuationTime() > 0 }

// deliverOrders submits the orders after a read of the store at the position. complete
// reports whether all of them were read, and not only changes. Each change is submitted, so
// that the sink knows which orders were lifted, even if they had been in force only briefly.
func (f *Follower) deliverOrders(p Published, at history.Position, complete bool) {
	if !f.followsOrders() {
		return
	}
	for _, text := range p.Malformed {
		f.Log.EmitRateLimited(event.EvacuationRefused, "error", text)
	}
	if complete {
		f.orders = evacuation.Orders{At: at}
	}
	for _, k := range p.Orders {
		_, known := f.orders.DataCentres[k.DataCentre]
		if !known && !k.Deleted && len(f.orders.DataCentres) >= evacuation.MaxOrders {
			f.Log.EmitRateLimited(event.EvacuationRefused, "error", "too many orders", "data_centre", k.DataCentre, "orders", len(f.orders.DataCentres))
			continue
		}
		f.orders = f.orders.With(k)
		if complete {
			// The pages of a read may contain later changes; what was lifted meanwhile
			// comes with the first watch.
			f.orders.At = at
			continue
		}
		f.Sink.UpdateOrders(f.orders, storeName)
	}
	if complete {
		f.Sink.UpdateOrders(f.orders, storeName)
	}
}
