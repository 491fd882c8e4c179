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

// simulator drives a Machine with a virtual clock. Admitted items run for their
// cost at speed tokens per second.
type simulator struct {
	tb          testing.TB
	ctrl        *admit.Controller
	now         time.Time
	speed       float64
	nextID      uint64
	items       map[uint64]admit.Item
	endsAt      map[uint64]time.Time
	decisions   map[uint64]admit.Action
	admitted    []uint64 // admitted
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

// offer fills in the ID, and the model and cost if they are missing.
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
			sim.tb.Fatalf("item %d answered by %v and %v", id, old, act)
		}
		sim.decisions[id] = act
	}
}

// end ends a running item now.
func (sim *simulator) end(id uint64) {
	item := sim.items[id]
	delete(sim.endsAt, id)
	if item.Deadline.IsZero() || !sim.now.After(item.Deadline) {
		sim.metDeadline[item.Org]++
	}
	sim.apply(sim.ctrl.Done(id, int(item.Cost), sim.now))
}

// run lets time pass, with a tick every 100 ms.
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

// decision returns "admit", "wait", or the code of the refusal.
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

// arrivals is an organisation's arrivals at a steady rate.
type arrivals struct {
	org      core.OrgName
	interval time.Duration
	priority int
	deadline time.Duration
}

// offerAll offers the streams' items for a time.
func (sim *simulator) offerAll(dur time.Duration, streams ...arrivals) {
	type arrival struct {
		at     time.Duration
		source arrivals
	}
	var schedule []arrival
	for _, str := range streams {
		for at := str.interval; at < dur; at += str.interval {
			schedule = append(schedule, arrival{at, str})
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

// metShare returns the part of the organisation's items that ended in time.
func (sim *simulator) metShare(org core.OrgName) float64 {
	return float64(sim.metDeadline[org]) / float64(sim.offered[org])
}
