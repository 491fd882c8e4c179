package repair

import "time"

// burstFraction is the fraction of a minute's loads that may start at once.
const burstFraction = 0.25

// loadLimiter is a token bucket that limits loads from the weight store.
type loadLimiter struct {
	tokens    float64
	updatedAt time.Time
}

// allow reports whether a load may start now and takes a token if so. A rate of
// zero means no limit.
func (lim *loadLimiter) allow(in *Input) bool {
	rate := in.Settings.LoadsPerMinute
	if rate <= 0 {
		return true
	}
	burst := max(1, rate*burstFraction)
	if lim.updatedAt.IsZero() {
		lim.tokens = burst
	} else {
		lim.tokens = min(burst, lim.tokens+rate*in.Now.Sub(lim.updatedAt).Minutes())
	}
	lim.updatedAt = in.Now
	if lim.tokens < 1 {
		return false
	}
	lim.tokens--
	return true
}
