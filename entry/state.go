package entry

import (
	"sync/atomic"
	"time"

	"kumquathinge/core/site"
)

// sharedState holds what tasks publish to each other. Its values are immutable.
type sharedState struct {
	table   atomic.Pointer[site.Table]
	view    atomic.Pointer[site.View]
	cluster atomic.Pointer[clusterState]
	// changed wakes the orderer.
	changed chan struct{}
}

func newSharedState() *sharedState {
	state := &sharedState{changed: make(chan struct{}, 1)}
	state.view.Store(site.NewView(map[string]*site.Server{}, nil))
	state.cluster.Store(&clusterState{})
	return state
}

// wakeOrderer tells the orderer that something changed.
func (state *sharedState) wakeOrderer() {
	select {
	case state.changed <- struct{}{}:
	default:
	}
}

// nodeRecord is what a node says of itself in the store.
type nodeRecord struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Incarnation tells one start of the process from another.
	Incarnation int64 `json:"life"`
}

// clusterState is the nodes that the store knows, and the orderer.
type clusterState struct {
	nodes map[string]nodeRecord
	// orderer is the record of the node that orders, its term is positive.
	orderer nodeRecord
	term    int64
	// endOffset is the end of the topic that the roster was read to.
	endOffset int64
	// ordererSince is the time at which this node read of the orderer.
	ordererSince time.Time
}

// storeHealth tells since when the store answers or doesn't.
type storeHealth struct {
	// lastResponse is the time of the last answer, in nanoseconds since start.
	lastResponse atomic.Int64
	// recovered is the time of the first answer after an outage.
	recovered atomic.Int64
	// down is set while the store doesn't answer.
	down        atomic.Bool
	outageStart atomic.Int64
	start       time.Time
	// nodesRead is the start of the last good read of the nodes' topic.
	nodesRead atomic.Int64
}

func newStoreHealth(now time.Time) *storeHealth {
	health := &storeHealth{start: now}
	health.recovered.Store(-int64(time.Hour))
	return health
}

// minExpiryOutage is the time without a good answer after which entries are taken
// as possibly lapsed: a beat of a server is missing by then.
const minExpiryOutage = 900 * time.Millisecond

// recordSuccess notes an answer. It reports true at the end of an outage.
func (health *storeHealth) recordSuccess(now time.Time) bool {
	elapsed := int64(now.Sub(health.start))
	health.lastResponse.Store(elapsed)
	if !health.down.CompareAndSwap(true, false) {
		return false
	}
	if time.Duration(elapsed-health.outageStart.Load()) >= minExpiryOutage {
		health.recovered.Store(elapsed)
	}
	return true
}

// recordFailure notes a call that failed. It reports true at the start of an outage.
func (health *storeHealth) recordFailure() bool {
	if !health.down.CompareAndSwap(false, true) {
		return false
	}
	health.outageStart.Store(health.lastResponse.Load())
	return true
}

// confirmTerm notes a good read of the nodes' topic that was sent at the time.
func (health *storeHealth) confirmTerm(sent time.Time) {
	health.nodesRead.Store(int64(sent.Sub(health.start)))
}

// termConfirmedAt returns when the last good read of the nodes' topic was sent.
func (health *storeHealth) termConfirmedAt() time.Time {
	return health.start.Add(time.Duration(health.nodesRead.Load()))
}

// unavailableFor returns the time since the last answer, or since the start if there is
// none. It is zero while no call failed since the answer.
func (health *storeHealth) unavailableFor(now time.Time) time.Duration {
	if !health.down.Load() && health.lastResponse.Load() > 0 {
		return 0
	}
	return now.Sub(health.start) - time.Duration(health.lastResponse.Load())
}

// sinceRecovery returns the time since the end of the last outage.
func (health *storeHealth) sinceRecovery(now time.Time) time.Duration {
	return now.Sub(health.start) - time.Duration(health.recovered.Load())
}
