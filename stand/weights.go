package stand

import (
	"net/http"
	"time"
)

// WeightsFault holds the faults of Weights.
type WeightsFault struct {
	Fault
	// Rate replaces the number of fetches a second if it is not zero.
	Rate float64 `json:"rate,omitempty"`
}

type retryAfter struct {
	Milliseconds int64 `json:"retry_ms"`
}

// Weights is a stand-in of the weight store.
type Weights struct {
	*base[WeightsFault]
	rate    float64
	free    time.Time
	fetches int
}

// NewWeights returns a store that allows rate fetches a second, without limit
// if rate is zero.
func NewWeights(rate float64) *Weights {
	wei := &Weights{base: newBase[WeightsFault](), rate: rate}
	wei.mux.HandleFunc("POST /v1/fetch", wei.serveFetch)
	return wei
}

// Fetches returns the number of fetches that were allowed.
func (wei *Weights) Fetches() int {
	wei.mtx.Lock()
	defer wei.mtx.Unlock()
	return wei.fetches
}

func (wei *Weights) serveFetch(wri http.ResponseWriter, _ *http.Request) {
	wait := wei.take(time.Now())
	if wait > 0 {
		ms := wait.Round(time.Millisecond).Milliseconds()
		reply(wri, http.StatusTooManyRequests, retryAfter{Milliseconds: max(ms, 1)})
		return
	}
	wri.WriteHeader(http.StatusOK)
}

// take counts a fetch and returns zero, or returns how long to wait.
func (wei *Weights) take(now time.Time) time.Duration {
	wei.mtx.Lock()
	defer wei.mtx.Unlock()
	rate := wei.rate
	if wei.fault.Rate > 0 {
		rate = wei.fault.Rate
	}
	if rate > 0 && now.Before(wei.free) {
		return wei.free.Sub(now)
	}
	if rate > 0 {
		wei.free = now.Add(time.Duration(float64(time.Second) / rate))
	}
	wei.fetches++
	return 0
}
