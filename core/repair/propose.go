package repair

import (
	"kumquathinge/core"
	"kumquathinge/core/recd"
)

// proposals returns the records to propose now, those that free VMs first.
func (ctl *Controller) proposals(view *zoneView) []Action {
	out := ctl.proposeUnloads(view)
	for _, asn := range view.active {
		out = append(out, ctl.proposeRetire(view, asn)...)
	}
	pool := ctl.buildPool(view)
	for _, desired := range view.desired {
		out = append(out, ctl.proposeAssign(view, desired, pool)...)
	}
	return out
}

// proposeAssign proposes VMs for a wanted group that has none.
func (ctl *Controller) proposeAssign(view *zoneView, desired DesiredGroup, pool vmPool) []Action {
	asn := view.assignmentByGroup[desired.Group]
	if !desired.Enabled || desired.Draining || asn.Phase == core.PhaseAssigned {
		return nil
	}
	if _, ok := ctl.pendingByGroup[desired.Group]; ok || ctl.draining(view, asn) {
		return nil
	}
	dom, vms := pool.allocate(view, desired)
	if vms == nil {
		pool.reserve(desired)
		return nil
	}
	rec := recd.Record{Assign: &recd.Assign{
		Group:  desired.Group,
		Zone:   desired.Zone,
		Domain: dom,
		VMs:    vms,
		Spec:   desired.Spec,
		Base:   asn.FencingToken,
	}}
	return ctl.propose(view, desired.Group, rec, vms)
}

// generation is an assignment of a group.
type generation struct {
	group        core.GroupName
	fencingToken core.Offset
}

// proposeUnloads proposes to free the VMs of assignments that serve no more, once
// they were known empty for the dispatch bound. It waits for members that are
// about to get there, so that one record frees them all, but not for missing
// ones: these stay held until they are seen empty.
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

// proposeRetire proposes to retire an assignment that should not go on.
func (ctl *Controller) proposeRetire(view *zoneView, asn core.Assignment) []Action {
	reason := ctl.retireReason(view, asn)
	if reason == "" {
		return nil
	}
	rec := recd.Record{Retire: &recd.Retire{Group: asn.Group, Base: asn.FencingToken, Reason: reason}}
	return ctl.propose(view, asn.Group, rec, nil)
}
