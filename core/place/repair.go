package place

import (
	"slices"
	"time"

	"kumquathinge/core/site"
)

// repair restores a group with missing or leaving members under its name in a
// new epoch, or ends it. The caller has put its members on hold.
func (ps *pass) repair(info *groupInfo) {
	hist := ps.planner.group(info.name)
	if info.current == nil {
		return
	}
	members := info.survivors(ps)
	if ps.mayRejoin(info, hist) {
		if info.model != nil {
			ps.countGroup(info.current.Domain, info.model.Name, info.model.GroupSize)
		}
		return
	}
	if len(members) == 0 || ps.reachable(info.current.Head()) {
		hist.headLostAt = time.Time{}
	}
	if ps.worksUnreached(info) {
		ps.countGroup(info.current.Domain, info.model.Name, info.model.GroupSize)
		return
	}
	if len(members) == 0 || info.model == nil {
		// All members are lost or leaving, or none has reported its model.
		if !ps.finishRequests(info, hist) {
			ps.endGroup(info)
		}
		return
	}
	spares := ps.sortByJoinCost(info.model, ps.availableFor(info.model, info.current.Domain, ps.freeServers(info.current.Domain)))
	need := info.model.GroupSize - len(members)
	if need <= len(spares) {
		ps.replaceMembers(info, hist, members, spares[:max(0, need)])
		return
	}
	if ps.servesOn(info, hist) {
		ps.countGroup(info.current.Domain, info.model.Name, len(members))
		return
	}
	ps.dissolve(info, hist, members)
	if ps.held[members[0].ID] {
		ps.addShortage(info, need)
	}
}

// addShortage records that a group waits for the given number of servers that
// hold its model.
func (ps *pass) addShortage(info *groupInfo, need int) {
	domain := info.current.Domain
	if ps.shortages[domain] == nil {
		ps.shortages[domain] = map[string][]int{}
	}
	ps.shortages[domain][info.model.Name] = append(ps.shortages[domain][info.model.Name], need)
}

// mayRejoin reports whether only entries are missing, of members that may still
// be running and register again.
func (ps *pass) mayRejoin(info *groupInfo, hist *groupHistory) bool {
	grp := info.current
	if grp.Complete() {
		hist.missingSince = time.Time{}
		return false
	}
	if slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return member != nil && !ps.usable(member) }) {
		return false
	}
	if head := grp.Head(); ps.planner.epoch(epochKey{name: info.name, epoch: grp.Epoch}).headLeft || head != nil && head.Group.State != site.GroupOpen && head.Group.State != site.GroupReady {
		return false
	}
	if hist.missingSince.IsZero() {
		hist.missingSince = ps.input.Now
	}
	return ps.input.Now.Sub(hist.missingSince) < rejoinGrace
}

// holdOlderMembers puts members of earlier epochs of a group on hold, and ends these epochs.
func (ps *pass) holdOlderMembers(info *groupInfo) {
	older := info.olderMembers
	if info.plan != nil && info.current != nil && info.current.Epoch < info.plan.epoch {
		older = append(slices.Clone(older), info.members...)
	}
	for _, srv := range older {
		if !ps.reachable(srv) || ps.held[srv.ID] {
			continue
		}
		if !ps.endEpoch(srv) {
			ps.hold(srv)
		}
	}
}

// serves reports whether the entry of a head says that it serves.
func serves(head *site.Server) bool {
	return head.Group.State == site.GroupOpen || head.Group.State == site.GroupClosing
}

// operational reports whether all members are reachable and the head may be
// serving.
func (ps *pass) operational(info *groupInfo) bool {
	grp := info.current
	return grp.Complete() && serves(grp.Head()) &&
		!slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return !ps.reachable(member) })
}

// replaceMembers starts a new epoch with the survivors and the spares. An
// operational group finishes its requests first.
func (ps *pass) replaceMembers(info *groupInfo, hist *groupHistory, members, spares []*site.Server) {
	if ps.operational(info) {
		// The spares stay with the group until its requests have finished.
		ps.hold(spares...)
	}
	if ps.finishRequests(info, hist) {
		ps.countGroup(info.current.Domain, info.model.Name, len(members))
		return
	}
	members = append(slices.Clone(members), spares...)[:info.model.GroupSize]
	pending := slices.ContainsFunc(members, func(member *site.Server) bool { return ps.planner.pendingOrders[member.ID] != nil })
	if !ps.registered(members[0]) || !ps.endEpochs(members) || pending {
		// The spares stay with the group until its members may join its next epoch.
		ps.hold(spares...)
		ps.countGroup(info.current.Domain, info.model.Name, len(members))
		return
	}
	ps.startEpoch(info.name, info.model, members)
}

