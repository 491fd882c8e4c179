package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/order"
)

// orders returns the orders that may be sent now: unloads first, then loads in
// the order of their queue, as far as the weight store's rate allows.
func (ctl *Controller) orders(view *zoneView) []Action {
	var out []Action
	for _, vm := range view.engines {
		out = append(out, ctl.unloadOrder(view, vm.Name)...)
	}
	return append(out, ctl.loadOrders(view)...)
}

// unloadOrder orders a VM to unload what it holds of an assignment that serves no
// more. The order has the number that the VM reports: it undoes just that
// load.
func (ctl *Controller) unloadOrder(view *zoneView, vmn core.VMName) []Action {
	probe := view.in.Statuses[vmn].Probe
	if !view.fresh(vmn) || probe.State == core.EngineEmpty {
		return nil
	}
	hold, held := view.holdByVM[vmn]
	asn := view.assignmentByGroup[hold.Group]
	if !held {
		asn = view.assignmentByGroup[probe.Group]
	}
	if held && asn.FencingToken == hold.FencingToken && asn.Phase == core.PhaseAssigned {
		return nil
	}
	if !held && !view.in.LogOK {
		return nil
	}
	if asn.FencingToken == probe.FencingToken && asn.Phase == core.PhaseRetired && ctl.draining(view, asn) {
		return nil
	}
	ord := core.Order{FencingToken: max(probe.FencingToken, hold.FencingToken), Action: core.ActionUnload, Group: probe.Group, Spec: probe.Spec}
	return ctl.sendOrder(view, vmn, ord, asn)
}

// draining reports whether requests may still run on a retired assignment: the
// nodes have had less than the dispatch bound to learn of the retirement, or
// some count requests in progress. One whose members are missing or that can't
// have served has nothing to drain.
func (ctl *Controller) draining(view *zoneView, asn core.Assignment) bool {
	if len(asn.VMs) == 0 || !view.ready(asn) {
		return false
	}
	return view.in.InFlightByGroup[asn.Group] > 0 || view.in.Now.Sub(ctl.phaseSeenAt(asn)) < view.in.Settings.MaxProbeAge
}

// queuedGroup is a group with members that need a load order.
type queuedGroup struct {
	assignment core.Assignment
	ranks      []int
	priority   float64
}

// loadOrders orders members to load that do not hold their group's assignment, in
// the order of the policy.
func (ctl *Controller) loadOrders(view *zoneView) []Action {
	var queue []queuedGroup
	for _, asn := range view.active {
		if item := ctl.queueEntry(view, asn); len(item.ranks) > 0 {
			queue = append(queue, item)
		}
	}
	slices.SortFunc(queue, func(lhs, rhs queuedGroup) int {
		return cmp.Or(cmp.Compare(rhs.priority, lhs.priority), cmp.Compare(lhs.assignment.Group, rhs.assignment.Group))
	})
	var out []Action
	for _, item := range queue {
		for _, rank := range item.ranks {
			out = append(out, ctl.loadOrder(view, item.assignment, rank)...)
		}
	}
	return out
}

func (ctl *Controller) queueEntry(view *zoneView, asn core.Assignment) queuedGroup {
	item := queuedGroup{assignment: asn}
	missing := 0
	for rank, vmn := range asn.VMs {
		if !view.fresh(vmn) || view.leaving(vmn) {
			missing++
			continue
		}
		if needsLoad(view.in.Statuses[vmn].Probe, asn) {
			item.ranks = append(item.ranks, rank)
		}
	}
	item.priority = ctl.cfg.Policy.LoadPriority(PendingLoads{
		GroupSize:      len(asn.VMs),
		LoadsNeeded:    len(item.ranks),
		MissingMembers: missing,
		WaitTime:       view.in.Now.Sub(ctl.phaseSeenAt(asn)),
		Settings:       view.in.Settings,
	})
	return item
}

func (ctl *Controller) loadOrder(view *zoneView, asn core.Assignment, rank int) []Action {
	vmn := asn.VMs[rank]
	ord := core.Order{
		FencingToken: asn.FencingToken,
		Action:       core.ActionLoad,
		Group:        asn.Group,
		Spec:         asn.Spec,
		Members:      asn.VMs,
		Rank:         rank,
	}
	if ctl.sentRecently(view, vmn, ord) || !ctl.maySend(view, vmn, asn) || !ctl.loadLimiter.allow(view.in) {
		return nil
	}
	return ctl.sendOrder(view, vmn, ord, asn)
}

// sendOrder returns the order unless it was sent a short time ago or may not be
// sent now.
func (ctl *Controller) sendOrder(view *zoneView, vmn core.VMName, ord core.Order, asn core.Assignment) []Action {
	if ctl.sentRecently(view, vmn, ord) || !ctl.maySend(view, vmn, asn) {
		return nil
	}
	state := ctl.stateByVM[vmn]
	state.lastOrderAt, state.lastOrderToken, state.lastOrderAction = view.in.Now, ord.FencingToken, ord.Action
	return []Action{SendOrder{
		VM:               vmn,
		Order:            ord,
		SupportsFencing:  view.in.FencingVMs.Has(vmn),
		ConfirmedAt:      view.in.ConfirmedAt,
		AssignmentSeenAt: ctl.phaseSeenAt(asn),
	}}
}

func (ctl *Controller) sentRecently(view *zoneView, vmn core.VMName, ord core.Order) bool {
	state := ctl.stateByVM[vmn]
	return state.lastOrderToken == ord.FencingToken && state.lastOrderAction == ord.Action && view.in.Now.Sub(state.lastOrderAt) < orderRetryInterval
}

func (ctl *Controller) maySend(view *zoneView, vmn core.VMName, asn core.Assignment) bool {
	fencing := view.in.FencingVMs.Has(vmn)
	if !view.in.LogOK && !view.in.PeersAgree && !fencing {
		return false
	}
	send := SendOrder{SupportsFencing: fencing, ConfirmedAt: view.in.ConfirmedAt, AssignmentSeenAt: ctl.phaseSeenAt(asn)}
	return order.CheckSend(send.Request(view.in.ConfirmedAt, view.in.Now, view.in.Settings.OrderLease)) == nil
}

func needsLoad(probe core.ProbeResult, asn core.Assignment) bool {
	loaded := probe.Group == asn.Group && probe.FencingToken == asn.FencingToken && probe.Spec.Equal(asn.Spec)
	return probe.State == core.EngineEmpty || !loaded
}
