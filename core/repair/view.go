package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// zoneView indexes an Input for one step. Wanted, live and engines are of the zone
// only.
type zoneView struct {
	in                *Input
	desired           []DesiredGroup
	desiredByGroup    map[core.GroupName]DesiredGroup
	assignmentByGroup map[core.GroupName]core.Assignment
	active            []core.Assignment
	holdByVM          map[core.VMName]fold.Hold
	holdCount         map[core.GroupName]int
	staleHolds        []fold.Hold
	vmByName          map[core.VMName]core.VM
	engines           []core.VM
	donations         *[]donation
	sharedPool        *vmPool
}

func newZoneView(in *Input) *zoneView {
	view := &zoneView{
		in:                in,
		desiredByGroup:    make(map[core.GroupName]DesiredGroup, len(in.Desired)),
		assignmentByGroup: make(map[core.GroupName]core.Assignment, len(in.Assignments)),
		holdByVM:          make(map[core.VMName]fold.Hold, len(in.Statuses)),
		holdCount:         make(map[core.GroupName]int),
		vmByName:          make(map[core.VMName]core.VM, len(in.Statuses)),
	}
	for _, desired := range in.Desired {
		if desired.Zone == in.Zone {
			view.desiredByGroup[desired.Group] = desired
			view.desired = append(view.desired, desired)
		}
	}
	for _, vm := range in.VMs {
		if vm.Zone == in.Zone && vm.Kind == core.VMEngine {
			view.vmByName[vm.Name] = vm
			view.engines = append(view.engines, vm)
		}
	}
	slices.SortFunc(view.desired, func(lhs, rhs DesiredGroup) int {
		return cmp.Or(cmp.Compare(rhs.Size, lhs.Size), cmp.Compare(lhs.Group, rhs.Group))
	})
	slices.SortFunc(view.engines, func(lhs, rhs core.VM) int { return cmp.Compare(lhs.Name, rhs.Name) })
	view.indexAssignments()
	view.indexHolds()
	return view
}

func (view *zoneView) indexAssignments() {
	for _, asn := range view.in.Assignments {
		view.assignmentByGroup[asn.Group] = asn
		if asn.Zone == view.in.Zone && asn.Phase == core.PhaseAssigned {
			view.active = append(view.active, asn)
		}
	}
	slices.SortFunc(view.active, func(lhs, rhs core.Assignment) int { return cmp.Compare(lhs.Group, rhs.Group) })
}

// indexHolds finds the holds of assignments that serve no more.
func (view *zoneView) indexHolds() {
	holds := view.in.Holds
	if holds == nil {
		for _, asn := range view.in.Assignments {
			for _, vmn := range asn.VMs {
				holds = append(holds, fold.Hold{VM: vmn, Group: asn.Group, FencingToken: asn.FencingToken})
			}
		}
	}
	for _, hold := range holds {
		view.holdByVM[hold.VM] = hold
		view.holdCount[hold.Group]++
		asn := view.assignmentByGroup[hold.Group]
		stale := asn.FencingToken != hold.FencingToken || asn.Phase != core.PhaseAssigned
		if stale && asn.Zone == view.in.Zone {
			view.staleHolds = append(view.staleHolds, hold)
		}
	}
	slices.SortFunc(view.staleHolds, func(lhs, rhs fold.Hold) int { return cmp.Compare(lhs.VM, rhs.VM) })
}

func (view *zoneView) groupState(grp core.GroupName) groupState {
	asn := view.assignmentByGroup[grp]
	return groupState{fencingToken: asn.FencingToken, phase: asn.Phase, heldVMs: view.holdCount[grp]}
}

// leaving reports whether the VM is to be given up.
func (view *zoneView) leaving(vmn core.VMName) bool {
	return view.in.LeavingVMs.Has(vmn) ||
		view.in.DrainingVMs.Has(vmn) ||
		view.vmByName[vmn].Leaving ||
		view.in.Statuses[vmn].Probe.Leaving
}

// fresh reports whether the VM's last probe is younger than the dispatch bound.
func (view *zoneView) fresh(vmn core.VMName) bool {
	return view.in.Statuses[vmn].Fresh(view.in.Now, view.in.Settings.MaxProbeAge)
}

// ready reports whether every member holds the assignment.
func (view *zoneView) ready(asn core.Assignment) bool {
	for _, vmn := range asn.VMs {
		if !view.fresh(vmn) || !view.in.Statuses[vmn].ReadyIn(asn) {
			return false
		}
	}
	return true
}
