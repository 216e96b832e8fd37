package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
	"unicode/utf8"

	"github.com/joomcode/errorx"

	"mangoloft/evacuation"
	"mangoloft/event"
	"mangoloft/history"
)

// ordersWire contains the orders to evacuate data centres that the sender knows. An instance
// that never had any, or is of an older build, sends none.
type ordersWire struct {
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	// DataCentres contains the revision of each evacuated data centre's key.
	DataCentres map[string]uint64 `json:"data_centres,omitempty"`
}

// maxEra is the maximum plausible era of the store, which is restored rarely. Orders with a
// larger one would hide all others.
const maxEra = 1 << 32

func encodeOrders(o evacuation.Orders) *ordersWire {
	if o.At.IsZero() {
		return nil
	}
	return &ordersWire{o.At.Era, o.At.Revision, o.DataCentres}
}

func (w *ordersWire) position() history.Position {
	return history.Position{Era: w.Era, Revision: w.Revision}
}

func decodeOrders(w *ordersWire) (evacuation.Orders, error) {
	if w.Era > maxEra || w.position().IsZero() || len(w.DataCentres) > evacuation.MaxOrders {
		return evacuation.Orders{}, errorx.IllegalFormat.New("%d orders of position %v are out of range", len(w.DataCentres), w.position())
	}
	for name, revision := range w.DataCentres {
		if name == "" || len(name) > evacuation.MaxNameBytes || !utf8.ValidString(name) || revision == 0 {
			return evacuation.Orders{}, errorx.IllegalFormat.New("malformed order for a data centre with a name of %d bytes", len(name))
		}
	}
	return evacuation.Orders{At: w.position(), DataCentres: w.DataCentres}, nil
}

// OrdersChanged sends orders that this instance has read from the store to all others at
// once.
func (p *Peers) OrdersChanged(o evacuation.Orders) {
	p.mu.Lock()
	p.orders, p.urgent = encodeOrders(o), true
	p.mu.Unlock()
	p.wakeUp()
}

// takeOrders returns the orders to announce, if there are any.
func (p *Peers) takeOrders() *ordersWire {
	p.mu.Lock()
	defer p.mu.Unlock()
	orders := p.orders
	p.orders = nil
	return orders
}

// announceOrders sends orders that were read from the store.
func (p *Peers) announceOrders(now time.Time) {
	if orders := p.takeOrders(); orders != nil {
		p.sendToAll(now, datagramWire{Orders: orders})
	}
}

// handleOrders submits the orders in a datagram. Those from another data centre of a large
// fleet are sent on within the local one if they are new: only some instances hear of other
// data centres.
func (p *Peers) handleOrders(w datagramWire) {
	if w.Orders == nil {
		return
	}
	orders, err := decodeOrders(w.Orders)
	if err != nil {
		p.options.Log.EmitRateLimited(event.DatagramDropped, "reason", "malformed orders", "peer", w.Name, "error", err.Error())
		return
	}
	known := p.options.State().Orders
	if !orders.At.After(known.At) && !known.At.IsZero() {
		return
	}
	p.sink.UpdateOrders(orders, w.Name)
	if p.members.IsLarge() && w.DataCentre != p.options.DataCentre && orders.At.After(p.relayedOrders) {
		p.relayedOrders = orders.At
		p.sendLocally(datagramWire{Orders: w.Orders})
	}
}

const (
	// maxOrderPulls is the number of instances that are asked for their orders after a pause of
	// the process; some may have failed meanwhile.
	maxOrderPulls = 3
	// orderPullTimeout is the timeout for their responses. Requests are held for little longer.
	orderPullTimeout = 250 * time.Millisecond
)

// RequestOrders makes Run ask other instances for their orders. It does not block.
func (p *Peers) RequestOrders() {
	select {
	case p.ordersRequested <- struct{}{}:
	default:
	}
}

// pullOrders asks some members of the broadcast group for their orders.
func (p *Peers) pullOrders(ctx context.Context) {
	controls := slices.Clone(p.latestControls)
	rand.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
	for _, control := range controls[:min(maxOrderPulls, len(controls))] {
		p.pulls.group.Go(func() { p.pullOrdersFrom(ctx, control) })
	}
}

func (p *Peers) pullOrdersFrom(ctx context.Context, control netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, orderPullTimeout)
	defer cancel()
	var wire stateWire
	// Without positions, the response has nothing but the orders.
	err := getJSON(ctx, fmt.Sprintf("http://%s%s", control, statePath), maxStateBytes, &wire)
	var orders evacuation.Orders
	if err == nil && wire.Orders != nil {
		orders, err = decodeOrders(wire.Orders)
	}
	if err != nil {
		p.options.Log.EmitRateLimited(event.StatePullFailed, "peer", control.String(), "what", "orders", "error", err.Error())
		return
	}
	if wire.Orders == nil {
		// A member of an older build, or one that has just started, knows of no orders.
		return
	}
	p.sink.UpdateOrders(orders, control.String())
	p.sink.ConfirmOrders()
}
