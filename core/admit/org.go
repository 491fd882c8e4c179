package admit

import (
	"math"
	"time"

	"kumquathinge/core"
)

// org is an organisation's limits and use at this entry VM.
type org struct {
	name     core.OrgName
	limits   OrgLimits
	share    float64
	requests bucket
	tokens   bucket
	running  int
	waiting  int
	demand   demand
}

// Weights are taken into this range, in which tags can't overflow.
const (
	minWeight = 1e-3
	maxWeight = 1e6
)

func (og *org) weight() float64 {
	if !(og.limits.Weight > 0) {
		return 1
	}
	return min(max(og.limits.Weight, minWeight), maxWeight)
}

// blocked reports whether the organisation's concurrency is used up. Its part
// of the limit is at least 1.
func (og *org) blocked() bool {
	if og.limits.Concurrency <= 0 {
		return false
	}
	lim := math.Max(1, math.Floor(float64(og.limits.Concurrency)*og.share+shareSlack))
	return float64(og.running) >= lim
}

// shareSlack keeps a share of 1/3 of 3 from rounding down to 0.
const shareSlack = 1e-9

// take charges the rate limits with one request of the cost. It returns zero,
// or the time until the limits allow the request, which is then not charged.
func (og *org) take(cost float64, burst time.Duration, now time.Time) time.Duration {
	reqRate := og.limits.Requests * og.share
	tokRate := og.limits.Tokens * og.share
	og.requests.fill(reqRate, burst, now)
	og.tokens.fill(tokRate, burst, now)
	wait := max(og.requests.wait(reqRate, 1), og.tokens.wait(tokRate, 0))
	if wait > 0 {
		return wait
	}
	og.requests.charge(reqRate, 1)
	og.tokens.charge(tokRate, cost)
	return 0
}

// settle corrects the token limit by what was used beyond the estimate.
func (og *org) settle(diff float64) { og.tokens.charge(og.limits.Tokens, diff) }

// bucket is a token bucket that may go into debt.
type bucket struct {
	level float64
	at    time.Time
}

func (bkt *bucket) fill(rate float64, burst time.Duration, now time.Time) {
	if rate <= 0 {
		return
	}
	top := math.Max(1, rate*burst.Seconds())
	if bkt.at.IsZero() {
		bkt.level = top
	} else if ela := now.Sub(bkt.at); ela > 0 {
		bkt.level = math.Min(top, bkt.level+rate*ela.Seconds())
	}
	if now.After(bkt.at) {
		bkt.at = now
	}
}

// wait returns the time until the level reaches need, or is positive if need
// is zero.
func (bkt *bucket) wait(rate, need float64) time.Duration {
	if rate <= 0 || bkt.level > 0 && bkt.level >= need {
		return 0
	}
	return seconds((need-bkt.level)/rate) + time.Millisecond
}

func (bkt *bucket) charge(rate, amount float64) {
	if rate > 0 {
		bkt.level -= amount
	}
}

// demand is a decaying measure of offered requests and tokens.
type demand struct {
	requests float64
	tokens   float64
	at       time.Time
}

func (dmd *demand) decay(tau time.Duration, now time.Time) {
	if ela := now.Sub(dmd.at); ela > 0 {
		fac := math.Exp(-ela.Seconds() / tau.Seconds())
		dmd.requests *= fac
		dmd.tokens *= fac
		dmd.at = now
	}
}

func (dmd *demand) add(cost float64, tau time.Duration, now time.Time) {
	dmd.decay(tau, now)
	dmd.requests += 1 / tau.Seconds()
	dmd.tokens += cost / tau.Seconds()
}

// maxAfter bounds the times that refusals state.
const maxAfter = 10 * time.Minute

// seconds converts a number of seconds to a Duration in [0, maxAfter].
func seconds(sec float64) time.Duration {
	if !(sec > 0) {
		return 0
	}
	if sec > maxAfter.Seconds() {
		return maxAfter
	}
	return time.Duration(sec * float64(time.Second))
}
