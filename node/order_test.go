package node_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"kumquathinge/node/nodets"
	"kumquathinge/stand"
)

// TestOrderingKeyAcrossNodes sends concurrent calls with one ordering key
// through all entry VMs. The service must run them one at a time.
func TestOrderingKeyAcrossNodes(t *testing.T) {
	t.Parallel()
	sys := nodets.Start(t, nodets.Config{})
	sys.Plain.SetFault(stand.PlainFault{RunTime: stand.Span(20 * time.Millisecond)})
	const calls = 16
	responses := make([]nodets.Response, calls)
	var wg sync.WaitGroup
	for idx := range calls {
		wg.Go(func() {
			entry := sys.EntryVMs[idx%len(sys.EntryVMs)]
			responses[idx] = sys.CallInOrder(context.Background(), entry, "case 7", fmt.Sprint(idx))
		})
	}
	wg.Wait()
	for idx, resp := range responses {
		assert.Assert(t, resp.Complete, "call %d: %+v", idx, resp)
	}
	assert.Equal(t, sys.Plain.Count().Total, calls)
	assert.Equal(t, sys.Plain.Count().AtOnce, 1)
}
