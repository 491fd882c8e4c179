package flight

import "time"

const (
	maxRetryTokens     = 100.0 // retries
	refillPerSecond    = 1.0   // retries a second that need no requests
	initialRetryTokens = 10.0  // retries
)

// RetryBudget bounds the retries of a node to a share of its requests, so that
// retries can't multiply the load when backend servers fail. A small rate is
// granted in any case. The zero Budget is not ready; NewBudget makes one.
type RetryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget at time now.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: initialRetryTokens, refilledAt: now}
}

// AddRequest counts one request, which adds ratio retries. It panics if ratio is
// negative.
func (budget *RetryBudget) AddRequest(ratio float64, now time.Time) {
	if ratio < 0 {
		panic("flight: negative retry ratio")
	}
	budget.refill(now)
	budget.tokens = min(budget.tokens+ratio, maxRetryTokens)
}

// Take grants one retry, or reports false if the budget is spent.
func (budget *RetryBudget) Take(now time.Time) bool {
	budget.refill(now)
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

func (budget *RetryBudget) refill(now time.Time) {
	elapsed := now.Sub(budget.refilledAt)
	if elapsed <= 0 {
		return
	}
	budget.refilledAt = now
	budget.tokens = min(budget.tokens+elapsed.Seconds()*refillPerSecond, maxRetryTokens)
}
