package repair

import (
	"cmp"
	"slices"

	"kumquathinge/core"
)

// need is an incomplete assignment that no free VM can complete, with what the
// policy is told of it. Short is the number of VMs that it lacks.
type need struct {
	asn   core.Assignment
	cse   Case
	short int
}

// donates reports whether the assignment should be broken up so that another
// one of its domain can be built anew from its members.
func (ctl *Controller) donates(vew *view, asn core.Assignment) bool {
	for _, ned := range vew.needs(ctl) {
		if slices.Contains(ned.donors, asn.Group) {
			return true
		}
	}
	return false
}

// repairs reports whether the assignment is to be built anew from the members
// of others.
func (ctl *Controller) repairs(vew *view, asn core.Assignment) bool {
	for _, ned := range vew.needs(ctl) {
		if ned.group == asn.Group {
			return true
		}
	}
	return false
}

// gift names the groups that are to be broken up for a group.
type gift struct {
	group  core.GroupName
	donors []core.GroupName
}

// needs pairs incomplete assignments with donors of their domain, once in a
// step. The group that is worth most comes first. Groups that lack members
// themselves are taken before complete ones.
func (vew *view) needs(ctl *Controller) []gift {
	if vew.gifts != nil {
		return *vew.gifts
	}
	var neds []need
	pol := ctl.look(vew)
	for _, asn := range vew.live {
		wnt, ok := vew.want[asn.Group]
		cse, missing := ctl.lacking(vew, wnt, asn)
		if ok && missing && !cse.Placed {
			neds = append(neds, need{asn: asn, cse: cse, short: cse.Missing - len(pol.free[asn.Domain])})
		}
	}
	slices.SortFunc(neds, func(ane, bne need) int {
		return cmp.Or(cmp.Compare(bne.cse.Size, ane.cse.Size), cmp.Compare(ane.asn.Group, bne.asn.Group))
	})
	gifts := []gift{}
	used := core.NewSet[core.GroupName]()
	for _, ned := range neds {
		if used.Has(ned.asn.Group) {
			continue
		}
		if gft, ok := ctl.gift(vew, ned, neds, used); ok {
			gifts = append(gifts, gft)
		}
	}
	vew.gifts = &gifts
	return gifts
}

func (ctl *Controller) gift(vew *view, ned need, neds []need, used core.Set[core.GroupName]) (gift, bool) {
	cse := ned.cse
	cse.Placed = true
	if !ctl.cfg.Policy.Replace(cse) {
		return gift{}, false
	}
	gft := gift{group: ned.asn.Group}
	short := ned.short
	for _, oth := range slices.Backward(neds) {
		if short <= 0 || oth.asn.Group == ned.asn.Group {
			break
		}
		if oth.asn.Domain != ned.asn.Domain || used.Has(oth.asn.Group) {
			continue
		}
		othCase := oth.cse
		othCase.Placed = true
		if ctl.cfg.Policy.Replace(othCase) {
			gft.donors = append(gft.donors, oth.asn.Group)
			short -= oth.cse.Size - oth.cse.Missing
		}
	}
	if short > 0 {
		gft.donors, short = ctl.wholeDonor(vew, ned, cse, used)
	}
	if short > 0 {
		return gift{}, false
	}
	used.Add(ned.asn.Group)
	for _, grp := range gft.donors {
		used.Add(grp)
	}
	return gft, true
}

// wholeDonor chooses the smallest complete group that makes up what is lacking.
func (ctl *Controller) wholeDonor(vew *view, ned need, cse Case, used core.Set[core.GroupName]) ([]core.GroupName, int) {
	best := core.Assignment{}
	for _, asn := range vew.live {
		size := len(asn.VMs)
		if asn.Domain != ned.asn.Domain || used.Has(asn.Group) || size < ned.short || !vew.ready(asn) {
			continue
		}
		if (best.Group == "" || size < len(best.VMs)) && ctl.cfg.Policy.BreakUp(cse, size) {
			best = asn
		}
	}
	if best.Group == "" {
		return nil, ned.short
	}
	return []core.GroupName{best.Group}, 0
}
