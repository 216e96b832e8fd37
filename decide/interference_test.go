package decide_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongStreamsKeepAwayFromPrompts plays drafts of some 900 tokens beside short streams, each
// with a prompt of 2,000 to 4,000 tokens, so that prefill takes a sixth of the engines' time.
// An event takes 28 ms on an engine that does nothing else.
func TestLongStreamsKeepAwayFromPrompts(t *testing.T) {
	const (
		maxEvent = 33 * time.Millisecond
		// maxStart is the target for the first event of a short stream.
		maxStart = 1500 * time.Millisecond
	)
	for name, day := range map[string]unevenDay{
		"12 instances": {instances: 12, engines: 9}, "31 instances": {instances: 31, engines: 12},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			day.factors, day.steady, day.pauseTarget = []float64{1}, true, 180*time.Millisecond
			day.longPerSecond, day.shortPerSecond, day.duration = 0.38, 0.54, 40*time.Second
			day.shortPrompt = func(r *rand.Rand) int { return 1500 + r.IntN(1500) }
			median := map[bool]time.Duration{}
			for _, canMove := range []bool{false, true} {
				var perEvent, starts []time.Duration
				moves, ended, late := 0, 0, 0
				for seed := range uint64(2) {
					day.seed, day.canMove = seed+1, canMove
					u := day.run()
					for _, f := range u.ended {
						if f.long {
							perEvent = append(perEvent, f.last.Sub(f.first)/time.Duration(max(1, f.tokens/fakeEventTokens-1)))
						}
					}
					starts, moves, ended, late = append(starts, u.shortStarts...), moves+u.moves, ended+len(u.ended), late+u.lateStarts
				}
				slices.Sort(perEvent)
				slices.Sort(starts)
				median[canMove] = perEvent[len(perEvent)/2]
				t.Logf("moves %v: %d streams, %d moves; an event takes %v (median), %v (90th percentile); first events of short streams after %v (95th percentile), %d late", canMove, ended, moves,
					median[canMove].Round(100*time.Microsecond), perEvent[len(perEvent)*9/10].Round(100*time.Microsecond), starts[len(starts)*95/100].Round(time.Millisecond), late)
				assert.Check(t, starts[len(starts)*95/100] <= maxStart)
			}
			assert.Check(t, median[true] <= maxEvent, "an event takes %v", median[true])
			assert.Check(t, median[true] < median[false])
		})
	}
}
