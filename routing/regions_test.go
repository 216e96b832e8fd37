package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/routing"
)

// TestAllowedRegions guards against a restriction that is lost because the other list has none.
func TestAllowedRegions(t *testing.T) {
	tests := map[string]struct{ route, team, want []string }{
		"no restriction":      {nil, nil, nil},
		"empty lists":         {[]string{}, []string{}, nil},
		"route only":          {[]string{"north"}, nil, []string{"north"}},
		"team only":           {nil, []string{"south"}, []string{"south"}},
		"both":                {[]string{"north", "south"}, []string{"south", "west"}, []string{"south"}},
		"nothing in common":   {[]string{"north"}, []string{"south"}, []string{}},
		"route without teams": {[]string{"north"}, []string{}, []string{"north"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := routing.AllowedRegions(&routing.Route{Regions: test.route}, &routing.Team{Regions: test.team})
			assert.DeepEqual(t, got, test.want)
			assert.Equal(t, got == nil, test.want == nil)
		})
	}
	assert.DeepEqual(t, routing.AllowedRegions(&routing.Route{Regions: []string{"north"}}, nil), []string{"north"})
}

// TestRegions guards against bodies that are sent to data centres of unknown or other regions.
func TestRegions(t *testing.T) {
	regions := routing.Regions{"a": "north", "b": "north", "c": "south", "d": "west", "e": ""}
	tests := map[string]struct {
		allowed          []string
		local, to        string
		upstream, member bool
	}{
		"no restriction":                 {nil, "a", "d", true, true},
		"no restriction, unknown region": {nil, "a", "x", true, true},
		"allowed region":                 {[]string{"south"}, "a", "c", true, true},
		"own region":                     {[]string{"south"}, "a", "b", false, true},
		"own data centre":                {[]string{"south"}, "a", "a", false, true},
		"other region":                   {[]string{"south"}, "a", "d", false, false},
		"unknown region":                 {[]string{"south"}, "a", "x", false, false},
		"region without a name":          {[]string{"", "south"}, "a", "e", false, false},
		"nothing allowed":                {[]string{}, "a", "c", false, false},
		"own data centre unknown":        {[]string{"south"}, "x", "x", false, true},
		"both data centres unknown":      {[]string{"south"}, "x", "y", false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, regions.Allow(test.allowed, test.to), test.upstream)
			assert.Equal(t, regions.AllowBody(test.allowed, test.local, test.to), test.member)
		})
	}
}
