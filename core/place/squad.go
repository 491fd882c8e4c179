package place

import (
	"slices"
	"strings"

	"kumquathinge/core/site"
)

// groupInfo is all that the entries and the plans tell of one group's name.
type groupInfo struct {
	name string
	// current is the newest epoch that members report, nil if none does.
	current *site.Group
	// olderMembers are the members of earlier epochs.
	olderMembers []*site.Server
	plan         *groupPlan
	model        *site.Model
	members      []*site.Server
}

// groupSize returns the number of members that the group needs, zero if unknown.
func (info *groupInfo) groupSize() int {
	if info.model == nil {
		return 0
	}
	return info.model.GroupSize
}

// survivors returns the members that stay, the present head first and those
// without an entry last.
func (info *groupInfo) survivors(ps *pass) []*site.Server {
	var out []*site.Server
	if info.current != nil {
		for _, member := range info.current.Members {
			if ps.usable(member) {
				out = append(out, member)
			}
		}
	}
	for _, member := range info.olderMembers {
		if ps.usable(member) {
			out = append(out, member)
		}
	}
	slices.SortStableFunc(out, func(one, two *site.Server) int {
		if ps.registered(one) == ps.registered(two) {
			return 0
		}
		if ps.registered(one) {
			return -1
		}
		return 1
	})
	return out
}

// collectGroups collects the groups of the service by name.
func (ps *pass) collectGroups() []*groupInfo {
	byName := map[string]*groupInfo{}
	get := func(name string) *groupInfo {
		info := byName[name]
		if info == nil {
			info = &groupInfo{name: name, plan: ps.planner.plans[name]}
			byName[name] = info
		}
		return info
	}
	for _, grp := range ps.input.View.Groups() {
		if grp.Service != ps.service.Name {
			continue
		}
		// Groups come by rising epoch, so the last one is the newest.
		info := get(grp.Name)
		if info.current != nil {
			info.olderMembers = append(info.olderMembers, nonNil(info.current.Members)...)
		}
		info.current = grp
	}
	for name := range ps.planner.plans {
		get(name)
	}
	out := make([]*groupInfo, 0, len(byName))
	for _, info := range byName {
		ps.resolveModel(info)
		out = append(out, info)
	}
	slices.SortFunc(out, func(one, two *groupInfo) int { return strings.Compare(one.name, two.name) })
	return out
}

func nonNil(members []*site.Server) []*site.Server {
	return slices.DeleteFunc(slices.Clone(members), func(member *site.Server) bool { return member == nil })
}

// resolveModel finds the model of a group.
func (ps *pass) resolveModel(info *groupInfo) {
	hist := ps.planner.group(info.name)
	if info.plan != nil {
		hist.model = info.plan.model.Name
	} else if info.current != nil && info.current.Model != "" {
		hist.model = info.current.Model
	}
	if info.current != nil && info.current.Epoch > hist.epoch {
		model := hist.model
		*hist = groupHistory{model: model, epoch: info.current.Epoch}
	}
	for idx := range ps.service.Engine.Models {
		if ps.service.Engine.Models[idx].Name == hist.model {
			info.model = &ps.service.Engine.Models[idx]
		}
	}
	if info.current != nil {
		info.members = nonNil(info.current.Members)
	}
}

// advance moves a group on that is whole or is being formed. It reports false
// for a group that needs repair.
func (ps *pass) advance(info *groupInfo) bool {
	if info.plan != nil {
		return ps.advancePlan(info)
	}
	grp := info.current
	healthy := grp.Complete() && !slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return !ps.usable(member) })
	if !healthy {
		return false
	}
	hist := ps.planner.group(info.name)
	if !ps.registered(grp.Head()) {
		return false
	}
	switch head := grp.Head(); head.Group.State {
	case site.GroupOpen:
	case site.GroupReady:
		if !allReady(grp) {
			return ps.awaitJoins(info, hist)
		}
		if !ps.mayOpen(grp) {
			return false
		}
		ps.addOrder(head, site.Order{Kind: site.OrderOpen, Group: grp.Name, Epoch: grp.Epoch})
	case site.GroupJoining:
		return ps.awaitJoins(info, hist)
	default:
		return false
	}
	ps.holdGroup(info)
	return true
}

// holdGroup holds a whole group and counts it.
func (ps *pass) holdGroup(info *groupInfo) {
	ps.hold(info.current.Members...)
	ps.serverCount[info.model.Name] += len(info.current.Members)
}

// allReady reports whether each member of the group is ready.
func allReady(grp *site.Group) bool {
	return !slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return member.Group.State != site.GroupReady })
}

// mayOpen reports whether no order that is carried out late can take a member
// away: none was told to join a later epoch, and the epoch is of this term, so
// that all members refuse what earlier orderers sent.
func (ps *pass) mayOpen(grp *site.Group) bool {
	if grp.Epoch/epochsPerTerm != ps.planner.term {
		return false
	}
	return !slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return ps.planner.servers[member.ID].lastJoinEpoch > grp.Epoch })
}

// awaitJoins waits for members that an earlier orderer has told to join.
func (ps *pass) awaitJoins(info *groupInfo, hist *groupHistory) bool {
	if hist.joiningSince.IsZero() {
		hist.joiningSince = ps.input.Now
	}
	if ps.input.Now.Sub(hist.joiningSince) > maxLoadSlowdown*info.model.LoadTime+joinTimeoutMargin {
		return false
	}
	ps.holdGroup(info)
	return true
}

// advancePlan moves a group on that this orderer forms. It ends the plan when
// the group is open or a member is lost.
func (ps *pass) advancePlan(info *groupInfo) bool {
	plan := info.plan
	timedOut := ps.input.Now.Sub(plan.startedAt) > maxLoadSlowdown*plan.model.LoadTime+joinTimeoutMargin
	for _, id := range plan.members {
		srv := ps.input.View.Server(id)
		moved := srv != nil && srv.Group.Epoch > plan.epoch
		if timedOut || moved || !ps.usable(srv) {
			delete(ps.planner.plans, info.name)
			info.plan = nil
			return info.current == nil
		}
	}
	ps.addJoinOrders(info.name, plan)
	grp := info.current
	if grp == nil || grp.Epoch != plan.epoch || !grp.Complete() {
		return true
	}
	switch head := grp.Head(); {
	case head.Group.State == site.GroupOpen:
		delete(ps.planner.plans, info.name)
	case allReady(grp):
		ps.addOrder(head, site.Order{Kind: site.OrderOpen, Group: grp.Name, Epoch: grp.Epoch})
	}
	return true
}
