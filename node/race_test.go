package node_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/io/oper"
	"kumquathinge/node/nodets"
)

// TestOperatorsRace lets two operators change one setting from one base through
// entry VMs of two zones. One change is accepted and in force everywhere; the
// other operator hears who was first.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const rounds = 10
	const pth, key = "/orgs/andes", "org.concurrency"
	ops := []nodets.Operator{{Name: "ana", Key: "key-a"}, {Name: "bob", Key: "key-b"}}
	sys := nodets.Start(t, nodets.Config{Operators: ops})
	mems := []*nodets.EntryVM{sys.EntryVMs[0], sys.EntryVMs[2]}
	for round := range rounds {
		base := agreed(sys, mems, pth)
		var recs [2]oper.Receipt
		var fais [2]*oper.Failure
		var errs [2]error
		var wg sync.WaitGroup
		for idx, mem := range mems {
			val := strconv.Itoa(100 + 2*round + idx)
			wg.Go(func() {
				cha := oper.Change{Path: pth, Key: key, Value: []byte(val), Base: &base}
				recs[idx], fais[idx], errs[idx] = sys.ChangeSetting(mem, ops[idx].Key, cha)
			})
		}
		wg.Wait()
		assert.NilError(t, errs[0])
		assert.NilError(t, errs[1])
		assert.Assert(t, (fais[0] == nil) != (fais[1] == nil), "one is accepted: %+v %+v", fais[0], fais[1])
		first, second := 0, 1
		if fais[0] != nil {
			first, second = 1, 0
		}
		assert.Equal(t, recs[first].State, oper.StateAccepted)
		fai := fais[second]
		assert.Equal(t, fai.Code, core.CodeSettingRaced)
		assert.Equal(t, fai.State, oper.StateRejected)
		assert.Equal(t, fai.Error, fmt.Sprintf("%s was changed by %s at offset %d, this change was made from offset %d",
			pth, ops[first].Name, recs[first].Offset, base))
		for _, mem := range sys.EntryVMs {
			inForce(sys, mem, pth, key, strconv.Itoa(100+2*round+first))
		}
	}
}

// agreed waits until the entry VMs have the same version of a node of the
// settings tree, and returns it.
func agreed(sys *nodets.System, mems []*nodets.EntryVM, pth string) core.Offset {
	var out core.Offset
	sys.Await(func(poll.LogT) poll.Result {
		var vers [2]core.Offset
		for idx, mem := range mems {
			got, err := sys.Settings(mem, pth)
			if err != nil {
				return poll.Continue("%v", err)
			}
			vers[idx] = got.Version
		}
		if vers[0] != vers[1] {
			return poll.Continue("versions %v", vers)
		}
		out = vers[0]
		return poll.Success()
	})
	return out
}
