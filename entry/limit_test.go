package entry_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
)

const (
	// serverLimit is the limit that a server names in TestServerLimit, in requests
	// a second. Over limitWindow it may get limitTolerance times as many, and
	// limitSlack more.
	serverLimit    = 4.0
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitLearnTime is the time until all nodes keep a new limit.
	limitLearnTime = time.Second
)

// TestServerLimit sends more requests through several nodes than a server that
// names a limit accepts from all of them. It guards against nodes that ignore the
// limit, or that keep it each for itself. What the server may not get goes to the
// other one.
func TestServerLimit(t *testing.T) {
	rig := newTestCluster(t, 4, 1)
	rig.waitReady()
	limited := rig.plainServers[0]
	limited.SetResponder(func(*http.Request, int) platfk.Response { return platfk.Response{Limit: "4.0"} })
	begin := time.Now()
	var wait sync.WaitGroup
	var mtx sync.Mutex
	failed := 0
	const interval = 10 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for num := 0; time.Since(begin) < limitLearnTime+limitWindow; num++ {
		<-ticker.C
		node := rig.nodes[num%len(rig.nodes)]
		wait.Add(1)
		go func() {
			defer wait.Done()
			if rig.get(node, "/read/x", nil).status != http.StatusOK {
				mtx.Lock()
				failed++
				mtx.Unlock()
			}
		}()
	}
	wait.Wait()
	got := 0
	for _, req := range limited.Requests() {
		if req.ReceivedAt.After(begin.Add(limitLearnTime)) {
			got++
		}
	}
	allowed := int(limitTolerance*serverLimit*limitWindow.Seconds()) + limitSlack
	assert.Assert(t, got <= allowed, "%d requests in %v, %d are allowed", got, limitWindow, allowed)
	assert.Assert(t, got >= int(serverLimit*limitWindow.Seconds()/2), "%d requests in %v, the limit is not used", got, limitWindow)
	assert.Equal(t, failed, 0)
}
