package bvendpoint

import "sync"

const (
	maxRetryTokens   = 20.0
	retryTokenEarned = 0.1 // by each call that ended well
)

// retryBudget bounds resumes to a share of the calls that end well, so that a
// failing zone is not loaded further by attempts at what it lost.
type retryBudget struct {
	mutex sync.Mutex
	spent float64
}

func (budget *retryBudget) take() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.spent+1 > maxRetryTokens {
		return false
	}
	budget.spent++
	return true
}

func (budget *retryBudget) earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(0, budget.spent-retryTokenEarned)
}
