package admit

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// minLevelRatio is the least part of a level's demand that is admitted, relative to
	// the mean of all levels. Callers need a quarter; the rest allows for requests that
	// find no slot at a head.
	minLevelRatio = 0.5
	// levelRise is how much higher this part is for each level than for the next one,
	// so that chance doesn't reverse their order.
	levelRise = 0.1
	// minClassRatio is this part for an organisation within a level. Every point above
	// a quarter goes to organisations that flood.
	minClassRatio = 0.35
	// maxFloorPart is the largest part of a level that is divided by demand instead of
	// by the usual demand of its organisations.
	maxFloorPart = 0.8
)

// claim is the demand of a class and what it is granted, in groups.
type claim struct {
	state *classState
	class Class
	// demand includes callers that return after a refusal, fresh does not.
	demand, fresh float64
	// usual is the usual demand, which determines the weight.
	usual, weight float64
	// floor is the least grant.
	floor, granted float64
}

// fill divides the capacity between claims by weighted max-min fairness. The sum of
// the floors must not exceed the capacity.
func fill(claims []*claim, capacity float64) {
	usual := 0.0
	for _, clm := range claims {
		usual += clm.usual
	}
	least := max(minDemand, minWeightRatio*usual/float64(max(1, len(claims))))
	for _, clm := range claims {
		clm.weight = max(clm.usual, least)
	}
	open := slices.SortedFunc(slices.Values(claims), func(one, two *claim) int {
		return cmp.Or(cmp.Compare(one.demand/one.weight, two.demand/two.weight), one.class.compare(two.class))
	})
	for raised := true; raised; {
		fillByWeight(open, capacity)
		raised = false
		open = slices.DeleteFunc(open, func(clm *claim) bool {
			if clm.granted >= clm.floor {
				return false
			}
			clm.granted, raised = clm.floor, true
			capacity -= clm.floor
			return true
		})
	}
}

// fillByWeight divides the capacity between claims that are sorted by their demand
// relative to their weight.
func fillByWeight(claims []*claim, capacity float64) {
	weights := 0.0
	for _, clm := range claims {
		weights += clm.weight
	}
	for _, clm := range claims {
		clm.granted = min(capacity*clm.weight/weights, clm.demand)
		capacity -= clm.granted
		weights -= clm.weight
	}
}

// divideLevels divides the capacity, which is less than the demand, between levels and
// their claims. Each level gets a minimum by its demand without returning callers, and
// the rest goes to the levels in their order.
func divideLevels(claims []*claim, capacity float64) {
	byLevel := map[int][]*claim{}
	demand, fresh := map[int]float64{}, map[int]float64{}
	totalDemand, totalFresh := 0.0, 0.0
	for _, clm := range claims {
		urgency := clm.class.Urgency
		byLevel[urgency] = append(byLevel[urgency], clm)
		demand[urgency] += clm.demand
		fresh[urgency] += clm.fresh
		totalDemand += clm.demand
		totalFresh += clm.fresh
	}
	levels := slices.Sorted(maps.Keys(byLevel))
	least := map[int]float64{}
	for pos, urgency := range levels {
		ratio := minLevelRatio * (1 + levelRise*float64(len(levels)-1-pos))
		least[urgency] = min(ratio*capacity*fresh[urgency]/totalFresh, demand[urgency])
	}
	rest := capacity
	for _, val := range least {
		rest -= val
	}
	for _, urgency := range levels {
		granted := min(least[urgency]+max(0, rest), demand[urgency])
		rest -= granted - least[urgency]
		floor := min(minClassRatio*capacity/totalDemand, maxFloorPart*granted/demand[urgency])
		for _, clm := range byLevel[urgency] {
			clm.floor = floor * clm.demand
		}
		fill(byLevel[urgency], granted)
	}
}
