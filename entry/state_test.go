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

func read(name string) site.Route { return route(name, site.KindIdempotent, "plain") }

// TestConfigurationForward checks that a newer version is taken, and that
// older and unreadable ones change nothing.
func TestConfigurationForward(t *testing.T) {
	rig := newRig(t, 1, 1)
	rig.ready()
	nod := rig.nodes[0]
	rig.configure(10, read("new"))
	rig.await("new route", func() bool { return rig.get(nod, "/new/x", nil).status == http.StatusOK })
	rig.configure(9)
	rig.sto.Append(platform.TopicOperator, platform.KeyConfig, []byte("{not json"))
	rig.configure(11, read("new"), read("newer"))
	rig.await("newer route", func() bool { return rig.get(nod, "/newer/x", nil).status == http.StatusOK })
	assert.Equal(t, rig.get(nod, "/new/x", nil).status, http.StatusOK)
}

// TestConfigurationThroughPeer lets the store turn one node away.
func TestConfigurationThroughPeer(t *testing.T) {
	for _, fau := range []platfk.Fault{{Status: 503}, {Status: 429}, {Drop: true}, {Hang: true}} {
		rig := newRig(t, 2, 1)
		rig.ready()
		rig.nodes[0].gate.SetFault(func(string, string) platfk.Fault { return fau })
		rig.configure(10, read("new"))
		rig.await("new route", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	}
}

// TestConfigurationFromOtherZone lets the store answer no node of a zone: its
// nodes read from those of another one.
func TestConfigurationFromOtherZone(t *testing.T) {
	rig := newRig(t, 1, 1)
	far := []*node{rig.startIn("z2"), rig.startIn("z2"), rig.startIn("z2")}
	rig.ready()
	for _, nod := range far {
		nod.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Hang: true} })
	}
	rig.configure(10, read("new"))
	begin := time.Now()
	for _, nod := range far {
		rig.await("new route", func() bool { return rig.get(nod, "/new/x", nil).status == http.StatusOK })
	}
	assert.Assert(t, time.Since(begin) < 2*time.Second, "a configuration is in force within 2 s")
}

// TestDeafReads lets the store forget to tell of records.
func TestDeafReads(t *testing.T) {
	rig := newRig(t, 1, 1)
	rig.ready()
	rig.sto.SetWakeupsDisabled(true)
	rig.configure(10, read("new"))
	begin := time.Now()
	rig.await("new route", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	assert.Assert(t, time.Since(begin) < 2*time.Second, "a configuration is in force within 2 s")
}

// TestHistoryDropped drops the store's history, and a server leaves in the gap.
func TestHistoryDropped(t *testing.T) {
	rig := newRig(t, 1, 1)
	rig.ready()
	fau := platfk.Fault{Status: 503}
	rig.nodes[0].gate.SetFault(func(string, string) platfk.Fault { return fau })
	rig.sto.Append(platform.TopicServers, rig.plains[0].ID(), nil)
	rig.configure(10, read("new"))
	rig.sto.Compact(platform.TopicServers)
	rig.sto.Compact(platform.TopicOperator)
	rig.sto.Compact(platform.TopicNodes)
	rig.nodes[0].gate.SetFault(nil)
	rig.await("new route", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	rig.await("server forgotten", func() bool {
		before := len(rig.plains[0].Requests())
		for range 6 {
			rig.get(rig.nodes[0], "/new/x", nil)
		}
		return len(rig.plains[0].Requests()) == before
	})
}

// TestLapsedEntry removes the entry of a server that lives right after an
// outage of the store; it registers again, and its group stands.
func TestLapsedEntry(t *testing.T) {
	rig := newRig(t, 1, 1)
	rig.ready()
	head := rig.heads()[0]
	raw := rig.sto.Value(platform.TopicServers, head.ID())
	orders := len(head.Orders())
	rig.nodes[0].gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: 503} })
	begin := time.Now()
	rig.await("an outage of a second", func() bool { return time.Since(begin) > time.Second })
	rig.sto.Append(platform.TopicServers, head.ID(), nil)
	rig.nodes[0].gate.SetFault(nil)
	rig.configure(10, read("new"))
	rig.await("store back", func() bool { return rig.get(rig.nodes[0], "/new/x", nil).status == http.StatusOK })
	assert.Equal(t, rig.post(rig.nodes[0], "/stream/x", nil).status, http.StatusOK)
	rig.sto.Append(platform.TopicServers, head.ID(), raw)
	rig.await("lapse grace over", func() bool { return time.Since(begin) > 5*time.Second })
	assert.Equal(t, rig.post(rig.nodes[0], "/stream/x", nil).status, http.StatusOK)
	assert.Equal(t, len(head.Orders()), orders, "the group was left alone")
}

