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

func enginesOf(t *testing.T, run func(t *testing.T, fencing bool)) {
	for _, fnc := range []bool{true, false} {
		t.Run(fmt.Sprint("fencing=", fnc), func(t *testing.T) { run(t, fnc) })
	}
}

func TestHoldsOneGroupPerVM(t *testing.T) {
	tests := []struct {
		name  string
		fault func(t *testing.T, wld *world)
	}{
		{"node paused amid its orders, woken after the group moved", func(t *testing.T, wld *world) {
			old := wld.pending(t)
			wld.flush(old, 1)
			old.paused = true
			wld.nodes[1].proposer = true
			wld.wanted[0].Enabled = false
			wld.until(120, "group given up", func() bool { return len(wld.asn("g").VMs) == 0 })
			wld.want("k", 6)
			wld.until(120, "VMs moved", func() bool { return len(wld.asn("k").VMs) == 6 })
			wld.run(20)
			sent := wld.sent
			old.paused = false
			wld.flush(old, len(old.orders))
			if wld.fencing.Len() == 0 {
				assert.Equal(t, wld.sent, sent)
			}
			wld.run(20)
		}},
		{"orders wait in a node whose reader goes on while the group moves", func(t *testing.T, wld *world) {
			old := wld.pending(t)
			wld.nodes[1].proposer, old.proposer = true, false
			wld.wanted[0].Enabled = false
			wld.until(120, "group given up", func() bool { return len(wld.asn("g").VMs) == 0 })
			wld.want("k", 6)
			wld.until(120, "VMs moved", func() bool { return len(wld.asn("k").VMs) == 6 })
			wld.run(20)
			wld.flush(old, len(old.orders))
			wld.run(20)
		}},
		{"orders wait for less than the lease while the group moves", func(t *testing.T, wld *world) {
			old := wld.pending(t)
			old.paused, wld.nodes[1].proposer = true, true
			wld.wanted[0].Enabled = false
			wld.want("k", 6)
			wld.run(int(lease/time.Second) - 1)
			wld.flush(old, len(old.orders))
			wld.run(120)
		}},
		{"answers of appends and orders lost twice in a row", func(_ *testing.T, wld *world) {
			for range 3 {
				wld.loseAppends, wld.loseOrders = 2, 2
				wld.wanted[0].Spec.Version += "x"
				wld.until(200, "new version served", func() bool {
					return wld.asn("g").Spec.Equal(wld.wanted[0].Spec) && wld.serving("g", "h")()
				})
			}
		}},
		{"two proposers give the same free VMs to different groups", func(_ *testing.T, wld *world) {
			both := wld.wanted
			wld.nodes[1].proposer = true
			wld.want("k", 2)
			wld.decide(wld.nodes[0])
			wld.wanted = slices.Clone(both)
			wld.want("m", 3)
			wld.decide(wld.nodes[1])
			wld.want("k", 2)
			wld.check()
			wld.until(120, "the one that has room", wld.serving("g", "h", "k"))
		}},
		{"planned move: drained, unloaded, bound waited out", func(t *testing.T, wld *world) {
			wld.want("k", 3)
			wld.until(120, "no VM free", wld.serving("g", "h", "k"))
			was := wld.asn("g")
			wld.inFlight["g"] = 1
			wld.wanted[0].Spec.Version = "2"
			wld.run(60)
			for _, vmn := range was.VMs {
				assert.Equal(t, wld.engines[vmn].Probe().FencingToken, was.FencingToken, "unloaded before it was drained")
			}
			wld.inFlight["g"] = 0
			wld.until(120, "served again", wld.serving("g", "h"))
			now := wld.asn("g")
			assert.DeepEqual(t, now.VMs, was.VMs)
			at := wld.log[now.FencingToken-1].At
			for _, vmn := range was.VMs {
				assert.Assert(t, at.Sub(wld.ready[hold{vmn, was.FencingToken}]) >= bound, "assigned within the bound")
			}
		}},
		{"two proposers", func(_ *testing.T, wld *world) {
			wld.nodes[1].proposer = true
			wld.wanted[0].Spec.Version = "2"
			wld.want("k", 2)
			wld.until(120, "all served", wld.serving("g", "h", "k"))
		}},
		{"zone cut off from the log, member returns empty", func(t *testing.T, wld *world) {
			was := wld.asn("g")
			for _, nod := range wld.nodes {
				nod.noLog = true
			}
			wld.run(20)
			wld.engines[was.VMs[0]].Die()
			wld.run(30)
			wld.engines[was.VMs[0]].Return()
			if wld.fencing.Len() > 0 {
				wld.until(30, "reloaded into the same generation", wld.serving("g", "h"))
			}
			assert.Equal(t, wld.asn("g").FencingToken, was.FencingToken)
		}},
		{"node cut off from log and peers while the group moves", func(_ *testing.T, wld *world) {
			cut := wld.nodes[1]
			cut.noLog, cut.noPeers, cut.proposer = true, true, true
			wld.wanted[0].Spec.Version = "2"
			wld.until(200, "moved", func() bool { return wld.asn("g").Spec.Version == "2" && wld.serving("g", "h")() })
			wld.run(20)
			cut.noLog, cut.noPeers = false, false
			wld.run(20)
		}},
		{"list lags and contradicts the probes", func(_ *testing.T, wld *world) {
			wld.engines["d0-0"].Die()
			wld.vms = slices.Clone(wld.vms)
			wld.vms[5].Leaving = true
			wld.run(60)
			wld.vms = wld.vms[1:]
			wld.run(20)
			wld.engines["d0-0"].Return()
			wld.run(20)
		}},
		{"domain dark twice, members return amid the repair", func(_ *testing.T, wld *world) {
			for range 2 {
				for _, vmx := range wld.vms[:4] {
					wld.engines[vmx.Name].Die()
				}
				wld.run(25)
				wld.engines["d0-1"].Return()
				wld.run(3)
				wld.engines["d0-1"].Die()
				for _, vmx := range wld.vms[:4] {
					wld.run(2)
					wld.engines[vmx.Name].Return()
				}
				wld.until(120, "served again", wld.serving("g", "h"))
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			enginesOf(t, func(t *testing.T, fencing bool) {
				wld := newWorld(t.Fatalf, 2, fencing, 8)
				wld.want("g", 3)
				wld.want("h", 2)
				wld.until(120, "both served", wld.serving("g", "h"))
				tt.fault(t, wld)
			})
		})
	}
}

// TestHoldsOneGroupPerVMAtRandom interleaves steps of two nodes, pauses amid
// their orders, lost answers, cuts, deaths and changes of the settings, and
// checks after every step.
func TestHoldsOneGroupPerVMAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wld := newWorld(t.Fatalf, 2, rapid.Bool().Draw(t, "fencing"), 5, 4)
		wld.want("g", 3)
		wld.want("h", 2)
		wld.run(rapid.IntRange(0, 20).Draw(t, "warm"))
		pick := func() *node { return rapid.SampledFrom(wld.nodes).Draw(t, "node") }
		vmx := func() core.VMName { return rapid.SampledFrom(wld.vms).Draw(t, "vm").Name }
		t.Repeat(map[string]func(*rapid.T){
			"":     func(*rapid.T) { wld.check() },
			"run":  func(t *rapid.T) { wld.run(rapid.IntRange(1, 8).Draw(t, "secs")) },
			"load": func(*rapid.T) { wld.engines[vmx()].Loaded() },
			"step": func(t *rapid.T) {
				nod := pick()
				wld.read(nod)
				wld.probe(nod)
				wld.decide(nod)
				wld.flush(nod, rapid.IntRange(0, 3).Draw(t, "orders"))
			},
			"sleep": func(t *rapid.T) {
				nod := pick()
				nod.paused = true
				if rapid.Bool().Draw(t, "kill") {
					wld.engines[vmx()].Die()
				}
				wld.run(rapid.IntRange(1, 40).Draw(t, "secs"))
				nod.paused = false
				wld.check()
				wld.flush(nod, len(nod.orders))
			},
			"race": func(t *rapid.T) {
				all := wld.wanted
				wld.wanted = slices.Clone(all)
				wld.wanted = append(wld.wanted[:1], wld.wanted[2:]...)
				wld.want(core.GroupName(rapid.SampledFrom([]string{"k", "m"}).Draw(t, "group")), 2)
				wld.nodes[1].proposer = true
				wld.decide(wld.nodes[1])
				wld.wanted = all
				wld.decide(wld.nodes[0])
			},
			"hold":      func(*rapid.T) { nod := pick(); nod.holds = !nod.holds },
			"propose":   func(*rapid.T) { nod := pick(); nod.proposer = !nod.proposer },
			"cut log":   func(*rapid.T) { nod := pick(); nod.noLog = !nod.noLog },
			"cut peers": func(*rapid.T) { nod := pick(); nod.noPeers = !nod.noPeers },
			"die":       func(*rapid.T) { wld.engines[vmx()].Die() },
			"return":    func(*rapid.T) { wld.engines[vmx()].Return() },
			"stop":      func(*rapid.T) { wld.engines[vmx()].Pause() },
			"resume":    func(*rapid.T) { wld.engines[vmx()].Resume() },
			"lose":      func(*rapid.T) { wld.loseAppends, wld.loseOrders = 2, 2 },
			"change":    func(*rapid.T) { wld.wanted[0].Spec.Version += "x" },
			"switch":    func(*rapid.T) { wld.wanted[1].Enabled = !wld.wanted[1].Enabled },
			"leave":     func(*rapid.T) { wld.draining.Add(vmx()) },
			"stay":      func(*rapid.T) { wld.draining.Remove(vmx()) },
		})
	})
}

func TestHoldsLeavingServer(t *testing.T) {
	enginesOf(t, func(t *testing.T, fencing bool) {
		wld := newWorld(t.Fatalf, 2, fencing, 6)
		wld.want("g", 3)
		wld.until(120, "served", wld.serving("g"))
		was := wld.asn("g")
		wld.inFlight["g"] = 2
		wld.draining.Add(was.VMs[1])
		wld.draining.Add("d0-3")
		wld.tick()
		assert.Assert(t, !wld.serving("g")(), "new work though a member leaves")
		wld.run(30)
		assert.Equal(t, wld.asn("g").Phase, core.PhaseAssigned, "retired before it was drained")
		assert.Equal(t, wld.engines[was.VMs[1]].Probe().FencingToken, was.FencingToken, "unloaded before it was drained")
		wld.inFlight["g"] = 0
		wld.until(120, "served by others", wld.serving("g"))
		assert.DeepEqual(t, wld.asn("g").VMs, []core.VMName{"d0-0", "d0-2", "d0-4"})
		wld.until(120, "unloaded", func() bool { return wld.engines[was.VMs[1]].Probe().State == core.EngineEmpty })
	})
}
