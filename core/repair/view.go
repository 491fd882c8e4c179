package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// view indexes an Input for one step. It holds what is of the zone only.
type view struct {
	in      *Input
	wanted  []Wanted
	want    map[core.GroupName]Wanted
	asns    map[core.GroupName]core.Assignment
	live    []core.Assignment
	holder  map[core.VMName]core.GroupName
	vms     map[core.VMName]core.VM
	engines []core.VM
}

func newView(in *Input) *view {
	vew := &view{
		in:     in,
		want:   make(map[core.GroupName]Wanted),
		asns:   make(map[core.GroupName]core.Assignment),
		holder: make(map[core.VMName]core.GroupName),
		vms:    make(map[core.VMName]core.VM),
	}
	for _, wnt := range in.Wanted {
		if wnt.Zone == in.Zone {
			vew.want[wnt.Group] = wnt
			vew.wanted = append(vew.wanted, wnt)
		}
	}
	slices.SortFunc(vew.wanted, func(awn, bwn Wanted) int {
		return cmp.Or(cmp.Compare(bwn.Size, awn.Size), cmp.Compare(awn.Group, bwn.Group))
	})
	for _, vmx := range in.VMs {
		if vmx.Zone == in.Zone && vmx.Kind == core.VMEngine {
			vew.vms[vmx.Name] = vmx
			vew.engines = append(vew.engines, vmx)
		}
	}
	slices.SortFunc(vew.engines, func(avm, bvm core.VM) int { return cmp.Compare(avm.Name, bvm.Name) })
	vew.index()
	return vew
}

func (vew *view) index() {
	for _, asn := range vew.in.Assignments {
		vew.asns[asn.Group] = asn
		for _, vmn := range asn.VMs {
			vew.holder[vmn] = asn.Group
		}
		if asn.Zone == vew.in.Zone && len(asn.VMs) > 0 {
			vew.live = append(vew.live, asn)
		}
	}
	slices.SortFunc(vew.live, func(aas, bas core.Assignment) int { return cmp.Compare(aas.Group, bas.Group) })
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
		if !vew.fresh(vmn) || !vew.in.Sights[vmn].Holds(asn) {
			return false
		}
	}
	return true
}
