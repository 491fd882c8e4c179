package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// shortage is an incomplete assignment that can't be rebuilt from free VMs.
// vmsNeeded is the number of VMs that it lacks beyond the free ones.
type shortage struct {
	assignment core.Assignment
	outage     Outage
	vmsNeeded  int
}

// isDonor reports whether the assignment should be broken up so that another
// group of its domain can be rebuilt from its members.
func (ctl *Controller) isDonor(view *zoneView, asn core.Assignment) bool {
	for _, plan := range view.planDonations(ctl) {
		if slices.Contains(plan.donors, asn.Group) {
			return true
		}
	}
	return false
}

// isRecipient reports whether the group should be rebuilt from the members of
// other groups.
func (ctl *Controller) isRecipient(view *zoneView, asn core.Assignment) bool {
	for _, plan := range view.planDonations(ctl) {
		if plan.recipient == asn.Group {
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
	var shortages []shortage
	pool := ctl.pool(view)
	for _, asn := range view.active {
		desired, ok := view.desiredByGroup[asn.Group]
		outage, missing := ctl.outage(view, desired, asn)
		if ok && missing && !outage.Placeable {
			shortages = append(shortages, shortage{assignment: asn, outage: outage, vmsNeeded: outage.MissingMembers - len(pool.freeByDomain[asn.Domain])})
		}
	}
	slices.SortFunc(shortages, func(lhs, rhs shortage) int {
		return cmp.Or(cmp.Compare(rhs.outage.GroupSize, lhs.outage.GroupSize), cmp.Compare(lhs.assignment.Group, rhs.assignment.Group))
	})
	plans := []donation{}
	used := core.NewSet[core.GroupName]()
	for _, short := range shortages {
		if used.Has(short.assignment.Group) {
			continue
		}
		if plan, ok := ctl.findDonors(view, short, shortages, used); ok {
			plans = append(plans, plan)
		}
	}
	view.donations = &plans
	return plans
}

func (ctl *Controller) findDonors(view *zoneView, short shortage, shortages []shortage, used core.Set[core.GroupName]) (donation, bool) {
	outage := short.outage
	outage.Placeable = true
	if !ctl.cfg.Policy.Replace(outage) {
		return donation{}, false
	}
	plan := donation{recipient: short.assignment.Group}
	vmsNeeded := short.vmsNeeded
	for _, other := range slices.Backward(shortages) {
		if vmsNeeded <= 0 || other.assignment.Group == short.assignment.Group {
			break
		}
		if other.assignment.Domain != short.assignment.Domain || used.Has(other.assignment.Group) {
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
		plan.donors, vmsNeeded = ctl.completeDonor(view, short, outage, used)
	}
	if vmsNeeded > 0 {
		return donation{}, false
	}
	used.Add(short.assignment.Group)
	for _, grp := range plan.donors {
		used.Add(grp)
	}
	return plan, true
}

// completeDonor returns the smallest complete group that covers the shortage
// and that the policy allows to break up, and the number of VMs still needed.
func (ctl *Controller) completeDonor(view *zoneView, short shortage, outage Outage, used core.Set[core.GroupName]) ([]core.GroupName, int) {
	best := core.Assignment{}
	for _, asn := range view.active {
		size := len(asn.VMs)
		if asn.Domain != short.assignment.Domain || used.Has(asn.Group) || size < short.vmsNeeded || !view.ready(asn) {
			continue
		}
		if (best.Group == "" || size < len(best.VMs)) && ctl.cfg.Policy.BreakUp(outage, size) {
			best = asn
		}
	}
	if best.Group == "" {
		return nil, short.vmsNeeded
	}
	return []core.GroupName{best.Group}, 0
}
