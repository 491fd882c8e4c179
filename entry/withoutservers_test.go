package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/site"
	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// Times around a cut.
const (
	// reachBound is the time from the begin of a cut within which callers are served again.
	reachBound = 3 * time.Second
	cutLength  = reachBound + 2*time.Second
	// callPause is the time between two requests of a caller.
	callPause = 20 * time.Millisecond
)

// newCuttableCluster starts a deployment whose nodes can be cut off from all servers.
func newCuttableCluster(t *testing.T, nodes int) *testCluster {
	t.Helper()
	rig := newTestClusterWith(t, nodes, 2, func(rig *testCluster) { rig.cuttable, rig.keepAlive = true, true })
	rig.waitReady()
	return rig
}

// callDuring sends requests of each kind to the node until the time is over, several at a
// time, and returns the responses and when their requests were sent.
func (rig *testCluster) callDuring(node *testNode, length time.Duration) (resps []response, sentAt []time.Time) {
	var mtx sync.Mutex
	var callers sync.WaitGroup
	end := time.Now().Add(length)
	for _, path := range []string{"/stream/", "/stream/", "/charge/", "/read/"} {
		callers.Go(func() {
			for num := 0; time.Now().Before(end); num++ {
				time.Sleep(callPause)
				at := time.Now()
				resp := rig.post(node, fmt.Sprint(path, num), nil)
				mtx.Lock()
				resps, sentAt = append(resps, resp), append(sentAt, at)
				mtx.Unlock()
			}
		})
	}
	callers.Wait()
	return resps, sentAt
}

// TestNodeWithoutServers guards against callers that are refused because their node
// reaches no backend server, while its peers do.
func TestNodeWithoutServers(t *testing.T) {
	for name, how := range map[string]cut{"silent": cutSilent, "reset": cutReset, "new connections refused": cutRefuse} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := newCuttableCluster(t, 2)
			for round := range 2 {
				rig.nodes[0].links.setCut(how)
				begin := time.Now()
				resps, sentAt := rig.callDuring(rig.nodes[0], cutLength)
				late, runsByID := 0, map[string]int{}
				for _, req := range requestsWhere(rig.plainServers, func(req platfk.ReceivedRequest) bool { return req.Executed && strings.HasPrefix(req.Path, "/charge/") }) {
					runsByID[req.AttemptID]++
				}
				for idx, resp := range resps {
					runs := runsByID[resp.id]
					assert.Assert(t, runs <= 1, "%d runs", runs)
					assert.Assert(t, resp.status != http.StatusServiceUnavailable || runs == 0, "refused after a run")
					if sentAt[idx].Sub(begin) < reachBound {
						continue
					}
					late++
					assert.Equal(t, resp.status, http.StatusOK, "sent %v after the begin of cut %d", sentAt[idx].Sub(begin), round)
					assert.Assert(t, resp.complete)
				}
				assert.Assert(t, late > 20, "%d requests", late)
				rig.nodes[0].links.setCut(cutNone)
				assert.Equal(t, rig.post(rig.nodes[0], "/stream/after", nil).status, http.StatusOK)
			}
		})
	}
}

// TestRelayedRequest guards against a peer that changes a request or its response, or passes
// on what concerns the node that relayed it.
func TestRelayedRequest(t *testing.T) {
	rig := newCuttableCluster(t, 2)
	cutOff := rig.nodes[0]
	cutOff.links.setCut(cutSilent)
	rig.callDuring(cutOff, reachBound)
	resp := rig.post(cutOff, "/charge/a?b=c", map[string]string{"Other": "d"})
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Equal(t, resp.body, "answer to "+resp.id)
	assert.Equal(t, resp.header.Get(platform.HeaderAttemptID), resp.id)
	reqs := requestsByID(rig.plainServers, resp.id)
	assert.Equal(t, len(reqs), 1)
	assert.Equal(t, reqs[0].Path, "/charge/a?b=c")
	assert.Equal(t, reqs[0].Body, "a body")
	assert.Equal(t, reqs[0].Header.Get("Other"), "d")
	assert.Equal(t, reqs[0].Header.Get(platform.HeaderTenant), org)
	assert.Equal(t, reqs[0].Header.Get(platform.HeaderAPIKey), "")
	for _, name := range []string{"Relay-Config-Version", "Relay-Runs"} {
		assert.Equal(t, reqs[0].Header.Get(name), "")
	}
	assert.Equal(t, rig.post(cutOff, "/stream/x", map[string]string{platform.HeaderLastEventID: "4"}).body, wantEvents(4))
	assert.Equal(t, rig.post(cutOff, "/nowhere/x", nil).status, http.StatusNotFound)
	assert.Equal(t, rig.post(cutOff, "/read/x", map[string]string{platform.HeaderAPIKey: "wrong"}).status, http.StatusUnauthorized)
	setReplies(rig.plainServers, func(*http.Request, int) platfk.Response {
		return platfk.Response{Status: http.StatusTeapot}
	})
	resp = rig.post(cutOff, "/charge/x", nil)
	assert.Equal(t, resp.status, http.StatusTeapot)
	assert.Assert(t, resp.header.Get(platform.HeaderResponseStamp) != "")
}

