package repair_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kumquathinge/core"
)

func forEachEngineKind(t *testing.T, run func(t *testing.T, fencing bool)) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing=", fencing), func(t *testing.T) { run(t, fencing) })
	}
}

func TestHoldsOneGroupPerVM(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, sim *simulation)
	}{
		{"node paused while it sends orders, resumed after the group moved", func(t *testing.T, sim *simulation) {
			old := sim.holdNewOrders(t)
			sim.sendPending(old, 1)
			old.paused = true
			sim.nodes[1].proposer = true
			sim.desired[0].Enabled = false
			sim.runUntil(120, "group freed", func() bool { return len(sim.assignment("g").VMs) == 0 })
			sim.addGroup("k", 6)
			sim.runUntil(120, "VMs moved", func() bool { return len(sim.assignment("k").VMs) == 6 })
			sim.run(20)
			sent := sim.ordersSent
			old.paused = false
			sim.sendPending(old, len(old.pendingOrders))
			if sim.fencingVMs.Len() == 0 {
				assert.Equal(t, sim.ordersSent, sent)
			}
			sim.run(20)
		}},
		{"orders held by a node that keeps reading the log while the group moves", func(t *testing.T, sim *simulation) {
			old := sim.holdNewOrders(t)
			sim.nodes[1].proposer, old.proposer = true, false
			sim.desired[0].Enabled = false
			sim.runUntil(120, "group freed", func() bool { return len(sim.assignment("g").VMs) == 0 })
			sim.addGroup("k", 6)
			sim.runUntil(120, "VMs moved", func() bool { return len(sim.assignment("k").VMs) == 6 })
			sim.run(20)
			sim.sendPending(old, len(old.pendingOrders))
			sim.run(20)
		}},
		{"orders held for less than the lease while the group moves", func(t *testing.T, sim *simulation) {
			old := sim.holdNewOrders(t)
			old.paused, sim.nodes[1].proposer = true, true
			sim.desired[0].Enabled = false
			sim.addGroup("k", 6)
			sim.run(int(orderLease/time.Second) - 1)
			sim.sendPending(old, len(old.pendingOrders))
			sim.run(120)
		}},
		{"responses to appends and orders lost twice in a row", func(_ *testing.T, sim *simulation) {
			for range 3 {
				sim.lostAppendReplies, sim.lostOrderReplies = 2, 2
				sim.desired[0].Spec.Version += "x"
				sim.runUntil(200, "new version served", func() bool {
					return sim.assignment("g").Spec.Equal(sim.desired[0].Spec) && sim.serving("g", "h")()
				})
			}
		}},
		{"two proposers assign the same free VMs to different groups", func(_ *testing.T, sim *simulation) {
			initial := sim.desired
			sim.nodes[1].proposer = true
			sim.addGroup("k", 2)
			sim.step(sim.nodes[0])
			sim.desired = slices.Clone(initial)
			sim.addGroup("m", 3)
			sim.step(sim.nodes[1])
			sim.addGroup("k", 2)
			sim.checkInvariants()
			sim.runUntil(120, "the group that fits", sim.serving("g", "h", "k"))
		}},
		{"planned move: drained, unloaded, empty for the maximum probe age", func(t *testing.T, sim *simulation) {
			sim.addGroup("k", 3)
			sim.runUntil(120, "no VM free", sim.serving("g", "h", "k"))
			before := sim.assignment("g")
			sim.inFlight["g"] = 1
			sim.desired[0].Spec.Version = "2"
			sim.run(60)
			for _, vmName := range before.VMs {
				assert.Equal(t, sim.engines[vmName].Probe().FencingToken, before.FencingToken, "unloaded before it was drained")
			}
			sim.inFlight["g"] = 0
			sim.runUntil(120, "served again", sim.serving("g", "h"))
			now := sim.assignment("g")
			assert.DeepEqual(t, now.VMs, before.VMs)
			at := sim.log[now.FencingToken-1].At
			for _, vmName := range before.VMs {
				assert.Assert(t, at.Sub(sim.lastReadyAt[membership{vmName, before.FencingToken}]) >= maxProbeAge, "assigned within the maximum probe age")
			}
		}},
		{"two proposers", func(_ *testing.T, sim *simulation) {
			sim.nodes[1].proposer = true
			sim.desired[0].Spec.Version = "2"
			sim.addGroup("k", 2)
			sim.runUntil(120, "all served", sim.serving("g", "h", "k"))
		}},
		{"log unreachable from the zone, member returns empty", func(t *testing.T, sim *simulation) {
			before := sim.assignment("g")
			for _, node := range sim.nodes {
				node.logUnreachable = true
			}
			sim.run(20)
			sim.engines[before.VMs[0]].Exit()
			sim.run(30)
			sim.engines[before.VMs[0]].Restart()
			if sim.fencingVMs.Len() > 0 {
				sim.runUntil(30, "reloaded into the same generation", sim.serving("g", "h"))
			}
			assert.Equal(t, sim.assignment("g").FencingToken, before.FencingToken)
		}},
		{"log and peers unreachable from a node while the group moves", func(_ *testing.T, sim *simulation) {
			isolated := sim.nodes[1]
			isolated.logUnreachable, isolated.peersUnreachable, isolated.proposer = true, true, true
			sim.desired[0].Spec.Version = "2"
			sim.runUntil(200, "moved", func() bool { return sim.assignment("g").Spec.Version == "2" && sim.serving("g", "h")() })
			sim.run(20)
			isolated.logUnreachable, isolated.peersUnreachable = false, false
			sim.run(20)
		}},
		{"list lags and contradicts the probes", func(_ *testing.T, sim *simulation) {
			sim.engines["d0-0"].Exit()
			sim.vms = slices.Clone(sim.vms)
			sim.vms[5].Leaving = true
			sim.run(60)
			sim.vms = sim.vms[1:]
			sim.run(20)
			sim.engines["d0-0"].Restart()
			sim.run(20)
		}},
		{"domain down twice, members return during the repair", func(_ *testing.T, sim *simulation) {
			for range 2 {
				for _, vm := range sim.vms[:4] {
					sim.engines[vm.Name].Exit()
				}
				sim.run(25)
				sim.engines["d0-1"].Restart()
				sim.run(3)
				sim.engines["d0-1"].Exit()
				for _, vm := range sim.vms[:4] {
					sim.run(2)
					sim.engines[vm.Name].Restart()
				}
				sim.runUntil(120, "served again", sim.serving("g", "h"))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			forEachEngineKind(t, func(t *testing.T, fencing bool) {
				sim := newSimulation(t.Fatalf, 2, fencing, 8)
				sim.addGroup("g", 3)
				sim.addGroup("h", 2)
				sim.runUntil(120, "both served", sim.serving("g", "h"))
				tt.fault(t, sim)
			})
		})
	}
}

