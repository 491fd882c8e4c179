package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestWholePath sends requests through each node. Headers that only the system
// may set must not be forwarded from the caller.
func TestWholePath(t *testing.T) {
	rig := newTestCluster(t, 2, 2)
	rig.waitReady()
	for _, node := range rig.nodes {
		resp := rig.post(node, "/stream/a%2Fb?q=1", map[string]string{"Other": "kept", platform.HeaderTenant: "forged", platform.HeaderUrgency: "0"})
		assert.Equal(t, resp.status, http.StatusOK)
		assert.Equal(t, resp.body, wantEvents(0))
		assert.Assert(t, resp.complete)
		assert.Assert(t, strings.HasPrefix(resp.header.Get(platform.HeaderResponseStamp), "stamp-e"))
		got := requestsByID(rig.engines, resp.id)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Path, "/stream/a%2Fb?q=1")
		assert.Equal(t, got[0].Body, "a body")
		assert.Equal(t, got[0].Header.Get("Other"), "kept")
		assert.Equal(t, got[0].Header.Get(platform.HeaderTenant), org)
		assert.Equal(t, got[0].Header.Get(platform.HeaderAPIKey), "")
		assert.Equal(t, got[0].Header.Get(platform.HeaderUrgency), "")

		resp = rig.post(node, "/charge/1", nil)
		assert.Equal(t, resp.status, http.StatusOK)
		assert.Equal(t, resp.body, "answer to "+resp.id)
		assert.Equal(t, runCount(rig.plainServers, resp.id), 1)
	}
}

// TestKeptConnection sends requests one after the other on one connection, with
// a Content-Length, with chunked encoding and without a body.
func TestKeptConnection(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	head := func(method, path, id, more string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s", method, path, host,
			platform.HeaderAttemptID, id, platform.HeaderAPIKey, key, platform.HeaderModel, model, more)
	}
	conn, reader := rig.dial(rig.nodes[0], head("POST", "/charge/1", "id-1", "Content-Length: 4\r\n\r\nbody"))
	defer func() { _ = conn.Close() }()
	for num, next := range []string{
		head("POST", "/stream/2", "id-2", "Transfer-Encoding: chunked\r\n\r\n4\r\nmore\r\n0\r\n\r\n"),
		head("GET", "/read/3", "id-3", "\r\n"),
		"",
	} {
		res, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		raw, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, res.StatusCode, http.StatusOK)
		assert.Equal(t, res.Header.Get(platform.HeaderAttemptID), fmt.Sprint("id-", num+1))
		assert.Equal(t, string(raw), []string{"answer to id-1", wantEvents(0), "answer to id-3"}[num])
		_, err = io.WriteString(conn, next)
		assert.NilError(t, err)
	}
	assert.Equal(t, requestsByID(rig.engines, "id-2")[0].Body, "more")
}

// TestRejected sends requests without a configuration, with a wrong API key and
// without a matching route.
func TestRejected(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	node := rig.nodes[0]
	rig.waitFor("response without configuration", func() bool {
		return rig.get(node, "/read/x", nil).status == http.StatusServiceUnavailable
	})
	rig.waitReady()
	assert.Equal(t, rig.get(node, "/read/x", map[string]string{platform.HeaderAPIKey: "wrong"}).status, http.StatusUnauthorized)
	assert.Equal(t, rig.get(node, "/nowhere/x", nil).status, http.StatusNotFound)
	assert.Equal(t, rig.get(node, "/readx", nil).status, http.StatusNotFound)
}

// TestPlainFailures checks the response and the number of executions for each
// way in which the first server of a request can fail.
func TestPlainFailures(t *testing.T) {
	tests := []struct {
		name   string
		reply  platfk.Response
		path   string
		status int
		runs   int
	}{
		{"refused, idempotent", platfk.Response{Refuse: true}, "/read/x", 200, 1},
		{"refused, at most once", platfk.Response{Refuse: true}, "/charge/x", 200, 1},
		{"closed, idempotent", platfk.Response{CutAfter: -1}, "/read/x", 200, 2},
		{"closed, at most once", platfk.Response{CutAfter: -1}, "/charge/x", 502, 1},
		{"cut, idempotent", platfk.Response{CutAfter: 4}, "/read/x", 200, 2},
		{"cut, at most once", platfk.Response{CutAfter: 4}, "/charge/x", 502, 1},
		{"stalled, idempotent", platfk.Response{StallAfter: -1}, "/read/x", 200, 2},
		{"stalled, at most once", platfk.Response{StallAfter: -1}, "/charge/x", 504, 1},
		{"failure, idempotent", platfk.Response{Status: 500}, "/read/x", 200, 2},
		{"failure, at most once", platfk.Response{Status: 500}, "/charge/x", 500, 1},
		{"encoded, at most once", platfk.Response{ContentEncoding: "gzip"}, "/charge/x", 502, 1},
		{"encoded, idempotent", platfk.Response{ContentEncoding: "gzip"}, "/read/x", 200, 2},
		{"close-delimited", platfk.Response{CloseDelimited: true}, "/charge/x", 200, 1},
		{"response to another request first", platfk.Response{Preamble: "HTTP/1.1 200 OK\r\n" + platform.HeaderAttemptID + ": other\r\nContent-Length: 2\r\n\r\nno"}, "/charge/x", 200, 1},
		{"malformed response", platfk.Response{Preamble: "no answer\r\n\r\n"}, "/charge/x", 502, 1},
	}
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mtx sync.Mutex
			first := true
			setReplies(rig.plainServers, func(*http.Request, int) platfk.Response {
				mtx.Lock()
				defer mtx.Unlock()
				if first {
					first = false
					return tt.reply
				}
				return platfk.Response{}
			})
			resp := rig.post(rig.nodes[0], tt.path, nil)
			assert.Equal(t, resp.status, tt.status)
			assert.Equal(t, runCount(rig.plainServers, resp.id), tt.runs)
			if resp.status == http.StatusOK {
				assert.Equal(t, resp.body, "answer to "+resp.id)
			}
		})
	}
}

