package stand

import (
	"net/http"
	"time"
)

// WeightsFault holds the faults of Weights.
type WeightsFault struct {
	Fault
	// Rate replaces the rate limit, in fetches per second. Zero keeps it.
	Rate float64 `json:"rate,omitempty"`
}

type retryBody struct {
	Milliseconds int64 `json:"retry_ms"`
}

// Weights is a stand-in of the weight store.
type Weights struct {
	*base[WeightsFault]
	rate        float64
	nextFetchAt time.Time
	fetches     int
}

// NewWeights returns a store that allows rate fetches per second. Zero means no
// limit.
func NewWeights(rate float64) *Weights {
	weights := &Weights{base: newBase[WeightsFault](), rate: rate}
	weights.mux.HandleFunc("POST /v1/fetch", weights.serveFetch)
	return weights
}

// Fetches returns the number of allowed fetches.
func (weights *Weights) Fetches() int {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	return weights.fetches
}

func (weights *Weights) serveFetch(rw http.ResponseWriter, _ *http.Request) {
	delay := weights.tryFetch(time.Now())
	if delay > 0 {
		ms := delay.Round(time.Millisecond).Milliseconds()
		writeJSON(rw, http.StatusTooManyRequests, retryBody{Milliseconds: max(ms, 1)})
		return
	}
	rw.WriteHeader(http.StatusOK)
}

// tryFetch counts a fetch and returns zero. If the rate limit does not allow it, it
// returns the delay until the next fetch is allowed.
func (weights *Weights) tryFetch(now time.Time) time.Duration {
	weights.mu.Lock()
	defer weights.mu.Unlock()
	rate := weights.rate
	if weights.fault.Rate > 0 {
		rate = weights.fault.Rate
	}
	if rate > 0 && now.Before(weights.nextFetchAt) {
		return weights.nextFetchAt.Sub(now)
	}
	if rate > 0 {
		weights.nextFetchAt = now.Add(time.Duration(float64(time.Second) / rate))
	}
	weights.fetches++
	return 0
}
