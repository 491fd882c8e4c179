package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// free returns the VMs of each domain that a group may be given: known to be
// empty for the dispatch bound, not leaving, and neither held nor proposed for
// a group.
func (ctl *Controller) free(vew *view) map[core.Domain][]core.VMName {
	taken := core.NewSet[core.VMName]()
	for _, pro := range ctl.proposed {
		for _, vmn := range pro.vms {
			taken.Add(vmn)
		}
	}
	out := make(map[core.Domain][]core.VMName)
	for _, vmx := range vew.engines {
		_, held := vew.holder[vmx.Name]
		if held || taken.Has(vmx.Name) || vew.leaving(vmx.Name) {
			continue
		}
		if ctl.vms[vmx.Name].idleFor(vew.in.Now, vew.in.Weights.Bound) {
			out[vmx.Domain] = append(out[vmx.Domain], vmx.Name)
		}
	}
	return out
}

// place returns VMs for a group of wnt.Size in one domain, or nil if no domain
// has enough. It prefers a domain that keeps the spares, then one whose rest
// is useless or fits the next wanted group, then the one with the least rest.
func place(vew *view, wnt Wanted, free map[core.Domain][]core.VMName) (core.Domain, []core.VMName) {
	var doms []core.Domain
	for dom, vms := range free {
		if len(vms) >= wnt.Size && (wnt.Domain == "" || wnt.Domain == dom) {
			doms = append(doms, dom)
		}
	}
	if len(doms) == 0 || wnt.Size <= 0 {
		return "", nil
	}
	slices.SortFunc(doms, func(ado, bdo core.Domain) int {
		return cmp.Or(
			cmp.Compare(vew.misfit(wnt, len(free[ado])), vew.misfit(wnt, len(free[bdo]))),
			cmp.Compare(len(free[ado]), len(free[bdo])),
			cmp.Compare(ado, bdo),
		)
	})
	dom := doms[0]
	return dom, slices.Clone(free[dom][:wnt.Size])
}

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
		if wnt.Group != not && wnt.Enabled && wnt.Size <= rest && len(vew.asns[wnt.Group].VMs) == 0 {
			return true
		}
	}
	return false
}
