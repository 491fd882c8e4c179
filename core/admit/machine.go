package admit

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// Machine is the admission state of one entry VM. Use New. A Machine is not
// safe for concurrent use.
type Machine struct {
	cfg     Config
	orgs    map[core.OrgName]*org
	pools   map[core.ModelName]*pool
	entries map[uint64]*entry
	acts    []Action
}

// New returns a Machine without capacity: items wait until SetCapacity.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:     cfg.withDefaults(),
		orgs:    make(map[core.OrgName]*org),
		pools:   make(map[core.ModelName]*pool),
		entries: make(map[uint64]*entry),
	}
}

// Offer takes in an item and returns the actions that follow, for this item
// or others. Offer panics if the cost is not positive, the work is negative or
// the ID is in use.
func (mac *Machine) Offer(itm Item, now time.Time) []Action {
	if !(itm.Cost > 0) || !(itm.Work >= 0) {
		panic(fmt.Sprintf("admit: cost %v and work %v of item %d", itm.Cost, itm.Work, itm.ID))
	}
	if _, ok := mac.entries[itm.ID]; ok {
		panic(fmt.Sprintf("admit: item %d offered twice", itm.ID))
	}
	if itm.Work == 0 {
		itm.Work = itm.Cost
	}
	og := mac.org(itm.Org)
	og.demand.add(itm.Cost, mac.cfg.UsageTime, now)
	itm.Priority = min(max(itm.Priority, 0), og.limits.Priority, mac.cfg.Priorities-1)
	pol := mac.pool(itm.Model)
	flw := pol.flow(og, mac.cfg.Priorities)
	if act, late := mac.late(pol, flw, itm, now); late {
		return mac.flush(act)
	}
	if wait := og.take(itm.Cost, mac.cfg.Burst, now); wait > 0 {
		return mac.flush(Refuse{ID: itm.ID, Code: core.CodeOrgLimit, After: wait})
	}
	ent := &entry{item: itm, org: og, pool: pol, flow: flw, due: mac.due(itm, now)}
	mac.entries[itm.ID] = ent
	pol.push(ent, now)
	mac.fill(pol, now)
	mac.bound(pol, flw)
	return mac.flush()
}

// due returns the time that an item's place in its queue goes by: its
// deadline, but no later than Patience from now.
func (mac *Machine) due(itm Item, now time.Time) time.Time {
	last := now.Add(mac.cfg.Patience)
	if itm.Deadline.IsZero() || itm.Deadline.After(last) {
		return last
	}
	return itm.Deadline
}

// late returns the refusal of an item that can't end before its deadline. A
// model with spare slots takes any item whose deadline is still to come, so that
// an estimate that is too high gets corrected.
func (mac *Machine) late(pol *pool, flw *flow, itm Item, now time.Time) (Refuse, bool) {
	if itm.Deadline.IsZero() {
		return Refuse{}, false
	}
	left := itm.Deadline.Sub(now)
	if left > 0 && pol.spare() && pol.waiting == 0 {
		return Refuse{}, false
	}
	ahead := flw.ahead(itm.Priority)
	wait := max(pol.delay(flw, ahead), flw.pace(ahead, now))
	need := seconds(wait + pol.service(itm.Work))
	if need < left {
		return Refuse{}, false
	}
	after := max(need-left+pol.turn(), time.Millisecond)
	return Refuse{ID: itm.ID, Code: core.CodeDeadline, After: after}, true
}

// bound refuses items while the queue is over one of its bounds.
func (mac *Machine) bound(pol *pool, flw *flow) {
	for flw.items > mac.cfg.MaxPerOrg {
		mac.drop(flw.bottom())
	}
	for pol.waiting > pol.depth {
		mac.drop(pol.longest().bottom())
	}
}

func (mac *Machine) drop(ent *entry) {
	mac.refuse(ent, core.CodeQueueFull, max(ent.pool.turn(), time.Millisecond))
}

// refuse answers a waiting item and gives back what it was charged.
func (mac *Machine) refuse(ent *entry, code core.Code, after time.Duration) {
	ent.pool.remove(ent)
	ent.org.settle(-ent.item.Cost)
	delete(mac.entries, ent.item.ID)
	mac.acts = append(mac.acts, Refuse{ID: ent.item.ID, Code: code, After: after})
}

