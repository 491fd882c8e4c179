package node_test

import (
	"strings"
	"testing"

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
		sta, err := sys.Status(sys.Members[0])
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
	sta, err := sys.Status(sys.Members[0])
	assert.NilError(t, err)
	assert.Equal(t, len(sta.Quarantine), 0)
}
