package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/place"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// orderTickInterval is the longest interval between two steps of the
	// orderer.
	orderTickInterval = 100 * time.Millisecond
	// orderTimeout limits the wait for the response to an order.
	orderTimeout = 600 * time.Millisecond
	// termConfirmMaxAge is the time for which a successful read of the nodes
	// topic confirms the term. The topic is read about twice within it.
	termConfirmMaxAge = 3 * time.Second
	// resumeConfirmTimeout is the time for which a resumed VM waits for the
	// store to confirm its term. After it the orderer relies on the heartbeats
	// of its peers.
	resumeConfirmTimeout = 4 * time.Second
	// claimDelay is the delay before a claim. It lets the heartbeats of the
	// peers arrive.
	claimDelay = 200 * time.Millisecond
	// suspendThreshold is the interval between two steps that shows that the
	// process was suspended. Another node may have become the orderer
	// meanwhile.
	suspendThreshold = 600 * time.Millisecond
	// activationDelay is the time from becoming active to the first order. It
	// lets the states that servers reported replace outdated entries.
	activationDelay = 150 * time.Millisecond
	// claimRankDelay is added to claimDelay for each reachable node that
	// precedes this one in the order of names.
	claimRankDelay = 250 * time.Millisecond
	// renewTimeout is the longest time since this node was the active orderer after
	// which it may renew its claim in another era of the store.
	renewTimeout = time.Second
	// settleRetryInterval is the time between two attempts to record that the era of
	// the store is settled.
	settleRetryInterval = 2 * time.Second
)

// orderer forms the groups while this node is the elected leader: it probes
// suspect servers and sends the orders (join, open, close, leave) that
// core/place plans. Otherwise it watches the current orderer and claims the
// role when that one fails.
type orderer struct {
	state        *sharedState
	health       *storeHealth
	store        *platform.Store
	serverClient *platform.Servers
	peers        *peers
	loads        *loadTracker
	registry     *serverRegistry
	log          *logrus.Logger
	metrics      *nodeMetrics
	self         nodeRecord
	stopping     func() bool
	requestCount func() int64
	// stallTimeout returns the time after which a head breaks that has lost a member.
	stallTimeout func() time.Duration

	planner *place.Planner
	// coldStart is set if no group served when this node became the orderer.
	coldStart bool
	// failedTerm is a term in which this node no longer acts as the orderer after
	// an unexpected error.
	failedTerm int64
	// activeUntil is when this node was last active, and renewedTerm the term that it
	// got for the next era of the store without another orderer in between.
	activeUntil time.Time
	renewedTerm int64
	// claimedAt is when this node last tried to claim the role.
	claimedAt time.Time
	// settleTriedAt is when this node last recorded that the era is settled.
	settleTriedAt time.Time
	// activatedAt is when this node last became active.
	activatedAt time.Time
	active      atomic.Bool
	// inCharge is set while this node is active, or waits for the entries of servers to
	// be current.
	inCharge       atomic.Bool
	resumedAt      time.Time
	faults         map[string]serverFault
	groupProbedAt  map[string]time.Time
	candidateSince time.Time
	lastStepAt     time.Time
	callbacks      chan func()
	// loadByModel is the mean load by model, last updated at loadSampledAt.
	loadByModel   map[string]float64
	loadSampledAt time.Time
	demand        demandCollector
	unregistered  unregisteredMembers
	// outages maps names to the groups that lost a member and do not serve yet.
	outages map[string]groupOutage
	// ordered maps server IDs to the servers that recently received orders.
	// observedSnapshot holds their reported states, which are sent to the
	// peers.
	ordered          map[string]*orderedServer
	observedSnapshot atomic.Pointer[[]observedState]
	// silentNodes maps names to the nodes that have a record but send no
	// heartbeats.
	silentNodes map[string]silentNode
	// lostSnapshot holds the IDs of the lost servers, which are sent to the
	// peers.
	lostSnapshot atomic.Pointer[[]string]
}

// run acts as the orderer, or watches the current one, until ctx ends.
func (ord *orderer) run(ctx context.Context) error {
	ord.faults = map[string]serverFault{}
	ord.groupProbedAt = map[string]time.Time{}
	ord.ordered = map[string]*orderedServer{}
	ord.outages = map[string]groupOutage{}
	ord.silentNodes = map[string]silentNode{}
	ord.unregistered.byID = map[string]*unregisteredMember{}
	ord.unregistered.seenExpired = map[string]*site.Server{}
	ord.callbacks = make(chan func(), 256)
	ticker := time.NewTicker(orderTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fn := <-ord.callbacks:
			fn()
		case <-ord.state.changed:
		case <-ticker.C:
		}
		ord.step(ctx, time.Now())
	}
}

