package main_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/gate"
	"kumquathinge/core/membr"
	"kumquathinge/core/repair"
	"kumquathinge/io/engine"
	"kumquathinge/io/peer"
	"kumquathinge/stand"
)

var zero = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// perOp returns nanoseconds for each loop so far.
func perOp(ben *testing.B) float64 { return float64(ben.Elapsed().Nanoseconds()) / float64(ben.N) }

// used is the processor time of this process.
func used() time.Duration {
	var use syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	if err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// tableOf returns a membership table of so many entry VMs as the daemon sets
// it up.
func tableOf(num int) *membr.Table {
	tab := membr.New(memberOf(0, 1), membr.Config{
		SuspectTimeout: 2 * time.Second, DeadTimeout: time.Minute, ExchangeInterval: rigPerPeer, Fanout: rigFanout,
	})
	for idx := 1; idx < num; idx++ {
		tab.RecordHeartbeat(memberOf(idx, 1), zero)
	}
	return tab
}

func memberOf(idx int, seq uint64) core.Heartbeat {
	return core.Heartbeat{
		Node: core.NodeName(fmt.Sprintf("entry-vm-%03d", idx)), Zone: core.Zone(fmt.Sprint("z", idx%rigZones)),
		Addr: fmt.Sprintf("10.0.%d.%d:7400", idx/256, idx%256), Incarnation: "r", Seq: seq,
	}
}

// BenchmarkTable is what a membership table does for a beat that is heard and
// at a tick. Its fits are over the square of the nodes, in thousands.
func BenchmarkTable(ben *testing.B) {
	heard, tick := newFit("us"), newFit("us")
	for _, num := range []int{4, 42, 85, 170, 340, 680} {
		square := float64(num*num) / 1000
		ben.Run(fmt.Sprint("heard/nodes=", num), func(ben *testing.B) {
			tab, seq := tableOf(num), uint64(1)
			for ben.Loop() {
				seq++
				tab.RecordHeartbeat(memberOf(1, seq), zero)
				tab.Live(zero)
			}
			heard.add(square, perOp(ben)/1000)
		})
		ben.Run(fmt.Sprint("tick/nodes=", num), func(ben *testing.B) {
			tab, seq := tableOf(num), uint64(1)
			for ben.Loop() {
				seq++
				tab.Expire(zero)
				tab.Live(zero)
				tab.Targets(zero, seq)
			}
			tick.add(square, perOp(ben)/1000)
		})
	}
	heard.report(ben, "heard-by-thousand-squares")
	tick.report(ben, "tick-by-thousand-squares")
}

// beatOf returns a beat with so many organisations, groups and suspects.
func beatOf(orgs, groups, suspects int) core.Heartbeat {
	bea := core.Heartbeat{
		Node: "entry-vm-017", Zone: "south-1a", Addr: "10.0.17.5:7400", Incarnation: "7b0f3c52-8f63-4d0e-9a9e-0c1f44d3a1b2",
		Seq: 70_000, Applied: 1_200_000, Hash: 1 << 63, HashOffset: 1_199_936, LogOK: true, InFlight: loadOpen,
		Usage: map[core.OrgName]core.Usage{}, InFlightByGroup: map[core.GroupName]int{},
	}
	for idx := range orgs {
		bea.Usage[core.OrgName(fmt.Sprintf("organisation-%d", idx))] = core.Usage{Requests: 1.53, Tokens: 900.51, Running: 12}
	}
	for idx := range groups {
		bea.InFlightByGroup[core.GroupName(fmt.Sprintf("group-%03d", idx))] = 21
	}
	for idx := range suspects {
		bea.Suspects = append(bea.Suspects, core.Suspect{Fingerprint: 1<<60 + uint64(idx), Crashes: 2, ExpiresAt: zero})
	}
	return bea
}

// mirror answers a beat with its like.
type mirror struct{ peerOf }

func (mirror) Exchange(bea core.Heartbeat) core.Heartbeat {
	bea.Seq++
	return bea
}

// BenchmarkBeat is one exchange of beats over loopback: size of a beat, bytes
// on the connection both ways, and processor time of both ends.
func BenchmarkBeat(ben *testing.B) {
	wire := map[string]*fit{"organisation": newFit("B"), "group": newFit("B"), "suspect": newFit("B")}
	cpus := map[string]*fit{"organisation": newFit("us"), "group": newFit("us"), "suspect": newFit("us")}
	for _, cas := range []struct {
		by     string
		counts []int
	}{{"organisation", []int{0, 10, 30, 100, 300, 1000}}, {"group", []int{0, 11, 30, 75}}, {"suspect", []int{0, 10, 30, 100}}} {
		for _, num := range cas.counts {
			cnt := map[string]int{cas.by: num}
			bea := beatOf(cnt["organisation"], cnt["group"], cnt["suspect"])
			ben.Run(fmt.Sprintf("%s=%d", cas.by, num), func(ben *testing.B) {
				bytes, cpu := exchange(ben, bea, false)
				wire[cas.by].add(float64(num), bytes)
				cpus[cas.by].add(float64(num), cpu)
			})
		}
		wire[cas.by].report(ben, "wire-by-"+cas.by)
		cpus[cas.by].report(ben, "cpu-by-"+cas.by)
	}
	ben.Run("fresh connection", func(ben *testing.B) { exchange(ben, beatOf(10, 11, 0), true) })
}

// exchange runs exchanges and returns bytes and processor microseconds of one.
func exchange(ben *testing.B, bea core.Heartbeat, fresh bool) (wire, cpu float64) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(ben, err)
	var bytes atomic.Int64
	srv := &http.Server{Handler: peer.Handler(mirror{}, time.Second)}
	srv.SetKeepAlivesEnabled(!fresh)
	go func() { _ = srv.Serve(counted{lis, &bytes}) }()
	defer func() { _ = srv.Close() }()
	cli := peer.New("http://"+lis.Addr().String(), peer.Config{DialTimeout: time.Second, CallTimeout: time.Minute, StreamIdleTimeout: time.Minute})
	data, err := cbor.Marshal(bea)
	assert.NilError(ben, err)
	spent, calls := used(), 0.0
	for ben.Loop() {
		_, err = cli.Exchange(ben.Context(), bea)
		assert.NilError(ben, err)
		calls++
	}
	wire, cpu = float64(bytes.Load())/calls, float64((used()-spent).Microseconds())/calls
	ben.ReportMetric(float64(len(data)), "beat-B")
	ben.ReportMetric(wire, "wire-B/op")
	ben.ReportMetric(cpu, "cpu-us/op")
	return wire, cpu
}

