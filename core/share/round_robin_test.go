package share_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/share"
)

// TestRoundRobin checks that each cycle covers all nodes in batches of limited
// size.
func TestRoundRobin(t *testing.T) {
	for _, num := range []int{0, 1, 35, 36, 37, 71, 72, 73, 340} {
		var all []string
		for idx := range num {
			all = append(all, fmt.Sprint("n", idx))
		}
		const maxBatch = 36
		var rr share.RoundRobin
		for range 20 {
			seen := map[string]bool{}
			for range share.BatchCount(num, maxBatch) {
				got := rr.NextBatch(all, maxBatch)
				assert.Assert(t, len(got) <= maxBatch)
				for _, name := range got {
					seen[name] = true
				}
			}
			assert.Equal(t, len(seen), num)
		}
	}
}

// BenchmarkChoose chooses among 600 servers with reports from 340 nodes.
func BenchmarkChoose(b *testing.B) {
	bal := share.NewBalancer("z1")
	srvs := newServers(600)
	for num := range 340 {
		loads := map[string]share.Load{}
		for idx := range 40 {
			loads[srvs[(num*7+idx*13)%len(srvs)].ID] = share.Load{Running: 1}
		}
		bal.UpdatePeer(fmt.Sprint("n", num), loads, reportInterval, start)
	}
	for b.Loop() {
		bal.Choose(srvs, slots, nil, start)
	}
}
