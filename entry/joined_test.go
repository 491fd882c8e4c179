package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
)

// TestJoinedHeaders guards against the begin of a second answer that joins with the answer
// that is due: a failure that callers get as a success, or a run as a refusal.
func TestJoinedHeaders(t *testing.T) {
	for _, begin := range []string{"HTTP/1.1 200 OK\r\nContent-Language: x", "HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nContent-La", "HTTP/1.1 503 X\r\nRetry-After: 1"} {
		t.Run(begin, func(t *testing.T) {
			t.Parallel()
			rig := newTestClusterWith(t, 1, 1, func(rig *testCluster) { rig.keepAlive = true })
			rig.waitReady()
			for num := range 8 {
				setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{Again: begin} })
				first := rig.post(rig.nodes[0], fmt.Sprint("/charge/first", num), nil)
				assert.Assert(t, first.status == http.StatusOK || first.status == http.StatusBadGateway, "status %d", first.status)
				setReplies(rig.plainServers, func(*http.Request, int) platfk.Response {
					return platfk.Response{Status: http.StatusInternalServerError}
				})
				resp := rig.post(rig.nodes[0], fmt.Sprint("/charge/", num), nil)
				assert.Assert(t, resp.status == http.StatusInternalServerError || resp.status == http.StatusBadGateway, "status %d", resp.status)
				assert.Assert(t, runCount(rig.plainServers, resp.id) <= 1)
			}
		})
	}
}
