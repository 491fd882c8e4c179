package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// crashRestartDelay is the time after which a crashed server starts again.
const crashRestartDelay = 300 * time.Millisecond

// deadlyPart is a part of a prompt on which servers crash. firstPart is shared
// by all requests.
const (
	firstPart  = "90c5a82f"
	deadlyPart = "39321048"
)

// maxServersCrashed is the number of servers that a part may crash, and
// maxSentAfterwards the number of requests with it that may reach servers later.
const (
	maxServersCrashed = 5
	maxSentAfterwards = 3
)

// crashOnPart makes the model servers crash when they answer a request with deadlyPart: when
// they begin, or after a number of events. They start again after crashRestartDelay.
func (rig *testCluster) crashOnPart(events int) {
	for _, srv := range rig.engines {
		srv.SetResponder(func(req *http.Request, _ int) platfk.Response {
			if !strings.Contains(req.Header.Get(platform.HeaderPromptParts), deadlyPart) {
				return platfk.Response{Delay: 30 * time.Millisecond}
			}
			time.AfterFunc(time.Duration(events)*30*time.Millisecond+crashRestartDelay, srv.Restart)
			return platfk.Response{Crash: events == 0, CrashAfter: events, Delay: 30 * time.Millisecond}
		})
	}
}

func (rig *testCluster) crashes() int {
	num := 0
	for _, srv := range rig.engines {
		num += srv.Crashes()
	}
	return num
}

// TestCrashingPromptPart sends requests that have a part in common on which each
// server crashes, and sound requests beside them. It guards against requests
// that crash one server after another because each of them is new.
func TestCrashingPromptPart(t *testing.T) { playDeadlyPart(t, 0, 1) }

// TestCrashAfterEvent does the same with servers that send two events before they crash. It
// guards against such a crash that is no evidence against the request, while sound requests
// that waited there are blamed.
func TestCrashAfterEvent(t *testing.T) { playDeadlyPart(t, 2, 1) }

// TestLateDeadlyPart does the same with a part that comes after many others. It guards against
// a part that is left out of the evidence, so that sound ones are blamed.
func TestLateDeadlyPart(t *testing.T) { playDeadlyPart(t, 0, 60) }

// playDeadlyPart plays requests with deadlyPart, after a number of common parts, beside sound
// ones. Servers crash after a number of events.
func playDeadlyPart(t *testing.T, events, common int) {
	rig := newTestCluster(t, 2, 8)
	rig.waitReady()
	rig.crashOnPart(events)
	var sb strings.Builder
	for num := range common {
		fmt.Fprintf(&sb, "%s%02x:20,", firstPart, num)
	}
	const rounds = 30
	var wait sync.WaitGroup
	var mtx sync.Mutex
	served := 0
	for num := range rounds {
		node := rig.nodes[num%len(rig.nodes)]
		wait.Add(2)
		go func() {
			defer wait.Done()
			parts := fmt.Sprintf("%s%s:400,own%d:250", sb.String(), deadlyPart, num)
			rig.post(node, "/stream/deadly", map[string]string{platform.HeaderPromptParts: parts})
		}()
		go func() {
			defer wait.Done()
			parts := fmt.Sprintf("%smiddle%d:400,own%d:250", sb.String(), num%4, num)
			resp := rig.post(node, "/stream/sound", map[string]string{platform.HeaderPromptParts: parts})
			if resp.status == http.StatusOK && resp.complete {
				mtx.Lock()
				served++
				mtx.Unlock()
			}
		}()
		<-time.After(100 * time.Millisecond)
	}
	wait.Wait()
	sent := 0
	for _, srv := range rig.engines {
		for _, req := range srv.Requests() {
			if strings.Contains(req.Header.Get(platform.HeaderPromptParts), deadlyPart) {
				sent++
			}
		}
	}
	assert.Assert(t, rig.crashes() <= maxServersCrashed, "%d servers crashed", rig.crashes())
	assert.Assert(t, sent <= maxServersCrashed+maxSentAfterwards, "%d requests with the part reached servers", sent)
	assert.Assert(t, served >= rounds/2, "%d of %d sound requests were served", served, rounds)
}
