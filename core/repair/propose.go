package repair

import (
	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// proposals returns the records to propose now, those that free VMs first.
func (ctl *Controller) proposals(vew *view) []Action {
	out := ctl.unloaded(vew)
	for _, asn := range vew.live {
		out = append(out, ctl.review(vew, asn)...)
	}
	pol := ctl.pool(vew)
	for _, wnt := range vew.wanted {
		out = append(out, ctl.assign(vew, wnt, pol)...)
	}
	return out
}

// assign proposes VMs for a wanted group that has none.
func (ctl *Controller) assign(vew *view, wnt Wanted, pol pool) []Action {
	asn := vew.asns[wnt.Group]
	if !wnt.Enabled || wnt.Draining || asn.Phase == core.PhaseAssigned {
		return nil
	}
	if _, ok := ctl.proposed[wnt.Group]; ok || ctl.draining(vew, asn) {
		return nil
	}
	dom, vms := pol.take(vew, wnt)
	if vms == nil {
		pol.reserve(wnt)
		return nil
	}
	rec := recd.Record{Assign: &recd.Assign{
		Group:  wnt.Group,
		Zone:   wnt.Zone,
		Domain: dom,
		VMs:    vms,
		Spec:   wnt.Spec,
		Base:   asn.FencingToken,
	}}
	return ctl.propose(vew, wnt.Group, rec, vms)
}

// generation is an assignment of a group.
type generation struct {
	group core.GroupName
	order core.Offset
}

// unloaded proposes to free the VMs of assignments that serve no more, once
// they were known empty for the dispatch bound. It waits for members that are
// about to get there, so that one record frees them all, but not for missing
// ones: these stay held until they are seen empty.
func (ctl *Controller) unloaded(vew *view) []Action {
	var gens []generation
	ready := make(map[generation][]core.VMName)
	busy := core.NewSet[core.GroupName]()
	for _, hld := range vew.stale {
		gen := generation{group: hld.Group, order: hld.Order}
		switch {
		case ctl.vms[hld.VM].idleFor(vew.in.Now, vew.in.Weights.Bound):
			if len(ready[gen]) == 0 {
				gens = append(gens, gen)
			}
			ready[gen] = append(ready[gen], hld.VM)
		case vew.fresh(hld.VM):
			busy.Add(hld.Group)
		}
	}
	var out []Action
	for _, gen := range gens {
		if busy.Has(gen.group) {
			continue
		}
		rec := recd.Record{Unload: &recd.Unload{Group: gen.group, Base: gen.order, VMs: ready[gen]}}
		out = append(out, ctl.propose(vew, gen.group, rec, nil)...)
	}
	return out
}

// review proposes to retire an assignment that should not go on.
func (ctl *Controller) review(vew *view, asn core.Assignment) []Action {
	reason := ctl.reason(vew, asn)
	if reason == "" {
		return nil
	}
	rec := recd.Record{Retire: &recd.Retire{Group: asn.Group, Base: asn.FencingToken, Reason: reason}}
	return ctl.propose(vew, asn.Group, rec, nil)
}
