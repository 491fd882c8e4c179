package admit

import (
	"math"
	"time"

	"kumquathinge/core/site"
)

// freshPart returns the part of the demand that is new, given the fraction of requests
// that is refused and that a refused caller returns once: of every new request, that
// fraction is offered again.
func freshPart(refused float64) float64 { return 1 / (1 + min(max(refused, 0), 1)) }

// updateFresh sets the demand of each class without callers that return after a refusal.
// It updates the mean ratios, because the demand is averaged over the same time. Without
// levels all demand counts.
func (shr *Shares) updateFresh(elapsed float64) {
	weight := 1 - math.Exp(-elapsed/demandTimeConstant.Seconds())
	for _, cst := range shr.classes {
		cst.fresh = cst.demand
		switch {
		case !shr.HasLevels():
		case cst.demand == 0:
			cst.meanRatio, cst.hasMean = 0, false
		default:
			if !cst.hasMean {
				cst.meanRatio, cst.hasMean = 1, true
			}
			cst.meanRatio += weight * (cst.admitted() - cst.meanRatio)
			cst.fresh = cst.demand * freshPart(1-cst.meanRatio)
		}
	}
}

// ModelDemand returns the demand of the callers of all entry VMs. Without levels the
// refused demand is that of the shares alone, and all demand has urgency 0.
func (shr *Shares) ModelDemand(now time.Time) site.ModelDemand {
	totals := shr.levelTotals(now)
	if !shr.HasLevels() {
		shr.sumDemand(now)
		sum := levelTotal{}
		for _, cst := range shr.classes {
			sum.offered += cst.demand
			sum.refused += cst.demand * (1 - cst.admitted())
		}
		totals = levelTotals{{levelTotal: sum}}
	}
	out := site.ModelDemand{}
	for _, total := range totals.sorted() {
		if total.offered < minDemand {
			continue
		}
		refused := min(total.refused/total.offered, 1)
		// The correction turns computed groups into groups as they are found to be.
		asked := total.offered * freshPart(refused) / shr.correction
		out.Levels = append(out.Levels, site.LevelDemand{Urgency: total.urgency, Asked: asked, Refused: asked * refused * refused})
	}
	return out
}

// Times for which refused callers are told to wait.
const (
	// minReturnTime is the least time. A place that comes free within it is known to
	// other entry VMs only after it.
	minReturnTime = 50 * time.Millisecond
	// maxReturnTime is the longest time. Most overloads that no capacity is added for
	// last a few seconds.
	maxReturnTime = 2400 * time.Millisecond
	// minReturnSpread is the least difference between the earliest and the latest return.
	minReturnSpread = 100 * time.Millisecond
	// maxWaitPart is the largest part of the time that it has left that a caller waits.
	maxWaitPart = 1.0 / 3
)

// RetryWindow returns the times between which a refused caller should return. chance is
// the fraction of its requests that is served now, left the time until its deadline and
// service the time that the request takes. A caller that is likely to be served at its
// return is told to come soon, because a late answer is worth little; one that is
// likely to be refused again waits as long as it can, for the overload to end. Longer
// times than it waits would make callers return together.
//
// A caller that can't be served in time any more is told the time for its next request.
func RetryWindow(chance float64, left, service time.Duration) (from, to time.Duration) {
	latest := left - service
	if latest <= minReturnTime {
		return maxReturnTime / 2, maxReturnTime
	}
	horizon := min(time.Duration(maxWaitPart*float64(left)), latest, maxReturnTime)
	mean := time.Duration((1 - min(max(chance, 0), 1)) * float64(horizon))
	to = min(max(mean+mean/2, minReturnTime+minReturnSpread), horizon)
	return min(max(mean/2, minReturnTime), to/2), to
}
