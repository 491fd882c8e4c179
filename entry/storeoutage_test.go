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

// orderer returns the name of the orderer in the store.
func (rig *testCluster) orderer() string {
	rig.t.Helper()
	var rec struct {
		Node string `json:"node"`
	}
	assert.NilError(rig.t, json.Unmarshal(rig.store.Value(platform.TopicNodes, "orderer"), &rec))
	return rec.Node
}

// failStore makes the store fail the calls of all nodes.
func (rig *testCluster) failStore() {
	for _, node := range rig.nodes {
		node.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: http.StatusServiceUnavailable} })
	}
}

// requireRepairInOutage makes the head of the only group silent while the store
// fails for all nodes, and waits until a spare joins and the group serves
// again.
func (rig *testCluster) requireRepairInOutage() {
	rig.t.Helper()
	spare := platfk.NewServer(rig.store, platfk.ServerConfig{ID: "e9", Service: "engines", Zone: "z1", Domain: "d0", Events: eventCount})
	rig.engines = append(rig.engines, spare)
	joins := func() int {
		return len(slices.DeleteFunc(slices.Clone(spare.Orders()), func(kind string) bool { return kind != "join" }))
	}
	rig.waitFor("order to the spare to load the model", func() bool { return joins() > 0 })
	warmUps := joins()
	rig.failStore()
	rig.heads()[0].Freeze()
	rig.waitFor("orders during the outage", func() bool {
		rig.post(rig.nodes[len(rig.nodes)-1], "/stream/x", nil)
		return joins() > warmUps
	})
	rig.waitFor("served stream during the outage", func() bool {
		ans := rig.post(rig.nodes[len(rig.nodes)-1], "/stream/x", nil)
		return ans.status == http.StatusOK && ans.complete
	})
}

// TestStoppedNodeInOutage stops a node as planned before an outage of the
// store: the orderer must not wait for heartbeats of the stopped node.
func TestStoppedNodeInOutage(t *testing.T) {
	rig := newTestCluster(t, 3, 1)
	rig.waitReady()
	rig.nodes[0].stop()
	assert.NilError(t, <-rig.nodes[0].done)
	rig.nodes[0].done <- nil
	rig.waitFor("removal of the record", func() bool { return rig.store.Value(platform.TopicNodes, "node/n1") == nil })
	rig.waitFor("another orderer", func() bool { return rig.orderer() != "n1" })
	rig.requireRepairInOutage()
}

// TestGoneNodeInOutage checks that the record of a node that is gone for good
// is removed before an outage, and that a running node restores its record.
// Otherwise the missing node would block the orderer during the outage.
func TestGoneNodeInOutage(t *testing.T) {
	rig := newTestCluster(t, 2, 1)
	rig.waitReady()
	rig.store.Append(platform.TopicNodes, "node/gone", []byte(`{"node":"gone","zone":"z1","addr":"127.0.0.1:9","life":1}`))
	rig.store.Append(platform.TopicNodes, "node/n2", nil)
	rig.waitFor("record of the running node", func() bool { return rig.store.Value(platform.TopicNodes, "node/n2") != nil })
	rig.waitFor("removal of the record of the gone node", func() bool { return rig.store.Value(platform.TopicNodes, "node/gone") == nil })
	rig.requireRepairInOutage()
}
