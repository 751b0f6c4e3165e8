package limit

import "sync"

// budgetBurst is the number of retries that a budget saves up at most.
const budgetBurst = 10

// Budget bounds retries to a share of calls. It is safe for use by many goroutines.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that allows a burst of retries at once.
func NewBudget() *Budget {
	return &Budget{tokens: budgetBurst}
}

// Earn counts one call that was made, which earns its share of a retry.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(budgetBurst, b.tokens+share)
}

// Spend takes one retry. It reports false when the budget is used up.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
