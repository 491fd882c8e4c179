package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/flight"
)

const maxAbandonedClaims = 4096 // records

// nodeState is the state that the jobs of a node share. It is owned by the
// goroutine that received it from Server.state.
type nodeState struct {
	runningJobs     int
	suspects        *crash.Tracker
	retryBudget     *flight.RetryBudget
	cancelFuncs     map[core.GroupName]map[core.AttemptID]context.CancelCauseFunc
	inFlight        map[core.GroupName]int
	activeClaims    map[core.RecordID]struct{}
	abandonedClaims map[core.RecordID]struct{}
	orderingQueues  map[string]*orderingQueue
	changed         chan struct{}
}

func newNodeState(cfg crash.Config, now time.Time) *nodeState {
	return &nodeState{
		suspects:        crash.New(cfg),
		retryBudget:     flight.NewRetryBudget(now),
		cancelFuncs:     make(map[core.GroupName]map[core.AttemptID]context.CancelCauseFunc),
		inFlight:        make(map[core.GroupName]int),
		activeClaims:    make(map[core.RecordID]struct{}),
		abandonedClaims: make(map[core.RecordID]struct{}),
		orderingQueues:  make(map[string]*orderingQueue),
	}
}

// nextChange returns a channel that is closed at the next change of the state.
func (st *nodeState) nextChange() <-chan struct{} {
	if st.changed == nil {
		st.changed = make(chan struct{})
	}
	return st.changed
}

// notifyChange closes the channel that nextChange returned.
func (st *nodeState) notifyChange() {
	if st.changed != nil {
		close(st.changed)
		st.changed = nil
	}
}

func (st *nodeState) jobDone() {
	st.runningJobs--
	st.notifyChange()
}

// reserveGroup records that the request runs on the group. It returns false if
// the request is in quarantine, or if it and another one there are suspect.
func (st *nodeState) reserveGroup(fingerprint uint64, grp core.GroupName, now time.Time) bool {
	decision := st.suspects.Decide(fingerprint, now)
	if decision.Disposition == crash.Quarantined {
		return false
	}
	if decision.Disposition == crash.Isolated && st.suspects.RunningSuspects(grp, now) > 0 {
		return false
	}
	st.suspects.Started(fingerprint, grp)
	st.inFlight[grp]++
	return true
}

// withoutSuspects returns the positions of candidates that run no suspect.
func (st *nodeState) withoutSuspects(cands []core.Candidate, positions []int, now time.Time) []int {
	out := make([]int, 0, len(positions))
	for _, pos := range positions {
		if st.suspects.RunningSuspects(cands[pos].Group, now) == 0 {
			out = append(out, pos)
		}
	}
	return out
}

// attemptEnd is how an attempt on a group ended.
type attemptEnd int

const (
	endStopped attemptEnd = iota
	endBroken
	endSilent
	endCompleted
)

// releaseGroup undoes reserveGroup and records how the attempt ended.
func (st *nodeState) releaseGroup(fingerprint uint64, grp core.GroupName, ending attemptEnd, now time.Time) {
	switch ending {
	case endStopped:
		st.suspects.Stopped(fingerprint, grp)
	case endBroken:
		st.suspects.ConnBroken(fingerprint, grp, now)
	case endSilent:
		st.suspects.ConnSilent(fingerprint, grp, now)
	case endCompleted:
		st.suspects.Completed(fingerprint, grp, now)
	}
	st.inFlight[grp]--
	if st.inFlight[grp] == 0 {
		delete(st.inFlight, grp)
	}
	st.notifyChange()
}

func (st *nodeState) inFlightByGroup() map[core.GroupName]int {
	out := make(map[core.GroupName]int, len(st.inFlight))
	for grp, num := range st.inFlight {
		out[grp] = num
	}
	return out
}

func (st *nodeState) addCancel(grp core.GroupName, id core.AttemptID, cancel context.CancelCauseFunc) {
	if st.cancelFuncs[grp] == nil {
		st.cancelFuncs[grp] = make(map[core.AttemptID]context.CancelCauseFunc)
	}
	st.cancelFuncs[grp][id] = cancel
}

func (st *nodeState) removeCancel(grp core.GroupName, id core.AttemptID) {
	delete(st.cancelFuncs[grp], id)
	if len(st.cancelFuncs[grp]) == 0 {
		delete(st.cancelFuncs, grp)
	}
}

func (st *nodeState) cancelFuncsOf(groups []core.GroupName) []context.CancelCauseFunc {
	var out []context.CancelCauseFunc
	for _, grp := range groups {
		for _, cancel := range st.cancelFuncs[grp] {
			out = append(out, cancel)
		}
	}
	return out
}

// abandonClaim records that the claim will certainly not be dispatched.
func (st *nodeState) abandonClaim(id core.RecordID) {
	for old := range st.abandonedClaims {
		if len(st.abandonedClaims) < maxAbandonedClaims {
			break
		}
		delete(st.abandonedClaims, old)
	}
	st.abandonedClaims[id] = struct{}{}
}
