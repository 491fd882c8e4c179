package admit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

const (
	// demandTimeConstant is the time constant of an organisation's demand.
	demandTimeConstant = 500 * time.Millisecond
	// usualTimeConstant is the time constant of what an organisation usually
	// asks for, which is its weight. A flood of some seconds hardly changes it.
	usualTimeConstant = 20 * time.Second
	// minUsualSeconds is the least time over which the usual demand is averaged.
	minUsualSeconds = 1.0
	// startupTime is the time after the start in which nothing is limited.
	startupTime = time.Second
	// learningTime is the time after the start in which the usual demand follows
	// the demand, usualGrowth the fraction by which it grows at most in a second
	// after that.
	learningTime = 8 * time.Second
	usualGrowth  = 0.02
	// minWeightRatio is the least weight of an organisation relative to the mean.
	minWeightRatio = 0.25
	// targetUtilisation is the utilisation of the groups that a limited load
	// aims at. Requests that wait beyond it start late.
	targetUtilisation = 0.95
	// roomUtilisation is the utilisation up to which nothing is limited, whatever
	// the demand is estimated to be.
	roomUtilisation = 0.8
	// calmInterval is the interval at which the demand is summed up over all entry
	// VMs while nothing is limited.
	calmInterval = 480 * time.Millisecond
	// integralGain is the change of the correction per second and unit of
	// difference between the utilisation and its target, proportionalGain the
	// part of the capacity that one unit takes off at once.
	integralGain     = 0.2
	proportionalGain = 0.8
	// minCorrection and maxCorrection limit the ratio of the real capacity of the
	// groups to the computed one.
	minCorrection = 0.6
	maxCorrection = 1.8
)

// Shares divides the capacity of a model's groups between organisations. Each
// entry VM has one for each model. It measures the demand of its own callers,
// as the mean number of groups that their requests keep busy, and receives that
// of the other entry VMs. If the sum exceeds the capacity, each organisation is
// admitted up to a multiple of its usual demand that is the same for all
// (weighted max-min fairness): what one does not use goes to the others, and one
// that sends far more than it usually does takes no place from one that does
// not.
//
// With levels (SetLevels) the capacity is divided between urgencies first, the
// highest first after a minimum for each, and then between the organisations of
// each urgency.
//
// An entry VM admits the same fraction of an organisation's requests as the
// others, so that no count of places has to be agreed on.
//
// Shares is a state machine without a clock. It is not safe for concurrent use.
type Shares struct {
	// classes holds the state of each class, byClass finds it.
	classes []*classState
	byClass map[Class]*classState
	peers   map[string]peerDemand
	// limited is the number of classes that are limited.
	limited int
	// correction is the ratio of the capacity that the groups are found to have
	// to the computed one.
	correction             float64
	startedAt, rebalanceAt time.Time
	// learningSince is when the classes of the usual demand last changed, or the start.
	learningSince time.Time
	// levels are the urgencies in use, nil without levels. The fields below are
	// used with levels only.
	levels []int
	// node is the name of this entry VM.
	node string
	// refused and late are the group times of own requests that were refused or
	// began late, by urgency.
	refused, late map[int]*decayingRate
	pressure      pressure
}

// peerDemand is the demand of another entry VM, valid until expiresAt.
type peerDemand struct {
	demand    []classDemand
	totals    levelTotals
	expiresAt time.Time
}

// decayingRate is a rate that is averaged exponentially over time.
type decayingRate struct {
	value float64
	at    time.Time
}

func (rate *decayingRate) add(amount float64, now time.Time) {
	rate.value = rate.current(now) + amount/demandTimeConstant.Seconds()
	rate.at = now
}

func (rate *decayingRate) current(now time.Time) float64 {
	return rate.value * math.Exp(-now.Sub(rate.at).Seconds()/demandTimeConstant.Seconds())
}

// NewShares returns a Shares that admits everything until Rebalance is called.
func NewShares() *Shares {
	return &Shares{
		byClass: map[Class]*classState{}, peers: map[string]peerDemand{}, correction: 1,
		refused: map[int]*decayingRate{}, late: map[int]*decayingRate{}, pressure: newPressure(),
	}
}

