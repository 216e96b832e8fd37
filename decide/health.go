package decide

import "time"

// health implements outlier ejection with slow start: an upstream that fails
// repeatedly gets no requests for a while, and then a growing share.
type health struct {
	// failures counts consecutive failures, ejections the consecutive ejections.
	failures, ejections int
	ejectedUntil        time.Time
}

const (
	// ejectAfter is how many consecutive failures cause an ejection.
	ejectAfter = 3
	// firstEjection doubles with each consecutive ejection, up to
	// longestEjection.
	firstEjection   = 1 * time.Second
	longestEjection = 30 * time.Second
	// slowStartTime is how long a returned upstream takes to get its full share.
	slowStartTime = 5 * time.Second
	// slowStartShare is the share of its traffic that it starts with.
	slowStartShare = 0.1
	// maxEjectedShare bounds the share of a pool's upstreams that are ejected.
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

// trafficShare returns the share of its usual traffic that the upstream may get:
// 0 while it is ejected, 1 if it never was.
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
