package decide

// retryBudget is a token bucket that limits retries to a share of the traffic.
type retryBudget struct {
	available float64
	// share is added per first attempt; capacity bounds available.
	share, capacity float64
}

const (
	// retryShare is the default share.
	retryShare = 0.1
	// maxRetries is the default capacity, initialRetries the initial content.
	maxRetries     = 20
	initialRetries = 5
)

func newRetryBudget() retryBudget {
	return retryBudget{available: initialRetries, share: retryShare, capacity: maxRetries}
}

func (b *retryBudget) addShare() { b.available = min(b.capacity, b.available+b.share) }

// spend takes a retry from the budget, if one is left.
func (b *retryBudget) spend() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
