package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
	"kumquathinge/core/fold"
)

// view indexes an Input for one step. Wanted, live and engines are of the zone
// only.
type view struct {
	in      *Input
	wanted  []Wanted
	want    map[core.GroupName]Wanted
	asns    map[core.GroupName]core.Assignment
	live    []core.Assignment
	holds   map[core.VMName]fold.Hold
	count   map[core.GroupName]int
	stale   []fold.Hold
	vms     map[core.VMName]core.VM
	engines []core.VM
	gifts   *[]gift
	pooled  *pool
}

func newView(in *Input) *view {
	vew := &view{
		in:    in,
		want:  make(map[core.GroupName]Wanted, len(in.Wanted)),
		asns:  make(map[core.GroupName]core.Assignment, len(in.Assignments)),
		holds: make(map[core.VMName]fold.Hold, len(in.Sights)),
		count: make(map[core.GroupName]int),
		vms:   make(map[core.VMName]core.VM, len(in.Sights)),
	}
	for _, wnt := range in.Wanted {
		if wnt.Zone == in.Zone {
			vew.want[wnt.Group] = wnt
			vew.wanted = append(vew.wanted, wnt)
		}
	}
	for _, vmx := range in.VMs {
		if vmx.Zone == in.Zone && vmx.Kind == core.VMEngine {
			vew.vms[vmx.Name] = vmx
			vew.engines = append(vew.engines, vmx)
		}
	}
	slices.SortFunc(vew.wanted, func(awn, bwn Wanted) int {
		return cmp.Or(cmp.Compare(bwn.Size, awn.Size), cmp.Compare(awn.Group, bwn.Group))
	})
	slices.SortFunc(vew.engines, func(avm, bvm core.VM) int { return cmp.Compare(avm.Name, bvm.Name) })
	vew.indexAssignments()
	vew.indexHolds()
	return vew
}

func (vew *view) indexAssignments() {
	for _, asn := range vew.in.Assignments {
		vew.asns[asn.Group] = asn
		if asn.Zone == vew.in.Zone && asn.Phase == core.PhaseAssigned {
			vew.live = append(vew.live, asn)
		}
	}
	slices.SortFunc(vew.live, func(aas, bas core.Assignment) int { return cmp.Compare(aas.Group, bas.Group) })
}

// indexHolds finds the holds of assignments that serve no more.
func (vew *view) indexHolds() {
	holds := vew.in.Holds
	if holds == nil {
		for _, asn := range vew.in.Assignments {
			for _, vmn := range asn.VMs {
				holds = append(holds, fold.Hold{VM: vmn, Group: asn.Group, Order: asn.FencingToken})
			}
		}
	}
	for _, hld := range holds {
		vew.holds[hld.VM] = hld
		vew.count[hld.Group]++
		asn := vew.asns[hld.Group]
		gone := asn.FencingToken != hld.Order || asn.Phase != core.PhaseAssigned
		if gone && asn.Zone == vew.in.Zone {
			vew.stale = append(vew.stale, hld)
		}
	}
	slices.SortFunc(vew.stale, func(aho, bho fold.Hold) int { return cmp.Compare(aho.VM, bho.VM) })
}

func (vew *view) premise(grp core.GroupName) premise {
	asn := vew.asns[grp]
	return premise{order: asn.FencingToken, phase: asn.Phase, holds: vew.count[grp]}
}

// leaving reports whether the VM is to be given up.
func (vew *view) leaving(vmn core.VMName) bool {
	return vew.in.Leaving.Has(vmn) ||
		vew.in.Draining.Has(vmn) ||
		vew.vms[vmn].Leaving ||
		vew.in.Sights[vmn].Probe.Leaving
}

// fresh reports whether the VM's last probe is younger than the dispatch bound.
func (vew *view) fresh(vmn core.VMName) bool {
	return vew.in.Sights[vmn].Fresh(vew.in.Now, vew.in.Weights.Bound)
}

// ready reports whether every member holds the assignment.
func (vew *view) ready(asn core.Assignment) bool {
	for _, vmn := range asn.VMs {
		if !vew.fresh(vmn) || !vew.in.Sights[vmn].ReadyIn(asn) {
			return false
		}
	}
	return true
}
