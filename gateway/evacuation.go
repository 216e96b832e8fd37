package gateway

import (
	"slices"
	"time"

	"mangoloft/dispatch"
	"mangoloft/verdict"
)

// evacuatedRetryAfter is the Retry-After time of a request that can't be sent because of an
// evacuation, if the scheduler gives none.
const evacuatedRetryAfter = 1 * time.Second

// isEvacuated reports whether nothing may be sent to the placement, because the operators
// have evacuated its data centre since the decision.
func (g *Gateway) isEvacuated(placement dispatch.Placement) bool {
	return !placement.Detour && placement.DataCentre != "" && slices.Contains(g.Dispatcher.Snapshot().Evacuated, placement.DataCentre)
}

// checkEvacuation returns an error if nothing may be sent to the placement. It is called just
// before a request is sent: since the decision, a run may have been moved, or the process
// may have been stopped for a while.
func (g *Gateway) checkEvacuation(placement dispatch.Placement) error {
	if !g.isEvacuated(placement) {
		return nil
	}
	return verdict.FailAt(verdict.NotRun, verdict.Evacuated, time.Now().Add(evacuatedRetryAfter), "data centre %s was evacuated before the request was sent to %s", placement.DataCentre, placement.Name)
}
