package fold_test

import (
	"fmt"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
)

// Two entry VMs claim the same request. The earlier record wins on every node
// that applies the log.
func ExampleState_Apply() {
	st := fold.New()
	for idx, hold := range []core.NodeName{"n1", "n2"} {
		decisions := st.Apply(entry(core.Offset(idx+1), start, recd.Record{
			By: string(hold), Claim: &recd.Claim{Org: "kallergis", Key: "booking-7", Issued: start, Holder: hold},
		}))
		fmt.Println(hold, decisions[0].Accepted(), decisions[0].Code)
	}
	clm, _ := st.Claim("kallergis", "booking-7")
	fmt.Println(clm.Holder, clm.Offset)
	// Output:
	// n1 true 0
	// n2 false 509
	// n1 1
}
