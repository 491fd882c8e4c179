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

// TestMain fixes the seed of the property tests, which the command line may
// set to another.
func TestMain(mn *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(mn.Run())
}

// TestMachineProperties runs random events and wants no more running than
// slots allow at each admission, one answer for each item, and every item
// accounted for.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { newDrive(rt).run() })
}

type drive struct {
	rt       *rapid.T
	mac      *admit.Machine
	now      time.Time
	slots    map[core.ModelName]int
	limit    map[core.OrgName]int
	items    map[uint64]admit.Item
	waiting  map[uint64]bool
	running  map[uint64]bool
	answered int
	gone     int
}

func newDrive(rt *rapid.T) *drive {
	return &drive{
		rt: rt, now: t0,
		mac:   admit.New(admit.Config{MaxQueued: 12, MaxPerOrg: 8, Lead: 50}),
		slots: map[core.ModelName]int{}, limit: map[core.OrgName]int{},
		items: map[uint64]admit.Item{}, waiting: map[uint64]bool{}, running: map[uint64]bool{},
	}
}

func (drv *drive) run() {
	steps := map[string]func(){
		"offer": drv.offer, "offer more": drv.offer, "offer again": drv.offer,
		"done": drv.done, "cancel": drv.cancel,
		"tick": drv.tick, "capacity": drv.capacity, "org": drv.org,
	}
	names := []string{"offer", "offer more", "offer again", "done", "cancel", "tick", "capacity", "org"}
	for range rapid.IntRange(1, 120).Draw(drv.rt, "steps") {
		drv.now = drv.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(drv.rt, "ms")) * time.Millisecond)
		steps[rapid.SampledFrom(names).Draw(drv.rt, "step")]()
		drv.check()
	}
	for len(drv.running) > 0 {
		drv.done()
	}
	for _, model := range []core.ModelName{"m", "n"} {
		drv.setCapacity(model, 1000)
	}
	drv.drain()
}

// drain gives capacity and time without end: nothing may be left waiting.
func (drv *drive) drain() {
	for range 400 {
		drv.now = drv.now.Add(time.Second)
		drv.tick()
		for len(drv.running) > 0 {
			drv.done()
		}
	}
	drv.check()
	assert.Equal(drv.rt, len(drv.waiting), 0)
}

func (drv *drive) offer() {
	itm := admit.Item{
		ID:       uint64(len(drv.items) + 1),
		Org:      core.OrgName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(drv.rt, "org")),
		Model:    core.ModelName(rapid.SampledFrom([]string{"m", "n"}).Draw(drv.rt, "model")),
		Priority: rapid.IntRange(-1, 4).Draw(drv.rt, "priority"),
		Cost:     rapid.Float64Range(1, 1000).Draw(drv.rt, "cost"),
	}
	if rapid.Bool().Draw(drv.rt, "dated") {
		itm.Deadline = drv.now.Add(time.Duration(rapid.IntRange(-100, 20000).Draw(drv.rt, "left")) * time.Millisecond)
	}
	drv.items[itm.ID] = itm
	drv.waiting[itm.ID] = true
	drv.take(drv.mac.Offer(itm, drv.now))
}

func (drv *drive) take(acts []admit.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case admit.Admit:
			drv.settle(act.ID)
			drv.running[act.ID] = true
			drv.within(drv.items[act.ID])
		case admit.Refuse:
			drv.settle(act.ID)
			if act.After <= 0 || act.After > time.Hour || !act.Code.NotRun() {
				drv.rt.Fatalf("refused by %+v", act)
			}
		}
	}
}

func (drv *drive) settle(id uint64) {
	if !drv.waiting[id] {
		drv.rt.Fatalf("item %d answered but it does not wait", id)
	}
	delete(drv.waiting, id)
	drv.answered++
}

// within checks the slots and the concurrency right after an admission.
func (drv *drive) within(itm admit.Item) {
	var model, org int
	for id := range drv.running {
		if drv.items[id].Model == itm.Model {
			model++
		}
		if drv.items[id].Org == itm.Org {
			org++
		}
	}
	if model > drv.slots[itm.Model] {
		drv.rt.Fatalf("%d run on %d slots", model, drv.slots[itm.Model])
	}
	if lim := drv.limit[itm.Org]; lim > 0 && org > lim {
		drv.rt.Fatalf("%d run for a concurrency of %d", org, lim)
	}
	if !itm.Deadline.IsZero() && !itm.Deadline.After(drv.now) {
		drv.rt.Fatalf("item %d admitted past its deadline", itm.ID)
	}
}

