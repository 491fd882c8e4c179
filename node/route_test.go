package node_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/core/route"
	"kumquathinge/io/oper"
	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// TestBlocksAreTheEngines holds the router's prefix blocks against those that
// an engine tells of.
func TestBlocksAreTheEngines(t *testing.T) {
	prompt := strings.Repeat("prefix ", 300)
	assert.DeepEqual(t, route.Blocks(prompt, stand.BlockBytes), stand.Blocks(prompt))
}

// TestPrefixAffinity sends prompts with one long prefix: with two free groups
// in the zone, all of them go to the group that has it in its cache.
func TestPrefixAffinity(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{
		Groups: map[string]core.Zone{"alerts-1": "z1", "alerts-2": "z1"},
	})
	prefix := strings.Repeat("the same case file ", 100)
	const num = 20
	for idx := range num {
		ans := sys.Complete(context.Background(), sys.EntryVMs[0], prefix+strings.Repeat("x", idx), 4, nil)
		assert.Assert(t, ans.Complete, "%+v", ans)
	}
	busy := 0
	for _, eng := range sys.Engines {
		if len(eng.Count().ByRequest) > 0 {
			busy++
		}
	}
	assert.Equal(t, busy, 1)
}

// TestStragglerAvoided slows one of four groups down and sends requests until
// it gets hardly any of them.
func TestStragglerAvoided(t *testing.T) {
	t.Parallel()
	const grp = "alerts-1"
	sys := nodets.Start(t, nodets.Config{
		GroupSize: 1,
		Groups:    map[string]core.Zone{grp: "z1", "alerts-2": "z1", "alerts-3": "z1", "alerts-4": "z1"},
		Settings: map[string]map[string]any{
			"/orgs/" + string(nodets.Org): {"org.requests_per_second": 10000},
		},
	})
	sta, err := sys.Status(sys.EntryVMs[0])
	assert.NilError(t, err)
	idx := slices.IndexFunc(sta.Groups, func(one oper.GroupStatus) bool { return one.Name == grp })
	slow := sys.Engines[sta.Groups[idx].Members[0]]
	slow.SetFault(stand.EngineFault{Fault: stand.Fault{Delay: stand.Span(100 * time.Millisecond)}})
	const round, most = 60, 3
	sys.Await(func(poll.LogT) poll.Result {
		before := len(slow.Count().ByRequest)
		for range round {
			ans := sys.Complete(context.Background(), sys.EntryVMs[0], "short", 2, nil)
			if !ans.Complete {
				return poll.Continue("not whole: %+v", ans)
			}
		}
		if got := len(slow.Count().ByRequest) - before; got > most {
			return poll.Continue("%d of %d requests went to the straggler", got, round)
		}
		return poll.Success()
	})
}
