package dispatch

import (
	"maps"
	"time"

	"mangoloft/decide"
	"mangoloft/event"
	"mangoloft/routing"
)

type setRegionsCommand struct{ regions routing.Regions }

func (cmd setRegionsCommand) apply(c *Controller, now time.Time) {
	if maps.Equal(c.regions, cmd.regions) {
		return
	}
	c.regions = cmd.regions
	c.schedule(now, decide.RegionsChanged{Regions: cmd.regions})
	c.publish()
	c.logUnknownRegions(c.tables.Current().Table)
}

// logUnknownRegions logs the regions in a new table's lists that no data centre has.
func (c *Controller) logUnknownRegions(table *routing.Table) {
	if table == nil {
		return
	}
	if unknown := table.UnknownRegions(c.regions); len(unknown) > 0 {
		c.log.Emit(event.RegionsUnknown, "version", table.Version, "regions", unknown, "data_centres", len(c.regions))
	}
}
