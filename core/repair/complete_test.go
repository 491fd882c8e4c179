package repair_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
)

// TestHoldsCompleteGroup holds the right to dispatch and the repair together:
// each fault must take the permit away, the check after every tick must find
// no permit with a member missing, and the group must serve again, under the
// same order number if kept.
func TestHoldsCompleteGroup(t *testing.T) {
	tests := []struct {
		name  string
		spare int
		kept  bool
		fault func(wld *world, vms []core.VMName)
		heal  func(wld *world, vms []core.VMName)
	}{
		{"member dies, returns empty", 0, true,
			func(wld *world, vms []core.VMName) { wld.engines[vms[1]].Die() },
			func(wld *world, vms []core.VMName) { wld.engines[vms[1]].Return() }},
		{"member dies, spare takes over", 1, false,
			func(wld *world, vms []core.VMName) { wld.engines[vms[1]].Die() },
			func(*world, []core.VMName) {}},
		{"member restarts between two probes", 1, true,
			func(wld *world, vms []core.VMName) { wld.engines[vms[0]].Return() },
			func(*world, []core.VMName) {}},
		{"member pauses, returns as if nothing had happened", 0, true,
			func(wld *world, vms []core.VMName) { wld.engines[vms[1]].Pause() },
			func(wld *world, vms []core.VMName) { wld.engines[vms[1]].Resume() }},
		{"domain dark, members return one by one", 1, true,
			func(wld *world, _ []core.VMName) {
				for _, eng := range wld.engines {
					eng.Die()
				}
			},
			func(wld *world, vms []core.VMName) {
				for _, vmn := range vms {
					wld.run(3)
					wld.engines[vmn].Return()
				}
			}},
		{"spare dies amid the repair, both return", 1, false,
			func(wld *world, vms []core.VMName) { wld.engines[vms[1]].Die() },
			func(wld *world, vms []core.VMName) {
				wld.until(120, "given up", func() bool { return wld.asn("g").Phase == core.PhaseRetired })
				wld.engines["d0-3"].Die()
				wld.run(10)
				wld.engines["d0-3"].Return()
				wld.engines[vms[1]].Return()
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			enginesOf(t, func(t *testing.T, fencing bool) {
				wld := newWorld(t.Fatalf, 2, fencing, 3+tt.spare)
				wld.want("g", 3)
				wld.until(120, "served", wld.serving("g"))
				was := wld.asn("g")
				for range 2 {
					asn := wld.asn("g")
					tt.fault(wld, asn.VMs)
					wld.tick()
					assert.Assert(t, !wld.serving("g")(), "permit with a member missing")
					wld.run(5)
					tt.heal(wld, asn.VMs)
					wld.until(200, "served again", wld.serving("g"))
					if !tt.kept {
						break
					}
					assert.Equal(t, wld.asn("g").FencingToken, was.FencingToken)
				}
				if !tt.kept {
					assert.Assert(t, wld.asn("g").FencingToken > was.FencingToken)
				}
			})
		})
	}
}

// TestHoldsCompleteGroupAfterSleep wakes a node after a member died: before it
// has probed anew it may not dispatch.
func TestHoldsCompleteGroupAfterSleep(t *testing.T) {
	wld := newWorld(t.Fatalf, 2, true, 3)
	wld.want("g", 3)
	wld.until(120, "served", wld.serving("g"))
	wld.nodes[0].paused = true
	wld.engines[wld.asn("g").VMs[2]].Die()
	wld.run(int(bound / time.Second))
	assert.Assert(t, !wld.serving("g")(), "permit from probes of before the sleep")
	wld.nodes[0].paused = false
	wld.engines[wld.asn("g").VMs[2]].Return()
	wld.until(120, "served again", wld.serving("g"))
}
