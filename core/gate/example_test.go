package gate_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/gate"
)

// Group g1 has two members. Requests may be dispatched to it while the last
// probes of both members are recent, and the head of the response must come
// from the process that was probed.
func ExampleGate() {
	run := core.Spec{Model: "alerts-70b", Version: "3", Role: core.RoleBoth}
	dispatchGate := gate.New(3 * time.Second)
	dispatchGate.SetAssignments([]core.Assignment{{
		Group: "g1", VMs: []core.VMName{"a", "b"}, Spec: run, FencingToken: 42, Phase: core.PhaseAssigned,
	}})
	sent := time.Now() // right before the probe is sent
	probe := core.ProbeResult{VM: "a", Incarnation: "a/1", State: core.EngineReady, Group: "g1", FencingToken: 42, Spec: run}
	dispatchGate.RecordProbe(probe, sent)
	_, err := dispatchGate.Permit("g1", time.Now())
	fmt.Println("one probed:", uint16(core.CodeOf(err)))

	probe.VM, probe.Incarnation = "b", "b/1"
	dispatchGate.RecordProbe(probe, sent)
	permit, err := dispatchGate.Permit("g1", time.Now())
	fmt.Println("both probed:", permit.Leader, permit.FencingToken, err)

	_, err = dispatchGate.Permit("g1", time.Now().Add(3*time.Second))
	fmt.Println("after a pause:", uint16(core.CodeOf(err)))

	head := core.Chunk{Head: true, Incarnation: "a/2", FencingToken: 42, Spec: run}
	fmt.Println("another process:", uint16(core.CodeOf(dispatchGate.Verify(permit, head))))
	head.Incarnation = "a/1"
	fmt.Println("the same process:", dispatchGate.Verify(permit, head))
	// Output:
	// one probed: 501
	// both probed: a 42 <nil>
	// after a pause: 501
	// another process: 202
	// the same process: <nil>
}
