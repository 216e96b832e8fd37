package decide_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/routing"
	"mangoloft/verdict"
)

// callClass is a class of calls that wait a second at most.
var callClass = config.Class{Name: "call", Pool: "drafting", Kind: config.Read, WaitTarget: time.Second}

// TestClosedUpstreamsGetNoRequests guards against fallbacks to upstreams to which nothing may
// be sent, in evacuated data centres or outside the regions of a request.
func TestClosedUpstreamsGetNoRequests(t *testing.T) {
	tests := map[string]struct {
		evacuated, regions []string
		excluded           []string
		only               string
		unreachable        []string
		// want are the upstreams on which the request may be placed; none if it is refused.
		want   []string
		reason verdict.Reason
	}{
		"nothing is closed":                       {want: []string{"e1", "e2", "e3", "e4"}},
		"evacuated":                               {evacuated: []string{"a"}, want: []string{"e3", "e4"}},
		"all are evacuated":                       {evacuated: []string{"a", "b"}, reason: verdict.Evacuated},
		"evacuated, others excluded":              {evacuated: []string{"a"}, excluded: []string{"e3", "e4"}, reason: verdict.NoUpstream},
		"evacuated, others partitioned":           {evacuated: []string{"a"}, unreachable: []string{"e3", "e4"}, want: []string{"e3", "e4"}},
		"only an evacuated one, for its member":   {evacuated: []string{"a"}, only: "e1", reason: verdict.Evacuated},
		"unknown data centre is evacuated":        {evacuated: []string{"x"}, want: []string{"e1", "e2", "e3", "e4"}},
		"allowed region":                          {regions: []string{"south"}, want: []string{"e3", "e4"}},
		"allowed region is evacuated":             {regions: []string{"south"}, evacuated: []string{"b"}, reason: verdict.Evacuated},
		"allowed region can't be reached":         {regions: []string{"south"}, unreachable: []string{"e3", "e4"}, reason: verdict.NoUpstream},
		"no region is allowed":                    {regions: []string{}, reason: verdict.NoUpstream},
		"unknown region":                          {regions: []string{"west"}, reason: verdict.NoUpstream},
		"one of another region, for its member":   {regions: []string{"south"}, only: "e1", reason: verdict.NoUpstream},
		"allowed region, all its ones are failed": {regions: []string{"south"}, excluded: []string{"e3", "e4"}, reason: verdict.NoUpstream},
	}
	for name, test := range tests {
		for _, class := range []config.Class{draftClass, callClass} {
			t.Run(name+", "+class.Name, func(t *testing.T) {
				s := newDeclaredScheduler("", map[string]string{"e1": "a", "e2": "a", "e3": "b", "e4": "b"})
				s.Step(epoch, decide.RegionsChanged{Regions: routing.Regions{"a": "north", "b": "south"}})
				s.Step(epoch, decide.EvacuationsChanged{DataCentres: test.evacuated})
				for _, name := range test.unreachable {
					s.Step(epoch, decide.Failed{Upstream: name, Reason: verdict.UpstreamUnreachable})
				}
				for n := range 20 {
					id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: uint64(n)}
					r := decide.Request{ID: id, Class: class, PromptTokens: 10, MaxOutputTokens: 10, StartBy: epoch.Add(time.Second), Excluded: test.excluded, Only: test.only, Regions: test.regions, NeverSent: true}
					for _, action := range s.Step(epoch, decide.Arrived{Request: r}) {
						switch a := action.(type) {
						case decide.Place:
							found := false
							for _, want := range test.want {
								found = found || a.Upstream.Name == want
							}
							assert.Assert(t, found, "placed on %s", a.Upstream.Name)
						case decide.Refuse:
							assert.Assert(t, len(test.want) == 0, a.Explanation)
							assert.Equal(t, a.Reason, test.reason, a.Explanation)
							assert.Assert(t, a.RetryAt.After(epoch))
						}
					}
					s.Step(epoch, decide.Ended{ID: id})
				}
			})
		}
	}
}

// TestWaitingRequestsAreRefusedWhenAllUpstreamsAreEvacuated guards against requests that wait
// for their whole time, or are placed when an engine of an evacuated data centre has room.
func TestWaitingRequestsAreRefusedWhenAllUpstreamsAreEvacuated(t *testing.T) {
	s := newDeclaredScheduler("", map[string]string{"e1": "a", "e2": "b"})
	waiting := 0
	for n := range 40 {
		if place, refused := arrive(s, n, 900); place.Upstream.Name == "" && !refused {
			waiting++
		}
	}
	assert.Assert(t, waiting > 0 && s.Waiting() == waiting)
	for _, action := range s.Step(epoch, decide.EvacuationsChanged{DataCentres: []string{"a"}}) {
		_, refused := action.(decide.Refuse)
		assert.Assert(t, !refused, "upstreams of another data centre are left")
	}
	refusals := 0
	for _, action := range s.Step(epoch, decide.EvacuationsChanged{DataCentres: []string{"a", "b"}}) {
		if refusal, ok := action.(decide.Refuse); ok {
			assert.Equal(t, refusal.Reason, verdict.Evacuated)
			assert.Assert(t, refusal.RetryAt.After(epoch))
			refusals++
		}
	}
	assert.Equal(t, refusals, waiting)
	assert.Equal(t, s.Waiting(), 0)
}

// TestRunsAreNotMovedToClosedUpstreams guards against moves to evacuated data centres and other
// regions.
func TestRunsAreNotMovedToClosedUpstreams(t *testing.T) {
	tests := map[string]struct {
		evacuated, regions []string
		want               string
	}{
		"evacuated":        {[]string{"b"}, nil, "e3"},
		"source evacuated": {[]string{"a", "c"}, nil, "e2"},
		"all evacuated":    {[]string{"a", "b", "c"}, nil, ""},
		"allowed region":   {nil, []string{"north", "west"}, "e3"},
		"no other region":  {nil, []string{"north"}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := newDeclaredScheduler("", map[string]string{"e1": "a", "e2": "b", "e3": "c"})
			s.Step(epoch, decide.RegionsChanged{Regions: routing.Regions{"a": "north", "b": "south", "c": "west"}})
			id := ident.Request{Home: ident.Home{Incarnation: 7}, Sequence: 1}
			placed := ""
			r := decide.Request{ID: id, Class: draftClass, PromptTokens: 100, MaxOutputTokens: 100, StartBy: epoch.Add(time.Second), Regions: test.regions, Excluded: []string{"e2", "e3"}}
			for _, action := range s.Step(epoch, decide.Arrived{Request: r}) {
				if place, ok := action.(decide.Place); ok {
					placed = place.Upstream.Name
				}
			}
			assert.Equal(t, placed, "e1")
			s.Step(epoch, decide.EvacuationsChanged{DataCentres: test.evacuated})
			assert.Equal(t, s.EvacuatedRequests() == 1, len(test.evacuated) > 1)
			destination := ""
			for _, action := range s.Step(epoch, decide.MoveRequested{ID: id}) {
				if place, ok := action.(decide.Place); ok {
					destination = place.Upstream.Name
				}
			}
			assert.Equal(t, destination, test.want)
		})
	}
}
