package place

import (
	"slices"
	"strings"

	"kumquathinge/core/site"
)

// groupInfo combines the entries and the plan under one group name.
type groupInfo struct {
	name string
	// current is the newest epoch that members report, nil if there is none.
	current *site.Group
	// olderMembers lists the members of earlier epochs.
	olderMembers []*site.Server
	plan         *groupPlan
	model        *site.Model
	// members lists the present members of current.
	members []*site.Server
}

// groupSize returns the number of members that the model requires, zero if
// unknown.
func (info *groupInfo) groupSize() int {
	if info.model == nil {
		return 0
	}
	return info.model.GroupSize
}

// survivors returns the usable members in order of rank, newest epoch first, with those that
// left the newest epoch on an order. Members without an entry come last.
func (info *groupInfo) survivors(ps *pass) []*site.Server {
	var out, left []*site.Server
	if info.current != nil {
		key := epochKey{name: info.name, epoch: info.current.Epoch}
		for _, srv := range ps.leavers(key) {
			if srv.ID == ps.planner.epoch(key).head {
				out = append(out, srv)
			} else {
				left = append(left, srv)
			}
		}
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
	out = append(out, left...)
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

// collectGroups returns the groups of the service, sorted by name.
func (ps *pass) collectGroups() []*groupInfo {
	byName := map[string]*groupInfo{}
	infoFor := func(name string) *groupInfo {
		info := byName[name]
		if info == nil {
			info = &groupInfo{name: name, plan: ps.planner.plans[name]}
			byName[name] = info
		}
		return info
	}
	for _, grp := range ps.input.View.Groups() {
		if grp.Service != ps.service.Name || isWarmUp(grp.Name) || ps.input.View.GroupEvacuated(grp) {
			continue
		}
		// Groups are sorted by epoch, so the last one is the newest.
		info := infoFor(grp.Name)
		if info.current != nil {
			info.olderMembers = append(info.olderMembers, nonNil(info.current.Members)...)
		}
		info.current = grp
	}
	for name := range ps.planner.plans {
		infoFor(name)
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

// resolveModel sets the model of a group.
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

// advance progresses a healthy group or one that is being formed. It returns
// false if the group needs repair.
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

// holdGroup puts the members of a complete group on hold and counts them.
func (ps *pass) holdGroup(info *groupInfo) {
	ps.hold(info.current.Members...)
	ps.countGroup(info.current.Domain, info.model.Name, len(info.current.Members))
}

// allReady reports whether all members of the group are ready.
func allReady(grp *site.Group) bool {
	return !slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return member.Group.State != site.GroupReady })
}

// mayOpen reports whether no delayed order can remove a member: no member was
// ordered to join a later epoch, and the epoch belongs to this term, so that
// all members refuse orders of earlier orderers.
func (ps *pass) mayOpen(grp *site.Group) bool {
	if TermOf(grp.Epoch) != ps.planner.term {
		return false
	}
	return !slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return ps.planner.servers[member.ID].lastJoinEpoch > grp.Epoch })
}

// awaitJoins waits for members to join on orders of an earlier orderer. It
// returns false on timeout.
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

// advancePlan progresses a group that this orderer is forming. The plan ends
// when the group is open, a member is lost or the joins time out.
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
