package place

import (
	"fmt"
	"time"

	"kumquathinge/core/site"
)

// Bounds of orders and groups.
const (
	// orderTimeout is the time after which an order without an effect in the
	// server's entry is sent again. It is several round trips and the time
	// that an entry takes through the store.
	orderTimeout = 700 * time.Millisecond
	// conflictBackoff is the wait after a refused order, so that the server's
	// entry can catch up.
	conflictBackoff = 150 * time.Millisecond
	// closeTimeout is the time that a closing group has to end its requests
	// before its members are ordered on; streams that are cut go on elsewhere.
	closeTimeout = 1200 * time.Millisecond
	// headLossTimeout is the time after which the members of a group whose head
	// can't be reached may serve in other groups. A head that is cut off longer
	// and stays open is not told from one that is gone; cuts of 10 s are usual.
	headLossTimeout = 20 * time.Second
	// rejoinGrace is the time within which a member whose entry went registers
	// again if it lives: entries that lapsed while the store was away, or cut
	// off, are back about 2 s after its return.
	rejoinGrace = 2200 * time.Millisecond
	// settleDelay is the time for which a domain waits for further servers
	// before loads are begun for a new group: those that come back together
	// register within about a second, with models on their hosts.
	settleDelay = 1200 * time.Millisecond
	// historyRetention is the time for which a server without an entry is remembered:
	// orders to it may be carried out some 12 s late.
	historyRetention = 40 * time.Second
	// joinTimeoutMargin is added to the time that a join may take.
	joinTimeoutMargin = 3 * time.Second
	// epochsPerTerm is the number of epochs that one term can give out.
	epochsPerTerm = 1 << 16
)

// Input is what the orderer knows at one moment.
type Input struct {
	Now time.Time
	// View holds the servers, Table the configuration.
	View  *site.View
	Table *site.Table
	// Unreachable reports whether a server that still has an entry doesn't answer.
	Unreachable func(id string) bool
	// Unregistered reports whether a server has no entry but answers: it may be a
	// member and not a head, since no requests go to it. Nil stands for none.
	Unregistered func(id string) bool
	// Slow reports whether a server holds its group up; nil if unknown.
	Slow func(id string) bool
	// Utilisation is the mean part of the batch that requests take at the groups of a
	// model, by its name; those that wait count as well. It is nil until requests
	// have been counted.
	Utilisation map[string]float64
	// BeforeTraffic tells that traffic has not started, so that loads are cheap.
	BeforeTraffic bool
}

// pendingOrder is an order whose effect is not yet in the server's entry.
type pendingOrder struct {
	order   site.Order
	sentAt  time.Time
	timeout time.Duration
}

// groupPlan is a group that this orderer forms.
type groupPlan struct {
	epoch     int64
	model     *site.Model
	members   []string
	startedAt time.Time
}

// serverHistory is what is remembered of one life of a server.
type serverHistory struct {
	startMillis int64
	// firstSeenAt is the time of the first look at this life, gone that since which it
	// has no entry.
	firstSeenAt, goneSince time.Time
	// lastModel is the model of the last group.
	lastModel string
	// stagingModel is the model that is being loaded onto the host, until the time.
	stagingModel    string
	stagingDeadline time.Time
	// lastJoinEpoch is the highest epoch that the server was told to join, whether it
	// answered or not.
	lastJoinEpoch int64
	// headUnknownSince is the time since which the server is a member of an epoch whose
	// head is not known to have left it.
	headUnknownSince time.Time
}

// groupHistory is what is remembered of a group's name.
type groupHistory struct {
	model string
	// closeSentAt is the time of the order to close, orphaned the time since which
	// the head can't be reached, joining the time since which members join
	// that an earlier orderer told to.
	closeSentAt, headLostAt, joiningSince time.Time
	// missingSince is the time since which a member has no entry.
	missingSince time.Time
	// headLeft tells that the head has left by order.
	headLeft bool
	epoch    int64
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
	// headByEpoch are the heads of the epochs of groups, as far as they were seen.
	headByEpoch map[epochKey]string
	loadLimiter *loadLimiter
}

// epochKey names an epoch of a group.
type epochKey struct {
	name  string
	epoch int64
}

// New returns a Machine for the term. Terms grow with each change of the
// orderer, and a term has one Machine only: names and epochs come from it.
func New(term int64) *Planner {
	return &Planner{
		term:          term,
		pendingOrders: map[string]*pendingOrder{},
		plans:         map[string]*groupPlan{},
		servers:       map[string]*serverHistory{},
		groups:        map[string]*groupHistory{},
		headByEpoch:   map[epochKey]string{},
		loadLimiter:   &loadLimiter{},
	}
}

// Term returns the term.
func (pl *Planner) Term() int64 { return pl.term }

