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

// awaitStatus waits until the first entry VM shows the group as wanted, nil if
// it does not show it.
func awaitStatus(sys *nodets.System, nam core.GroupName, want func(grp *oper.GroupStatus) bool) {
	sys.Await(func(poll.LogT) poll.Result {
		sta, err := sys.Status(sys.EntryVMs[0])
		if err != nil {
			return poll.Continue("%v", err)
		}
		var got *oper.GroupStatus
		for idx := range sta.Groups {
			if sta.Groups[idx].Name == nam {
				got = &sta.Groups[idx]
			}
		}
		if !want(got) {
			return poll.Continue("%s: %+v", nam, got)
		}
		return poll.Success()
	})
}

// TestGroupStatus looks at a group through what operators see of it.
func TestGroupStatus(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{})
	const grp = core.GroupName("alerts-1")
	const pth, big = "/models/alerts/groups/alerts-1", "/models/alerts/groups/big"
	awaitStatus(sys, grp, func(got *oper.GroupStatus) bool { return got != nil && got.Serving && got.Why == "" })

	sys.Set(big, "group.size", 3)
	sys.Set(big, "group.zone", "z1")
	waits := func(txt string) func(got *oper.GroupStatus) bool {
		return func(got *oper.GroupStatus) bool {
			return got != nil && got.Phase == "" && !got.Serving && got.Code != core.CodeOK && strings.HasPrefix(got.Why, txt)
		}
	}
	awaitStatus(sys, "big", waits("waits for 3 free VMs in one fabric domain of zone z1, at most 2 are free in one"))
	sys.Set(big, "group.domain", "z1-d9")
	awaitStatus(sys, "big", waits("waits for 3 free VMs in fabric domain z1-d9 of zone z1, 0 are free"))
	sys.Log.SetFault(stand.LogFault{Fault: stand.Fault{Down: true}})
	awaitStatus(sys, "big", waits("waits for the log"))
	sys.Log.SetFault(stand.LogFault{})
	sys.Set(big, "group.enabled", false)
	awaitStatus(sys, "big", func(got *oper.GroupStatus) bool { return got == nil })

	var gone *stand.Engine
	awaitStatus(sys, grp, func(got *oper.GroupStatus) bool {
		gone = sys.Engines[got.Members[1]]
		return true
	})
	gone.SetFault(stand.EngineFault{Die: true})
	awaitStatus(sys, grp, func(got *oper.GroupStatus) bool {
		return got.Code == core.CodeMemberMissing && strings.HasPrefix(got.Why, "member ")
	})
	sys.Set(pth, "group.enabled", false)
	awaitStatus(sys, grp, func(got *oper.GroupStatus) bool {
		return got != nil && got.Phase == core.PhaseRetired && got.Code == core.CodeOK && got.Why == "draining: not wanted"
	})
	gone.SetFault(stand.EngineFault{})
	awaitStatus(sys, grp, func(got *oper.GroupStatus) bool { return got == nil })
	sta, err := sys.Status(sys.EntryVMs[0])
	assert.NilError(t, err)
	assert.Equal(t, len(sta.Quarantine), 0)
}

// TestQuarantineStatus lists a request that crashed two groups at every entry
// VM, also at those that saw no crash, and no request that ran beside it.
func TestQuarantineStatus(t *testing.T) {
	t.Parallel()
	const poison = "poison"
	sys := nodets.Start(t, nodets.Config{})
	for _, eng := range sys.Engines {
		eng.SetFault(stand.EngineFault{CrashOn: poison, ReviveAfter: stand.Span(50 * time.Millisecond)})
	}
	sys.Await(func(poll.LogT) poll.Result {
		ans := sys.Complete(context.Background(), sys.EntryVMs[0], poison, 5, nil)
		if ans.Code != core.CodeQuarantined {
			return poll.Continue("%+v", ans)
		}
		return poll.Success()
	})
	completes(sys, sys.EntryVMs[0], "bystander")
	for _, mem := range sys.EntryVMs {
		var got []oper.Quarantined
		sys.Await(func(poll.LogT) poll.Result {
			sta, err := sys.Status(mem)
			if err != nil || len(sta.Quarantine) == 0 {
				return poll.Continue("%s lists nothing: %v", mem.Name, err)
			}
			got = sta.Quarantine
			return poll.Success()
		})
		assert.Equal(t, len(got), 1)
		assert.Assert(t, got[0].Crashes >= 2, "%+v", got)
	}
}
