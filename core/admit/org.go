package admit

import (
	"math"
	"time"

	"kumquathinge/core"
)

// orgState holds an organisation's limits and usage at this entry VM.
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

// Range of the effective weights. It keeps virtual time tags from overflowing.
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

// atConcurrencyLimit reports whether the organisation has used up its share of
// the concurrency limit. The share is at least 1.
func (org *orgState) atConcurrencyLimit() bool {
	if org.limits.Concurrency <= 0 {
		return false
	}
	limit := math.Max(1, math.Floor(float64(org.limits.Concurrency)*org.share+shareEpsilon))
	return float64(org.running) >= limit
}

// shareEpsilon keeps a share of 1/3 of a limit of 3 from rounding down to 0.
const shareEpsilon = 1e-9

// chargeRequest charges one request and its cost in tokens to the rate limits.
// If they do not allow the request, it charges nothing and returns the time
// until they do; otherwise it returns zero.
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

// settleTokens charges the difference between the tokens used and those
// estimated to the token limit.
func (org *orgState) settleTokens(diff float64) { org.tokens.charge(org.limits.TokensPerSecond, diff) }

// tokenBucket is a token bucket whose level may become negative.
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

// timeUntil returns the time until the level reaches need. If need is zero, it
// returns the time until the level is positive.
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

// demandMeter is an exponentially decaying average of the offered requests and
// tokens per second.
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

// maxRetryAfter is the upper limit of the results of toDuration and thus of the
// retry delays in rejections.
const maxRetryAfter = 10 * time.Minute

// toDuration converts seconds to a Duration, clamped to [0, maxRetryAfter].
func toDuration(sec float64) time.Duration {
	if !(sec > 0) {
		return 0
	}
	if sec > maxRetryAfter.Seconds() {
		return maxRetryAfter
	}
	return time.Duration(sec * float64(time.Second))
}
