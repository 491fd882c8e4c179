package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/platform"
	"kumquathinge/platform/platfk"
)

// failingListener is a listener whose accepts fail while an error is set.
type failingListener struct {
	net.Listener
	failure atomic.Pointer[error]
	// failed counts the accepts that failed.
	failed atomic.Int64
}

// Accept implements net.Listener.
func (lis *failingListener) Accept() (net.Conn, error) {
	conn, err := lis.Listener.Accept()
	if failure := lis.failure.Load(); failure != nil && err == nil {
		lis.failed.Add(1)
		_ = conn.Close()
		return nil, *failure
	}
	return conn, err
}

// newFailingCluster starts a node whose listener for callers can be made to fail.
func newFailingCluster(t *testing.T) (*testCluster, *failingListener) {
	t.Helper()
	lis := &failingListener{}
	rig := newTestClusterWith(t, 1, 1, func(rig *testCluster) {
		rig.listen = func(_ context.Context, addr string) (net.Listener, error) {
			raw, err := net.Listen("tcp", addr)
			lis.Listener = raw
			return lis, err
		}
	})
	rig.waitReady()
	return rig, lis
}

// TestDescriptorsUsedUp makes accepts fail since no descriptor is left. It guards against a node
// that stops all its tasks and serves on with old state, and refuses connections for good.
func TestDescriptorsUsedUp(t *testing.T) {
	rig, lis := newFailingCluster(t)
	unused, _ := rig.dial(rig.nodes[0], "")
	defer func() { _ = unused.Close() }()
	failure := error(&net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
	lis.failure.Store(&failure)
	rig.waitFor("failed accepts", func() bool {
		conn, err := net.Dial("tcp", rig.nodes[0].settings.CallerAddr)
		if err == nil {
			_ = conn.Close()
		}
		return lis.failed.Load() > 3
	})
	lis.failure.Store(nil)
	// The unused connection was closed to free its descriptor.
	requireClosed(t, unused, time.Second)
	assert.Equal(t, rig.get(rig.nodes[0], "/read/x", nil).status, http.StatusOK)
	rig.configure(2)
	rig.waitFor("the next configuration", func() bool { return rig.get(rig.nodes[0], "/read/x", nil).status == http.StatusOK })
}

// TestFailedTaskEndsNode makes the listener for callers fail for good while a request is open.
// It guards against a node that neither works nor ends.
func TestFailedTaskEndsNode(t *testing.T) {
	rig, lis := newFailingCluster(t)
	node := rig.nodes[0]
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{Delay: time.Second} })
	conn, _ := rig.dial(node, streamRequest("open"))
	defer func() { _ = conn.Close() }()
	failure := errors.New("the listener is broken")
	lis.failure.Store(&failure)
	next, err := net.Dial("tcp", node.settings.CallerAddr)
	assert.NilError(t, err)
	defer func() { _ = next.Close() }()
	select {
	case err = <-node.done:
		assert.ErrorContains(t, err, "the listener is broken")
		node.done <- nil
	case <-time.After(2 * time.Second):
		t.Fatal("the node goes on without its listener")
	}
}

// streamRequest returns a request for a stream.
func streamRequest(id string) string {
	return fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: %s\r\n%s: 8000\r\nContent-Length: 0\r\n\r\n", host,
		platform.HeaderAttemptID, id, platform.HeaderAPIKey, key, platform.HeaderModel, model, platform.HeaderDeadline)
}

// TestConfiguredTimeouts guards against time limits of the configuration that nobody keeps.
func TestConfiguredTimeouts(t *testing.T) {
	rig := newTestClusterWith(t, 1, 1, func(rig *testCluster) {
		rig.idleTimeout, rig.headerTimeout = 2*time.Second, 500*time.Millisecond
	})
	rig.waitReady()
	begin := time.Now()
	slow, _ := rig.dial(rig.nodes[0], "POST /read/x HTTP/1.1\r\nHost: "+host+"\r\n")
	unused, _ := rig.dial(rig.nodes[0], "")
	kept, reader := rig.dial(rig.nodes[0], streamRequest("kept"))
	for _, conn := range []net.Conn{slow, unused, kept} {
		defer func() { _ = conn.Close() }()
	}
	requireStream(t, kept, reader)
	requireClosed(t, slow, 1500*time.Millisecond)
	requireClosed(t, unused, 4*time.Second)
	assert.Assert(t, time.Since(begin) >= 1900*time.Millisecond, "closed after %v", time.Since(begin))
	requireClosed(t, kept, 4*time.Second)
}

// TestManyUnusedConnections opens more connections than the descriptors of the node allow, and
// leaves them open. It guards against users who leave their connections open and so keep
// others out: those that were unused for the longest are closed, no others.
func TestManyUnusedConnections(t *testing.T) {
	const limit = 20
	rig := newTestClusterWith(t, 1, 1, func(rig *testCluster) { rig.maxFds = 200 + 2*limit })
	rig.waitReady()
	setReplies(rig.engines, func(*http.Request, int) platfk.Response { return platfk.Response{Delay: 100 * time.Millisecond} })
	busy, reader := rig.dial(rig.nodes[0], streamRequest("busy"))
	defer func() { _ = busy.Close() }()
	var conns []net.Conn
	for range 3 * limit {
		conn, _ := rig.dial(rig.nodes[0], "")
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		time.Sleep(2 * time.Millisecond)
	}
	for _, conn := range conns[:limit] {
		requireClosed(t, conn, 2*time.Second)
	}
	last := conns[len(conns)-1]
	_, err := last.Write([]byte(streamRequest("last")))
	assert.NilError(t, err)
	requireStream(t, last, bufio.NewReader(last))
	requireStream(t, busy, reader)
}
