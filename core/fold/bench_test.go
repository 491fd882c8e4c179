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

// size is the size of a deployment.
type size struct {
	vms    int
	groups int
	nodes  int
	claims int
}

func (siz size) String() string {
	return fmt.Sprintf("vms=%d/groups=%d/nodes=%d/claims=%d", siz.vms, siz.groups, siz.nodes, siz.claims)
}

var sizes = []size{
	{vms: 70, groups: 9, nodes: 4, claims: 1000},
	{vms: 600, groups: 75, nodes: 42, claims: 12_500},
	{vms: 2400, groups: 300, nodes: 170, claims: 50_000},
	{vms: 4800, groups: 600, nodes: 340, claims: 100_000},
}

// filler folds records in batches of perEntry.
type filler struct {
	sta  *fold.State
	recs []recd.Record
	seq  int
}

const perEntry = 32

func (fil *filler) add(rec recd.Record) {
	fil.seq++
	rec.ID = core.RecordID(fmt.Sprintf("entry-vm-017/5f3a9c21/r%d", fil.seq))
	fil.recs = append(fil.recs, rec)
	if len(fil.recs) == perEntry {
		fil.flush()
	}
}

func (fil *filler) flush() {
	for _, ver := range fil.sta.Apply(entry(fil.sta.Offset()+1, start, fil.recs...)) {
		if !ver.Accepted() {
			panic(ver.Err())
		}
	}
	fil.recs = nil
}

func claimOf(num int) recd.Record {
	rnd := rand.New(rand.NewPCG(uint64(num), 0))
	key := core.IdempotencyKey(fmt.Sprintf("%08x-8f63-%04x-%04x-%012x", rnd.Uint32(), rnd.Uint32()>>16, rnd.Uint32()>>16, rnd.Uint64()>>16))
	return claim(key, start.Add(time.Duration(rnd.IntN(1e9))), rnd.Uint64(), "entry-vm-017")
}

// fill returns the state of a deployment: a setting on every VM, group and
// entry VM, every group assigned, and claims in progress.
func fill(siz size) *fold.State {
	fil := &filler{sta: fold.New()}
	for num := range siz.nodes {
		fil.add(set(fmt.Sprintf("/nodes/entry-vm-%03d", num), "stop.bound", `"20s"`, 0))
	}
	for num := range siz.vms {
		fil.add(set(fmt.Sprintf("/vms/engine-vm-%04d", num), "vm.fencing", "true", 0))
	}
	for num := range siz.groups {
		grp := core.GroupName(fmt.Sprintf("alerts-70b-%03d", num))
		fil.add(set("/models/alerts-70b/groups/"+string(grp), "group.enabled", "true", 0))
		var vms []core.VMName
		for mem := range 8 {
			vms = append(vms, core.VMName(fmt.Sprintf("engine-vm-%04d", num*8+mem)))
		}
		fil.add(assign(grp, 0, vms...))
	}
	for num := range siz.claims {
		fil.add(claimOf(num))
	}
	fil.flush()
	return fil.sta
}

func heap() float64 {
	runtime.GC()
	runtime.GC()
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return float64(mem.HeapAlloc)
}

// BenchmarkStateSize reports the memory and the encoded bytes that one more
// VM, group, entry VM, claim and resolved claim add.
func BenchmarkStateSize(ben *testing.B) {
	for _, cas := range []struct {
		unit      string
		base, big size
	}{
		{"vm", size{vms: 8}, size{vms: 4808}},
		{"group", size{}, size{groups: 600}},
		{"node", size{nodes: 8}, size{nodes: 348}},
		{"claim", size{claims: 40_000}, size{claims: 140_000}},
	} {
		ben.Run(cas.unit, func(ben *testing.B) {
			for ben.Loop() {
				zero := heap()
				one := fill(cas.base)
				mid := heap()
				two := fill(cas.big)
				end := heap()
				num := float64(cas.big.vms + cas.big.groups + cas.big.nodes + cas.big.claims -
					cas.base.vms - cas.base.groups - cas.base.nodes - cas.base.claims)
				ben.ReportMetric((end-mid-(mid-zero))/num, "heap-B/"+cas.unit)
				ben.ReportMetric(float64(len(two.Encode())-len(one.Encode()))/num, "encoded-B/"+cas.unit)
				runtime.KeepAlive(one)
				runtime.KeepAlive(two)
			}
		})
	}
}

