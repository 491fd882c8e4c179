package node

import (
	"context"
	"sync"

	"kumquathinge/core"
)

// stopper counts the requests in progress and tells how far a planned stop has
// got: first the node turns unready, then it refuses requests, then it waits
// for those in progress.
type stopper struct {
	mu      sync.Mutex
	unready bool
	shut    bool
	open    int
	idle    chan struct{}
}

// newStopper returns a stopper of a node that serves.
func newStopper() *stopper { return &stopper{idle: make(chan struct{})} }

// enter counts a request that begins and returns the function that ends it.
// Its error carries core.CodeDraining.
func (stp *stopper) enter() (func(), error) {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	if stp.shut {
		return nil, core.Errorf(core.CodeDraining, "this entry VM is stopping")
	}
	stp.open++
	return stp.leave, nil
}

// leave ends a request.
func (stp *stopper) leave() {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	stp.open--
	stp.signal()
}

// signal tells wait that nothing is in progress any more.
func (stp *stopper) signal() {
	if stp.shut && stp.open == 0 {
		close(stp.idle)
	}
}

// count returns the number of requests in progress.
func (stp *stopper) count() int {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	return stp.open
}

// notice turns the node unready.
func (stp *stopper) notice() {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	stp.unready = true
}

// close refuses new requests. It panics if it is called twice.
func (stp *stopper) close() {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	if stp.shut {
		panic("node: stopper closed twice")
	}
	stp.unready = true
	stp.shut = true
	stp.signal()
}

// stopping reports whether the node has turned unready.
func (stp *stopper) stopping() bool {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	return stp.unready
}

// closed reports whether new requests are refused.
func (stp *stopper) closed() bool {
	stp.mu.Lock()
	defer stp.mu.Unlock()
	return stp.shut
}

// wait waits until no request is in progress. Its error carries
// core.CodeStopBound if ctx ends first.
func (stp *stopper) wait(ctx context.Context) error {
	select {
	case <-stp.idle:
		return nil
	case <-ctx.Done():
		return core.Errorf(core.CodeStopBound, "%d requests are in progress at the stop's bound", stp.count())
	}
}
