package route

import "slices"

// mark finds the stragglers among views: those whose mean latency is above
// Slow times the median, the slowest third at most.
func (rtr *Router) mark() {
	rtr.floats = rtr.floats[:0]
	for idx := range rtr.views {
		if grp := rtr.views[idx].grp; grp.served >= rtr.cfg.MinServed {
			rtr.floats = append(rtr.floats, grp.slow)
		}
	}
	num := len(rtr.floats)
	if num < 3 {
		return
	}
	slices.Sort(rtr.floats)
	bound := rtr.floats[(num-1)/2] * rtr.cfg.Slow
	allowed := len(rtr.views) / 3
	least := rtr.floats[max(0, num-max(1, allowed))]
	for idx := range rtr.views {
		vw := &rtr.views[idx]
		slow := vw.grp.served >= rtr.cfg.MinServed && vw.grp.slow > bound
		if slow && vw.grp.slow >= least && allowed > 0 {
			vw.slow = true
			allowed--
		}
	}
}

// probe returns a straggler for one of ProbeEvery requests, and else -1. It
// takes the one that was probed least.
func (rtr *Router) probe(rnd uint64) int {
	if mix(rnd)%uint64(rtr.cfg.ProbeEvery) != 0 {
		return -1
	}
	best := -1
	for idx := range rtr.views {
		if !rtr.views[idx].slow || rtr.views[idx].load >= 1 {
			continue
		}
		if best < 0 || rtr.views[idx].grp.served < rtr.views[best].grp.served {
			best = idx
		}
	}
	return best
}
