package repair

import (
	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// proposals returns the records to propose now, first those that free VMs.
func (ctl *Controller) proposals(view *zoneView) []Action {
	out := ctl.proposeUnloads(view)
	for _, assignment := range view.active {
		out = append(out, ctl.proposeRetire(view, assignment)...)
	}
	pool := ctl.buildPool(view)
	for _, desired := range view.desired {
		out = append(out, ctl.proposeAssign(view, desired, pool)...)
	}
	return out
}

// proposeAssign proposes VMs for a desired group that has no assignment.
func (ctl *Controller) proposeAssign(view *zoneView, desired DesiredGroup, pool vmPool) []Action {
	assignment := view.assignmentByGroup[desired.Group]
	if !desired.Enabled || desired.Draining || assignment.Phase == core.PhaseAssigned {
		return nil
	}
	if _, ok := ctl.pendingByGroup[desired.Group]; ok || ctl.draining(view, assignment) {
		return nil
	}
	domain, vms := pool.allocate(view, desired)
	if vms == nil {
		pool.reserve(desired)
		return nil
	}
	rec := recd.Record{Assign: &recd.Assign{
		Group:  desired.Group,
		Zone:   desired.Zone,
		Domain: domain,
		VMs:    vms,
		Spec:   desired.Spec,
		Base:   assignment.FencingToken,
	}}
	return ctl.propose(view, desired.Group, rec, vms)
}

// generation identifies one assignment of a group.
type generation struct {
	group        core.GroupName
	fencingToken core.Offset
}

// proposeUnloads proposes to free the VMs of inactive assignments once probes
// have shown them empty for the maximum probe age. It waits for members that are
// reachable but not empty for that long yet, so that one record frees them all.
// It does not wait for missing members; they stay held until probes show them
// empty.
func (ctl *Controller) proposeUnloads(view *zoneView) []Action {
	var gens []generation
	ready := make(map[generation][]core.VMName)
	busy := core.NewSet[core.GroupName]()
	for _, hold := range view.staleHolds {
		gen := generation{group: hold.Group, fencingToken: hold.FencingToken}
		switch {
		case ctl.stateByVM[hold.VM].emptyFor(view.in.Now, view.in.Settings.MaxProbeAge):
			if len(ready[gen]) == 0 {
				gens = append(gens, gen)
			}
			ready[gen] = append(ready[gen], hold.VM)
		case view.fresh(hold.VM):
			busy.Add(hold.Group)
		}
	}
	var out []Action
	for _, gen := range gens {
		if busy.Has(gen.group) {
			continue
		}
		rec := recd.Record{Unload: &recd.Unload{Group: gen.group, Base: gen.fencingToken, VMs: ready[gen]}}
		out = append(out, ctl.propose(view, gen.group, rec, nil)...)
	}
	return out
}

// proposeRetire proposes to retire an assignment if there is a reason to.
func (ctl *Controller) proposeRetire(view *zoneView, assignment core.Assignment) []Action {
	reason := ctl.retireReason(view, assignment)
	if reason == "" {
		return nil
	}
	rec := recd.Record{Retire: &recd.Retire{Group: assignment.Group, Base: assignment.FencingToken, Reason: reason}}
	return ctl.propose(view, assignment.Group, rec, nil)
}
