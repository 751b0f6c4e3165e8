package limit

import "sync"

// budgetBurst is the number of retries that a budget saves up at most.
const budgetBurst = 10

// RetryBudget bounds retries to a share of calls. It is safe for use by many goroutines.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a budget that allows a burst of retries at once.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: budgetBurst}
}

// Deposit counts one call that was made, which earns its share of a retry.
func (b *RetryBudget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+share)
}

// TryWithdraw takes one retry. It reports false when the budget is used up.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
