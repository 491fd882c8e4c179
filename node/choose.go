package node

import (
	"context"
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/route"
)

// chooser makes a router safe for the concurrent tasks of requests and tells
// it how the requests that it placed end.
type chooser struct {
	mu  sync.Mutex
	rtr *route.Router
	now func() time.Time
}

var _ core.Chooser = (*chooser)(nil)

// newChooser returns a chooser that knows no group.
func newChooser(now func() time.Time) *chooser {
	return &chooser{rtr: route.New(route.Config{}), now: now}
}

// Choose picks a candidate; see core.Chooser.
func (cho *chooser) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	cho.mu.Lock()
	defer cho.mu.Unlock()
	return cho.rtr.Choose(cands, blocks, now, rnd)
}

// served tells that a request ended well after a time to its first token.
func (cho *chooser) served(grp core.GroupName, first time.Duration) {
	cho.mu.Lock()
	defer cho.mu.Unlock()
	cho.rtr.Served(grp, first, cho.now())
}

// failed tells that a request ended without a whole answer.
func (cho *chooser) failed(grp core.GroupName) {
	cho.mu.Lock()
	defer cho.mu.Unlock()
	cho.rtr.Failed(grp, cho.now())
}

// cached takes in a group's cache events.
func (cho *chooser) cached(grp core.GroupName, evts []core.CacheEvent) {
	cho.mu.Lock()
	defer cho.mu.Unlock()
	cho.rtr.ApplyCacheEvents(grp, evts)
}

// timedEngine is an engine whose answers are timed for the chooser.
type timedEngine struct {
	core.Engine
	cho *chooser
}

// Generate asks for a completion and follows its answer.
func (eng timedEngine) Generate(ctx context.Context, gen core.GenerateRequest) (core.Stream, error) {
	beg := eng.cho.now()
	stm, err := eng.Engine.Generate(ctx, gen)
	if err != nil {
		eng.cho.failed(gen.Group)
		return nil, err
	}
	return &timedStream{Stream: stm, cho: eng.cho, grp: gen.Group, beg: beg}, nil
}

// timedStream is an answer that is timed. It has one reader.
type timedStream struct {
	core.Stream
	cho    *chooser
	grp    core.GroupName
	beg    time.Time
	first  core.Option[time.Duration]
	whole  bool
	closed bool
}

// Next returns the next chunk and notes when the first token came.
func (stm *timedStream) Next(ctx context.Context) (core.Chunk, error) {
	chk, err := stm.Stream.Next(ctx)
	if _, ok := stm.first.Get(); !ok && err == nil && !chk.Head {
		stm.first = core.Some(stm.cho.now().Sub(stm.beg))
	}
	stm.whole = stm.whole || (err == nil && chk.End)
	return chk, err
}

// Close closes the answer and tells the chooser how it ended.
func (stm *timedStream) Close() error {
	if !stm.closed {
		stm.closed = true
		stm.report()
	}
	return stm.Stream.Close()
}

// report tells the chooser how the answer ended.
func (stm *timedStream) report() {
	first, ok := stm.first.Get()
	if ok && stm.whole {
		stm.cho.served(stm.grp, first)
		return
	}
	stm.cho.failed(stm.grp)
}
