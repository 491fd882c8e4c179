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

// syncBuffer is a log output that several goroutines may use.
type syncBuffer struct {
	mtx sync.Mutex
	buf bytes.Buffer
}

func (lines *syncBuffer) Write(raw []byte) (int, error) {
	lines.mtx.Lock()
	defer lines.mtx.Unlock()
	return lines.buf.Write(raw)
}

func (lines *syncBuffer) String() string {
	lines.mtx.Lock()
	defer lines.mtx.Unlock()
	return lines.buf.String()
}

// TestLogLinesWrittenOnce checks that each line is written once, also those at the end.
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

// blockedWriter is a log output that takes nothing until it is let go.
type blockedWriter struct{ release chan struct{} }

func (blocked blockedWriter) Write(raw []byte) (int, error) {
	<-blocked.release
	return len(raw), nil
}

// TestLogNeverBlocks lets the log output hang: requests are served all the
// same, and the lines that found no room are counted.
func TestLogNeverBlocks(t *testing.T) {
	const more = 10000 // lines, more than the buffer holds
	blocked := blockedWriter{release: make(chan struct{})}
	before := logOutput
	logOutput = blocked
	rig := newTestCluster(t, 0, 1)
	rig.metricsPort = 18084
	node := rig.startNode()
	logOutput = before
	defer close(blocked.release)
	rig.waitReady()
	client := &http.Client{}
	for range more {
		res, err := client.Get("http://" + node.settings.CallerAddr + "/none/x")
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusNotFound)
	}
	assert.Equal(t, rig.get(node, "/read/x", nil).status, http.StatusOK)
	dropped := regexp.MustCompile(`kumquathinge_log_lines_dropped_total ([0-9]+)`).FindStringSubmatch(node.metrics(t))
	assert.Assert(t, dropped != nil && dropped[1] != "0", "dropped lines are counted")
}
