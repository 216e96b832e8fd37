package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/upstream"
)

// TestPastVersions guards against a history with gaps that counts as complete.
func TestPastVersions(t *testing.T) {
	startedSince := time.UnixMilli(10_000)
	entry := func(version string) *upstream.Entry { return &upstream.Entry{Service: "s", Version: version} }
	engine := func(id string, startMS int64) upstream.Status {
		return upstream.Status{Entry: upstream.Entry{ID: id, StartUnixMS: startMS}}
	}
	tests := map[string]struct {
		current []upstream.Status
		items   []upstream.Item
		want    []decide.PastVersion
		ok      bool
	}{
		"no changes, old engines":             {current: []upstream.Status{engine("a", 9_000)}, ok: true},
		"no changes, an engine has started":   {current: []upstream.Status{engine("a", 11_000)}},
		"started":                             {current: []upstream.Status{engine("a", 11_000)}, items: []upstream.Item{{ID: "a", Entry: entry("v1")}}, want: []decide.PastVersion{{Pool: "s", Version: "v1"}}, ok: true},
		"left after an announcement":          {items: []upstream.Item{{ID: "a", Entry: entry("v1")}, {ID: "a", Deleted: true}}, want: []decide.PastVersion{{Pool: "s", Version: "v1"}}, ok: true},
		"left without one":                    {items: []upstream.Item{{ID: "a", Deleted: true}}},
		"left, known only from a later entry": {items: []upstream.Item{{ID: "a", Deleted: true}, {ID: "a", Entry: entry("v1")}}},
		"undecodable, then deleted":           {items: []upstream.Item{{ID: "a"}, {ID: "a", Deleted: true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := pastVersions(test.current, test.items, startedSince)
			assert.Equal(t, ok, test.ok)
			if ok {
				assert.DeepEqual(t, got, test.want)
			}
		})
	}
}
