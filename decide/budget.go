package decide

// retryBudget lets retries be a share of traffic and no more.
type retryBudget struct {
	left float64
	// share is what each first try adds, saved bounds left.
	share, saved float64
}

const (
	// retryShare is what each first try adds to the budget.
	retryShare = 0.1
	// maxRetriesSaved bounds what is saved, minRetries is there at the start.
	maxRetriesSaved = 20
	startRetries    = 5
)

func newRetryBudget() retryBudget {
	return retryBudget{left: startRetries, share: retryShare, saved: maxRetriesSaved}
}

func (b *retryBudget) firstTry() { b.left = min(b.saved, b.left+b.share) }

// retry takes a retry from the budget, if one is left.
func (b *retryBudget) retry() bool {
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
