package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/order"
)

// orders returns the orders to send now: first the unloads, then the loads by
// priority within the rate limit of the weight store.
func (ctl *Controller) orders(view *zoneView) []Action {
	var out []Action
	for _, vm := range view.engines {
		out = append(out, ctl.unloadOrder(view, vm.Name)...)
	}
	return append(out, ctl.loadOrders(view)...)
}

// unloadOrder returns the order to unload a VM that still holds a model of an
// inactive assignment. The order has the fencing token that the VM reports, or
// the token of the VM's hold if that is newer, so that it undoes only that load.
func (ctl *Controller) unloadOrder(view *zoneView, vmName core.VMName) []Action {
	probe := view.in.Statuses[vmName].Probe
	if !view.fresh(vmName) || probe.State == core.EngineEmpty {
		return nil
	}
	hold, held := view.holdByVM[vmName]
	assignment := view.assignmentByGroup[hold.Group]
	if !held {
		assignment = view.assignmentByGroup[probe.Group]
	}
	if held && assignment.FencingToken == hold.FencingToken && assignment.Phase == core.PhaseAssigned {
		return nil
	}
	if !held && !view.in.LogOK {
		return nil
	}
	if assignment.FencingToken == probe.FencingToken && assignment.Phase == core.PhaseRetired && ctl.draining(view, assignment) {
		return nil
	}
	ord := core.Order{FencingToken: max(probe.FencingToken, hold.FencingToken), Action: core.ActionUnload, Group: probe.Group, Spec: probe.Spec}
	return ctl.sendOrder(view, vmName, ord, assignment)
}

// draining reports whether requests may still run on a retired assignment:
// nodes count requests in flight, or the retirement was seen less than the
// maximum probe age ago, so that some nodes may not have read it yet. An
// assignment with members that are not ready has nothing to drain.
func (ctl *Controller) draining(view *zoneView, assignment core.Assignment) bool {
	if len(assignment.VMs) == 0 || !view.ready(assignment) {
		return false
	}
	return view.in.InFlightByGroup[assignment.Group] > 0 || view.in.Now.Sub(ctl.phaseSeenAt(assignment)) < view.in.Settings.MaxProbeAge
}

// queuedGroup is an assignment with the ranks of the members to load.
type queuedGroup struct {
	assignment core.Assignment
	ranks      []int
	priority   float64
}

// loadOrders returns the load orders for members that are not loaded for their
// assignment, sorted by the priority of the policy.
func (ctl *Controller) loadOrders(view *zoneView) []Action {
	var queue []queuedGroup
	for _, assignment := range view.active {
		if item := ctl.queueEntry(view, assignment); len(item.ranks) > 0 {
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

func (ctl *Controller) queueEntry(view *zoneView, assignment core.Assignment) queuedGroup {
	item := queuedGroup{assignment: assignment}
	missing := 0
	for rank, vmName := range assignment.VMs {
		if !view.fresh(vmName) || view.leaving(vmName) {
			missing++
			continue
		}
		if needsLoad(view.in.Statuses[vmName].Probe, assignment) {
			item.ranks = append(item.ranks, rank)
		}
	}
	item.priority = ctl.cfg.Policy.LoadPriority(PendingLoads{
		GroupSize:      len(assignment.VMs),
		LoadsNeeded:    len(item.ranks),
		MissingMembers: missing,
		WaitTime:       view.in.Now.Sub(ctl.phaseSeenAt(assignment)),
		Settings:       view.in.Settings,
	})
	return item
}

func (ctl *Controller) loadOrder(view *zoneView, assignment core.Assignment, rank int) []Action {
	vmName := assignment.VMs[rank]
	ord := core.Order{
		FencingToken: assignment.FencingToken,
		Action:       core.ActionLoad,
		Group:        assignment.Group,
		Spec:         assignment.Spec,
		Members:      assignment.VMs,
		Rank:         rank,
	}
	if ctl.sentRecently(view, vmName, ord) || !ctl.maySend(view, vmName, assignment) || !ctl.loadLimiter.allow(view.in) {
		return nil
	}
	return ctl.sendOrder(view, vmName, ord, assignment)
}

// sendOrder returns the action to send the order, unless the order was sent
// recently or may not be sent now.
func (ctl *Controller) sendOrder(view *zoneView, vmName core.VMName, ord core.Order, assignment core.Assignment) []Action {
	if ctl.sentRecently(view, vmName, ord) || !ctl.maySend(view, vmName, assignment) {
		return nil
	}
	state := ctl.stateByVM[vmName]
	state.lastOrderAt, state.lastOrderToken, state.lastOrderAction = view.in.Now, ord.FencingToken, ord.Action
	return []Action{SendOrder{
		VM:               vmName,
		Order:            ord,
		SupportsFencing:  view.in.FencingVMs.Has(vmName),
		ConfirmedAt:      view.in.ConfirmedAt,
		AssignmentSeenAt: ctl.phaseSeenAt(assignment),
	}}
}

func (ctl *Controller) sentRecently(view *zoneView, vmName core.VMName, ord core.Order) bool {
	state := ctl.stateByVM[vmName]
	return state.lastOrderToken == ord.FencingToken && state.lastOrderAction == ord.Action && view.in.Now.Sub(state.lastOrderAt) < orderRetryInterval
}

func (ctl *Controller) maySend(view *zoneView, vmName core.VMName, assignment core.Assignment) bool {
	fencing := view.in.FencingVMs.Has(vmName)
	if !view.in.LogOK && !view.in.PeersAgree && !fencing {
		return false
	}
	send := SendOrder{SupportsFencing: fencing, ConfirmedAt: view.in.ConfirmedAt, AssignmentSeenAt: ctl.phaseSeenAt(assignment)}
	return order.CheckSend(send.Request(view.in.ConfirmedAt, view.in.Now, view.in.Settings.OrderLease)) == nil
}

func needsLoad(probe core.ProbeResult, assignment core.Assignment) bool {
	loaded := probe.Group == assignment.Group && probe.FencingToken == assignment.FencingToken && probe.Spec.Equal(assignment.Spec)
	return probe.State == core.EngineEmpty || !loaded
}
