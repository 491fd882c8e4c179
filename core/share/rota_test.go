package share_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/share"
)

// TestRota picks each node once within the rounds, and never more than asked.
func TestRota(t *testing.T) {
	for _, num := range []int{0, 1, 35, 36, 37, 71, 72, 73, 340} {
		var all []string
		for idx := range num {
			all = append(all, fmt.Sprint("n", idx))
		}
		const most = 36
		var rot share.Rota
		for range 20 {
			seen := map[string]bool{}
			for range share.Rounds(num, most) {
				got := rot.Pick(all, most)
				assert.Assert(t, len(got) <= most)
				for _, nam := range got {
					seen[nam] = true
				}
			}
			assert.Equal(t, len(seen), num)
		}
	}
}

// BenchmarkChoose chooses among 600 servers by the reports of 340 nodes.
func BenchmarkChoose(b *testing.B) {
	boo := share.NewBook("z1")
	srvs := servers(600)
	for num := range 340 {
		counts := map[string]share.Count{}
		for idx := range 40 {
			counts[srvs[(num*7+idx*13)%len(srvs)].ID] = share.Count{Running: 1}
		}
		boo.Peer(fmt.Sprint("n", num), counts, every, start)
	}
	for b.Loop() {
		boo.Choose(srvs, slots, nil, start)
	}
}
