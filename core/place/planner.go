package place

import (
	"fmt"
	"slices"
	"time"

	"kumquathinge/core/site"
)

// Timeouts and limits of orders and groups.
const (
	// orderTimeout is the time after which an order without effect on the
	// server's entry is sent again. It covers several round trips and the
	// propagation of an entry through the store.
	orderTimeout = 700 * time.Millisecond
	// conflictBackoff is the delay after an order that was refused or already
	// fulfilled, which lets the server's entry catch up.
	conflictBackoff = 150 * time.Millisecond
	// closeTimeout is the time for a closing group to finish its requests before
	// its members get new orders. Streams that are cut resume elsewhere.
	closeTimeout = 1200 * time.Millisecond
	// pinnedTimeout is this time while requests that may not be resumed are open at
	// the head. A leaving member stays for at most 10 s while its head has work.
	pinnedTimeout = 10 * time.Second
	// leavingServeTime is how long a group without a spare for a leaving member takes
	// requests that may not be resumed. They last up to 8 s.
	leavingServeTime = 1500 * time.Millisecond
	// spareWaitTime is the time for which the members of a group that has lost its head
	// wait for spares before they may complete other groups.
	spareWaitTime = 20 * time.Second
	// rejoinGrace is the time allowed for a running member to register again
	// after its entry was removed. Entries that expired during an outage of the
	// store or a partition are back about 2 s after it ends.
	rejoinGrace = 2200 * time.Millisecond
	// settleDelay is the time without new servers in a domain before a new group
	// may load models. Servers that return together register within about a
	// second and have models on their hosts.
	settleDelay = 1200 * time.Millisecond
	// historyRetention is the time for which the history of a server without an
	// entry is kept. Orders to it may still be carried out about 12 s late.
	historyRetention = 40 * time.Second
	// joinTimeoutMargin is added to the expected duration of a join.
	joinTimeoutMargin = 3 * time.Second
	// epochsPerTerm is the number of epochs reserved for each term.
	epochsPerTerm = 1 << 16
)

// TermOf returns the term of an epoch.
func TermOf(epoch int64) int64 { return epoch / epochsPerTerm }

// Input is the orderer's information at one moment.
type Input struct {
	Now   time.Time
	View  *site.View
	Table *site.Table
	// Unreachable reports whether a server with an entry doesn't respond.
	Unreachable func(id string) bool
	// Unregistered reports whether a server responds but has no entry. Such a
	// server receives no requests, so it may be a member but not a head. A nil
	// function means that there are none.
	Unregistered func(id string) bool
	// Slow reports whether a server slows its group down. A nil function means
	// that this is unknown.
	Slow func(id string) bool
	// Pinned returns the number of requests at a head that may neither be repeated nor
	// resumed. A nil function means that there are none.
	Pinned func(id string) int
	// Ended reports whether the process of a server is known to have ended, and not just
	// to be out of reach. A nil function means that this is never known.
	Ended func(id string) bool
	// StallTimeout is the time after which a head breaks that has lost a member. Zero
	// selects defaultStallTimeout.
	StallTimeout time.Duration
	// Active reports whether a head sent data a moment ago. A nil function means that
	// this is unknown.
	Active func(id string) bool
	// Utilisation maps a model to the mean fraction of the batch that requests
	// occupy in its groups, including waiting requests. It is nil until requests
	// have been counted.
	Utilisation map[string]float64
	// Demand maps a model to the demand of its callers at all nodes that groups are
	// to be provided for. It is nil until it is known.
	Demand map[string]site.ModelDemand
	// BeforeTraffic is true until requests arrive. Loads are cheap until then.
	BeforeTraffic bool
}

// pendingOrder is an order whose effect doesn't show in the server's entry yet.
type pendingOrder struct {
	order   site.Order
	sentAt  time.Time
	timeout time.Duration
}

// groupPlan is an epoch of a group that this orderer is forming.
type groupPlan struct {
	epoch     int64
	model     *site.Model
	members   []string
	startedAt time.Time
}

