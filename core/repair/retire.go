package repair

import (
	"slices"
	"time"

	"kumquathinge/core"
)

// Reasons for a retirement, as they are stored in the log.
const (
	reasonUnwanted      = "not wanted"
	reasonChanged       = "settings changed"
	reasonLeaving       = "member leaves"
	reasonMemberMissing = "member missing"
	reasonBreakUp       = "broken up for another group"
)

// maxUnavailableFraction is the fraction of a model's groups that may be
// unavailable during a rollout. One group may always be.
const maxUnavailableFraction = 0.25

// retireReason returns the reason to retire the assignment now, empty if there
// is none.
func (ctl *Controller) retireReason(view *zoneView, assignment core.Assignment) string {
	desired, ok := view.desiredByGroup[assignment.Group]
	if !ok || !desired.Enabled || desired.Draining {
		return reasonUnwanted
	}
	if slices.ContainsFunc(assignment.VMs, view.leaving) {
		if view.in.InFlightByGroup[assignment.Group] > 0 || ctl.waitsForReturn(view, desired, assignment) {
			return ""
		}
		return reasonLeaving
	}
	if settingsChanged(desired, assignment) && ctl.mayRollOut(view, assignment) {
		return reasonChanged
	}
	if outage, missing := ctl.outage(view, desired, assignment); missing && ctl.cfg.Policy.Replace(outage) {
		return reasonMemberMissing
	}
	if ctl.isRecipient(view, assignment) {
		return reasonMemberMissing
	}
	if ctl.isDonor(view, assignment) {
		return reasonBreakUp
	}
	return ""
}

// waitsForReturn reports whether an assignment with leaving members is kept until
// their VMs return. This is the case if the settings drain none of the VMs and
// the policy does not replace the group, for example for lack of other VMs.
func (ctl *Controller) waitsForReturn(view *zoneView, desired DesiredGroup, assignment core.Assignment) bool {
	outage := Outage{GroupSize: len(assignment.VMs), Leaving: true, Settings: view.in.Settings}
	for _, vmName := range assignment.VMs {
		if view.in.DrainingVMs.Has(vmName) {
			return false
		}
		if view.leaving(vmName) {
			outage.MissingMembers++
		}
	}
	outage.Placeable = ctl.placeable(view, desired, assignment, outage.MissingMembers)
	return !ctl.cfg.Policy.Replace(outage)
}

func settingsChanged(desired DesiredGroup, assignment core.Assignment) bool {
	return !desired.Spec.Equal(assignment.Spec) || desired.Size != len(assignment.VMs) || !desired.allowsDomain(assignment.Domain)
}

// mayRollOut reports whether the group may become unavailable for a rollout.
func (ctl *Controller) mayRollOut(view *zoneView, assignment core.Assignment) bool {
	if !view.ready(assignment) {
		return true
	}
	groups, unavailable := 0, 0
	for _, desired := range view.desired {
		if desired.Spec.Model != assignment.Spec.Model || !desired.Enabled || desired.Draining {
			continue
		}
		groups++
		other := view.assignmentByGroup[desired.Group]
		_, pending := ctl.pendingByGroup[desired.Group]
		if pending || other.Phase != core.PhaseAssigned || !view.ready(other) {
			unavailable++
		}
	}
	return unavailable < max(1, int(float64(groups)*maxUnavailableFraction))
}

// outage returns the outage of an assignment and reports whether any member is
// missing.
func (ctl *Controller) outage(view *zoneView, desired DesiredGroup, assignment core.Assignment) (Outage, bool) {
	outage := Outage{GroupSize: len(assignment.VMs), Settings: view.in.Settings}
	for _, vmName := range assignment.VMs {
		missingFor, ok := ctl.stateByVM[vmName].missingFor(view.in.Now)
		if !ok {
			continue
		}
		outage.MissingMembers++
		outage.MissingFor = max(outage.MissingFor, missingFor)
	}
	if outage.MissingMembers == 0 {
		return outage, false
	}
	outage.Placeable = ctl.placeable(view, desired, assignment, outage.MissingMembers)
	outage.ReloadTime = ctl.history.loadTime(assignment.Spec.Model)
	outage.RebuildTime = ctl.rebuildTime(view, desired, outage.ReloadTime)
	outage.observedAbsences = len(ctl.history.absences)
	outage.longerAbsences = ctl.history.absencesLongerThan(outage.MissingFor, view.in.Settings.ReturnTimeout)
	return outage, true
}

// placeable reports whether the free VMs of one domain, together with the
// remaining members there, are enough for the group.
func (ctl *Controller) placeable(view *zoneView, desired DesiredGroup, assignment core.Assignment, missingMembers int) bool {
	for domain, vms := range ctl.pool(view).freeByDomain {
		available := len(vms)
		if domain == assignment.Domain {
			available += len(assignment.VMs) - missingMembers
		}
		if available >= desired.Size && desired.allowsDomain(domain) {
			return true
		}
	}
	return false
}

// rebuildTime estimates the time from a retirement until the group serves again.
// It adds up three appended records, the unload, twice the maximum probe age,
// the wait for the weight store, and the load.
func (ctl *Controller) rebuildTime(view *zoneView, desired DesiredGroup, loadTime time.Duration) time.Duration {
	total := 3*appendTime + unloadTime + 2*view.in.Settings.MaxProbeAge
	rate := view.in.Settings.LoadsPerMinute
	if rate > 0 {
		total += time.Duration(float64(desired.Size) / rate * float64(time.Minute))
	}
	return total + loadTime
}

const (
	appendTime = time.Second
	unloadTime = 2 * time.Second
)
