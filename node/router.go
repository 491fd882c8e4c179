package node

import (
	"context"
	"sync"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/route"
)

// sharedRouter makes a router safe for concurrent requests and reports to it
// how the requests that it placed ended.
type sharedRouter struct {
	mu    sync.Mutex
	inner *route.Router
	now   func() time.Time
}

var _ core.Chooser = (*sharedRouter)(nil)

// newSharedRouter returns a router without any group.
func newSharedRouter(now func() time.Time) *sharedRouter {
	return &sharedRouter{inner: route.New(route.Config{}), now: now}
}

// Choose picks a candidate; see core.Chooser.
func (router *sharedRouter) Choose(cands []core.Candidate, blocks []uint64, now time.Time, rnd uint64) int {
	router.mu.Lock()
	defer router.mu.Unlock()
	return router.inner.Choose(cands, blocks, now, rnd)
}

// recordSuccess records a complete response and its time to the first token.
func (router *sharedRouter) recordSuccess(group core.GroupName, first time.Duration) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.inner.Served(group, first, router.now())
}

// recordFailure records a request that ended without a complete response.
func (router *sharedRouter) recordFailure(group core.GroupName) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.inner.Failed(group, router.now())
}

// applyCacheEvents updates the router's view of a group's prefix cache.
func (router *sharedRouter) applyCacheEvents(group core.GroupName, events []core.CacheEvent) {
	router.mu.Lock()
	defer router.mu.Unlock()
	router.inner.ApplyCacheEvents(group, events)
}

// timedEngine is an engine that reports the latency and the result of its
// requests to the router.
type timedEngine struct {
	core.Engine
	router *sharedRouter
}

// Generate starts a completion and measures its response.
func (eng timedEngine) Generate(ctx context.Context, req core.GenerateRequest) (core.Stream, error) {
	startedAt := eng.router.now()
	stream, err := eng.Engine.Generate(ctx, req)
	if err != nil {
		eng.router.recordFailure(req.Group)
		return nil, err
	}
	return &timedStream{Stream: stream, router: eng.router, group: req.Group, startedAt: startedAt}, nil
}

// timedStream is a response that is measured. It must have only one reader.
type timedStream struct {
	core.Stream
	router           *sharedRouter
	group            core.GroupName
	startedAt        time.Time
	timeToFirstToken core.Option[time.Duration]
	complete         bool
	closed           bool
}

// Next returns the next chunk and records the time to the first token.
func (stream *timedStream) Next(ctx context.Context) (core.Chunk, error) {
	chunk, err := stream.Stream.Next(ctx)
	if _, ok := stream.timeToFirstToken.Get(); !ok && err == nil && !chunk.Head {
		stream.timeToFirstToken = core.Some(stream.router.now().Sub(stream.startedAt))
	}
	stream.complete = stream.complete || (err == nil && chunk.End)
	return chunk, err
}

// Close closes the response and reports its result to the router once.
func (stream *timedStream) Close() error {
	if !stream.closed {
		stream.closed = true
		stream.report()
	}
	return stream.Stream.Close()
}

// report reports the result of the response to the router.
func (stream *timedStream) report() {
	first, ok := stream.timeToFirstToken.Get()
	if ok && stream.complete {
		stream.router.recordSuccess(stream.group, first)
		return
	}
	stream.router.recordFailure(stream.group)
}