// serverHistory is the history of one process of a server.
type serverHistory struct {
	startMillis  int64
	domain, zone string
	// seenSince is when the entry of the process was first seen, or seen again,
	// goneSince when it was found missing.
	seenSince, goneSince time.Time
	// lastModel is the model of the server's most recent group.
	lastModel string
	// lastJoinEpoch is the highest epoch that the server was ordered to join,
	// whatever the result.
	lastJoinEpoch int64
	// epoch is the epoch of a group that the entry of the process showed last.
	epoch epochKey
}

// groupHistory is the history of the current epoch under a group's name.
type groupHistory struct {
	model string
	// closeSentAt is when the close order was sent, headLostAt when the head
	// became unreachable, and joiningSince when members were first seen to be
	// joining on orders of an earlier orderer.
	closeSentAt, headLostAt, joiningSince time.Time
	// missingSince is the time since which a member has no entry, leavingSince that since
	// which one is leaving and has no replacement.
	missingSince, leavingSince time.Time
	epoch                      int64
}

// Planner plans the groups of a deployment during one term of its orderer.
type Planner struct {
	term          int64
	epochsIssued  int64
	namesIssued   int64
	pendingOrders map[string]*pendingOrder
	plans         map[string]*groupPlan
	servers       map[string]*serverHistory
	groups        map[string]*groupHistory
	epochs        map[epochKey]*epochHistory
	loadLimiter   *loadLimiter
	losses        lossHistory
	// move is the transfer of servers to another model in progress, moveEndedAt the
	// end of the last one. decisions lists the moves that were not taken yet.
	move        *move
	moveEndedAt time.Time
	decisions   []Move
	// contendedUntil is the time until which the demand decides on groups.
	contendedUntil time.Time
}

// New returns a Planner for the term. The term must increase with each change
// of the orderer and have only one Planner, because group names and epochs
// derive from it.
func New(term int64) *Planner {
	return &Planner{
		term:          term,
		pendingOrders: map[string]*pendingOrder{},
		plans:         map[string]*groupPlan{},
		servers:       map[string]*serverHistory{},
		groups:        map[string]*groupHistory{},
		epochs:        map[epochKey]*epochHistory{},
		loadLimiter:   &loadLimiter{},
	}
}

// Renew continues with a later term, which the orderer got without another one in
// between. So what the Planner knows of its orders still holds.
func (pl *Planner) Renew(term int64) {
	pl.term, pl.epochsIssued = term, 0
}

// Term returns the term.
func (pl *Planner) Term() int64 { return pl.term }

// Step returns the orders to send now. It returns nil without a configuration.
func (pl *Planner) Step(in Input) []site.Order {
	if in.Table == nil {
		return nil
	}
	pl.expirePending(in)
	pl.updateHistory(in)
	pl.dropEvacuatedPlans(in)
	var out []site.Order
	for idx := range in.Table.Config().Services {
		svc := &in.Table.Config().Services[idx]
		if svc.Engine != nil {
			out = append(out, newPass(pl, in, svc).run()...)
		}
	}
	return out
}

// HandleResult records the result of an order.
func (pl *Planner) HandleResult(ord site.Order, res site.OrderResult, now time.Time) {
	pending := pl.pendingOrders[ord.Server]
	if pending == nil || pending.order.Kind != ord.Kind || pending.order.Epoch != ord.Epoch || pending.order.Group != ord.Group {
		return
	}
	if ord.Kind == site.OrderLeave && (res == site.OrderDone || res == site.OrderAccepted) {
		key := epochKey{name: ord.Group, epoch: ord.Epoch}
		pl.recordLeft(key, ord.Server, now)
		if ep := pl.epochs[key]; ep != nil && !slices.Contains(ep.leavers, ord.Server) {
			ep.leavers = append(ep.leavers, ord.Server)
		}
		// A leave takes effect at once, so the entry need not show it before the next order.
		delete(pl.pendingOrders, ord.Server)
		return
	}
	if res != site.OrderAccepted && res != site.OrderUnknown {
		// The server was already in the state, or the order doesn't fit its
		// state. In both cases its entry soon shows more.
		pending.sentAt = now
		pending.timeout = conflictBackoff
	}
}

