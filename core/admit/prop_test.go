package admit_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

// TestMain sets the seed of the property tests. Command-line flags override
// it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// TestControllerProperties applies random events. It checks that no admission
// exceeds the slots, that each item gets exactly one decision, and that no
// item is lost.
func TestControllerProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { newRandomRun(rt).run() })
}

type randomRun struct {
	rt          *rapid.T
	ctrl        *admit.Controller
	now         time.Time
	slots       map[core.ModelName]int
	concurrency map[core.OrgName]int
	items       map[uint64]admit.Item
	waiting     map[uint64]bool
	running     map[uint64]bool
	decided     int
	cancelled   int
}

func newRandomRun(rt *rapid.T) *randomRun {
	return &randomRun{
		rt: rt, now: startTime,
		ctrl:  admit.New(admit.Config{MaxQueued: 12, MaxQueuedPerOrg: 8, PriorityLead: 50}),
		slots: map[core.ModelName]int{}, concurrency: map[core.OrgName]int{},
		items: map[uint64]admit.Item{}, waiting: map[uint64]bool{}, running: map[uint64]bool{},
	}
}

func (rr *randomRun) run() {
	steps := map[string]func(){
		"offer": rr.offer, "offer more": rr.offer, "offer again": rr.offer,
		"done": rr.done, "cancel": rr.cancel,
		"tick": rr.tick, "capacity": rr.capacity, "org": rr.org,
	}
	names := []string{"offer", "offer more", "offer again", "done", "cancel", "tick", "capacity", "org"}
	for range rapid.IntRange(1, 120).Draw(rr.rt, "steps") {
		rr.now = rr.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(rr.rt, "ms")) * time.Millisecond)
		steps[rapid.SampledFrom(names).Draw(rr.rt, "step")]()
		rr.check()
	}
	for len(rr.running) > 0 {
		rr.done()
	}
	for _, model := range []core.ModelName{"m", "n"} {
		rr.setCapacity(model, 1000)
	}
	rr.drain()
}

// drain provides ample capacity and time, after which no item may be left
// waiting.
func (rr *randomRun) drain() {
	for range 400 {
		rr.now = rr.now.Add(time.Second)
		rr.tick()
		for len(rr.running) > 0 {
			rr.done()
		}
	}
	rr.check()
	assert.Equal(rr.rt, len(rr.waiting), 0)
}

func (rr *randomRun) offer() {
	item := admit.Item{
		ID:       uint64(len(rr.items) + 1),
		Org:      core.OrgName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rr.rt, "org")),
		Model:    core.ModelName(rapid.SampledFrom([]string{"m", "n"}).Draw(rr.rt, "model")),
		Priority: rapid.IntRange(-1, 4).Draw(rr.rt, "priority"),
		Cost:     rapid.Float64Range(1, 1000).Draw(rr.rt, "cost"),
	}
	if rapid.Bool().Draw(rr.rt, "dated") {
		item.Deadline = rr.now.Add(time.Duration(rapid.IntRange(-100, 20000).Draw(rr.rt, "left")) * time.Millisecond)
	}
	rr.items[item.ID] = item
	rr.waiting[item.ID] = true
	rr.apply(rr.ctrl.Offer(item, rr.now))
}

func (rr *randomRun) apply(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Admit:
			rr.decide(act.ID)
			rr.running[act.ID] = true
			rr.checkLimits(rr.items[act.ID])
		case admit.Reject:
			rr.decide(act.ID)
			if act.RetryAfter <= 0 || act.RetryAfter > time.Hour || !act.Code.NotRun() {
				rr.rt.Fatalf("invalid rejection %+v", act)
			}
		}
	}
}

func (rr *randomRun) decide(id uint64) {
	if !rr.waiting[id] {
		rr.rt.Fatalf("decision on item %d, which is not waiting", id)
	}
	delete(rr.waiting, id)
	rr.decided++
}

// checkLimits checks the slots, the concurrency and the deadline right after
// an admission.
func (rr *randomRun) checkLimits(item admit.Item) {
	var model, org int
	for id := range rr.running {
		if rr.items[id].Model == item.Model {
			model++
		}
		if rr.items[id].Org == item.Org {
			org++
		}
	}
	if model > rr.slots[item.Model] {
		rr.rt.Fatalf("%d items run on %d slots", model, rr.slots[item.Model])
	}
	if limit := rr.concurrency[item.Org]; limit > 0 && org > limit {
		rr.rt.Fatalf("%d items run with a concurrency limit of %d", org, limit)
	}
	if !item.Deadline.IsZero() && !item.Deadline.After(rr.now) {
		rr.rt.Fatalf("item %d admitted past its deadline", item.ID)
	}
}

func (rr *randomRun) lowestID(set map[uint64]bool) (uint64, bool) {
	low, ok := uint64(math.MaxUint64), false
	for id := range set {
		low, ok = min(low, id), true
	}
	return low, ok
}

func (rr *randomRun) done() {
	id, ok := rr.lowestID(rr.running)
	if !ok {
		return
	}
	delete(rr.running, id)
	rr.apply(rr.ctrl.Done(id, rapid.IntRange(0, 2000).Draw(rr.rt, "tokens"), rr.now))
}

