package dispatch

import (
	"context"
	"slices"
	"time"

	"mangoloft/decide"
	"mangoloft/evacuation"
	"mangoloft/event"
)

// fromStore is the source of orders that this instance has read from the store itself.
const fromStore = "store"

// UpdateOrders submits orders to evacuate data centres, which apply if they are newer. The
// source is the name of the peer or store that they come from.
func (c *Controller) UpdateOrders(o evacuation.Orders, source string) {
	c.send(updateOrdersCommand{o, source})
}

// EvacuatedRequests returns the number of requests of this instance that still run in
// evacuated data centres.
func (c *Controller) EvacuatedRequests() int {
	if len(c.Snapshot().Evacuated) == 0 {
		return 0
	}
	return query(context.Background(), c, func(time.Time) int { return c.scheduler.EvacuatedRequests() })
}

type updateOrdersCommand struct {
	orders evacuation.Orders
	source string
}

func (cmd updateOrdersCommand) apply(c *Controller, now time.Time) {
	before := c.orders.Current()
	c.orders.Update(now, cmd.orders)
	if cmd.source != fromStore {
		c.orders.Announce()
	}
	c.applyEvacuations(now, cmd.source)
	after := c.orders.Current()
	if after.At == before.At {
		return
	}
	c.publish()
	if cmd.source == fromStore && !after.Equal(before) {
		c.announcer.OrdersChanged(after)
	}
}

// applyEvacuations passes changes of the evacuated data centres to the scheduler.
func (c *Controller) applyEvacuations(now time.Time, source string) {
	before, after := c.evacuated, c.orders.DataCentres()
	if slices.Equal(before, after) {
		return
	}
	c.evacuated = after
	for _, dataCentre := range before {
		if !slices.Contains(after, dataCentre) {
			// Its upstreams may have become cold without a start. The waiting requests must not
			// be placed there before they count as cold.
			c.schedule(now, decide.ColdAssumed{DataCentre: dataCentre})
		}
	}
	c.schedule(now, decide.EvacuationsChanged{DataCentres: after})
	c.publish()
	at := c.orders.Current().At
	log := func(id event.ID, dataCentre string) {
		c.log.Emit(id, "data_centre", dataCentre, "upstreams", c.scheduler.UpstreamsIn(dataCentre), "running", c.scheduler.RequestsIn(dataCentre),
			"evacuated", after, "source", source, "era", at.Era, "revision", at.Revision)
	}
	for _, dataCentre := range after {
		if !slices.Contains(before, dataCentre) {
			log(event.EvacuationStarted, dataCentre)
		}
	}
	for _, dataCentre := range before {
		if !slices.Contains(after, dataCentre) {
			log(event.EvacuationEnded, dataCentre)
		}
	}
}

// tickOrders ends the grace periods of orders after a restore of the store. It is called before
// each command too, because there are no ticks while commands arrive all the time.
func (c *Controller) tickOrders(now time.Time) {
	if c.orders.Tick(now) {
		c.applyEvacuations(now, "end of the grace period after a restore")
	}
}
