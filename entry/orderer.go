package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/place"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// orderTickInterval is the longest pause between two looks of the orderer.
	orderTickInterval = 100 * time.Millisecond
	// orderTimeout is the longest wait for the answer to an order.
	orderTimeout = 600 * time.Millisecond
	// termConfirmMaxAge is the time for which an answer of the store confirms that no
	// other node orders. Reads of the nodes' topic come twice within it.
	termConfirmMaxAge = 3 * time.Second
	// resumeConfirmTimeout is the time after which a VM that stood still goes by the
	// peers if the store doesn't answer.
	resumeConfirmTimeout = 4 * time.Second
	// claimDelay is the wait before a claim, for the reports of the peers.
	claimDelay = 200 * time.Millisecond
	// suspendThreshold is the pause between two looks that shows that the process
	// stood still, so that another node may order by now.
	suspendThreshold = 600 * time.Millisecond
	// claimRankDelay is the time that each node waits for those before it.
	claimRankDelay = 250 * time.Millisecond
)

// orderer forms the groups while this node is the one to do it.
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

	planner        *place.Planner
	active         atomic.Bool
	resumedAt      time.Time
	faults         map[string]serverFault
	groupProbedAt  map[string]time.Time
	candidateSince time.Time
	lastStepAt     time.Time
	callbacks      chan func()
	// loadByModel is the mean load of models, measured is when it was looked at.
	loadByModel   map[string]float64
	loadSampledAt time.Time
	unregistered  unregisteredMembers
	// outages are the groups that lost a member and don't serve yet, by name.
	outages map[string]groupOutage
	// ordered are the servers that were given orders lately, movedNow what is
	// told of them.
	ordered          map[string]*orderedServer
	observedSnapshot atomic.Pointer[[]observedState]
	// silentNodes are the nodes that have a record and send no reports.
	silentNodes map[string]silentNode
	// lostSnapshot are the lost servers, for the reports to peers.
	lostSnapshot atomic.Pointer[[]string]
}

// run orders, or watches the node that does, until ctx ends.
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

// step does what is due.
func (ord *orderer) step(ctx context.Context, now time.Time) {
	// The time of day also counts the time for which the VM stood still.
	elapsed := now.Round(0).Sub(ord.lastStepAt.Round(0))
	if elapsed > suspendThreshold {
		ord.resumedAt = now
	}
	ord.lastStepAt = now
	cluster := ord.state.cluster.Load()
	if cluster.term == 0 || cluster.orderer != ord.self {
		ord.deactivate("another node orders")
		ord.tryClaim(ctx, cluster, now)
		return
	}
	if reason := ord.blockReason(cluster, now); reason != "" {
		ord.deactivate(reason)
		return
	}
	if ord.planner == nil || ord.planner.Term() != cluster.term {
		ord.planner = place.New(cluster.term)
	}
	if !ord.active.Swap(true) {
		ord.log.WithFields(logrus.Fields{"event": "orderer_start", "term": cluster.term}).Info("this node orders")
	}
	ord.pollOrdered(ctx, now)
	view := ord.viewWithUnregistered(ctx, now)
	ord.dropStaleFaults(view)
	ord.endOutages(view, now)
	ord.probeSuspects(ctx, view, now)
	ord.reprobeFaulty(ctx, now)
	ord.publishLost(now)
	ord.sendOrders(ctx, view, now)
	ord.removeSilentNodes(ctx, cluster, now)
}

// deactivate ends the orders of this node. Its Machine stays, since a term has one
// only.
func (ord *orderer) deactivate(reason string) {
	if !ord.active.Swap(false) {
		return
	}
	ord.lostSnapshot.Store(nil)
	// What servers reported is old when this node orders again.
	clear(ord.ordered)
	ord.observedSnapshot.Store(nil)
	ord.log.WithFields(logrus.Fields{"event": "orderer_stop", "term": ord.planner.Term(), "reason": reason}).Info("this node no longer orders")
}

// blockReason returns why this node may not order although the store names it:
// another node may have taken over unseen. It is empty if that is ruled out.
func (ord *orderer) blockReason(cluster *clusterState, now time.Time) string {
	if now.Sub(ord.resumedAt) < resumeConfirmTimeout && ord.health.termConfirmedAt().Before(ord.resumedAt) {
		return "this VM stood still and the store has not confirmed the term since"
	}
	if now.Sub(ord.health.termConfirmedAt()) < termConfirmMaxAge {
		return ""
	}
	for name, rec := range cluster.nodes {
		hb, live := ord.peers.lastHeartbeat(name, now)
		switch {
		case name == ord.self.Node:
		case !live && hb.Stopping && hb.Incarnation == rec.Incarnation:
			// A node that stops does not become the orderer.
		case !live:
			return "the store doesn't answer and peer " + name + " isn't heard"
		case hb.storeReachable():
			return "the store answers peer " + name + " and not this node"
		case hb.Term > cluster.term:
			return "peer " + name + " knows a later orderer"
		}
	}
	return ""
}

// tryClaim takes over if no node orders and this one is the next.
func (ord *orderer) tryClaim(ctx context.Context, cluster *clusterState, now time.Time) {
	if ord.stopping() || !ord.peers.readsStore(now) || ord.health.unavailableFor(now) > 0 || ord.state.table.Load() == nil || ord.ordererAvailable(cluster, now) {
		ord.candidateSince = time.Time{}
		return
	}
	if ord.candidateSince.IsZero() {
		ord.candidateSince = now
	}
	if now.Sub(ord.candidateSince) < claimDelay+time.Duration(ord.claimRank(cluster, now))*claimRankDelay {
		return
	}
	raw, err := json.Marshal(ord.self)
	if err != nil {
		ord.log.WithFields(logrus.Fields{"event": "orderer_encode", "error": err}).Error("record of the orderer can't be encoded")
		return
	}
	off, err := ord.store.Append(ctx, platform.TopicNodes, keyOrderer, raw, cluster.endOffset)
	ord.metrics.recordStoreCall(storeAppend, now, err)
	ord.log.WithFields(logrus.Fields{
		"event": "orderer_claim", "end": cluster.endOffset, "offset": off, "before": cluster.orderer.Node, "raced": errors.Is(err, platform.ErrOffsetMismatch), "error": err,
	}).Info("this node offers to order")
	ord.candidateSince = now
}

// ordererAvailable reports whether the orderer is there and orders. One of which this
// node has read just now may not have been heard yet.
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

// claimRank returns how many live nodes come before this one.
func (ord *orderer) claimRank(cluster *clusterState, now time.Time) int {
	num := 0
	ord.peers.eachLive(now, func(hb heartbeat) {
		if _, known := cluster.nodes[hb.Node]; known && hb.Node < ord.self.Node && hb.storeReachable() {
			num++
		}
	})
	return num
}

// sendOrders sends the orders that the groups need.
func (ord *orderer) sendOrders(ctx context.Context, view *site.View, now time.Time) {
	table := ord.state.table.Load()
	orders := ord.planner.Step(place.Input{
		Now: now, View: view, Table: table, Unregistered: ord.isUnregistered, Unreachable: ord.isLost, Slow: ord.isSlow, Utilisation: ord.sampleLoad(now), BeforeTraffic: ord.requestCount() == 0,
	})
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

func (ord *orderer) sendOrder(ctx context.Context, order site.Order) (site.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	res, err := ord.serverClient.Order(ctx, order)
	ord.metrics.recordOrder(order.Kind.String(), res.String())
	return res, err
}
