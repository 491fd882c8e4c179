package repair

import (
	"slices"
	"time"

	"kumquathinge/core"
)

const (
	maxReturns = 64

	// returnWeight is the weight of an absence that was seen against one of
	// priorReturns.
	returnWeight = 3

	// defaultLoad stands for the time of a load until one was seen.
	defaultLoad = 2 * time.Minute

	// loadBlend is the weight of the newest load in their running mean.
	loadBlend = 0.3
)

// returned is one absence of a VM that ended. Intact states that the same
// process came back.
type returned struct {
	after  time.Duration
	intact bool
}

// priorReturns are absences, in parts of Weights.ReturnWait, that stand for
// experience until there is some.
var priorReturns = []struct {
	parts  float64
	intact bool
}{
	{0.1, true}, {0.25, true}, {0.5, true}, {1, true}, {1, true},
	{0.75, false}, {4, false}, {12, false},
}

// history is what a Controller has learned of absences and loads.
type history struct {
	returns []returned
	next    int
	loads   map[core.ModelName]time.Duration
}

func newHistory() *history {
	return &history{loads: make(map[core.ModelName]time.Duration)}
}

func (hst *history) returned(after time.Duration, intact bool) {
	ret := returned{after: after, intact: intact}
	if len(hst.returns) < maxReturns {
		hst.returns = append(hst.returns, ret)
		return
	}
	hst.returns[hst.next] = ret
	hst.next = (hst.next + 1) % maxReturns
}

func (hst *history) loaded(mod core.ModelName, took time.Duration) {
	old, ok := hst.loads[mod]
	if !ok {
		hst.loads[mod] = took
		return
	}
	hst.loads[mod] = old + time.Duration(loadBlend*float64(took-old))
}

// load returns the expected time of one load of the model.
func (hst *history) load(mod core.ModelName) time.Duration {
	took, ok := hst.loads[mod]
	if !ok {
		return defaultLoad
	}
	return took
}

// beyond returns the known absences, priors included, that last longer than
// gone, shortest first.
func (hst *history) beyond(gone, wait time.Duration) []returned {
	var out []returned
	for _, pri := range priorReturns {
		out = append(out, returned{after: time.Duration(pri.parts * float64(wait)), intact: pri.intact})
	}
	for range returnWeight {
		out = append(out, hst.returns...)
	}
	out = slices.DeleteFunc(out, func(ret returned) bool { return ret.after <= gone })
	slices.SortFunc(out, func(are, bre returned) int { return int(are.after - bre.after) })
	return out
}
