package entry_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core/site"
)

// applyBound is the time from the acknowledgement of a configuration within which
// every node must act on it.
const applyBound = 2 * time.Second

// requireRoute waits until every node serves the route, and checks that this took
// no longer than applyBound since the configuration was written.
func (rig *testCluster) requireRoute(prefix string, writtenAt time.Time) {
	rig.t.Helper()
	for _, node := range rig.nodes {
		rig.waitFor("route "+prefix, func() bool { return rig.get(node, "/"+prefix+"/x", nil).status == http.StatusOK })
	}
	assert.Assert(rig.t, time.Since(writtenAt) < applyBound, "%v", time.Since(writtenAt))
}

// TestRestoredStoreConfiguration guards against a configuration that is written
// after the store came back from an older copy and is never applied, because the
// nodes go on from an offset of the lost history.
func TestRestoredStoreConfiguration(t *testing.T) {
	rig := newTestCluster(t, 3, 1)
	rig.waitReady()
	cp := rig.store.Copy()
	added := newRoute("added", site.KindIdempotent, "plain")
	for version := range int64(4) {
		rig.configure(2+version, added)
	}
	rig.requireRoute("added", time.Now())
	rig.store.Restore(cp)
	writtenAt := time.Now()
	rig.configure(6, added, newRoute("later", site.KindIdempotent, "plain"))
	rig.requireRoute("later", writtenAt)
}
