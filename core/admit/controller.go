package admit

import (
	"fmt"
	"time"

	"kumquathinge/core"
)

// Controller is the admission controller of one entry VM. Use New. A
// Controller is not safe for concurrent use.
type Controller struct {
	cfg     Config
	orgs    map[core.OrgName]*orgState
	queues  map[core.ModelName]*modelQueue
	entries map[uint64]*entry
	actions []Action
}

// New returns a Controller without capacity: all items wait until SetCapacity
// is called.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:     cfg.withDefaults(),
		orgs:    make(map[core.OrgName]*orgState),
		queues:  make(map[core.ModelName]*modelQueue),
		entries: make(map[uint64]*entry),
	}
}

// Offer submits an item and returns the resulting actions, which may concern
// other items too. It panics if the cost is not positive, the work is negative
// or the ID is in use.
func (ctrl *Controller) Offer(item Item, now time.Time) []Action {
	if !(item.Cost > 0) || !(item.Work >= 0) {
		panic(fmt.Sprintf("admit: invalid cost %v or work %v of item %d", item.Cost, item.Work, item.ID))
	}
	if _, ok := ctrl.entries[item.ID]; ok {
		panic(fmt.Sprintf("admit: item %d was offered twice", item.ID))
	}
	if item.Work == 0 {
		item.Work = item.Cost
	}
	org := ctrl.orgFor(item.Org)
	org.demand.add(item.Cost, ctrl.cfg.UsageTimeConstant, now)
	item.Priority = min(max(item.Priority, 0), org.limits.MaxPriority, ctrl.cfg.Priorities-1)
	mq := ctrl.queueFor(item.Model)
	oq := mq.orgQueueFor(org, ctrl.cfg.Priorities)
	if act, late := ctrl.rejectLate(mq, oq, item, now); late {
		return ctrl.takeActions(act)
	}
	if wait := org.chargeRequest(item.Cost, ctrl.cfg.BurstTime, now); wait > 0 {
		return ctrl.takeActions(Reject{ID: item.ID, Code: core.CodeOrgLimit, RetryAfter: wait})
	}
	ent := &entry{item: item, org: org, queue: mq, orgQueue: oq, effectiveDeadline: ctrl.effectiveDeadline(item, now)}
	ctrl.entries[item.ID] = ent
	mq.push(ent, now)
	ctrl.fillSlots(mq, now)
	ctrl.evictExcess(mq, oq)
	return ctrl.takeActions()
}

// effectiveDeadline returns the time that determines an item's place in its
// queue: its deadline, but at most AgingTime from now.
func (ctrl *Controller) effectiveDeadline(item Item, now time.Time) time.Time {
	last := now.Add(ctrl.cfg.AgingTime)
	if item.Deadline.IsZero() || item.Deadline.After(last) {
		return last
	}
	return item.Deadline
}

// rejectLate returns the rejection of an item that cannot finish before its
// deadline, and whether there is one. While slots are spare and nothing waits,
// any item whose deadline has not passed is accepted, so that service times
// continue to be observed and an estimate that is too high is corrected.
func (ctrl *Controller) rejectLate(mq *modelQueue, oq *orgQueue, item Item, now time.Time) (Reject, bool) {
	if item.Deadline.IsZero() {
		return Reject{}, false
	}
	left := item.Deadline.Sub(now)
	if left > 0 && mq.hasSpareSlots() && mq.waiting == 0 {
		return Reject{}, false
	}
	ahead := oq.workAhead(item.Priority)
	wait := max(mq.waitSeconds(oq, ahead), oq.drainSeconds(ahead, now))
	need := toDuration(wait + mq.serviceSeconds(item.Work))
	if need < left {
		return Reject{}, false
	}
	after := max(need-left+mq.slotInterval(), time.Millisecond)
	return Reject{ID: item.ID, Code: core.CodeDeadline, RetryAfter: after}, true
}

// evictExcess rejects waiting items while a queue exceeds one of its limits.
func (ctrl *Controller) evictExcess(mq *modelQueue, oq *orgQueue) {
	for oq.waiting > ctrl.cfg.MaxQueuedPerOrg {
		ctrl.evict(oq.lastEntry())
	}
	for mq.waiting > mq.maxQueued {
		ctrl.evict(mq.longestBacklog().lastEntry())
	}
}

func (ctrl *Controller) evict(ent *entry) {
	ctrl.reject(ent, core.CodeQueueFull, max(ent.queue.slotInterval(), time.Millisecond))
}

// reject rejects a waiting item and refunds the tokens that it was charged.
func (ctrl *Controller) reject(ent *entry, code core.Code, after time.Duration) {
	ent.queue.remove(ent)
	ent.org.settleTokens(-ent.item.Cost)
	delete(ctrl.entries, ent.item.ID)
	ctrl.actions = append(ctrl.actions, Reject{ID: ent.item.ID, Code: code, RetryAfter: after})
}

