package entry_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSignal stops a node by the signal that the platform sends: its process
// ends when its requests have, not only when the grace is over.
func TestSignal(t *testing.T) {
	rig := newTestCluster(t, 1, 1)
	rig.waitReady()
	assert.NilError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	select {
	case err := <-rig.nodes[0].done:
		assert.NilError(t, err)
		rig.nodes[0].done <- nil
	case <-time.After(stopGrace):
		t.Error("the node still runs at the end of the grace")
	}
}
