package reach_test

import (
	"fmt"
	"time"

	"kumquathinge/core/reach"
)

// A node whose connections to a service fail probes three of its servers.
func Example() {
	now := time.Now()
	trk := reach.NewTracker()
	trk.RecordFailure("models", now)
	now = now.Add(time.Second)
	if trk.BeginProbes("models", now) {
		trk.EndProbes("models", 0, 3, now)
	}
	fmt.Println(trk.Lost("models"))
	// Output: true
}