// fillSlots admits waiting items while slots are free.
func (ctrl *Controller) fillSlots(mq *modelQueue, now time.Time) {
	for mq.running < mq.slots {
		ent := mq.next(ctrl.cfg.PriorityLead)
		if ent == nil {
			return
		}
		if ctrl.missesDeadline(ent, now) {
			ctrl.reject(ent, core.CodeDeadline, time.Millisecond)
			continue
		}
		ctrl.admit(ent, now)
	}
}

// missesDeadline reports whether a waiting item cannot finish before its
// deadline even if it starts now. While slots are spare, only the deadline
// itself counts.
func (ctrl *Controller) missesDeadline(ent *entry, now time.Time) bool {
	if ent.item.Deadline.IsZero() {
		return false
	}
	left := ent.item.Deadline.Sub(now)
	if ent.queue.hasSpareSlots() {
		return left <= 0
	}
	return toDuration(ent.queue.serviceSeconds(ent.item.Work)) >= left
}

func (ctrl *Controller) admit(ent *entry, now time.Time) {
	ent.orgQueue.addServed(ent.item.Work, now)
	ent.queue.remove(ent)
	ent.orgQueue.startTag += ent.item.Work / ent.org.weight()
	ent.running = true
	ent.startedAt = now
	ent.queue.running++
	ent.org.running++
	ctrl.actions = append(ctrl.actions, Admit{ID: ent.item.ID})
}

// Done reports that an admitted item has ended. The count tokens is what it
// used, or zero if it did not run after all. Done panics if the item was not
// admitted.
func (ctrl *Controller) Done(id uint64, tokens int, now time.Time) []Action {
	ent, ok := ctrl.entries[id]
	if !ok || !ent.running {
		panic(fmt.Sprintf("admit: Done called for item %d, which is not running", id))
	}
	if tokens > 0 {
		ent.queue.observe(ent.item.Work, now.Sub(ent.startedAt), ctrl.cfg.EWMAWeight)
	}
	ctrl.finish(ent, float64(tokens), now)
	return ctrl.takeActions()
}

// Cancel removes a waiting or running item; unknown IDs are ignored. It
// returns no action for the item itself.
func (ctrl *Controller) Cancel(id uint64, now time.Time) []Action {
	ent, ok := ctrl.entries[id]
	switch {
	case !ok:
	case ent.running:
		ctrl.finish(ent, ent.item.Cost, now)
	default:
		ent.queue.remove(ent)
		ent.org.settleTokens(-ent.item.Cost)
		delete(ctrl.entries, id)
	}
	return ctrl.takeActions()
}

func (ctrl *Controller) finish(ent *entry, tokens float64, now time.Time) {
	diff := tokens - ent.item.Cost
	ent.orgQueue.startTag += diff / ent.item.Cost * ent.item.Work / ent.org.weight()
	ent.org.settleTokens(diff)
	ent.queue.running--
	ent.org.running--
	delete(ctrl.entries, ent.item.ID)
	ctrl.fillSlotsAfter(ent, now)
}

// fillSlotsAfter admits waiting items after ent has ended: for its model, and
// for all others if a concurrency limit may have blocked its organisation.
func (ctrl *Controller) fillSlotsAfter(ent *entry, now time.Time) {
	ctrl.fillSlots(ent.queue, now)
	if ent.org.limits.Concurrency <= 0 || ent.org.waiting == 0 {
		return
	}
	for _, mq := range ctrl.sortedQueues() {
		ctrl.fillSlots(mq, now)
	}
}

// Tick rejects the waiting items that can no longer meet their deadlines and
// admits items that limits had blocked. Call it about every 100 ms.
func (ctrl *Controller) Tick(now time.Time) []Action {
	for _, mq := range ctrl.sortedQueues() {
		for _, ent := range mq.lateEntries(ctrl, now) {
			ctrl.reject(ent, core.CodeDeadline, time.Millisecond)
		}
		ctrl.fillSlots(mq, now)
	}
	return ctrl.takeActions()
}

// lateEntries returns the waiting items that can no longer meet their
// deadlines, because the latest start time has passed or because other items
// were placed before them.
func (mq *modelQueue) lateEntries(ctrl *Controller, now time.Time) []*entry {
	var out []*entry
	for _, oq := range mq.active {
		var ahead float64
		for pri := len(oq.byPriority) - 1; pri >= 0; pri-- {
			for _, ent := range oq.byPriority[pri] {
				if ctrl.missesDeadline(ent, now) || ctrl.overtaken(ent, ahead, now) {
					out = append(out, ent)
					continue
				}
				ahead += ent.item.Work
			}
		}
	}
	return out
}

// overtaken reports whether a waiting item cannot finish before its deadline,
// given the work ahead of it.
func (ctrl *Controller) overtaken(ent *entry, ahead float64, now time.Time) bool {
	if ent.item.Deadline.IsZero() || ent.queue.hasSpareSlots() {
		return false
	}
	need := ent.queue.waitSeconds(ent.orgQueue, ahead) + ent.queue.serviceSeconds(ent.item.Work)
	return toDuration(need) >= ent.item.Deadline.Sub(now)
}

func (ctrl *Controller) takeActions(acts ...Action) []Action {
	out := append(ctrl.actions, acts...)
	ctrl.actions = nil
	return out
}
