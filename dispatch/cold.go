package dispatch

import (
	"context"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/routing"
	"mangoloft/upstream"
)

const (
	// clockTolerance is the maximum difference between the clocks of an instance and an
	// upstream that is expected.
	clockTolerance = 5 * time.Second
	// listDelay is the maximum time until an entry that says that the upstream is cold arrives:
	// entries are written about every 1.2 s, and read up to a second later.
	listDelay = 2500 * time.Millisecond
)

// coldUntil returns the end of the cold time of an upstream according to its entries and its
// start. An incarnation that has run for longer than that when it is first listed, as for an
// instance that has just started, may have become cold again since its entry was written.
func coldUntil(status upstream.Status, coldStart time.Duration) time.Time {
	assumed := coldStart
	if status.SeenAt.Sub(time.UnixMilli(status.StartUnixMS)) > coldStart+clockTolerance {
		assumed = min(coldStart, listDelay)
	}
	if until := status.SeenAt.Add(assumed); until.After(status.ColdUntil) {
		return until
	}
	return status.ColdUntil
}

// setCold sets the properties of an upstream that concern its cold time.
func setCold(u *decide.Upstream, status upstream.Status, service *routing.Service) {
	if service == nil || service.ColdPerSecond == 0 {
		return
	}
	u.ColdPerSecond, u.ColdStart, u.ColdUntil = service.ColdPerSecond, service.ColdStart, coldUntil(status, service.ColdStart)
}

// applyColder passes upstreams that are cold for longer on to the scheduler, and logs the
// malformed values of entries.
func (c *Controller) applyColder(now time.Time, items []upstream.Item) {
	for _, status := range c.directory.TakeColder() {
		if status.State == upstream.Removed {
			continue
		}
		c.schedule(now, decide.UpstreamChanged{Upstream: c.schedulerUpstream(status)})
	}
	for _, item := range items {
		if item.Entry != nil && item.Entry.Malformed != nil {
			c.log.EmitRateLimited(event.ColdValueRefused, "upstream", item.ID, "service", item.Entry.Service, "error", item.Entry.Malformed.Error())
		}
	}
}

// logMalformedServices logs the values of services that were ignored, once for each version of
// the table.
func (c *Controller) logMalformedServices(table *routing.Table) {
	for name, service := range table.Services {
		if service.Malformed != nil {
			c.log.Emit(event.ColdValueRefused, "upstream", "", "service", name, "error", service.Malformed.Error())
		}
	}
}

func (c *Controller) logCold(now time.Time, a decide.ColdChanged) {
	if !a.Until.After(now) {
		c.log.Emit(event.UpstreamWarm, "upstream", a.Upstream, "source", a.Source.String())
		return
	}
	c.log.Emit(event.UpstreamCold, "upstream", a.Upstream, "for_ms", a.Until.Sub(now).Milliseconds(), "source", a.Source.String(), "per_second", a.PerSecond, "share", a.Share)
}

// AssumeCold makes all upstreams of a data centre count as cold until a time; if it is zero,
// each for its cold start time and a margin.
func (c *Controller) AssumeCold(dataCentre string, until time.Time) {
	c.send(schedulerEventCommand{decide.ColdAssumed{DataCentre: dataCentre, Until: until}})
}

// SetColdBounds sets the bounds for cold upstreams.
func (c *Controller) SetColdBounds(b decide.ColdBounds) {
	c.send(queryCommand{func(time.Time) { c.scheduler.SetColdBounds(b) }})
}

// SetDataCentres sets the number of live instances of each data centre, including this one.
func (c *Controller) SetDataCentres(instances map[string]int) {
	c.send(queryCommand{func(time.Time) { c.scheduler.SetDataCentres(instances) }})
}

// ColdUpstreams returns the number of upstreams that are cold and bear a limited rate of
// requests.
func (c *Controller) ColdUpstreams() int {
	return query(context.Background(), c, func(now time.Time) int { return c.scheduler.Cold(now) })
}
