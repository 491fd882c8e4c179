package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// maxHeapGrowth is the memory that requests to failing servers may take.
const maxHeapGrowth = 64 << 20

// firstReply makes the first server that gets a request give the reply. Others
// respond normally.
func firstReply(rig *testCluster, reply platfk.Response) {
	var mtx sync.Mutex
	seen := map[string]bool{}
	setReplies(rig.engines, func(req *http.Request, _ int) platfk.Response {
		mtx.Lock()
		defer mtx.Unlock()
		id := req.Header.Get(platform.HeaderAttemptID)
		if !seen[id] {
			seen[id] = true
			return reply
		}
		return platfk.Response{}
	})
}

// requireEndless sends streams to servers that send bytes without end, fast and
// slowly. Each must be served by another server, or end by the deadline of its
// caller, and take bounded memory.
func requireEndless(t *testing.T, fast, slow platfk.Response) {
	rig := newTestCluster(t, 1, 2)
	rig.waitReady()
	for name, reply := range map[string]platfk.Response{"fast": fast, "slow": slow} {
		t.Run(name, func(t *testing.T) {
			firstReply(rig, reply)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			resp := rig.post(rig.nodes[0], "/stream/x", map[string]string{platform.HeaderDeadline: "3000"})
			runtime.ReadMemStats(&after)
			if name == "fast" {
				assert.Equal(t, resp.status, http.StatusOK)
				assert.Equal(t, resp.body, wantEvents(0))
			} else {
				assert.Assert(t, resp.status == http.StatusOK && resp.complete || resp.status == http.StatusGatewayTimeout, "status %d", resp.status)
			}
			assert.Assert(t, after.Sys < before.Sys+maxHeapGrowth, "memory grew by %d bytes", after.Sys-before.Sys)
		})
	}
}

// TestEndlessHead lets servers send a header without end.
func TestEndlessHead(t *testing.T) {
	requireEndless(t, platfk.Response{EndlessHead: true}, platfk.Response{EndlessHead: true, Delay: 20 * time.Millisecond})
}

// TestEndlessBody lets servers send an event without end.
func TestEndlessBody(t *testing.T) {
	requireEndless(t, platfk.Response{EndlessBody: true}, platfk.Response{EndlessBody: true, Delay: 20 * time.Millisecond})
}

// TestTrickleStreamEnds lets a server send a few bytes of an event now and then.
// The response must end by the deadline of its caller.
func TestTrickleStreamEnds(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	setReplies(rig.engines, func(*http.Request, int) platfk.Response {
		return platfk.Response{EndlessBody: true, Delay: 300 * time.Millisecond}
	})
	begin := time.Now()
	resp := rig.post(rig.nodes[0], "/stream/x", map[string]string{platform.HeaderDeadline: "2000"})
	assert.Assert(t, !resp.complete || resp.status != http.StatusOK)
	assert.Assert(t, time.Since(begin) < 4*time.Second, "the stream took %v", time.Since(begin))
}

// TestSlowStreamKept lets a server send its events slowly but steadily. The
// stream must not be cut or moved.
func TestSlowStreamKept(t *testing.T) {
	rig := newTestCluster(t, 1, 2)
	rig.waitReady()
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{Delay: 250 * time.Millisecond} })
	resp := rig.post(rig.nodes[0], "/stream/x", nil)
	assert.Equal(t, resp.status, http.StatusOK)
	assert.Equal(t, resp.body, wantEvents(0))
	assert.Assert(t, resp.complete)
	assert.Equal(t, runCount(rig.engines, resp.id), 1)
}

// TestLateSecondAnswer lets a server send another answer on a connection before
// the one that is due: whole, with the next request's length, and cut. No caller
// may get an answer that isn't its own.
func TestLateSecondAnswer(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	foreign := func(length int, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: someone-else\r\n%s: stamp-other\r\nContent-Length: %d\r\n\r\n%s", platform.HeaderAttemptID, platform.HeaderResponseStamp, length, body)
	}
	for name, preamble := range map[string]string{
		"whole":        foreign(5, "other"),
		"two":          foreign(5, "other") + foreign(5, "third"),
		"longer":       foreign(4096, "other"),
		"no length":    strings.Replace(foreign(5, "other"), "Content-Length: 5\r\n", "", 1),
		"only a start": "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name, func(t *testing.T) {
			setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{Preamble: preamble} })
			for num := range 4 {
				resp := rig.post(rig.nodes[0], fmt.Sprint("/charge/", num), map[string]string{platform.HeaderDeadline: "1000"})
				if resp.status == http.StatusOK {
					assert.Equal(t, resp.body, "answer to "+resp.id)
				} else {
					assert.Assert(t, resp.status == http.StatusBadGateway || resp.status == http.StatusGatewayTimeout, "status %d", resp.status)
				}
				assert.Assert(t, runCount(rig.plainServers, resp.id) <= 1)
			}
		})
	}
}

// TestMalformedInput sends broken datagrams and writes broken records of servers
// and nodes. The node must go on serving.
func TestMalformedInput(t *testing.T) {
	rig := newTestCluster(t, 2, 2)
	rig.waitReady()
	heartbeat := func(fields map[int]any) []byte {
		raw, err := cbor.Marshal(map[int]any{1: fields})
		assert.NilError(t, err)
		return raw
	}
	valid := heartbeat(map[int]any{1: "ghost", 2: 1, 8: []int64{1 << 62, -5, 3}, 9: "not an address", 10: "z9", 14: -1, 6: []string{"", "e1"}, 12: []string{"none"}, 5: map[string]any{"e1": map[int]int{1: -7, 2: 1 << 40}}, 17: map[string]any{"m": map[string]float64{"o": -3}}})
	datagrams := [][]byte{
		nil, {0}, {0xff, 0xff}, []byte("text"), valid, valid[:len(valid)/2], heartbeat(map[int]any{1: "x", 14: int64(1) << 62}), heartbeat(map[int]any{1: 5}), heartbeat(map[int]any{5: "wrong"}),
		append([]byte{0xa1, 0x02}, valid...), []byte(strings.Repeat("\x81", 4000)), []byte(strings.Repeat("\xa1\x01", 4000)),
	}
	for _, node := range rig.nodes {
		conn, err := net.Dial("udp", net.JoinHostPort(node.settings.IP, fmt.Sprint(node.settings.PeerPort)))
		assert.NilError(t, err)
		for _, raw := range datagrams {
			_, err = conn.Write(raw)
			assert.NilError(t, err)
		}
		assert.NilError(t, conn.Close())
	}
	for idx, raw := range []string{
		"", "{", "[]", "null", `{"service": "engines"}`, strings.Repeat("[", 5000), "\xff\xfe",
		`{"service": "engines", "address": "127.0.0.1:9", "slots": 4, "state": "ready", "domain": "d0", "group": {"name": "g", "epoch": 1, "rank": -1, "state": "open"}}`,
		`{"service": "engines", "address": "127.0.0.1:9", "slots": 4, "state": "ready", "domain": "d0", "group": {"name": "g", "epoch": 1, "rank": 2000000000, "state": "open"}}`,
	} {
		rig.store.Append(platform.TopicServers, fmt.Sprint("broken", idx), []byte(raw))
		rig.store.Append(platform.TopicNodes, fmt.Sprint("node/broken", idx), []byte(raw))
		rig.store.Append(platform.TopicNodes, fmt.Sprint("unknown", idx), []byte(raw))
	}
	for num := range 20 {
		for _, node := range rig.nodes {
			resp := rig.post(node, fmt.Sprint("/stream/", num), nil)
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Equal(t, resp.body, wantEvents(0))
		}
	}
}
