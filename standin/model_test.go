package standin_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangoloft/standin"
)

var epoch = time.Unix(1_700_000_000, 0)

// smallEngine has 8 blocks of 4 tokens.
var smallEngine = standin.ModelSettings{
	StepTime: 10 * time.Millisecond, StepPerSequence: time.Millisecond, PrefillPerToken: 100 * time.Microsecond,
	PrefillTokens: 64, MaxBatch: 8, Blocks: 8, BlockTokens: 4, CacheBlocks: 4, ReportLag: 30 * time.Millisecond,
}

// runToCompletion starts the requests, steps the model until all generations have
// ended, and returns the load after each iteration.
func runToCompletion(t *testing.T, m *standin.Model, requests []standin.GenerationRequest) []standin.Load {
	t.Helper()
	for _, r := range requests {
		m.Start(r)
	}
	now := epoch
	var loads []standin.Load
	for range 10_000 {
		now = now.Add(m.Step(now))
		loads = append(loads, m.Load(now.Add(time.Hour)))
		if last := loads[len(loads)-1]; last.Running+last.Waiting == 0 {
			return loads
		}
	}
	t.Fatal("all generations must finish within 10,000 iterations")
	return nil
}

// TestIterations checks the number of iterations, the duration of the first one and
// the number of preemptions.
func TestIterations(t *testing.T) {
	for name, c := range map[string]struct {
		requests    []standin.GenerationRequest
		steps       int
		firstStep   time.Duration
		preemptions uint64
	}{
		"one generation": {[]standin.GenerationRequest{{Generation: "a", PromptTokens: 4, OutputTokens: 3}}, 4, 11*time.Millisecond + 400*time.Microsecond, 0},
		"two share a batch": {[]standin.GenerationRequest{
			{Generation: "a", PromptTokens: 4, OutputTokens: 3}, {Generation: "b", PromptTokens: 4, OutputTokens: 3},
		}, 4, 12*time.Millisecond + 800*time.Microsecond, 0},
		"memory for one at a time": {[]standin.GenerationRequest{
			{Generation: "a", PromptTokens: 27, OutputTokens: 3}, {Generation: "b", PromptTokens: 27, OutputTokens: 3},
		}, 7, 11*time.Millisecond + 2700*time.Microsecond, 0},
		"growth preempts one": {[]standin.GenerationRequest{
			{Generation: "a", PromptTokens: 12, OutputTokens: 12}, {Generation: "b", PromptTokens: 12, OutputTokens: 12},
		}, 21, 12*time.Millisecond + 2400*time.Microsecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			loads := runToCompletion(t, standin.NewModel(smallEngine), c.requests)
			assert.Equal(t, loads[0].StepTime, c.firstStep)
			assert.Equal(t, loads[len(loads)-1].Preemptions, c.preemptions)
			assert.Equal(t, len(loads), c.steps)
			assert.Equal(t, loads[len(loads)-1].UsedTokens, 0)
		})
	}
}

func TestLowestPriorityIsPreempted(t *testing.T) {
	m := standin.NewModel(smallEngine)
	runToCompletion(t, m, nil)
	m.Start(standin.GenerationRequest{Generation: "low", PromptTokens: 12, OutputTokens: 12, Priority: 1})
	m.Start(standin.GenerationRequest{Generation: "high", PromptTokens: 12, OutputTokens: 12, Priority: 2})
	now := epoch
	for m.Load(now.Add(time.Hour)).Preemptions == 0 {
		now = now.Add(m.Step(now))
	}
	before, _, _ := m.Progress("low")
	m.Step(now)
	after, _, _ := m.Progress("low")
	assert.Equal(t, after, before, "the generation with the low priority must be preempted")
}

func TestGenerationLargerThanMemoryEnds(t *testing.T) {
	m := standin.NewModel(smallEngine)
	runToCompletion(t, m, []standin.GenerationRequest{{Generation: "a", PromptTokens: 12, OutputTokens: 100}, {Generation: "b", PromptTokens: 100, OutputTokens: 1}})
	generated, finish, _ := m.Progress("a")
	assert.Equal(t, fmt.Sprint(generated, finish), "20length")
	_, finish, _ = m.Progress("b")
	assert.Equal(t, finish, "length")
}

func TestPrefixCacheSavesPrefill(t *testing.T) {
	m := standin.NewModel(smallEngine)
	request := standin.GenerationRequest{Generation: "a", PromptTokens: 10, PrefixHashes: []uint64{1, 2}, OutputTokens: 1}
	first := runToCompletion(t, m, []standin.GenerationRequest{request})[0].StepTime
	request.Generation = "b"
	second := runToCompletion(t, m, []standin.GenerationRequest{request})[0].StepTime
	assert.Equal(t, first-second, 8*smallEngine.PrefillPerToken)
	request = standin.GenerationRequest{Generation: "c", PromptTokens: 20, PrefixHashes: []uint64{3, 4, 5, 6}, OutputTokens: 1}
	runToCompletion(t, m, []standin.GenerationRequest{request})
	events := m.CacheEvents(epoch.Add(time.Hour), 0)
	assert.Equal(t, len(events), 8, "want 2 stored, 4 stored and 2 removed blocks")
	assert.Equal(t, len(m.CacheEvents(epoch.Add(-time.Hour), 0)), 0, "no event must be published before EventLag")
}

func TestReportIsDelayed(t *testing.T) {
	m := standin.NewModel(smallEngine)
	m.Start(standin.GenerationRequest{Generation: "a", PromptTokens: 4, OutputTokens: 50})
	now := epoch
	for range 20 {
		now = now.Add(m.Step(now))
		taken := m.Load(now).TakenAt
		assert.Assert(t, taken.Equal(epoch) || now.Sub(taken) >= smallEngine.ReportLag, "a report is %v old, want at least ReportLag", now.Sub(taken))
	}
}

// TestEveryGenerationEnds checks that, for any requests, the KV cache is never
// overcommitted and every generation ends with its full length.
func TestEveryGenerationEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := standin.NewModel(smallEngine)
		lengths := rapid.SliceOfN(rapid.IntRange(1, 15), 1, 12).Draw(t, "lengths")
		for i, length := range lengths {
			m.Start(standin.GenerationRequest{
				Generation: fmt.Sprint(i), PromptTokens: rapid.IntRange(1, 16).Draw(t, "prompt"),
				OutputTokens: length, Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			})
		}
		now := epoch
		for range 5000 {
			now = now.Add(m.Step(now))
			load := m.Load(now.Add(time.Hour))
			assert.Assert(t, load.UsedTokens >= 0 && load.UsedTokens <= load.CapacityTokens, "%d tokens are used, want 0 to CapacityTokens", load.UsedTokens)
			if load.Running+load.Waiting == 0 {
				break
			}
		}
		for i, length := range lengths {
			generated, finish, _ := m.Progress(fmt.Sprint(i))
			assert.Equal(t, fmt.Sprint(generated, finish), fmt.Sprint(length, "stop"))
		}
	})
}