// TestStreamFailures checks that the caller gets the whole stream for each way
// in which the first server can fail.
func TestStreamFailures(t *testing.T) {
	tests := []struct {
		name     string
		reply    platfk.Response
		complete bool
	}{
		{"cut before the header", platfk.Response{CutAfter: -1}, true},
		{"cut in the second event", platfk.Response{CutAfter: 1}, true},
		{"cut in the middle", platfk.Response{CutAfter: 5}, true},
		{"stalled before the header", platfk.Response{StallAfter: -1}, true},
		{"stalled in the middle", platfk.Response{StallAfter: 5}, true},
		{"refused", platfk.Response{Refuse: true}, true},
	}
	rig := newTestCluster(t, 1, 2)
	rig.waitReady()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var mtx sync.Mutex
			first := ""
			setReplies(rig.engines, func(req *http.Request, _ int) platfk.Response {
				mtx.Lock()
				defer mtx.Unlock()
				if first == "" {
					first = req.Header.Get(platform.HeaderExpectInstance)
					return tt.reply
				}
				return platfk.Response{}
			})
			resp := rig.post(rig.nodes[0], "/stream/x", nil)
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Equal(t, resp.body, wantEvents(0))
			assert.Assert(t, resp.complete)
			if tt.reply.CutAfter > 0 || tt.reply.StallAfter > 0 {
				assert.Equal(t, resp.header.Get(platform.HeaderResponseStamp), "stamp-"+first, "not the response stamp of the first server")
			}
		})
	}
}

// TestStreamNotResumable checks that a stream of a route that is not resumable
// runs once, and that the caller can see that it is incomplete.
func TestStreamNotResumable(t *testing.T) {
	rig := newTestCluster(t, 1, 2)
	rig.resumable = false
	rig.waitReady()
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{CutAfter: 5} })
	resp := rig.post(rig.nodes[0], "/stream/x", nil)
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Assert(t, !resp.complete)
	assert.Assert(t, strings.HasPrefix(wantEvents(0), resp.body))
	assert.Equal(t, runCount(rig.engines, resp.id), 1)
}

// TestCallerResumesStream checks that a caller can resume a stream after an
// event that it has received.
func TestCallerResumesStream(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	resp := rig.post(rig.nodes[0], "/stream/x", map[string]string{platform.HeaderLastEventID: "7"})
	assert.Equal(t, resp.body, wantEvents(7))
}

// TestCallerGone closes the connection of a caller before and during a
// response. The server must see its connection closed.
func TestCallerGone(t *testing.T) {
	for _, reply := range []platfk.Response{{StallAfter: -1}, {StallAfter: 3}, {Delay: 50 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%+v", reply), func(t *testing.T) {
			rig := newTestCluster(t, 1, 1)
			rig.waitReady()
			setReplies(rig.engines, func(*http.Request, int) platfk.Response { return reply })
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan response, 1)
			go func() { done <- rig.send(ctx, rig.nodes[0], http.MethodPost, "/stream/gone", nil, "") }()
			var got []platfk.ReceivedRequest
			requestSeen := func() bool {
				got = nil
				for _, srv := range rig.engines {
					for _, req := range srv.Requests() {
						if req.Path == "/stream/gone" {
							got = append(got, req)
						}
					}
				}
				return len(got) == 1
			}
			rig.waitFor("request at a server", requestSeen)
			cancel()
			rig.waitFor("server sees the close", func() bool { return requestSeen() && got[0].Disconnected })
			<-done
		})
	}
}

// TestNoRoom fills the capacity of the only group. The next request must be
// rejected without reaching a server.
func TestNoRoom(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{StallAfter: 3} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	const slots = 8
	var wg sync.WaitGroup
	for range slots + 1 {
		wg.Go(func() { rig.send(ctx, rig.nodes[0], http.MethodPost, "/stream/fill", nil, "") })
	}
	rig.waitFor("full group", func() bool {
		num := 0
		for _, srv := range rig.engines {
			for _, req := range srv.Requests() {
				if req.Path == "/stream/fill" {
					num++
				}
			}
		}
		return num == slots+1
	})
	begin := time.Now()
	resp := rig.post(rig.nodes[0], "/stream/more", nil)
	assert.Equal(t, resp.status, http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(begin) < time.Second)
	assert.Assert(t, resp.header.Get("Retry-After") != "")
	assert.Equal(t, len(requestsByID(rig.engines, resp.id)), 0)
	cancel()
	wg.Wait()
}

// TestDeadline checks that a request ends at the caller's deadline, and that
// servers get the remaining time.
func TestDeadline(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{StallAfter: -1} })
	begin := time.Now()
	resp := rig.post(rig.nodes[0], "/charge/x", map[string]string{platform.HeaderDeadline: "300"})
	assert.Equal(t, resp.status, http.StatusGatewayTimeout)
	assert.Assert(t, time.Since(begin) >= 300*time.Millisecond)
	got := requestsByID(rig.plainServers, resp.id)
	assert.Equal(t, len(got), 1)
	left := 0
	_, err := fmt.Sscan(got[0].Header.Get(platform.HeaderDeadline), &left)
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 300, "%d", left)
}
