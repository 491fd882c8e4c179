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

// TestOperatorsRace lets two operators change one setting from the same base
// version through entry VMs of two zones. One change must be accepted and come
// into force everywhere; the other operator must get an error that names the
// first.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	const rounds = 10
	const path, key = "/orgs/andes", "org.concurrency"
	operators := []nodets.Operator{{Name: "ana", Key: "key-a"}, {Name: "bob", Key: "key-b"}}
	sys := nodets.Start(t, nodets.Config{Operators: operators})
	entries := []*nodets.EntryVM{sys.EntryVMs[0], sys.EntryVMs[2]}
	for round := range rounds {
		base := awaitSameVersion(sys, entries, path)
		var receipts [2]oper.Receipt
		var failures [2]*oper.Failure
		var errs [2]error
		var wg sync.WaitGroup
		for idx, entry := range entries {
			val := strconv.Itoa(100 + 2*round + idx)
			wg.Go(func() {
				change := oper.Change{Path: path, Key: key, Value: []byte(val), Base: &base}
				receipts[idx], failures[idx], errs[idx] = sys.ChangeSetting(entry, operators[idx].Key, change)
			})
		}
		wg.Wait()
		assert.NilError(t, errs[0])
		assert.NilError(t, errs[1])
		assert.Assert(t, (failures[0] == nil) != (failures[1] == nil), "one is accepted: %+v %+v", failures[0], failures[1])
		first, second := 0, 1
		if failures[0] != nil {
			first, second = 1, 0
		}
		assert.Equal(t, receipts[first].State, oper.StateAccepted)
		failure := failures[second]
		assert.Equal(t, failure.Code, core.CodeSettingRaced)
		assert.Equal(t, failure.State, oper.StateRejected)
		assert.Equal(t, failure.Error, fmt.Sprintf("%s was changed by %s at offset %d, this change was made from offset %d",
			path, operators[first].Name, receipts[first].Offset, base))
		for _, entry := range sys.EntryVMs {
			awaitSetting(sys, entry, path, key, strconv.Itoa(100+2*round+first))
		}
	}
}

// awaitSameVersion waits until the entry VMs have the same version of a node
// of the settings tree, and returns it.
func awaitSameVersion(sys *nodets.System, entries []*nodets.EntryVM, path string) core.Offset {
	var out core.Offset
	sys.Await(func(poll.LogT) poll.Result {
		var versions [2]core.Offset
		for idx, entry := range entries {
			got, err := sys.Settings(entry, path)
			if err != nil {
				return poll.Continue("%v", err)
			}
			versions[idx] = got.Version
		}
		if versions[0] != versions[1] {
			return poll.Continue("versions %v", versions)
		}
		out = versions[0]
		return poll.Success()
	})
	return out
}
