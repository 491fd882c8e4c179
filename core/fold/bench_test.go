package fold_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
)

// deployment is the size of a deployment.
type deployment struct {
	vms    int
	groups int
	nodes  int
	claims int
}

func (size deployment) String() string {
	return fmt.Sprintf("vms=%d/groups=%d/nodes=%d/claims=%d", size.vms, size.groups, size.nodes, size.claims)
}

var deployments = []deployment{
	{vms: 70, groups: 9, nodes: 4, claims: 1000},
	{vms: 600, groups: 75, nodes: 42, claims: 12_500},
	{vms: 2400, groups: 300, nodes: 170, claims: 50_000},
	{vms: 4800, groups: 600, nodes: 340, claims: 100_000},
}

// stateBuilder applies records in batches of recordsPerEntry.
type stateBuilder struct {
	state   *fold.State
	pending []recd.Record
	seq     int
}

const recordsPerEntry = 32

func (sb *stateBuilder) add(rec recd.Record) {
	sb.seq++
	rec.ID = core.RecordID(fmt.Sprintf("entry-vm-017/5f3a9c21/r%d", sb.seq))
	sb.pending = append(sb.pending, rec)
	if len(sb.pending) == recordsPerEntry {
		sb.flush()
	}
}

func (sb *stateBuilder) flush() {
	for _, decision := range sb.state.Apply(entry(sb.state.Offset()+1, start, sb.pending...)) {
		if !decision.Accepted() {
			panic(decision.Err())
		}
	}
	sb.pending = nil
}

func randomClaim(num int) recd.Record {
	rng := rand.New(rand.NewPCG(uint64(num), 0))
	key := core.IdempotencyKey(fmt.Sprintf("%08x-8f63-%04x-%04x-%012x", rng.Uint32(), rng.Uint32()>>16, rng.Uint32()>>16, rng.Uint64()>>16))
	return claim(key, start.Add(time.Duration(rng.IntN(1e9))), rng.Uint64(), "entry-vm-017")
}

// newDeployment returns the state of a deployment: a setting on every VM,
// group and entry VM, every group assigned, and claims in progress.
func newDeployment(size deployment) *fold.State {
	sb := &stateBuilder{state: fold.New()}
	for num := range size.nodes {
		sb.add(set(fmt.Sprintf("/nodes/entry-vm-%03d", num), "stop.bound", `"20s"`, 0))
	}
	for num := range size.vms {
		sb.add(set(fmt.Sprintf("/vms/engine-vm-%04d", num), "vm.fencing", "true", 0))
	}
	for num := range size.groups {
		group := core.GroupName(fmt.Sprintf("alerts-70b-%03d", num))
		sb.add(set("/models/alerts-70b/groups/"+string(group), "group.enabled", "true", 0))
		var vms []core.VMName
		for member := range 8 {
			vms = append(vms, core.VMName(fmt.Sprintf("engine-vm-%04d", num*8+member)))
		}
		sb.add(assign(group, 0, vms...))
	}
	for num := range size.claims {
		sb.add(randomClaim(num))
	}
	sb.flush()
	return sb.state
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc)
}

// BenchmarkStateSize reports the heap and the encoded bytes that each further
// VM, group, entry VM and claim adds.
func BenchmarkStateSize(b *testing.B) {
	for _, tc := range []struct {
		unit      string
		base, big deployment
	}{
		{"vm", deployment{vms: 8}, deployment{vms: 4808}},
		{"group", deployment{}, deployment{groups: 600}},
		{"node", deployment{nodes: 8}, deployment{nodes: 348}},
		{"claim", deployment{claims: 40_000}, deployment{claims: 140_000}},
	} {
		b.Run(tc.unit, func(b *testing.B) {
			for b.Loop() {
				zero := heapBytes()
				one := newDeployment(tc.base)
				mid := heapBytes()
				two := newDeployment(tc.big)
				end := heapBytes()
				num := float64(tc.big.vms + tc.big.groups + tc.big.nodes + tc.big.claims -
					tc.base.vms - tc.base.groups - tc.base.nodes - tc.base.claims)
				b.ReportMetric((end-mid-(mid-zero))/num, "heap-B/"+tc.unit)
				b.ReportMetric(float64(len(two.Encode())-len(one.Encode()))/num, "encoded-B/"+tc.unit)
				runtime.KeepAlive(one)
				runtime.KeepAlive(two)
			}
		})
	}
}

