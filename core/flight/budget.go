package flight

import "time"

const (
	maxRetryTokens     = 100.0 // retries
	refillPerSecond    = 1.0   // retries per second granted regardless of requests
	initialRetryTokens = 10.0  // retries
)

// RetryBudget limits the retries of a node to a fraction of its requests, so
// that retries cannot multiply the load when backend servers fail. A small
// constant rate of retries is always granted. Use NewRetryBudget; the zero
// value is not usable.
type RetryBudget struct {
	tokens     float64
	refilledAt time.Time
}

// NewRetryBudget returns a budget that starts with initialRetryTokens at time
// now.
func NewRetryBudget(now time.Time) *RetryBudget {
	return &RetryBudget{tokens: initialRetryTokens, refilledAt: now}
}

// AddRequest counts one request and credits the budget with ratio retries. It
// panics if ratio is negative.
func (budget *RetryBudget) AddRequest(ratio float64, now time.Time) {
	if ratio < 0 {
		panic("flight: negative retry ratio")
	}
	budget.refill(now)
	budget.tokens = min(budget.tokens+ratio, maxRetryTokens)
}

// Take consumes one retry. It returns false if the budget is exhausted.
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