// SetLevels sets the urgencies in use, the highest first. With fewer than two, all
// requests are treated alike.
func (shr *Shares) SetLevels(levels []int) {
	if len(levels) < 2 {
		levels = nil
	}
	if !slices.Equal(levels, shr.levels) {
		shr.learningSince = time.Time{}
	}
	shr.levels = levels
}

// HasLevels reports whether levels are in use.
func (shr *Shares) HasLevels() bool { return shr.levels != nil }

// Offer counts a request that keeps one group busy for the given time, and
// reports whether it is admitted. The admitted requests of an organisation that
// is limited are spread evenly.
func (shr *Shares) Offer(org core.OrgName, groupTime time.Duration, now time.Time) bool {
	return shr.OfferClass(Class{Org: org}, groupTime, now)
}

// OfferClass is Offer for a request with an urgency.
func (shr *Shares) OfferClass(cls Class, groupTime time.Duration, now time.Time) bool {
	cst := shr.state(cls)
	if !cst.offered {
		cst.own, cst.offered = decayingRate{at: now}, true
	}
	cst.own.add(groupTime.Seconds(), now)
	if !cst.limited || shr.spend(cst) {
		return true
	}
	if shr.HasLevels() {
		shr.RecordRefused(cls.Urgency, groupTime, now)
	}
	return false
}

// SetNode sets the name of this entry VM, which must differ from those of the others.
// With levels, entry VMs round the admitted fraction of rare requests differently.
func (shr *Shares) SetNode(name string) { shr.node = name }

// initialCredit returns the credit of a class at its first limited request, evenly
// distributed in [0, 1) over the entry VMs. If it were zero at all of them, they would
// refuse the first requests of every class, which are most of its requests where many
// entry VMs share them.
func (shr *Shares) initialCredit(cls Class) float64 {
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d/%s", shr.node, cls.Urgency, cls.Org))
	return float64(hash>>11) / (1 << 53)
}

// spend adds the ratio to the credit of a class, and takes one from it if it can.
func (shr *Shares) spend(cst *classState) bool {
	if !cst.hasCredit && shr.HasLevels() {
		cst.credit = shr.initialCredit(cst.class)
	}
	cst.hasCredit = true
	cst.credit += cst.ratio
	if cst.credit < 1 {
		return false
	}
	cst.credit--
	return true
}

// minDemand is the demand below which an organisation is left out of reports.
const minDemand = 0.001

// Demand returns the demand of this entry VM's callers, in groups.
func (shr *Shares) Demand(now time.Time) map[core.OrgName]float64 {
	out := map[core.OrgName]float64{}
	for cst, val := range shr.ownDemand(now) {
		out[cst.class.Org] += val
	}
	return out
}

// UpdatePeer replaces the demand that another entry VM reported. With levels, which
// that entry VM does not know yet, its demand counts as the least urgent.
func (shr *Shares) UpdatePeer(node string, demand map[core.OrgName]float64, expiresAt time.Time) {
	urgency := 0
	if shr.HasLevels() {
		urgency = shr.levels[len(shr.levels)-1]
	}
	peer := peerDemand{demand: make([]classDemand, 0, len(demand)), expiresAt: expiresAt}
	for org, val := range demand {
		peer.add(shr.state(Class{Urgency: urgency, Org: org}), val)
	}
	shr.peers[node] = peer
}