// step performs the work that is due at now.
func (ord *orderer) step(ctx context.Context, now time.Time) {
	defer recoverPanic(ord.log, ord.metrics, "orderer", ord.failTerm)
	// The monotonic clock may stop while the VM is suspended, so the wall clock
	// is compared.
	elapsed := now.Round(0).Sub(ord.lastStepAt.Round(0))
	if elapsed > suspendThreshold {
		ord.resumedAt = now
	}
	ord.lastStepAt = now
	ord.demand.sample(ord.state.table.Load(), ord.loads, ord.metrics, now)
	cluster := ord.state.cluster.Load()
	if cluster.term == 0 || cluster.orderer != ord.self || cluster.term == ord.failedTerm {
		ord.deactivate(lostRoleReason(cluster))
		ord.tryClaim(ctx, cluster, now)
		return
	}
	if reason := ord.blockReason(cluster, now); reason != "" {
		ord.deactivate(reason)
		return
	}
	if ord.servedTerm() > cluster.term {
		// A copy of the store showed earlier entries when this node claimed the role.
		ord.deactivate("a server has an epoch of a later term")
		ord.claim(ctx, cluster, now, false)
		return
	}
	if ord.planner != nil && cluster.term == ord.renewedTerm && ord.planner.Term() < cluster.term {
		ord.planner.Renew(cluster.term)
	}
	if ord.planner == nil || ord.planner.Term() != cluster.term {
		if ord.entriesOutdated(cluster, now) {
			ord.deactivate("entries of servers may be older than an outage of the store")
			ord.inCharge.Store(true)
			return
		}
		ord.planner = place.New(cluster.term)
		// An earlier term's states may have been changed by another orderer.
		clear(ord.ordered)
		ord.coldStart = !slices.ContainsFunc(ord.state.view.Load().Groups(), (*site.Group).Serving)
	}
	ord.inCharge.Store(true)
	if !ord.active.Swap(true) {
		ord.activatedAt = now
		ord.log.WithFields(logrus.Fields{"event": "orderer_start", "term": cluster.term}).Info("this node is now the active orderer")
	}
	ord.activeUntil = now
	ord.pollOrdered(ctx, now)
	view := ord.viewWithUnregistered(ctx, now)
	ord.dropStaleFaults(view)
	ord.endOutages(view, now)
	ord.probeSuspects(ctx, view, now)
	ord.reprobeFaulty(ctx, now)
	ord.publishLost(now)
	if now.Sub(ord.activatedAt) >= activationDelay {
		ord.sendOrders(ctx, view, now)
	}
	ord.removeSilentNodes(ctx, cluster, now)
	ord.recordSettled(ctx, cluster, now)
}

// recordSettled records once in each era of the store that an orderer acts in it
// after the servers have written their entries again, so that a node that takes over
// need not wait for that.
func (ord *orderer) recordSettled(ctx context.Context, cluster *clusterState, now time.Time) {
	era := cluster.end.Era
	if cluster.settledEra >= era || ord.health.sinceEra(now) < observedStateGrace || now.Sub(ord.settleTriedAt) < settleRetryInterval {
		return
	}
	raw, err := json.Marshal(topicRecord{Era: era})
	if err != nil {
		ord.log.WithFields(logrus.Fields{"event": "settled_encode", "error": err}).Error("failed to encode the record of the era")
		return
	}
	ord.settleTriedAt = now
	go func() {
		_, err := ord.store.Append(ctx, platform.TopicNodes, keySettled, raw, -1)
		ord.metrics.recordStoreCall(storeAppend, now, err)
		ord.log.WithFields(logrus.Fields{"event": "era_settled", "era": era, "error": err}).Info("recorded that the entries of servers are current in this era of the store")
	}()
}

// lostRoleReason returns why this node is not the orderer.
func lostRoleReason(cluster *clusterState) string {
	if cluster.term == 0 {
		return "the store began another era, in which no node has claimed the role"
	}
	return "another node is the orderer"
}

// failTerm gives up the current term after an unexpected error: the state of its
// planner may be inconsistent. Another node takes over.
func (ord *orderer) failTerm() {
	ord.failedTerm = ord.state.cluster.Load().term
	ord.deactivate("an unexpected error")
}

// deactivate stops sending orders. The planner is kept, since the group names
// and epochs of a term must come from a single one. So are the servers that
// received orders: within the term no other node changes them, and their entries
// may still be older than these orders when this node becomes active again.
func (ord *orderer) deactivate(reason string) {
	ord.inCharge.Store(false)
	if !ord.active.Swap(false) {
		return
	}
	ord.lostSnapshot.Store(nil)
	ord.observedSnapshot.Store(nil)
	ord.log.WithFields(logrus.Fields{"event": "orderer_stop", "term": ord.planner.Term(), "reason": reason}).Info("this node is no longer the active orderer")
}

