package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/decide"
)

// TestPaceMeter checks what the scheduler learns of a stream's pace: its first event, then the
// mean time for a token and the longest pause, and nothing of the pause while a run is moved.
func TestPaceMeter(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var meter paceMeter
	record := func(ms int) (decide.Pace, bool) {
		return meter.record(start.Add(time.Duration(ms)*time.Millisecond), 4)
	}
	pace, due := record(0)
	assert.Assert(t, due)
	assert.Equal(t, pace, decide.Pace{})
	for _, ms := range []int{100, 200, 400} {
		_, due = record(ms)
		assert.Assert(t, !due)
	}
	pace, due = record(500)
	assert.Assert(t, due)
	assert.Equal(t, pace, decide.Pace{PerToken: 500 * time.Millisecond / 16, LongestPause: 200 * time.Millisecond})
	_, due = record(4499)
	assert.Assert(t, !due)
	meter = meter.restarted()
	_, due = record(9000)
	assert.Assert(t, !due, "the first event after a move is no beginning of a run")
	pace, due = record(9500)
	assert.Assert(t, due)
	assert.Equal(t, pace, decide.Pace{PerToken: 125 * time.Millisecond, LongestPause: 500 * time.Millisecond})
}
