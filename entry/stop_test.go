package entry_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSignal stops a node with SIGTERM, as the platform does. The process must
// end once its requests have ended, before the grace period is over.
func TestSignal(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case err := <-rig.nodes[0].done:
		assert.NilError(t, err)
		rig.nodes[0].done <- nil
	case <-time.After(stopGrace):
		t.Error("the node still runs at the end of the grace period")
	}
}
