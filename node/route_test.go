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

// TestBlocksMatchEngine checks that the router computes the same prefix blocks
// as an engine reports.
func TestBlocksMatchEngine(t *testing.T) {
	prompt := strings.Repeat("prefix ", 300)
	assert.DeepEqual(t, route.Blocks(prompt, stand.BlockBytes), stand.Blocks(prompt))
}

// TestPrefixAffinity sends prompts with one long prefix while two groups of
// the zone are idle. All of them must go to the group that has the prefix in
// its cache.
func TestPrefixAffinity(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{
		Groups: map[string]core.Zone{"alerts-1": "z1", "alerts-2": "z1"},
	})
	prefix := strings.Repeat("the same case file ", 100)
	const num = 20
	for idx := range num {
		resp := sys.Complete(context.Background(), sys.EntryVMs[0], prefix+strings.Repeat("x", idx), 4, nil)
		assert.Assert(t, resp.Complete, "%+v", resp)
	}
	busy := 0
	for _, eng := range sys.Engines {
		if len(eng.Count().ByRequest) > 0 {
			busy++
		}
	}
	assert.Equal(t, busy, 1)
}

// TestStragglerAvoided slows down one of four groups and sends requests until
// it gets at most maxSlow of a batch.
func TestStragglerAvoided(t *testing.T) {
	t.Parallel()
	const slowGroup = "alerts-1"
	sys := nodets.Start(t, nodets.Config{
		GroupSize: 1,
		Groups:    map[string]core.Zone{slowGroup: "z1", "alerts-2": "z1", "alerts-3": "z1", "alerts-4": "z1"},
		Settings: map[string]map[string]any{
			"/orgs/" + string(nodets.Org): {"org.requests_per_second": 10000},
		},
	})
	status, err := sys.Status(sys.EntryVMs[0])
	assert.NilError(t, err)
	idx := slices.IndexFunc(status.Groups, func(group oper.GroupStatus) bool { return group.Name == slowGroup })
	slowEngine := sys.Engines[status.Groups[idx].Members[0]]
	slowEngine.SetFault(stand.EngineFault{Fault: stand.Fault{Delay: stand.Span(100 * time.Millisecond)}})
	const batch, maxSlow = 60, 3
	sys.Await(func(poll.LogT) poll.Result {
		before := len(slowEngine.Count().ByRequest)
		for range batch {
			resp := sys.Complete(context.Background(), sys.EntryVMs[0], "short", 2, nil)
			if !resp.Complete {
				return poll.Continue("incomplete: %+v", resp)
			}
		}
		if got := len(slowEngine.Count().ByRequest) - before; got > maxSlow {
			return poll.Continue("%d of %d requests went to the slow group", got, batch)
		}
		return poll.Success()
	})
}
