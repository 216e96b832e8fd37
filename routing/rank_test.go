package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/routing"
)

// TestRank checks that ranks take effect only at services whose requests can differ in
// rank. Elsewhere the order of requests must not change.
func TestRank(t *testing.T) {
	route := func(name string, priority int, service string) routing.Route {
		return routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: priority, Shares: []routing.Share{{Service: service, Weight: 1}}}
	}
	public := func(r routing.Route) routing.Route {
		r.Public = true
		return r
	}
	two, plain := routing.Team{Name: "two", Priority: 2, HasPriority: true}, routing.Team{Name: "plain"}
	for name, test := range map[string]struct {
		routes      []routing.Route
		teams       []routing.Team
		credentials bool
		// rank is that of a request of the first route and the first team.
		rank   int
		ranked bool
	}{
		"equal routes":                        {routes: []routing.Route{route("a", 3, "s"), route("b", 3, "s")}},
		"different routes":                    {routes: []routing.Route{route("a", 3, "s"), route("b", 0, "s")}, rank: 3, ranked: true},
		"different routes of two services":    {routes: []routing.Route{route("a", 3, "s"), route("b", 0, "other")}},
		"a share without weight":              {routes: []routing.Route{route("a", 3, "s"), {Name: "b", Shares: []routing.Share{{Service: "s"}}}}},
		"a team's rank replaces the route's":  {routes: []routing.Route{route("a", 3, "s")}, teams: []routing.Team{two, plain}, credentials: true, rank: 2, ranked: true},
		"all teams have the same rank":        {routes: []routing.Route{route("a", 3, "s"), route("b", 0, "s")}, teams: []routing.Team{two}, credentials: true},
		"a team without keys":                 {routes: []routing.Route{route("a", 3, "s")}, teams: []routing.Team{plain, {Name: "keyless", HasPriority: true}}, credentials: true},
		"a public route beside a team's rank": {routes: []routing.Route{public(route("a", 3, "s")), route("b", 0, "s")}, teams: []routing.Team{two}, credentials: true, rank: 3, ranked: true},
	} {
		t.Run(name, func(t *testing.T) {
			table := routing.New(routing.Table{Routes: test.routes, RequiresCredential: test.credentials}, test.teams, map[string][]string{"two": {"k2"}, "plain": {"kp"}})
			var team *routing.Team
			if len(test.teams) > 0 && !test.routes[0].Public {
				team = &test.teams[0]
			}
			rank, ranked := table.Rank(&table.Routes[0], team, "s")
			assert.Equal(t, rank, test.rank)
			assert.Equal(t, ranked, test.ranked)
		})
	}
}

// TestRanksAreClamped guards against a rank that no engine and no other instance accepts.
func TestRanksAreClamped(t *testing.T) {
	table := routing.New(routing.Table{RequiresCredential: true, Routes: []routing.Route{
		{Name: "low", Priority: -1, Shares: []routing.Share{{Service: "s", Weight: 1}}}, {Name: "high", Priority: 1 << 40, Shares: []routing.Share{{Service: "s", Weight: 1}}},
	}}, []routing.Team{{Name: "t", Priority: 10, HasPriority: true}, {Name: "plain"}}, map[string][]string{"t": {"k"}, "plain": {"kp"}})
	assert.DeepEqual(t, table.ClampedRanks(), []string{`route "low": -1`, `route "high": 1099511627776`, `team "t": 10`})
	team, _ := table.Team("k")
	for i, want := range []int{0, routing.MaxRank} {
		rank, ranked := table.Rank(&table.Routes[i], nil, "s")
		assert.Assert(t, rank == want && ranked)
	}
	rank, _ := table.Rank(&table.Routes[0], team, "s")
	assert.Equal(t, rank, routing.MaxRank)
}
