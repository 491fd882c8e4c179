package fold_test

import (
	"fmt"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Two entry VMs claim the same request. The earlier record wins on every node
// that folds the log.
func ExampleState_Apply() {
	sta := fold.New()
	for idx, hld := range []core.NodeName{"n1", "n2"} {
		vers := sta.Apply(entry(core.Offset(idx+1), start, recd.Record{
			By: string(hld), Claim: &recd.Claim{Org: "kallergis", Key: "booking-7", Issued: start, Holder: hld},
		}))
		fmt.Println(hld, vers[0].Accepted(), vers[0].Code)
	}
	clm, _ := sta.Claim("kallergis", "booking-7")
	fmt.Println(clm.Holder, clm.Offset)
	// Output:
	// n1 true 0
	// n2 false 509
	// n1 1
}
