package place

import (
	"cmp"
	"time"

	"kumquathinge/core/site"
)

const (
	// defaultStallTimeout replaces an unknown Input.StallTimeout.
	defaultStallTimeout = 5 * time.Second
	// stallMargin is added to the stall timeout, and a tenth of the timeout: the clocks of
	// servers differ, and the head may notice the loss of a member late.
	stallMargin        = 250 * time.Millisecond
	stallMarginDivisor = 10
)

// epochKey identifies an epoch of a group.
type epochKey struct {
	name  string
	epoch int64
}

func epochOf(srv *site.Server) epochKey {
	return epochKey{name: srv.Group.Name, epoch: srv.Group.Epoch}
}

// epochHistory is what is known of an epoch of a group.
type epochHistory struct {
	// head is the ID of the head, empty if unknown.
	head string
	// headLeft is set once the head is known to have left the epoch.
	headLeft bool
	// headEnded is set once the process of the head is known to have ended.
	headEnded bool
	// issued is set if this orderer issued the epoch, opened if it has ordered the head to
	// open since.
	issued, opened bool
	// stalledSince is when a member was first known to have left the epoch. The head
	// stands still since then and breaks.
	stalledSince time.Time
	// leavers are the members that left on an order.
	leavers []string
	seenAt  time.Time
}

// epoch returns the history of an epoch.
func (pl *Planner) epoch(key epochKey) *epochHistory {
	ep := pl.epochs[key]
	if ep == nil {
		ep = &epochHistory{}
		pl.epochs[key] = ep
	}
	return ep
}

// updateEpochs records which epochs the servers belong to and which they have left.
func (pl *Planner) updateEpochs(in Input) {
	for id, srv := range in.View.Servers() {
		hist := pl.servers[id]
		if before := hist.epoch; before != (epochKey{}) && before != epochOf(srv) {
			pl.recordLeft(before, id, in.Now)
		}
		hist.epoch = epochOf(srv)
		if srv.Group.Name == "" {
			hist.epoch = epochKey{}
			continue
		}
		ep := pl.epoch(hist.epoch)
		ep.seenAt = in.Now
		if srv.Group.Rank == 0 {
			ep.head = id
		}
	}
	for key, ep := range pl.epochs {
		if in.Now.Sub(ep.seenAt) > historyRetention {
			delete(pl.epochs, key)
		}
	}
}

// recordLeft records that a server is known to have left an epoch.
func (pl *Planner) recordLeft(key epochKey, id string, now time.Time) {
	ep := pl.epochs[key]
	switch {
	case ep == nil:
	case ep.head == id:
		ep.headLeft = true
	case ep.stalledSince.IsZero():
		ep.stalledSince = now
	}
}

// epochEnded reports whether the head of an epoch is known not to serve and not to stand
// still: it was never opened, has left, has ended, or is broken.
func (ps *pass) epochEnded(key epochKey) bool {
	ep := ps.planner.epoch(key)
	if ep.headLeft || ep.headEnded || ep.issued && !ep.opened {
		return true
	}
	if ep.head != "" {
		head := ps.input.View.Server(ep.head)
		switch {
		case head != nil && epochOf(head) == key && head.Group.State == site.GroupBroken:
			return true
		case ps.input.Ended != nil && ps.input.Ended(ep.head) && (head == nil || !head.Draining):
			// A draining head finishes its requests after it has stopped listening.
			ep.headEnded = true
			return true
		}
	}
	return !ep.stalledSince.IsZero() && ps.input.Now.Sub(ep.stalledSince) >= ps.stallTime()
}

// stallTime returns the time after the loss of a member from which a head is broken.
func (ps *pass) stallTime() time.Duration {
	timeout := cmp.Or(ps.input.StallTimeout, defaultStallTimeout)
	return timeout + timeout/stallMarginDivisor + stallMargin
}

// mayJoin reports whether a server may be ordered to join another epoch: it belongs to none
// but a warm-up group, or the head of its epoch doesn't serve any more.
func (ps *pass) mayJoin(srv *site.Server) bool {
	return srv.Group.Name == "" || isWarmUp(srv.Group.Name) || ps.epochEnded(epochOf(srv))
}

// endEpoch ends the epoch to which a server belongs, and reports whether it has ended. A
// head that can be reached is ordered to leave. Of another one, which may still serve, a
// member is, unless the head sends data to other nodes: it stands still then until it breaks.
func (ps *pass) endEpoch(srv *site.Server) bool {
	if ps.mayJoin(srv) {
		return true
	}
	ep := ps.planner.epoch(epochOf(srv))
	leaver := ps.input.View.Server(ep.head)
	if leaver == nil || epochOf(leaver) != epochOf(srv) || !ps.reachable(leaver) {
		leaver = srv
		if !ep.stalledSince.IsZero() || !ps.reachable(srv) || ps.active(ep.head) {
			return false
		}
	}
	if ps.addOrder(leaver, site.Order{Kind: site.OrderLeave, Group: srv.Group.Name, Epoch: srv.Group.Epoch}) {
		ps.hold(leaver)
	}
	return false
}

// leavers returns the usable servers that left an epoch on an order and belong to no group
// yet.
func (ps *pass) leavers(key epochKey) []*site.Server {
	var out []*site.Server
	if ep := ps.planner.epochs[key]; ep != nil {
		for _, id := range ep.leavers {
			if srv := ps.input.View.Server(id); ps.usable(srv) && srv.Group.Name == "" {
				out = append(out, srv)
			}
		}
	}
	return out
}
