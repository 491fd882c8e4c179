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

var baseTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// nsPerOp returns the mean time per iteration so far, in nanoseconds.
func nsPerOp(b *testing.B) float64 { return float64(b.Elapsed().Nanoseconds()) / float64(b.N) }

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var use syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &use)
	if err != nil {
		panic(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// newTable returns a membership table of count entry VMs with the daemon's
// settings.
func newTable(count int) *membr.Table {
	tab := membr.New(newHeartbeat(0, 1), membr.Config{
		SuspectTimeout: 2 * time.Second, DeadTimeout: time.Minute, ExchangeInterval: exchangeInterval, Fanout: peerFanout,
	})
	for idx := 1; idx < count; idx++ {
		tab.RecordHeartbeat(newHeartbeat(idx, 1), baseTime)
	}
	return tab
}

func newHeartbeat(idx int, seq uint64) core.Heartbeat {
	return core.Heartbeat{
		Node: core.NodeName(fmt.Sprintf("entry-vm-%03d", idx)), Zone: core.Zone(fmt.Sprint("z", idx%zoneCount)),
		Addr: fmt.Sprintf("10.0.%d.%d:7400", idx/256, idx%256), Incarnation: "r", Seq: seq,
	}
}

// BenchmarkTable measures a membership table on a received heartbeat and on a
// tick. The fits are over the squared number of nodes, in thousands.
func BenchmarkTable(b *testing.B) {
	received, tick := newFit("us"), newFit("us")
	for _, count := range []int{4, 42, 85, 170, 340, 680} {
		square := float64(count*count) / 1000
		b.Run(fmt.Sprint("heard/nodes=", count), func(b *testing.B) {
			tab, seq := newTable(count), uint64(1)
			for b.Loop() {
				seq++
				tab.RecordHeartbeat(newHeartbeat(1, seq), baseTime)
				tab.Live(baseTime)
			}
			received.add(square, nsPerOp(b)/1000)
		})
		b.Run(fmt.Sprint("tick/nodes=", count), func(b *testing.B) {
			tab, seq := newTable(count), uint64(1)
			for b.Loop() {
				seq++
				tab.Expire(baseTime)
				tab.Live(baseTime)
				tab.Targets(baseTime, seq)
			}
			tick.add(square, nsPerOp(b)/1000)
		})
	}
	received.report(b, "heard-by-thousand-squares")
	tick.report(b, "tick-by-thousand-squares")
}

// newLargeHeartbeat returns a heartbeat with the given numbers of organisations,
// groups and suspects.
func newLargeHeartbeat(orgs, groups, suspects int) core.Heartbeat {
	hb := core.Heartbeat{
		Node: "entry-vm-017", Zone: "south-1a", Addr: "10.0.17.5:7400", Incarnation: "7b0f3c52-8f63-4d0e-9a9e-0c1f44d3a1b2",
		Seq: 70_000, Applied: 1_200_000, Hash: 1 << 63, HashOffset: 1_199_936, LogOK: true, InFlight: targetOpenRequests,
		Usage: map[core.OrgName]core.Usage{}, InFlightByGroup: map[core.GroupName]int{},
	}
	for idx := range orgs {
		hb.Usage[core.OrgName(fmt.Sprintf("organisation-%d", idx))] = core.Usage{Requests: 1.53, Tokens: 900.51, Running: 12}
	}
	for idx := range groups {
		hb.InFlightByGroup[core.GroupName(fmt.Sprintf("group-%03d", idx))] = 21
	}
	for idx := range suspects {
		hb.Suspects = append(hb.Suspects, core.Suspect{Fingerprint: 1<<60 + uint64(idx), Crashes: 2, ExpiresAt: baseTime})
	}
	return hb
}

// echoPeer returns a received heartbeat with the next sequence number.
type echoPeer struct{ peerStub }

func (echoPeer) Exchange(hb core.Heartbeat) core.Heartbeat {
	hb.Seq++
	return hb
}

// BenchmarkHeartbeatExchange measures one exchange of heartbeats over loopback:
// the size of a heartbeat, the bytes on the connection in both directions, and
// the CPU time of both ends.
func BenchmarkHeartbeatExchange(b *testing.B) {
	wire := map[string]*linearFit{"organisation": newFit("B"), "group": newFit("B"), "suspect": newFit("B")}
	cpus := map[string]*linearFit{"organisation": newFit("us"), "group": newFit("us"), "suspect": newFit("us")}
	for _, tc := range []struct {
		by     string
		counts []int
	}{{"organisation", []int{0, 10, 30, 100, 300, 1000}}, {"group", []int{0, 11, 30, 75}}, {"suspect", []int{0, 10, 30, 100}}} {
		for _, count := range tc.counts {
			sizes := map[string]int{tc.by: count}
			hb := newLargeHeartbeat(sizes["organisation"], sizes["group"], sizes["suspect"])
			b.Run(fmt.Sprintf("%s=%d", tc.by, count), func(b *testing.B) {
				bytes, cpu := runExchanges(b, hb, false)
				wire[tc.by].add(float64(count), bytes)
				cpus[tc.by].add(float64(count), cpu)
			})
		}
		wire[tc.by].report(b, "wire-by-"+tc.by)
		cpus[tc.by].report(b, "cpu-by-"+tc.by)
	}
	b.Run("fresh connection", func(b *testing.B) { runExchanges(b, newLargeHeartbeat(10, 11, 0), true) })
}

// runExchanges returns the bytes on the connection and the CPU time in
// microseconds per exchange. If reconnect is set, each uses a new connection.
func runExchanges(b *testing.B, hb core.Heartbeat, reconnect bool) (wire, cpu float64) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var bytes atomic.Int64
	srv := &http.Server{Handler: peer.Handler(echoPeer{}, time.Second)}
	srv.SetKeepAlivesEnabled(!reconnect)
	go func() { _ = srv.Serve(countingListener{lis, &bytes}) }()
	defer func() { _ = srv.Close() }()
	cli := peer.New("http://"+lis.Addr().String(), peer.Config{DialTimeout: time.Second, CallTimeout: time.Minute, StreamIdleTimeout: time.Minute})
	data, err := cbor.Marshal(hb)
	assert.NilError(b, err)
	spent, calls := processCPUTime(), 0.0
	for b.Loop() {
		_, err = cli.Exchange(b.Context(), hb)
		assert.NilError(b, err)
		calls++
	}
	wire, cpu = float64(bytes.Load())/calls, float64((processCPUTime()-spent).Microseconds())/calls
	b.ReportMetric(float64(len(data)), "beat-B")
	b.ReportMetric(wire, "wire-B/op")
	b.ReportMetric(cpu, "cpu-us/op")
	return wire, cpu
}

// BenchmarkProbe measures one probe of a loaded engine over loopback: the bytes
// on the connection in both directions and the CPU time of both ends.
func BenchmarkProbe(b *testing.B) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var bytes atomic.Int64
	srv := stand.NewEngine(stand.EngineConfig{VM: "engine-vm-0017", Fencing: true})
	go func() { _ = srv.Serve(countingListener{lis, &bytes}) }()
	defer func() { _ = srv.Close() }()
	eng := engine.New(lis.Addr().String(), engine.Config{})
	defer eng.Close()
	order := core.Order{FencingToken: 1_200_000, Action: core.ActionLoad, Group: "group-001", Members: []core.VMName{"engine-vm-0017"}}
	order.Spec = core.Spec{Model: modelName, Version: "v1", Role: core.RoleBoth}
	_, err = eng.Order(b.Context(), order)
	assert.NilError(b, err)
	bytes.Store(0)
	spent, calls := processCPUTime(), 0
	for b.Loop() {
		_, err = eng.Probe(b.Context())
		assert.NilError(b, err)
		calls++
	}
	b.ReportMetric(float64(bytes.Load())/float64(calls), "wire-B/op")
	b.ReportMetric(float64((processCPUTime()-spent).Microseconds())/float64(calls), "cpu-us/op")
}

