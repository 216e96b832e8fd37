package decide

import "time"

// health keeps an upstream that fails out of the choice for a while, and lets
// it back slowly.
type health struct {
	// failures counts those in a row, ejections those since the last success.
	failures, ejections int
	ejectedUntil        time.Time
}

const (
	// ejectAfter is how many failures in a row eject.
	ejectAfter = 3
	// firstEjection doubles with each ejection in a row, up to longestEjection.
	firstEjection   = 1 * time.Second
	longestEjection = 30 * time.Second
	// returnOver is how long a returned upstream takes to get its full share.
	returnOver = 5 * time.Second
	// firstShare is the share of its work that it begins with.
	firstShare = 0.1
	// maxEjectedShare bounds the ejected share of a pool.
	maxEjectedShare = 0.5
)

// fail counts a failure. It reports whether the upstream should be ejected.
func (h *health) fail(now time.Time) bool {
	h.failures++
	return h.failures >= ejectAfter && now.After(h.ejectedUntil)
}

func (h *health) eject(now time.Time) {
	h.ejectedUntil = now.Add(min(longestEjection, firstEjection<<min(h.ejections, 10)))
	h.ejections++
	h.failures = 0
}

func (h *health) succeed(now time.Time) {
	h.failures = 0
	if now.After(h.ejectedUntil.Add(returnOver)) {
		h.ejections = 0
	}
}

// share returns the part of its work that the upstream may get: none while it
// is ejected, all when it never was.
func (h *health) share(now time.Time) float64 {
	if h.ejectedUntil.IsZero() {
		return 1
	}
	back := now.Sub(h.ejectedUntil)
	if back < 0 {
		return 0
	}
	return min(1, firstShare+(1-firstShare)*float64(back)/float64(returnOver))
}
