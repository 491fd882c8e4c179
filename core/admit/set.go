package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// SetCapacity sets the number of items of a model that may run at once. If
// more are running, no item is admitted until enough have ended. Waiting items
// that fit into added slots are admitted at the next Tick. SetCapacity panics
// if slots is negative.
func (ctrl *Controller) SetCapacity(model core.ModelName, slots int) {
	if slots < 0 {
		panic("admit: negative capacity")
	}
	ctrl.queueFor(model).slots = slots
}

// SetMaxQueued limits the number of items that wait for a model. If the limit
// is lowered, excess items are rejected when the next item is offered.
// SetMaxQueued panics if maxQueued is negative.
func (ctrl *Controller) SetMaxQueued(model core.ModelName, maxQueued int) {
	if maxQueued < 0 {
		panic("admit: negative queue limit")
	}
	ctrl.queueFor(model).maxQueued = maxQueued
}

// SetOrg sets an organisation's limits.
func (ctrl *Controller) SetOrg(name core.OrgName, limits OrgLimits) {
	org := ctrl.orgFor(name)
	old := org.weight()
	org.limits = limits
	for _, mq := range ctrl.queues {
		if oq, ok := mq.byOrg[name]; ok && oq.activeIndex >= 0 {
			mq.activeWeight += org.weight() - old
		}
	}
}

// SetShare sets the fraction of the organisation's limits that this entry VM
// may use, in [0, 1]. The default is 1. SetShare panics if share is out of
// range.
func (ctrl *Controller) SetShare(name core.OrgName, share float64) {
	if !(share >= 0 && share <= 1) {
		panic("admit: share is not in [0, 1]")
	}
	ctrl.orgFor(name).share = math.Max(share, minShare)
}

// minShare keeps a share of zero from turning a limit into zero, which means
// no limit.
const minShare = 1e-6

// Usage returns the demand of each organisation at this entry VM: the offered
// load including rejected items, and the number of running items.
func (ctrl *Controller) Usage(now time.Time) map[core.OrgName]core.Usage {
	out := make(map[core.OrgName]core.Usage, len(ctrl.orgs))
	for name, org := range ctrl.orgs {
		org.demand.decay(ctrl.cfg.UsageTimeConstant, now)
		out[name] = core.Usage{
			Requests: org.demand.requests,
			Tokens:   org.demand.tokens,
			Running:  org.running,
		}
	}
	return out
}

// QueueStats describes the queue of one model.
type QueueStats struct {
	Model   core.ModelName
	Waiting int
	Running int
	Slots   int
	Wait    time.Duration // expected wait of an organisation without waiting items
}

// Queues returns the statistics of each model's queue, sorted by model name.
func (ctrl *Controller) Queues() []QueueStats {
	out := make([]QueueStats, 0, len(ctrl.queues))
	for _, mq := range ctrl.sortedQueues() {
		out = append(out, QueueStats{
			Model: mq.model, Waiting: mq.waiting, Running: mq.running, Slots: mq.slots,
			Wait: toDuration(mq.serviceSeconds(mq.backlog) / math.Max(1, float64(mq.slots))),
		})
	}
	return out
}

func (ctrl *Controller) orgFor(name core.OrgName) *orgState {
	org, ok := ctrl.orgs[name]
	if !ok {
		org = &orgState{name: name, limits: ctrl.cfg.DefaultLimits, share: 1}
		ctrl.orgs[name] = org
	}
	return org
}

func (ctrl *Controller) queueFor(model core.ModelName) *modelQueue {
	mq, ok := ctrl.queues[model]
	if !ok {
		mq = &modelQueue{model: model, idleCredit: ctrl.cfg.IdleCredit, maxQueued: ctrl.cfg.MaxQueued, byOrg: make(map[core.OrgName]*orgQueue)}
		ctrl.queues[model] = mq
	}
	return mq
}

func (ctrl *Controller) sortedQueues() []*modelQueue {
	out := make([]*modelQueue, 0, len(ctrl.queues))
	for _, mq := range ctrl.queues {
		out = append(out, mq)
	}
	slices.SortFunc(out, func(mq, other *modelQueue) int { return cmp.Compare(mq.model, other.model) })
	return out
}
