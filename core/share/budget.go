package share

import "time"

const (
	// bucketTime is the resolution of a Budget's window.
	bucketTime = time.Second
	// budgetMargin is the part of the allowance that is used: the counts of
	// the nodes are never of exactly one moment.
	budgetMargin = 0.75
)

// Budget bounds the repeats of a service's requests to a share of its requests
// and a number beyond that in any window. The number is divided between the
// live nodes; each node's requests earn its own repeats.
type Budget struct {
	ratio, slack float64
	window       time.Duration
	buckets      []bucket
}

type bucket struct {
	at                time.Time
	requests, repeats int
}

// NewBudget returns a Budget that allows ratio repeats for a request and slack
// more in each window.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: window}
}

// Request counts a request.
func (bud *Budget) Request(now time.Time) { bud.bucket(now).requests++ }

// Repeat grants and counts one repeat, or reports false if the budget of this
// node, one of so many, is spent.
func (bud *Budget) Repeat(now time.Time, nodes int) bool {
	cur := bud.bucket(now)
	requests, repeats := 0, 0
	for _, buc := range bud.buckets {
		requests += buc.requests
		repeats += buc.repeats
	}
	allowed := budgetMargin * (bud.ratio*float64(requests) + bud.slack/float64(max(1, nodes)))
	if float64(repeats+1) > allowed {
		return false
	}
	cur.repeats++
	return true
}

// bucket returns the bucket of now and drops those older than the window.
func (bud *Budget) bucket(now time.Time) *bucket {
	for len(bud.buckets) > 0 && now.Sub(bud.buckets[0].at) > bud.window {
		bud.buckets = bud.buckets[1:]
	}
	if num := len(bud.buckets); num == 0 || now.Sub(bud.buckets[num-1].at) >= bucketTime {
		bud.buckets = append(bud.buckets, bucket{at: now})
	}
	return &bud.buckets[len(bud.buckets)-1]
}
