package repair_test

import (
	"fmt"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/repair"
)

// BenchmarkStep is one step of a zone's controller in which nothing is to be
// done, with the gate's sights, by the servers of the zone and those of all
// zones.
func BenchmarkStep(b *testing.B) {
	for _, cas := range []struct{ servers, listed int }{{24, 168}, {48, 336}, {88, 600}, {88, 940}, {688, 4800}} {
		b.Run(fmt.Sprintf("servers=%d/listed=%d", cas.servers, cas.listed), func(b *testing.B) {
			inp, gte := quiet(cas.servers, cas.listed)
			ctl := repair.New(repair.Config{By: "n", ID: func() core.RecordID { return "r" }})
			b.ReportAllocs()
			for b.Loop() {
				inp.Now = inp.Now.Add(time.Millisecond)
				inp.Sights = gte.Sights()
				if acts := ctl.Step(inp); len(acts) > 0 {
					b.Fatal(acts)
				}
			}
		})
	}
}

// quiet returns the input of a zone in which all groups serve.
func quiet(servers, listed int) (repair.Input, *gate.Gate) {
	inp := repair.Input{
		Now: start, Zone: "z", Proposer: true, LogOK: true, ZoneAgrees: true, Confirmed: start.Add(time.Hour), Holds: []fold.Hold{},
		Draining: core.NewSet[core.VMName](), Leaving: core.NewSet[core.VMName](), Fencing: core.NewSet[core.VMName](), InFlight: map[core.GroupName]int{},
		Weights: repair.Weights{Downtime: 1, Stranded: 1, ReturnWait: 20 * time.Second, LoadsPerMinute: 60, Lease: lease, Bound: time.Hour},
	}
	gte := gate.New(time.Hour)
	for idx := range listed {
		vmx := core.VM{Name: core.VMName(fmt.Sprint("vm-", idx)), Addr: "10.0.0.1:1", Zone: "z", Domain: core.Domain(fmt.Sprint("d", idx/64)), Kind: core.VMEngine}
		if idx >= servers {
			vmx.Zone = "other"
		}
		inp.VMs = append(inp.VMs, vmx)
	}
	for grp := range servers / 8 {
		nam := core.GroupName(fmt.Sprint("g", grp))
		asn := core.Assignment{Group: nam, Zone: "z", Domain: inp.VMs[grp*8].Domain, Spec: spec, Order: core.Offset(grp + 1), Phase: core.PhaseAssigned}
		for _, vmx := range inp.VMs[grp*8 : grp*8+8] {
			asn.VMs = append(asn.VMs, vmx.Name)
			inp.Fencing.Add(vmx.Name)
			inp.Holds = append(inp.Holds, fold.Hold{VM: vmx.Name, Group: nam, Order: asn.Order})
			gte.Observe(core.Probe{VM: vmx.Name, Incarnation: "i", State: core.EngineReady, Group: nam, Order: asn.Order, Spec: spec}, start)
		}
		inp.Assignments = append(inp.Assignments, asn)
		inp.Wanted = append(inp.Wanted, repair.Wanted{Group: nam, Zone: "z", Size: 8, Spec: spec, Enabled: true})
	}
	return inp, gte
}
