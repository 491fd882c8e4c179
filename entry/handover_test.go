package entry_test

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
)

// TestHandOver makes the orderer lose the store, or stops it as planned, while a
// member of a group starts anew, so that orders are due around the hand-over. The
// servers accept orders of any term. It guards against two orderers that act at
// the same time, and against orders that are sent twice.
func TestHandOver(t *testing.T) {
	for _, tt := range []struct {
		name string
		// take takes the orderer's role away, and give lets the node go on.
		take, give func(rig *testCluster, node *testNode)
	}{
		{"store refuses the orderer", func(_ *testCluster, node *testNode) {
			node.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: http.StatusServiceUnavailable} })
		}, func(_ *testCluster, node *testNode) { node.gate.SetFault(nil) }},
		{"store is slow for the orderer", func(_ *testCluster, node *testNode) {
			node.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Delay: 3 * time.Second} })
		}, func(_ *testCluster, node *testNode) { node.gate.SetFault(nil) }},
		{"orderer stops", func(_ *testCluster, node *testNode) { node.stop() }, func(rig *testCluster, _ *testNode) { rig.startNode() }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rig := newTestCluster(t, 3, 0)
			for num := range 6 {
				rig.engines = append(rig.engines, platfk.NewServer(rig.store, platfk.ServerConfig{
					ID: fmt.Sprintf("e%d", num), Service: "engines", Zone: "z1", Domain: fmt.Sprintf("d%d", num/2), Events: eventCount, IgnoreFences: true,
				}))
			}
			rig.waitReady()
			for round := range 2 {
				former := rig.orderer()
				var node *testNode
				for _, one := range rig.nodes {
					if one.settings.Node == former {
						node = one
					}
				}
				rig.engines[2*round].Restart()
				tt.take(rig, node)
				rig.waitFor("another orderer", func() bool { return rig.orderer() != former })
				rig.engines[2*round+1].Restart()
				rig.waitFor("open groups", func() bool { return len(rig.heads()) == len(rig.engines)/2 })
				tt.give(rig, node)
			}
			requireOneOrderer(t, rig)
		})
	}
}

// requireOneOrderer checks that the terms of the orders that all servers received
// never fall, and that none of them carried out an order twice in one life. An
// orderer may repeat an order whose effect it hasn't seen yet.
func requireOneOrderer(t *testing.T, rig *testCluster) {
	t.Helper()
	var all []platfk.ReceivedOrder
	for _, srv := range rig.engines {
		seen := map[string]bool{}
		for _, order := range srv.ReceivedOrders() {
			id := fmt.Sprintf("%s %s of %d, process %d", order.Op, order.Group, order.Fence, order.Born)
			assert.Assert(t, !order.TookEffect || !seen[id], "%s carried out twice: %s", srv.ID(), id)
			seen[id] = seen[id] || order.TookEffect
			all = append(all, order)
		}
	}
	slices.SortStableFunc(all, func(one, two platfk.ReceivedOrder) int {
		return cmp.Compare(one.ReceivedAt.UnixNano(), two.ReceivedAt.UnixNano())
	})
	for pos := 1; pos < len(all); pos++ {
		assert.Assert(t, all[pos].Fence >= all[pos-1].Fence, "order of term %d after one of term %d", all[pos].Fence, all[pos-1].Fence)
	}
}
