package node

import (
	"context"
	"sync"

	"kumquathinge/core"
)

// drainTracker counts the in-flight requests and tracks the steps of a planned
// stop: first the node becomes unready, then it refuses new requests, then it
// waits for those in flight.
type drainTracker struct {
	mu       sync.Mutex
	unready  bool
	refusing bool
	active   int
	drained  chan struct{}
}

// newDrainTracker returns a tracker of a node that accepts requests.
func newDrainTracker() *drainTracker { return &drainTracker{drained: make(chan struct{})} }

// begin counts a new request and returns the function to call at its end. Its
// error carries core.CodeDraining.
func (tracker *drainTracker) begin() (func(), error) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.refusing {
		return nil, core.Errorf(core.CodeDraining, "this entry VM is stopping")
	}
	tracker.active++
	return tracker.end, nil
}

// end marks the end of a request.
func (tracker *drainTracker) end() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.active--
	tracker.signalDrained()
}

// signalDrained wakes wait if no request is in flight and none can follow.
func (tracker *drainTracker) signalDrained() {
	if tracker.refusing && tracker.active == 0 {
		close(tracker.drained)
	}
}

// inFlight returns the number of in-flight requests.
func (tracker *drainTracker) inFlight() int {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.active
}

// markUnready makes the node unready.
func (tracker *drainTracker) markUnready() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	tracker.unready = true
}

// close makes the node refuse new requests. It panics if called twice.
func (tracker *drainTracker) close() {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.refusing {
		panic("node: drain tracker closed twice")
	}
	tracker.unready = true
	tracker.refusing = true
	tracker.signalDrained()
}

// stopping reports whether the node has become unready.
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

// wait waits until no request is in flight. Its error carries
// core.CodeStopBound if ctx ends first.
func (tracker *drainTracker) wait(ctx context.Context) error {
	select {
	case <-tracker.drained:
		return nil
	case <-ctx.Done():
		return core.Errorf(core.CodeStopBound, "%d requests are still in flight at the stop timeout", tracker.inFlight())
	}
}