func (rr *randomRun) cancel() {
	set := rr.waiting
	if rapid.Bool().Draw(rr.rt, "cancel running") {
		set = rr.running
	}
	id, ok := rr.lowestID(set)
	if !ok {
		return
	}
	if rr.waiting[id] {
		rr.cancelled++
	}
	delete(set, id)
	rr.apply(rr.ctrl.Cancel(id, rr.now))
}

func (rr *randomRun) tick() { rr.apply(rr.ctrl.Tick(rr.now)) }

func (rr *randomRun) capacity() {
	rr.setCapacity(core.ModelName(rapid.SampledFrom([]string{"m", "n"}).Draw(rr.rt, "model")),
		rapid.IntRange(0, 5).Draw(rr.rt, "slots"))
}

func (rr *randomRun) setCapacity(model core.ModelName, slots int) {
	rr.slots[model] = slots
	rr.ctrl.SetCapacity(model, slots)
}

func (rr *randomRun) org() {
	name := core.OrgName(rapid.SampledFrom([]string{"a", "b"}).Draw(rr.rt, "org"))
	limit := rapid.IntRange(0, 3).Draw(rr.rt, "concurrency")
	rr.concurrency[name] = limit
	rr.ctrl.SetOrg(name, admit.OrgLimits{
		Weight:            rapid.Float64Range(0, 5).Draw(rr.rt, "weight"),
		RequestsPerSecond: rapid.SampledFrom([]float64{0, 0.5, 5}).Draw(rr.rt, "requests"),
		TokensPerSecond:   rapid.SampledFrom([]float64{0, 50, 5000}).Draw(rr.rt, "tokens"),
		Concurrency:       limit,
		MaxPriority:       rapid.IntRange(0, 3).Draw(rr.rt, "top"),
	})
}

// check compares the controller's counts with those of the test.
func (rr *randomRun) check() {
	if len(rr.items) != len(rr.waiting)+rr.decided+rr.cancelled {
		rr.rt.Fatalf("%d items, but %d waiting, %d decided and %d cancelled", len(rr.items), len(rr.waiting), rr.decided, rr.cancelled)
	}
	var waiting, running int
	for _, stats := range rr.ctrl.Queues() {
		waiting += stats.Waiting
		running += stats.Running
		if stats.Waiting > 12 {
			rr.rt.Fatalf("%d items wait", stats.Waiting)
		}
	}
	if waiting != len(rr.waiting) || running != len(rr.running) {
		rr.rt.Fatalf("controller has %d waiting and %d running items, want %d and %d", waiting, running, len(rr.waiting), len(rr.running))
	}
}

// TestSplitProperties checks that the parts add up to the limit and that each
// is at least the even part of the floor.
func TestSplitProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 340).Draw(rt, "demands")
		floor := rapid.Float64Range(0, 1).Draw(rt, "floor")
		var sum float64
		for self := range demands {
			part := admit.Split(10, demands, self, floor)
			assert.Assert(rt, part >= 10*floor/float64(len(demands))*(1-1e-9))
			sum += part
		}
		assert.Assert(rt, math.Abs(sum-10) < 1e-6, "parts add up to %v", sum)
	})
}

// TestShareUnderPartition partitions zones and nodes in random ways and checks
// that the shares of all nodes stay within the limit.
func TestShareUnderPartition(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		num := rapid.IntRange(1, 8).Draw(rt, "nodes")
		nodes := make([]admit.Node, num)
		side := make([]int, num)
		for idx := range nodes {
			nodes[idx].Zone = core.Zone(fmt.Sprint(rapid.IntRange(0, 2).Draw(rt, "zone")))
			nodes[idx].Demand = rapid.Float64Range(0, 100).Draw(rt, "demand")
			side[idx] = rapid.IntRange(0, 1).Draw(rt, "side")
		}
		var sum float64
		for self := range nodes {
			seen := append([]admit.Node(nil), nodes...)
			for idx := range seen {
				seen[idx].Reachable = side[idx] == side[self]
				if !seen[idx].Reachable {
					seen[idx].Demand = 0 // value in the last heartbeat
				}
			}
			sum += admit.Share(seen, self, 0.2)
		}
		assert.Assert(rt, sum < 1+1e-9, "parts add up to %v", sum)
	})
}

func TestShare(t *testing.T) {
	even := 1.0 / 4
	tests := []struct {
		name  string
		down  []int
		floor float64
		want  float64
	}{
		{"all reachable, by demand", nil, 0, 30.0 / 60},
		{"all reachable, floor", nil, 1, even},
		{"node of another zone unreachable", []int{2}, 0, 2 * even * 30 / 40},
		{"node of the same zone unreachable", []int{1}, 0, even},
		{"all other nodes unreachable", []int{1, 2, 3}, 0, even},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			nodes := []admit.Node{
				{"z1", 30, true}, {"z1", 10, true}, {"z2", 15, true}, {"z3", 5, true},
			}
			for _, idx := range tt.down {
				nodes[idx].Reachable = false
			}
			assert.Assert(t, math.Abs(admit.Share(nodes, 0, tt.floor)-tt.want) < 1e-9)
		})
	}
}
