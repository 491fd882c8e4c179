package entry

import (
	"math"
	"sync/atomic"
	"time"
)

// arrivalWindow is the time constant of the mean rate of arrivals.
const arrivalWindow = time.Second

// arrivalRate measures how many requests arrive in a second. Only sample must be
// called from one goroutine at a time.
type arrivalRate struct {
	count func() int64
	// lastCount is the count at lastAt.
	lastCount int64
	lastAt    time.Time
	// rate holds the bits of the mean rate.
	rate atomic.Uint64
}

// sample updates the rate from the count.
func (arr *arrivalRate) sample(now time.Time) {
	count := arr.count()
	elapsed := now.Sub(arr.lastAt)
	if !arr.lastAt.IsZero() && elapsed > 0 {
		weight := 1 - math.Exp(-elapsed.Seconds()/arrivalWindow.Seconds())
		rate := arr.perSecond()
		arr.rate.Store(math.Float64bits(rate + weight*(float64(count-arr.lastCount)/elapsed.Seconds()-rate)))
	}
	arr.lastCount, arr.lastAt = count, now
}

// perSecond returns the mean rate.
func (arr *arrivalRate) perSecond() float64 { return math.Float64frombits(arr.rate.Load()) }
