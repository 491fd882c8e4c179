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

// startStreams starts completions at an entry VM and returns once each has its
// first token. The returned function waits for all of them and checks that
// each response is complete and matches its prompt.
func startStreams(t *testing.T, sys *nodets.System, entry *nodets.EntryVM, num, tokens int) func() {
	t.Helper()
	var started, finished sync.WaitGroup
	responses := make([]nodets.Response, num)
	for idx := range num {
		started.Add(1)
		finished.Go(func() {
			responses[idx] = sys.Complete(context.Background(), entry, fmt.Sprintf("prompt %d", idx), tokens, started.Done)
		})
	}
	started.Wait()
	return func() {
		t.Helper()
		finished.Wait()
		for idx, resp := range responses {
			assert.NilError(t, resp.Err)
			assert.Assert(t, resp.Complete, "response %d is incomplete: %+v", idx, resp)
			assert.Equal(t, resp.Text, stand.Answer(fmt.Sprintf("prompt %d", idx), tokens))
		}
	}
}

// TestHoldsGracefulStop stops entry VMs and drains groups and VMs with
// requests in flight, also while the log is down. No request may be cut off.
func TestHoldsGracefulStop(t *testing.T) {
	const num, tokens = 8, 800
	tests := []struct {
		name string
		stop func(sys *nodets.System)
		// after waits for the result of the stop.
		after func(t *testing.T, sys *nodets.System)
	}{
		{
			name:  "entry VM",
			stop:  func(sys *nodets.System) { sys.EntryVMs[0].Stop() },
			after: checkStopped,
		},
		{
			name: "entry VM while the log is down",
			stop: func(sys *nodets.System) {
				sys.Log.SetFault(stand.LogFault{Fault: stand.Fault{Down: true}})
				sys.EntryVMs[0].Stop()
			},
			after: checkStopped,
		},
		{
			name: "two entry VMs at once",
			stop: func(sys *nodets.System) {
				sys.EntryVMs[0].Stop()
				sys.EntryVMs[1].Stop()
			},
			after: checkStopped,
		},
		{
			name:  "group",
			stop:  func(sys *nodets.System) { sys.Set("/models/alerts/groups/alerts-1", "group.draining", true) },
			after: awaitUnloaded,
		},
		{
			name:  "VM of a group",
			stop:  func(sys *nodets.System) { sys.Set("/vms/vm-0", "vm.draining", true) },
			after: awaitMoved,
		},
		{
			name:  "new version",
			stop:  func(sys *nodets.System) { sys.Set("/models/alerts", "model.version", "v2") },
			after: awaitNewVersion,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			sys := nodets.Start(t, nodets.Config{Engine: stand.EngineConfig{TokenTime: 10 * time.Millisecond}})
			check := startStreams(t, sys, sys.EntryVMs[0], num, tokens)
			tt.stop(sys)
			check()
			tt.after(t, sys)
		})
	}
}

// checkStopped checks that the first entry VM stopped without an error.
func checkStopped(t *testing.T, sys *nodets.System) {
	t.Helper()
	assert.NilError(t, sys.EntryVMs[0].Wait())
}

// awaitUnloaded waits until no engine of the first zone has the group loaded.
func awaitUnloaded(_ *testing.T, sys *nodets.System) {
	sys.Await(func(poll.LogT) poll.Result {
		for name, eng := range sys.Engines {
			if probe := eng.Probe(); probe.Group == "alerts-1" {
				return poll.Continue("%s holds the group", name)
			}
		}
		return poll.Success()
	})
}

// awaitMoved waits until the group serves without the drained VM.
func awaitMoved(_ *testing.T, sys *nodets.System) {
	awaitGroup(sys, func(vms []core.VMName, _ string) bool {
		return len(vms) > 0 && !slices.Contains(vms, "vm-0")
	})
}

// awaitNewVersion waits until the group serves the new version.
func awaitNewVersion(_ *testing.T, sys *nodets.System) {
	awaitGroup(sys, func(_ []core.VMName, version string) bool { return version == "v2" })
}

// awaitGroup waits until the first zone's group serves and want accepts its
// VMs and version.
func awaitGroup(sys *nodets.System, want func(vms []core.VMName, version string) bool) {
	sys.Await(func(poll.LogT) poll.Result {
		status, err := sys.Status(sys.EntryVMs[0])
		if err != nil {
			return poll.Continue("%v", err)
		}
		for _, group := range status.Groups {
			if group.Name == "alerts-1" && group.Serving && want(group.Members, group.Version) {
				return poll.Success()
			}
		}
		return poll.Continue("%+v", status.Groups)
	})
}
