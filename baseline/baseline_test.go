package baseline_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/baseline"
	"mangoloft/config"
	"mangoloft/control"
	"mangoloft/decide"
	"mangoloft/ident"
	"mangoloft/verdict"
)

var epoch = time.Unix(1_700_000_000, 0)

func newPolicy(t *testing.T, name, lengths string) control.Scheduler {
	t.Helper()
	scheduler, err := baseline.New(name, baseline.Options{DataCentre: "dc1", LengthsFile: lengths, Seed: 1})
	assert.NilError(t, err)
	var all []decide.Upstream
	for i := range 3 {
		all = append(all, decide.Upstream{Name: fmt.Sprint("engine", i), Pool: "drafting", Leaving: i == 2})
	}
	scheduler.Step(epoch, decide.UpstreamsChanged{Upstreams: all})
	return scheduler
}

func arrive(s control.Scheduler, sequence uint64, promptTokens int) decide.Action {
	actions := s.Step(epoch, decide.Arrived{Request: decide.Request{
		ID: ident.Request{Sequence: sequence}, Team: "reef", PromptTokens: promptTokens,
		Class: config.Class{Name: "draft", Kind: config.Stream, Pool: "drafting", MaxOutputTokens: 1000},
	}})
	return actions[0]
}

// TestRulePlacements places ten requests by each rule after engine0 has
// reported waiting requests.
func TestRulePlacements(t *testing.T) {
	for name, want := range map[string]map[string]int{
		"round_robin":    {"engine0": 5, "engine1": 5},
		"least_requests": {"engine0": 5, "engine1": 5},
		"two_choices":    {"engine1": 10},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPolicy(t, name, "")
			s.Step(epoch, decide.ReportReceived{Upstream: "engine0", Report: decide.Report{TakenAt: epoch, Waiting: 2}})
			got := map[string]int{}
			for i := range uint64(10) {
				got[arrive(s, i, 10).(decide.Place).Upstream.Name]++
			}
			assert.DeepEqual(t, got, want)
		})
	}
}

func TestLeastRequestsCountsEndedRequests(t *testing.T) {
	s := newPolicy(t, "least_requests", "")
	first := arrive(s, 1, 10).(decide.Place).Upstream.Name
	second := arrive(s, 2, 10).(decide.Place).Upstream.Name
	assert.Assert(t, first != second)
	s.Step(epoch, decide.Ended{ID: ident.Request{Sequence: 1}, Outcome: verdict.Outcome{Reason: verdict.Completed}})
	assert.Equal(t, arrive(s, 3, 10).(decide.Place).Upstream.Name, first)
}

func TestNoLiveUpstreamIsRefused(t *testing.T) {
	for _, name := range []string{"round_robin", "least_requests", "two_choices"} {
		s := newPolicy(t, name, "")
		s.Step(epoch, decide.UpstreamsChanged{})
		assert.Equal(t, arrive(s, 1, 10).(decide.Refuse).Reason, verdict.NoUpstream)
	}
}

// TestKnownLengthsPlaceByTrueLength checks that only a request whose known
// length exceeds the free memory waits. The engines are busy, because an idle
// engine accepts any prompt that fits in its memory.
func TestKnownLengthsPlaceByTrueLength(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lengths.json")
	content := `[{"team": "reef", "class": "draft", "prompt_tokens": 10, "output_tokens": 900},
		{"team": "reef", "class": "draft", "prompt_tokens": 11, "output_tokens": 100}]`
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	for name, c := range map[string]struct{ promptTokens, actions int }{
		"long": {10, 0}, "short": {11, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := newPolicy(t, "known_lengths", path)
			for _, engine := range []string{"engine0", "engine1"} {
				s.Step(epoch, decide.ReportReceived{Upstream: engine, Report: decide.Report{
					TakenAt: epoch, Running: 1, UsedTokens: 20, CapacityTokens: 1500, StepTime: 10 * time.Millisecond,
				}})
			}
			actions := s.Step(epoch, decide.Arrived{Request: decide.Request{
				ID: ident.Request{Sequence: 1}, Team: "reef", PromptTokens: c.promptTokens,
				Class: config.Class{Name: "draft", Kind: config.Stream, Pool: "drafting", WaitTarget: time.Second},
			}})
			placed := 0
			for _, action := range actions {
				if _, ok := action.(decide.Place); ok {
					placed++
				}
			}
			assert.Equal(t, placed, min(1, c.actions), "%v", actions)
		})
	}
}

func TestUnknownPolicy(t *testing.T) {
	_, err := baseline.New("fastest", baseline.Options{})
	assert.ErrorContains(t, err, "round_robin")
}
