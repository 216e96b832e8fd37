package routing_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/routing"
)

func table() *routing.Table {
	return routing.New(routing.Table{Version: 3, Routes: []routing.Route{
		{Name: "short", Host: "shop.example", Prefix: "/a/"},
		{Name: "long", Host: "shop.example", Prefix: "/a/b/"},
		{Name: "other", Host: "desk.example", Prefix: "/"},
	}}, []routing.Team{{Name: "reef"}}, map[string][]string{"reef": {"key-1", "key-2"}})
}

func TestMatch(t *testing.T) {
	tests := map[string]struct{ host, path, want string }{
		"longest prefix":           {"shop.example", "/a/b/c", "long"},
		"shorter prefix":           {"shop.example", "/a/c", "short"},
		"prefix alone":             {"shop.example", "/a/", "short"},
		"prefix without its slash": {"shop.example", "/a", ""},
		"another host":             {"desk.example", "/a/b/c", "other"},
		"a host with a port":       {"shop.example:8080", "/a/b/c", "long"},
		"a host in another case":   {"Shop.Example", "/a/x", "short"},
		"an unknown host":          {"x.example", "/a/b/c", ""},
		"prefix inside the path":   {"shop.example", "/x/a/b/", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := ""
			if route, ok := table().Match(test.host, test.path); ok {
				got = route.Name
			}
			assert.Equal(t, got, test.want)
		})
	}
}

func TestTeam(t *testing.T) {
	team, ok := table().Team("key-2")
	assert.Assert(t, ok)
	assert.Equal(t, team.Name, "reef")
	_, ok = table().Team("key-3")
	assert.Assert(t, !ok)
	_, ok = table().Team("")
	assert.Assert(t, !ok)
}

func TestPick(t *testing.T) {
	r := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	tests := map[string]struct {
		fraction float64
		want     string
	}{
		"first": {0, "a"}, "still the first": {0.89, "a"}, "second": {0.9, "b"}, "last": {0.999, "b"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, r.PickService(test.fraction), test.want) })
	}
}

func TestIdempotent(t *testing.T) {
	tests := map[string]struct {
		route routing.Route
		want  bool
	}{
		"safe":             {routing.Route{Kind: routing.Safe}, true},
		"unsafe":           {routing.Route{Kind: routing.Unsafe}, false},
		"stream":           {routing.Route{Kind: routing.Streaming}, false},
		"resumable stream": {routing.Route{Kind: routing.Streaming, Resumable: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.route.Idempotent(), test.want) })
	}
}

func TestRegisterVersionNeverDecreases(t *testing.T) {
	var r routing.Register
	version := func(v uint64) routing.Document { return routing.Document{Table: &routing.Table{Version: v}} }
	tests := []struct {
		offered  uint64
		accepted bool
	}{{5, true}, {4, false}, {5, false}, {9, true}, {1, false}}
	for _, test := range tests {
		assert.Equal(t, r.Update(version(test.offered)), test.accepted, "version %d", test.offered)
	}
	assert.Equal(t, r.Version(), uint64(9))
	assert.Assert(t, !r.Update(routing.Document{}))
}
