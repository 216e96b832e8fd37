package gateway

import (
	"time"

	"mangoloft/decide"
)

const (
	// firstPaceInterval is the time from the first event of a run to the second progress
	// update. It is long enough to average over some steps of the engine, and short enough
	// that other streams benefit before most have been placed.
	firstPaceInterval = 500 * time.Millisecond
	// progressInterval is the time between later progress updates.
	progressInterval = 4 * time.Second
)

// paceMeter measures the pace of a run between progress updates to the scheduler.
type paceMeter struct {
	// lastAt is the time at which the latest event was read, reportedAt that of the latest
	// update, and dueAt the time of the next one.
	lastAt, reportedAt, dueAt time.Time
	// events is the number of events since the latest update.
	events       int
	longestPause time.Duration
	// restart reports that the run continues on another engine.
	restart bool
}

// record records an event, and reports whether an update is due. It returns the pace since
// the previous update, which is zero for the first event of a run.
func (m *paceMeter) record(readAt time.Time, tokensPerEvent int) (decide.Pace, bool) {
	if m.lastAt.IsZero() {
		due := !m.restart
		*m = paceMeter{lastAt: readAt, reportedAt: readAt, dueAt: readAt.Add(firstPaceInterval)}
		return decide.Pace{}, due
	}
	m.events++
	m.longestPause = max(m.longestPause, readAt.Sub(m.lastAt))
	m.lastAt = readAt
	if readAt.Before(m.dueAt) {
		return decide.Pace{}, false
	}
	pace := decide.Pace{
		PerToken:     readAt.Sub(m.reportedAt) / time.Duration(max(1, m.events*tokensPerEvent)),
		LongestPause: m.longestPause,
	}
	*m = paceMeter{lastAt: readAt, reportedAt: readAt, dueAt: readAt.Add(progressInterval)}
	return pace, true
}

// restarted returns the meter of a run that continues on another engine. The next event is the
// first that counts, and no update is due for it.
func (m *paceMeter) restarted() paceMeter {
	return paceMeter{restart: m.restart || !m.lastAt.IsZero()}
}