// TestDrainingHead checks that a head that leaves gets nothing new, and that
// its group goes on with another.
func TestDrainingServer(t *testing.T) {
	rig := newRig(t, 1, 1)
	rig.ready()
	rig.plains[0].Drain()
	rig.await("drained server gets nothing", func() bool {
		before := len(rig.plains[0].Requests())
		for range 6 {
			rig.get(rig.nodes[0], "/read/x", nil)
		}
		return len(rig.plains[0].Requests()) == before
	})
	for range 10 {
		assert.Equal(t, rig.get(rig.nodes[0], "/read/x", nil).status, http.StatusOK)
	}
}

// TestOrdererLost stops the node that orders; another one takes over and
// replaces a head that is dark.
func TestOrdererLost(t *testing.T) {
	rig := newRig(t, 3, 1)
	rig.ready()
	spare := platfk.NewServer(rig.sto, platfk.ServerConfig{ID: "e9", Service: "engines", Zone: "z1", Domain: "d0", Events: events})
	rig.engines = append(rig.engines, spare)
	rig.nodes[0].stop()
	err := <-rig.nodes[0].done
	assert.NilError(t, err)
	rig.nodes[0].done <- nil
	head := rig.heads()[0]
	head.Freeze()
	rig.await("another head", func() bool {
		ans := rig.post(rig.nodes[1], "/stream/x", nil)
		hds := rig.heads()
		return ans.status == http.StatusOK && ans.whole && len(hds) > 0 && hds[len(hds)-1].ID() != head.ID()
	})
}

// TestOrdererTurnedAway lets the store turn the orderer away: another node takes
// over soon after the first one gives up.
func TestOrdererTurnedAway(t *testing.T) {
	rig := newRig(t, 3, 1)
	rig.ready()
	first := rig.orderer()
	for _, nod := range rig.nodes {
		if nod.set.Node == first {
			nod.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: 503} })
		}
	}
	begin := time.Now()
	rig.await("another orderer", func() bool { return rig.orderer() != first })
	// The term is confirmed for 3 s, and a change takes a second or two.
	assert.Assert(t, time.Since(begin) < 5*time.Second, "%v", time.Since(begin))
}

// TestGracefulStop stops a node while a stream runs: it turns unready at once,
// and the stream comes whole.
func TestGracefulStop(t *testing.T) {
	rig := newRig(t, 1, 1)
	rig.ready()
	nod := rig.nodes[0]
	unready := func() bool {
		res, err := http.Get("http://" + nod.set.ReadinessAddr + platform.PathReady)
		if err != nil {
			return false
		}
		defer res.Body.Close()
		_, _ = io.Copy(io.Discard, res.Body)
		return res.StatusCode == http.StatusServiceUnavailable
	}
	assert.Assert(t, !unready())
	all(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{Delay: 60 * time.Millisecond} })
	got := make(chan answer, 1)
	go func() { got <- rig.post(nod, "/stream/x", nil) }()
	rig.await("stream at a server", func() bool {
		seen := rig.heads()[0].Requests()
		return seen[len(seen)-1].Path == "/stream/x"
	})
	nod.stop()
	rig.await("unready", unready)
	ans := <-got
	assert.Equal(t, ans.body, wantEvents(0))
	assert.Assert(t, ans.whole)
	assert.NilError(t, <-nod.done)
	nod.done <- nil
}
