package membr_test

import (
	"fmt"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/membr"
)

// Node n1 receives one heartbeat of n2 and selects the node for a task of zone
// z1, before and after n2 exceeds the suspect timeout.
func ExampleTable() {
	tbl := membr.New(
		core.Heartbeat{Node: "n1", Zone: "z1", Addr: "10.0.0.1:7400", Incarnation: "run7"},
		membr.Config{SuspectTimeout: 3 * time.Second, DeadTimeout: 30 * time.Second, ExchangeInterval: time.Second, Fanout: 6},
	)
	now := time.Now()
	tbl.RecordHeartbeat(core.Heartbeat{Node: "n2", Zone: "z1", Addr: "10.0.0.2:7400", Incarnation: "run4", Seq: 1}, now)
	for _, wait := range []time.Duration{time.Second, 4 * time.Second} {
		live := membr.NodeNames(tbl.LiveInZone("z1", now.Add(wait)))
		fmt.Println(live, membr.Rank("snapshot/z1", live)[0])
	}
	// Output:
	// [n1 n2] n2
	// [n1] n1
}
