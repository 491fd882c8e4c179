package recd_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// The response to an append was lost, so the same batch was appended again.
// Package fold rejects the duplicate by the record's ID.
func ExampleEncode() {
	asg := &recd.Assign{
		Group: "g1", Zone: "z1", Domain: "d1", VMs: []core.VMName{"a", "b"},
		Spec: core.Spec{Model: "alerts-70b", Version: "3", Role: core.RoleBoth},
	}
	data := recd.Encode(recd.Batch{
		Version: recd.Version, Records: []recd.Record{{ID: "n1/run7/1", By: "n1", Assign: asg}},
	})
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	state := fold.New()
	for off := core.Offset(1); off <= 2; off++ {
		decision := state.Apply(core.Entry{Offset: off, ID: "n1/run7/batch1", At: at, Data: data})[0]
		fmt.Println(off, decision.Accepted(), uint16(decision.Code))
	}
	got, _ := state.Assignment("g1")
	fmt.Println(got.VMs, got.FencingToken)
	// Output:
	// 1 true 0
	// 2 false 511
	// [a b] 1
}
