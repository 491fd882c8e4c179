package store_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/core"
	"kumquathinge/store"
	"kumquathinge/store/logfk"
)

// TestNoUpdateIsLost increments one counter concurrently through three stores,
// while the log refuses appends, loses requests and responses, and duplicates
// entries. The counter must end at the number of accepted increments.
func TestNoUpdateIsLost(t *testing.T) {
	cl := newCluster(t)
	const writers, perWriter = 3, 12
	var stores []*store.Store
	for idx := range writers {
		st, cli := cl.start(core.NodeName(fmt.Sprint("n", idx)), stores...)
		for range perWriter {
			cli.InjectFaults(logfk.FaultNone, logfk.FaultResponseLost, logfk.FaultRefused, logfk.FaultDuplicated, logfk.FaultRequestLost)
		}
		stores = append(stores, st)
	}
	accepted := make([]int, writers)
	var grp sync.WaitGroup
	for idx, st := range stores {
		grp.Go(func() {
			for num := range perWriter {
				accepted[idx] += increment(t, cl.ctx, st, core.RecordID(fmt.Sprintf("w%d.%d", idx, num)))
			}
		})
	}
	grp.Wait()
	sum := 0
	for _, num := range accepted {
		sum += num
	}
	assert.Assert(t, sum > 0)
	for _, st := range stores {
		cl.waitUntil(st, func() bool { return st.View().Offset()+1 == cl.log.NextOffset() })
		assert.Equal(t, st.View().Tree().Config("/").Int("queue.depth"), sum)
		assert.Equal(t, st.Status().Hash, stores[0].Status().Hash)
	}
}

// increment proposes to increment the counter once and returns 1 if the record
// was accepted, else 0.
func increment(t *testing.T, ctx context.Context, st *store.Store, id core.RecordID) int {
	view := st.View()
	num := 0
	if val, ok := view.Tree().Lookup("/", "queue.depth"); ok {
		_, _ = fmt.Sscan(string(val.Raw), &num)
	}
	rec := settingRecord("/", "queue.depth", fmt.Sprint(num+1), view.Tree().Version("/"))
	rec.ID = id
	callCtx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	decisions, err := st.Propose(callCtx, rec)
	if core.CodeOf(err) == core.CodeLogRefused {
		return 0
	}
	assert.Check(t, err == nil, "%v", err)
	if err == nil && decisions[0].Accepted() {
		return 1
	}
	return 0
}
