package routing

import "fmt"

// MaxRank is the least urgent rank; 0 is the most urgent.
const MaxRank = 9

// clampRanks limits the priorities of routes and teams to 0 to MaxRank, and records
// which were out of range.
func (t *Table) clampRanks(teams []Team) {
	clamp := func(owner, name string, rank *int) {
		clamped := min(max(*rank, 0), MaxRank)
		if clamped != *rank {
			t.clampedRanks = append(t.clampedRanks, fmt.Sprintf("%s %q: %d", owner, name, *rank))
		}
		*rank = clamped
	}
	for i := range t.Routes {
		clamp("route", t.Routes[i].Name, &t.Routes[i].Priority)
	}
	for i := range teams {
		if teams[i].HasPriority {
			clamp("team", teams[i].Name, &teams[i].Priority)
		}
	}
}

// ClampedRanks returns the routes and teams whose priority was out of range, with the
// published value.
func (t *Table) ClampedRanks() []string { return t.clampedRanks }

// span is a range of ranks. Its zero value contains none.
type span struct {
	lowest, highest int
	used            bool
}

// include extends the span to another one.
func (s *span) include(o span) {
	switch {
	case !o.used:
	case !s.used:
		*s = o
	default:
		s.lowest, s.highest = min(s.lowest, o.lowest), max(s.highest, o.highest)
	}
}

// findRankedServices records the services whose requests can differ in rank. Tables have
// many teams, so their ranks are not collected for each route.
func (t *Table) findRankedServices(teams []Team, keys map[string][]string) {
	var teamRanks span
	anyWithoutRank := false
	for _, team := range teams {
		switch {
		case len(keys[team.Name]) == 0: // It can't send requests.
		case team.HasPriority:
			teamRanks.include(span{team.Priority, team.Priority, true})
		default:
			anyWithoutRank = true
		}
	}
	services := map[string]*span{}
	for _, r := range t.Routes {
		var ranks span
		needsTeam := t.RequiresCredential && !r.Public
		if !needsTeam || anyWithoutRank {
			ranks.include(span{r.Priority, r.Priority, true})
		}
		if needsTeam {
			ranks.include(teamRanks)
		}
		for _, share := range r.Shares {
			if share.Weight <= 0 {
				continue
			}
			if services[share.Service] == nil {
				services[share.Service] = &span{}
			}
			services[share.Service].include(ranks)
		}
	}
	t.rankedServices = map[string]bool{}
	for service, ranks := range services {
		t.rankedServices[service] = ranks.lowest != ranks.highest
	}
}

// Rank returns the rank of a request, from its route and its team, which is nil if it has
// none. It reports false, and rank 0, if all requests of the service have the same rank.
func (t *Table) Rank(route *Route, team *Team, service string) (rank int, ranked bool) {
	if !t.rankedServices[service] {
		return 0, false
	}
	if team != nil && team.HasPriority {
		return team.Priority, true
	}
	return route.Priority, true
}
