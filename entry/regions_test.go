package entry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/platform/standin"
)

// TestRequestsStayInTheirRegions guards against requests that leave the regions of their route and
// team, also while instances are cut off from all servers and take detours.
func TestRequestsStayInTheirRegions(t *testing.T) {
	tests := map[string]struct {
		route, team []string
		// allowed are the data centres whose servers may get requests; none if all requests are
		// refused.
		allowed []string
		// cut is the number of instances that are cut off from all servers.
		cut int
		// mayFail is true if no instance may serve the requests of those that are cut off.
		mayFail bool
	}{
		"route":                    {route: []string{"south"}, allowed: []string{"b"}},
		"team":                     {team: []string{"west"}, allowed: []string{"c"}},
		"route and team":           {route: []string{"south", "west"}, team: []string{"west", "north"}, allowed: []string{"c"}},
		"nothing in common":        {route: []string{"south"}, team: []string{"west"}},
		"unknown region":           {route: []string{"east"}},
		"route, one is cut off":    {route: []string{"south"}, allowed: []string{"b"}, cut: 1},
		"own region, first is cut": {route: []string{"north"}, allowed: []string{"a"}, cut: 1, mayFail: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, servers := startEvacuable(t, fleetOptions{instances: 3, dataCentres: 3, regions: map[string]string{"a": "north", "b": "south", "c": "west"}}, 2)
			assert.NilError(t, f.store.Publish(standin.Configuration{
				Version: 2, Host: host, ModelService: model, PlainService: plain, Slots: 8, KVCacheTokens: 1000, Team: "team", Key: credential, TeamRegions: test.team,
				Routes: []standin.Route{{Name: "v1", Kind: "safe", Service: plain, MaxAttempts: 2, Timeout: sendTimeout, Target: time.Second, Regions: test.route}},
			}))
			time.Sleep(settle)
			for n := range test.cut {
				f.links[n].set(refusing)
			}
			time.Sleep(settle)
			if test.cut > 0 {
				f.sendFor(t, time.Second)
			}
			from := time.Now()
			failed := f.sendFor(t, 500*time.Millisecond)
			total := 0
			for dataCentre, list := range servers {
				count, _ := arrivalsSince(list, from)
				total += count
				isAllowed := false
				for _, name := range test.allowed {
					isAllowed = isAllowed || name == dataCentre
				}
				assert.Check(t, isAllowed || count == 0, "%d requests in data centre %s", count, dataCentre)
			}
			if len(test.allowed) > 0 {
				assert.Check(t, total > 0 && (test.mayFail || failed == 0), "%d arrived, %d failed", total, failed)
				return
			}
			startedAt := time.Now()
			status, header := f.sendForHeader(t, 0)
			assert.Check(t, status == http.StatusServiceUnavailable && header.Get("Retry-After") != "" && time.Since(startedAt) < 300*time.Millisecond, "status %d, headers %v", status, header)
		})
	}
}
