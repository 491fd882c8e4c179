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
