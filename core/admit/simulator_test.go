package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

var startTime = time.Unix(1_000_000, 0)

// simulator drives a Controller with a virtual clock. An admitted item runs
// for its cost divided by speed, which is in tokens per second.
type simulator struct {
	tb          testing.TB
	ctrl        *admit.Controller
	now         time.Time
	speed       float64
	nextID      uint64
	items       map[uint64]admit.Item
	endsAt      map[uint64]time.Time
	decisions   map[uint64]admit.Action
	admitted    []uint64 // IDs in the order of admission
	metDeadline map[core.OrgName]int
	offered     map[core.OrgName]int
}

func newSimulator(tb testing.TB, cfg admit.Config, slots int) *simulator {
	ctrl := admit.New(cfg)
	ctrl.SetCapacity("m", slots)
	return &simulator{
		tb: tb, ctrl: ctrl, now: startTime, speed: 100,
		items: map[uint64]admit.Item{}, endsAt: map[uint64]time.Time{},
		decisions:   map[uint64]admit.Action{},
		metDeadline: map[core.OrgName]int{}, offered: map[core.OrgName]int{},
	}
}

// offer offers an item. It sets the ID, and the model and cost if they are
// zero.
func (sim *simulator) offer(item admit.Item) uint64 {
	sim.nextID++
	item.ID = sim.nextID
	if item.Model == "" {
		item.Model = "m"
	}
	if item.Cost == 0 {
		item.Cost = 100
	}
	sim.items[item.ID] = item
	sim.offered[item.Org]++
	sim.apply(sim.ctrl.Offer(item, sim.now))
	return item.ID
}

func (sim *simulator) apply(acts []admit.Action) {
	for _, act := range acts {
		var id uint64
		switch act := act.(type) {
		case admit.Admit:
			id = act.ID
			item := sim.items[id]
			sim.endsAt[id] = sim.now.Add(time.Duration(item.Cost / sim.speed * float64(time.Second)))
			sim.admitted = append(sim.admitted, id)
		case admit.Reject:
			id = act.ID
		}
		if old, ok := sim.decisions[id]; ok {
			sim.tb.Fatalf("item %d has two decisions: %v and %v", id, old, act)
		}
		sim.decisions[id] = act
	}
}

// end ends a running item at the current time.
func (sim *simulator) end(id uint64) {
	item := sim.items[id]
	delete(sim.endsAt, id)
	if item.Deadline.IsZero() || !sim.now.After(item.Deadline) {
		sim.metDeadline[item.Org]++
	}
	sim.apply(sim.ctrl.Done(id, int(item.Cost), sim.now))
}

// run advances the clock by dur, with a tick every 100 ms.
func (sim *simulator) run(dur time.Duration) {
	until := sim.now.Add(dur)
	tick := sim.now.Truncate(100 * time.Millisecond).Add(100 * time.Millisecond)
	for {
		id, at := sim.nextEnd()
		switch {
		case id != 0 && !at.After(tick) && !at.After(until):
			sim.now = at
			sim.end(id)
		case !tick.After(until):
			sim.now = tick
			sim.apply(sim.ctrl.Tick(tick))
			tick = tick.Add(100 * time.Millisecond)
		default:
			sim.now = until
			return
		}
	}
}

func (sim *simulator) nextEnd() (uint64, time.Time) {
	var best uint64
	for id, at := range sim.endsAt {
		if best == 0 || at.Before(sim.endsAt[best]) || at.Equal(sim.endsAt[best]) && id < best {
			best = id
		}
	}
	return best, sim.endsAt[best]
}

// decision returns "admit", "wait", or the code of the rejection.
func (sim *simulator) decision(id uint64) string {
	switch act := sim.decisions[id].(type) {
	case admit.Admit:
		return "admit"
	case admit.Reject:
		return fmt.Sprint(act.Code)
	default:
		return "wait"
	}
}

// arrivals describes an organisation that offers items at a constant rate.
type arrivals struct {
	org      core.OrgName
	interval time.Duration
	priority int
	deadline time.Duration
}

// offerAll offers the items of all sources for the duration dur.
func (sim *simulator) offerAll(dur time.Duration, sources ...arrivals) {
	type arrival struct {
		at     time.Duration
		source arrivals
	}
	var schedule []arrival
	for _, src := range sources {
		for at := src.interval; at < dur; at += src.interval {
			schedule = append(schedule, arrival{at, src})
		}
	}
	slices.SortStableFunc(schedule, func(one, two arrival) int { return int(one.at - two.at) })
	start := sim.now
	for _, arr := range schedule {
		sim.run(start.Add(arr.at).Sub(sim.now))
		item := admit.Item{Org: arr.source.org, Priority: arr.source.priority}
		if arr.source.deadline > 0 {
			item.Deadline = sim.now.Add(arr.source.deadline)
		}
		sim.offer(item)
	}
	sim.run(start.Add(dur).Sub(sim.now))
}

// metShare returns the fraction of the organisation's items that met their
// deadline.
func (sim *simulator) metShare(org core.OrgName) float64 {
	return float64(sim.metDeadline[org]) / float64(sim.offered[org])
}