// Step returns the orders to send now.
func (pl *Planner) Step(in Input) []site.Order {
	if in.Table == nil {
		return nil
	}
	pl.expirePending(in)
	pl.updateHistory(in)
	var out []site.Order
	for idx := range in.Table.Config().Services {
		svc := &in.Table.Config().Services[idx]
		if svc.Engine != nil {
			out = append(out, newPass(pl, in, svc).run()...)
		}
	}
	return out
}

// HandleResult tells how a server answered an order.
func (pl *Planner) HandleResult(ord site.Order, res site.OrderResult, now time.Time) {
	pending := pl.pendingOrders[ord.Server]
	if pending == nil || pending.order.Kind != ord.Kind || pending.order.Epoch != ord.Epoch || pending.order.Group != ord.Group {
		return
	}
	if hist := pl.groups[ord.Group]; hist != nil && ord.Kind == site.OrderLeave && res == site.OrderDone && hist.epoch == ord.Epoch {
		hist.headLeft = true
	}
	if res != site.OrderAccepted && res != site.OrderUnknown {
		// The state held before, or the order doesn't fit: in both cases the
		// entry soon shows more.
		pending.sentAt = now
		pending.timeout = conflictBackoff
	}
}

// expirePending forgets orders that took effect or got no answer in time.
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
	return srv.HasStaged(ord.Model)
}

// updateHistory notes the models of servers and groups, which entries show only for
// a time, and forgets servers that are gone.
func (pl *Planner) updateHistory(in Input) {
	for id, srv := range in.View.Servers() {
		hist := pl.servers[id]
		if hist == nil || hist.startMillis != srv.StartMillis {
			hist = &serverHistory{startMillis: srv.StartMillis, firstSeenAt: in.Now}
			pl.servers[id] = hist
		}
		if srv.Model != "" {
			hist.lastModel = srv.Model
		}
		if hist.stagingModel != "" && (srv.HasStaged(hist.stagingModel) || !in.Now.Before(hist.stagingDeadline)) {
			hist.stagingModel = ""
		}
	}
	for id, hist := range pl.servers {
		if in.View.Server(id) != nil {
			hist.goneSince = time.Time{}
			continue
		}
		if hist.goneSince.IsZero() {
			hist.goneSince, hist.headUnknownSince = in.Now, time.Time{}
		}
		if in.Now.Sub(hist.goneSince) > historyRetention {
			delete(pl.servers, id)
		}
	}
	seen := map[string]bool{}
	for _, grp := range in.View.Groups() {
		seen[grp.Name] = true
		if head := grp.Head(); head != nil {
			pl.headByEpoch[epochKey{name: grp.Name, epoch: grp.Epoch}] = head.ID
		}
	}
	for name, hist := range pl.groups {
		if !seen[name] {
			// What was seen before the group went out of sight says nothing of it
			// when it comes back.
			hist.closeSentAt, hist.headLostAt, hist.joiningSince, hist.missingSince = time.Time{}, time.Time{}, time.Time{}, time.Time{}
		}
	}
}

// headHasLeft reports whether the head of a member's epoch is known not to serve
// it any more.
func (pl *Planner) headHasLeft(srv *site.Server, view *site.View) bool {
	id, ok := pl.headByEpoch[epochKey{name: srv.Group.Name, epoch: srv.Group.Epoch}]
	if !ok {
		return false
	}
	head := view.Server(id)
	return head != nil && (head.Group.Name != srv.Group.Name || head.Group.Epoch != srv.Group.Epoch)
}

// group returns what is remembered of a group's name.
func (pl *Planner) group(name string) *groupHistory {
	hist := pl.groups[name]
	if hist == nil {
		hist = &groupHistory{}
		pl.groups[name] = hist
	}
	return hist
}

// nextEpoch returns an epoch that is higher than any given out before.
func (pl *Planner) nextEpoch() int64 {
	pl.epochsIssued++
	return pl.term*epochsPerTerm + pl.epochsIssued
}

// nextName returns a new name of a group.
func (pl *Planner) nextName() string {
	pl.namesIssued++
	return fmt.Sprintf("g%d-%d", pl.term, pl.namesIssued)
}

// loadLimiter bounds the loads from the weight store.
type loadLimiter struct {
	starts []time.Time
}

// loadWindow is the time over which loads are counted.
const loadWindow = 5 * time.Second

// available returns how many loads may begin now at the rate of loads a second.
func (lim *loadLimiter) available(now time.Time, rate float64) int {
	for len(lim.starts) > 0 && now.Sub(lim.starts[0]) >= loadWindow {
		lim.starts = lim.starts[1:]
	}
	return int(rate*loadWindow.Seconds()) - len(lim.starts)
}

// record counts one load.
func (lim *loadLimiter) record(now time.Time) { lim.starts = append(lim.starts, now) }
