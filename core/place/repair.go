package place

import (
	"slices"
	"time"

	"kumquathinge/core/site"
)

// repair brings a group that misses members, or that a member leaves, back
// under its own name with a new epoch, or ends it. The members are held.
func (stp *step) repair(sqd *squad) {
	trc := stp.mac.trace(sqd.name)
	if sqd.group == nil {
		return
	}
	mems := sqd.survivors(stp)
	if stp.mayRejoin(sqd, trc) {
		if sqd.model != nil {
			stp.have[sqd.model.Name] += sqd.model.GroupSize
		}
		return
	}
	if len(mems) == 0 || stp.present(sqd.group.Head()) {
		trc.orphaned = time.Time{}
	}
	if len(mems) == 0 || sqd.model == nil {
		// Nobody can be asked: all are lost, or leave, or have told no model.
		stp.leave(sqd)
		return
	}
	spares := stp.fastest(sqd.model, stp.lent(sqd.model, stp.free(sqd.group.Domain)))
	need := sqd.model.GroupSize - len(mems)
	quick := need <= 0 || need <= len(spares) && stp.rank(sqd.model, spares[need-1]) <= rankStaging
	if quick || need <= len(spares) && !stp.present(sqd.group.Head()) {
		// Members whose head is lost serve under their own name only, so loading
		// a spare is better than waiting.
		stp.replace(sqd, trc, mems, spares[:max(0, need)])
		return
	}
	if stp.working(sqd) {
		// A member leaves and none can stand in: the group serves on while the
		// member stays.
		stp.have[sqd.model.Name] += len(mems)
		return
	}
	stp.dissolve(sqd, trc, mems)
}

// mayRejoin reports whether a group misses only entries of members that may
// live and register again.
func (stp *step) mayRejoin(sqd *squad, trc *trace) bool {
	grp := sqd.group
	if grp.Complete() {
		trc.missing = time.Time{}
		return false
	}
	if slices.ContainsFunc(grp.Members, func(mem *site.Server) bool { return mem != nil && !stp.usable(mem) }) {
		return false
	}
	if hea := grp.Head(); trc.left || hea != nil && hea.Group.State != site.GroupOpen && hea.Group.State != site.GroupReady {
		return false
	}
	if trc.missing.IsZero() {
		trc.missing = stp.inp.Now
	}
	return stp.inp.Now.Sub(trc.missing) < rejoinGrace
}

// keepOlder holds the members of earlier epochs of a name: heads that may
// serve are told to leave, and others wait until their head surely doesn't.
func (stp *step) keepOlder(sqd *squad) {
	older := sqd.older
	if sqd.plan != nil && sqd.group != nil && sqd.group.Epoch < sqd.plan.epoch {
		older = append(slices.Clone(older), sqd.all...)
	}
	for _, srv := range older {
		if !stp.present(srv) || stp.held[srv.ID] {
			continue
		}
		switch {
		case mayServe(srv):
			stp.hold(srv)
			stp.send(srv, site.Order{Kind: site.OrderLeave, Group: srv.Group.Name, Epoch: srv.Group.Epoch})
		case srv.Group.Rank > 0 && stp.stray(srv):
			stp.hold(srv)
		}
	}
}

// stray reports whether the head of a member's epoch may still serve.
func (stp *step) stray(srv *site.Server) bool {
	pst := stp.mac.pasts[srv.ID]
	if stp.mac.headLeft(srv, stp.inp.View) {
		pst.stray = time.Time{}
		return false
	}
	if pst.stray.IsZero() {
		pst.stray = stp.inp.Now
	}
	return stp.inp.Now.Sub(pst.stray) < orphanBound
}

// mayServe reports whether a server may serve as the head of its group by now:
// its entry may be older than an order to open.
func mayServe(srv *site.Server) bool {
	sta := srv.Group.State
	return srv.Group.Rank == 0 && (sta == site.GroupReady || sta == site.GroupOpen || sta == site.GroupClosing)
}

// working reports whether no member is missing and the head may serve.
func (stp *step) working(sqd *squad) bool {
	grp := sqd.group
	return grp.Complete() && (grp.Head().Group.State == site.GroupOpen || grp.Head().Group.State == site.GroupClosing) &&
		!slices.ContainsFunc(grp.Members, func(mem *site.Server) bool { return !stp.present(mem) })
}

// replace starts a new epoch with the survivors and the spares. A group that
// serves gets a short time to end its requests first, if it still can.
func (stp *step) replace(sqd *squad, trc *trace, mems, spares []*site.Server) {
	hea := sqd.group.Head()
	if stp.working(sqd) {
		if trc.closed.IsZero() {
			if stp.send(hea, site.Order{Kind: site.OrderClose, Group: sqd.name, Epoch: sqd.group.Epoch}) {
				trc.closed = stp.inp.Now
			}
			return
		}
		if stp.inp.Now.Sub(trc.closed) < closeBound {
			stp.hold(spares...)
			return
		}
	}
	mems = append(slices.Clone(mems), spares...)[:sqd.model.GroupSize]
	if !stp.listed(mems[0]) {
		return
	}
	if slices.ContainsFunc(mems, func(mem *site.Server) bool { return stp.mac.pend[mem.ID] != nil }) || !stp.load(sqd.model, mems) {
		return
	}
	stp.start(sqd.name, sqd.model, mems)
}

// dissolve ends a group for which there are no spares. Its members are free
// for others as soon as its head surely doesn't serve.
func (stp *step) dissolve(sqd *squad, trc *trace, mems []*site.Server) {
	hea := sqd.group.Head()
	switch {
	case stp.present(hea) && (hea.Group.State == site.GroupJoining || hea.Group.State == site.GroupBroken):
		stp.release(mems)
	case stp.present(hea):
		stp.leave(sqd)
	default:
		if trc.orphaned.IsZero() {
			trc.orphaned = stp.inp.Now
		}
		if hea == nil && (trc.left || stp.mac.headLeft(sqd.all[0], stp.inp.View)) || stp.inp.Now.Sub(trc.orphaned) > orphanBound {
			stp.release(mems)
		}
	}
}

// leave ends a group at its head.
func (stp *step) leave(sqd *squad) {
	hea := sqd.group.Head()
	if stp.present(hea) {
		stp.send(hea, site.Order{Kind: site.OrderLeave, Group: sqd.name, Epoch: sqd.group.Epoch})
	}
}

// release lets servers join other groups. One that may serve as a head is told
// to leave its group first.
func (stp *step) release(srvs []*site.Server) {
	for _, srv := range srvs {
		if mayServe(srv) {
			stp.send(srv, site.Order{Kind: site.OrderLeave, Group: srv.Group.Name, Epoch: srv.Group.Epoch})
			continue
		}
		delete(stp.held, srv.ID)
	}
}
