package membr_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/core/membr"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cfg   = membr.Config{Suspect: 3 * time.Second, Dead: 10 * time.Second, Interval: time.Second, Fanout: 6}
)

func beat(idx, zones int) core.Heartbeat {
	return core.Heartbeat{
		Node:        core.NodeName(fmt.Sprintf("n%03d", idx)),
		Zone:        core.Zone(fmt.Sprint("z", idx%zones)),
		Addr:        fmt.Sprintf("10.0.%d.%d:7400", idx/256, idx%256),
		Incarnation: "r1",
		Seq:         1,
	}
}

func at(secs int) time.Time { return start.Add(time.Duration(secs) * time.Second) }

func ExampleRank() {
	nodes := []core.NodeName{"n1", "n2", "n3", "n4"}
	all := membr.Rank("zone-a", nodes)
	rest := membr.Rank("zone-a", slices.DeleteFunc(nodes, func(nod core.NodeName) bool { return nod == all[1] }))
	fmt.Println(rest[0] == all[0], rest[1] == all[2], rest[2] == all[3])
	// Output: true true true
}

func TestHeardAndLive(t *testing.T) {
	type heard struct {
		sec  int
		run  core.Incarnation
		seq  uint64
		stop bool
		news bool
	}
	tests := []struct {
		name  string
		heard []heard
		sec   int
		live  bool
	}{
		{"heard", []heard{{0, "r1", 1, false, true}}, 2, true},
		{"silent for the suspect time", []heard{{0, "r1", 1, false, true}}, 3, false},
		{"repeated beat does not renew", []heard{{0, "r1", 1, false, true}, {2, "r1", 1, false, false}}, 3, false},
		{"old beat does not renew", []heard{{0, "r1", 5, false, true}, {2, "r1", 4, false, false}}, 3, false},
		{"restart counts from one", []heard{{0, "r1", 9, false, true}, {2, "r2", 1, false, true}}, 4, true},
		{"late beat of the former run", []heard{{0, "r1", 9, false, true}, {1, "r2", 1, false, true}, {3, "r1", 10, false, false}}, 4, false},
		{"stopping", []heard{{0, "r1", 1, false, true}, {1, "r1", 2, true, true}}, 1, false},
		{"stopped, then started anew", []heard{{0, "r1", 1, true, true}, {1, "r2", 1, false, true}}, 2, true},
		{"dead and back", []heard{{0, "r1", 1, false, true}, {60, "r1", 2, false, true}}, 61, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := membr.New(beat(0, 1), cfg)
			for _, hrd := range tt.heard {
				bea := beat(1, 1)
				bea.Incarnation, bea.Seq, bea.Stopping = hrd.run, hrd.seq, hrd.stop
				assert.Equal(t, tab.Heard(bea, at(hrd.sec)), hrd.news)
			}
			want := []core.NodeName{"n000"}
			if tt.live {
				want = append(want, "n001")
			}
			assert.DeepEqual(t, membr.Names(tab.Live(at(tt.sec))), want)
		})
	}
}

func TestAlarm(t *testing.T) {
	type told struct {
		node core.NodeName
		at   core.Offset
		hash uint64
	}
	tests := []struct {
		name  string
		beats []told
		odd   []core.NodeName
		tied  bool
		// changes counts the beats after which other nodes were blamed.
		changes int
	}{
		{"no hash yet", []told{{"a", 0, 1}, {"b", 0, 2}}, nil, false, 0},
		{"alike", []told{{"a", 64, 1}, {"b", 64, 1}, {"c", 128, 2}, {"a", 128, 2}}, nil, false, 0},
		{"different offsets", []told{{"a", 64, 1}, {"b", 128, 2}}, nil, false, 0},
		{"two differ", []told{{"a", 64, 1}, {"b", 64, 2}}, []core.NodeName{"a", "b"}, true, 1},
		{"odd one last", []told{{"b", 64, 1}, {"c", 64, 1}, {"a", 64, 2}}, []core.NodeName{"a"}, false, 1},
		{"odd one first", []told{{"a", 64, 2}, {"b", 64, 1}, {"c", 64, 1}}, []core.NodeName{"a"}, false, 2},
		{"odd one again and again", []told{{"b", 64, 1}, {"c", 64, 1}, {"a", 64, 2}, {"c", 64, 1}, {"a", 64, 2}}, []core.NodeName{"a"}, false, 1},
		{"odd one first at the next offset", []told{
			{"b", 64, 1}, {"c", 64, 1}, {"a", 64, 2}, {"a", 128, 4}, {"c", 128, 3}, {"b", 128, 3},
		}, []core.NodeName{"a"}, false, 1},
		{"late word on an old offset", []told{{"a", 128, 1}, {"b", 128, 1}, {"c", 64, 5}, {"a", 64, 4}, {"b", 64, 4}}, []core.NodeName{"c"}, false, 1},
		{"mended", []told{{"b", 64, 1}, {"c", 64, 1}, {"a", 64, 2}, {"a", 64, 1}}, nil, false, 2},
		{"mended later", []told{{"b", 64, 1}, {"c", 64, 1}, {"a", 64, 2}, {"b", 128, 3}, {"a", 128, 3}}, nil, false, 2},
		{"two against two", []told{{"a", 64, 1}, {"b", 64, 1}, {"c", 64, 2}, {"d", 64, 2}}, []core.NodeName{"c", "d"}, false, 2},
		{"all differ", []told{{"a", 64, 1}, {"b", 64, 2}, {"c", 64, 3}}, []core.NodeName{"a", "b", "c"}, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tab := membr.New(beat(0, 1), cfg)
			var got membr.Alarm
			changes := 0
			for _, bea := range tt.beats {
				var chg bool
				got, chg = tab.Alarm(core.Heartbeat{Node: bea.node, HashOffset: bea.at, Hash: bea.hash})
				if chg {
					changes++
				}
			}
			assert.DeepEqual(t, got.Odd, tt.odd)
			assert.Equal(t, got.Tied, tt.tied)
			assert.Equal(t, changes, tt.changes)
			assert.Equal(t, got.Err() != nil, len(tt.odd) > 0)
			if len(tt.odd) > 0 {
				assert.Equal(t, core.CodeOf(got.Err()), core.CodeHashAlarm)
				assert.ErrorContains(t, got.Err(), fmt.Sprintf("%q", tt.odd))
			}
		})
	}
}

