package place

import (
	"slices"
	"strings"

	"kumquathinge/core/site"
)

// squad is all that the entries and the plans tell of one group's name.
type squad struct {
	name string
	// group is the newest epoch that members report, nil if none does.
	group *site.Group
	// older are the members of earlier epochs.
	older []*site.Server
	plan  *plan
	model *site.Model
	all   []*site.Server
}

// size returns the number of members that the group needs, zero if unknown.
func (sqd *squad) size() int {
	if sqd.model == nil {
		return 0
	}
	return sqd.model.GroupSize
}

// survivors returns the members that stay, the present head first and those
// without an entry last.
func (sqd *squad) survivors(stp *step) []*site.Server {
	var out []*site.Server
	if sqd.group != nil {
		for _, mem := range sqd.group.Members {
			if stp.usable(mem) {
				out = append(out, mem)
			}
		}
	}
	for _, mem := range sqd.older {
		if stp.usable(mem) {
			out = append(out, mem)
		}
	}
	slices.SortStableFunc(out, func(one, two *site.Server) int {
		if stp.listed(one) == stp.listed(two) {
			return 0
		}
		if stp.listed(one) {
			return -1
		}
		return 1
	})
	return out
}

// squads collects the groups of the service by name.
func (stp *step) squads() []*squad {
	byName := map[string]*squad{}
	get := func(name string) *squad {
		sqd := byName[name]
		if sqd == nil {
			sqd = &squad{name: name, plan: stp.mac.plans[name]}
			byName[name] = sqd
		}
		return sqd
	}
	for _, grp := range stp.inp.View.Groups() {
		if grp.Service != stp.svc.Name {
			continue
		}
		// Groups come by rising epoch, so the last one is the newest.
		sqd := get(grp.Name)
		if sqd.group != nil {
			sqd.older = append(sqd.older, present(sqd.group.Members)...)
		}
		sqd.group = grp
	}
	for name := range stp.mac.plans {
		get(name)
	}
	out := make([]*squad, 0, len(byName))
	for _, sqd := range byName {
		stp.identify(sqd)
		out = append(out, sqd)
	}
	slices.SortFunc(out, func(one, two *squad) int { return strings.Compare(one.name, two.name) })
	return out
}

func present(mems []*site.Server) []*site.Server {
	return slices.DeleteFunc(slices.Clone(mems), func(mem *site.Server) bool { return mem == nil })
}

// identify finds the model of a group.
func (stp *step) identify(sqd *squad) {
	trc := stp.mac.trace(sqd.name)
	if sqd.plan != nil {
		trc.model = sqd.plan.model.Name
	} else if sqd.group != nil && sqd.group.Model != "" {
		trc.model = sqd.group.Model
	}
	if sqd.group != nil && sqd.group.Epoch > trc.epoch {
		mod := trc.model
		*trc = trace{model: mod, epoch: sqd.group.Epoch}
	}
	for idx := range stp.svc.Engine.Models {
		if stp.svc.Engine.Models[idx].Name == trc.model {
			sqd.model = &stp.svc.Engine.Models[idx]
		}
	}
	if sqd.group != nil {
		sqd.all = present(sqd.group.Members)
	}
}

// advance moves a group on that is whole or is being formed. It reports false
// for a group that needs repair.
func (stp *step) advance(sqd *squad) bool {
	if sqd.plan != nil {
		return stp.advancePlan(sqd)
	}
	grp := sqd.group
	whole := grp.Complete() && !slices.ContainsFunc(grp.Members, func(mem *site.Server) bool { return !stp.usable(mem) })
	if !whole {
		return false
	}
	trc := stp.mac.trace(sqd.name)
	if !stp.listed(grp.Head()) {
		return false
	}
	switch hea := grp.Head(); hea.Group.State {
	case site.GroupOpen:
	case site.GroupReady:
		if !allReady(grp) {
			return stp.waitJoin(sqd, trc)
		}
		if !stp.mayOpen(grp) {
			return false
		}
		stp.send(hea, site.Order{Kind: site.OrderOpen, Group: grp.Name, Epoch: grp.Epoch})
	case site.GroupJoining:
		return stp.waitJoin(sqd, trc)
	default:
		return false
	}
	stp.keep(sqd)
	return true
}

// keep holds a whole group and counts it.
func (stp *step) keep(sqd *squad) {
	stp.hold(sqd.group.Members...)
	stp.have[sqd.model.Name] += len(sqd.group.Members)
}

// allReady reports whether each member of the group is ready.
func allReady(grp *site.Group) bool {
	return !slices.ContainsFunc(grp.Members, func(mem *site.Server) bool { return mem.Group.State != site.GroupReady })
}

// mayOpen reports whether no order that is carried out late can take a member
// away: none was told to join a later epoch, and the epoch is of this term, so
// that all members refuse what earlier orderers sent.
func (stp *step) mayOpen(grp *site.Group) bool {
	if grp.Epoch/epochsPerTerm != stp.mac.term {
		return false
	}
	return !slices.ContainsFunc(grp.Members, func(mem *site.Server) bool { return stp.mac.pasts[mem.ID].joined > grp.Epoch })
}

// waitJoin waits for members that an earlier orderer has told to join.
func (stp *step) waitJoin(sqd *squad, trc *trace) bool {
	if trc.joining.IsZero() {
		trc.joining = stp.inp.Now
	}
	if stp.inp.Now.Sub(trc.joining) > stagingFactor*sqd.model.LoadTime+joinSlack {
		return false
	}
	stp.keep(sqd)
	return true
}

// advancePlan moves a group on that this orderer forms. It ends the plan when
// the group is open or a member is lost.
func (stp *step) advancePlan(sqd *squad) bool {
	pln := sqd.plan
	late := stp.inp.Now.Sub(pln.begun) > stagingFactor*pln.model.LoadTime+joinSlack
	for _, id := range pln.members {
		srv := stp.inp.View.Server(id)
		moved := srv != nil && srv.Group.Epoch > pln.epoch
		if late || moved || !stp.usable(srv) {
			delete(stp.mac.plans, sqd.name)
			sqd.plan = nil
			return sqd.group == nil
		}
	}
	stp.join(sqd.name, pln)
	grp := sqd.group
	if grp == nil || grp.Epoch != pln.epoch || !grp.Complete() {
		return true
	}
	switch hea := grp.Head(); {
	case hea.Group.State == site.GroupOpen:
		delete(stp.mac.plans, sqd.name)
	case allReady(grp):
		stp.send(hea, site.Order{Kind: site.OrderOpen, Group: grp.Name, Epoch: grp.Epoch})
	}
	return true
}