// BenchmarkApply measures one record of each kind, in entries of one record,
// on a state of the target size, the largest of the deployments.
func BenchmarkApply(b *testing.B) {
	for _, tc := range []struct {
		name string
		rec  func(st *fold.State, num int) recd.Record
	}{
		{"setting", func(st *fold.State, num int) recd.Record {
			path := fmt.Sprintf("/vms/engine-vm-%04d", num%4800)
			return set(path, "vm.draining", "true", st.Tree().Version(pathOf(path)))
		}},
		{"setting raced", func(*fold.State, int) recd.Record { return set("/vms/engine-vm-0001", "vm.draining", "true", 1<<40) }},
		{"claim", func(_ *fold.State, num int) recd.Record { return randomClaim(1_000_000 + num) }},
		{"claim taken", func(*fold.State, int) recd.Record { return randomClaim(7) }},
		{"result", func(st *fold.State, num int) recd.Record {
			rec := randomClaim(num % 100_000)
			clm, _ := st.Claim("o1", rec.Claim.Key)
			return result(rec.Claim.Key, clm.Offset, false, "entry-vm-017")
		}},
		{"retire", func(st *fold.State, num int) recd.Record {
			asg, _ := st.Assignment(core.GroupName(fmt.Sprintf("alerts-70b-%03d", num%600)))
			return retire(asg.Group, asg.FencingToken)
		}},
		{"assign held", func(_ *fold.State, num int) recd.Record { return assign("new", 0, "engine-vm-0003") }},
		{"snapshot chunk", func(st *fold.State, num int) recd.Record {
			return recd.Record{By: "n", Snapshot: &recd.SnapshotChunk{Offset: 1, Parts: 1 << 12, Part: num % (1 << 12), Data: make([]byte, 1024)}}
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			st := newDeployment(deployments[len(deployments)-1])
			num := 0
			for b.Loop() {
				b.StopTimer()
				ent := entry(st.Offset()+1, start, tc.rec(st, num))
				b.StartTimer()
				st.Apply(ent)
				num++
			}
		})
	}
}

// BenchmarkApplyBatch measures claims in entries of recordsPerEntry.
func BenchmarkApplyBatch(b *testing.B) {
	st := newDeployment(deployments[len(deployments)-1])
	num := 1_000_000
	for b.Loop() {
		b.StopTimer()
		var recs []recd.Record
		for range recordsPerEntry {
			num++
			recs = append(recs, randomClaim(num))
		}
		ent := entry(st.Offset()+1, start, recs...)
		b.StartTimer()
		st.Apply(ent)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/recordsPerEntry, "ns/record")
}

// BenchmarkSnapshot measures the encoding, the copying and the decoding of the
// whole state.
func BenchmarkSnapshot(b *testing.B) {
	for _, size := range deployments {
		st := newDeployment(size)
		data := st.Encode()
		b.Run("encode/"+size.String(), func(b *testing.B) {
			for b.Loop() {
				data = st.Encode()
			}
			b.ReportMetric(float64(len(data)), "B/snapshot")
		})
		b.Run("image/"+size.String(), func(b *testing.B) {
			for b.Loop() {
				st.Snapshot()
			}
		})
		b.Run("decode/"+size.String(), func(b *testing.B) {
			for b.Loop() {
				_, err := fold.Decode(data)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkView measures View after a claim and after a change of an
// assignment.
func BenchmarkView(b *testing.B) {
	for _, tc := range []struct {
		name string
		rec  func(st *fold.State, num int) recd.Record
	}{
		{"after claim", func(_ *fold.State, num int) recd.Record { return randomClaim(1_000_000 + num) }},
		{"after retire", func(st *fold.State, num int) recd.Record {
			asg, _ := st.Assignment(core.GroupName(fmt.Sprintf("alerts-70b-%03d", num%600)))
			return retire(asg.Group, asg.FencingToken)
		}},
		{"after assign", func(_ *fold.State, num int) recd.Record {
			return assign(core.GroupName(fmt.Sprint("spare-", num)), 0, core.VMName(fmt.Sprint("spare-", num)))
		}},
	} {
		b.Run(tc.name, func(b *testing.B) {
			st := newDeployment(deployments[len(deployments)-1])
			num := 0
			for b.Loop() {
				b.StopTimer()
				if num == 600 {
					st, num = newDeployment(deployments[len(deployments)-1]), 0
				}
				decision := st.Apply(entry(st.Offset()+1, start.Add(time.Duration(num)), tc.rec(st, num)))[0]
				if !decision.Accepted() {
					b.Fatal(decision.Err())
				}
				num++
				b.StartTimer()
				st.View()
			}
		})
	}
}

func pathOf(text string) tree.Path { return tree.Path(text) }
