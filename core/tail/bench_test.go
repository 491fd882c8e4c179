package tail_test

import (
	"fmt"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/tail"
)

// BenchmarkTick measures a Tick by the number of entry VMs. Package store
// sends 100 ticks a second.
func BenchmarkTick(b *testing.B) {
	for _, num := range []int{4, 340} {
		b.Run(fmt.Sprintf("nodes=%d", num), func(b *testing.B) {
			fol := tail.NewFollower(tail.Config{Node: "n0", Timings: tail.DefaultTimings()})
			nodes := make([]core.NodeName, num)
			for idx := range nodes {
				nodes[idx] = core.NodeName(fmt.Sprint("n", idx))
			}
			now := time.Unix(1_800_000_000, 0)
			for b.Loop() {
				fol.Step(tail.Tick{PeerCount: num - 1, LiveNodes: nodes}, now)
				fol.Status()
			}
		})
	}
}
