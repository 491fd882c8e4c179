package flight

import "time"

const (
	budgetCap     = 100.0 // retries
	budgetPerSec  = 1.0   // retries a second that need no requests
	budgetAtStart = 10.0  // retries
)

// Budget bounds the retries of a node to a share of its requests, so that
// retries can't multiply the load when backend servers fail. A small rate is
// granted in any case. The zero Budget is not ready; NewBudget makes one.
type Budget struct {
	tokens float64
	last   time.Time
}

// NewBudget returns a budget at time now.
func NewBudget(now time.Time) *Budget {
	return &Budget{tokens: budgetAtStart, last: now}
}

// Note counts one request, which adds ratio retries. It panics if ratio is
// negative.
func (bud *Budget) Note(ratio float64, now time.Time) {
	if ratio < 0 {
		panic("flight: negative retry ratio")
	}
	bud.refill(now)
	bud.tokens = min(bud.tokens+ratio, budgetCap)
}

// Take grants one retry, or reports false if the budget is spent.
func (bud *Budget) Take(now time.Time) bool {
	bud.refill(now)
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}

func (bud *Budget) refill(now time.Time) {
	gone := now.Sub(bud.last)
	if gone <= 0 {
		return
	}
	bud.last = now
	bud.tokens = min(bud.tokens+gone.Seconds()*budgetPerSec, budgetCap)
}
