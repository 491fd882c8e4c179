package admit

import (
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// entry is an item that waits or runs.
type entry struct {
	item    Item
	org     *org
	pool    *pool
	flow    *flow
	due     time.Time // orders the items of one organisation and priority
	running bool
	started time.Time
}

// pool is one model's slots, its waiting items and its observed service.
type pool struct {
	model    core.ModelName
	slots    int
	depth    int // items that may wait
	running  int
	waiting  int
	backlog  float64 // work
	weights  float64 // sum over the active flows
	vtime    float64
	credit   float64
	flows    map[core.OrgName]*flow
	active   []*flow // those with waiting items
	meanDur  float64 // seconds that an item runs
	meanWork float64 // of an item
}

func (pol *pool) flow(og *org, priorities int) *flow {
	flw, ok := pol.flows[og.name]
	if !ok {
		flw = &flow{org: og, queues: make([][]*entry, priorities), index: -1}
		pol.flows[og.name] = flw
	}
	return flw
}

func (pol *pool) push(ent *entry, now time.Time) {
	flw := ent.flow
	if flw.items == 0 {
		flw.tag = pol.start(flw)
		flw.since, flw.at, flw.served = now, now, 0
		flw.index = len(pol.active)
		pol.active = append(pol.active, flw)
		pol.weights += flw.org.weight()
	}
	pri := ent.item.Priority
	flw.queues[pri] = insert(flw.queues[pri], ent)
	flw.items++
	flw.backlog += ent.item.Work
	flw.org.waiting++
	pol.waiting++
	pol.backlog += ent.item.Work
}

// start returns the tag of a flow that begins to compete: what it had, but no
// further back than the credit.
func (pol *pool) start(flw *flow) float64 {
	return math.Max(flw.tag, pol.vtime-pol.credit)
}

// remove takes a waiting item out of its queue.
func (pol *pool) remove(ent *entry) {
	flw := ent.flow
	pri := ent.item.Priority
	flw.queues[pri] = without(flw.queues[pri], ent)
	flw.items--
	flw.backlog -= ent.item.Work
	flw.org.waiting--
	pol.waiting--
	pol.backlog -= ent.item.Work
	if flw.items > 0 {
		return
	}
	flw.backlog = 0
	last := len(pol.active) - 1
	pol.active[flw.index] = pol.active[last]
	pol.active[flw.index].index = flw.index
	pol.active[last] = nil
	pol.active = pol.active[:last]
	flw.index = -1
	pol.weights -= flw.org.weight()
	if last == 0 {
		pol.weights, pol.backlog = 0, 0
	}
}

// insert puts ent behind the items that are due no later.
func insert(que []*entry, ent *entry) []*entry {
	pos := len(que)
	for pos > 0 && ent.due.Before(que[pos-1].due) {
		pos--
	}
	return slices.Insert(que, pos, ent)
}

func without(que []*entry, ent *entry) []*entry {
	if que[0] == ent {
		que[0] = nil
		return que[1:]
	}
	for idx, oth := range que {
		if oth == ent {
			copy(que[idx:], que[idx+1:])
			que[len(que)-1] = nil
			return que[:len(que)-1]
		}
	}
	panic("admit: item is not in its queue")
}

// pick returns the item to admit next, or nil if none may run. It advances
// the virtual time to the smallest tag.
func (pol *pool) pick(lead float64) *entry {
	least := math.Inf(1)
	for _, flw := range pol.active {
		if flw.org.blocked() {
			flw.tag = pol.start(flw)
			continue
		}
		least = math.Min(least, flw.tag)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	pol.vtime = math.Max(pol.vtime, least)
	var best *flow
	for _, flw := range pol.active {
		if flw.org.blocked() {
			continue
		}
		if best == nil || before(flw, best, least+lead) {
			best = flw
		}
	}
	return best.queues[best.top()][0]
}

// before reports whether flow a goes before flow b. Up to the bound, priority
// comes before the tag.
func before(flw, oth *flow, bound float64) bool {
	fin, oin := flw.tag <= bound, oth.tag <= bound
	if fin != oin {
		return fin
	}
	if fin {
		if fpr, opr := flw.top(), oth.top(); fpr != opr {
			return fpr > opr
		}
	}
	if flw.tag != oth.tag {
		return flw.tag < oth.tag
	}
	return flw.org.name < oth.org.name
}

// longest returns the flow with the largest backlog for its weight.
func (pol *pool) longest() *flow {
	var best *flow
	var most float64
	for _, flw := range pol.active {
		if val := flw.backlog / flw.org.weight(); best == nil || val > most {
			best, most = flw, val
		}
	}
	return best
}

// spare reports whether at least half of the slots are free.
func (pol *pool) spare() bool { return 2*pol.running < pol.slots || pol.running == 0 }

// observe takes in how long an item ran.
func (pol *pool) observe(work float64, dur time.Duration, gain float64) {
	if pol.meanWork == 0 {
		pol.meanWork, pol.meanDur = work, dur.Seconds()
		return
	}
	pol.meanWork += gain * (work - pol.meanWork)
	pol.meanDur += gain * (dur.Seconds() - pol.meanDur)
}

// service returns the seconds that an item of so much work is expected to run,
// zero if nothing was observed.
func (pol *pool) service(work float64) float64 {
	if pol.meanWork <= 0 {
		return 0
	}
	return work * pol.meanDur / pol.meanWork
}

// delay returns the seconds that an item of flw is expected to wait behind
// the work ahead of it, zero if nothing was observed or no slot exists. An
// organisation gets at least its weight's part of the rate, and never waits
// longer than for everything that waits.
func (pol *pool) delay(flw *flow, ahead float64) float64 {
	if pol.meanWork <= 0 || pol.slots == 0 || pol.running < pol.slots {
		return 0
	}
	wgt := flw.org.weight()
	sum := pol.weights
	if flw.items == 0 {
		sum += wgt
	}
	lag := (pol.start(flw) - pol.vtime) * wgt
	mine := math.Max(0, ahead+lag) * sum / wgt
	return math.Min(mine, pol.backlog) * pol.meanDur / pol.meanWork / float64(pol.slots)
}

// turn returns the mean time between two slots that become free, zero if
// nothing was observed.
func (pol *pool) turn() time.Duration {
	return seconds(pol.meanDur / math.Max(1, float64(pol.slots)))
}
