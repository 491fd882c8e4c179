package route_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/chsts"
	"kumquathinge/core/route"
)

var t0 = time.Unix(1_000_000, 0)

func newCandidates(num, capacity int) []core.Candidate {
	out := make([]core.Candidate, num)
	for idx := range out {
		out[idx] = core.Candidate{Group: core.GroupName(fmt.Sprint("g", idx)), FencingToken: 1, Capacity: capacity}
	}
	return out
}

func ExampleBlocks() {
	one := route.Blocks("You write alerts. Dog, brown.", 8)
	two := route.Blocks("You write alerts. Cat, black.", 8)
	fmt.Println(len(one), one[0] == two[0], one[1] == two[1], one[2] == two[2])
	// Output: 3 true true false
}

func TestConformance(t *testing.T) {
	chsts.Run(t, func() core.Chooser { return route.New(route.Config{}) })
}

func TestBlocks(t *testing.T) {
	assert.Equal(t, len(route.Blocks("", 4)), 0)
	assert.Equal(t, len(route.Blocks("abc", 4)), 0)
	assert.Equal(t, len(route.Blocks(strings.Repeat("a", 1<<20), 4)), 64)
	same := route.Blocks("aaaaaaaa", 4)
	assert.Assert(t, same[0] != same[1], "the hash of a block must cover all preceding blocks")
	assert.Assert(t, route.Blocks("bbbbaaaa", 4)[1] != same[1])
}

// TestLaggingReports sends requests while the load reports do not change, and
// checks that no group gets much more than its share.
func TestLaggingReports(t *testing.T) {
	const num, sends = 10, 400
	tests := []struct {
		name  string
		age   time.Duration
		other int // requests of other entry VMs at each group of the first half
	}{
		{"fresh reports", 0, 0},
		{"reports of 2 s ago", 2 * time.Second, 0},
		{"reports of 60 s ago", time.Minute, 0},
		{"load of other entry VMs at half of the groups", time.Second, 40},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rtr := route.New(route.Config{})
			rnd := rand.New(rand.NewPCG(1, 2))
			cands := newCandidates(num, 8)
			for idx := range cands {
				cands[idx].LoadAt = t0.Add(-tt.age)
				if idx < num/2 {
					cands[idx].Load.Running = tt.other
				}
			}
			for seq := range sends {
				idx := rtr.Choose(cands, nil, t0.Add(time.Duration(seq)*time.Millisecond), rnd.Uint64())
				cands[idx].InFlight++
			}
			level := (sends + tt.other*num/2) / num
			for idx := range cands {
				all := cands[idx].InFlight + cands[idx].Load.Running
				assert.Assert(t, all <= level*5/4, "group %d has %d requests, the mean is %d", idx, all, level)
			}
		})
	}
}

// TestRequestsEndedSinceReport checks that requests that ended after the
// report are subtracted from the reported load.
func TestRequestsEndedSinceReport(t *testing.T) {
	rtr := route.New(route.Config{Choices: 64})
	cands := newCandidates(2, 8)
	for range 20 {
		rtr.Choose(cands[:1], nil, t0, 1)
	}
	for idx := range cands {
		cands[idx].Load.Running = 20 - idx
		cands[idx].LoadAt = t0.Add(time.Second)
	}
	now := t0.Add(2 * time.Second)
	assert.Equal(t, rtr.Choose(cands, nil, now, 1), 1)
	rtr.Failed("g1", now)
	for range 15 {
		rtr.Served("g0", time.Second, now)
	}
	assert.Equal(t, rtr.Choose(cands, nil, now, 1), 0)
}

// TestAffinity routes prompts with a common prefix and checks when they go to
// the same group.
func TestAffinity(t *testing.T) {
	prompt := strings.Repeat("system ", 40)
	tests := []struct {
		name      string
		prepare   func(rtr *route.Router, cands []core.Candidate, first int)
		wantSame  bool
		wantFirst int
	}{
		{name: "kept", wantSame: true,
			prepare: func(*route.Router, []core.Candidate, int) {}},
		{name: "kept when the other groups are replaced", wantSame: true,
			prepare: func(_ *route.Router, cands []core.Candidate, first int) {
				for idx := range cands {
					if idx != first {
						cands[idx].Group += "x"
					}
				}
			}},
		{name: "in-flight requests above the bound", wantSame: false,
			prepare: func(_ *route.Router, cands []core.Candidate, first int) {
				cands[first].InFlight = 30
			}},
		{name: "reported load above the bound", wantSame: false,
			prepare: func(_ *route.Router, cands []core.Candidate, first int) {
				cands[first].Load.Queued = 30
				cands[first].LoadAt = t0
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rtr := route.New(route.Config{})
			cands := newCandidates(12, 8)
			for idx := range cands {
				cands[idx].InFlight = 4
			}
			first := rtr.Choose(cands, route.Blocks(prompt+"one", 16), t0, 3)
			tt.prepare(rtr, cands, first)
			next := rtr.Choose(cands, route.Blocks(prompt+"another", 16), t0, 4)
			assert.Equal(t, next == first, tt.wantSame)
		})
	}
}

