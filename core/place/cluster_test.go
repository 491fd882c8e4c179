package place_test

import (
	"testing"
	"time"

	"kumquathinge/core/site"
	"kumquathinge/model/emul"
)

// Models of the emulated clusters.
const (
	large = "large"
	small = "small"
)

var (
	largeModel = site.Model{Name: large, GroupSize: 6, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond}
	smallModel = site.Model{Name: small, GroupSize: 3, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond}
)

// newCluster returns a cluster without servers. Its models are largeModel and
// smallModel unless others are given.
func newCluster(seed uint64, models ...site.Model) *emul.Cluster {
	if len(models) == 0 {
		models = []site.Model{largeModel, smallModel}
	}
	return emul.New(emul.Config{Models: models, Slots: 26, LoadsPerSec: 5.5, MaxConcurrentLoads: 8, Seed: seed})
}

// checkViolations fails the test if an order violated an invariant.
func checkViolations(t *testing.T, cl *emul.Cluster) {
	t.Helper()
	for _, msg := range cl.Violations() {
		t.Error(msg)
	}
}
