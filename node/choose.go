package node

import (
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/route"
)

// chooser makes a router safe for the concurrent tasks of requests.
type chooser struct {
	mu  sync.Mutex
	rtr *route.Router
}

var _ core.Chooser = (*chooser)(nil)

// Choose picks a candidate; see core.Chooser.
func (cho *chooser) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	cho.mu.Lock()
	defer cho.mu.Unlock()
	return cho.rtr.Choose(cands, blocks, now, rnd)
}
