package admit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
)

var t0 = time.Unix(1_000_000, 0)

// server drives a Machine with a virtual clock. Admitted items run for their
// cost at speed tokens per second.
type server struct {
	tb      testing.TB
	mac     *admit.Machine
	now     time.Time
	speed   float64
	nextID  uint64
	items   map[uint64]admit.Item
	ends    map[uint64]time.Time
	answers map[uint64]admit.Action
	order   []uint64 // admitted
	met     map[core.OrgName]int
	offered map[core.OrgName]int
}

func newServer(tb testing.TB, cfg admit.Config, slots int) *server {
	mac := admit.New(cfg)
	mac.SetCapacity("m", slots)
	return &server{
		tb: tb, mac: mac, now: t0, speed: 100,
		items: map[uint64]admit.Item{}, ends: map[uint64]time.Time{},
		answers: map[uint64]admit.Action{},
		met:     map[core.OrgName]int{}, offered: map[core.OrgName]int{},
	}
}

// offer fills in the ID, and the model and cost if they are missing.
func (srv *server) offer(itm admit.Item) uint64 {
	srv.nextID++
	itm.ID = srv.nextID
	if itm.Model == "" {
		itm.Model = "m"
	}
	if itm.Cost == 0 {
		itm.Cost = 100
	}
	srv.items[itm.ID] = itm
	srv.offered[itm.Org]++
	srv.take(srv.mac.Offer(itm, srv.now))
	return itm.ID
}

func (srv *server) take(acts []admit.Action) {
	for _, act := range acts {
		var id uint64
		switch act := act.(type) {
		case admit.Admit:
			id = act.ID
			itm := srv.items[id]
			srv.ends[id] = srv.now.Add(time.Duration(itm.Cost / srv.speed * float64(time.Second)))
			srv.order = append(srv.order, id)
		case admit.Refuse:
			id = act.ID
		}
		if old, ok := srv.answers[id]; ok {
			srv.tb.Fatalf("item %d answered by %v and %v", id, old, act)
		}
		srv.answers[id] = act
	}
}

// end ends a running item now.
func (srv *server) end(id uint64) {
	itm := srv.items[id]
	delete(srv.ends, id)
	if itm.Deadline.IsZero() || !srv.now.After(itm.Deadline) {
		srv.met[itm.Org]++
	}
	srv.take(srv.mac.Done(id, int(itm.Cost), srv.now))
}

// run lets time pass, with a tick every 100 ms.
func (srv *server) run(dur time.Duration) {
	until := srv.now.Add(dur)
	tick := srv.now.Truncate(100 * time.Millisecond).Add(100 * time.Millisecond)
	for {
		id, at := srv.nextEnd()
		switch {
		case id != 0 && !at.After(tick) && !at.After(until):
			srv.now = at
			srv.end(id)
		case !tick.After(until):
			srv.now = tick
			srv.take(srv.mac.Tick(tick))
			tick = tick.Add(100 * time.Millisecond)
		default:
			srv.now = until
			return
		}
	}
}

func (srv *server) nextEnd() (uint64, time.Time) {
	var best uint64
	for id, at := range srv.ends {
		if best == 0 || at.Before(srv.ends[best]) || at.Equal(srv.ends[best]) && id < best {
			best = id
		}
	}
	return best, srv.ends[best]
}

// answer returns "admit", "wait", or the code of the refusal.
func (srv *server) answer(id uint64) string {
	switch act := srv.answers[id].(type) {
	case admit.Admit:
		return "admit"
	case admit.Refuse:
		return fmt.Sprint(act.Code)
	default:
		return "wait"
	}
}

// stream is an organisation's arrivals at a steady rate.
type stream struct {
	org      core.OrgName
	every    time.Duration
	priority int
	deadline time.Duration
}

// feed offers the streams' items for a time.
func (srv *server) feed(dur time.Duration, streams ...stream) {
	type arrival struct {
		at  time.Duration
		str stream
	}
	var arrs []arrival
	for _, str := range streams {
		for at := str.every; at < dur; at += str.every {
			arrs = append(arrs, arrival{at, str})
		}
	}
	slices.SortStableFunc(arrs, func(one, two arrival) int { return int(one.at - two.at) })
	start := srv.now
	for _, arr := range arrs {
		srv.run(start.Add(arr.at).Sub(srv.now))
		itm := admit.Item{Org: arr.str.org, Priority: arr.str.priority}
		if arr.str.deadline > 0 {
			itm.Deadline = srv.now.Add(arr.str.deadline)
		}
		srv.offer(itm)
	}
	srv.run(start.Add(dur).Sub(srv.now))
}

// share returns the part of the organisation's items that ended in time.
func (srv *server) share(org core.OrgName) float64 {
	return float64(srv.met[org]) / float64(srv.offered[org])
}
