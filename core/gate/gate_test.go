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

var spec = event{}.spec()

func Example() {
	now := time.Now()
	gte := gate.New(time.Second)
	gte.Assign([]core.Assignment{{Group: "lima-1", VMs: []core.VMName{"a"}, Spec: spec, FencingToken: 42, Phase: core.PhaseAssigned}})
	_, err := gte.Permit("lima-1", now)
	fmt.Println(core.CodeOf(err) == core.CodeMemberMissing)
	gte.Observe(core.ProbeResult{VM: "a", Incarnation: "r1", State: core.EngineReady, Group: "lima-1", FencingToken: 42, Spec: spec}, now)
	per, err := gte.Permit("lima-1", now.Add(time.Millisecond))
	fmt.Println(per.Leader, per.FencingToken, err)
	// Output:
	// true
	// a 42 <nil>
}

// engine is the truth about a server: its process, since when it has been in
// its state, and its state.
type engine struct {
	prb  core.ProbeResult
	runs int
	hist []span
}

// span is a state that a server was in from an instant on.
type span struct {
	from time.Time
	prb  core.ProbeResult
	up   bool
}

// readyWithin reports whether the server was up and ready in asn at some
// instant of (from, to].
func (eng *engine) readyWithin(asn core.Assignment, from, to time.Time) bool {
	for idx, spn := range eng.hist {
		end := to.Add(1)
		if idx+1 < len(eng.hist) {
			end = eng.hist[idx+1].from
		}
		holds := gate.Sight{Probe: spn.prb}.Holds(asn)
		if spn.up && holds && !spn.from.After(to) && end.After(from) {
			return true
		}
	}
	return false
}

// TestHoldsCompleteGroupAtRandom lets servers die, return and be reloaded in
// any interleaving with probes that are answered late and out of order, and
// holds every permit against what the servers really were.
func TestHoldsCompleteGroupAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		gte := gate.New(bound)
		asn := core.Assignment{Group: "g", VMs: []core.VMName{"a", "b", "c"}, Spec: spec, FencingToken: 1, Phase: core.PhaseAssigned}
		gte.Assign([]core.Assignment{asn})
		engs := map[core.VMName]*engine{}
		for _, vmn := range asn.VMs {
			engs[vmn] = &engine{prb: core.ProbeResult{VM: vmn, Incarnation: "0", State: core.EngineEmpty}}
		}
		type answer struct {
			prb  core.ProbeResult
			sent time.Time
		}
		var late []answer
		permits := 0
		pick := func() *engine { return engs[rapid.SampledFrom(asn.VMs).Draw(t, "vm")] }
		note := func(eng *engine, up bool) { eng.hist = append(eng.hist, span{now, eng.prb, up}) }
		up := func(eng *engine) bool { return len(eng.hist) == 0 || eng.hist[len(eng.hist)-1].up }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				if _, err := gte.Permit("g", now); err != nil {
					return
				}
				permits++
				for vmn, eng := range engs {
					if !eng.readyWithin(asn, now.Add(-bound), now) {
						t.Fatalf("permit though %s was not ready within the bound", vmn)
					}
				}
			},
			"load": func(t *rapid.T) {
				for _, eng := range engs {
					if up(eng) {
						eng.prb.State, eng.prb.Group, eng.prb.FencingToken, eng.prb.Spec = core.EngineReady, "g", asn.FencingToken, spec
						note(eng, true)
					}
				}
			},
			"die": func(t *rapid.T) { note(pick(), false) },
			"return": func(t *rapid.T) {
				eng := pick()
				eng.runs++
				eng.prb = core.ProbeResult{VM: eng.prb.VM, Incarnation: core.Incarnation(fmt.Sprint(eng.runs)), State: core.EngineEmpty}
				note(eng, true)
			},
			"move": func(t *rapid.T) {
				asn.FencingToken++
				gte.Assign([]core.Assignment{asn})
			},
			"probe all": func(t *rapid.T) {
				for vmn, eng := range engs {
					switch {
					case !up(eng):
						gte.Missing(vmn, now)
					case rapid.Bool().Draw(t, "late"):
						late = append(late, answer{eng.prb, now})
					default:
						gte.Observe(eng.prb, now)
					}
				}
			},
			"answer late": func(t *rapid.T) {
				if len(late) == 0 {
					return
				}
				idx := rapid.IntRange(0, len(late)-1).Draw(t, "idx")
				gte.Observe(late[idx].prb, late[idx].sent)
			},
		})
	})
}

