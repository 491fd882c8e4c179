package repair_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
	"kumquathinge/core/repair"
)

// The settings ask for one group of two VMs, of which the zone has three in one
// fabric domain and one in another.
func ExampleController() {
	seq := 0
	ctl := repair.New(repair.Config{By: "n1", ID: func() core.RecordID {
		seq++
		return core.RecordID(fmt.Sprint("n1/run7/", seq))
	}})
	now := time.Now()
	in := repair.Input{
		Zone: "z1", Proposer: true, LogOK: true, Sights: map[core.VMName]gate.ServerStatus{},
		Wanted:  []repair.Wanted{{Group: "g1", Zone: "z1", Size: 2, Enabled: true}},
		Weights: repair.Weights{Downtime: 3, Stranded: 1, Lease: 20 * time.Second, Bound: 3 * time.Second, LoadsPerMinute: 6},
	}
	for vmn, dom := range map[core.VMName]core.Domain{"a": "d1", "b": "d2", "c": "d2", "d": "d2"} {
		in.VMs = append(in.VMs, core.VM{Name: vmn, Zone: "z1", Domain: dom, Kind: core.VMEngine})
	}
	for range 10 {
		now = now.Add(time.Second)
		in.Now, in.Confirmed = now, now
		for _, vmx := range in.VMs {
			in.Sights[vmx.Name] = gate.ServerStatus{ProbeSentAt: now, Probe: core.ProbeResult{VM: vmx.Name, Incarnation: "1", State: core.EngineEmpty}}
		}
		for _, act := range ctl.Step(in) {
			if prp, ok := act.(repair.Propose); ok {
				asn := prp.Record.Assign
				fmt.Println(prp.Record.ID, asn.Group, asn.Domain, asn.VMs)
				return
			}
		}
	}
	// Output:
	// n1/run7/1 g1 d2 [b c]
}
