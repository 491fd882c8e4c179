package node_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// TestCrashingRequestTakesTwoGroups sends a request that crashes every engine
// that runs it through all entry VMs, repeatedly, until it is quarantined. At
// most two groups may crash, and other requests must still be served.
func TestCrashingRequestTakesTwoGroups(t *testing.T) {
	t.Parallel()
	const poison = "poison"
	sys := nodets.Start(t, nodets.Config{
		Engine: stand.EngineConfig{TokenTime: time.Millisecond},
		Groups: map[string]core.Zone{"alerts-1": "z1", "alerts-2": "z1", "alerts-3": "z2", "alerts-4": "z3"},
	})
	for _, eng := range sys.Engines {
		eng.SetFault(stand.EngineFault{CrashOn: poison, ReviveAfter: stand.Span(50 * time.Millisecond)})
	}
	const tries = 24
	quarantined := 0
	for num := range tries {
		resp := sys.Complete(context.Background(), sys.EntryVMs[num%len(sys.EntryVMs)], poison, 5, nil)
		assert.Assert(t, !resp.Complete)
		if resp.Code == core.CodeQuarantined {
			quarantined++
		}
	}
	ran := 0
	for _, eng := range sys.Engines {
		ran += eng.Count().Total
	}
	assert.Assert(t, quarantined > 0)
	assert.Assert(t, ran <= 2, "%d engines ran the request", ran)
	for _, entry := range sys.EntryVMs {
		awaitCompletion(sys, entry, "bystander")
	}
}