// entriesOutdated reports whether the entries of servers may still show the
// state before an outage of the store, in which an earlier orderer may have
// formed groups, or that of an older copy from which the store came back. A store
// that turns some nodes away goes on taking entries.
func (ord *orderer) entriesOutdated(cluster *clusterState, now time.Time) bool {
	if cluster.end.Era > cluster.settledEra && ord.health.sinceEra(now) < observedStateGrace {
		return true
	}
	return ord.peers.sinceStoreOutage(now) < observedStateGrace
}

// blockReason returns why this node must not send orders although the store
// names it as the orderer: another node may have taken over unnoticed. It is
// empty if that is ruled out.
func (ord *orderer) blockReason(cluster *clusterState, now time.Time) string {
	if ord.cutOff(now) {
		return "this VM can't reach the model servers, and peers can"
	}
	if now.Sub(ord.resumedAt) < resumeConfirmTimeout && ord.health.termConfirmedAt().Before(ord.resumedAt) {
		return "this VM was suspended and the store has not confirmed the term since"
	}
	if now.Sub(ord.health.termConfirmedAt()) < termConfirmMaxAge {
		return ""
	}
	for name, rec := range cluster.nodes {
		hb, live := ord.peers.lastHeartbeat(name, now)
		switch {
		case name == ord.self.Node:
		case !live && hb.Stopping && hb.Incarnation == rec.Incarnation:
			// A stopping node does not claim the role.
		case !live:
			return "the store is unavailable and peer " + name + " sends no heartbeats"
		case hb.storeReachable():
			return "the store is available to peer " + name + " but not to this node"
		case hb.Term > cluster.term:
			return "peer " + name + " reports a later term"
		}
	}
	return ""
}

// cutOff reports whether this node can't reach the model servers of a service that a peer
// reaches.
func (ord *orderer) cutOff(now time.Time) bool {
	lost := *ord.peers.reach.lostServices.Load()
	table := ord.state.table.Load()
	return slices.ContainsFunc(lost, func(name string) bool {
		svc := table.Service(name)
		return svc != nil && svc.Engine != nil && ord.peers.reachesServers(name, now)
	})
}

// tryClaim claims the role of the orderer if no node is active in it and it is
// this node's turn.
func (ord *orderer) tryClaim(ctx context.Context, cluster *clusterState, now time.Time) {
	if ord.stopping() || ord.cutOff(now) || !ord.peers.readsStore(now) || ord.health.unavailableFor(now) > 0 || ord.state.table.Load() == nil || ord.ordererAvailable(cluster, now) {
		ord.candidateSince = time.Time{}
		return
	}
	if ord.candidateSince.IsZero() {
		ord.candidateSince = now
	}
	renewing := ord.renewing(cluster, now)
	if renewing && now.Sub(ord.claimedAt) < claimDelay || !renewing && now.Sub(ord.candidateSince) < claimDelay+time.Duration(ord.claimRank(cluster, now))*claimRankDelay {
		return
	}
	ord.claim(ctx, cluster, now, renewing)
}

// claim claims the role of the orderer. renewing is set if this node keeps the
// state of its orders.
func (ord *orderer) claim(ctx context.Context, cluster *clusterState, now time.Time, renewing bool) {
	if now.Sub(ord.claimedAt) < claimDelay {
		return
	}
	rec := topicRecord{nodeRecord: ord.self, Era: cluster.end.Era, MinTerm: ord.highestTerm(cluster, now) + 1}
	raw, err := json.Marshal(rec)
	if err != nil {
		ord.log.WithFields(logrus.Fields{"event": "orderer_encode", "error": err}).Error("failed to encode the orderer record")
		return
	}
	pos, err := ord.store.Append(ctx, platform.TopicNodes, keyOrderer, raw, cluster.end.Offset)
	ord.metrics.recordStoreCall(storeAppend, now, err)
	ord.log.WithFields(logrus.Fields{
		"event": "orderer_claim", "end": cluster.end.Offset, "era": cluster.end.Era, "offset": pos.Offset, "renewed": renewing, "before": cluster.orderer.Node, "raced": errors.Is(err, platform.ErrOffsetMismatch), "error": err,
	}).Info("this node claims the role of the orderer")
	ord.candidateSince, ord.claimedAt = now, now
	if err == nil && renewing {
		ord.renewedTerm = rec.termAt(pos.Offset)
	}
}

