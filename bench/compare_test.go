package bench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/bench"
)

// overloadedScenario is a small scenario whose engines run out of memory under any
// policy.
const overloadedScenario = `{
	"name": "small", "fleet": {"data_centres": 2, "entries": 3, "engines": 2},
	"engine": {"step_ms": 5, "prefill_tokens": 512, "max_batch": 16, "blocks": 30, "report_lag_ms": 50},
	"duration_seconds": 3, "rate_per_second": 30, "ask_again": 1,
	"classes": [{
		"name": "draft", "share": 1, "wait_ms": 20000, "pace_ms": 1000, // Targets that are met on a busy machine too.
		"prompt_tokens": {"median": 40, "sigma": 0.3, "max": 80},
		"output_tokens": {"median": 60, "sigma": 0.5, "max": 150},
	}],
	"teams": [{"name": "large", "share": 9}, {"name": "small", "share": 1}],
}`

func writeScenario(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scenario.json")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// TestCompareRunsAllPoliciesOnSameLoad checks that every policy gets the same load
// and completes all requests. Only requests that pass Reader.Check count as
// completed, so that no token is lost or duplicated.
func TestCompareRunsAllPoliciesOnSameLoad(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	policies := []string{"round_robin", "mangoloft", "known_lengths"}
	var out bytes.Buffer
	assert.NilError(t, bench.Compare(ctx, bench.Comparison{
		Bin: bin, Scenario: writeScenario(t, overloadedScenario), Seeds: []uint64{5}, Policies: policies, JSON: true,
	}, &out))
	var results []bench.Result
	for line := range strings.Lines(out.String()) {
		var result bench.Result
		assert.NilError(t, json.Unmarshal([]byte(line), &result))
		results = append(results, result)
	}
	assert.Equal(t, len(results), len(policies))
	for i, result := range results {
		assert.Equal(t, result.Policy, policies[i])
		assert.Assert(t, result.Requests > 10, "got %d requests, want more than 10", result.Requests)
		assert.Equal(t, result.Requests, results[0].Requests)
		assert.Equal(t, result.Completed+result.Refused+result.StreamsLost, result.Requests)
		assert.Equal(t, result.StreamsLost, 0, "%s: %v", result.Policy, result.Failures)
		assert.Equal(t, result.Completed, result.Requests, "%s: %v", result.Policy, result.Failures)
		assert.Equal(t, result.Tokens, results[0].Tokens)
	}
	assert.Assert(t, results[0].Preemptions > 0, "the scenario must exhaust the engines' memory")
}

func TestInvalidScenarios(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"unknown field":     {`"ask_again"`, `"ask_agian"`, "ask_agian"},
		"no data centre":    {`"data_centres": 2`, `"data_centres": 0`, "fleet"},
		"too few entries":   {`"entries": 3`, `"entries": 1`, "fleet"},
		"no rate":           {`"rate_per_second": 30`, `"rate_per_second": 0`, "rate_per_second"},
		"no longest output": {`"max": 150`, `"max": 0`, "classes.draft"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := bench.LoadScenario(writeScenario(t, strings.Replace(overloadedScenario, c.old, c.replacement, 1)))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestCommittedScenariosAreValid(t *testing.T) {
	paths, err := filepath.Glob("../scenarios/*.json")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 2)
	for _, path := range paths {
		_, err := bench.LoadScenario(path)
		assert.NilError(t, err)
	}
}
