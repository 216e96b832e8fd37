package decide_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

func TestCutOffInstanceIsRecognized(t *testing.T) {
	const ms = time.Millisecond
	type failure struct {
		after    time.Duration
		upstream string
		// reached reports whether a connection succeeded instead.
		reached bool
	}
	tests := map[string]struct {
		upstreams int
		failures  []failure
		lost      bool
	}{
		"two upstreams":                  {3, []failure{{0, "u0", false}, {300 * ms, "u1", false}}, true},
		"one upstream twice":             {3, []failure{{0, "u0", false}, {300 * ms, "u0", false}}, false},
		"the only upstream":              {1, []failure{{0, "u0", false}}, true},
		"too long between":               {3, []failure{{0, "u0", false}, {3 * time.Second, "u1", false}}, false},
		"another one reached in between": {3, []failure{{0, "u0", false}, {100 * ms, "u2", true}, {100 * ms, "u1", false}}, false},
		"reached afterwards":             {3, []failure{{0, "u0", false}, {100 * ms, "u1", false}, {100 * ms, "u0", true}}, false},
		"reached just before":            {3, []failure{{0, "u2", true}, {100 * ms, "u0", false}, {200 * ms, "u1", false}}, false},
		"reached a while before":         {3, []failure{{0, "u2", true}, {300 * ms, "u0", false}, {300 * ms, "u1", false}}, true},
		"unknown upstream":               {3, []failure{{0, "u0", false}, {100 * ms, "gone", false}}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, now := decide.New("a"), epoch
			var list []decide.Upstream
			for n := range test.upstreams {
				list = append(list, decide.Upstream{Name: fmt.Sprint("u", n), Pool: callPool, DataCentre: "a", Incarnation: 1, Slots: 4})
			}
			s.Step(now, decide.UpstreamsChanged{Upstreams: list})
			for _, f := range test.failures {
				now = now.Add(f.after)
				if f.reached {
					s.Step(now, decide.Reached{Upstream: f.upstream})
				} else {
					s.Step(now, decide.Failed{Upstream: f.upstream, Reason: verdict.UpstreamUnreachable})
				}
			}
			assert.Equal(t, len(s.LostPools()) > 0, test.lost)
			assert.Equal(t, len(s.ProbeTargets()) > 0, test.lost)
			arrive := func(sequence uint64, canDetour bool) (reason verdict.Reason, refused bool) {
				r := decide.Request{ID: ident.Request{Sequence: sequence}, Class: config.Class{Name: callPool, Pool: callPool, Kind: config.Read}, CanDetour: canDetour}
				for _, a := range s.Step(now, decide.Arrived{Request: r}) {
					if refusal, ok := a.(decide.Refuse); ok {
						return refusal.Reason, true
					}
				}
				return 0, false
			}
			reason, refused := arrive(1, true)
			assert.Equal(t, refused && reason == verdict.CutOff, test.lost)
			reason, refused = arrive(2, false)
			assert.Assert(t, !refused || reason != verdict.CutOff)
		})
	}
}

func TestUpstreamsGetTrafficAtOnceAfterACut(t *testing.T) {
	s := decide.New("a")
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: []decide.Upstream{
		{Name: "u0", Pool: callPool, DataCentre: "a", Incarnation: 1, Slots: 4}, {Name: "u1", Pool: callPool, DataCentre: "b", Incarnation: 1, Slots: 4},
	}})
	for range 3 {
		for _, name := range []string{"u0", "u1"} {
			s.Step(epoch, decide.Failed{Upstream: name, Reason: verdict.UpstreamUnreachable})
		}
	}
	s.Step(epoch.Add(10*time.Second), decide.Reached{Upstream: "u1"})
	used := map[string]bool{}
	for n := range uint64(8) {
		places, _ := split(s.Step(epoch.Add(10*time.Second), decide.Arrived{Request: decide.Request{ID: ident.Request{Sequence: n}, Class: config.Class{Name: callPool, Pool: callPool, Kind: config.Read}}}))
		for _, p := range places {
			used[p.Upstream.Name] = true
		}
	}
	assert.Equal(t, len(used), 2)
}
