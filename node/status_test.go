package node_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/io/oper"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// awaitGroupStatus waits until want accepts the group's status at the first
// entry VM, nil if it has none.
func awaitGroupStatus(sys *nodets.System, name core.GroupName, want func(group *oper.GroupStatus) bool) {
	sys.Await(func(poll.LogT) poll.Result {
		status, err := sys.Status(sys.EntryVMs[0])
		if err != nil {
			return poll.Continue("%v", err)
		}
		var got *oper.GroupStatus
		for idx := range status.Groups {
			if status.Groups[idx].Name == name {
				got = &status.Groups[idx]
			}
		}
		if !want(got) {
			return poll.Continue("%s: %+v", name, got)
		}
		return poll.Success()
	})
}

// TestGroupStatus checks the status of a group that operators get while the
// group waits for VMs, serves, misses a member and drains.
func TestGroupStatus(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{})
	const groupName = core.GroupName("alerts-1")
	const groupPath, oversizedPath = "/models/alerts/groups/alerts-1", "/models/alerts/groups/big"
	awaitGroupStatus(sys, groupName, func(got *oper.GroupStatus) bool { return got != nil && got.Serving && got.Reason == "" })

	sys.Set(oversizedPath, "group.size", 3)
	sys.Set(oversizedPath, "group.zone", "z1")
	waitsWith := func(text string) func(got *oper.GroupStatus) bool {
		return func(got *oper.GroupStatus) bool {
			return got != nil && got.Phase == "" && !got.Serving && got.Code != core.CodeOK && strings.HasPrefix(got.Reason, text)
		}
	}
	awaitGroupStatus(sys, "big", waitsWith("waits for 3 free VMs in one fabric domain of zone z1, at most 2 are free in one"))
	sys.Set(oversizedPath, "group.domain", "z1-d9")
	awaitGroupStatus(sys, "big", waitsWith("waits for 3 free VMs in fabric domain z1-d9 of zone z1, 0 are free"))
	sys.Log.SetFault(stand.LogFault{Fault: stand.Fault{Down: true}})
	awaitGroupStatus(sys, "big", waitsWith("waits for the log"))
	sys.Log.SetFault(stand.LogFault{})
	sys.Set(oversizedPath, "group.enabled", false)
	awaitGroupStatus(sys, "big", func(got *oper.GroupStatus) bool { return got == nil })

	var deadEngine *stand.Engine
	awaitGroupStatus(sys, groupName, func(got *oper.GroupStatus) bool {
		deadEngine = sys.Engines[got.Members[1]]
		return true
	})
	deadEngine.SetFault(stand.EngineFault{Die: true})
	awaitGroupStatus(sys, groupName, func(got *oper.GroupStatus) bool {
		return got.Code == core.CodeMemberMissing && strings.HasPrefix(got.Reason, "member ")
	})
	sys.Set(groupPath, "group.enabled", false)
	awaitGroupStatus(sys, groupName, func(got *oper.GroupStatus) bool {
		return got != nil && got.Phase == core.PhaseRetired && got.Code == core.CodeOK && got.Reason == "draining: not wanted"
	})
	deadEngine.SetFault(stand.EngineFault{})
	awaitGroupStatus(sys, groupName, func(got *oper.GroupStatus) bool { return got == nil })
	status, err := sys.Status(sys.EntryVMs[0])
	assert.NilError(t, err)
	assert.Equal(t, len(status.Quarantine), 0)
}

// TestQuarantineStatus checks that every entry VM lists a request that crashed
// two groups, also those that saw no crash, and lists no other request.
func TestQuarantineStatus(t *testing.T) {
	t.Parallel()
	const poison = "poison"
	sys := nodets.Start(t, nodets.Config{})
	for _, eng := range sys.Engines {
		eng.SetFault(stand.EngineFault{CrashOn: poison, ReviveAfter: stand.Span(50 * time.Millisecond)})
	}
	sys.Await(func(poll.LogT) poll.Result {
		resp := sys.Complete(context.Background(), sys.EntryVMs[0], poison, 5, nil)
		if resp.Code != core.CodeQuarantined {
			return poll.Continue("%+v", resp)
		}
		return poll.Success()
	})
	awaitCompletion(sys, sys.EntryVMs[0], "bystander")
	for _, entry := range sys.EntryVMs {
		var got []oper.Quarantined
		sys.Await(func(poll.LogT) poll.Result {
			status, err := sys.Status(entry)
			if err != nil || len(status.Quarantine) == 0 {
				return poll.Continue("%s lists nothing: %v", entry.Name, err)
			}
			got = status.Quarantine
			return poll.Success()
		})
		assert.Equal(t, len(got), 1)
		assert.Assert(t, got[0].Crashes >= 2, "%+v", got)
	}
}
