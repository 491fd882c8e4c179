package admit

import (
	"math"
	"time"
)

const (
	// pressureTimeConstant is the time constant with which pressure that is not
	// reported any more decays. Several reports of a node are missing within it.
	pressureTimeConstant = time.Second
	// maxReserveRatio is the largest part of a batch that is left to more urgent
	// requests: as many requests as may wait at a server, minReserveRatio the least
	// part for which a slot is left, because some requests are always late.
	maxReserveRatio = 0.15
	minReserveRatio = 0.02
	// noReserveRatio is the part of a level's requests that is served, relative to the
	// mean, at which it leaves no slots any more, fullReserveRatio that from which on it
	// leaves all. Otherwise it would find no place in batches that are almost full.
	noReserveRatio   = 0.4
	fullReserveRatio = 0.6
	// maxStaleness is the age of the last update beyond which an entry VM doesn't know
	// the pressure, for example after a freeze.
	maxStaleness = time.Second
	// maxBlindTime is the time after which entry VMs that report nothing count as gone.
	maxBlindTime = 5 * time.Second
)

// pressure is what the refused and late requests of all entry VMs say of each urgency.
type pressure struct {
	// held is the demand in groups that was refused or late, by urgency, served the
	// part of the requests that is not refused.
	held, served map[int]float64
	// meanServed is the part of all requests that is not refused.
	meanServed float64
	groups     float64
	updatedAt  time.Time
	startedAt  time.Time
	// expectedPeers is the number of entry VMs that report as a rule, blindSince the
	// time since which fewer than half of them do.
	expectedPeers int
	blindSince    time.Time
}

func newPressure() pressure {
	return pressure{held: map[int]float64{}, served: map[int]float64{}, meanServed: 1}
}

// update replaces the state by the totals of all entry VMs. Pressure that the totals
// don't show any more decays, so that a lost report doesn't end it.
func (prs *pressure) update(totals levelTotals, peers int, groups float64, now time.Time) {
	if prs.startedAt.IsZero() {
		prs.startedAt = now
	}
	decay := math.Exp(-now.Sub(prs.updatedAt).Seconds() / pressureTimeConstant.Seconds())
	for urgency, val := range prs.held {
		prs.held[urgency] = val * decay
	}
	clear(prs.served)
	sum := levelTotal{}
	for _, total := range totals {
		prs.held[total.urgency] = max(prs.held[total.urgency], total.refused+total.late)
		prs.served[total.urgency] = total.served()
		sum = sum.plus(total.levelTotal)
	}
	prs.meanServed, prs.groups, prs.updatedAt = sum.served(), groups, now
	prs.countPeers(peers, now)
}

// served returns the part of the requests that is not refused.
func (total levelTotal) served() float64 {
	if total.offered < minDemand {
		return 1
	}
	return max(0, 1-total.refused/total.offered)
}

// countPeers updates the number of entry VMs that are expected to report.
func (prs *pressure) countPeers(peers int, now time.Time) {
	if 2*peers >= prs.expectedPeers {
		prs.expectedPeers, prs.blindSince = max(peers, prs.expectedPeers), time.Time{}
		return
	}
	if prs.blindSince.IsZero() {
		prs.blindSince = now
	}
	if now.Sub(prs.blindSince) > maxBlindTime {
		prs.expectedPeers, prs.blindSince = peers, time.Time{}
	}
}

// blind reports whether this entry VM can't know the pressure: in its first second,
// after a freeze, and while it hears from few others.
func (prs *pressure) blind(now time.Time) bool {
	return now.Sub(prs.updatedAt) > maxStaleness || now.Sub(prs.startedAt) < startupTime || !prs.blindSince.IsZero()
}

// reserveRatio returns the part of a batch that requests of an urgency leave to more
// urgent ones.
func (prs *pressure) reserveRatio(urgency int, now time.Time) float64 {
	out := maxReserveRatio
	if !prs.blind(now) {
		sum := 0.0
		for other, val := range prs.held {
			if other < urgency {
				sum += val
			}
		}
		out = min(sum/max(prs.groups, 1), maxReserveRatio)
	}
	served, known := prs.served[urgency]
	if !known {
		served = 1
	}
	scale := (served/max(prs.meanServed, minDemand) - noReserveRatio) / (fullReserveRatio - noReserveRatio)
	return out * min(max(scale, 0), 1)
}

// Reserve returns how many slots of a batch a request leaves to more urgent ones. They
// come back as the pressure that the reports state decays. An entry VM that does not
// know the pressure leaves them too: the others may have given them to urgent requests.
func (shr *Shares) Reserve(urgency, slots int, now time.Time) int {
	if !shr.HasLevels() || urgency <= shr.levels[0] {
		return 0
	}
	ratio := shr.pressure.reserveRatio(urgency, now)
	if ratio < minReserveRatio {
		return 0
	}
	return int(math.Ceil(ratio * float64(slots)))
}

// UnderPressure reports whether the least urgent requests leave slots to others.
func (shr *Shares) UnderPressure(now time.Time) bool {
	return shr.HasLevels() && !shr.pressure.blind(now) && shr.Reserve(shr.levels[len(shr.levels)-1], 1, now) > 0
}

// Chance returns the fraction of the requests of a class that is served now, as far as
// it is known.
func (shr *Shares) Chance(cls Class) float64 {
	if served, known := shr.pressure.served[cls.Urgency]; known && shr.HasLevels() {
		return min(served, shr.RatioOf(cls))
	}
	return shr.RatioOf(cls)
}
