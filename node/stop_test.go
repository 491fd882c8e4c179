package node_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// streams starts completions at an entry VM and returns once each has its
// first token. The function that it returns waits for all of them and checks
// that each is whole and its own.
func streams(t *testing.T, sys *nodets.System, mem *nodets.EntryVM, num, tokens int) func() {
	t.Helper()
	var begun, over sync.WaitGroup
	answers := make([]nodets.Response, num)
	for idx := range num {
		begun.Add(1)
		over.Go(func() {
			answers[idx] = sys.Complete(context.Background(), mem, fmt.Sprintf("prompt %d", idx), tokens, begun.Done)
		})
	}
	begun.Wait()
	return func() {
		t.Helper()
		over.Wait()
		for idx, ans := range answers {
			assert.NilError(t, ans.Err)
			assert.Assert(t, ans.Complete, "answer %d has no end: %+v", idx, ans)
			assert.Equal(t, ans.Text, stand.Answer(fmt.Sprintf("prompt %d", idx), tokens))
		}
	}
}

// TestHoldsGracefulStop stops entry VMs and drains groups and VMs under
// requests in progress, also while the log is down. No request is cut.
func TestHoldsGracefulStop(t *testing.T) {
	const num, tokens = 8, 800
	tests := []struct {
		name string
		stop func(sys *nodets.System)
		// after waits for what the stop leads to.
		after func(t *testing.T, sys *nodets.System)
	}{
		{
			name:  "entry VM",
			stop:  func(sys *nodets.System) { sys.EntryVMs[0].Stop() },
			after: stopped,
		},
		{
			name: "entry VM while the log is down",
			stop: func(sys *nodets.System) {
				sys.Log.SetFault(stand.LogFault{Fault: stand.Fault{Down: true}})
				sys.EntryVMs[0].Stop()
			},
			after: stopped,
		},
		{
			name: "two entry VMs at once",
			stop: func(sys *nodets.System) {
				sys.EntryVMs[0].Stop()
				sys.EntryVMs[1].Stop()
			},
			after: stopped,
		},
		{
			name:  "group",
			stop:  func(sys *nodets.System) { sys.Set("/models/alerts/groups/alerts-1", "group.draining", true) },
			after: unloaded,
		},
		{
			name:  "VM of a group",
			stop:  func(sys *nodets.System) { sys.Set("/vms/vm-0", "vm.draining", true) },
			after: moved,
		},
		{
			name:  "new version",
			stop:  func(sys *nodets.System) { sys.Set("/models/alerts", "model.version", "v2") },
			after: rolled,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sys := nodets.Start(t, nodets.Config{Engine: stand.EngineConfig{TokenTime: 10 * time.Millisecond}})
			check := streams(t, sys, sys.EntryVMs[0], num, tokens)
			tt.stop(sys)
			check()
			tt.after(t, sys)
		})
	}
}

// stopped checks that the first entry VM ended well.
func stopped(t *testing.T, sys *nodets.System) {
	t.Helper()
	assert.NilError(t, sys.EntryVMs[0].Wait())
}

// unloaded waits until no engine of the first zone holds the group.
func unloaded(_ *testing.T, sys *nodets.System) {
	sys.Await(func(poll.LogT) poll.Result {
		for nam, eng := range sys.Engines {
			if prb := eng.Probe(); prb.Group == "alerts-1" {
				return poll.Continue("%s holds the group", nam)
			}
		}
		return poll.Success()
	})
}

// moved waits until the group serves without the drained VM.
func moved(_ *testing.T, sys *nodets.System) {
	awaitGroup(sys, func(vms []core.VMName, _ string) bool {
		return len(vms) > 0 && !slices.Contains(vms, "vm-0")
	})
}

// rolled waits until the group serves the new version.
func rolled(_ *testing.T, sys *nodets.System) {
	awaitGroup(sys, func(_ []core.VMName, ver string) bool { return ver == "v2" })
}

// awaitGroup waits until the first zone's group serves and is as wanted.
func awaitGroup(sys *nodets.System, want func(vms []core.VMName, ver string) bool) {
	sys.Await(func(poll.LogT) poll.Result {
		sta, err := sys.Status(sys.EntryVMs[0])
		if err != nil {
			return poll.Continue("%v", err)
		}
		for _, grp := range sta.Groups {
			if grp.Name == "alerts-1" && grp.Serving && want(grp.Members, grp.Version) {
				return poll.Success()
			}
		}
		return poll.Continue("%+v", sta.Groups)
	})
}
