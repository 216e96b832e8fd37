package decide

import (
	"fmt"
	"strings"

	"mangoloft/routing"
)

// RegionsChanged replaces the regions of the data centres.
type RegionsChanged struct{ Regions routing.Regions }

func (RegionsChanged) decideEvent() {}

// isOpen reports whether requests may be sent to the upstream at all: its data centre is not
// evacuated, and is in one of the request's regions. There is no fallback.
func (s *Scheduler) isOpen(r *Request, u *upstream) bool {
	return !s.isEvacuated(u) && s.regions.Allow(r.Regions, u.DataCentre)
}

// regionsText names the regions to which a request is restricted.
func (r *Request) regionsText() string {
	switch {
	case r.Regions == nil:
		return ""
	case len(r.Regions) == 0:
		return "; its route and its team have no allowed region in common"
	}
	return fmt.Sprintf("; allowed regions: %s", strings.Join(r.Regions, ", "))
}
