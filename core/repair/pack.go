package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// pool holds the VMs of each domain that groups may be given. Free ones can be
// assigned now; soon ones will be free once they are unloaded.
type pool struct {
	free map[core.Domain][]core.VMName
	soon map[core.Domain]int
}

// pool finds the VMs that no group needs. A free VM is known to have been
// empty for the dispatch bound, is not leaving, and is neither held nor
// proposed for a group.
func (ctl *Controller) pool(vew *view) pool {
	taken := core.NewSet[core.VMName]()
	for _, pro := range ctl.proposed {
		for _, vmn := range pro.vms {
			taken.Add(vmn)
		}
	}
	pol := pool{free: make(map[core.Domain][]core.VMName), soon: make(map[core.Domain]int)}
	for _, vmx := range vew.engines {
		hld, held := vew.holds[vmx.Name]
		if vew.leaving(vmx.Name) || taken.Has(vmx.Name) || !vew.fresh(vmx.Name) {
			continue
		}
		asn := vew.asns[hld.Group]
		switch {
		case held && asn.FencingToken == hld.Order && asn.Phase == core.PhaseAssigned:
		case !held && ctl.vms[vmx.Name].idleFor(vew.in.Now, vew.in.Weights.Bound):
			pol.free[vmx.Domain] = append(pol.free[vmx.Domain], vmx.Name)
		default:
			pol.soon[vmx.Domain]++
		}
	}
	return pol
}

// look returns the pool as it was when the step first looked; it is not to be
// taken from.
func (ctl *Controller) look(vew *view) pool {
	if vew.pooled == nil {
		pol := ctl.pool(vew)
		vew.pooled = &pol
	}
	return *vew.pooled
}

// take removes VMs for wnt from the pool and returns them and their domain, nil
// if no domain has enough. It prefers a domain that keeps the spares, then one
// whose rest fits another wanted group, then the one with the least rest.
func (pol pool) take(vew *view, wnt Wanted) (core.Domain, []core.VMName) {
	if wnt.Size <= 0 {
		return "", nil
	}
	var doms []core.Domain
	for dom, vms := range pol.free {
		if len(vms) >= wnt.Size && wnt.allows(dom) {
			doms = append(doms, dom)
		}
	}
	if len(doms) == 0 {
		return "", nil
	}
	slices.SortFunc(doms, func(ado, bdo core.Domain) int {
		return cmp.Or(
			cmp.Compare(vew.misfit(wnt, len(pol.free[ado])), vew.misfit(wnt, len(pol.free[bdo]))),
			cmp.Compare(len(pol.free[ado]), len(pol.free[bdo])),
			cmp.Compare(ado, bdo),
		)
	})
	dom := doms[0]
	vms := slices.Clone(pol.free[dom][:wnt.Size])
	pol.free[dom] = pol.free[dom][wnt.Size:]
	return dom, vms
}

// reserve removes the free VMs of the domain in which wnt can be placed once
// other VMs are unloaded, so that no smaller group takes them first.
func (pol pool) reserve(wnt Wanted) {
	best, short := core.Domain(""), 0
	for dom, num := range pol.soon {
		need := wnt.Size - len(pol.free[dom])
		if need > num || !wnt.allows(dom) {
			continue
		}
		if best == "" || need < short || (need == short && dom < best) {
			best, short = dom, need
		}
	}
	if best == "" {
		return
	}
	pol.soon[best] -= short
	delete(pol.free, best)
}

func (wnt Wanted) allows(dom core.Domain) bool { return wnt.Domain == "" || wnt.Domain == dom }

// misfit ranks the rest that a domain of have free VMs keeps: 0 for a rest that
// keeps the spares and fits other wanted groups, more for one that does not.
func (vew *view) misfit(wnt Wanted, have int) int {
	rest := have - wnt.Size
	score := 0
	if rest < vew.in.Weights.Spares {
		score += 2
	}
	if over := rest - vew.in.Weights.Spares; over > 0 && !vew.fits(wnt.Group, over) {
		score++
	}
	return score
}

// fits reports whether rest VMs make up another wanted group.
func (vew *view) fits(not core.GroupName, rest int) bool {
	for _, wnt := range vew.wanted {
		if wnt.Group != not && wnt.Enabled && wnt.Size <= rest && vew.asns[wnt.Group].Phase != core.PhaseAssigned {
			return true
		}
	}
	return false
}
