package entry_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/site"
	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

func idempotentRoute(name string) site.Route { return newRoute(name, site.KindIdempotent, "plain") }

// TestConfigurationForward checks that a newer version is applied, and that
// older and unreadable ones change nothing.
func TestConfigurationForward(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	node := rig.nodes[0]
	rig.configure(10, idempotentRoute("new"))
	rig.waitFor("new route", func() bool { return rig.get(node, "/new/x", nil).status == http.StatusOK })
	rig.configure(9)
	rig.store.Append(platform.TopicOperator, platform.KeyConfig, []byte("{not json"))
	rig.configure(11, idempotentRoute("new"), idempotentRoute("newer"))
	rig.waitFor("newer route", func() bool { return rig.get(node, "/newer/x", nil).status == http.StatusOK })
	assert.Equal(t, rig.get(node, "/new/x", nil).status, http.StatusOK)
}

// TestConfigurationThroughPeer checks that a node which the store rejects
// receives the configuration from a peer.
func TestConfigurationThroughPeer(t *testing.T) {
	for _, fault := range []platfk.Fault{{Status: 503}, {Status: 429}, {Drop: true}, {Hang: true}} {
		rig := newTestCluster(t, 2, 1)
		rig.waitReady()
		rig.nodes[0].gate.SetFault(func(string, string) platfk.Fault { return fault })
		rig.configure(10, idempotentRoute("new"))
		rig.waitFor("new route", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	}
}

// TestConfigurationFromOtherZone checks that the nodes of a zone without access
// to the store read from the nodes of another zone.
func TestConfigurationFromOtherZone(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	otherZone := []*testNode{rig.startNodeIn("z2"), rig.startNodeIn("z2"), rig.startNodeIn("z2")}
	rig.waitReady()
	for _, node := range otherZone {
		node.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Hang: true} })
	}
	rig.configure(10, idempotentRoute("new"))
	begin := time.Now()
	for _, node := range otherZone {
		rig.waitFor("new route", func() bool { return rig.get(node, "/new/x", nil).status == http.StatusOK })
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second, "a configuration is in force within 2 s")
}

// TestDeafReads checks that a configuration is applied in time if the store
// does not end held reads when records arrive.
func TestDeafReads(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	rig.store.SetWakeupsDisabled(true)
	rig.configure(10, idempotentRoute("new"))
	begin := time.Now()
	rig.waitFor("new route", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	assert.Assert(t, time.Since(begin) < 2*time.Second, "a configuration is in force within 2 s")
}

// TestHistoryDropped checks that a node recovers when the store trims records
// that the node has not read, among them the removal of a server.
func TestHistoryDropped(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	fault := platfk.Fault{Status: 503}
	rig.nodes[0].gate.SetFault(func(string, string) platfk.Fault { return fault })
	rig.store.Append(platform.TopicServers, rig.plainServers[0].ID(), nil)
	rig.configure(10, idempotentRoute("new"))
	rig.store.Compact(platform.TopicServers)
	rig.store.Compact(platform.TopicOperator)
	rig.store.Compact(platform.TopicNodes)
	rig.nodes[0].gate.SetFault(nil)
	rig.waitFor("new route", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	rig.waitFor("no requests to the removed server", func() bool {
		before := len(rig.plainServers[0].Requests())
		for range 6 {
			rig.get(rig.nodes[0], "/new/x", nil)
		}
		return len(rig.plainServers[0].Requests()) == before
	})
}

// TestExpiredRegistration removes the registration of a running server right
// after an outage of the store. The server registers again, and its group is
// kept.
func TestExpiredRegistration(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	head := rig.heads()[0]
	raw := rig.store.Value(platform.TopicServers, head.ID())
	orders := len(head.Orders())
	rig.nodes[0].gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: 503} })
	begin := time.Now()
	rig.waitFor("outage of one second", func() bool { return time.Since(begin) > time.Second })
	rig.store.Append(platform.TopicServers, head.ID(), nil)
	rig.nodes[0].gate.SetFault(nil)
	rig.configure(10, idempotentRoute("new"))
	rig.waitFor("recovery of the store", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	assert.Equal(t, rig.post(rig.nodes[0], "/stream/x", nil).status, http.StatusOK)
	rig.store.Append(platform.TopicServers, head.ID(), raw)
	rig.waitFor("end of the grace period", func() bool { return time.Since(begin) > 5*time.Second })
	assert.Equal(t, rig.post(rig.nodes[0], "/stream/x", nil).status, http.StatusOK)
	assert.Equal(t, len(head.Orders()), orders, "the group received no orders")
}

// TestDrainingServer checks that a draining plain server receives no new
// requests, and that the others serve on.
func TestDrainingServer(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	rig.plainServers[0].Drain()
	rig.waitFor("no requests to the draining server", func() bool {
		before := len(rig.plainServers[0].Requests())
		for range 6 {
			rig.get(rig.nodes[0], "/read/x", nil)
		}
		return len(rig.plainServers[0].Requests()) == before
	})
	for range 10 {
		assert.Equal(t, rig.get(rig.nodes[0], "/read/x", nil).status, http.StatusOK)
	}
}

// TestOrdererLost stops the orderer. Another node must take over and replace a
// head that does not respond.
func TestOrdererLost(t *testing.T) {
	rig := newTestCluster(t, 3, 1)
	rig.waitReady()
	spare := platfk.NewServer(rig.store, platfk.ServerConfig{ID: "e9", Service: "engines", Zone: "z1", Domain: "d0", Events: eventCount})
	rig.engines = append(rig.engines, spare)
	rig.nodes[0].stop()
	err := <-rig.nodes[0].done
	assert.NilError(t, err)
	rig.nodes[0].done <- nil
	head := rig.heads()[0]
	head.Freeze()
	rig.waitFor("another head", func() bool {
		ans := rig.post(rig.nodes[1], "/stream/x", nil)
		heads := rig.heads()
		return ans.status == http.StatusOK && ans.complete && len(heads) > 0 && heads[len(heads)-1].ID() != head.ID()
	})
}

// TestOrdererTurnedAway makes the store reject the orderer. Another node must
// take over soon after it gives up the role.
func TestOrdererTurnedAway(t *testing.T) {
	rig := newTestCluster(t, 3, 1)
	rig.waitReady()
	first := rig.orderer()
	for _, node := range rig.nodes {
		if node.settings.Node == first {
			node.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: 503} })
		}
	}
	begin := time.Now()
	rig.waitFor("another orderer", func() bool { return rig.orderer() != first })
	// The term stays confirmed for 3 s, and a change takes one or two more.
	assert.Assert(t, time.Since(begin) < 5*time.Second, "%v", time.Since(begin))
}

// TestGracefulStop stops a node while a stream runs: the node becomes unready
// at once, and the stream is delivered completely.
func TestGracefulStop(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	node := rig.nodes[0]
	unready := func() bool {
		res, err := http.Get("http://" + node.settings.ReadinessAddr + platform.PathReady)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode == http.StatusServiceUnavailable
	}
	assert.Assert(t, !unready())
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{Delay: 60 * time.Millisecond} })
	got := make(chan response, 1)
	go func() { got <- rig.post(node, "/stream/x", nil) }()
	rig.waitFor("stream at a server", func() bool {
		seen := rig.heads()[0].Requests()
		return seen[len(seen)-1].Path == "/stream/x"
	})
	node.stop()
	rig.waitFor("unready", unready)
	ans := <-got
	assert.Equal(t, ans.body, wantEvents(0))
	assert.Assert(t, ans.complete)
	assert.NilError(t, <-node.done)
	node.done <- nil
}
