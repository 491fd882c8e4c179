package repair

import (
	"time"
)

// Outage is a group that can't serve because members are missing. Gone is the
// time for which the first of them has been missing, Rebuild the time that a
// new generation on other VMs would take, and Reload the time that a member
// takes to load after it returned empty. Placed states that VMs for a new
// generation are there. Leaving states that the members are not missing but
// leaving, so that they are sure to go. The absences seen so far that lasted
// longer than Gone are kept in beyond, in ascending order; known counts all.
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

// PendingLoads is a group whose members wait to load. Loads is the number of loads
// that it needs, Missing that of members that can't be loaded now, and Waited
// the time since its assignment.
type PendingLoads struct {
	GroupSize      int
	LoadsNeeded    int
	MissingMembers int
	WaitTime       time.Duration
	Settings       Settings
}

// Policy decides what is a matter of cost and not of safety. Replace reports
// whether to retire the assignment of an incomplete group and to build it anew
// on other VMs. BreakUp reports whether to take a complete group of size
// size apart for it. Urgency ranks the groups that wait for loads; the
// greatest comes first.
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

// AlwaysWait never replaces a missing member. Loads queue in the order of the
// assignments. It serves as a baseline.
type AlwaysWait struct{}

// Replace returns false but for leaving members.
func (AlwaysWait) Replace(outage Outage) bool { return outage.Leaving }

// BreakUp returns false.
func (AlwaysWait) BreakUp(Outage, int) bool { return false }

// LoadPriority is the time since the assignment.
func (AlwaysWait) LoadPriority(pending PendingLoads) float64 { return pending.WaitTime.Seconds() }

// AlwaysRebuild gives up a group at once when a member is missing and builds
// it anew when VMs are there. Loads queue in the order of the assignments. It
// serves as a baseline.
type AlwaysRebuild struct{}

// Replace returns true.
func (AlwaysRebuild) Replace(Outage) bool { return true }

// BreakUp returns false.
func (AlwaysRebuild) BreakUp(Outage, int) bool { return false }

// LoadPriority is the time since the assignment.
func (AlwaysRebuild) LoadPriority(pending PendingLoads) float64 { return pending.WaitTime.Seconds() }

// CostBased waits for a missing member as long as experience says that this
// costs less than building the group anew.
type CostBased struct{}

// minAbsences is the number of absences from which on experience counts.
const minAbsences = 6

// Replace waits for ReturnWait until there is experience. From then on it
// chooses the instant at which to stop waiting: the one with the
// least expected downtime over the absences that lasted longer than this one.
// It returns true if that instant is now. It never gives up a group that
// can't be placed.
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

// expectedDowntime returns the expected time until the group serves, if it is rebuilt
// after an absence of stop.
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

// BreakUp weighs the gain, a larger group in place of a smaller one for the
// time for which the member stays away in three of four cases, against the time in which both
// are being built.
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
// Production, 1956): the weighted sum of completion times is least if the
// group with the greatest weight per load comes first. A group that lacks a
// member gains nothing from a load and comes last.
func (CostBased) LoadPriority(pending PendingLoads) float64 {
	if pending.MissingMembers > 0 || pending.LoadsNeeded == 0 {
		return 0
	}
	return pending.Settings.costPerSecond(pending.GroupSize) / float64(pending.LoadsNeeded)
}

// costPerSecond is the weighted cost per second of a group of size VMs that can't serve.
func (cfg Settings) costPerSecond(size int) float64 {
	return cfg.DowntimeWeight + cfg.StrandedWeight*float64(size)
}
