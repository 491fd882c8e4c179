package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestSimultaneousStart starts many nodes at once while their records from an
// earlier run are still in the store, as after a crash of all nodes. Each node
// must serve within 2 s and read each topic in full only once; afterwards only
// a few nodes read the store.
func TestSimultaneousStart(t *testing.T) {
	const nodeCount, topicCount = 10, 3
	rig := newTestCluster(t, 0, 1)
	rig.configure(1)
	for idx := range nodeCount {
		rig.store.Append(platform.TopicNodes, fmt.Sprintf("node/n%d", idx+1), fmt.Appendf(nil, `{"node":"n%d","zone":"z1","addr":"%s.%d:18083","life":1}`, idx+1, rig.subnet, idx+1))
	}
	begin := time.Now()
	for range nodeCount {
		rig.startNode()
	}
	for _, node := range rig.nodes {
		rig.waitFor("served request", func() bool { return rig.get(node, "/read/x", nil).status == http.StatusOK })
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second, "%v", time.Since(begin))
	assert.Assert(t, rig.store.Calls(platfk.PathNewest) <= nodeCount*topicCount, "%d calls", rig.store.Calls(platfk.PathNewest))
}
