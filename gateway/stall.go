package gateway

import (
	"time"

	"mangoloft/verdict"
)

const (
	// Callers abandon a stream after a gap of minAbandon, abandonTargets times the route's target
	// for the first event or abandonPauses times its pause target, whichever is longest.
	minAbandon     = 2 * time.Second
	abandonTargets = 4
	abandonPauses  = 8
	// stallChecks is the number of checks without an event after which a stream has stalled.
	// Checks are counted instead of the time, because after a pause of the process events may
	// wait to be read.
	stallChecks = 8
)

// abandonGap returns the gap after which callers abandon the stream.
func (s *stream) abandonGap() time.Duration {
	return max(minAbandon, abandonTargets*s.route.Target, abandonPauses*s.route.PauseTarget)
}

// stallTimer detects that an upstream sends no events, whatever else it sends.
type stallTimer struct {
	ticker *time.Ticker
	gap    time.Duration
	// checks is the number of checks since the latest event.
	checks int
}

// newStallTimer returns the timer of an attempt.
func (s *stream) newStallTimer() *stallTimer {
	gap := s.abandonGap()
	return &stallTimer{ticker: time.NewTicker(gap / stallChecks), gap: gap}
}

// check counts a check and returns an error if the stream has stalled. A run that is moved
// is stopped at the end of its copy, so its silence is expected.
func (t *stallTimer) check(s *stream) error {
	if s.move != nil {
		t.checks = 0
		return nil
	}
	t.checks++
	// The first check may have followed the latest event at once.
	if t.checks <= stallChecks {
		return nil
	}
	return verdict.Fail(verdict.MayHaveRun, verdict.UpstreamLost, "the stream stalled: no event for %v after event %d", t.gap, s.lastEventID)
}
