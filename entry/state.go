package entry

import (
	"sync/atomic"
	"time"

	"kumquathinge/core/site"
)

// sharedState holds the values that tasks publish to each other. The values are
// immutable.
type sharedState struct {
	table   atomic.Pointer[site.Table]
	view    atomic.Pointer[site.View]
	cluster atomic.Pointer[clusterState]
	// evacuations is newer than that of the view for a moment after a change.
	evacuations atomic.Pointer[site.Evacuations]
	// changed wakes the orderer.
	changed chan struct{}
}

func newSharedState() *sharedState {
	state := &sharedState{changed: make(chan struct{}, 1)}
	state.view.Store(site.NewView(map[string]*site.Server{}, nil))
	state.cluster.Store(&clusterState{})
	state.evacuations.Store(&site.Evacuations{})
	return state
}

// wakeOrderer signals the orderer that a value changed. It does not block.
func (state *sharedState) wakeOrderer() {
	select {
	case state.changed <- struct{}{}:
	default:
	}
}

// nodeRecord is the record that a node writes to the nodes topic.
type nodeRecord struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Incarnation identifies one run of the process: its start in Unix
	// nanoseconds.
	Incarnation int64 `json:"life"`
}

// clusterState is the content of the nodes topic: the registered nodes and the
// orderer.
type clusterState struct {
	nodes map[string]nodeRecord
	// orderer is the record of the current orderer. Its term is positive, or
	// zero if there is none.
	orderer nodeRecord
	term    int64
	// highestTerm is the highest term that this node has read, in any era.
	highestTerm int64
	// lapsedOrderer is the last orderer of the previous era of the store, whose
	// record doesn't count any more.
	lapsedOrderer nodeRecord
	// settledEra is an era of the store in which an orderer has acted after the
	// entries of the servers were written again.
	settledEra int64
	// end is the end of the topic up to which it was read.
	end site.Position
	// ordererSince is the time at which this node read the orderer's record.
	ordererSince time.Time
}

// storeHealth tracks the availability of the store. Its atomic times are in
// nanoseconds since startedAt.
type storeHealth struct {
	// lastResponseAt is the time of the last successful response.
	lastResponseAt atomic.Int64
	// recoveredAt is the time of the first successful response after an outage
	// of at least minExpiryOutage.
	recoveredAt atomic.Int64
	// down is set while the store is unavailable.
	down            atomic.Bool
	outageStartedAt atomic.Int64
	startedAt       time.Time
	// nodesReadAt is the time at which the last successful read of the nodes
	// topic was sent.
	nodesReadAt atomic.Int64
	// era is the latest era of the store that this node has read records of, and
	// eraSeenAt when it first did.
	era, eraSeenAt atomic.Int64
	// restored is set if this node has read records of an earlier era.
	restored atomic.Bool
}

// recordEra records that this node has read records of an era. restored is set if it
// had read records of an earlier one: the return of a store from an older copy counts
// as the end of an outage, however short.
func (health *storeHealth) recordEra(era int64, restored bool, now time.Time) {
	if era <= health.era.Load() {
		return
	}
	health.era.Store(era)
	elapsed := health.elapsed(now)
	health.eraSeenAt.Store(elapsed)
	if restored {
		health.restored.Store(true)
		health.recoveredAt.Store(elapsed)
	}
}

// restoredWithin reports whether the store came back from an older copy, as far as
// this node has seen it, within the duration before now.
func (health *storeHealth) restoredWithin(dur time.Duration, now time.Time) bool {
	return health.restored.Load() && health.sinceEra(now) < dur
}

// sinceEra returns the time since this node first read records of the latest era.
func (health *storeHealth) sinceEra(now time.Time) time.Duration {
	return time.Duration(health.elapsed(now) - health.eraSeenAt.Load())
}

func newStoreHealth(now time.Time) *storeHealth {
	health := &storeHealth{startedAt: now}
	health.recoveredAt.Store(-int64(time.Hour))
	return health
}

// elapsed returns the monotonic time since the start in nanoseconds, at least 1.
func (health *storeHealth) elapsed(now time.Time) int64 {
	return max(1, int64(now.Sub(health.startedAt)))
}

// minExpiryOutage is the shortest outage after which registrations may have
// expired because servers could not renew them: one of their heartbeats is
// missing by then.
const minExpiryOutage = 900 * time.Millisecond

// recordSuccess records a successful response. It reports whether that ended an
// outage.
func (health *storeHealth) recordSuccess(now time.Time) bool {
	elapsed := int64(now.Sub(health.startedAt))
	health.lastResponseAt.Store(elapsed)
	if !health.down.CompareAndSwap(true, false) {
		return false
	}
	if time.Duration(elapsed-health.outageStartedAt.Load()) >= minExpiryOutage {
		health.recoveredAt.Store(elapsed)
	}
	return true
}

// recordFailure records a failed call. It reports whether that started an
// outage.
func (health *storeHealth) recordFailure() bool {
	if !health.down.CompareAndSwap(false, true) {
		return false
	}
	health.outageStartedAt.Store(health.lastResponseAt.Load())
	return true
}

// confirmTerm records a successful read of the nodes topic that was sent at the
// given time.
func (health *storeHealth) confirmTerm(sentAt time.Time) {
	health.nodesReadAt.Store(int64(sentAt.Sub(health.startedAt)))
}

// termConfirmedAt returns when the last successful read of the nodes topic was
// sent.
func (health *storeHealth) termConfirmedAt() time.Time {
	return health.startedAt.Add(time.Duration(health.nodesReadAt.Load()))
}

// unavailableFor returns the time since the last successful response, or since
// the start if there is none. It is zero if no call has failed since that
// response.
func (health *storeHealth) unavailableFor(now time.Time) time.Duration {
	if !health.down.Load() && health.lastResponseAt.Load() > 0 {
		return 0
	}
	return now.Sub(health.startedAt) - time.Duration(health.lastResponseAt.Load())
}

// sinceRecovery returns the time since the end of the last outage of at least
// minExpiryOutage.
func (health *storeHealth) sinceRecovery(now time.Time) time.Duration {
	return now.Sub(health.startedAt) - time.Duration(health.recoveredAt.Load())
}
