package base

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
)

// RoundRobin chooses the candidates in turn.
type RoundRobin struct{ next uint64 }

// LeastLoaded chooses the candidate with the smallest load per unit of
// capacity. The load is the one last reported, or the number of own in-flight
// requests if that is larger. The first of several equal candidates is chosen.
type LeastLoaded struct{}

// Random chooses each candidate with the same probability.
type Random struct{}

// Rendezvous chooses the first candidate in the rendezvous ranking of the
// first prefix block, regardless of its load. Without blocks it chooses at
// random.
type Rendezvous struct{}

var (
	_ core.Chooser = (*RoundRobin)(nil)
	_ core.Chooser = LeastLoaded{}
	_ core.Chooser = Random{}
	_ core.Chooser = Rendezvous{}
)

// Choose returns the index of the next candidate, or -1 if there is none.
func (rr *RoundRobin) Choose(cands []core.Candidate, _ []uint64, _ time.Time, _ uint64) int {
	if len(cands) == 0 {
		return -1
	}
	rr.next++
	return int((rr.next - 1) % uint64(len(cands)))
}

// Choose returns the index of the least loaded candidate, or -1 if there is
// none.
func (LeastLoaded) Choose(cands []core.Candidate, _ []uint64, _ time.Time, _ uint64) int {
	best, least := -1, 0.0
	for idx := range cands {
		cand := &cands[idx]
		load := float64(max(cand.Load.Running+cand.Load.Queued, cand.InFlight)) / float64(max(1, cand.Capacity))
		if best < 0 || load < least {
			best, least = idx, load
		}
	}
	return best
}

// Choose returns a random index, or -1 if there is no candidate.
func (Random) Choose(cands []core.Candidate, _ []uint64, _ time.Time, rnd uint64) int {
	if len(cands) == 0 {
		return -1
	}
	return int(rnd % uint64(len(cands)))
}

// Choose returns the index of the first candidate in the ranking, or -1 if
// there is none.
func (Rendezvous) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	if len(blocks) == 0 {
		return Random{}.Choose(cands, nil, now, rnd)
	}
	best, top := -1, uint64(0)
	for idx := range cands {
		val := rendezvousHash(cands[idx].Group, blocks[0])
		if best < 0 || val > top {
			best, top = idx, val
		}
	}
	return best
}

func rendezvousHash(name core.GroupName, block uint64) uint64 {
	digest := xxhash.NewWithSeed(block)
	_, _ = digest.WriteString(string(name))
	return digest.Sum64()
}
