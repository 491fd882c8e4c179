package repair_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
	"kumquathinge/core/repair"
)

// The settings define one group of two VMs. The zone has three VMs in one fabric
// domain and one in another.
func ExampleController() {
	seq := 0
	ctl := repair.New(repair.Config{ProposedBy: "n1", NewRecordID: func() core.RecordID {
		seq++
		return core.RecordID(fmt.Sprint("n1/run7/", seq))
	}})
	now := time.Now()
	in := repair.Input{
		Zone: "z1", IsProposer: true, LogOK: true, Statuses: map[core.VMName]gate.ServerStatus{},
		Desired:  []repair.DesiredGroup{{Group: "g1", Zone: "z1", Size: 2, Enabled: true}},
		Settings: repair.Settings{DowntimeWeight: 3, StrandedWeight: 1, OrderLease: 20 * time.Second, MaxProbeAge: 3 * time.Second, LoadsPerMinute: 6},
	}
	for vmName, domain := range map[core.VMName]core.Domain{"a": "d1", "b": "d2", "c": "d2", "d": "d2"} {
		in.VMs = append(in.VMs, core.VM{Name: vmName, Zone: "z1", Domain: domain, Kind: core.VMEngine})
	}
	for range 10 {
		now = now.Add(time.Second)
		in.Now, in.ConfirmedAt = now, now
		for _, vm := range in.VMs {
			in.Statuses[vm.Name] = gate.ServerStatus{ProbeSentAt: now, Probe: core.ProbeResult{VM: vm.Name, Incarnation: "1", State: core.EngineEmpty}}
		}
		for _, action := range ctl.Step(in) {
			if proposal, ok := action.(repair.Propose); ok {
				assignment := proposal.Record.Assign
				fmt.Println(proposal.Record.ID, assignment.Group, assignment.Domain, assignment.VMs)
				return
			}
		}
	}
	// Output:
	// n1/run7/1 g1 d2 [b c]
}
