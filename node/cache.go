package node

import (
	"context"
	"sync"
	"time"

	"kumquathinge/core"
)

// Timing of the polls for cache events.
const (
	cacheInterval = time.Second
	cacheTimeout  = time.Second
)

// cacheEventPoller is the task that polls the leader of each group of the zone
// for prefix cache events and passes them to the router.
type cacheEventPoller struct {
	state   func() *clusterState
	prober  *engineProber
	router  *sharedRouter
	cursors map[core.VMName]cacheCursor
}

// cacheCursor is the position of the last event read from a leader under one
// assignment.
type cacheCursor struct {
	fencingToken core.Offset
	seq          uint64
}

// leaderEvents are the new events of one leader.
type leaderEvents struct {
	assignment core.Assignment
	events     []core.CacheEvent
}

// newCacheEventPoller returns a poller that has read no event.
func newCacheEventPoller(state func() *clusterState, prober *engineProber, router *sharedRouter) *cacheEventPoller {
	return &cacheEventPoller{state: state, prober: prober, router: router, cursors: make(map[core.VMName]cacheCursor)}
}

// run polls at every interval until ctx ends.
func (cachePoller *cacheEventPoller) run(ctx context.Context) error {
	return runEvery(ctx, cacheInterval, func() { cachePoller.pollAll(ctx) })
}

// pollAll polls every leader once, all at the same time.
func (cachePoller *cacheEventPoller) pollAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
	defer cancel()
	var wg sync.WaitGroup
	assignments := cachePoller.state().zoneAssignments
	got := make([]leaderEvents, len(assignments))
	for idx, assignment := range assignments {
		if assignment.Phase != core.PhaseAssigned {
			continue
		}
		afterSeq := cachePoller.cursor(assignment).seq
		wg.Go(func() {
			got[idx] = leaderEvents{assignment: assignment, events: cachePoller.fetch(ctx, assignment, afterSeq)}
		})
	}
	wg.Wait()
	for _, leader := range got {
		cachePoller.apply(leader)
	}
}

// cursor returns the position after which to read from the assignment's
// leader; it starts anew with each assignment.
func (cachePoller *cacheEventPoller) cursor(assignment core.Assignment) cacheCursor {
	cursor := cachePoller.cursors[assignment.VMs[0]]
	if cursor.fencingToken != assignment.FencingToken {
		return cacheCursor{fencingToken: assignment.FencingToken}
	}
	return cursor
}

// fetch returns a leader's new events, or none if the request fails.
func (cachePoller *cacheEventPoller) fetch(ctx context.Context, assignment core.Assignment, afterSeq uint64) []core.CacheEvent {
	eng, err := cachePoller.prober.engine(assignment.VMs[0])
	if err != nil {
		return nil
	}
	events, err := eng.CacheEvents(ctx, afterSeq)
	if err != nil {
		return nil
	}
	return events
}

// apply passes a leader's events to the router and advances the cursor.
func (cachePoller *cacheEventPoller) apply(leader leaderEvents) {
	if len(leader.events) == 0 {
		return
	}
	cursor := cachePoller.cursor(leader.assignment)
	for _, event := range leader.events {
		cursor.seq = max(cursor.seq, event.Seq)
	}
	cachePoller.cursors[leader.assignment.VMs[0]] = cursor
	cachePoller.router.applyCacheEvents(leader.assignment.Group, leader.events)
}