// TestAlarmForgets blames no node that is gone for good.
func TestAlarmForgets(t *testing.T) {
	tab := membr.New(beat(0, 1), cfg)
	for idx, hash := range []uint64{1, 1, 2} {
		bea := beat(idx, 1)
		bea.HashOffset, bea.Hash = 64, hash
		tab.Heard(bea, at(0))
		tab.Alarm(bea)
	}
	tab.Expire(at(60))
	got, chg := tab.Alarm(beat(0, 1))
	assert.Assert(t, chg)
	assert.NilError(t, got.Err())
}

// TestTargets asks every peer where Fanout allows, and otherwise each one
// within the time for which it stays live, near ones more often.
func TestTargets(t *testing.T) {
	for _, num := range []int{4, 7, 40, 340} {
		t.Run(fmt.Sprint("nodes=", num), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, uint64(num)))
			tab := membr.New(beat(0, 7), cfg)
			var seeds []core.VM
			for idx := range num {
				bea := beat(idx, 7)
				seeds = append(seeds, core.VM{Kind: core.VMEntry, Addr: bea.Addr, Zone: bea.Zone})
			}
			tab.Seed(seeds)
			asked := map[string]int{}
			for sec := range 400 {
				adds := tab.Targets(at(sec), rnd.Uint64())
				assert.Assert(t, len(adds) <= max(cfg.Fanout, 1))
				assert.Assert(t, !slices.Contains(adds, beat(0, 7).Addr))
				for _, adr := range adds {
					asked[adr]++
					idx := slices.IndexFunc(seeds, func(vmx core.VM) bool { return vmx.Addr == adr })
					bea := beat(idx, 7)
					bea.Seq = uint64(sec + 1)
					assert.Assert(t, tab.Heard(bea, at(sec)))
				}
			}
			assert.Equal(t, len(asked), num-1)
			assert.Equal(t, len(tab.Live(at(400))), num)
			if num == 340 {
				assert.Assert(t, asked[beat(7, 7).Addr] > asked[beat(1, 7).Addr])
			}
		})
	}
}

// BenchmarkExchange reports what a node sends and receives for membership: its
// own exchanges and those that its peers begin with it.
func BenchmarkExchange(b *testing.B) {
	for _, num := range []int{4, 12, 48, 120, 340} {
		b.Run(fmt.Sprint("nodes=", num), func(b *testing.B) {
			tab := membr.New(beat(0, 7), cfg)
			bea := beat(0, 7)
			bea.Usage = map[core.OrgName]core.Usage{}
			for org := range 10 {
				bea.Usage[core.OrgName(fmt.Sprint("organisation-", org))] = core.Usage{Requests: 1.5, Tokens: 900.5, Running: 12}
			}
			for idx := 1; idx < num; idx++ {
				tab.Heard(beat(idx, 7), start)
			}
			size, msgs, sec := 0, 0, 0
			for b.Loop() {
				out := tab.Update(bea)
				data, err := cbor.Marshal(out)
				if err != nil {
					b.Fatal(err)
				}
				for idx := 1; idx < num; idx++ {
					peer := beat(idx, 7)
					peer.Seq = uint64(sec + 2)
					tab.Heard(peer, start)
				}
				msgs = 4 * len(tab.Targets(start, uint64(sec)))
				size = msgs * len(data)
				sec++
			}
			b.ReportMetric(float64(msgs), "msgs/s")
			b.ReportMetric(float64(size), "bytes/s")
		})
	}
}
