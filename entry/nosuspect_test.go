package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// TestNoSuspicionWithoutCrash lets servers fail requests in other ways than by a
// crash. It guards against a part of a prompt that is suspected because a server
// refused, was silent, failed or broke off after events.
func TestNoSuspicionWithoutCrash(t *testing.T) {
	for _, tt := range []struct {
		name  string
		reply platfk.Response
	}{
		{"refused", platfk.Response{Refuse: true}},
		{"silent", platfk.Response{StallAfter: -1}},
		{"silent after events", platfk.Response{StallAfter: 2}},
		{"failure", platfk.Response{Status: http.StatusInternalServerError}},
		{"broken off after events", platfk.Response{CutAfter: 2}},
		{"response to another request", platfk.Response{ContentEncoding: "gzip"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rig := newTestCluster(t, 0, 2)
			rig.metricsPort = 18084
			node := rig.startNode()
			rig.waitReady()
			var once sync.Once
			setReplies(rig.engines, func(*http.Request, int) platfk.Response {
				resp := platfk.Response{}
				once.Do(func() { resp = tt.reply })
				return resp
			})
			resp := rig.post(node, "/stream/x", map[string]string{platform.HeaderPromptParts: "a1:10,b2:20,c3:30"})
			assert.Assert(t, resp.status != 0)
			assert.Assert(t, !strings.Contains(node.metrics(t), "kumquathinge_prompt_parts_total"), "status %d", resp.status)
		})
	}
}
