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

// awaitSetting waits until an entry VM has the setting's new value in force.
func awaitSetting(sys *nodets.System, entry *nodets.EntryVM, path, key, raw string) {
	sys.Await(func(poll.LogT) poll.Result {
		got, err := sys.Settings(entry, path)
		if err != nil {
			return poll.Continue("%v", err)
		}
		for _, val := range got.Values {
			if val.Key == key && string(val.Value) == raw {
				return poll.Success()
			}
		}
		return poll.Continue("%s: %s is not %s", entry.Name, key, raw)
	})
}

// awaitCompletion waits until an entry VM returns a complete response.
func awaitCompletion(sys *nodets.System, entry *nodets.EntryVM, prompt string) {
	sys.Await(func(poll.LogT) poll.Result {
		resp := sys.Complete(context.Background(), entry, prompt, 10, nil)
		if !resp.Complete || resp.Text != stand.Answer(prompt, 10) {
			return poll.Continue("%s: %+v", entry.Name, resp)
		}
		return poll.Success()
	})
}

// TestZoneCutOff partitions the second zone from the platform, the other zones
// or both. The zone must continue to serve its own group, also after a restart
// of an engine, and settings must come into force there as soon as the
// platform or another zone is reachable.
func TestZoneCutOff(t *testing.T) {
	const zone = core.Zone("z2")
	const path, key = "/orgs/andes", "org.priority"
	tests := []struct {
		name      string
		partition nodets.Partition
		// receivesChanges is set if changes still reach the zone.
		receivesChanges bool
	}{
		{"from the platform", nodets.Partition{Platform: true}, true},
		{"from the other zones", nodets.Partition{Peers: true}, true},
		{"from both", nodets.Partition{Platform: true, Peers: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sys := nodets.Start(t, nodets.Config{})
			entry := sys.EntryVMs[2]
			sys.Partition(zone, tt.partition)
			awaitCompletion(sys, entry, "cut")
			sys.Set(path, key, 7)
			if tt.receivesChanges {
				awaitSetting(sys, entry, path, key, "7")
			}
			restartEngine(sys, zone)
			awaitCompletion(sys, entry, "after a restart")
			if tt.partition.Platform {
				resp := sys.Charge(context.Background(), entry, "k", "fee", time.Now())
				assert.Assert(t, resp.Code.NotRun() || resp.Complete, "%+v", resp)
			}
			sys.Partition(zone, nodets.Partition{})
			awaitSetting(sys, entry, path, key, "7")
			awaitCompletion(sys, entry, "healed")
			for run, num := range sys.Plain.Count().ByBody {
				assert.Assert(t, num <= 1, "%s ran %d times", run, num)
			}
		})
	}
}

// restartEngine restarts an engine of the zone's group and waits until the
// entry VM of the zone has loaded the model on it again.
func restartEngine(sys *nodets.System, zone core.Zone) {
	status, _ := sys.Status(sys.EntryVMs[2])
	for _, group := range status.Groups {
		if group.Zone != zone {
			continue
		}
		eng := sys.Engines[group.Members[1]]
		_ = eng.Restart()
		sys.Await(func(poll.LogT) poll.Result {
			if probe := eng.Probe(); probe.State != core.EngineReady {
				return poll.Continue("%s is %s", probe.VM, probe.State)
			}
			return poll.Success()
		})
	}
}

// TestReplacedWhileCutOff starts an entry VM in a zone that can't read the
// log. It must get the state from a peer and serve.
func TestReplacedWhileCutOff(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{})
	sys.Partition("z2", nodets.Partition{Platform: true})
	entry := sys.AddEntryVM("e5", "z2")
	awaitSetting(sys, entry, "/", "vm.fencing", "true")
	awaitCompletion(sys, entry, "replaced")
}
