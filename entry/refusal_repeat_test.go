package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestSecondRefusalOfRequest guards against the copy of a refusal that is taken for the
// answer to a request that runs: its caller is told that it has not run, or it runs at a
// second server.
func TestSecondRefusalOfRequest(t *testing.T) {
	refusal := fmt.Sprintf("HTTP/1.1 503 X\r\n%s: 1\r\n", platform.HeaderNotExecuted)
	for name, again := range map[string]string{
		"same request": refusal + platform.HeaderAttemptID + ": %s\r\nContent-Length: 0\r\n\r\n",
		// The header goes on with that of the answer that is due, which names the request.
		"begin only": refusal + "Retry-After: 0.2",
	} {
		t.Run(name, func(t *testing.T) {
			rig := newTestCluster(t, 1, 1)
			rig.waitReady()
			for num := range 6 {
				setReplies(rig.plainServers, func(*http.Request, int) platfk.Response {
					return platfk.Response{Refuse: true, Again: again}
				})
				resp := rig.post(rig.nodes[0], fmt.Sprint("/charge/refused", num), nil)
				assert.Equal(t, resp.status, http.StatusServiceUnavailable)
				setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{} })
				resp = rig.post(rig.nodes[0], fmt.Sprint("/charge/", num), map[string]string{platform.HeaderAttemptID: resp.id})
				assert.Equal(t, runCount(rig.plainServers, resp.id), 1)
				assert.Equal(t, resp.status, http.StatusOK)
			}
		})
	}
}
