package repair

import "time"

// burstShare of a minute's loads may be started at once.
const burstShare = 0.25

// budget is a token bucket for loads from the weight store.
type budget struct {
	tokens float64
	last   time.Time
}

// take reports whether a load may start now and counts it. A rate of zero is
// no limit.
func (bud *budget) take(in *Input) bool {
	rate := in.Weights.LoadsPerMinute
	if rate <= 0 {
		return true
	}
	burst := max(1, rate*burstShare)
	if bud.last.IsZero() {
		bud.tokens = burst
	} else {
		bud.tokens = min(burst, bud.tokens+rate*in.Now.Sub(bud.last).Minutes())
	}
	bud.last = in.Now
	if bud.tokens < 1 {
		return false
	}
	bud.tokens--
	return true
}
