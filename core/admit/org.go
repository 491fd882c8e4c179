package admit

import (
	"math"
	"time"

	"kumquathinge/core"
)

// orgState is an organisation's limits and use at this entry VM.
type orgState struct {
	name     core.OrgName
	limits   OrgLimits
	share    float64
	requests tokenBucket
	tokens   tokenBucket
	running  int
	waiting  int
	demand   demandMeter
}

// Weights are taken into this range, in which tags can't overflow.
const (
	minWeight = 1e-3
	maxWeight = 1e6
)

func (org *orgState) weight() float64 {
	if !(org.limits.Weight > 0) {
		return 1
	}
	return min(max(org.limits.Weight, minWeight), maxWeight)
}

// atConcurrencyLimit reports whether the organisation's concurrency is used up. Its part
// of the limit is at least 1.
func (org *orgState) atConcurrencyLimit() bool {
	if org.limits.Concurrency <= 0 {
		return false
	}
	limit := math.Max(1, math.Floor(float64(org.limits.Concurrency)*org.share+shareEpsilon))
	return float64(org.running) >= limit
}

// shareEpsilon keeps a share of 1/3 of 3 from rounding down to 0.
const shareEpsilon = 1e-9

// chargeRequest charges the rate limits with one request of the cost. It returns zero,
// or the time until the limits allow the request, which is then not charged.
func (org *orgState) chargeRequest(cost float64, burst time.Duration, now time.Time) time.Duration {
	reqRate := org.limits.RequestsPerSecond * org.share
	tokRate := org.limits.TokensPerSecond * org.share
	org.requests.refill(reqRate, burst, now)
	org.tokens.refill(tokRate, burst, now)
	wait := max(org.requests.timeUntil(reqRate, 1), org.tokens.timeUntil(tokRate, 0))
	if wait > 0 {
		return wait
	}
	org.requests.charge(reqRate, 1)
	org.tokens.charge(tokRate, cost)
	return 0
}

// settleTokens corrects the token limit by what was used beyond the estimate.
func (org *orgState) settleTokens(diff float64) { org.tokens.charge(org.limits.TokensPerSecond, diff) }

// tokenBucket is a token bucket that may go into debt.
type tokenBucket struct {
	level    float64
	filledAt time.Time
}

func (bucket *tokenBucket) refill(rate float64, burst time.Duration, now time.Time) {
	if rate <= 0 {
		return
	}
	top := math.Max(1, rate*burst.Seconds())
	if bucket.filledAt.IsZero() {
		bucket.level = top
	} else if elapsed := now.Sub(bucket.filledAt); elapsed > 0 {
		bucket.level = math.Min(top, bucket.level+rate*elapsed.Seconds())
	}
	if now.After(bucket.filledAt) {
		bucket.filledAt = now
	}
}

// timeUntil returns the time until the level reaches need, or is positive if need
// is zero.
func (bucket *tokenBucket) timeUntil(rate, need float64) time.Duration {
	if rate <= 0 || bucket.level > 0 && bucket.level >= need {
		return 0
	}
	return toDuration((need-bucket.level)/rate) + time.Millisecond
}

func (bucket *tokenBucket) charge(rate, amount float64) {
	if rate > 0 {
		bucket.level -= amount
	}
}

// demandMeter is a decaying measure of offered requests and tokens.
type demandMeter struct {
	requests  float64
	tokens    float64
	updatedAt time.Time
}

func (demand *demandMeter) decay(tau time.Duration, now time.Time) {
	if elapsed := now.Sub(demand.updatedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / tau.Seconds())
		demand.requests *= factor
		demand.tokens *= factor
		demand.updatedAt = now
	}
}

func (demand *demandMeter) add(cost float64, tau time.Duration, now time.Time) {
	demand.decay(tau, now)
	demand.requests += 1 / tau.Seconds()
	demand.tokens += cost / tau.Seconds()
}

// maxRetryAfter bounds the times that refusals state.
const maxRetryAfter = 10 * time.Minute

// toDuration converts a number of seconds to a Duration in [0, maxAfter].
func toDuration(sec float64) time.Duration {
	if !(sec > 0) {
		return 0
	}
	if sec > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(sec * float64(time.Second))
}
