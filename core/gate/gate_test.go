package gate_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"kumquathinge/core"
	"kumquathinge/core/gate"
)

var spec = replayEvent{}.spec()

func Example() {
	now := time.Now()
	dispatchGate := gate.New(time.Second)
	dispatchGate.SetAssignments([]core.Assignment{{Group: "lima-1", VMs: []core.VMName{"a"}, Spec: spec, FencingToken: 42, Phase: core.PhaseAssigned}})
	_, err := dispatchGate.Permit("lima-1", now)
	fmt.Println(core.CodeOf(err) == core.CodeMemberMissing)
	dispatchGate.RecordProbe(core.ProbeResult{VM: "a", Incarnation: "r1", State: core.EngineReady, Group: "lima-1", FencingToken: 42, Spec: spec}, now)
	permit, err := dispatchGate.Permit("lima-1", now.Add(time.Millisecond))
	fmt.Println(permit.Leader, permit.FencingToken, err)
	// Output:
	// true
	// a 42 <nil>
}

// testServer is a simulated server. Probe is what it reports now, history its
// states so far.
type testServer struct {
	probe    core.ProbeResult
	restarts int
	history  []stateChange
}

// stateChange is the state of a server from a point in time on.
type stateChange struct {
	from  time.Time
	probe core.ProbeResult
	up    bool
}

// readyWithin reports whether the server was up and ready in the assignment
// at some time in (from, to].
func (srv *testServer) readyWithin(assignment core.Assignment, from, to time.Time) bool {
	for idx, change := range srv.history {
		end := to.Add(1)
		if idx+1 < len(srv.history) {
			end = srv.history[idx+1].from
		}
		ready := gate.ServerStatus{Probe: change.probe}.ReadyIn(assignment)
		if change.up && ready && !change.from.After(to) && end.After(from) {
			return true
		}
	}
	return false
}

// TestHoldsCompleteGroupAtRandom interleaves crashes, restarts and reloads of
// servers with probe responses that arrive late and out of order, and checks
// every permit against the true states of the servers.
func TestHoldsCompleteGroupAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		dispatchGate := gate.New(maxProbeAge)
		assignment := core.Assignment{Group: "g", VMs: []core.VMName{"a", "b", "c"}, Spec: spec, FencingToken: 1, Phase: core.PhaseAssigned}
		dispatchGate.SetAssignments([]core.Assignment{assignment})
		servers := map[core.VMName]*testServer{}
		for _, vmName := range assignment.VMs {
			servers[vmName] = &testServer{probe: core.ProbeResult{VM: vmName, Incarnation: "0", State: core.EngineEmpty}}
		}
		type probeAnswer struct {
			probe core.ProbeResult
			sent  time.Time
		}
		var delayed []probeAnswer
		permits := 0
		pickServer := func() *testServer { return servers[rapid.SampledFrom(assignment.VMs).Draw(t, "vm")] }
		record := func(srv *testServer, up bool) { srv.history = append(srv.history, stateChange{now, srv.probe, up}) }
		up := func(srv *testServer) bool { return len(srv.history) == 0 || srv.history[len(srv.history)-1].up }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				if _, err := dispatchGate.Permit("g", now); err != nil {
					return
				}
				permits++
				for vmName, srv := range servers {
					if !srv.readyWithin(assignment, now.Add(-maxProbeAge), now) {
						t.Fatalf("permit although %s was not ready within the maximum probe age", vmName)
					}
				}
			},
			"load": func(t *rapid.T) {
				for _, srv := range servers {
					if up(srv) {
						srv.probe.State, srv.probe.Group, srv.probe.FencingToken, srv.probe.Spec = core.EngineReady, "g", assignment.FencingToken, spec
						record(srv, true)
					}
				}
			},
			"die": func(t *rapid.T) { record(pickServer(), false) },
			"return": func(t *rapid.T) {
				srv := pickServer()
				srv.restarts++
				srv.probe = core.ProbeResult{VM: srv.probe.VM, Incarnation: core.Incarnation(fmt.Sprint(srv.restarts)), State: core.EngineEmpty}
				record(srv, true)
			},
			"move": func(t *rapid.T) {
				assignment.FencingToken++
				dispatchGate.SetAssignments([]core.Assignment{assignment})
			},
			"probe all": func(t *rapid.T) {
				for vmName, srv := range servers {
					switch {
					case !up(srv):
						dispatchGate.RecordFailure(vmName, now)
					case rapid.Bool().Draw(t, "late"):
						delayed = append(delayed, probeAnswer{srv.probe, now})
					default:
						dispatchGate.RecordProbe(srv.probe, now)
					}
				}
			},
			"answer late": func(t *rapid.T) {
				if len(delayed) == 0 {
					return
				}
				idx := rapid.IntRange(0, len(delayed)-1).Draw(t, "idx")
				dispatchGate.RecordProbe(delayed[idx].probe, delayed[idx].sent)
			},
		})
	})
}

