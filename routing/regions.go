package routing

import "slices"

// Regions contains the region of each data centre, as far as known.
type Regions map[string]string

// Allow reports whether a request that is restricted to the allowed regions can be sent to an
// upstream in a data centre. If allowed is nil, there is no restriction; otherwise data
// centres of unknown regions are not allowed.
func (r Regions) Allow(allowed []string, dataCentre string) bool {
	if allowed == nil {
		return true
	}
	region := r[dataCentre]
	return region != "" && slices.Contains(allowed, region)
}

// AllowBody reports whether the body of a request that is restricted to the allowed regions
// can be sent to an instance in a data centre, by an instance in the local one that has
// received it.
func (r Regions) AllowBody(allowed []string, local, dataCentre string) bool {
	isLocalRegion := r[local] != "" && r[local] == r[dataCentre]
	return dataCentre == local || isLocalRegion || r.Allow(allowed, dataCentre)
}

// AllowedRegions returns the regions to which a request is restricted by its route and its
// team, which may be nil. It is nil if neither restricts it, and empty if no region is in both
// lists.
func AllowedRegions(route *Route, team *Team) []string {
	switch {
	case team == nil || len(team.Regions) == 0:
		return slices.Clip(nilIfEmpty(route.Regions))
	case len(route.Regions) == 0:
		return slices.Clip(team.Regions)
	}
	both := []string{}
	for _, region := range route.Regions {
		if slices.Contains(team.Regions, region) {
			both = append(both, region)
		}
	}
	return both
}

func nilIfEmpty(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	return list
}

// UnknownRegions returns the regions in the table's lists that no data centre has, in order.
func (t *Table) UnknownRegions(regions Regions) []string {
	known := map[string]bool{}
	for _, region := range regions {
		known[region] = true
	}
	var unknown []string
	add := func(list []string) {
		for _, region := range list {
			if !known[region] {
				unknown = append(unknown, region)
			}
		}
	}
	for i := range t.Routes {
		add(t.Routes[i].Regions)
	}
	for _, team := range t.teams {
		add(team.Regions)
	}
	slices.Sort(unknown)
	return slices.Compact(unknown)
}
