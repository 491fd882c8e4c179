package node

import (
	"context"
	"sync"

	"kumquathinge/core"
)

// drainTracker counts the requests in progress and tells how far a planned stop has
// got: first the node turns unready, then it refuses requests, then it waits
// for those in progress.
type drainTracker struct {
	mu       sync.Mutex
	unready  bool
	refusing bool
	active   int
	drained  chan struct{}
}

// newDrainTracker returns a stopper of a node that serves.
func newDrainTracker() *drainTracker { return &drainTracker{drained: make(chan struct{})} }

// begin counts a request that begins and returns the function that ends it.
// Its error carries core.CodeDraining.
func (tracker *drainTracker) begin() (func(), error) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.refusing {
		return nil, core.Errorf(core.CodeDraining, "this entry VM is stopping")
	}
	tracker.active++
	return tracker.end, nil
}

// end ends a request.
func (tracker *drainTracker) end() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.active--
	tracker.signalDrained()
}

// signalDrained tells wait that nothing is in progress any more.
func (tracker *drainTracker) signalDrained() {
	if tracker.refusing && tracker.active == 0 {
		close(tracker.drained)
	}
}

// inFlight returns the number of requests in progress.
func (tracker *drainTracker) inFlight() int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.active
}

// markUnready turns the node unready.
func (tracker *drainTracker) markUnready() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.unready = true
}

// close refuses new requests. It panics if it is called twice.
func (tracker *drainTracker) close() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.refusing {
		panic("node: stopper closed twice")
	}
	tracker.unready = true
	tracker.refusing = true
	tracker.signalDrained()
}

// stopping reports whether the node has turned unready.
func (tracker *drainTracker) stopping() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.unready
}

// closed reports whether new requests are refused.
func (tracker *drainTracker) closed() bool {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.refusing
}

// wait waits until no request is in progress. Its error carries
// core.CodeStopBound if ctx ends first.
func (tracker *drainTracker) wait(ctx context.Context) error {
	select {
	case <-tracker.drained:
		return nil
	case <-ctx.Done():
		return core.Errorf(core.CodeStopBound, "%d requests are in progress at the stop's bound", tracker.inFlight())
	}
}
