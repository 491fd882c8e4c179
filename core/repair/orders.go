package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/order"
)

// orders returns the orders that may be sent now: unloads first, then loads in
// the order of their queue, as far as the weight store's rate allows.
func (ctl *Controller) orders(vew *view) []Action {
	var out []Action
	for _, vmx := range vew.engines {
		out = append(out, ctl.unload(vew, vmx.Name)...)
	}
	return append(out, ctl.loads(vew)...)
}

// unload orders a VM to unload what it holds of an assignment that serves no
// more. The order has the number that the VM reports: it undoes just that
// load.
func (ctl *Controller) unload(vew *view, vmn core.VMName) []Action {
	prb := vew.in.Sights[vmn].Probe
	if !vew.fresh(vmn) || prb.State == core.EngineEmpty {
		return nil
	}
	hld, held := vew.holds[vmn]
	asn := vew.asns[hld.Group]
	if !held {
		asn = vew.asns[prb.Group]
	}
	if held && asn.FencingToken == hld.Order && asn.Phase == core.PhaseAssigned {
		return nil
	}
	if !held && !vew.in.LogOK {
		return nil
	}
	if asn.FencingToken == prb.FencingToken && asn.Phase == core.PhaseRetired && ctl.draining(vew, asn) {
		return nil
	}
	ord := core.Order{FencingToken: max(prb.FencingToken, hld.Order), Action: core.ActionUnload, Group: prb.Group, Spec: prb.Spec}
	return ctl.send(vew, vmn, ord, asn)
}

// draining reports whether requests may still run on a retired assignment: the
// nodes have had less than the dispatch bound to learn of the retirement, or
// some count requests in progress. One whose members are missing or that can't
// have served has nothing to drain.
func (ctl *Controller) draining(vew *view, asn core.Assignment) bool {
	if len(asn.VMs) == 0 || !vew.ready(asn) {
		return false
	}
	return vew.in.InFlight[asn.Group] > 0 || vew.in.Now.Sub(ctl.seen(asn)) < vew.in.Weights.Bound
}

// queued is a group with members that need a load order.
type queued struct {
	asn     core.Assignment
	ranks   []int
	urgency float64
}

// loads orders members to load that do not hold their group's assignment, in
// the order of the policy.
func (ctl *Controller) loads(vew *view) []Action {
	var que []queued
	for _, asn := range vew.live {
		if itm := ctl.queue(vew, asn); len(itm.ranks) > 0 {
			que = append(que, itm)
		}
	}
	slices.SortFunc(que, func(aqu, bqu queued) int {
		return cmp.Or(cmp.Compare(bqu.urgency, aqu.urgency), cmp.Compare(aqu.asn.Group, bqu.asn.Group))
	})
	var out []Action
	for _, itm := range que {
		for _, rnk := range itm.ranks {
			out = append(out, ctl.load(vew, itm.asn, rnk)...)
		}
	}
	return out
}

func (ctl *Controller) queue(vew *view, asn core.Assignment) queued {
	itm := queued{asn: asn}
	missing := 0
	for rnk, vmn := range asn.VMs {
		if !vew.fresh(vmn) || vew.leaving(vmn) {
			missing++
			continue
		}
		if needsLoad(vew.in.Sights[vmn].Probe, asn) {
			itm.ranks = append(itm.ranks, rnk)
		}
	}
	itm.urgency = ctl.cfg.Policy.Urgency(Pending{
		Size:    len(asn.VMs),
		Loads:   len(itm.ranks),
		Missing: missing,
		Waited:  vew.in.Now.Sub(ctl.seen(asn)),
		Weights: vew.in.Weights,
	})
	return itm
}

func (ctl *Controller) load(vew *view, asn core.Assignment, rnk int) []Action {
	vmn := asn.VMs[rnk]
	ord := core.Order{
		FencingToken: asn.FencingToken,
		Action:       core.ActionLoad,
		Group:        asn.Group,
		Spec:         asn.Spec,
		Members:      asn.VMs,
		Rank:         rnk,
	}
	if ctl.recent(vew, vmn, ord) || !ctl.may(vew, vmn, asn) || !ctl.budget.take(vew.in) {
		return nil
	}
	return ctl.send(vew, vmn, ord, asn)
}

// send returns the order unless it was sent a short time ago or may not be
// sent now.
func (ctl *Controller) send(vew *view, vmn core.VMName, ord core.Order, asn core.Assignment) []Action {
	if ctl.recent(vew, vmn, ord) || !ctl.may(vew, vmn, asn) {
		return nil
	}
	trk := ctl.vms[vmn]
	trk.ordered, trk.number, trk.action = vew.in.Now, ord.FencingToken, ord.Action
	return []Action{Send{
		VM:           vmn,
		Order:        ord,
		Fencing:      vew.in.Fencing.Has(vmn),
		Confirmed:    vew.in.Confirmed,
		AssignedSeen: ctl.seen(asn),
	}}
}

func (ctl *Controller) recent(vew *view, vmn core.VMName, ord core.Order) bool {
	trk := ctl.vms[vmn]
	return trk.number == ord.FencingToken && trk.action == ord.Action && vew.in.Now.Sub(trk.ordered) < orderRetry
}

func (ctl *Controller) may(vew *view, vmn core.VMName, asn core.Assignment) bool {
	fnc := vew.in.Fencing.Has(vmn)
	if !vew.in.LogOK && !vew.in.ZoneAgrees && !fnc {
		return false
	}
	snd := Send{Fencing: fnc, Confirmed: vew.in.Confirmed, AssignedSeen: ctl.seen(asn)}
	return order.CheckSend(snd.Request(vew.in.Confirmed, vew.in.Now, vew.in.Weights.Lease)) == nil
}

func needsLoad(prb core.ProbeResult, asn core.Assignment) bool {
	same := prb.Group == asn.Group && prb.FencingToken == asn.FencingToken && prb.Spec.Equal(asn.Spec)
	return prb.State == core.EngineEmpty || !same
}