// fill admits waiting items while slots are free.
func (mac *Machine) fill(pol *pool, now time.Time) {
	for pol.running < pol.slots {
		ent := pol.pick(mac.cfg.Lead)
		if ent == nil {
			return
		}
		if mac.expired(ent, now) {
			mac.refuse(ent, core.CodeDeadline, time.Millisecond)
			continue
		}
		mac.admit(ent, now)
	}
}

// expired reports whether a waiting item can't end before its deadline. While
// slots are spare, only the deadline itself counts.
func (mac *Machine) expired(ent *entry, now time.Time) bool {
	if ent.item.Deadline.IsZero() {
		return false
	}
	left := ent.item.Deadline.Sub(now)
	if ent.pool.spare() {
		return left <= 0
	}
	return seconds(ent.pool.service(ent.item.Work)) >= left
}

func (mac *Machine) admit(ent *entry, now time.Time) {
	ent.flow.serve(ent.item.Work, now)
	ent.pool.remove(ent)
	ent.flow.tag += ent.item.Work / ent.org.weight()
	ent.running = true
	ent.started = now
	ent.pool.running++
	ent.org.running++
	mac.acts = append(mac.acts, Admit{ID: ent.item.ID})
}

// Done tells that an admitted item has ended and used so many tokens, zero if
// it did not run after all. Done panics if the item was not admitted.
func (mac *Machine) Done(id uint64, tokens int, now time.Time) []Action {
	ent, ok := mac.entries[id]
	if !ok || !ent.running {
		panic(fmt.Sprintf("admit: item %d is done but was not admitted", id))
	}
	if tokens > 0 {
		ent.pool.observe(ent.item.Work, now.Sub(ent.started), mac.cfg.Gain)
	}
	mac.end(ent, float64(tokens), now)
	return mac.flush()
}

// Cancel forgets an item that waits or runs, and ignores any other ID. It
// returns no action for the item itself.
func (mac *Machine) Cancel(id uint64, now time.Time) []Action {
	ent, ok := mac.entries[id]
	switch {
	case !ok:
	case ent.running:
		mac.end(ent, ent.item.Cost, now)
	default:
		ent.pool.remove(ent)
		ent.org.settle(-ent.item.Cost)
		delete(mac.entries, id)
	}
	return mac.flush()
}

func (mac *Machine) end(ent *entry, tokens float64, now time.Time) {
	diff := tokens - ent.item.Cost
	ent.flow.tag += diff / ent.item.Cost * ent.item.Work / ent.org.weight()
	ent.org.settle(diff)
	ent.pool.running--
	ent.org.running--
	delete(mac.entries, ent.item.ID)
	mac.fillAll(ent, now)
}

// fillAll admits after ent has ended: at its model, and at the others if its
// organisation was held back by its concurrency.
func (mac *Machine) fillAll(ent *entry, now time.Time) {
	mac.fill(ent.pool, now)
	if ent.org.limits.Concurrency <= 0 || ent.org.waiting == 0 {
		return
	}
	for _, pol := range mac.sorted() {
		mac.fill(pol, now)
	}
}

// Tick refuses the waiting items whose deadline can't be met any more and
// admits what limits held back. Call it every 100 ms or so.
func (mac *Machine) Tick(now time.Time) []Action {
	for _, pol := range mac.sorted() {
		for _, ent := range pol.stale(mac, now) {
			mac.refuse(ent, core.CodeDeadline, time.Millisecond)
		}
		mac.fill(pol, now)
	}
	return mac.flush()
}

// stale returns the waiting items that can't end in time any more, since
// their service is due or since others have come before them.
func (pol *pool) stale(mac *Machine, now time.Time) []*entry {
	var out []*entry
	for _, flw := range pol.active {
		var ahead float64
		for pri := len(flw.queues) - 1; pri >= 0; pri-- {
			for _, ent := range flw.queues[pri] {
				if mac.expired(ent, now) || mac.passed(ent, ahead, now) {
					out = append(out, ent)
					continue
				}
				ahead += ent.item.Work
			}
		}
	}
	return out
}

// passed reports whether a waiting item with so much work ahead of it can't
// end before its deadline.
func (mac *Machine) passed(ent *entry, ahead float64, now time.Time) bool {
	if ent.item.Deadline.IsZero() || ent.pool.spare() {
		return false
	}
	need := ent.pool.delay(ent.flow, ahead) + ent.pool.service(ent.item.Work)
	return seconds(need) >= ent.item.Deadline.Sub(now)
}

func (mac *Machine) flush(acts ...Action) []Action {
	out := append(mac.acts, acts...)
	mac.acts = nil
	return out
}