// BenchmarkApply is the cost of one record of each kind, in entries of one
// record, on a state of the size of the target.
func BenchmarkApply(ben *testing.B) {
	for _, cas := range []struct {
		name string
		rec  func(sta *fold.State, num int) recd.Record
	}{
		{"setting", func(sta *fold.State, num int) recd.Record {
			pth := fmt.Sprintf("/vms/engine-vm-%04d", num%4800)
			return set(pth, "vm.draining", "true", sta.Tree().Version(pathOf(pth)))
		}},
		{"setting raced", func(*fold.State, int) recd.Record { return set("/vms/engine-vm-0001", "vm.draining", "true", 1<<40) }},
		{"claim", func(_ *fold.State, num int) recd.Record { return claimOf(1_000_000 + num) }},
		{"claim taken", func(*fold.State, int) recd.Record { return claimOf(7) }},
		{"result", func(sta *fold.State, num int) recd.Record {
			rec := claimOf(num % 100_000)
			clm, _ := sta.Claim("o1", rec.Claim.Key)
			return result(rec.Claim.Key, clm.Offset, false, "entry-vm-017")
		}},
		{"retire", func(sta *fold.State, num int) recd.Record {
			asg, _ := sta.Assignment(core.GroupName(fmt.Sprintf("alerts-70b-%03d", num%600)))
			return retire(asg.Group, asg.FencingToken)
		}},
		{"assign held", func(_ *fold.State, num int) recd.Record { return assign("new", 0, "engine-vm-0003") }},
		{"snapshot chunk", func(sta *fold.State, num int) recd.Record {
			return recd.Record{By: "n", Snapshot: &recd.Snapshot{At: 1, Parts: 1 << 12, Part: num % (1 << 12), Data: make([]byte, 1024)}}
		}},
	} {
		ben.Run(cas.name, func(ben *testing.B) {
			sta := fill(sizes[len(sizes)-1])
			num := 0
			for ben.Loop() {
				ben.StopTimer()
				ent := entry(sta.Offset()+1, start, cas.rec(sta, num))
				ben.StartTimer()
				sta.Apply(ent)
				num++
			}
		})
	}
}

// BenchmarkApplyBatch is the cost of a claim in an entry of 32.
func BenchmarkApplyBatch(ben *testing.B) {
	sta := fill(sizes[len(sizes)-1])
	num := 1_000_000
	for ben.Loop() {
		ben.StopTimer()
		var recs []recd.Record
		for range perEntry {
			num++
			recs = append(recs, claimOf(num))
		}
		ent := entry(sta.Offset()+1, start, recs...)
		ben.StartTimer()
		sta.Apply(ent)
	}
	ben.ReportMetric(float64(ben.Elapsed().Nanoseconds())/float64(ben.N)/perEntry, "ns/record")
}

// BenchmarkSnapshot is the cost of writing and reading the whole state.
func BenchmarkSnapshot(ben *testing.B) {
	for _, siz := range sizes {
		sta := fill(siz)
		data := sta.Encode()
		ben.Run("encode/"+siz.String(), func(ben *testing.B) {
			for ben.Loop() {
				data = sta.Encode()
			}
			ben.ReportMetric(float64(len(data)), "B/snapshot")
		})
		ben.Run("image/"+siz.String(), func(ben *testing.B) {
			for ben.Loop() {
				sta.Image()
			}
		})
		ben.Run("decode/"+siz.String(), func(ben *testing.B) {
			for ben.Loop() {
				_, err := fold.Decode(data)
				if err != nil {
					ben.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkView is the cost of a view after a claim, and after a change of an
// assignment.
func BenchmarkView(ben *testing.B) {
	for _, cas := range []struct {
		name string
		rec  func(sta *fold.State, num int) recd.Record
	}{
		{"after claim", func(_ *fold.State, num int) recd.Record { return claimOf(1_000_000 + num) }},
		{"after retire", func(sta *fold.State, num int) recd.Record {
			asg, _ := sta.Assignment(core.GroupName(fmt.Sprintf("alerts-70b-%03d", num%600)))
			return retire(asg.Group, asg.FencingToken)
		}},
		{"after assign", func(_ *fold.State, num int) recd.Record {
			return assign(core.GroupName(fmt.Sprint("spare-", num)), 0, core.VMName(fmt.Sprint("spare-", num)))
		}},
	} {
		ben.Run(cas.name, func(ben *testing.B) {
			sta := fill(sizes[len(sizes)-1])
			num := 0
			for ben.Loop() {
				ben.StopTimer()
				if num == 600 {
					sta, num = fill(sizes[len(sizes)-1]), 0
				}
				ver := sta.Apply(entry(sta.Offset()+1, start.Add(time.Duration(num)), cas.rec(sta, num)))[0]
				if !ver.Accepted() {
					ben.Fatal(ver.Err())
				}
				num++
				ben.StartTimer()
				sta.View()
			}
		})
	}
}

func pathOf(txt string) tree.Path { return tree.Path(txt) }
