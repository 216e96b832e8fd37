package decide_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/config"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

func TestRequestsAvoidPausedUpstream(t *testing.T) {
	now := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	s, step := limitedEngines("limited", "e1", "e2")
	s.Step(now, decide.PushedBack{Upstream: "e1", Incarnation: 1, Until: now.Add(time.Second)})
	used := map[string]int{}
	for n := range uint64(100) {
		for _, name := range placements(step(decide.Arrived{Request: streamRequest(n)})) {
			used[name]++
		}
		step(decide.Ended{ID: streamRequest(n).ID, Tokens: 10, Outcome: verdict.Outcome{Verdict: verdict.Ran, Reason: verdict.Completed}})
		if n < 20 { // Each pass takes 40 ms.
			assert.Equal(t, used["e1"], 0)
		}
	}
	assert.Assert(t, used["e1"] > 0, "%v", used)
}

// TestUpstreamThatBearsFewRejections checks the pause after a rejection, and the number of
// calls there afterwards.
func TestUpstreamThatBearsFewRejections(t *testing.T) {
	s := decide.New("a")
	s.SetInstances(epoch, 3)
	s.Step(epoch, decide.UpstreamsChanged{Upstreams: []decide.Upstream{{Name: "u0", Pool: callPool, DataCentre: "a", Incarnation: 1, Slots: 8}}})
	place := func(after time.Duration, n uint64) bool {
		r := decide.Request{ID: ident.Request{Sequence: n}, Class: config.Class{Name: callPool, Pool: callPool, Kind: config.Read}}
		return len(placements(s.Step(epoch.Add(after), decide.Arrived{Request: r}))) > 0
	}
	for n := range uint64(3) {
		assert.Assert(t, place(0, n))
	}
	s.Step(epoch, decide.BrittleReported{Upstream: "u0", Incarnation: 1, MaxRejections: 3, Rejected: true})
	s.Step(epoch, decide.Ended{ID: ident.Request{Sequence: 2}, Outcome: verdict.Outcome{Verdict: verdict.NotRun, Reason: verdict.UpstreamRefused}})
	// The pause takes 3 / (0.6 x 3) s.
	assert.Assert(t, !place(1600*time.Millisecond, 3))
	assert.Assert(t, place(1700*time.Millisecond, 4))
	assert.Assert(t, !place(1700*time.Millisecond, 5), "as many as before the rejection, and one more after a second")
	// The call waits until then.
	assert.Equal(t, len(placements(s.Step(epoch.Add(1900*time.Millisecond), decide.Tick{}))), 0)
	assert.Equal(t, len(placements(s.Step(epoch.Add(2100*time.Millisecond), decide.Tick{}))), 1)
}

func TestPauseOfAllUpstreams(t *testing.T) {
	now := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	tests := map[string]struct {
		pause   time.Duration
		refused bool
	}{
		"ends in time":                {3 * time.Second, false},
		"ends after the latest start": {12 * time.Second, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, step := limitedEngines("e1")
			s.Step(now, decide.LimitReported{Upstream: "e1", Incarnation: 1})
			s.Step(now, decide.PushedBack{Upstream: "e1", Incarnation: 1, Until: now.Add(test.pause)})
			actions := step(decide.Arrived{Request: streamRequest(1)})
			assert.Equal(t, len(placements(actions)), 0)
			refused := false
			for _, a := range actions {
				if refusal, ok := a.(decide.Refuse); ok {
					refused = true
					assert.Equal(t, refusal.RetryAt, now.Add(test.pause))
				}
			}
			assert.Equal(t, refused, test.refused)
			for tick := 0; !refused && tick < 160; tick++ {
				if len(placements(step(decide.Tick{}))) > 0 {
					assert.Assert(t, tick > 140, "placed %d ticks of 20 ms after the arrival", tick)
					return
				}
			}
			assert.Assert(t, refused, "the stream must be placed after the pause")
		})
	}
}

func TestPauseOfEarlierIncarnationIsIgnored(t *testing.T) {
	now := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	s, step := limitedEngines("limited", "e1")
	s.Step(now, decide.PushedBack{Upstream: "e1", Incarnation: 7, Until: now.Add(time.Minute)})
	assert.DeepEqual(t, placements(step(decide.Arrived{Request: streamRequest(1)})), []string{"e1"})
}
