package limit

import "sync"

// maxTokens is the number of retries that a budget accumulates at most.
const maxTokens = 10

// RetryBudget bounds retries to a share of the calls, with a token bucket. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget, so that a burst of retries is allowed from the start.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: maxTokens}
}

// Deposit adds a share of one retry to the budget, up to maxTokens. It is called once for each call.
func (b *RetryBudget) Deposit(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+share)
}

// TryWithdraw takes one retry from the budget. It reports false when the budget is exhausted.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
