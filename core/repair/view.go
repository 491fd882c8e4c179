package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// zoneView is an index of an Input for one step. The groups, active assignments,
// stale holds and VMs in it are those of the zone.
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
	for _, assignment := range view.in.Assignments {
		view.assignmentByGroup[assignment.Group] = assignment
		if assignment.Zone == view.in.Zone && assignment.Phase == core.PhaseAssigned {
			view.active = append(view.active, assignment)
		}
	}
	slices.SortFunc(view.active, func(lhs, rhs core.Assignment) int { return cmp.Compare(lhs.Group, rhs.Group) })
}

// indexHolds indexes the holds and collects those of inactive assignments.
func (view *zoneView) indexHolds() {
	holds := view.in.Holds
	if holds == nil {
		for _, assignment := range view.in.Assignments {
			for _, vmName := range assignment.VMs {
				holds = append(holds, fold.Hold{VM: vmName, Group: assignment.Group, FencingToken: assignment.FencingToken})
			}
		}
	}
	for _, hold := range holds {
		view.holdByVM[hold.VM] = hold
		view.holdCount[hold.Group]++
		assignment := view.assignmentByGroup[hold.Group]
		stale := assignment.FencingToken != hold.FencingToken || assignment.Phase != core.PhaseAssigned
		if stale && assignment.Zone == view.in.Zone {
			view.staleHolds = append(view.staleHolds, hold)
		}
	}
	slices.SortFunc(view.staleHolds, func(lhs, rhs fold.Hold) int { return cmp.Compare(lhs.VM, rhs.VM) })
}

func (view *zoneView) groupState(group core.GroupName) groupState {
	assignment := view.assignmentByGroup[group]
	return groupState{fencingToken: assignment.FencingToken, phase: assignment.Phase, heldVMs: view.holdCount[group]}
}

// leaving reports whether the VM is leaving or draining according to the
// settings, the platform's list or its own probe.
func (view *zoneView) leaving(vmName core.VMName) bool {
	return view.in.LeavingVMs.Has(vmName) ||
		view.in.DrainingVMs.Has(vmName) ||
		view.vmByName[vmName].Leaving ||
		view.in.Statuses[vmName].Probe.Leaving
}

// fresh reports whether the VM's last probe is younger than the maximum probe
// age.
func (view *zoneView) fresh(vmName core.VMName) bool {
	return view.in.Statuses[vmName].Fresh(view.in.Now, view.in.Settings.MaxProbeAge)
}

// ready reports whether every member has a fresh probe that shows it ready in
// the assignment.
func (view *zoneView) ready(assignment core.Assignment) bool {
	for _, vmName := range assignment.VMs {
		if !view.fresh(vmName) || !view.in.Statuses[vmName].ReadyIn(assignment) {
			return false
		}
	}
	return true
}
