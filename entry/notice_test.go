package entry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// drainBound is the time after an answer with the notice within which no node may
// send requests to a server that leaves any more.
const drainBound = 2 * time.Second

// requestsDuring sends requests to all nodes for the duration and returns how many of
// them reached the server.
func (rig *testCluster) requestsDuring(srv *platfk.Server, path string, dur time.Duration) int {
	rig.t.Helper()
	before := len(srv.Requests())
	for begin := time.Now(); time.Since(begin) < dur; {
		for _, node := range rig.nodes {
			rig.get(node, path, nil)
		}
	}
	return len(srv.Requests()) - before
}

// leaveByAnswer makes a server say in its answers that it leaves, and waits until a
// node has passed one on.
func (rig *testCluster) leaveByAnswer(srv *platfk.Server, path string, reply platfk.Response) {
	rig.t.Helper()
	srv.SetResponder(func(*http.Request, int) platfk.Response { return reply })
	before := len(srv.Requests())
	rig.waitFor("an answer of the leaving server", func() bool {
		rig.get(rig.nodes[0], path, nil)
		return len(srv.Requests()) > before
	})
}

// TestServerLeaving guards against requests to a server that has said in an answer
// that it leaves, while its entry says that it is ready: also without the store, and
// after its entry was written again. A restart of the server ends that.
func TestServerLeaving(t *testing.T) {
	for name, reply := range map[string]platfk.Response{
		"answer":  {Leaving: true},
		"refusal": {Leaving: true, Refuse: true},
		"error":   {Leaving: true, Status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			rig := newTestCluster(t, 2, 1)
			rig.waitReady()
			rig.failStore()
			srv := rig.plainServers[0]
			rig.leaveByAnswer(srv, "/read/x", reply)
			rig.requestsDuring(srv, "/read/x", drainBound)
			srv.Register()
			assert.Equal(t, rig.requestsDuring(srv, "/read/x", 500*time.Millisecond), 0)
			for _, node := range rig.nodes {
				node.gate.SetFault(nil)
			}
			assert.Equal(t, rig.requestsDuring(srv, "/read/x", 500*time.Millisecond), 0)
			srv.SetResponder(nil)
			srv.Restart()
			rig.waitFor("requests after the restart", func() bool { return rig.requestsDuring(srv, "/read/x", 10*time.Millisecond) > 0 })
		})
	}
}

// TestServerLeavingHead guards against a group whose head has said in an answer that
// it leaves, and that gets further requests or isn't replaced before its entry says so.
func TestServerLeavingHead(t *testing.T) {
	rig := newTestCluster(t, 2, 1)
	rig.waitReady()
	for _, id := range []string{"e8", "e9"} {
		rig.engines = append(rig.engines, platfk.NewServer(rig.store, platfk.ServerConfig{ID: id, Service: "engines", Zone: "z1", Domain: "d0", Events: eventCount}))
	}
	head := rig.heads()[0]
	head.SetResponder(func(*http.Request, int) platfk.Response { return platfk.Response{Leaving: true} })
	resp := rig.post(rig.nodes[0], "/stream/x", nil)
	assert.Equal(t, resp.header.Get(platform.HeaderServerLeaving), "1")
	rig.waitFor("a stream of another head", func() bool {
		resp := rig.post(rig.nodes[1], "/stream/x", nil)
		return resp.status == http.StatusOK && resp.complete && resp.header.Get(platform.HeaderResponseStamp) != "stamp-"+head.ID()
	})
	before := len(head.Requests())
	for range 10 {
		rig.post(rig.nodes[0], "/stream/x", nil)
		rig.post(rig.nodes[1], "/stream/x", nil)
	}
	assert.Equal(t, len(head.Requests()), before)
}

// maxPausedRequests is the number of requests of a node that may reach a server in
// the pause that it asked that node for.
const maxPausedRequests = 2

// TestServerPause guards against requests to a server that has answered 503 with a
// time to pause. Values that are not a number of seconds ask for nothing.
func TestServerPause(t *testing.T) {
	for _, tt := range []struct {
		value string
		pause time.Duration
	}{
		{"1.5", 1500 * time.Millisecond}, {" 2 ", 2 * time.Second}, {"1e30", 2 * time.Second}, {"99999999999999999999", 2 * time.Second},
		{"-3", 0}, {"soon", 0}, {"", 0}, {"NaN", 0}, {"Sat, 05 Dec 2026 08:00:00 GMT", 0},
	} {
		t.Run(tt.value, func(t *testing.T) {
			rig := newTestCluster(t, 1, 1)
			rig.waitReady()
			srv := rig.plainServers[0]
			rig.leaveByAnswer(srv, "/read/x", platfk.Response{Refuse: true, RetryAfter: tt.value})
			begin := time.Now()
			srv.SetResponder(nil)
			if tt.pause == 0 {
				rig.waitFor("requests without a pause", func() bool { return rig.requestsDuring(srv, "/read/x", 10*time.Millisecond) > 0 })
				return
			}
			const margin = 50 * time.Millisecond
			got := rig.requestsDuring(srv, "/read/x", time.Until(begin.Add(tt.pause-margin)))
			assert.Assert(t, got <= maxPausedRequests, "%d requests in the pause", got)
			if tt.pause < 2*time.Second {
				rig.waitFor("requests after the pause", func() bool { return rig.requestsDuring(srv, "/read/x", 10*time.Millisecond) > 0 })
			}
		})
	}
}

// TestServerPauseOfAll guards against callers that wait or come back too early if all
// servers of a service have asked for a pause.
func TestServerPauseOfAll(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{Refuse: true, RetryAfter: "3"} })
	rig.waitFor("pauses of both servers", func() bool {
		rig.get(rig.nodes[0], "/read/x", nil)
		return len(rig.plainServers[0].Requests()) > 0 && len(rig.plainServers[1].Requests()) > 0
	})
	rig.get(rig.nodes[0], "/read/x", nil)
	begin := time.Now()
	resp := rig.get(rig.nodes[0], "/read/x", nil)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begin) < 300*time.Millisecond)
	after, err := time.ParseDuration(resp.header.Get("Retry-After") + "s")
	assert.NilError(t, err)
	assert.Assert(t, after > 2*time.Second && after < 4*time.Second, "%v", after)
}
