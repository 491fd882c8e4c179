package share

import "time"

const (
	// bucketWidth is the resolution of a Budget's window.
	bucketWidth = time.Second
	// budgetSafetyFactor is the part of the allowance that is used: the counts of
	// the nodes are never of exactly one moment.
	budgetSafetyFactor = 0.75
)

// RetryBudget bounds the repeats of a service's requests to a share of its requests
// and a number beyond that in any window. The number is divided between the
// live nodes; each node's requests earn its own repeats.
type RetryBudget struct {
	ratio, slack float64
	window       time.Duration
	buckets      []bucket
}

type bucket struct {
	start             time.Time
	requests, retries int
}

// NewRetryBudget returns a Budget that allows ratio repeats for a request and slack
// more in each window.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window}
}

// RecordRequest counts a request.
func (budget *RetryBudget) RecordRequest(now time.Time) { budget.currentBucket(now).requests++ }

// AllowRetry grants and counts one repeat, or reports false if the budget of this
// node, one of so many, is spent.
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

// currentBucket returns the bucket of now and drops those older than the window.
func (budget *RetryBudget) currentBucket(now time.Time) *bucket {
	for len(budget.buckets) > 0 && now.Sub(budget.buckets[0].start) > budget.window {
		budget.buckets = budget.buckets[1:]
	}
	if num := len(budget.buckets); num == 0 || now.Sub(budget.buckets[num-1].start) >= bucketWidth {
		budget.buckets = append(budget.buckets, bucket{start: now})
	}
	return &budget.buckets[len(budget.buckets)-1]
}
