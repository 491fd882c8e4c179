package repair

import (
	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// proposals returns the records to propose now, those that free VMs first.
func (ctl *Controller) proposals(vew *view) []Action {
	var out []Action
	for _, asn := range vew.live {
		if asn.Phase == core.PhaseRetired {
			out = append(out, ctl.unloaded(vew, asn)...)
			continue
		}
		out = append(out, ctl.review(vew, asn)...)
	}
	free := ctl.free(vew)
	for _, wnt := range vew.wanted {
		out = append(out, ctl.assign(vew, wnt, free)...)
	}
	return out
}

// assign proposes VMs for a wanted group that has none.
func (ctl *Controller) assign(vew *view, wnt Wanted, free map[core.Domain][]core.VMName) []Action {
	asn := vew.asns[wnt.Group]
	if !wnt.Enabled || wnt.Draining || len(asn.VMs) > 0 {
		return nil
	}
	if _, ok := ctl.proposed[wnt.Group]; ok {
		return nil
	}
	dom, vms := place(vew, wnt, free)
	if vms == nil {
		return nil
	}
	free[dom] = free[dom][len(vms):]
	rec := recd.Record{Assign: &recd.Assign{
		Group:  wnt.Group,
		Zone:   wnt.Zone,
		Domain: dom,
		VMs:    vms,
		Spec:   wnt.Spec,
		Base:   asn.Order,
	}}
	return ctl.propose(vew, wnt.Group, rec, vms)
}

// unloaded proposes to free the members of a retired assignment once each was
// known empty for the dispatch bound, or has not answered for it.
func (ctl *Controller) unloaded(vew *view, asn core.Assignment) []Action {
	for _, vmn := range asn.VMs {
		if !ctl.released(vew, vmn, asn) {
			return nil
		}
	}
	rec := recd.Record{Unload: &recd.Unload{Group: asn.Group, Base: asn.Order, VMs: asn.VMs}}
	return ctl.propose(vew, asn.Group, rec, nil)
}

func (ctl *Controller) released(vew *view, vmn core.VMName, asn core.Assignment) bool {
	trk := ctl.vms[vmn]
	bound := vew.in.Weights.Bound
	if trk.idleFor(vew.in.Now, bound) {
		return true
	}
	gone := ctl.goneFor(vew, vmn, asn)
	return gone >= bound
}

// review proposes to retire an assignment that should not go on.
func (ctl *Controller) review(vew *view, asn core.Assignment) []Action {
	reason := ctl.reason(vew, asn)
	if reason == "" {
		return nil
	}
	rec := recd.Record{Retire: &recd.Retire{Group: asn.Group, Base: asn.Order, Reason: reason}}
	return ctl.propose(vew, asn.Group, rec, nil)
}
