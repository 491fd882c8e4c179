package repair

import (
	"time"
)

// Outage is a group that can't serve because members are missing.
//
// MissingFor is the longest time for which one of them has been missing.
// RebuildTime is the expected time to rebuild the group on other VMs,
// ReloadTime the expected time for a member to load after it returned empty.
// Placeable states that there are enough VMs to rebuild the group. Leaving
// states that the members are leaving rather than missing. observedAbsences
// counts all observed absences; longerAbsences are those, observed or assumed,
// that lasted longer than MissingFor, shortest first.
type Outage struct {
	GroupSize        int
	MissingMembers   int
	MissingFor       time.Duration
	RebuildTime      time.Duration
	ReloadTime       time.Duration
	Placeable        bool
	Leaving          bool
	Settings         Settings
	observedAbsences int
	longerAbsences   []absenceRecord
}

// PendingLoads is a group with members that wait for a load order. LoadsNeeded
// is the number of these members, MissingMembers that of members that can't be
// loaded now, and WaitTime the time since the assignment was seen.
type PendingLoads struct {
	GroupSize      int
	LoadsNeeded    int
	MissingMembers int
	WaitTime       time.Duration
	Settings       Settings
}

// Policy makes the decisions that affect cost but not safety. Replace reports
// whether to retire the assignment of an incomplete group and to rebuild the
// group on other VMs. BreakUp reports whether to break up a complete group of
// the given size for it. LoadPriority returns the priority of a group that
// waits for loads; the highest is loaded first.
type Policy interface {
	Replace(outage Outage) bool
	BreakUp(outage Outage, size int) bool
	LoadPriority(pending PendingLoads) float64
}

var (
	_ Policy = CostBased{}
	_ Policy = AlwaysWait{}
	_ Policy = AlwaysRebuild{}
)

// AlwaysWait never replaces a missing member and loads groups in the order of
// their assignments. It serves as a baseline.
type AlwaysWait struct{}

// Replace returns true for leaving members only.
func (AlwaysWait) Replace(outage Outage) bool { return outage.Leaving }

// BreakUp returns false.
func (AlwaysWait) BreakUp(Outage, int) bool { return false }

// LoadPriority is the time since the assignment.
func (AlwaysWait) LoadPriority(pending PendingLoads) float64 { return pending.WaitTime.Seconds() }

// AlwaysRebuild retires a group as soon as a member is missing and rebuilds it
// when enough VMs are free. It loads groups in the order of their assignments.
// It serves as a baseline.
type AlwaysRebuild struct{}

// Replace returns true.
func (AlwaysRebuild) Replace(Outage) bool { return true }

// BreakUp returns false.
func (AlwaysRebuild) BreakUp(Outage, int) bool { return false }

// LoadPriority is the time since the assignment.
func (AlwaysRebuild) LoadPriority(pending PendingLoads) float64 { return pending.WaitTime.Seconds() }

// CostBased waits for a missing member while the observed absences make that
// cheaper than rebuilding the group.
type CostBased struct{}

// minAbsences is the number of observed absences below which Replace uses
// Settings.ReturnTimeout.
const minAbsences = 6

// Replace returns true after ReturnTimeout until minAbsences absences have been
// observed. After that, it estimates the downtime for each time at which to
// stop waiting, from the absences that lasted longer than this one, and returns
// true if the downtime is least for stopping now. It always returns false for a
// group that can't be placed.
func (CostBased) Replace(outage Outage) bool {
	if !outage.Placeable || outage.Leaving {
		return outage.Placeable
	}
	if outage.observedAbsences < minAbsences {
		return outage.MissingFor >= outage.Settings.ReturnTimeout
	}
	costNow := outage.expectedDowntime(outage.MissingFor)
	for _, absence := range outage.longerAbsences {
		if outage.expectedDowntime(absence.duration) < costNow {
			return false
		}
	}
	return true
}

// expectedDowntime returns the expected time in seconds until the group serves
// again if it is rebuilt once the absence has lasted waitUntil.
func (outage Outage) expectedDowntime(waitUntil time.Duration) float64 {
	if len(outage.longerAbsences) == 0 {
		return (waitUntil - outage.MissingFor + outage.RebuildTime).Seconds()
	}
	var sum time.Duration
	for _, absence := range outage.longerAbsences {
		switch {
		case absence.duration > waitUntil:
			sum += waitUntil - outage.MissingFor + outage.RebuildTime
		case absence.sameProcess:
			sum += absence.duration - outage.MissingFor
		default:
			sum += absence.duration - outage.MissingFor + outage.ReloadTime
		}
	}
	return sum.Seconds() / float64(len(outage.longerAbsences))
}

// BreakUp compares gain and cost. The gain is that a larger group serves instead
// of a smaller one, for the remaining absence that is exceeded in three of four
// cases. The cost is the downtime while both groups are rebuilt.
func (CostBased) BreakUp(outage Outage, size int) bool {
	if size >= outage.GroupSize || len(outage.longerAbsences) == 0 {
		return false
	}
	remaining := outage.longerAbsences[len(outage.longerAbsences)/4].duration - outage.MissingFor
	gain := outage.Settings.StrandedWeight * float64(outage.GroupSize-size) * (remaining - outage.RebuildTime).Seconds()
	loss := outage.Settings.costPerSecond(size) * (2 * outage.RebuildTime).Seconds()
	return gain > loss
}

// LoadPriority follows Smith's rule (Various Optimizers for Single-Stage
// Production, 1956): the weighted sum of completion times is minimal if the
// group with the highest weight per load comes first. A group with a missing
// member can't serve after its loads and comes last.
func (CostBased) LoadPriority(pending PendingLoads) float64 {
	if pending.MissingMembers > 0 || pending.LoadsNeeded == 0 {
		return 0
	}
	return pending.Settings.costPerSecond(pending.GroupSize) / float64(pending.LoadsNeeded)
}

// costPerSecond returns the weighted cost per second of a group of size VMs that
// can't serve.
func (cfg Settings) costPerSecond(size int) float64 {
	return cfg.DowntimeWeight + cfg.StrandedWeight*float64(size)
}
