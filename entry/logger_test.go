package entry_test

import (
	"bytes"
	"context"
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
	set := site.Settings{Node: "n1", IP: "127.9.9.9", Zone: "z1", Callers: "127.9.9.9:18081", Readiness: "127.9.9.9:18082", Store: sto.Addr(), PeerPort: 18083, StopGrace: grace}
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