func (drv *drive) least(set map[uint64]bool) (uint64, bool) {
	low, ok := uint64(math.MaxUint64), false
	for id := range set {
		low, ok = min(low, id), true
	}
	return low, ok
}

func (drv *drive) done() {
	id, ok := drv.least(drv.running)
	if !ok {
		return
	}
	delete(drv.running, id)
	drv.take(drv.mac.Done(id, rapid.IntRange(0, 2000).Draw(drv.rt, "tokens"), drv.now))
}

func (drv *drive) cancel() {
	set := drv.waiting
	if rapid.Bool().Draw(drv.rt, "cancel running") {
		set = drv.running
	}
	id, ok := drv.least(set)
	if !ok {
		return
	}
	if drv.waiting[id] {
		drv.gone++
	}
	delete(set, id)
	drv.take(drv.mac.Cancel(id, drv.now))
}

func (drv *drive) tick() { drv.take(drv.mac.Tick(drv.now)) }

func (drv *drive) capacity() {
	drv.setCapacity(core.ModelName(rapid.SampledFrom([]string{"m", "n"}).Draw(drv.rt, "model")),
		rapid.IntRange(0, 5).Draw(drv.rt, "slots"))
}

func (drv *drive) setCapacity(model core.ModelName, slots int) {
	drv.slots[model] = slots
	drv.mac.SetCapacity(model, slots)
}

func (drv *drive) org() {
	name := core.OrgName(rapid.SampledFrom([]string{"a", "b"}).Draw(drv.rt, "org"))
	lim := rapid.IntRange(0, 3).Draw(drv.rt, "concurrency")
	drv.limit[name] = lim
	drv.mac.SetOrg(name, admit.OrgLimits{
		Weight:      rapid.Float64Range(0, 5).Draw(drv.rt, "weight"),
		Requests:    rapid.SampledFrom([]float64{0, 0.5, 5}).Draw(drv.rt, "requests"),
		Tokens:      rapid.SampledFrom([]float64{0, 50, 5000}).Draw(drv.rt, "tokens"),
		Concurrency: lim,
		Priority:    rapid.IntRange(0, 3).Draw(drv.rt, "top"),
	})
}

// check holds the machine's own counts against the test's.
func (drv *drive) check() {
	if len(drv.items) != len(drv.waiting)+drv.answered+drv.gone {
		drv.rt.Fatalf("%d items: %d wait, %d answered, %d gone", len(drv.items), len(drv.waiting), drv.answered, drv.gone)
	}
	var waiting, running int
	for _, dep := range drv.mac.Depths() {
		waiting += dep.Waiting
		running += dep.Running
		if dep.Waiting > 12 {
			drv.rt.Fatalf("%d wait", dep.Waiting)
		}
	}
	if waiting != len(drv.waiting) || running != len(drv.running) {
		drv.rt.Fatalf("machine has %d waiting and %d running, want %d and %d", waiting, running, len(drv.waiting), len(drv.running))
	}
}

// TestSplitProperties wants parts that add up to the limit, and none below
// the floor's even part.
func TestSplitProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dmds := rapid.SliceOfN(rapid.Float64Range(0, 1e6), 1, 340).Draw(rt, "demands")
		floor := rapid.Float64Range(0, 1).Draw(rt, "floor")
		var sum float64
		for self := range dmds {
			part := admit.Split(10, dmds, self, floor)
			assert.Assert(rt, part >= 10*floor/float64(len(dmds))*(1-1e-9))
			sum += part
		}
		assert.Assert(rt, math.Abs(sum-10) < 1e-6, "sum %v", sum)
	})
}

// TestShareUnderPartition cuts zones and nodes from each other in every way
// and wants the parts of all nodes to stay within the limit.
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
				seen[idx].Reached = side[idx] == side[self]
				if !seen[idx].Reached {
					seen[idx].Demand = 0 // as last heard
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
		{"all reached, by demand", nil, 0, 30.0 / 60},
		{"all reached, floor", nil, 1, even},
		{"another zone cut off", []int{2}, 0, 2 * even * 30 / 40},
		{"own zone's node cut off", []int{1}, 0, even},
		{"all cut off", []int{1, 2, 3}, 0, even},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			nodes := []admit.Node{
				{"z1", 30, true}, {"z1", 10, true}, {"z2", 15, true}, {"z3", 5, true},
			}
			for _, idx := range tt.down {
				nodes[idx].Reached = false
			}
			assert.Assert(t, math.Abs(admit.Share(nodes, 0, tt.floor)-tt.want) < 1e-9)
		})
	}
}
