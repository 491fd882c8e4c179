package node

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/admit"
	"kumquathinge/core/gate"
	"kumquathinge/core/tree"
	"kumquathinge/queue"
)

// Bounds of the admission task's inputs.
const (
	limitInterval = 200 * time.Millisecond
	plainSlots    = 256
	shareFloor    = 0.3
)

// limiter is the task that tells the queue how much work the zone can take and
// which part of each organisation's limit the node holds.
type limiter struct {
	self  core.NodeName
	zone  core.Zone
	world func() *world
	lst   *lister
	bet   *beater
	gat   *gate.Gate
	que   *queue.Queue
	now   func() time.Time

	// classes are those of the last update.
	classes core.Set[core.ModelName]
}

// run updates the queue until ctx ends.
func (lim *limiter) run(ctx context.Context) error {
	return every(ctx, limitInterval, lim.update)
}

// update passes the present limits on.
func (lim *limiter) update() {
	wor := lim.world()
	cir := lim.bet.circle()
	peers := max(1, len(cir.inZone(lim.zone)))
	classes := core.NewSet[core.ModelName]()
	for _, mod := range wor.models {
		lim.set(mod, perNode(lim.slots(wor, mod), peers), wor.tree.Config(tree.ModelPath(mod)))
		classes.Add(mod)
	}
	for _, svc := range wor.services {
		cls := queue.Class(core.Job{Service: svc})
		num := plainSlots * len(lim.servers(svc))
		lim.set(cls, perNode(num, peers), wor.tree.Config(tree.ServicePath(svc)))
		classes.Add(cls)
	}
	lim.dropOthers(classes)
	for _, org := range wor.orgs {
		lim.que.SetOrg(org, orgLimits(wor.tree.Config(tree.OrgPath(org))))
		lim.que.SetShare(org, lim.share(cir, org))
	}
}

// set passes the capacity and the depth of one class on.
func (lim *limiter) set(cls core.ModelName, slots int, cfg tree.Config) {
	lim.que.SetCapacity(cls, slots)
	lim.que.SetMaxQueued(cls, cfg.Int("queue.depth"))
}

// dropOthers closes the classes that have left the settings.
func (lim *limiter) dropOthers(now core.Set[core.ModelName]) {
	for _, cls := range lim.classes.Sorted() {
		if !now.Has(cls) {
			lim.que.SetCapacity(cls, 0)
		}
	}
	lim.classes = now
}

// perNode divides slots by the nodes that share them, rounding up.
func perNode(slots, nodes int) int { return (slots + nodes - 1) / nodes }

// slots returns how many requests the model's groups that may get work run at
// once.
func (lim *limiter) slots(wor *world, mod core.ModelName) int {
	now := lim.now()
	sum := 0
	for _, asg := range wor.byModel[mod] {
		if _, err := lim.gat.Permit(asg.Group, now); err == nil {
			sum += wor.capacity(asg)
		}
	}
	return sum
}

// servers returns the zone's servers of a service.
func (lim *limiter) servers(service string) []core.VM {
	var out []core.VM
	for _, vmx := range lim.lst.roster().inZone(lim.zone, core.VMPlain) {
		if vmx.Service == service {
			out = append(out, vmx)
		}
	}
	return out
}

// orgLimits reads an organisation's limits.
func orgLimits(cfg tree.Config) admit.OrgLimits {
	return admit.OrgLimits{
		Weight:            cfg.Float("org.weight"),
		RequestsPerSecond: cfg.Float("org.requests_per_second"),
		TokensPerSecond:   cfg.Float("org.tokens_per_second"),
		Concurrency:       cfg.Int("org.concurrency"),
		MaxPriority:       cfg.Int("org.priority"),
	}
}

// share returns the part of the organisation's limit that this node holds.
func (lim *limiter) share(cir *circle, org core.OrgName) float64 {
	self := -1
	live := make(map[core.NodeName]bool)
	var nods []admit.Node
	for idx, bea := range cir.live {
		if bea.Node == lim.self {
			self = idx
		}
		live[bea.Node] = true
		nods = append(nods, admit.Node{Zone: bea.Zone, Demand: bea.Usage[org].Requests, Reachable: true})
	}
	if self < 0 {
		return 0
	}
	nods[self].Demand = lim.que.Usage()[org].Requests
	for _, vmx := range lim.lst.roster().vms {
		if vmx.Kind == core.VMEntry && !vmx.Leaving && !live[core.NodeName(vmx.Name)] {
			nods = append(nods, admit.Node{Zone: vmx.Zone})
		}
	}
	return admit.Share(nods, self, shareFloor)
}
