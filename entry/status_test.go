package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestInvalidStatus guards against an answer with status 000, or another one that is no
// status of an answer, which callers get as an answer.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "20", "2000", "-01", "abc"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			rig := newTestCluster(t, 1, 2)
			rig.waitReady()
			for _, tt := range []struct {
				path    string
				servers []*platfk.Server
			}{{"/charge/", rig.plainServers}, {"/read/", rig.plainServers}, {"/stream/", rig.engines}} {
				setReplies(tt.servers, func(req *http.Request, _ int) platfk.Response {
					return platfk.Response{Preamble: fmt.Sprintf(
						"HTTP/1.1 %s X\r\n%s: %s\r\n%s: stamp\r\nContent-Length: 3\r\n\r\nbad", status, platform.HeaderAttemptID, req.Header.Get(platform.HeaderAttemptID), platform.HeaderResponseStamp)}
				})
				resp := rig.post(rig.nodes[0], tt.path+"x", nil)
				assert.NilError(t, resp.err)
				assert.Equal(t, resp.status, http.StatusBadGateway, tt.path)
				assert.Equal(t, resp.header.Get(platform.HeaderResponseStamp), "", tt.path)
			}
		})
	}
}

// TestInterimResponse guards against an interim response that is taken for the answer, and
// against an invalid status after one.
func TestInterimResponse(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	for _, tt := range []struct {
		preamble string
		status   int
	}{
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", http.StatusOK},
		{"\r\n", http.StatusOK},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", http.StatusBadGateway},
	} {
		setReplies(rig.plainServers, func(*http.Request, int) platfk.Response { return platfk.Response{Preamble: tt.preamble} })
		assert.Equal(t, rig.post(rig.nodes[0], "/charge/x", nil).status, tt.status, "%q", tt.preamble)
	}
}
