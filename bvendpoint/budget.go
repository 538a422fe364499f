package bvendpoint

import "sync"

const (
	maxSpentRetries   = 20.0
	retriesPerSuccess = 0.1 // returned to the budget by each successful call
)

// retryBudget bounds resumes to a share of the successful calls, so that resumes of
// failed streams add little load to a failing zone.
type retryBudget struct {
	mutex sync.Mutex
	spent float64
}

func (budget *retryBudget) spend() bool {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	if budget.spent+1 > maxSpentRetries {
		return false
	}
	budget.spent++
	return true
}

func (budget *retryBudget) earn() {
	budget.mutex.Lock()
	defer budget.mutex.Unlock()
	budget.spent = max(0, budget.spent-retriesPerSuccess)
}