// engineObservation is a possible message in which an entry VM reports a probed
// engine to other entry VMs. The fields of engineUpdate change within a quarter
// of a second in a group under load.
type engineObservation struct {
	VM           core.VMName      `cbor:"1,keyasint"`
	Incarnation  core.Incarnation `cbor:"2,keyasint"`
	State        int              `cbor:"3,keyasint"`
	FencingToken core.Offset      `cbor:"4,keyasint"`
	engineUpdate
}

type engineUpdate struct {
	Age  time.Duration `cbor:"5,keyasint"`
	Load [2]int        `cbor:"6,keyasint"`
}

// BenchmarkSightsSize measures the encoded size of engine observations, complete
// and reduced to engineUpdate. No program sends them yet.
func BenchmarkSightsSize(b *testing.B) {
	complete, update := newFit("B"), newFit("B")
	for _, count := range []int{2, 12, 44, 88} {
		b.Run(fmt.Sprint("engines=", count), func(b *testing.B) {
			observations, updates := make([]engineObservation, count), make([]engineUpdate, count)
			for idx := range count {
				updates[idx] = engineUpdate{time.Duration(idx) * time.Millisecond, [2]int{30, 4}}
				observations[idx] = engineObservation{core.VMName(fmt.Sprintf("engine-vm-%04d", idx)), "7b0f3c52-8f63-4d0e-9a9e-0c1f44d3a1b2", 2, 1_200_000, updates[idx]}
			}
			var wholeData, updateData []byte
			for b.Loop() {
				wholeData, _ = cbor.Marshal(observations)
				updateData, _ = cbor.Marshal(updates)
			}
			b.ReportMetric(float64(len(wholeData)), "whole-B")
			b.ReportMetric(float64(len(updateData)), "changes-B")
			complete.add(float64(count), float64(len(wholeData)))
			update.add(float64(count), float64(len(updateData)))
		})
	}
	complete.report(b, "whole-by-engine")
	update.report(b, "changes-by-engine")
}