// TestRelayToLaterConfiguration guards against a peer that handles a relayed request by an
// earlier configuration than that of the node that took it.
func TestRelayToLaterConfiguration(t *testing.T) {
	rig := newCuttableCluster(t, 2)
	cutOff, peer := rig.nodes[0], rig.nodes[1]
	cutOff.links.setCut(cutRefuse)
	rig.callDuring(cutOff, reachBound)
	peer.gate.SetFault(func(string, string) platfk.Fault { return platfk.Fault{Status: http.StatusServiceUnavailable} })
	rig.configure(2, newRoute("added", site.KindIdempotent, "plain"))
	known := false
	rig.waitFor("the added route", func() bool {
		status := rig.get(cutOff, "/added/x", nil).status
		assert.Assert(t, status == http.StatusOK || status == http.StatusServiceUnavailable || status == http.StatusNotFound && !known, "status %d", status)
		known = known || status != http.StatusNotFound
		return status == http.StatusOK
	})
}

// TestCutStreamGoesOn guards against a stream that ends because its node has lost the
// servers, while a peer can go on with it.
func TestCutStreamGoesOn(t *testing.T) {
	for name, how := range map[string]cut{"silent": cutSilent, "reset": cutReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rig := newCuttableCluster(t, 2)
			setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{Delay: 250 * time.Millisecond} })
			time.AfterFunc(400*time.Millisecond, func() { rig.nodes[0].links.setCut(how) })
			go rig.callDuring(rig.nodes[0], reachBound)
			resp := rig.send(context.Background(), rig.nodes[0], http.MethodPost, "/stream/x", nil, "a body")
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Equal(t, resp.body, wantEvents(0))
			assert.Assert(t, resp.complete)
		})
	}
}

// TestOrdererWithoutServers guards against a node that keeps the role of the orderer while
// it reaches no model server and its peers do.
func TestOrdererWithoutServers(t *testing.T) {
	rig := newCuttableCluster(t, 2)
	name := rig.orderer()
	former := rig.nodes[slices.IndexFunc(rig.nodes, func(node *testNode) bool { return node.settings.Node == name })]
	former.links.setCut(cutSilent)
	done := make(chan struct{})
	go func() {
		defer close(done)
		rig.callDuring(former, cutLength)
	}()
	rig.waitFor("another orderer", func() bool { return rig.orderer() != name })
	<-done
	assert.Assert(t, rig.orderer() != name)
}

// TestCutIsNoCrash guards against a part of prompts that is refused at all nodes because
// one of them lost its connections to several servers at the same moment.
func TestCutIsNoCrash(t *testing.T) {
	rig := newTestClusterWith(t, 2, 6, func(rig *testCluster) { rig.cuttable, rig.keepAlive = true, true })
	rig.waitReady()
	setReplies(rig.engines, func(*http.Request, int) platfk.Response {
		return platfk.Response{FirstDelay: 1500 * time.Millisecond}
	})
	withPart := func(own string) map[string]string {
		return map[string]string{platform.HeaderPromptParts: "90c5a82f:800," + own + ":250"}
	}
	var callers sync.WaitGroup
	for num := range 24 {
		callers.Go(func() { rig.post(rig.nodes[0], "/stream/x", withPart(fmt.Sprintf("1%03d", num))) })
	}
	time.Sleep(500 * time.Millisecond)
	rig.nodes[0].links.setCut(cutReset)
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{} })
	for num := range 40 {
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, rig.post(rig.nodes[1], "/stream/y", withPart(fmt.Sprintf("2%03d", num))).status, http.StatusOK)
	}
	callers.Wait()
}

// TestRelayedRuns guards against a relayed request that runs on more servers than its route
// allows.
func TestRelayedRuns(t *testing.T) {
	rig := newCuttableCluster(t, 4)
	rig.nodes[0].links.setCut(cutRefuse)
	rig.callDuring(rig.nodes[0], reachBound)
	setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{CutAfter: -1} })
	for num := range 5 {
		resp := rig.post(rig.nodes[0], fmt.Sprint("/read/", num), nil)
		assert.Assert(t, runCount(rig.plainServers, resp.id) <= 2, "%d runs", runCount(rig.plainServers, resp.id))
	}
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{CutAfter: 3} })
	for num := range 5 {
		resp := rig.post(rig.nodes[0], fmt.Sprint("/stream/", num), nil)
		assert.Assert(t, runCount(rig.engines, resp.id) <= 2, "%d runs of a stream", runCount(rig.engines, resp.id))
	}
	setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{} })
	relay := &testNode{settings: rig.nodes[1].settings}
	relay.settings.CallerAddr = net.JoinHostPort(relay.settings.IP, fmt.Sprint(relay.settings.RelayPort))
	for _, path := range []string{"/charge/x", "/read/x"} {
		resp := rig.post(relay, path, map[string]string{"Relay-Config-Version": "1", "Relay-Runs": "2"})
		assert.Equal(t, runCount(rig.plainServers, resp.id), 0)
		assert.Equal(t, resp.status, http.StatusBadGateway)
	}
}
