package share

import "time"

const (
	// bucketWidth is the resolution of the window of a RetryBudget.
	bucketWidth = time.Second
	// budgetSafetyFactor is the fraction of the allowance that is used, because
	// the counts of the nodes never refer to exactly the same moment.
	budgetSafetyFactor = 0.75
)

// RetryBudget limits the retries of a service's requests within any window to a
// ratio of the requests plus a fixed allowance. The allowance is divided among
// the live nodes, the ratio applies to each node's own requests.
type RetryBudget struct {
	ratio, slack float64
	window       time.Duration
	buckets      []bucket
}

type bucket struct {
	start             time.Time
	requests, retries int
}

// NewRetryBudget returns a RetryBudget that allows ratio retries per request
// plus slack retries in each window.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window}
}

// RecordRequest counts a request.
func (budget *RetryBudget) RecordRequest(now time.Time) { budget.currentBucket(now).requests++ }

// AllowRetry counts a retry and returns true, or returns false if this node's
// share of the budget is used up. nodes is the number of live nodes.
func (budget *RetryBudget) AllowRetry(now time.Time, nodes int) bool {
	current := budget.currentBucket(now)
	requests, retries := 0, 0
	for _, bkt := range budget.buckets {
		requests += bkt.requests
		retries += bkt.retries
	}
	allowed := budgetSafetyFactor * (budget.ratio*float64(requests) + budget.slack/float64(max(1, nodes)))
	if float64(retries+1) > allowed {
		return false
	}
	current.retries++
	return true
}

// currentBucket returns the bucket for now and drops those outside the window.
func (budget *RetryBudget) currentBucket(now time.Time) *bucket {
	for len(budget.buckets) > 0 && now.Sub(budget.buckets[0].start) > budget.window {
		budget.buckets = budget.buckets[1:]
	}
	if num := len(budget.buckets); num == 0 || now.Sub(budget.buckets[num-1].start) >= bucketWidth {
		budget.buckets = append(budget.buckets, bucket{start: now})
	}
	return &budget.buckets[len(budget.buckets)-1]
}