// BenchmarkRepairStep measures one step of a zone's repair controller without
// any action, including a copy of the gate's statuses, by the servers of the
// zone.
func BenchmarkRepairStep(b *testing.B) {
	steps := newFit("us")
	for _, count := range []int{8, 24, 48, 88, 176, 688} {
		b.Run(fmt.Sprint("servers=", count), func(b *testing.B) {
			in, probes := newHealthyZone(count)
			ctl := repair.New(repair.Config{ProposedBy: "n", NewRecordID: func() core.RecordID { return "r" }})
			for b.Loop() {
				in.Now = in.Now.Add(time.Millisecond)
				in.Statuses = probes.Statuses()
				if acts := ctl.Step(in); len(acts) > 0 {
					b.Fatal(acts)
				}
			}
			steps.add(float64(count), nsPerOp(b)/1000)
		})
	}
	steps.report(b, "step-by-server")
}

// newHealthyZone returns the repair input and the gate of a zone in which all
// groups are ready.
func newHealthyZone(servers int) (repair.Input, *gate.Gate) {
	in := repair.Input{
		Now: baseTime, Zone: localZone, IsProposer: true, LogOK: true, PeersAgree: true, ConfirmedAt: baseTime.Add(time.Hour), Holds: []fold.Hold{},
		DrainingVMs: core.NewSet[core.VMName](), LeavingVMs: core.NewSet[core.VMName](), FencingVMs: core.NewSet[core.VMName](),
		Settings: repair.Settings{DowntimeWeight: 1, StrandedWeight: 1, ReturnTimeout: time.Minute, LoadsPerMinute: 60, OrderLease: time.Second, MaxProbeAge: time.Hour},
	}
	spec := core.Spec{Model: modelName, Version: "v1", Role: core.RoleBoth}
	probes := gate.New(time.Hour)
	for grp := range servers / groupSize {
		name, dom := core.GroupName(fmt.Sprint("group-", grp)), core.Domain(fmt.Sprint("d", grp/8))
		assign := core.Assignment{Group: name, Zone: localZone, Domain: dom, Spec: spec, FencingToken: core.Offset(grp + 1), Phase: core.PhaseAssigned}
		for idx := range groupSize {
			vmName := core.VMName(fmt.Sprintf("engine-vm-%04d", grp*groupSize+idx))
			in.VMs = append(in.VMs, core.VM{Name: vmName, Addr: "10.0.0.1:1", Zone: localZone, Domain: dom, Kind: core.VMEngine})
			in.FencingVMs.Add(vmName)
			in.Holds = append(in.Holds, fold.Hold{VM: vmName, Group: name, FencingToken: assign.FencingToken})
			assign.VMs = append(assign.VMs, vmName)
			probes.RecordProbe(core.ProbeResult{VM: vmName, Incarnation: "i", State: core.EngineReady, Group: name, FencingToken: assign.FencingToken, Spec: spec}, baseTime)
		}
		in.Assignments = append(in.Assignments, assign)
		in.Desired = append(in.Desired, repair.DesiredGroup{Group: name, Zone: localZone, Size: groupSize, Spec: spec, Enabled: true})
	}
	return in, probes
}
