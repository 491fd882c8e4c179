package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestRepeatedRefusal guards against a refusal that a server writes once more on a
// kept connection and that is taken for the answer to the next request: its caller
// is told that it hasn't run, or it runs at a second server.
func TestRepeatedRefusal(t *testing.T) {
	refusal := fmt.Sprintf("HTTP/1.1 %%d X\r\n%s: 1\r\n%s: earlier\r\nContent-Length: 0\r\n\r\n", platform.HeaderNotExecuted, platform.HeaderAttemptID)
	unnamed := strings.Replace(refusal, platform.HeaderAttemptID+": earlier\r\n", "", 1)
	bare := strings.Replace(unnamed, platform.HeaderNotExecuted+": 1\r\n", "", 1)
	for name, preamble := range map[string]string{
		"with the ID of the earlier request": fmt.Sprintf(refusal, 503),
		"twice":                              fmt.Sprintf(refusal, 503) + fmt.Sprintf(refusal, 429),
		"without an ID":                      fmt.Sprintf(unnamed, 503),
		"without an ID, too many requests":   fmt.Sprintf(unnamed, 429),
		"another server, without an ID":      fmt.Sprintf(bare, 421),
		"unavailable, without an ID":         fmt.Sprintf(bare, 503),
	} {
		t.Run(name, func(t *testing.T) {
			rig := newTestClusterWith(t, 1, 1, func(rig *testCluster) { rig.keepAlive = true })
			rig.waitReady()
			ran := false
			for num := range 12 {
				// The connection has carried a refusal or the answer to a request that ran.
				refused := num%2 == 0
				setReplies(rig.plainServers, func(*http.Request, int) platfk.Response {
					return platfk.Response{Refuse: refused, Again: preamble}
				})
				resp := rig.post(rig.nodes[0], fmt.Sprint("/charge/first", num), nil)
				assert.Equal(t, resp.status == http.StatusServiceUnavailable, refused)
				setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{} })
				resp = rig.post(rig.nodes[0], fmt.Sprint("/charge/", num), nil)
				runs := runCount(rig.plainServers, resp.id)
				ran = ran || runs > 0
				assert.Assert(t, runs <= 1, "%d runs", runs)
				switch resp.status {
				case http.StatusOK:
					assert.Equal(t, resp.body, "answer to "+resp.id)
				default:
					assert.Assert(t, runs == 0 || resp.status == http.StatusBadGateway, "status %d after %d runs", resp.status, runs)
				}
			}
			assert.Assert(t, ran)
		})
	}
}
