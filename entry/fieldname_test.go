package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
	"kumquathinge/stand"
)

// TestInvalidFieldName guards against an answer with an invalid field name that callers get
// as an answer, and against a refusal with one that counts as a promise.
func TestInvalidFieldName(t *testing.T) {
	for what := range stand.InvalidFieldNames("", "") {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			rig := newTestCluster(t, 1, 2)
			rig.waitReady()
			for _, path := range []string{"/charge/", "/read/", "/stream/"} {
				for _, refuse := range []bool{false, true} {
					reply := func(req *http.Request, _ int) platfk.Response {
						lines := fmt.Sprintf("%s: %s\r\n%s: stamp\r\n", platform.HeaderAttemptID, req.Header.Get(platform.HeaderAttemptID), platform.HeaderResponseStamp)
						if refuse {
							lines += platform.HeaderNotExecuted + ": 1\r\n"
						}
						return platfk.Response{Preamble: stand.InvalidFieldNames(lines, "bad")[what]}
					}
					setReplies(rig.plainServers, reply)
					setReplies(rig.engines, reply)
					resp := rig.post(rig.nodes[0], path+"x", nil)
					assert.NilError(t, resp.err)
					assert.Equal(t, resp.status, http.StatusBadGateway, path)
					assert.Equal(t, resp.header.Get(platform.HeaderResponseStamp), "", path)
					assert.Assert(t, !strings.Contains(resp.body, "bad"), path)
				}
			}
		})
	}
}

// TestTrailerFields guards against fields after the body of an answer, valid or not, that
// callers get with it.
func TestTrailerFields(t *testing.T) {
	rig := newTestCluster(t, 1, 2)
	rig.waitReady()
	for _, line := range []string{"Good: x", "Bad Name: x", "Badname : x", platform.HeaderNotExecuted + ": 1", "Retry-After: 9"} {
		setReplies(rig.plainServers, func(req *http.Request, _ int) platfk.Response {
			return platfk.Response{Preamble: fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: stamp\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n%s\r\n\r\n",
				platform.HeaderAttemptID, req.Header.Get(platform.HeaderAttemptID), platform.HeaderResponseStamp, line)}
		})
		resp := rig.post(rig.nodes[0], "/read/x", nil)
		assert.NilError(t, resp.err)
		assert.Assert(t, resp.status == http.StatusOK && resp.body == "body" || resp.status == http.StatusBadGateway, "%s: status %d", line, resp.status)
		for name := range resp.header {
			assert.Assert(t, !strings.HasPrefix(line, name), "%s: %q", line, name)
		}
	}
}