// BenchmarkProbe is one probe of a loaded engine over loopback: bytes on the
// connection both ways and processor time of both ends.
func BenchmarkProbe(ben *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(ben, err)
	var bytes atomic.Int64
	sta := stand.NewEngine(stand.EngineConfig{VM: "engine-vm-0017", Fencing: true})
	go func() { _ = sta.Serve(counted{lis, &bytes}) }()
	defer func() { _ = sta.Close() }()
	eng := engine.New(lis.Addr().String(), engine.Config{})
	defer eng.Close()
	ord := core.Order{FencingToken: 1_200_000, Action: core.ActionLoad, Group: "group-001", Members: []core.VMName{"engine-vm-0017"}}
	ord.Spec = core.Spec{Model: rigModel, Version: "v1", Role: core.RoleBoth}
	_, err = eng.Order(ben.Context(), ord)
	assert.NilError(ben, err)
	bytes.Store(0)
	spent, calls := used(), 0
	for ben.Loop() {
		_, err = eng.Probe(ben.Context())
		assert.NilError(ben, err)
		calls++
	}
	ben.ReportMetric(float64(bytes.Load())/float64(calls), "wire-B/op")
	ben.ReportMetric(float64((used()-spent).Microseconds())/float64(calls), "cpu-us/op")
}

// seen is what an entry VM that probed an engine for others would tell them
// of it. Changes has what a quarter of a second changes in a group at work.
type seen struct {
	VM    core.VMName      `cbor:"1,keyasint"`
	Run   core.Incarnation `cbor:"2,keyasint"`
	State int              `cbor:"3,keyasint"`
	Order core.Offset      `cbor:"4,keyasint"`
	changes
}

type changes struct {
	Age  time.Duration `cbor:"5,keyasint"`
	Load [2]int        `cbor:"6,keyasint"`
}