// TestHoldsOneGroupPerVMAtRandom interleaves steps of two nodes with pauses
// between their orders, lost responses, network failures, crashes of engines and
// changes of the settings, and checks the invariants after every step.
func TestHoldsOneGroupPerVMAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t.Fatalf, 2, rapid.Bool().Draw(t, "fencing"), 5, 4)
		sim.addGroup("g", 3)
		sim.addGroup("h", 2)
		sim.run(rapid.IntRange(0, 20).Draw(t, "warm"))
		pickNode := func() *entryNode { return rapid.SampledFrom(sim.nodes).Draw(t, "node") }
		pickVM := func() core.VMName { return rapid.SampledFrom(sim.vms).Draw(t, "vm").Name }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(*rapid.T) { sim.checkInvariants() },
			"run":  func(t *rapid.T) { sim.run(rapid.IntRange(1, 8).Draw(t, "secs")) },
			"load": func(*rapid.T) { sim.engines[pickVM()].FinishLoad() },
			"step": func(t *rapid.T) {
				node := pickNode()
				sim.readLog(node)
				sim.probeServers(node)
				sim.step(node)
				sim.sendPending(node, rapid.IntRange(0, 3).Draw(t, "orders"))
			},
			"sleep": func(t *rapid.T) {
				node := pickNode()
				node.paused = true
				if rapid.Bool().Draw(t, "kill") {
					sim.engines[pickVM()].Exit()
				}
				sim.run(rapid.IntRange(1, 40).Draw(t, "secs"))
				node.paused = false
				sim.checkInvariants()
				sim.sendPending(node, len(node.pendingOrders))
			},
			"race": func(t *rapid.T) {
				all := sim.desired
				sim.desired = slices.Clone(all)
				sim.desired = append(sim.desired[:1], sim.desired[2:]...)
				sim.addGroup(core.GroupName(rapid.SampledFrom([]string{"k", "m"}).Draw(t, "group")), 2)
				sim.nodes[1].proposer = true
				sim.step(sim.nodes[1])
				sim.desired = all
				sim.step(sim.nodes[0])
			},
			"hold":      func(*rapid.T) { node := pickNode(); node.ordersHeld = !node.ordersHeld },
			"propose":   func(*rapid.T) { node := pickNode(); node.proposer = !node.proposer },
			"cut log":   func(*rapid.T) { node := pickNode(); node.logUnreachable = !node.logUnreachable },
			"cut peers": func(*rapid.T) { node := pickNode(); node.peersUnreachable = !node.peersUnreachable },
			"die":       func(*rapid.T) { sim.engines[pickVM()].Exit() },
			"return":    func(*rapid.T) { sim.engines[pickVM()].Restart() },
			"stop":      func(*rapid.T) { sim.engines[pickVM()].Pause() },
			"resume":    func(*rapid.T) { sim.engines[pickVM()].Resume() },
			"lose":      func(*rapid.T) { sim.lostAppendReplies, sim.lostOrderReplies = 2, 2 },
			"change":    func(*rapid.T) { sim.desired[0].Spec.Version += "x" },
			"switch":    func(*rapid.T) { sim.desired[1].Enabled = !sim.desired[1].Enabled },
			"leave":     func(*rapid.T) { sim.drainingVMs.Add(pickVM()) },
			"stay":      func(*rapid.T) { sim.drainingVMs.Remove(pickVM()) },
		})
	})
}

func TestHoldsLeavingServer(t *testing.T) {
	forEachEngineKind(t, func(t *testing.T, fencing bool) {
		sim := newSimulation(t.Fatalf, 2, fencing, 6)
		sim.addGroup("g", 3)
		sim.runUntil(120, "served", sim.serving("g"))
		before := sim.assignment("g")
		sim.inFlight["g"] = 2
		sim.drainingVMs.Add(before.VMs[1])
		sim.drainingVMs.Add("d0-3")
		sim.tick()
		assert.Assert(t, !sim.serving("g")(), "permit although a member is leaving")
		sim.run(30)
		assert.Equal(t, sim.assignment("g").Phase, core.PhaseAssigned, "retired before it was drained")
		assert.Equal(t, sim.engines[before.VMs[1]].Probe().FencingToken, before.FencingToken, "unloaded before it was drained")
		sim.inFlight["g"] = 0
		sim.runUntil(120, "served by others", sim.serving("g"))
		assert.DeepEqual(t, sim.assignment("g").VMs, []core.VMName{"d0-0", "d0-2", "d0-4"})
		sim.runUntil(120, "unloaded", func() bool { return sim.engines[before.VMs[1]].Probe().State == core.EngineEmpty })
	})
}
