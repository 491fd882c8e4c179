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

// TestNoUpdateIsLost: operators at three stores raise one counter at once, over
// a log that refuses, loses answers and repeats. The counter ends at the number
// of raises that were accepted.
func TestNoUpdateIsLost(tst *testing.T) {
	rig := newRig(tst)
	const writers, each = 3, 12
	var strs []*store.Store
	for idx := range writers {
		str, cli := rig.start(core.NodeName(fmt.Sprint("n", idx)), strs...)
		for range each {
			cli.InjectFaults(logfk.FaultNone, logfk.FaultResponseLost, logfk.FaultRefused, logfk.FaultDuplicated, logfk.FaultRequestLost)
		}
		strs = append(strs, str)
	}
	raised := make([]int, writers)
	var grp sync.WaitGroup
	for idx, str := range strs {
		grp.Go(func() {
			for num := range each {
				raised[idx] += raise(tst, rig.ctx, str, core.RecordID(fmt.Sprintf("w%d.%d", idx, num)))
			}
		})
	}
	grp.Wait()
	sum := 0
	for _, num := range raised {
		sum += num
	}
	assert.Assert(tst, sum > 0)
	for _, str := range strs {
		rig.until(str, func() bool { return str.View().Offset()+1 == rig.lgs.NextOffset() })
		assert.Equal(tst, str.View().Tree().Config("/").Int("queue.depth"), sum)
		assert.Equal(tst, str.Status().Hash, strs[0].Status().Hash)
	}
}

// raise proposes to raise the counter by one, once, and returns 1 if that took
// effect.
func raise(tst *testing.T, ctx context.Context, str *store.Store, id core.RecordID) int {
	vie := str.View()
	num := 0
	if val, ok := vie.Tree().Lookup("/", "queue.depth"); ok {
		_, _ = fmt.Sscan(string(val.Raw), &num)
	}
	rec := setting("/", "queue.depth", fmt.Sprint(num+1), vie.Tree().Version("/"))
	rec.ID = id
	cal, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	vers, err := str.Propose(cal, rec)
	if core.CodeOf(err) == core.CodeLogRefused {
		return 0
	}
	assert.Check(tst, err == nil, "%v", err)
	if err == nil && vers[0].Accepted() {
		return 1
	}
	return 0
}
