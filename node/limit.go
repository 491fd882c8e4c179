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

// Constants of the queue's limits. The fraction evenShareFraction of an
// organisation's limit is divided evenly among the nodes, the rest by demand.
const (
	limitInterval       = 200 * time.Millisecond
	slotsPerPlainServer = 256
	evenShareFraction   = 0.3
)

// limitUpdater is the task that sets the queue's limits: how many requests the
// zone can run and which share of each organisation's limit the node has.
type limitUpdater struct {
	self       core.NodeName
	zone       core.Zone
	state      func() *clusterState
	vmPoller   *vmListPoller
	membership *membership
	gate       *gate.Gate
	queue      *queue.Queue
	now        func() time.Time

	// classes are the queue's classes as of the last update.
	classes core.Set[core.ModelName]
}

// run updates the queue until ctx ends.
func (limits *limitUpdater) run(ctx context.Context) error {
	return runEvery(ctx, limitInterval, limits.update)
}

// update sets the present limits.
func (limits *limitUpdater) update() {
	state := limits.state()
	nodes := limits.membership.liveNodes()
	peers := max(1, len(nodes.inZone(limits.zone)))
	classes := core.NewSet[core.ModelName]()
	for _, model := range state.models {
		limits.setClassLimits(model, slotsPerNode(limits.modelSlots(state, model), peers), state.tree.Config(tree.ModelPath(model)))
		classes.Add(model)
	}
	for _, svc := range state.services {
		class := queue.Class(core.Job{Service: svc})
		num := slotsPerPlainServer * len(limits.serviceServers(svc))
		limits.setClassLimits(class, slotsPerNode(num, peers), state.tree.Config(tree.ServicePath(svc)))
		classes.Add(class)
	}
	limits.closeRemovedClasses(classes)
	for _, org := range state.orgs {
		limits.queue.SetOrg(org, orgLimits(state.tree.Config(tree.OrgPath(org))))
		limits.queue.SetShare(org, limits.orgShare(nodes, org))
	}
}

// setClassLimits sets the capacity and the depth of one class.
func (limits *limitUpdater) setClassLimits(class core.ModelName, slots int, cfg tree.Config) {
	limits.queue.SetCapacity(class, slots)
	limits.queue.SetMaxQueued(class, cfg.Int("queue.depth"))
}

// closeRemovedClasses sets the capacity of classes that are no longer in the
// settings to zero.
func (limits *limitUpdater) closeRemovedClasses(current core.Set[core.ModelName]) {
	for _, class := range limits.classes.Sorted() {
		if !current.Has(class) {
			limits.queue.SetCapacity(class, 0)
		}
	}
	limits.classes = current
}

// slotsPerNode divides slots among nodes, rounding up.
func slotsPerNode(slots, nodes int) int { return (slots + nodes - 1) / nodes }

// modelSlots returns how many requests the zone's permitted groups of the
// model run at once.
func (limits *limitUpdater) modelSlots(state *clusterState, model core.ModelName) int {
	now := limits.now()
	sum := 0
	for _, assignment := range state.assignmentsByModel[model] {
		if _, err := limits.gate.Permit(assignment.Group, now); err == nil {
			sum += state.groupCapacity(assignment)
		}
	}
	return sum
}

// serviceServers returns the zone's servers of a plain service.
func (limits *limitUpdater) serviceServers(service string) []core.VM {
	var out []core.VM
	for _, vm := range limits.vmPoller.list().inZone(limits.zone, core.VMPlain) {
		if vm.Service == service {
			out = append(out, vm)
		}
	}
	return out
}

// orgLimits reads the limits of an organisation.
func orgLimits(cfg tree.Config) admit.OrgLimits {
	return admit.OrgLimits{
		Weight:            cfg.Float("org.weight"),
		RequestsPerSecond: cfg.Float("org.requests_per_second"),
		TokensPerSecond:   cfg.Float("org.tokens_per_second"),
		Concurrency:       cfg.Int("org.concurrency"),
		MaxPriority:       cfg.Int("org.priority"),
	}
}

// orgShare returns this node's share of the organisation's limits. Entry VMs
// in the VM list that are not live count as unreachable.
func (limits *limitUpdater) orgShare(nodes *liveNodes, org core.OrgName) float64 {
	self := -1
	live := make(map[core.NodeName]bool)
	var shareNodes []admit.Node
	for idx, hb := range nodes.heartbeats {
		if hb.Node == limits.self {
			self = idx
		}
		live[hb.Node] = true
		shareNodes = append(shareNodes, admit.Node{Zone: hb.Zone, Demand: hb.Usage[org].Requests, Reachable: true})
	}
	if self < 0 {
		return 0
	}
	shareNodes[self].Demand = limits.queue.Usage()[org].Requests
	for _, vm := range limits.vmPoller.list().vms {
		if vm.Kind == core.VMEntry && !vm.Leaving && !live[core.NodeName(vm.Name)] {
			shareNodes = append(shareNodes, admit.Node{Zone: vm.Zone})
		}
	}
	return admit.Share(shareNodes, self, evenShareFraction)
}
