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

// lines is a log output that several goroutines may use.
type lines struct {
	mtx sync.Mutex
	buf bytes.Buffer
}

func (lns *lines) Write(raw []byte) (int, error) {
	lns.mtx.Lock()
	defer lns.mtx.Unlock()
	return lns.buf.Write(raw)
}

func (lns *lines) String() string {
	lns.mtx.Lock()
	defer lns.mtx.Unlock()
	return lns.buf.String()
}

// TestLinesOnce checks that each line is written once, also those at the end.
func TestLinesOnce(t *testing.T) {
	sto := platfk.NewStore()
	defer sto.Close()
	out := &lines{}
	set := site.Settings{Node: "n1", IP: "127.9.9.9", Zone: "z1", CallerAddr: "127.9.9.9:18081", ReadinessAddr: "127.9.9.9:18082", StoreAddr: sto.Addr(), PeerPort: 18083, StopGrace: grace}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- entry.New(entry.Options{Log: out, StopNotice: notice}, set).Run(ctx) }()
	rig := &rig{tst: t}
	rig.await("start", func() bool { return strings.Contains(out.String(), "event=start ") })
	stop()
	assert.NilError(t, <-done)
	for _, evt := range []string{"start", "stopping", "stop"} {
		assert.Equal(t, strings.Count(out.String(), "event="+evt+" "), 1, "%s", out)
	}
}

// stuck is a log output that takes nothing until it is let go.
type stuck struct{ gate chan struct{} }

func (stk stuck) Write(raw []byte) (int, error) {
	<-stk.gate
	return len(raw), nil
}

// TestLogNeverBlocks lets the log output hang: requests are served all the
// same, and the lines that found no room are counted.
func TestLogNeverBlocks(t *testing.T) {
	const more = 10000 // lines, more than the buffer holds
	stk := stuck{gate: make(chan struct{})}
	before := logTo
	logTo = stk
	rig := newRig(t, 0, 1)
	rig.metrics = 18084
	nod := rig.start()
	logTo = before
	defer close(stk.gate)
	rig.ready()
	cli := &http.Client{}
	for range more {
		res, err := cli.Get("http://" + nod.set.CallerAddr + "/none/x")
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
		assert.Equal(t, res.StatusCode, http.StatusNotFound)
	}
	assert.Equal(t, rig.get(nod, "/read/x", nil).status, http.StatusOK)
	dropped := regexp.MustCompile(`kumquathinge_log_lines_dropped_total ([0-9]+)`).FindStringSubmatch(nod.metrics(t))
	assert.Assert(t, dropped != nil && dropped[1] != "0", "dropped lines are counted")
}
