package repair

import (
	"time"
)

// Case is a group that can't serve because members are missing. Gone is the
// time for which the first of them has been missing, Rebuild the time that a
// new generation on other VMs would take, and Reload the time that a member
// takes to load after it returned empty. Placed states that VMs for a new
// generation are there. Leaving states that the members are not missing but
// leaving, so that they are sure to go. The absences seen so far that lasted
// longer than Gone are kept in beyond, in ascending order; known counts all.
type Case struct {
	Size    int
	Missing int
	Gone    time.Duration
	Rebuild time.Duration
	Reload  time.Duration
	Placed  bool
	Leaving bool
	Weights Weights
	known   int
	beyond  []returned
}

// Pending is a group whose members wait to load. Loads is the number of loads
// that it needs, Missing that of members that can't be loaded now, and Waited
// the time since its assignment.
type Pending struct {
	Size    int
	Loads   int
	Missing int
	Waited  time.Duration
	Weights Weights
}

// Policy decides what is a matter of cost and not of safety. Replace reports
// whether to retire the assignment of an incomplete group and to build it anew
// on other VMs. BreakUp reports whether to take a complete group of size
// size apart for it. Urgency ranks the groups that wait for loads; the
// greatest comes first.
type Policy interface {
	Replace(cse Case) bool
	BreakUp(cse Case, size int) bool
	Urgency(pnd Pending) float64
}

var (
	_ Policy = Weighted{}
	_ Policy = AlwaysWait{}
	_ Policy = AlwaysRebuild{}
)

// AlwaysWait never replaces a missing member. Loads queue in the order of the
// assignments. It serves as a baseline.
type AlwaysWait struct{}

// Replace returns false but for leaving members.
func (AlwaysWait) Replace(cse Case) bool { return cse.Leaving }

// BreakUp returns false.
func (AlwaysWait) BreakUp(Case, int) bool { return false }

// Urgency is the time since the assignment.
func (AlwaysWait) Urgency(pnd Pending) float64 { return pnd.Waited.Seconds() }

// AlwaysRebuild gives up a group at once when a member is missing and builds
// it anew when VMs are there. Loads queue in the order of the assignments. It
// serves as a baseline.
type AlwaysRebuild struct{}

// Replace returns true.
func (AlwaysRebuild) Replace(Case) bool { return true }

// BreakUp returns false.
func (AlwaysRebuild) BreakUp(Case, int) bool { return false }

// Urgency is the time since the assignment.
func (AlwaysRebuild) Urgency(pnd Pending) float64 { return pnd.Waited.Seconds() }

// Weighted waits for a missing member as long as experience says that this
// costs less than building the group anew.
type Weighted struct{}

// minReturns is the number of absences from which on experience counts.
const minReturns = 6

// Replace waits for ReturnWait until there is experience. From then on it
// chooses the instant at which to stop waiting: the one with the
// least expected downtime over the absences that lasted longer than this one.
// It returns true if that instant is now. It never gives up a group that
// can't be placed.
func (Weighted) Replace(cse Case) bool {
	if !cse.Placed || cse.Leaving {
		return cse.Placed
	}
	if cse.known < minReturns {
		return cse.Gone >= cse.Weights.ReturnWait
	}
	now := cse.cost(cse.Gone)
	for _, ret := range cse.beyond {
		if cse.cost(ret.after) < now {
			return false
		}
	}
	return true
}

// cost returns the expected time until the group serves, if it is rebuilt
// after an absence of stop.
func (cse Case) cost(stop time.Duration) float64 {
	if len(cse.beyond) == 0 {
		return (stop - cse.Gone + cse.Rebuild).Seconds()
	}
	var sum time.Duration
	for _, ret := range cse.beyond {
		switch {
		case ret.after > stop:
			sum += stop - cse.Gone + cse.Rebuild
		case ret.intact:
			sum += ret.after - cse.Gone
		default:
			sum += ret.after - cse.Gone + cse.Reload
		}
	}
	return sum.Seconds() / float64(len(cse.beyond))
}

// BreakUp weighs the gain, a larger group in place of a smaller one for the
// time for which the member stays away in three of four cases, against the time in which both
// are being built.
func (Weighted) BreakUp(cse Case, size int) bool {
	if size >= cse.Size || len(cse.beyond) == 0 {
		return false
	}
	rest := cse.beyond[len(cse.beyond)/4].after - cse.Gone
	gain := cse.Weights.Stranded * float64(cse.Size-size) * (rest - cse.Rebuild).Seconds()
	loss := cse.Weights.rate(size) * (2 * cse.Rebuild).Seconds()
	return gain > loss
}

// Urgency follows Smith's rule (Various Optimizers for Single-Stage
// Production, 1956): the weighted sum of completion times is least if the
// group with the greatest weight per load comes first. A group that lacks a
// member gains nothing from a load and comes last.
func (Weighted) Urgency(pnd Pending) float64 {
	if pnd.Missing > 0 || pnd.Loads == 0 {
		return 0
	}
	return pnd.Weights.rate(pnd.Size) / float64(pnd.Loads)
}

// rate is the weighted cost per second of a group of size VMs that can't serve.
func (wts Weights) rate(size int) float64 {
	return wts.Downtime + wts.Stranded*float64(size)
}
