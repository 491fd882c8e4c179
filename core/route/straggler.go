package route

import "slices"

// markStragglers marks the candidates whose mean latency is above SlowFactor
// times the median, but at most the slowest third.
func (rtr *Router) markStragglers() {
	rtr.latencies = rtr.latencies[:0]
	for idx := range rtr.candidates {
		if grp := rtr.candidates[idx].group; grp.samples >= rtr.cfg.MinSamples {
			rtr.latencies = append(rtr.latencies, grp.meanLatency)
		}
	}
	num := len(rtr.latencies)
	if num < 3 {
		return
	}
	slices.Sort(rtr.latencies)
	maxLatency := rtr.latencies[(num-1)/2] * rtr.cfg.SlowFactor
	allowed := len(rtr.candidates) / 3
	least := rtr.latencies[max(0, num-max(1, allowed))]
	for idx := range rtr.candidates {
		cand := &rtr.candidates[idx]
		slow := cand.group.samples >= rtr.cfg.MinSamples && cand.group.meanLatency > maxLatency
		if slow && cand.group.meanLatency >= least && allowed > 0 {
			cand.straggler = true
			allowed--
		}
	}
}

// chooseProbe returns a straggler for one in ProbeEvery requests, and -1
// otherwise. It chooses the straggler with the fewest samples.
func (rtr *Router) chooseProbe(rnd uint64) int {
	if splitMix64(rnd)%uint64(rtr.cfg.ProbeEvery) != 0 {
		return -1
	}
	best := -1
	for idx := range rtr.candidates {
		if !rtr.candidates[idx].straggler || rtr.candidates[idx].load >= 1 {
			continue
		}
		if best < 0 || rtr.candidates[idx].group.samples < rtr.candidates[best].group.samples {
			best = idx
		}
	}
	return best
}
