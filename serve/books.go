package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/crash"
	"kumquathinge/core/flight"
)

const maxAbandoned = 4096 // records

// books is what the jobs of a node share. Its owner is who took it from the
// Server's channel.
type books struct {
	jobs      int
	suspects  *crash.Tracker
	budget    *flight.RetryBudget
	cuts      map[core.GroupName]map[core.AttemptID]context.CancelCauseFunc
	flying    map[core.GroupName]int
	live      map[core.RecordID]struct{}
	abandoned map[core.RecordID]struct{}
	lines     map[string]*line
	change    chan struct{}
}

func newBooks(cfg crash.Config, now time.Time) *books {
	return &books{
		suspects:  crash.New(cfg),
		budget:    flight.NewRetryBudget(now),
		cuts:      make(map[core.GroupName]map[core.AttemptID]context.CancelCauseFunc),
		flying:    make(map[core.GroupName]int),
		live:      make(map[core.RecordID]struct{}),
		abandoned: make(map[core.RecordID]struct{}),
		lines:     make(map[string]*line),
	}
}

// wait returns a channel that closes at the next change.
func (boo *books) wait() <-chan struct{} {
	if boo.change == nil {
		boo.change = make(chan struct{})
	}
	return boo.change
}

// changed wakes who waits.
func (boo *books) changed() {
	if boo.change != nil {
		close(boo.change)
		boo.change = nil
	}
}

func (boo *books) jobDone() {
	boo.jobs--
	boo.changed()
}

// reserve notes that the print runs on the group. It reports false if the
// print is suspect and another suspect runs there.
func (boo *books) reserve(print uint64, grp core.GroupName, now time.Time) bool {
	dec := boo.suspects.Decide(print, now)
	if dec.Verdict == crash.Quarantined {
		return false
	}
	if dec.Verdict == crash.Isolated && boo.suspects.RunningSuspects(grp, now) > 0 {
		return false
	}
	boo.suspects.Started(print, grp)
	boo.flying[grp]++
	return true
}

// calm returns those of the positions whose candidates run no suspect.
func (boo *books) calm(cands []core.Candidate, poss []int, now time.Time) []int {
	out := make([]int, 0, len(poss))
	for _, pos := range poss {
		if boo.suspects.RunningSuspects(cands[pos].Group, now) == 0 {
			out = append(out, pos)
		}
	}
	return out
}

// ending tells how a run on a group ended.
type ending int

const (
	endStopped ending = iota
	endBroken
	endSilent
	endCompleted
)

// release takes back what reserve noted.
func (boo *books) release(print uint64, grp core.GroupName, how ending, now time.Time) {
	switch how {
	case endStopped:
		boo.suspects.Stopped(print, grp)
	case endBroken:
		boo.suspects.ConnBroken(print, grp, now)
	case endSilent:
		boo.suspects.ConnSilent(print, grp, now)
	case endCompleted:
		boo.suspects.Completed(print, grp, now)
	}
	boo.flying[grp]--
	if boo.flying[grp] == 0 {
		delete(boo.flying, grp)
	}
	boo.changed()
}

func (boo *books) inFlight() map[core.GroupName]int {
	out := make(map[core.GroupName]int, len(boo.flying))
	for grp, num := range boo.flying {
		out[grp] = num
	}
	return out
}

func (boo *books) addCut(grp core.GroupName, id core.AttemptID, cut context.CancelCauseFunc) {
	if boo.cuts[grp] == nil {
		boo.cuts[grp] = make(map[core.AttemptID]context.CancelCauseFunc)
	}
	boo.cuts[grp][id] = cut
}

func (boo *books) dropCut(grp core.GroupName, id core.AttemptID) {
	delete(boo.cuts[grp], id)
	if len(boo.cuts[grp]) == 0 {
		delete(boo.cuts, grp)
	}
}

func (boo *books) cutsOf(grps []core.GroupName) []context.CancelCauseFunc {
	var out []context.CancelCauseFunc
	for _, grp := range grps {
		for _, cut := range boo.cuts[grp] {
			out = append(out, cut)
		}
	}
	return out
}

// abandon notes that the claim with the record surely is not dispatched.
func (boo *books) abandon(rec core.RecordID) {
	for old := range boo.abandoned {
		if len(boo.abandoned) < maxAbandoned {
			break
		}
		delete(boo.abandoned, old)
	}
	boo.abandoned[rec] = struct{}{}
}
