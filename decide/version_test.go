package decide_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/origin"
	"mangoloft/verdict"
)

// versionedEngines returns a scheduler with engines of the versions, by name, and a function
// that steps it.
func versionedEngines(versions map[string]string) (*decide.Scheduler, func(decide.Event) []decide.Action) {
	s, now := decide.New("a"), time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	step := func(e decide.Event) []decide.Action {
		now = now.Add(20 * time.Millisecond)
		return s.Step(now, e)
	}
	for name, version := range versions {
		step(decide.UpstreamChanged{Upstream: versionedEngine(name, version)})
	}
	return s, step
}

func versionedEngine(name, version string) decide.Upstream {
	return decide.Upstream{Name: name, Pool: "pool", DataCentre: "a", Incarnation: 1, Version: version, Slots: 8, CapacityTokens: 10_000, StepTime: 10 * time.Millisecond}
}

func TestStreamThatHasBegunIsPlacedAtItsVersion(t *testing.T) {
	_, step := versionedEngines(map[string]string{"e1": "v1", "e2": "v2", "e3": "v2", "e4": ""})
	for version, engine := range map[string]string{"v1": "e1", "": "e4"} {
		for n := range uint64(5) {
			r := streamRequest(100 + n)
			r.NeedsVersion, r.Version = true, version
			assert.DeepEqual(t, placements(step(decide.Arrived{Request: r})), []string{engine})
			step(decide.Ended{ID: r.ID})
		}
	}
	r := streamRequest(200)
	r.NeedsVersion, r.Version = true, "v3"
	refusal, ok := step(decide.Arrived{Request: r})[0].(decide.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refusal.Reason, verdict.NoUpstream)
}

func TestRunIsMovedToAnEngineOfItsVersion(t *testing.T) {
	_, step := versionedEngines(map[string]string{"e1": "v1", "e2": "v1"})
	for n := range uint64(5) {
		assert.Equal(t, len(placements(step(decide.Arrived{Request: streamRequest(n)}))), 1)
	}
	for _, name := range []string{"e3", "e4", "e5"} {
		step(decide.UpstreamChanged{Upstream: versionedEngine(name, "v2")})
	}
	for n := range uint64(5) {
		moves := placements(step(decide.MoveRequested{ID: streamRequest(n).ID}))
		assert.Equal(t, len(moves), 1)
		assert.Assert(t, moves[0] == "e1" || moves[0] == "e2", "moved to %s", moves[0])
	}
	step(decide.UpstreamChanged{Upstream: versionedEngine("e2", "v1"), Removed: true})
	step(decide.Arrived{Request: streamRequest(9)})
	for n := range uint64(5) {
		for _, a := range step(decide.MoveRequested{ID: streamRequest(n).ID}) {
			place, ok := a.(decide.Place)
			assert.Assert(t, !ok || place.Upstream.Version == "v1")
		}
	}
}

func TestOriginOfStream(t *testing.T) {
	s, step := versionedEngines(map[string]string{"e1": "v1"})
	now := time.Date(2027, 1, 31, 9, 30, 10, 0, time.UTC)
	stream, other := origin.NewKey("team", "9c41"), origin.NewKey("team", "9c42")
	since := now.Add(-10 * time.Second)
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", stream, since), decide.StreamOrigin{Incomplete: true})
	s.ListKnown(since)
	s.ListKnown(now)
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", stream, since), decide.StreamOrigin{Version: "v1", Known: true})
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", stream, since.Add(-1)), decide.StreamOrigin{Incomplete: true})

	r := streamRequest(1)
	r.Stream = stream
	step(decide.Arrived{Request: r})
	var began []origin.Key
	for range 2 {
		for _, a := range step(decide.Progressed{ID: r.ID, Tokens: 4 * (len(began) + 1)}) {
			if n, ok := a.(decide.Notify); ok && n.Notice.Kind == decide.NoticeProgressed {
				began = append(began, n.Notice.Began)
			}
		}
	}
	assert.DeepEqual(t, began, []origin.Key{stream, 0})
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", stream, since.Add(-time.Minute)), decide.StreamOrigin{Version: "v1", Known: true, Recorded: true})

	notice := decide.Notice{Kind: decide.NoticeProgressed, Request: decide.Request{ID: ident.Request{Sequence: 77}}, Upstream: "e1", Tokens: 4, Began: other}
	step(decide.NoticeReceived{Notice: notice})
	assert.Assert(t, s.StreamOrigin(now, "pool", other, since).Recorded)
}

// TestOriginComesFromTheNotice guards against the version of an engine as an instance knows it
// that has not seen the engine join, or start again with another version.
func TestOriginComesFromTheNotice(t *testing.T) {
	for name, test := range map[string]struct{ upstream, version, want string }{
		"engine not known yet":   {"e2", "v2", "v2"},
		"engine started again":   {"e1", "v2", "v2"},
		"notice of an old build": {"e1", "", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			s, step := versionedEngines(map[string]string{"e1": "v1"})
			now := time.Date(2027, 1, 31, 9, 30, 10, 0, time.UTC)
			stream := origin.NewKey("team", "9c41")
			step(decide.NoticeReceived{Notice: decide.Notice{
				Kind: decide.NoticeProgressed, Request: decide.Request{ID: ident.Request{Sequence: 77}}, Upstream: test.upstream, Tokens: 4, Began: stream, Version: test.version,
			}})
			assert.DeepEqual(t, s.StreamOrigin(now, "pool", stream, now), decide.StreamOrigin{Version: test.want, Known: true, Recorded: true})
		})
	}
}

func TestOriginIsUnknownIfSeveralVersionsCanHaveBegunTheStream(t *testing.T) {
	s, step := versionedEngines(map[string]string{"e1": "v1", "e2": "v1"})
	now := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	s.ListKnown(now)
	isUnknown := func(pool string, since time.Duration) bool {
		return !s.StreamOrigin(now.Add(time.Hour), pool, 1, now.Add(since)).Known
	}
	assert.Assert(t, !isUnknown("pool", time.Second))
	step(decide.UpstreamChanged{Upstream: versionedEngine("e3", "v2")})
	assert.Assert(t, isUnknown("pool", time.Second))
	assert.Assert(t, isUnknown("other pool", time.Second), "no upstream of the pool can have begun a stream")
	// A step takes some milliseconds.
	step(decide.UpstreamChanged{Upstream: versionedEngine("e3", "v2"), Removed: true})
	assert.Assert(t, isUnknown("pool", 0))
	assert.Assert(t, !isUnknown("pool", time.Second))
	// An engine that starts again with another version.
	replaced := versionedEngine("e1", "v3")
	replaced.Incarnation = 2
	step(decide.UpstreamChanged{Upstream: replaced})
	step(decide.UpstreamsChanged{Upstreams: []decide.Upstream{replaced}})
	assert.Assert(t, isUnknown("pool", 0))
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", 1, now.Add(time.Second)), decide.StreamOrigin{Version: "v3", Known: true})
}

func TestPastVersionsCountLikeThoseThatServe(t *testing.T) {
	s, _ := versionedEngines(map[string]string{"e1": "v2"})
	now := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
	since := now.Add(-20 * time.Second)
	s.ListKnown(now)
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", 1, since), decide.StreamOrigin{Incomplete: true})
	s.ExtendPast(now, []decide.PastVersion{{Pool: "pool", Version: "v1"}, {Pool: "other", Version: "v3"}}, since)
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", 1, since), decide.StreamOrigin{})
	assert.DeepEqual(t, s.StreamOrigin(now, "pool", 1, now.Add(time.Second)), decide.StreamOrigin{Version: "v2", Known: true})
}
