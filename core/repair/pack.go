package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// vmPool holds the VMs of each domain that groups may be given. Free ones can be
// assigned now; soon ones will be free once they are unloaded.
type vmPool struct {
	freeByDomain      map[core.Domain][]core.VMName
	unloadingByDomain map[core.Domain]int
}

// buildPool finds the VMs that no group needs. A free VM is known to have been
// empty for the dispatch bound, is not leaving, and is neither held nor
// proposed for a group.
func (ctl *Controller) buildPool(view *zoneView) vmPool {
	taken := core.NewSet[core.VMName]()
	for _, proposal := range ctl.pendingByGroup {
		for _, vmn := range proposal.vms {
			taken.Add(vmn)
		}
	}
	pool := vmPool{freeByDomain: make(map[core.Domain][]core.VMName), unloadingByDomain: make(map[core.Domain]int)}
	for _, vm := range view.engines {
		hold, held := view.holdByVM[vm.Name]
		if view.leaving(vm.Name) || taken.Has(vm.Name) || !view.fresh(vm.Name) {
			continue
		}
		asn := view.assignmentByGroup[hold.Group]
		switch {
		case held && asn.FencingToken == hold.FencingToken && asn.Phase == core.PhaseAssigned:
		case !held && ctl.stateByVM[vm.Name].emptyFor(view.in.Now, view.in.Settings.MaxProbeAge):
			pool.freeByDomain[vm.Domain] = append(pool.freeByDomain[vm.Domain], vm.Name)
		default:
			pool.unloadingByDomain[vm.Domain]++
		}
	}
	return pool
}

// pool returns the pool as it was when the step first looked; it is not to be
// taken from.
func (ctl *Controller) pool(view *zoneView) vmPool {
	if view.sharedPool == nil {
		pool := ctl.buildPool(view)
		view.sharedPool = &pool
	}
	return *view.sharedPool
}

// allocate removes VMs for wnt from the pool and returns them and their domain, nil
// if no domain has enough. It prefers a domain that keeps the spares, then one
// whose rest fits another wanted group, then the one with the least rest.
func (pool vmPool) allocate(view *zoneView, desired DesiredGroup) (core.Domain, []core.VMName) {
	if desired.Size <= 0 {
		return "", nil
	}
	var doms []core.Domain
	for dom, vms := range pool.freeByDomain {
		if len(vms) >= desired.Size && desired.allowsDomain(dom) {
			doms = append(doms, dom)
		}
	}
	if len(doms) == 0 {
		return "", nil
	}
	slices.SortFunc(doms, func(lhs, rhs core.Domain) int {
		return cmp.Or(
			cmp.Compare(view.remainderPenalty(desired, len(pool.freeByDomain[lhs])), view.remainderPenalty(desired, len(pool.freeByDomain[rhs]))),
			cmp.Compare(len(pool.freeByDomain[lhs]), len(pool.freeByDomain[rhs])),
			cmp.Compare(lhs, rhs),
		)
	})
	dom := doms[0]
	vms := slices.Clone(pool.freeByDomain[dom][:desired.Size])
	pool.freeByDomain[dom] = pool.freeByDomain[dom][desired.Size:]
	return dom, vms
}

// reserve removes the free VMs of the domain in which wnt can be placed once
// other VMs are unloaded, so that no smaller group takes them first.
func (pool vmPool) reserve(desired DesiredGroup) {
	best, deficit := core.Domain(""), 0
	for dom, num := range pool.unloadingByDomain {
		needed := desired.Size - len(pool.freeByDomain[dom])
		if needed > num || !desired.allowsDomain(dom) {
			continue
		}
		if best == "" || needed < deficit || (needed == deficit && dom < best) {
			best, deficit = dom, needed
		}
	}
	if best == "" {
		return
	}
	pool.unloadingByDomain[best] -= deficit
	delete(pool.freeByDomain, best)
}

func (desired DesiredGroup) allowsDomain(dom core.Domain) bool {
	return desired.Domain == "" || desired.Domain == dom
}

// remainderPenalty ranks the rest that a domain of have free VMs keeps: 0 for a rest that
// keeps the spares and fits other wanted groups, more for one that does not.
func (view *zoneView) remainderPenalty(desired DesiredGroup, available int) int {
	remainder := available - desired.Size
	score := 0
	if remainder < view.in.Settings.Spares {
		score += 2
	}
	if surplus := remainder - view.in.Settings.Spares; surplus > 0 && !view.remainderUsable(desired.Group, surplus) {
		score++
	}
	return score
}

// remainderUsable reports whether rest VMs make up another wanted group.
func (view *zoneView) remainderUsable(except core.GroupName, surplus int) bool {
	for _, desired := range view.desired {
		if desired.Group != except && desired.Enabled && desired.Size <= surplus && view.assignmentByGroup[desired.Group].Phase != core.PhaseAssigned {
			return true
		}
	}
	return false
}