// highestTerm returns the highest term in the records of orderers that this node has
// read, in the heartbeats of peers and in the epochs of servers.
func (ord *orderer) highestTerm(cluster *clusterState, now time.Time) int64 {
	highest := max(cluster.highestTerm, ord.servedTerm())
	ord.peers.eachLive(now, func(hb *heartbeat) { highest = max(highest, hb.Term) })
	return highest
}

// servedTerm returns the highest term in which a server was ordered into its group.
func (ord *orderer) servedTerm() int64 {
	highest := int64(0)
	for _, srv := range ord.state.view.Load().Servers() {
		if term := place.TermOf(srv.Group.Epoch); term <= maxServedTerm {
			highest = max(highest, term)
		}
	}
	return highest
}

// maxServedTerm is the highest term that is taken from a server. Readers of JSON represent
// epochs up to it exactly.
const maxServedTerm = 1 << 36

// renewing reports whether this node was the active orderer until the current era of
// the store began, and no node has claimed the role in it. Then it claims the role at
// once and keeps what it knows of its orders.
func (ord *orderer) renewing(cluster *clusterState, now time.Time) bool {
	if cluster.term != 0 || cluster.lapsedOrderer != ord.self || now.Sub(ord.activeUntil) > renewTimeout || ord.planner.Term() == ord.failedTerm {
		return false
	}
	replaced := false
	ord.peers.eachLive(now, func(hb *heartbeat) { replaced = replaced || hb.Term > ord.planner.Term() })
	return !replaced
}

// ordererAvailable reports whether the current orderer is running and active.
// An orderer whose record was read less than peerTimeout ago counts as
// available, since its heartbeats may not have arrived yet.
func (ord *orderer) ordererAvailable(cluster *clusterState, now time.Time) bool {
	if cluster.term == 0 {
		return false
	}
	hb, live := ord.peers.lastHeartbeat(cluster.orderer.Node, now)
	if !live {
		return now.Sub(cluster.ordererSince) < peerTimeout
	}
	if hb.Incarnation != cluster.orderer.Incarnation || hb.Stopping {
		return false
	}
	return hb.IsOrderer || now.Sub(cluster.ordererSince) < peerTimeout
}

// claimRank returns the number of live nodes that precede this one and can
// reach the store.
func (ord *orderer) claimRank(cluster *clusterState, now time.Time) int {
	num := 0
	ord.peers.eachLive(now, func(hb *heartbeat) {
		if _, known := cluster.nodes[hb.Node]; known && hb.Node < ord.self.Node && hb.storeReachable() {
			num++
		}
	})
	return num
}

// sendOrders sends the orders that the planner returns for the view.
func (ord *orderer) sendOrders(ctx context.Context, view *site.View, now time.Time) {
	table := ord.state.table.Load()
	orders := ord.planner.Step(place.Input{
		Now: now, View: view, Table: table, Unregistered: ord.isUnregistered, Unreachable: ord.isLost, Ended: ord.hasEnded, StallTimeout: ord.stallTimeout(), Slow: ord.isSlow, Pinned: ord.pinnedRequests, Active: ord.isActive, Utilisation: ord.sampleLoad(now), Demand: ord.demand.tracker.Demand(now), BeforeTraffic: ord.coldStart && ord.requestCount() == 0,
	})
	ord.reportMoves(now)
	planner := ord.planner
	for _, order := range orders {
		ord.trackOrdered(order.Server, now)
		go func() {
			res, err := ord.sendOrder(ctx, order)
			ord.callbacks <- func() { planner.HandleResult(order, res, time.Now()) }
			ord.log.WithFields(logrus.Fields{
				"event": "order", "kind": order.Kind, "server": order.Server, "group": order.Group, "epoch": order.Epoch, "model": order.Model,
				"members": order.Members, "term": order.FencingToken, "result": res, "error": err,
			}).Info("order sent")
		}()
	}
}

// pinnedRequests returns the number of requests at a server, from all nodes, that may
// neither be repeated nor resumed.
func (ord *orderer) pinnedRequests(id string) int {
	num := 0
	ord.loads.withLock(func(balancer *share.Balancer) { num = balancer.Load(id, time.Now()).Pinned })
	return num
}

// activeWindow is the time since the last data of a server within which it counts as active.
// Peers report active servers every 120 ms.
const activeWindow = 450 * time.Millisecond

// isActive reports whether a server sent data to any node a moment ago.
func (ord *orderer) isActive(id string) bool {
	var last time.Time
	ord.loads.withLock(func(balancer *share.Balancer) { last = balancer.LastActive(id) })
	return !last.IsZero() && time.Since(last) < activeWindow
}

func (ord *orderer) sendOrder(ctx context.Context, order site.Order) (site.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := ord.serverClient.Order(ctx, order)
	ord.metrics.recordOrder(order.Kind.String(), res.String())
	return res, err
}
