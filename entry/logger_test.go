package entry_test

import (
	"bytes"
	"context"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"kumquathinge/core/site"
	"kumquathinge/entry"
	"kumquathinge/platform/platfk"
)

// syncBuffer is a log output that is safe for concurrent use.
type syncBuffer struct {
	mtx sync.Mutex
	buf bytes.Buffer
}

func (output *syncBuffer) Write(raw []byte) (int, error) {
	output.mtx.Lock()
	defer output.mtx.Unlock()
	return output.buf.Write(raw)
}

func (output *syncBuffer) String() string {
	output.mtx.Lock()
	defer output.mtx.Unlock()
	return output.buf.String()
}

// TestLogLinesWrittenOnce checks that each line is written exactly once,
// including the last lines of a node.
func TestLogLinesWrittenOnce(t *testing.T) {
	store := platfk.NewStore()
	defer store.Close()
	out := &syncBuffer{}
	settings := site.Settings{Node: "n1", IP: "127.9.9.9", Zone: "z1", CallerAddr: "127.9.9.9:18081", ReadinessAddr: "127.9.9.9:18082", StoreAddr: store.Addr(), PeerPort: 18083, StopGrace: stopGrace}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- entry.New(entry.Options{Log: out, DrainDelay: drainDelay}, settings).Run(ctx) }()
	rig := &testCluster{t: t}
	rig.waitFor("start", func() bool { return strings.Contains(out.String(), "event=start ") })
	stop()
	assert.NilError(t, <-done)
	for _, event := range []string{"start", "stopping", "stop"} {
		assert.Equal(t, strings.Count(out.String(), "event="+event+" "), 1, "%s", out)
	}
}

// blockedWriter is a log output that blocks until release is closed.
type blockedWriter struct{ release chan struct{} }

func (blocked blockedWriter) Write(raw []byte) (int, error) {
	<-blocked.release
	return len(raw), nil
}

// TestLogNeverBlocks blocks the log output: requests must still be served, and
// the lines that do not fit in the queue must be counted as dropped.
func TestLogNeverBlocks(t *testing.T) {
	const requestCount = 10000 // each logs a line; more than the queue holds
	blocked := blockedWriter{release: make(chan struct{})}
	oldOutput := logOutput
	logOutput = blocked
	rig := newTestCluster(t, 0, 1)
	rig.metricsPort = 18084
	node := rig.startNode()
	logOutput = oldOutput
	defer close(blocked.release)
	rig.waitReady()
	client := &http.Client{}
	for range requestCount {
		res, err := client.Get("http://" + node.settings.CallerAddr + "/none/x")
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusNotFound)
	}
	assert.Equal(t, rig.get(node, "/read/x", nil).status, http.StatusOK)
	dropped := regexp.MustCompile(`kumquathinge_log_lines_dropped_total ([0-9]+)`).FindStringSubmatch(node.metrics(t))
	assert.Assert(t, dropped != nil && dropped[1] != "0", "dropped lines are not counted")
}
