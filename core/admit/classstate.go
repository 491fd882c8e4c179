package admit

import (
	"iter"
	"slices"
	"time"
)

// classState is what Shares keeps of a class.
type classState struct {
	class Class
	// own is the demand of this entry VM's callers, if offered is set.
	own     decayingRate
	offered bool
	// usual is the usual demand, zero if there is none.
	usual float64
	// ratio is the fraction of the requests that is admitted, if limited is set.
	ratio   float64
	limited bool
	// credit is what the admitted requests leave of the sum of the ratios, if hasCredit
	// is set.
	credit    float64
	hasCredit bool
	// meanRatio is the admitted fraction, averaged like the demand, if hasMean is set.
	meanRatio float64
	hasMean   bool
	// demand is that of all entry VMs at the last sum, fresh the part without callers
	// that return. asks is set if any entry VM reported the class.
	demand, fresh float64
	asks          bool
}

// classDemand is the demand for a class at an entry VM.
type classDemand struct {
	state  *classState
	demand float64
}

// add adds demand of a class.
func (peer *peerDemand) add(cst *classState, val float64) {
	peer.demand = append(peer.demand, classDemand{state: cst, demand: val})
	peer.totals.add(cst.class.Urgency, levelTotal{offered: val})
}

// state returns the state of a class, which it adds if there is none.
func (shr *Shares) state(cls Class) *classState {
	cst := shr.byClass[cls]
	if cst == nil {
		cst = &classState{class: cls}
		shr.byClass[cls] = cst
		shr.classes = append(shr.classes, cst)
	}
	return cst
}

// admitted returns the fraction of the requests that is admitted.
func (cst *classState) admitted() float64 {
	if cst.limited {
		return cst.ratio
	}
	return 1
}

// ownDemand yields the demand of this entry VM's callers by class.
func (shr *Shares) ownDemand(now time.Time) iter.Seq2[*classState, float64] {
	return func(yield func(*classState, float64) bool) {
		for _, cst := range shr.classes {
			if !cst.offered {
				continue
			}
			val := cst.own.current(now)
			if val < minDemand {
				cst.offered = false
				continue
			}
			if !yield(cst, val) {
				return
			}
		}
	}
}

// sumDemand sets the demand of each class to that of all entry VMs, and discards reports
// that have expired.
func (shr *Shares) sumDemand(now time.Time) {
	for _, cst := range shr.classes {
		cst.demand, cst.fresh, cst.asks = 0, 0, false
	}
	for cst, val := range shr.ownDemand(now) {
		cst.demand, cst.asks = val, true
	}
	for node, peer := range shr.peers {
		if now.After(peer.expiresAt) {
			delete(shr.peers, node)
			continue
		}
		for _, dem := range peer.demand {
			dem.state.demand += dem.demand
			dem.state.asks = true
		}
	}
}

// prune removes the classes of which nothing is kept. sumDemand precedes it, so that no
// report of an entry VM refers to them.
func (shr *Shares) prune() {
	shr.classes = slices.DeleteFunc(shr.classes, func(cst *classState) bool {
		unused := !cst.asks && !cst.offered && !cst.limited && !cst.hasCredit && !cst.hasMean && cst.usual == 0
		if unused {
			delete(shr.byClass, cst.class)
		}
		return unused
	})
}