// TestReadersAndWriter lets readers ask while the table changes; the race
// detector and the assertion on each permit judge.
func TestReadersAndWriter(t *testing.T) {
	gte := gate.New(bound)
	var wgr sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		wgr.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				per, err := gte.Permit("g", start)
				if err == nil && (per.Leader != "a" || per.Incarnation != core.Incarnation(fmt.Sprint(per.FencingToken))) {
					t.Errorf("torn permit %+v", per)
					return
				}
			}
		})
	}
	for ord := core.Offset(1); ord < 2000; ord++ {
		gte.Assign([]core.Assignment{{Group: "g", VMs: []core.VMName{"a"}, Spec: spec, FencingToken: ord, Phase: core.PhaseAssigned}})
		gte.Observe(core.ProbeResult{
			VM: "a", Incarnation: core.Incarnation(fmt.Sprint(ord)), State: core.EngineReady, Group: "g", FencingToken: ord, Spec: spec,
		}, start)
	}
	close(done)
	wgr.Wait()
	assert.Equal(t, len(gte.Sights()), 1)
	gte.Assign(nil)
	gte.Forget(core.NewSet[core.VMName]())
	assert.Equal(t, len(gte.Sights()), 0)
}

// fill returns a gate with ready groups of eight VMs.
func fill(servers int) (*gate.Gate, []core.GroupName, []core.ProbeResult) {
	const size = 8
	gte := gate.New(bound)
	var asns []core.Assignment
	var names []core.GroupName
	var prbs []core.ProbeResult
	for grp := range servers / size {
		asn := core.Assignment{Group: core.GroupName(fmt.Sprint("g", grp)), Spec: spec, FencingToken: core.Offset(grp + 1), Phase: core.PhaseAssigned}
		for idx := range size {
			vmn := core.VMName(fmt.Sprintf("vm-%d-%d", grp, idx))
			asn.VMs = append(asn.VMs, vmn)
			prbs = append(prbs, core.ProbeResult{VM: vmn, Incarnation: "i", State: core.EngineReady, Group: asn.Group, FencingToken: asn.FencingToken, Spec: spec})
		}
		asns = append(asns, asn)
		names = append(names, asn.Group)
	}
	gte.Assign(asns)
	for _, prb := range prbs {
		gte.Observe(prb, start)
	}
	return gte, names, prbs
}

var sizes = []int{24, 88, 200}

func BenchmarkPermit(b *testing.B) {
	for _, num := range sizes {
		b.Run(fmt.Sprint("servers=", num), func(b *testing.B) {
			gte, names, _ := fill(num)
			b.ReportAllocs()
			for idx := 0; b.Loop(); idx++ {
				if _, err := gte.Permit(names[idx%len(names)], start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkObserve(b *testing.B) {
	for _, num := range sizes {
		b.Run(fmt.Sprint("servers=", num), func(b *testing.B) {
			gte, _, prbs := fill(num)
			b.ReportAllocs()
			for idx := 0; b.Loop(); idx++ {
				gte.Observe(prbs[idx%len(prbs)], start.Add(time.Duration(idx)))
			}
		})
	}
}

func BenchmarkAssign(b *testing.B) {
	for _, num := range sizes {
		b.Run(fmt.Sprint("servers=", num), func(b *testing.B) {
			gte, _, _ := fill(num)
			b.ReportAllocs()
			for b.Loop() {
				gte.Leaving(core.NewSet[core.VMName]())
			}
		})
	}
}