// TestConcurrentPermitAndUpdate calls Permit while the table changes. It guards
// against data races and against permits that mix two versions of the table.
func TestConcurrentPermitAndUpdate(t *testing.T) {
	dispatchGate := gate.New(maxProbeAge)
	var wg sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				permit, err := dispatchGate.Permit("g", start)
				if err == nil && (permit.Leader != "a" || permit.Incarnation != core.Incarnation(fmt.Sprint(permit.FencingToken))) {
					t.Errorf("inconsistent permit %+v", permit)
					return
				}
			}
		})
	}
	for token := core.Offset(1); token < 2000; token++ {
		dispatchGate.SetAssignments([]core.Assignment{{Group: "g", VMs: []core.VMName{"a"}, Spec: spec, FencingToken: token, Phase: core.PhaseAssigned}})
		dispatchGate.RecordProbe(core.ProbeResult{
			VM: "a", Incarnation: core.Incarnation(fmt.Sprint(token)), State: core.EngineReady, Group: "g", FencingToken: token, Spec: spec,
		}, start)
	}
	close(done)
	wg.Wait()
	assert.Equal(t, len(dispatchGate.Statuses()), 1)
	dispatchGate.SetAssignments(nil)
	dispatchGate.Prune(core.NewSet[core.VMName]())
	assert.Equal(t, len(dispatchGate.Statuses()), 0)
}

// newFilledGate returns a gate with ready groups of eight VMs each.
func newFilledGate(servers int) (*gate.Gate, []core.GroupName, []core.ProbeResult) {
	const size = 8
	dispatchGate := gate.New(maxProbeAge)
	var assignments []core.Assignment
	var names []core.GroupName
	var probes []core.ProbeResult
	for group := range servers / size {
		assignment := core.Assignment{Group: core.GroupName(fmt.Sprint("g", group)), Spec: spec, FencingToken: core.Offset(group + 1), Phase: core.PhaseAssigned}
		for idx := range size {
			vmName := core.VMName(fmt.Sprintf("vm-%d-%d", group, idx))
			assignment.VMs = append(assignment.VMs, vmName)
			probes = append(probes, core.ProbeResult{VM: vmName, Incarnation: "i", State: core.EngineReady, Group: assignment.Group, FencingToken: assignment.FencingToken, Spec: spec})
		}
		assignments = append(assignments, assignment)
		names = append(names, assignment.Group)
	}
	dispatchGate.SetAssignments(assignments)
	for _, probe := range probes {
		dispatchGate.RecordProbe(probe, start)
	}
	return dispatchGate, names, probes
}

var serverCounts = []int{24, 88, 200}

func BenchmarkPermit(b *testing.B) {
	for _, num := range serverCounts {
		b.Run(fmt.Sprint("servers=", num), func(b *testing.B) {
			dispatchGate, names, _ := newFilledGate(num)
			b.ReportAllocs()
			for idx := 0; b.Loop(); idx++ {
				if _, err := dispatchGate.Permit(names[idx%len(names)], start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, num := range serverCounts {
		b.Run(fmt.Sprint("servers=", num), func(b *testing.B) {
			dispatchGate, _, probes := newFilledGate(num)
			b.ReportAllocs()
			for idx := 0; b.Loop(); idx++ {
				dispatchGate.RecordProbe(probes[idx%len(probes)], start.Add(time.Duration(idx)))
			}
		})
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, num := range serverCounts {
		b.Run(fmt.Sprint("servers=", num), func(b *testing.B) {
			dispatchGate, _, _ := newFilledGate(num)
			b.ReportAllocs()
			for b.Loop() {
				dispatchGate.SetLeaving(core.NewSet[core.VMName]())
			}
		})
	}
}
