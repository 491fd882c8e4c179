package place

import (
	"slices"
	"time"

	"kumquathinge/core/site"
)

// repair brings a group that misses members, or that a member leaves, back
// under its own name with a new epoch, or ends it. The members are held.
func (ps *pass) repair(info *groupInfo) {
	hist := ps.planner.group(info.name)
	if info.current == nil {
		return
	}
	members := info.survivors(ps)
	if ps.mayRejoin(info, hist) {
		if info.model != nil {
			ps.serverCount[info.model.Name] += info.model.GroupSize
		}
		return
	}
	if len(members) == 0 || ps.reachable(info.current.Head()) {
		hist.headLostAt = time.Time{}
	}
	if len(members) == 0 || info.model == nil {
		// Nobody can be asked: all are lost, or leave, or have told no model.
		ps.endGroup(info)
		return
	}
	spares := ps.sortByJoinCost(info.model, ps.replacementsFor(info.model, ps.freeServers(info.current.Domain)))
	need := info.model.GroupSize - len(members)
	quick := need <= 0 || need <= len(spares) && ps.joinCost(info.model, spares[need-1]) <= costStaging
	if quick || need <= len(spares) && !ps.reachable(info.current.Head()) {
		// Members whose head is lost serve under their own name only, so loading
		// a spare is better than waiting.
		ps.replaceMembers(info, hist, members, spares[:max(0, need)])
		return
	}
	if ps.operational(info) {
		// A member leaves and none can stand in: the group serves on while the
		// member stays.
		ps.serverCount[info.model.Name] += len(members)
		return
	}
	ps.dissolve(info, hist, members)
}

// mayRejoin reports whether a group misses only entries of members that may
// live and register again.
func (ps *pass) mayRejoin(info *groupInfo, hist *groupHistory) bool {
	grp := info.current
	if grp.Complete() {
		hist.missingSince = time.Time{}
		return false
	}
	if slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return member != nil && !ps.usable(member) }) {
		return false
	}
	if head := grp.Head(); hist.headLeft || head != nil && head.Group.State != site.GroupOpen && head.Group.State != site.GroupReady {
		return false
	}
	if hist.missingSince.IsZero() {
		hist.missingSince = ps.input.Now
	}
	return ps.input.Now.Sub(hist.missingSince) < rejoinGrace
}

// holdOlderMembers holds the members of earlier epochs of a name: heads that may
// serve are told to leave, and others wait until their head surely doesn't.
func (ps *pass) holdOlderMembers(info *groupInfo) {
	older := info.olderMembers
	if info.plan != nil && info.current != nil && info.current.Epoch < info.plan.epoch {
		older = append(slices.Clone(older), info.members...)
	}
	for _, srv := range older {
		if !ps.reachable(srv) || ps.held[srv.ID] {
			continue
		}
		switch {
		case mayServe(srv):
			ps.hold(srv)
			ps.addOrder(srv, site.Order{Kind: site.OrderLeave, Group: srv.Group.Name, Epoch: srv.Group.Epoch})
		case srv.Group.Rank > 0 && ps.headMayServe(srv):
			ps.hold(srv)
		}
	}
}

// headMayServe reports whether the head of a member's epoch may still serve.
func (ps *pass) headMayServe(srv *site.Server) bool {
	hist := ps.planner.servers[srv.ID]
	if ps.planner.headHasLeft(srv, ps.input.View) {
		hist.headUnknownSince = time.Time{}
		return false
	}
	if hist.headUnknownSince.IsZero() {
		hist.headUnknownSince = ps.input.Now
	}
	return ps.input.Now.Sub(hist.headUnknownSince) < headLossTimeout
}

// mayServe reports whether a server may serve as the head of its group by now:
// its entry may be older than an order to open.
func mayServe(srv *site.Server) bool {
	state := srv.Group.State
	return srv.Group.Rank == 0 && (state == site.GroupReady || state == site.GroupOpen || state == site.GroupClosing)
}

// operational reports whether no member is missing and the head may serve.
func (ps *pass) operational(info *groupInfo) bool {
	grp := info.current
	return grp.Complete() && (grp.Head().Group.State == site.GroupOpen || grp.Head().Group.State == site.GroupClosing) &&
		!slices.ContainsFunc(grp.Members, func(member *site.Server) bool { return !ps.reachable(member) })
}

// replaceMembers starts a new epoch with the survivors and the spares. A group that
// serves gets a short time to end its requests first, if it still can.
func (ps *pass) replaceMembers(info *groupInfo, hist *groupHistory, members, spares []*site.Server) {
	head := info.current.Head()
	if ps.operational(info) {
		if hist.closeSentAt.IsZero() {
			if ps.addOrder(head, site.Order{Kind: site.OrderClose, Group: info.name, Epoch: info.current.Epoch}) {
				hist.closeSentAt = ps.input.Now
			}
			return
		}
		if ps.input.Now.Sub(hist.closeSentAt) < closeTimeout {
			ps.hold(spares...)
			return
		}
	}
	members = append(slices.Clone(members), spares...)[:info.model.GroupSize]
	if !ps.registered(members[0]) {
		return
	}
	if slices.ContainsFunc(members, func(member *site.Server) bool { return ps.planner.pendingOrders[member.ID] != nil }) || !ps.reserveLoads(info.model, members) {
		return
	}
	ps.startEpoch(info.name, info.model, members)
}

// dissolve ends a group for which there are no spares. Its members are free
// for others as soon as its head surely doesn't serve.
func (ps *pass) dissolve(info *groupInfo, hist *groupHistory, members []*site.Server) {
	head := info.current.Head()
	switch {
	case ps.reachable(head) && (head.Group.State == site.GroupJoining || head.Group.State == site.GroupBroken):
		ps.release(members)
	case ps.reachable(head):
		ps.endGroup(info)
	default:
		if hist.headLostAt.IsZero() {
			hist.headLostAt = ps.input.Now
		}
		if head == nil && (hist.headLeft || ps.planner.headHasLeft(info.members[0], ps.input.View)) || ps.input.Now.Sub(hist.headLostAt) > headLossTimeout {
			ps.release(members)
		}
	}
}

// endGroup ends a group at its head.
func (ps *pass) endGroup(info *groupInfo) {
	head := info.current.Head()
	if ps.reachable(head) {
		ps.addOrder(head, site.Order{Kind: site.OrderLeave, Group: info.name, Epoch: info.current.Epoch})
	}
}

// release lets servers join other groups. One that may serve as a head is told
// to leave its group first.
func (ps *pass) release(srvs []*site.Server) {
	for _, srv := range srvs {
		if mayServe(srv) {
			ps.addOrder(srv, site.Order{Kind: site.OrderLeave, Group: srv.Group.Name, Epoch: srv.Group.Epoch})
			continue
		}
		delete(ps.held, srv.ID)
	}
}