// BenchmarkSightsSize is the encoded size of such messages, whole and of the
// changes alone. Nothing sends them yet.
func BenchmarkSightsSize(ben *testing.B) {
	whole, part := newFit("B"), newFit("B")
	for _, num := range []int{2, 12, 44, 88} {
		ben.Run(fmt.Sprint("engines=", num), func(ben *testing.B) {
			all, chg := make([]seen, num), make([]changes, num)
			for idx := range num {
				chg[idx] = changes{time.Duration(idx) * time.Millisecond, [2]int{30, 4}}
				all[idx] = seen{core.VMName(fmt.Sprintf("engine-vm-%04d", idx)), "7b0f3c52-8f63-4d0e-9a9e-0c1f44d3a1b2", 2, 1_200_000, chg[idx]}
			}
			var one, two []byte
			for ben.Loop() {
				one, _ = cbor.Marshal(all)
				two, _ = cbor.Marshal(chg)
			}
			ben.ReportMetric(float64(len(one)), "whole-B")
			ben.ReportMetric(float64(len(two)), "changes-B")
			whole.add(float64(num), float64(len(one)))
			part.add(float64(num), float64(len(two)))
		})
	}
	whole.report(ben, "whole-by-engine")
	part.report(ben, "changes-by-engine")
}

// BenchmarkStep is one step of a zone's controller in which nothing is to be
// done, with a copy of the gate's sights, by the servers of the zone.
func BenchmarkStep(ben *testing.B) {
	steps := newFit("us")
	for _, num := range []int{8, 24, 48, 88, 176, 688} {
		ben.Run(fmt.Sprint("servers=", num), func(ben *testing.B) {
			inp, gte := quiet(num)
			ctl := repair.New(repair.Config{ProposedBy: "n", NewRecordID: func() core.RecordID { return "r" }})
			for ben.Loop() {
				inp.Now = inp.Now.Add(time.Millisecond)
				inp.Statuses = gte.Statuses()
				if acts := ctl.Step(inp); len(acts) > 0 {
					ben.Fatal(acts)
				}
			}
			steps.add(float64(num), perOp(ben)/1000)
		})
	}
	steps.report(ben, "step-by-server")
}

// quiet returns the input of a zone in which all groups serve.
func quiet(servers int) (repair.Input, *gate.Gate) {
	inp := repair.Input{
		Now: zero, Zone: rigZone, IsProposer: true, LogOK: true, PeersAgree: true, ConfirmedAt: zero.Add(time.Hour), Holds: []fold.Hold{},
		DrainingVMs: core.NewSet[core.VMName](), LeavingVMs: core.NewSet[core.VMName](), FencingVMs: core.NewSet[core.VMName](),
		Settings: repair.Settings{DowntimeWeight: 1, StrandedWeight: 1, ReturnTimeout: time.Minute, LoadsPerMinute: 60, OrderLease: time.Second, MaxProbeAge: time.Hour},
	}
	spec := core.Spec{Model: rigModel, Version: "v1", Role: core.RoleBoth}
	gte := gate.New(time.Hour)
	for grp := range servers / rigGroup {
		nam, dom := core.GroupName(fmt.Sprint("group-", grp)), core.Domain(fmt.Sprint("d", grp/8))
		asn := core.Assignment{Group: nam, Zone: rigZone, Domain: dom, Spec: spec, FencingToken: core.Offset(grp + 1), Phase: core.PhaseAssigned}
		for idx := range rigGroup {
			vmn := core.VMName(fmt.Sprintf("engine-vm-%04d", grp*rigGroup+idx))
			inp.VMs = append(inp.VMs, core.VM{Name: vmn, Addr: "10.0.0.1:1", Zone: rigZone, Domain: dom, Kind: core.VMEngine})
			inp.FencingVMs.Add(vmn)
			inp.Holds = append(inp.Holds, fold.Hold{VM: vmn, Group: nam, FencingToken: asn.FencingToken})
			asn.VMs = append(asn.VMs, vmn)
			gte.RecordProbe(core.ProbeResult{VM: vmn, Incarnation: "i", State: core.EngineReady, Group: nam, FencingToken: asn.FencingToken, Spec: spec}, zero)
		}
		inp.Assignments = append(inp.Assignments, asn)
		inp.Desired = append(inp.Desired, repair.DesiredGroup{Group: nam, Zone: rigZone, Size: rigGroup, Spec: spec, Enabled: true})
	}
	return inp, gte
}
