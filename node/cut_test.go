package node_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// inForce waits until an entry VM has the changed setting in force.
func inForce(sys *nodets.System, mem *nodets.EntryVM, pth, key, raw string) {
	sys.Await(func(poll.LogT) poll.Result {
		got, err := sys.Settings(mem, pth)
		if err != nil {
			return poll.Continue("%v", err)
		}
		for _, val := range got.Values {
			if val.Key == key && string(val.Value) == raw {
				return poll.Success()
			}
		}
		return poll.Continue("%s: %s is not %s", mem.Name, key, raw)
	})
}

// completes waits until an entry VM completes a request whole.
func completes(sys *nodets.System, mem *nodets.EntryVM, prompt string) {
	sys.Await(func(poll.LogT) poll.Result {
		ans := sys.Complete(context.Background(), mem, prompt, 10, nil)
		if !ans.Complete || ans.Text != stand.Answer(prompt, 10) {
			return poll.Continue("%s: %+v", mem.Name, ans)
		}
		return poll.Success()
	})
}

// TestZoneCutOff cuts the second zone off. It goes on serving what it can, and
// settings come into force there as soon as there is a way.
func TestZoneCutOff(t *testing.T) {
	const zone = core.Zone("z2")
	const pth, key = "/orgs/andes", "org.priority"
	tests := []struct {
		name string
		cut  nodets.Partition
		// linked is set if the zone still hears of changes.
		linked bool
	}{
		{"from the platform", nodets.Partition{Platform: true}, true},
		{"from the other zones", nodets.Partition{Peers: true}, true},
		{"from both", nodets.Partition{Platform: true, Peers: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sys := nodets.Start(t, nodets.Config{})
			mem := sys.EntryVMs[2]
			sys.Partition(zone, tt.cut)
			completes(sys, mem, "cut")
			sys.Set(pth, key, 7)
			if tt.linked {
				inForce(sys, mem, pth, key, "7")
			}
			restartMember(sys, zone)
			completes(sys, mem, "after a restart")
			if tt.cut.Platform {
				ans := sys.Charge(context.Background(), mem, "k", "fee", time.Now())
				assert.Assert(t, ans.Code.NotRun() || ans.Complete, "%+v", ans)
			}
			sys.Partition(zone, nodets.Partition{})
			inForce(sys, mem, pth, key, "7")
			completes(sys, mem, "healed")
			for run, num := range sys.Plain.Count().ByBody {
				assert.Assert(t, num <= 1, "%s ran %d times", run, num)
			}
		})
	}
}

// restartMember restarts an engine of the zone's group and waits until the
// entry VM of the zone has loaded it again.
func restartMember(sys *nodets.System, zon core.Zone) {
	sta, _ := sys.Status(sys.EntryVMs[2])
	for _, grp := range sta.Groups {
		if grp.Zone != zon {
			continue
		}
		eng := sys.Engines[grp.Members[1]]
		_ = eng.Restart()
		sys.Await(func(poll.LogT) poll.Result {
			if prb := eng.Probe(); prb.State != core.EngineReady {
				return poll.Continue("%s is %s", prb.VM, prb.State)
			}
			return poll.Success()
		})
	}
}

// TestReplacedWhileCutOff starts an entry VM in a zone that can't read the
// log: it takes the state from a peer and serves.
func TestReplacedWhileCutOff(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{})
	sys.Partition("z2", nodets.Partition{Platform: true})
	mem := sys.AddEntryVM("e5", "z2")
	inForce(sys, mem, "/", "vm.fencing", "true")
	completes(sys, mem, "replaced")
}