// expirePending removes pending orders that took effect or timed out.
func (pl *Planner) expirePending(in Input) {
	for id, pending := range pl.pendingOrders {
		srv := in.View.Server(id)
		if srv == nil || inEffect(pending.order, srv) || in.Now.Sub(pending.sentAt) >= pending.timeout {
			delete(pl.pendingOrders, id)
		}
	}
}

// inEffect reports whether a server's entry shows the effect of an order.
func inEffect(ord site.Order, srv *site.Server) bool {
	same := srv.Group.Name == ord.Group && srv.Group.Epoch == ord.Epoch
	switch ord.Kind {
	case site.OrderJoin:
		return same
	case site.OrderOpen:
		return !same || srv.Group.State == site.GroupOpen
	case site.OrderClose:
		return !same || srv.Group.State != site.GroupOpen
	case site.OrderLeave:
		return !same
	}
	return true
}

// updateHistory records state that entries show only temporarily, and removes
// the history of servers that are gone.
func (pl *Planner) updateHistory(in Input) {
	for id, srv := range in.View.Servers() {
		hist := pl.servers[id]
		if hist == nil || hist.startMillis != srv.StartMillis {
			next := &serverHistory{startMillis: srv.StartMillis, seenSince: in.Now, domain: srv.Domain, zone: srv.Zone}
			if hist != nil {
				// The process before has left its epoch.
				next.epoch = hist.epoch
			}
			hist = next
			pl.servers[id] = hist
		}
		if !hist.goneSince.IsZero() {
			hist.seenSince, hist.goneSince = in.Now, time.Time{}
		}
		if srv.Model != "" {
			hist.lastModel = srv.Model
		}
	}
	for id, hist := range pl.servers {
		if in.View.Server(id) != nil {
			continue
		}
		if hist.goneSince.IsZero() {
			hist.goneSince = in.Now
			if !in.View.Evacuated(hist.zone) {
				pl.losses.record(hist.domain, in.Now)
			}
		}
		if in.Now.Sub(hist.goneSince) > historyRetention {
			delete(pl.servers, id)
		}
	}
	pl.updateEpochs(in)
	seen := map[string]bool{}
	for _, grp := range in.View.Groups() {
		// What was observed of a group before an evacuation is outdated after it.
		seen[grp.Name] = !in.View.GroupEvacuated(grp)
	}
	for name, hist := range pl.groups {
		if !seen[name] {
			// Observations from before the group disappeared are outdated when it
			// returns.
			hist.closeSentAt, hist.headLostAt, hist.joiningSince, hist.missingSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// group returns the history of the named group.
func (pl *Planner) group(name string) *groupHistory {
	hist := pl.groups[name]
	if hist == nil {
		hist = &groupHistory{}
		pl.groups[name] = hist
	}
	return hist
}

// nextEpoch returns an epoch higher than all issued before.
func (pl *Planner) nextEpoch() int64 {
	pl.epochsIssued++
	return pl.term*epochsPerTerm + pl.epochsIssued
}

// nextName returns an unused group name.
func (pl *Planner) nextName() string {
	pl.namesIssued++
	return fmt.Sprintf("g%d-%d", pl.term, pl.namesIssued)
}

// loadLimiter limits the rate of loads from the weight store.
type loadLimiter struct {
	starts []time.Time
}

// loadWindow is the window over which loads are counted.
const loadWindow = 5 * time.Second

// available returns how many loads may start now at the given rate per second.
func (lim *loadLimiter) available(now time.Time, rate float64) int {
	for len(lim.starts) > 0 && now.Sub(lim.starts[0]) >= loadWindow {
		lim.starts = lim.starts[1:]
	}
	return int(rate*loadWindow.Seconds()) - len(lim.starts)
}

func (lim *loadLimiter) record(now time.Time) { lim.starts = append(lim.starts, now) }
