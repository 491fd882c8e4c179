package share

import (
	"slices"
	"time"
)

const (
	// gapSmoothing is the weight of a new sample in the moving average.
	gapSmoothing = 0.1
	// minGapSamples is the number of samples from which the average is used.
	minGapSamples = 8
	// slowFactor is the ratio to the median of its model above which a server
	// counts as slow. Differences in batch size account for a factor below two.
	slowFactor = 2.5
)

// RecordEventGap records the interval between two events of a stream of the
// model.
func (bal *Balancer) RecordEventGap(id, model string, gap time.Duration) {
	stats := bal.statsOf(id)
	stats.model = model
	stats.gapSamples++
	if stats.gapSamples == 1 {
		stats.meanGap = gap
		return
	}
	stats.meanGap += time.Duration(gapSmoothing * float64(gap-stats.meanGap))
}

// SlowServers returns the IDs of the servers whose streams are much slower than
// the median of their model.
func (bal *Balancer) SlowServers() []string {
	gaps := map[string][]time.Duration{}
	for _, stats := range bal.statsByServer {
		if stats.gapSamples >= minGapSamples && stats.running > 0 {
			gaps[stats.model] = append(gaps[stats.model], stats.meanGap)
		}
	}
	for _, all := range gaps {
		slices.Sort(all)
	}
	var out []string
	for id, stats := range bal.statsByServer {
		all := gaps[stats.model]
		if stats.gapSamples >= minGapSamples && stats.running > 0 && float64(stats.meanGap) > slowFactor*float64(all[(len(all)-1)/2]) {
			out = append(out, id)
		}
	}
	return out
}
