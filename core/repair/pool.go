package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// vmPool holds the VMs of each domain that are available for groups. The VMs in
// freeByDomain can be assigned now; unloadingByDomain counts the VMs that will
// be free once they are unloaded.
type vmPool struct {
	freeByDomain      map[core.Domain][]core.VMName
	unloadingByDomain map[core.Domain]int
}

// buildPool collects the VMs that no group uses. A VM is free if probes have
// shown it empty for the maximum probe age, it is not leaving, and it is neither
// held by a group nor part of a pending proposal.
func (ctl *Controller) buildPool(view *zoneView) vmPool {
	taken := core.NewSet[core.VMName]()
	for _, proposal := range ctl.pendingByGroup {
		for _, vmName := range proposal.vms {
			taken.Add(vmName)
		}
	}
	pool := vmPool{freeByDomain: make(map[core.Domain][]core.VMName), unloadingByDomain: make(map[core.Domain]int)}
	for _, vm := range view.engines {
		hold, held := view.holdByVM[vm.Name]
		if view.leaving(vm.Name) || taken.Has(vm.Name) || !view.fresh(vm.Name) {
			continue
		}
		assignment := view.assignmentByGroup[hold.Group]
		switch {
		case held && assignment.FencingToken == hold.FencingToken && assignment.Phase == core.PhaseAssigned:
		case !held && ctl.stateByVM[vm.Name].emptyFor(view.in.Now, view.in.Settings.MaxProbeAge):
			pool.freeByDomain[vm.Domain] = append(pool.freeByDomain[vm.Domain], vm.Name)
		default:
			pool.unloadingByDomain[vm.Domain]++
		}
	}
	return pool
}

// pool returns the pool as of its first use in the step. The caller must not
// modify it.
func (ctl *Controller) pool(view *zoneView) vmPool {
	if view.sharedPool == nil {
		pool := ctl.buildPool(view)
		view.sharedPool = &pool
	}
	return *view.sharedPool
}

// allocate removes VMs for the desired group from the pool and returns them with
// their domain, nil if no domain has enough. It prefers a domain that keeps its
// spares, then one whose remaining VMs fit another desired group, then the one
// with the fewest VMs remaining (best fit).
func (pool vmPool) allocate(view *zoneView, desired DesiredGroup) (core.Domain, []core.VMName) {
	if desired.Size <= 0 {
		return "", nil
	}
	var domains []core.Domain
	for domain, vms := range pool.freeByDomain {
		if len(vms) >= desired.Size && desired.allowsDomain(domain) {
			domains = append(domains, domain)
		}
	}
	if len(domains) == 0 {
		return "", nil
	}
	slices.SortFunc(domains, func(lhs, rhs core.Domain) int {
		return cmp.Or(
			cmp.Compare(view.remainderPenalty(desired, len(pool.freeByDomain[lhs])), view.remainderPenalty(desired, len(pool.freeByDomain[rhs]))),
			cmp.Compare(len(pool.freeByDomain[lhs]), len(pool.freeByDomain[rhs])),
			cmp.Compare(lhs, rhs),
		)
	})
	domain := domains[0]
	vms := slices.Clone(pool.freeByDomain[domain][:desired.Size])
	pool.freeByDomain[domain] = pool.freeByDomain[domain][desired.Size:]
	return domain, vms
}

// reserve removes the free VMs of the domain in which the desired group can be
// placed once other VMs are unloaded, so that no smaller group takes them.
func (pool vmPool) reserve(desired DesiredGroup) {
	best, deficit := core.Domain(""), 0
	for domain, num := range pool.unloadingByDomain {
		needed := desired.Size - len(pool.freeByDomain[domain])
		if needed > num || !desired.allowsDomain(domain) {
			continue
		}
		if best == "" || needed < deficit || (needed == deficit && domain < best) {
			best, deficit = domain, needed
		}
	}
	if best == "" {
		return
	}
	pool.unloadingByDomain[best] -= deficit
	delete(pool.freeByDomain, best)
}

func (desired DesiredGroup) allowsDomain(domain core.Domain) bool {
	return desired.Domain == "" || desired.Domain == domain
}

// remainderPenalty rates the VMs that remain of the available ones in a domain
// once the desired group is placed: 2 if they are fewer than the spares, 1 if
// the surplus over the spares fits no other desired group, else 0.
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

// remainderUsable reports whether surplus VMs are enough for another desired
// group that has no assignment.
func (view *zoneView) remainderUsable(except core.GroupName, surplus int) bool {
	for _, desired := range view.desired {
		if desired.Group != except && desired.Enabled && desired.Size <= surplus && view.assignmentByGroup[desired.Group].Phase != core.PhaseAssigned {
			return true
		}
	}
	return false
}
