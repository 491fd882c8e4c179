package node

import (
	"context"
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/route"
)

// sharedRouter makes a router safe for the concurrent tasks of requests and tells
// it how the requests that it placed end.
type sharedRouter struct {
	mu    sync.Mutex
	inner *route.Router
	now   func() time.Time
}

var _ core.Chooser = (*sharedRouter)(nil)

// newSharedRouter returns a chooser that knows no group.
func newSharedRouter(now func() time.Time) *sharedRouter {
	return &sharedRouter{inner: route.New(route.Config{}), now: now}
}

// Choose picks a candidate; see core.Chooser.
func (router *sharedRouter) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.inner.Choose(cands, blocks, now, rnd)
}

// recordSuccess tells that a request ended well after a time to its first token.
func (router *sharedRouter) recordSuccess(group core.GroupName, first time.Duration) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.inner.Served(group, first, router.now())
}

// recordFailure tells that a request ended without a whole answer.
func (router *sharedRouter) recordFailure(group core.GroupName) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.inner.Failed(group, router.now())
}

// applyCacheEvents takes in a group's cache events.
func (router *sharedRouter) applyCacheEvents(group core.GroupName, events []core.CacheEvent) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.inner.ApplyCacheEvents(group, events)
}

// timedEngine is an engine whose answers are timed for the chooser.
type timedEngine struct {
	core.Engine
	router *sharedRouter
}

// Generate asks for a completion and follows its answer.
func (eng timedEngine) Generate(ctx context.Context, req core.GenerateRequest) (core.Stream, error) {
	startedAt := eng.router.now()
	stream, err := eng.Engine.Generate(ctx, req)
	if err != nil {
		eng.router.recordFailure(req.Group)
		return nil, err
	}
	return &timedStream{Stream: stream, router: eng.router, group: req.Group, startedAt: startedAt}, nil
}

// timedStream is an answer that is timed. It has one reader.
type timedStream struct {
	core.Stream
	router           *sharedRouter
	group            core.GroupName
	startedAt        time.Time
	timeToFirstToken core.Option[time.Duration]
	complete         bool
	closed           bool
}

// Next returns the next chunk and notes when the first token came.
func (stream *timedStream) Next(ctx context.Context) (core.Chunk, error) {
	chunk, err := stream.Stream.Next(ctx)
	if _, ok := stream.timeToFirstToken.Get(); !ok && err == nil && !chunk.Head {
		stream.timeToFirstToken = core.Some(stream.router.now().Sub(stream.startedAt))
	}
	stream.complete = stream.complete || (err == nil && chunk.End)
	return chunk, err
}

// Close closes the answer and tells the chooser how it ended.
func (stream *timedStream) Close() error {
	if !stream.closed {
		stream.closed = true
		stream.report()
	}
	return stream.Stream.Close()
}

// report tells the chooser how the answer ended.
func (stream *timedStream) report() {
	first, ok := stream.timeToFirstToken.Get()
	if ok && stream.complete {
		stream.router.recordSuccess(stream.group, first)
		return
	}
	stream.router.recordFailure(stream.group)
}
