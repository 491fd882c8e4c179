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
	for _, asn := range vew.live {
		if asn.Phase == core.PhaseRetired {
			out = append(out, ctl.unloads(vew, asn)...)
		}
	}
	out = append(out, ctl.strays(vew)...)
	return append(out, ctl.loads(vew)...)
}

// unloads orders the members of a retired assignment to unload once no request
// is in progress on it.
func (ctl *Controller) unloads(vew *view, asn core.Assignment) []Action {
	if vew.in.InFlight[asn.Group] > 0 {
		return nil
	}
	var out []Action
	for rnk, vmn := range asn.VMs {
		if !vew.fresh(vmn) || vew.in.Sights[vmn].Probe.State == core.EngineEmpty {
			continue
		}
		ord := orderOf(asn, rnk, core.ActionUnload)
		out = append(out, ctl.send(vew, vmn, ord, asn)...)
	}
	return out
}

// strays orders VMs that no group holds, and that hold something, to unload.
// The order has the number that the VM reports: it undoes just that load.
func (ctl *Controller) strays(vew *view) []Action {
	if !vew.in.LogOK {
		return nil
	}
	var out []Action
	for _, vmx := range vew.engines {
		prb := vew.in.Sights[vmx.Name].Probe
		if _, held := vew.holder[vmx.Name]; held || !vew.fresh(vmx.Name) || prb.State == core.EngineEmpty {
			continue
		}
		ord := core.Order{Number: prb.Order, Action: core.ActionUnload, Group: prb.Group, Spec: prb.Spec}
		out = append(out, ctl.send(vew, vmx.Name, ord, vew.asns[prb.Group])...)
	}
	return out
}

// queued is a group with members that need a load order.
type queued struct {
	asn   core.Assignment
	ranks []int
	gain  float64
}

// loads orders members to load that do not hold their group's assignment. The
// queue follows Smith's rule (Various Optimizers for Single-Stage Production,
// 1956): the group with the greatest weight per load comes first, so that the
// weighted sum of completion times is least.
func (ctl *Controller) loads(vew *view) []Action {
	var que []queued
	for _, asn := range vew.live {
		if asn.Phase != core.PhaseAssigned {
			continue
		}
		if itm := ctl.queue(vew, asn); len(itm.ranks) > 0 {
			que = append(que, itm)
		}
	}
	slices.SortFunc(que, func(aqu, bqu queued) int {
		return cmp.Or(cmp.Compare(bqu.gain, aqu.gain), cmp.Compare(aqu.asn.Group, bqu.asn.Group))
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
	itm.gain = vew.value(asn, missing) / float64(max(1, len(itm.ranks)))
	return itm
}

// value is the weighted cost per second while the assignment is incomplete. A
// group that lacks a member gains nothing from a load.
func (vew *view) value(asn core.Assignment, missing int) float64 {
	if missing > 0 {
		return 0
	}
	return vew.in.Weights.Downtime + vew.in.Weights.Stranded*float64(len(asn.VMs))
}

func (ctl *Controller) load(vew *view, asn core.Assignment, rnk int) []Action {
	vmn := asn.VMs[rnk]
	ord := orderOf(asn, rnk, core.ActionLoad)
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
	trk.ordered, trk.number, trk.action = vew.in.Now, ord.Number, ord.Action
	return []Action{Send{
		VM:           vmn,
		Order:        ord,
		Fencing:      vew.in.Fencing.Has(vmn),
		AssignedSeen: ctl.seen(asn),
	}}
}

func (ctl *Controller) recent(vew *view, vmn core.VMName, ord core.Order) bool {
	trk := ctl.vms[vmn]
	return trk.number == ord.Number && trk.action == ord.Action && vew.in.Now.Sub(trk.ordered) < orderRetry
}

func (ctl *Controller) may(vew *view, vmn core.VMName, asn core.Assignment) bool {
	if !vew.in.LogOK && !vew.in.ZoneAgrees && !vew.in.Fencing.Has(vmn) {
		return false
	}
	snd := Send{Fencing: vew.in.Fencing.Has(vmn), AssignedSeen: ctl.seen(asn)}
	return order.May(snd.Request(vew.in.Confirmed, vew.in.Now, vew.in.Weights.Lease)) == nil
}

func needsLoad(prb core.Probe, asn core.Assignment) bool {
	same := prb.Group == asn.Group && prb.Order == asn.Order && prb.Spec.Equal(asn.Spec)
	return prb.State == core.EngineEmpty || !same
}

func orderOf(asn core.Assignment, rnk int, act core.Action) core.Order {
	return core.Order{
		Number:  asn.Order,
		Action:  act,
		Group:   asn.Group,
		Spec:    asn.Spec,
		Members: asn.VMs,
		Rank:    rnk,
	}
}
