package entry_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// orderer returns the node that the store names as the orderer.
func (rig *rig) orderer() string {
	rig.tst.Helper()
	var rec struct {
		Node string `json:"node"`
	}
	assert.NilError(rig.tst, json.Unmarshal(rig.sto.Value(platform.TopicNodes, "orderer"), &rec))
	return rec.Node
}

// outage lets the store answer no node.
func (rig *rig) outage() {
	for _, nod := range rig.nodes {
		nod.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: http.StatusServiceUnavailable} })
	}
}

// repaired takes the head of the only group away while the store answers no
// node, and waits until a spare is told to join and the group serves again.
func (rig *rig) repaired() {
	rig.tst.Helper()
	spare := platfk.NewServer(rig.sto, platfk.ServerConfig{ID: "e9", Service: "engines", Zone: "z1", Domain: "d0", Events: events})
	rig.engines = append(rig.engines, spare)
	rig.await("staged spare", func() bool { return slices.Contains(spare.Orders(), "stage") })
	rig.outage()
	rig.heads()[0].Freeze()
	rig.await("orders during the outage", func() bool {
		rig.post(rig.nodes[len(rig.nodes)-1], "/stream/x", nil)
		return slices.Contains(spare.Orders(), "join")
	})
	rig.await("served stream during the outage", func() bool {
		ans := rig.post(rig.nodes[len(rig.nodes)-1], "/stream/x", nil)
		return ans.status == http.StatusOK && ans.whole
	})
}

// TestStoppedNodeInOutage stops a node as planned before an outage of the
// store: the others do not wait to hear it.
func TestStoppedNodeInOutage(t *testing.T) {
	rig := newRig(t, 3, 1)
	rig.ready()
	rig.nodes[0].stop()
	assert.NilError(t, <-rig.nodes[0].done)
	rig.nodes[0].done <- nil
	rig.await("record ended", func() bool { return rig.sto.Value(platform.TopicNodes, "node/n1") == nil })
	rig.await("another orderer", func() bool { return rig.orderer() != "n1" })
	rig.repaired()
}

// TestGoneNodeInOutage leaves the record of a node that is gone for good: it
// ends before the outage, and one of a node that lives comes back.
func TestGoneNodeInOutage(t *testing.T) {
	rig := newRig(t, 2, 1)
	rig.ready()
	rig.sto.Append(platform.TopicNodes, "node/gone", []byte(`{"node":"gone","zone":"z1","addr":"127.0.0.1:9","life":1}`))
	rig.sto.Append(platform.TopicNodes, "node/n2", nil)
	rig.await("record of the living node", func() bool { return rig.sto.Value(platform.TopicNodes, "node/n2") != nil })
	rig.await("record of the gone node ended", func() bool { return rig.sto.Value(platform.TopicNodes, "node/gone") == nil })
	rig.repaired()
}
