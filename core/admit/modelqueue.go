package admit

import (
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// entry is a waiting or running item.
type entry struct {
	item              Item
	org               *orgState
	queue             *modelQueue
	orgQueue          *orgQueue
	effectiveDeadline time.Time // orders the items of one organisation and priority
	running           bool
	startedAt         time.Time
}

// modelQueue holds the slots of one model, its waiting items and its observed
// service time.
type modelQueue struct {
	model        core.ModelName
	slots        int
	maxQueued    int // maximum number of waiting items
	running      int
	waiting      int
	backlog      float64 // work waiting
	activeWeight float64 // sum of the weights of the active queues
	virtualTime  float64
	idleCredit   float64
	byOrg        map[core.OrgName]*orgQueue
	active       []*orgQueue // queues with waiting items
	meanSeconds  float64     // average service time of an item
	meanWork     float64     // average work of an item
}

func (mq *modelQueue) orgQueueFor(org *orgState, priorities int) *orgQueue {
	oq, ok := mq.byOrg[org.name]
	if !ok {
		oq = &orgQueue{org: org, byPriority: make([][]*entry, priorities), activeIndex: -1}
		mq.byOrg[org.name] = oq
	}
	return oq
}

func (mq *modelQueue) push(ent *entry, now time.Time) {
	oq := ent.orgQueue
	if oq.waiting == 0 {
		oq.startTag = mq.initialTag(oq)
		oq.waitingSince, oq.servedAt, oq.servedWork = now, now, 0
		oq.activeIndex = len(mq.active)
		mq.active = append(mq.active, oq)
		mq.activeWeight += oq.org.weight()
	}
	pri := ent.item.Priority
	oq.byPriority[pri] = insertByDeadline(oq.byPriority[pri], ent)
	oq.waiting++
	oq.backlog += ent.item.Work
	oq.org.waiting++
	mq.waiting++
	mq.backlog += ent.item.Work
}

// initialTag returns the start tag of a queue that becomes active: its
// previous tag, but at most idleCredit behind the virtual time.
func (mq *modelQueue) initialTag(oq *orgQueue) float64 {
	return math.Max(oq.startTag, mq.virtualTime-mq.idleCredit)
}

// remove removes a waiting item from its queue.
func (mq *modelQueue) remove(ent *entry) {
	oq := ent.orgQueue
	pri := ent.item.Priority
	oq.byPriority[pri] = removeEntry(oq.byPriority[pri], ent)
	oq.waiting--
	oq.backlog -= ent.item.Work
	oq.org.waiting--
	mq.waiting--
	mq.backlog -= ent.item.Work
	if oq.waiting > 0 {
		return
	}
	oq.backlog = 0
	last := len(mq.active) - 1
	mq.active[oq.activeIndex] = mq.active[last]
	mq.active[oq.activeIndex].activeIndex = oq.activeIndex
	mq.active[last] = nil
	mq.active = mq.active[:last]
	oq.activeIndex = -1
	mq.activeWeight -= oq.org.weight()
	if last == 0 {
		mq.activeWeight, mq.backlog = 0, 0
	}
}

// insertByDeadline inserts ent after the entries with the same or an earlier
// effective deadline.
func insertByDeadline(queue []*entry, ent *entry) []*entry {
	pos := len(queue)
	for pos > 0 && ent.effectiveDeadline.Before(queue[pos-1].effectiveDeadline) {
		pos--
	}
	return slices.Insert(queue, pos, ent)
}

func removeEntry(queue []*entry, ent *entry) []*entry {
	if queue[0] == ent {
		queue[0] = nil
		return queue[1:]
	}
	for idx, other := range queue {
		if other == ent {
			copy(queue[idx:], queue[idx+1:])
			queue[len(queue)-1] = nil
			return queue[:len(queue)-1]
		}
	}
	panic("admit: entry is not in its queue")
}

// next returns the item to admit next, or nil if none may run. It advances the
// virtual time to the smallest start tag.
func (mq *modelQueue) next(lead float64) *entry {
	least := math.Inf(1)
	for _, oq := range mq.active {
		if oq.org.atConcurrencyLimit() {
			oq.startTag = mq.initialTag(oq)
			continue
		}
		least = math.Min(least, oq.startTag)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	mq.virtualTime = math.Max(mq.virtualTime, least)
	var best *orgQueue
	for _, oq := range mq.active {
		if oq.org.atConcurrencyLimit() {
			continue
		}
		if best == nil || precedes(oq, best, least+lead) {
			best = oq
		}
	}
	return best.byPriority[best.topPriority()][0]
}

// precedes reports whether queue oq is served before queue other. Among queues
// with tags up to maxTag, the more urgent priority comes first, then the
// smaller tag.
func precedes(oq, other *orgQueue, maxTag float64) bool {
	within, otherWithin := oq.startTag <= maxTag, other.startTag <= maxTag
	if within != otherWithin {
		return within
	}
	if within {
		if priority, otherPriority := oq.topPriority(), other.topPriority(); priority != otherPriority {
			return priority > otherPriority
		}
	}
	if oq.startTag != other.startTag {
		return oq.startTag < other.startTag
	}
	return oq.org.name < other.org.name
}

// longestBacklog returns the active queue with the largest backlog relative to
// its weight.
func (mq *modelQueue) longestBacklog() *orgQueue {
	var best *orgQueue
	var most float64
	for _, oq := range mq.active {
		if val := oq.backlog / oq.org.weight(); best == nil || val > most {
			best, most = oq, val
		}
	}
	return best
}

// hasSpareSlots reports whether more than half of the slots are free or
// nothing runs.
func (mq *modelQueue) hasSpareSlots() bool { return 2*mq.running < mq.slots || mq.running == 0 }

// observe adds the service time of an item to the averages.
func (mq *modelQueue) observe(work float64, dur time.Duration, ewmaWeight float64) {
	if mq.meanWork == 0 {
		mq.meanWork, mq.meanSeconds = work, dur.Seconds()
		return
	}
	mq.meanWork += ewmaWeight * (work - mq.meanWork)
	mq.meanSeconds += ewmaWeight * (dur.Seconds() - mq.meanSeconds)
}

// serviceSeconds returns the expected service time in seconds of an item with
// the given work, or zero if nothing was observed yet.
func (mq *modelQueue) serviceSeconds(work float64) float64 {
	if mq.meanWork <= 0 {
		return 0
	}
	return work * mq.meanSeconds / mq.meanWork
}

// waitSeconds returns the expected time in seconds that an item of oq waits
// behind the work ahead of it. It returns zero if nothing was observed yet, if
// slots are free, or if there are none. The estimate assumes that an
// organisation gets at least its weighted share of the service rate, and that
// no item waits longer than the whole backlog takes.
func (mq *modelQueue) waitSeconds(oq *orgQueue, ahead float64) float64 {
	if mq.meanWork <= 0 || mq.slots == 0 || mq.running < mq.slots {
		return 0
	}
	weight := oq.org.weight()
	sum := mq.activeWeight
	if oq.waiting == 0 {
		sum += weight
	}
	lag := (mq.initialTag(oq) - mq.virtualTime) * weight
	mine := math.Max(0, ahead+lag) * sum / weight
	return math.Min(mine, mq.backlog) * mq.meanSeconds / mq.meanWork / float64(mq.slots)
}

// slotInterval returns the mean time between slots becoming free, or zero if
// nothing was observed yet.
func (mq *modelQueue) slotInterval() time.Duration {
	return toDuration(mq.meanSeconds / math.Max(1, float64(mq.slots)))
}
