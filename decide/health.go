package decide

import "time"

// health implements outlier ejection with slow start: an upstream that fails
// repeatedly temporarily gets no requests, and afterwards a growing share of
// its usual traffic.
type health struct {
	// failures and ejections count consecutive failures and ejections.
	failures, ejections int
	ejectedUntil        time.Time
}

const (
	// ejectAfter is the number of consecutive failures that cause an ejection.
	ejectAfter = 3
	// An ejection lasts for firstEjection, doubled with each consecutive ejection
	// up to longestEjection.
	firstEjection   = 1 * time.Second
	longestEjection = 30 * time.Second
	// slowStartTime is the time after an ejection until the upstream gets its
	// full traffic again.
	slowStartTime = 5 * time.Second
	// slowStartShare is the share of its usual traffic that an upstream gets at
	// the end of its ejection.
	slowStartShare = 0.1
	// maxEjectedShare is the maximum share of a pool's upstreams that can be
	// ejected at a time.
	maxEjectedShare = 0.5
)

// recordFailure counts a failure. It reports whether the upstream should be
// ejected.
func (h *health) recordFailure(now time.Time) bool {
	h.failures++
	return h.failures >= ejectAfter && now.After(h.ejectedUntil)
}

func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(longestEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
	h.failures = 0
}

func (h *health) recordSuccess(now time.Time) {
	h.failures = 0
	if now.After(h.ejectedUntil.Add(slowStartTime)) {
		h.ejections = 0
	}
}

// trafficShare returns the share of its usual traffic that the upstream gets:
// 0 during an ejection, 1 after the slow start or if it was never ejected.
func (h *health) trafficShare(now time.Time) float64 {
	if h.ejectedUntil.IsZero() {
		return 1
	}
	sinceReturn := now.Sub(h.ejectedUntil)
	if sinceReturn < 0 {
		return 0
	}
	return min(1, slowStartShare+(1-slowStartShare)*float64(sinceReturn)/float64(slowStartTime))
}
