package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// vmShortage is an incomplete assignment that can't be rebuilt from free VMs.
// vmsNeeded is the number of VMs that it lacks beyond the free ones.
type vmShortage struct {
	assignment core.Assignment
	outage     Outage
	vmsNeeded  int
}

// isDonor reports whether the assignment should be broken up so that another
// group of its domain can be rebuilt from its members.
func (ctl *Controller) isDonor(view *zoneView, assignment core.Assignment) bool {
	for _, plan := range view.planDonations(ctl) {
		if slices.Contains(plan.donors, assignment.Group) {
			return true
		}
	}
	return false
}

// isRecipient reports whether the group should be rebuilt from the members of
// other groups.
func (ctl *Controller) isRecipient(view *zoneView, assignment core.Assignment) bool {
	for _, plan := range view.planDonations(ctl) {
		if plan.recipient == assignment.Group {
			return true
		}
	}
	return false
}

// donation names the groups to break up for the recipient.
type donation struct {
	recipient core.GroupName
	donors    []core.GroupName
}

// planDonations pairs incomplete assignments with donors in the same domain.
// The largest group comes first, and incomplete groups are broken up before
// complete ones. The result is computed once per step.
func (view *zoneView) planDonations(ctl *Controller) []donation {
	if view.donations != nil {
		return *view.donations
	}
	var shortages []vmShortage
	pool := ctl.pool(view)
	for _, assignment := range view.active {
		desired, ok := view.desiredByGroup[assignment.Group]
		outage, missing := ctl.outage(view, desired, assignment)
		if ok && missing && !outage.Placeable {
			shortages = append(shortages, vmShortage{assignment: assignment, outage: outage, vmsNeeded: outage.MissingMembers - len(pool.freeByDomain[assignment.Domain])})
		}
	}
	slices.SortFunc(shortages, func(lhs, rhs vmShortage) int {
		return cmp.Or(cmp.Compare(rhs.outage.GroupSize, lhs.outage.GroupSize), cmp.Compare(lhs.assignment.Group, rhs.assignment.Group))
	})
	plans := []donation{}
	used := core.NewSet[core.GroupName]()
	for _, shortage := range shortages {
		if used.Has(shortage.assignment.Group) {
			continue
		}
		if plan, ok := ctl.findDonors(view, shortage, shortages, used); ok {
			plans = append(plans, plan)
		}
	}
	view.donations = &plans
	return plans
}

func (ctl *Controller) findDonors(view *zoneView, shortage vmShortage, shortages []vmShortage, used core.Set[core.GroupName]) (donation, bool) {
	outage := shortage.outage
	outage.Placeable = true
	if !ctl.cfg.Policy.Replace(outage) {
		return donation{}, false
	}
	plan := donation{recipient: shortage.assignment.Group}
	vmsNeeded := shortage.vmsNeeded
	for _, other := range slices.Backward(shortages) {
		if vmsNeeded <= 0 || other.assignment.Group == shortage.assignment.Group {
			break
		}
		if other.assignment.Domain != shortage.assignment.Domain || used.Has(other.assignment.Group) {
			continue
		}
		otherOutage := other.outage
		otherOutage.Placeable = true
		if ctl.cfg.Policy.Replace(otherOutage) {
			plan.donors = append(plan.donors, other.assignment.Group)
			vmsNeeded -= other.outage.GroupSize - other.outage.MissingMembers
		}
	}
	if vmsNeeded > 0 {
		plan.donors, vmsNeeded = ctl.completeDonor(view, shortage, outage, used)
	}
	if vmsNeeded > 0 {
		return donation{}, false
	}
	used.Add(shortage.assignment.Group)
	for _, group := range plan.donors {
		used.Add(group)
	}
	return plan, true
}

// completeDonor returns the smallest complete group that covers the shortage
// and that the policy allows to break up, and the number of VMs still needed.
func (ctl *Controller) completeDonor(view *zoneView, shortage vmShortage, outage Outage, used core.Set[core.GroupName]) ([]core.GroupName, int) {
	best := core.Assignment{}
	for _, assignment := range view.active {
		size := len(assignment.VMs)
		if assignment.Domain != shortage.assignment.Domain || used.Has(assignment.Group) || size < shortage.vmsNeeded || !view.ready(assignment) {
			continue
		}
		if (best.Group == "" || size < len(best.VMs)) && ctl.cfg.Policy.BreakUp(outage, size) {
			best = assignment
		}
	}
	if best.Group == "" {
		return nil, shortage.vmsNeeded
	}
	return []core.GroupName{best.Group}, 0
}