// endEpochs ends the epochs to which servers belong, and reports whether all have ended.
func (ps *pass) endEpochs(srvs []*site.Server) bool {
	ended := true
	for _, srv := range srvs {
		ended = ps.endEpoch(srv) && ended
	}
	return ended
}

// worksUnreached reports whether a group has members that this node can't reach, and none
// that leaves, while its head makes progress: the members run then.
func (ps *pass) worksUnreached(info *groupInfo) bool {
	unreached := slices.ContainsFunc(info.current.Members, func(member *site.Server) bool { return member != nil && !ps.reachable(member) })
	return info.model != nil && unreached && ps.working(info) && !ps.leaving(info)
}

// servesOn reports whether a group without a spare for a leaving member serves on until
// the member stops. One that has no entry any more may run on for some seconds: then the
// group finishes its requests as long as they make progress.
func (ps *pass) servesOn(info *groupInfo, hist *groupHistory) bool {
	if ps.operational(info) && !ps.stopsSoon(info, hist) {
		return true
	}
	return ps.finishRequests(info, hist)
}

// stopsSoon reports whether a leaving member of a group may stop before requests end that
// may not be resumed and come from now on.
func (ps *pass) stopsSoon(info *groupInfo, hist *groupHistory) bool {
	switch {
	case !ps.leaving(info):
		hist.leavingSince = time.Time{}
		return false
	case hist.leavingSince.IsZero():
		hist.leavingSince = ps.input.Now
	}
	return !hist.closeSentAt.IsZero() || ps.pinned(info.current.Head()) && ps.input.Now.Sub(hist.leavingSince) >= leavingServeTime
}

// leaving reports whether a member of a group is leaving.
func (ps *pass) leaving(info *groupInfo) bool {
	return slices.ContainsFunc(info.current.Members, func(member *site.Server) bool { return member != nil && member.Draining })
}

// working reports whether requests that may not be resumed make progress at the head of a
// group. Its members then run, also those that this node can't reach.
func (ps *pass) working(info *groupInfo) bool {
	head := info.current.Head()
	return ps.reachable(head) && serves(head) && ps.pinned(head) && ps.active(head.ID)
}

// active reports whether a head sent data to any node a moment ago.
func (ps *pass) active(id string) bool { return ps.input.Active != nil && ps.input.Active(id) }

// pinned reports whether requests that may not be resumed are open at a head.
func (ps *pass) pinned(head *site.Server) bool {
	return ps.input.Pinned != nil && ps.input.Pinned(head.ID) > 0
}

// finishRequests closes an operational group and reports whether it still has time to
// finish its requests: closeTimeout, or pinnedTimeout while requests are open at its head
// that may not be resumed.
func (ps *pass) finishRequests(info *groupInfo, hist *groupHistory) bool {
	if !ps.operational(info) && !ps.working(info) {
		return false
	}
	head := info.current.Head()
	if hist.closeSentAt.IsZero() && ps.addOrder(head, site.Order{Kind: site.OrderClose, Group: info.name, Epoch: info.current.Epoch}) {
		hist.closeSentAt = ps.input.Now
	}
	if hist.closeSentAt.IsZero() {
		return true
	}
	timeout := closeTimeout
	if ps.pinned(head) {
		timeout = pinnedTimeout
	}
	return ps.input.Now.Sub(hist.closeSentAt) < timeout
}

// dissolve ends a group without spares. Its members become free once its head can't be
// serving any more. Those of a lost head wait for spares first.
func (ps *pass) dissolve(info *groupInfo, hist *groupHistory, members []*site.Server) {
	head := info.current.Head()
	ep := ps.planner.epoch(epochKey{name: info.name, epoch: info.current.Epoch})
	waiting := false
	switch {
	case ps.reachable(head) || head == nil && ep.headLeft:
		hist.headLostAt = time.Time{}
	case head != nil && serves(head) && !ps.epochEnded(epochOf(head)):
		// Its entry says that it serves: it may be cut off from this node only.
		hist.headLostAt = time.Time{}
		return
	case hist.headLostAt.IsZero():
		hist.headLostAt = ps.input.Now
		waiting = true
	default:
		waiting = ps.input.Now.Sub(hist.headLostAt) <= spareWaitTime
	}
	for _, srv := range members {
		if ps.endEpoch(srv) && !waiting {
			delete(ps.held, srv.ID)
		}
	}
	if !waiting && ps.epochEnded(epochKey{name: info.name, epoch: info.current.Epoch}) {
		ep.leavers = nil
	}
}

// endGroup orders the head to leave, which ends the group.
func (ps *pass) endGroup(info *groupInfo) {
	head := info.current.Head()
	if ps.reachable(head) && !ps.epochEnded(epochOf(head)) {
		ps.addOrder(head, site.Order{Kind: site.OrderLeave, Group: info.name, Epoch: info.current.Epoch})
	}
}