// Rebalance updates the shares for the capacity of the serving groups, in groups that
// take all that is published of them, and for their mean utilisation: the fraction of the
// batch that requests occupy, waiting ones included. Call it about every 100 ms.
//
// Nothing is limited while the groups have room, without groups, and in the first second:
// after a start of all entry VMs the callers of some time arrive together, which says
// nothing about the demand.
func (shr *Shares) Rebalance(groups, utilisation float64, now time.Time) {
	if shr.HasLevels() {
		shr.pressure.update(shr.levelTotals(now), shr.validPeers(now), groups, now)
	}
	if groups == 0 || utilisation < roomUtilisation && now.Sub(shr.rebalanceAt) < calmInterval {
		shr.clearRatios()
		return
	}
	elapsed := now.Sub(shr.rebalanceAt).Seconds()
	if shr.startedAt.IsZero() {
		shr.startedAt, elapsed = now, 0
	}
	if shr.learningSince.IsZero() {
		shr.learningSince = now
	}
	shr.rebalanceAt = now
	shr.sumDemand(now)
	shr.updateFresh(elapsed)
	shr.updateUsual(elapsed, now)
	shr.correct(utilisation, min(elapsed, 1))
	if now.Sub(shr.startedAt) < startupTime || utilisation < roomUtilisation {
		shr.clearRatios()
	} else {
		factor := max(minCorrection, shr.correction+proportionalGain*(targetUtilisation-utilisation))
		shr.limit(factor * groups)
	}
	shr.prune()
}

// correct adjusts the correction by the utilisation. While nothing is limited, a
// low utilisation says nothing about the capacity, so the correction then
// returns to 1.
func (shr *Shares) correct(utilisation, elapsed float64) {
	change := integralGain * elapsed * (targetUtilisation - utilisation)
	if shr.limited == 0 && change > 0 {
		change = min(change, max(0, 1-shr.correction))
	}
	shr.correction = min(max(shr.correction+change, minCorrection), maxCorrection)
}

// updateUsual updates what the organisations usually ask for. The average
// covers the time since learningSince until usualTimeConstant has passed. After the
// first learningTime it grows slowly, so that a flood doesn't become usual.
func (shr *Shares) updateUsual(elapsed float64, now time.Time) {
	age := now.Sub(shr.learningSince)
	weight := min(1, elapsed/max(min(age, usualTimeConstant).Seconds(), elapsed, minUsualSeconds))
	for _, cst := range shr.classes {
		if !cst.asks {
			if cst.usual -= weight * cst.usual; cst.usual < minDemand {
				cst.usual = 0
			}
			continue
		}
		change := weight * (cst.fresh - cst.usual)
		if age > learningTime {
			change = min(change, usualGrowth*elapsed*max(cst.usual, minDemand))
		}
		cst.usual += change
	}
}

// limit sets the fractions of the demand of each class that are admitted so
// that their sum is the capacity.
func (shr *Shares) limit(capacity float64) {
	total := 0.0
	claims := make([]claim, 0, len(shr.classes))
	for _, cst := range shr.classes {
		if cst.asks {
			total += cst.demand
			claims = append(claims, claim{state: cst, class: cst.class, demand: cst.demand, fresh: cst.fresh, usual: cst.usual})
		}
	}
	shr.clearRatios()
	if total <= capacity {
		shr.clearCredits()
		return
	}
	open := make([]*claim, len(claims))
	for idx := range claims {
		open[idx] = &claims[idx]
	}
	if shr.HasLevels() {
		divideLevels(open, capacity)
	} else {
		fill(open, capacity)
	}
	for _, clm := range open {
		if clm.granted < clm.demand {
			clm.state.ratio, clm.state.limited = max(clm.granted, 0)/clm.demand, true
			shr.limited++
		}
	}
}

// clearRatios removes all limits.
func (shr *Shares) clearRatios() {
	if shr.limited == 0 {
		return
	}
	for _, cst := range shr.classes {
		cst.ratio, cst.limited = 0, false
	}
	shr.limited = 0
}

// clearCredits clears the credits once nothing is limited. With levels those of classes
// that have demand remain, since they are evenly distributed.
func (shr *Shares) clearCredits() {
	for _, cst := range shr.classes {
		if !shr.HasLevels() || !cst.asks || cst.demand == 0 {
			cst.credit, cst.hasCredit = 0, false
		}
	}
}

// Ratio returns the fraction of an organisation's requests that is admitted.
func (shr *Shares) Ratio(org core.OrgName) float64 { return shr.RatioOf(Class{Org: org}) }

// RatioOf is Ratio for requests with an urgency.
func (shr *Shares) RatioOf(cls Class) float64 {
	if cst := shr.byClass[cls]; cst != nil {
		return cst.admitted()
	}
	return 1
}
