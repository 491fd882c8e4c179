package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"kumquathinge/core"
)

// SetCapacity sets how many items of the model may run at once. With fewer
// slots than running items, nothing is admitted until enough have ended.
// Items that a new slot lets in are admitted by the next Tick. SetCapacity
// panics if slots is negative.
func (ctrl *Controller) SetCapacity(model core.ModelName, slots int) {
	if slots < 0 {
		panic("admit: negative capacity")
	}
	ctrl.queueFor(model).slots = slots
}

// SetMaxQueued bounds how many items may wait for the model. Items beyond a lower
// bound are refused as new ones come. SetDepth panics if depth is negative.
func (ctrl *Controller) SetMaxQueued(model core.ModelName, depth int) {
	if depth < 0 {
		panic("admit: negative depth")
	}
	ctrl.queueFor(model).maxWaiting = depth
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

// SetShare sets the part of the organisation's limits that this entry VM may
// use, in [0, 1]. It is 1 until set. SetShare panics if share is out of range.
func (ctrl *Controller) SetShare(name core.OrgName, share float64) {
	if !(share >= 0 && share <= 1) {
		panic("admit: share out of [0, 1]")
	}
	ctrl.orgFor(name).share = math.Max(share, minShare)
}

// minShare keeps an organisation with a limit from a share that would read as
// no limit at all.
const minShare = 1e-6

// Usage returns the organisations' demand at this entry VM: what was offered,
// refused items included, and what runs.
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

// QueueStats is how many items of a model wait and run, and its slots.
type QueueStats struct {
	Model   core.ModelName
	Waiting int
	Running int
	Slots   int
	Wait    time.Duration // expected, for an organisation that has nothing waiting
}

// Queues returns the state of each model's queue, by name.
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
		mq = &modelQueue{model: model, idleCredit: ctrl.cfg.IdleCredit, maxWaiting: ctrl.cfg.MaxQueued, byOrg: make(map[core.OrgName]*orgQueue)}
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
