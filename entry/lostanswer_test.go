package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
)

// Lengths that exceed those of the responses in TestLostAnswer, in bytes.
const (
	maxPlainResponse  = 260
	maxStreamResponse = 700
)

// TestLostAnswer loses the answer of a server after each of its bytes. It guards
// against a request that ran and runs again although it must not, and against a
// caller that gets "not run" for it.
func TestLostAnswer(t *testing.T) {
	rig := newTestCluster(t, 1, 2)
	rig.resumable = false
	rig.waitReady()
	notRun := map[int]bool{http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true}
	for _, tt := range []struct {
		path    string
		servers []*platfk.Server
		maxRuns int
		maxLost int
		// step is the distance of the bytes that are tried. Retries of all of them
		// would exceed the retry budget.
		step int
	}{
		{"/charge/%d", rig.plainServers, 1, maxPlainResponse, 1},
		{"/read/%d", rig.plainServers, 2, maxPlainResponse, 5},
		{"/stream/%d", rig.engines, 1, maxStreamResponse, 1},
	} {
		t.Run(tt.path, func(t *testing.T) {
			for lost := -1; lost <= tt.maxLost; lost += tt.step {
				if lost == 0 {
					continue
				}
				var once sync.Once
				setReplies(tt.servers, func(*http.Request, int) platfk.Response {
					resp := platfk.Response{}
					once.Do(func() { resp.LoseAfter = lost })
					return resp
				})
				resp := rig.post(rig.nodes[0], fmt.Sprintf(tt.path, lost), nil)
				runs := runCount(tt.servers, resp.id)
				assert.Assert(t, runs >= 1 && runs <= tt.maxRuns, "%d runs, lost after %d bytes", runs, lost)
				assert.Assert(t, !notRun[resp.status], "status %d of a request that ran, lost after %d bytes", resp.status, lost)
				if tt.maxRuns > 1 {
					assert.Equal(t, resp.status, http.StatusOK, "lost after %d bytes", lost)
				}
				if resp.status == http.StatusOK && resp.complete {
					want := "answer to " + resp.id
					if tt.servers[0] == rig.engines[0] {
						want = wantEvents(0)
					}
					assert.Equal(t, resp.body, want, "lost after %d bytes", lost)
				}
			}
		})
	}
}
