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

// TestResumeAnsweredWithError guards against the text or the header of an error in
// the middle of a stream that goes on at another server, and against such a stream
// that ends as if it were complete.
func TestResumeAnsweredWithError(t *testing.T) {
	rig := newTestCluster(t, 1, 2)
	rig.waitReady()
	for name, second := range map[string]platfk.Response{
		"error":                {Status: http.StatusInternalServerError},
		"bad request":          {Status: http.StatusBadRequest},
		"not found":            {Status: http.StatusNotFound},
		"gateway timeout":      {Status: http.StatusGatewayTimeout},
		"unavailable":          {Status: http.StatusServiceUnavailable},
		"no content":           {Status: http.StatusNoContent},
		"redirect":             {Status: http.StatusFound},
		"created":              {Status: http.StatusCreated},
		"error without length": {Status: http.StatusInternalServerError, CloseDelimited: true},
		"error cut":            {Status: http.StatusInternalServerError, CutAfter: 1},
		"refused":              {Refuse: true},
		"another answer first": {Preamble: "HTTP/1.1 500 X\r\n" + platform.HeaderAttemptID + ": other\r\nContent-Length: 4\r\n\r\noops"},
		"unnamed error first":  {Preamble: "HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops"},
	} {
		t.Run(name, func(t *testing.T) {
			var mtx sync.Mutex
			sent := 0
			setReplies(rig.engines, func(*http.Request, int) platfk.Response {
				mtx.Lock()
				defer mtx.Unlock()
				sent++
				if sent == 1 {
					return platfk.Response{CutAfter: 5}
				}
				return second
			})
			resp := rig.post(rig.nodes[0], "/stream/x", nil)
			assert.Equal(t, resp.status, http.StatusOK)
			assert.Assert(t, sent > 1, "the stream was not resumed")
			assert.Assert(t, strings.HasPrefix(wantEvents(0), resp.body), "%q", resp.body)
			assert.Assert(t, !resp.complete || resp.body == wantEvents(0), "the stream looks complete after %q", resp.body)
		})
	}
}
