// Package chsts provides the conformance tests of core.Chooser. The tests of
// every implementation call Run.
package chsts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kumquathinge/core"
)

// Run tests an implementation. The function newChooser returns a new Chooser
// that shares no state with others; all of them must behave identically.
func Run(t *testing.T, newChooser func() core.Chooser) {
	t.Helper()
	t.Run("empty", func(t *testing.T) {
		assert.Equal(t, newChooser().Choose(nil, []uint64{1}, time.Unix(1, 0), 7), -1)
	})
	t.Run("range and determinism", func(t *testing.T) {
		rapid.Check(t, func(rt *rapid.T) { checkDeterministic(rt, newChooser(), newChooser()) })
	})
	t.Run("spread", func(t *testing.T) {
		for _, groups := range []int{1, 2, 3, 8, 70} {
			checkSpread(t, newChooser(), groups)
		}
	})
}

// checkDeterministic checks that both choosers select the same candidate for
// the same inputs, with random sets of groups, and don't modify the inputs.
func checkDeterministic(rt *rapid.T, first, second core.Chooser) {
	now := time.Unix(1000, 0)
	for range rapid.IntRange(1, 30).Draw(rt, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(0, 1e9).Draw(rt, "gap")))
		cands := rapid.SliceOfN(candidate(now), 1, 12).Draw(rt, "cands")
		blocks := rapid.SliceOfN(rapid.Uint64Range(0, 9), 0, 5).Draw(rt, "blocks")
		rnd := rapid.Uint64().Draw(rt, "rnd")
		candsBefore, blocksBefore := slices.Clone(cands), slices.Clone(blocks)
		idx := first.Choose(cands, blocks, now, rnd)
		if idx < 0 || idx >= len(cands) {
			rt.Fatalf("index %d of %d candidates", idx, len(cands))
		}
		if other := second.Choose(cands, blocks, now, rnd); other != idx {
			rt.Fatalf("chose %d and %d from the same input", idx, other)
		}
		assert.DeepEqual(rt, cands, candsBefore)
		assert.DeepEqual(rt, blocks, blocksBefore)
	}
}

func candidate(now time.Time) *rapid.Generator[core.Candidate] {
	return rapid.Custom(func(rt *rapid.T) core.Candidate {
		cand := core.Candidate{
			Group:        core.GroupName(fmt.Sprint("g", rapid.IntRange(0, 20).Draw(rt, "group"))),
			FencingToken: core.Offset(rapid.Uint64Range(0, 3).Draw(rt, "order")),
			InFlight:     rapid.IntRange(0, 50).Draw(rt, "inflight"),
			Capacity:     rapid.IntRange(0, 32).Draw(rt, "capacity"),
		}
		if rapid.Bool().Draw(rt, "reported") {
			cand.LoadAt = now.Add(-time.Duration(rapid.IntRange(0, 20e9).Draw(rt, "age")))
			cand.Load.Running = rapid.IntRange(0, 50).Draw(rt, "running")
			cand.Load.Queued = rapid.IntRange(0, 50).Draw(rt, "queued")
		}
		return cand
	})
}

// checkSpread sends requests with unrelated prompts that never complete, and
// checks that every group receives some.
func checkSpread(t *testing.T, chooser core.Chooser, groups int) {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, uint64(groups)))
	cands := make([]core.Candidate, groups)
	for idx := range cands {
		cands[idx].Group = core.GroupName(fmt.Sprint("g", idx))
		cands[idx].Capacity = 4
	}
	for range 60 * groups {
		idx := chooser.Choose(cands, []uint64{rng.Uint64()}, time.Unix(1, 0), rng.Uint64())
		cands[idx].InFlight++
	}
	for idx := range cands {
		assert.Assert(t, cands[idx].InFlight > 0, "group %d of %d received no requests", idx, groups)
	}
}
