package decide

// retryBudget is a token bucket that limits retries to a share of the first
// attempts.
type retryBudget struct {
	available float64
	// share is added for each first attempt, up to capacity.
	share, capacity float64
}

const (
	// retryShare is the default share.
	retryShare = 0.1
	// maxRetries is the default capacity.
	maxRetries = 20
	// initialRetries is the initial number of available retries.
	initialRetries = 5
)

func newRetryBudget() retryBudget {
	return retryBudget{available: initialRetries, share: retryShare, capacity: maxRetries}
}

// deposit adds the share of a first attempt.
func (b *retryBudget) deposit() { b.available = min(b.capacity, b.available+b.share) }

// tryWithdraw takes one retry from the budget. It reports whether one was
// available.
func (b *retryBudget) tryWithdraw() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
