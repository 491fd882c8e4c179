package base

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// RoundRobin takes the candidates in turn.
type RoundRobin struct{ next uint64 }

// LeastLoaded takes the candidate with the smallest load in its last report,
// or own requests in flight if these are more, per unit of capacity. Ties go
// to the first.
type LeastLoaded struct{}

// Random takes each candidate with the same probability.
type Random struct{}

// Strict takes the candidate that a rendezvous ranking gives for the first
// prefix block, whatever its load, and a random one without blocks.
type Strict struct{}

var (
	_ core.Chooser = (*RoundRobin)(nil)
	_ core.Chooser = LeastLoaded{}
	_ core.Chooser = Random{}
	_ core.Chooser = Strict{}
)

// Choose returns the index of the next candidate, or -1 without any.
func (rrb *RoundRobin) Choose(cands []core.Candidate, _ []uint64, _ time.Time, _ uint64) int {
	if len(cands) == 0 {
		return -1
	}
	rrb.next++
	return int((rrb.next - 1) % uint64(len(cands)))
}

// Choose returns the index of the least loaded candidate, or -1 without any.
func (LeastLoaded) Choose(cands []core.Candidate, _ []uint64, _ time.Time, _ uint64) int {
	best, least := -1, 0.0
	for idx := range cands {
		cnd := &cands[idx]
		load := float64(max(cnd.Load.Running+cnd.Load.Queued, cnd.InFlight)) / float64(max(1, cnd.Capacity))
		if best < 0 || load < least {
			best, least = idx, load
		}
	}
	return best
}

// Choose returns a random index, or -1 without any candidate.
func (Random) Choose(cands []core.Candidate, _ []uint64, _ time.Time, rnd uint64) int {
	if len(cands) == 0 {
		return -1
	}
	return int(rnd % uint64(len(cands)))
}

// Choose returns the index of the first candidate of the ranking, or -1
// without any.
func (Strict) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	if len(blocks) == 0 {
		return Random{}.Choose(cands, nil, now, rnd)
	}
	best, top := -1, uint64(0)
	for idx := range cands {
		val := rank(cands[idx].Group, blocks[0])
		if best < 0 || val > top {
			best, top = idx, val
		}
	}
	return best
}

func rank(name core.GroupName, block uint64) uint64 {
	dig := xxhash.NewWithSeed(block)
	_, _ = dig.WriteString(string(name))
	return dig.Sum64()
}
