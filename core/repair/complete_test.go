package repair_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
)

// TestHoldsCompleteGroup checks dispatch permits and repair together. After each
// fault, the permit must be withdrawn, no tick may find a permit with a member
// missing, and the group must serve again, with the same fencing token if
// tokenKept.
func TestHoldsCompleteGroup(t *testing.T) {
	tests := []struct {
		name      string
		spares    int
		tokenKept bool
		fault     func(sim *simulation, vms []core.VMName)
		heal      func(sim *simulation, vms []core.VMName)
	}{
		{"member dies, returns empty", 0, true,
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[1]].Exit() },
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[1]].Restart() }},
		{"member dies, spare takes over", 1, false,
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[1]].Exit() },
			func(*simulation, []core.VMName) {}},
		{"member restarts between two probes", 1, true,
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[0]].Restart() },
			func(*simulation, []core.VMName) {}},
		{"member pauses, resumes with the same process", 0, true,
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[1]].Pause() },
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[1]].Resume() }},
		{"domain down, members return one by one", 1, true,
			func(sim *simulation, _ []core.VMName) {
				for _, engine := range sim.engines {
					engine.Exit()
				}
			},
			func(sim *simulation, vms []core.VMName) {
				for _, vmName := range vms {
					sim.run(3)
					sim.engines[vmName].Restart()
				}
			}},
		{"spare dies during the repair, both return", 1, false,
			func(sim *simulation, vms []core.VMName) { sim.engines[vms[1]].Exit() },
			func(sim *simulation, vms []core.VMName) {
				sim.runUntil(120, "retired", func() bool { return sim.assignment("g").Phase == core.PhaseRetired })
				sim.engines["d0-3"].Exit()
				sim.run(10)
				sim.engines["d0-3"].Restart()
				sim.engines[vms[1]].Restart()
			}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			forEachEngineKind(t, func(t *testing.T, fencing bool) {
				sim := newSimulation(t.Fatalf, 2, fencing, 3+tt.spares)
				sim.addGroup("g", 3)
				sim.runUntil(120, "served", sim.serving("g"))
				before := sim.assignment("g")
				for range 2 {
					assignment := sim.assignment("g")
					tt.fault(sim, assignment.VMs)
					sim.tick()
					assert.Assert(t, !sim.serving("g")(), "permit with a member missing")
					sim.run(5)
					tt.heal(sim, assignment.VMs)
					sim.runUntil(200, "served again", sim.serving("g"))
					if !tt.tokenKept {
						break
					}
					assert.Equal(t, sim.assignment("g").FencingToken, before.FencingToken)
				}
				if !tt.tokenKept {
					assert.Assert(t, sim.assignment("g").FencingToken > before.FencingToken)
				}
			})
		})
	}
}

// TestHoldsCompleteGroupAfterSleep resumes a paused node after a member died.
// The node may not dispatch before it has probed the members again.
func TestHoldsCompleteGroupAfterSleep(t *testing.T) {
	sim := newSimulation(t.Fatalf, 2, true, 3)
	sim.addGroup("g", 3)
	sim.runUntil(120, "served", sim.serving("g"))
	sim.nodes[0].paused = true
	sim.engines[sim.assignment("g").VMs[2]].Exit()
	sim.run(int(maxProbeAge / time.Second))
	assert.Assert(t, !sim.serving("g")(), "permit from probes of before the pause")
	sim.nodes[0].paused = false
	sim.engines[sim.assignment("g").VMs[2]].Restart()
	sim.runUntil(120, "served again", sim.serving("g"))
}