// TestCacheEvents checks that the group with the longest cached prefix is
// chosen, and that events correct the expected cache contents.
func TestCacheEvents(t *testing.T) {
	blocks := route.Blocks(strings.Repeat("long prefix ", 20), 16)
	deep, half := blocks[len(blocks)-1], blocks[len(blocks)/2]
	tests := []struct {
		name   string
		events map[core.GroupName][]core.CacheEvent
		order  core.Offset // of g7, set after the events
		want   core.GroupName
	}{
		{name: "present", want: "g7", events: map[core.GroupName][]core.CacheEvent{
			"g7": {{Seq: 1, Block: deep, Present: true}}}},
		{name: "longer prefix wins", want: "g3", events: map[core.GroupName][]core.CacheEvent{
			"g7": {{Seq: 1, Block: half, Present: true}},
			"g3": {{Seq: 1, Block: deep, Present: true}}}},
		{name: "removal after a gap", want: "g3", events: map[core.GroupName][]core.CacheEvent{
			"g7": {{Seq: 1, Block: deep, Present: true}, {Seq: 90, Block: deep}},
			"g3": {{Seq: 1, Block: half, Present: true}}}},
		{name: "repeated and late events", want: "g7", events: map[core.GroupName][]core.CacheEvent{
			"g7": {{Seq: 5, Block: deep, Present: true}, {Seq: 5, Block: deep, Present: true}, {Seq: 4, Block: half}},
			"g3": {{Seq: 1, Block: half, Present: true}}}},
		{name: "group loaded again", want: "g3", order: 9, events: map[core.GroupName][]core.CacheEvent{
			"g7": {{Seq: 1, Block: deep, Present: true}},
			"g3": {{Seq: 1, Block: half, Present: true}}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rtr := route.New(route.Config{})
			cands := newCandidates(12, 8)
			rtr.Choose(cands, nil, t0, 1)
			for name, events := range tt.events {
				rtr.ApplyCacheEvents(name, events)
			}
			if tt.order > 0 {
				cands[7].FencingToken = tt.order
			}
			idx := rtr.Choose(cands, blocks, t0, 5)
			assert.Equal(t, cands[idx].Group, tt.want)
		})
	}
}

// TestStragglers serves requests with different latencies by group and counts
// the requests that then go to the slow groups.
func TestStragglers(t *testing.T) {
	const num, sends = 9, 900
	tests := []struct {
		name     string
		slow     int // number of slow groups, which come first
		inFlight int // at each group, with a capacity of 8
		most     int // maximum number of requests to the slow groups
		least    int
	}{
		{"none", 0, 0, 0, 0},
		{"one gets probes only", 1, 0, 40, 1},
		{"a third gets probes only", 3, 0, 40, 1},
		{"four of nine: no more than a third is left out", 4, 0, sends / 4, sends / 10},
		{"two thirds: no more than a third is left out", 6, 0, sends, sends / 3},
		{"the others are full", 1, 8, sends, sends / num / 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rtr := route.New(route.Config{})
			rnd := rand.New(rand.NewPCG(3, 4))
			cands := newCandidates(num, 8)
			served := func(idx int) {
				latency := 100 * time.Millisecond
				if idx < tt.slow {
					latency = time.Second
				}
				rtr.Served(cands[idx].Group, latency, t0)
			}
			for idx := range cands {
				for range 10 {
					rtr.Choose(cands[idx:idx+1], nil, t0, rnd.Uint64())
					served(idx)
				}
				cands[idx].InFlight = tt.inFlight
			}
			slow := 0
			for range sends {
				idx := rtr.Choose(cands, nil, t0, rnd.Uint64())
				if idx < tt.slow {
					slow++
				}
				served(idx)
			}
			assert.Assert(t, slow <= tt.most && slow >= tt.least, "%d requests went to slow groups", slow)
		})
	}
}

func TestStragglerRecovers(t *testing.T) {
	rtr := route.New(route.Config{})
	rnd := rand.New(rand.NewPCG(5, 6))
	cands := newCandidates(6, 8)
	counts := func(sends int, latency func(idx int) time.Duration) (got [6]int) {
		for range sends {
			idx := rtr.Choose(cands, nil, t0, rnd.Uint64())
			got[idx]++
			rtr.Served(cands[idx].Group, latency(idx), t0)
		}
		return got
	}
	slow := func(idx int) time.Duration {
		if idx == 2 {
			return time.Second
		}
		return 100 * time.Millisecond
	}
	counts(300, slow)
	assert.Assert(t, counts(300, slow)[2] < 20)
	even := func(int) time.Duration { return 100 * time.Millisecond }
	counts(3000, even)
	assert.Assert(t, counts(300, even)[2] > 25)
}

// TestBoundedMemory sends unlimited new prompts and groups and checks that the
// Router respects MaxBlocks and MaxGroups.
func TestBoundedMemory(t *testing.T) {
	rtr := route.New(route.Config{MaxBlocks: 256, MaxGroups: 8})
	rnd := rand.New(rand.NewPCG(7, 8))
	cands := newCandidates(4, 8)
	step := func() {
		for idx := range cands {
			cands[idx].Group = core.GroupName(fmt.Sprint("g", rnd.Uint64()))
		}
		blocks := []uint64{rnd.Uint64(), rnd.Uint64(), rnd.Uint64()}
		idx := rtr.Choose(cands, blocks, t0, rnd.Uint64())
		rtr.ApplyCacheEvents(cands[idx].Group, []core.CacheEvent{{Block: rnd.Uint64(), Present: true}})
	}
	for range 2000 {
		step()
		size := rtr.Size()
		assert.Assert(t, size.Blocks <= 256 && size.Groups <= 8, "%+v", size)
	}
}
