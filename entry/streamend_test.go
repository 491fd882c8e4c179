package entry_test

import (
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/platform/platfk"
)

// TestStreamWithoutFraming sends streams that have neither a length nor chunks
// and end with their connection. It guards against a stream that ends inside an
// event, or before the first one, and is passed on as whole.
func TestStreamWithoutFraming(t *testing.T) {
	for _, tt := range []struct {
		name      string
		reply     platfk.Response
		resumable bool
		complete  bool
		runs      int
	}{
		{"whole", platfk.Response{CloseDelimited: true}, true, true, 1},
		{"ends inside an event", platfk.Response{CloseDelimited: true, CutAfter: 3}, true, true, 2},
		{"ends before the first event", platfk.Response{CloseDelimited: true, StallAfter: -1}, true, true, 2},
		{"ends inside an event, not resumable", platfk.Response{CloseDelimited: true, CutAfter: 3}, false, false, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rig := newTestCluster(t, 1, 2)
			rig.resumable = tt.resumable
			rig.waitReady()
			var once sync.Once
			setReplies(rig.engines, func(*http.Request, int) platfk.Response {
				resp := platfk.Response{}
				once.Do(func() { resp = tt.reply })
				return resp
			})
			resp := rig.post(rig.nodes[0], "/stream/x", nil)
			assert.Equal(t, runCount(rig.engines, resp.id), tt.runs)
			assert.Equal(t, resp.status == http.StatusOK && resp.complete, tt.complete)
			if tt.complete {
				assert.Equal(t, resp.body, wantEvents(0))
			}
		})
	}
}
