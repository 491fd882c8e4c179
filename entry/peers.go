package entry

import (
	"context"
	"errors"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
)

// Indexes of topics among the followers.
const (
	operatorTopicIndex = 0
	nodesTopicIndex    = 2
)

const (
	// peerTimeout is the time without a heartbeat after which a peer counts as
	// lost. By then six heartbeats are missing.
	peerTimeout = 800 * time.Millisecond
	// peerTimeoutIntervals is this number of missing heartbeats for peers with
	// a longer heartbeat interval.
	peerTimeoutIntervals = 6
	// demandTimeoutIntervals is the number of heartbeats after which a peer's
	// demand expires.
	demandTimeoutIntervals = 3
	// peerRetention is the time without a heartbeat after which the status of a
	// peer is deleted. It exceeds any pause of a VM.
	peerRetention = time.Minute
	// maxDatagramSize is the size limit of a datagram in bytes.
	maxDatagramSize = 32 << 10
)

// datagram is a message between nodes: a heartbeat or an update of a topic.
type datagram struct {
	Heartbeat *heartbeat   `cbor:"1,keyasint"`
	Update    *topicUpdate `cbor:"2,keyasint"`
	// Forward are the addresses to which the receiver forwards the update.
	Forward []string `cbor:"3,keyasint,omitempty"`
}

// peerStatus is the last heartbeat of a peer, which does not change any more.
type peerStatus struct {
	heartbeat  *heartbeat
	receivedAt time.Time
}

// live reports whether the last heartbeat is recent, measured by the interval
// that the peer announced.
func (peer *peerStatus) live(now time.Time) bool {
	return now.Sub(peer.receivedAt) < max(peerTimeout, peerTimeoutIntervals*peer.heartbeat.Interval)
}

// peers exchanges heartbeats and topic updates with the other nodes over UDP.
type peers struct {
	state    *sharedState
	loads    *loadTracker
	guard    *crashGuard
	arrivals *arrivalRate
	health   *storeHealth
	log      *logrus.Logger
	metrics  *nodeMetrics
	self     nodeRecord
	conn     *net.UDPConn
	stopping func() bool
	// lostServers returns the servers that this node, as orderer, considers
	// lost.
	lostServers func() []string
	// isOrderer reports whether this node is the orderer, active or about to be.
	isOrderer func() bool
	// observedStates returns the states that servers reported to this node, as
	// orderer, while the store does not respond. registry receives those from
	// the heartbeats of another orderer.
	observedStates func() []observedState
	evacuation     *evacuationApplier
	registry       *serverRegistry
	reach          *reachMonitor
	// relayAddr is this node's address for requests that peers relay, empty if there is
	// none.
	relayAddr string
	// followers are the followers of the store's topics, in the order of the
	// heartbeats' NextOffsets. The first one is that of the operators' topic.
	followers []*follower

	// unreachableSince is the time since which no live node reaches the store,
	// as storeHealth.elapsed returns it, or zero.
	unreachableSince atomic.Int64

	// storeContactAt is when a node last reached the store, as far as this node
	// knows, and storeRecoveredAt when that ended an outage for all nodes, as
	// storeHealth.elapsed returns it, or zero.
	storeContactAt, storeRecoveredAt atomic.Int64

	// zoneRotation and rotation select the peers of the own zone and of other zones
	// that get the next heartbeats. Only the task that sends heartbeats uses them.
	zoneRotation, rotation share.RoundRobin

	mtx      sync.Mutex
	statuses map[string]*peerStatus
}

func newPeers(state *sharedState, loads *loadTracker, guard *crashGuard, health *storeHealth, log *logrus.Logger, meter *nodeMetrics, self nodeRecord, stopping func() bool) *peers {
	return &peers{state: state, loads: loads, guard: guard, health: health, log: log, metrics: meter, self: self, stopping: stopping, statuses: map[string]*peerStatus{}}
}

// listen binds the node's UDP address.
func (peers *peers) listen() error {
	udpAddr, err := net.ResolveUDPAddr("udp", peers.self.Addr)
	if err != nil {
		return err
	}
	peers.conn, err = net.ListenUDP("udp", udpAddr)
	return err
}

// lastHeartbeat returns the last heartbeat of a peer, and whether the peer is
// live.
func (peers *peers) lastHeartbeat(name string, now time.Time) (heartbeat, bool) {
	peers.mtx.Lock()
	defer peers.mtx.Unlock()
	peer, ok := peers.statuses[name]
	if !ok {
		return heartbeat{}, false
	}
	return *peer.heartbeat, peer.live(now)
}

// eachLive calls fn with the last heartbeat of each live peer, while holding
// the mutex. fn must not keep or change the heartbeat. fn must not call methods of peers that lock it.
func (peers *peers) eachLive(now time.Time, fn func(hb *heartbeat)) {
	peers.mtx.Lock()
	defer peers.mtx.Unlock()
	for _, peer := range peers.statuses {
		if peer.live(now) {
			fn(peer.heartbeat)
		}
	}
}

// receive handles incoming datagrams until ctx is done, and closes the socket.
func (peers *peers) receive(ctx context.Context) error {
	defer func() { _ = peers.conn.Close() }()
	context.AfterFunc(ctx, func() { _ = peers.conn.Close() })
	buf := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		num, _, err := peers.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			peers.metrics.peerErrors.Inc()
			sleep(ctx, heartbeatInterval)
			continue
		}
		peers.handleDatagram(buf[:num], time.Now())
	}
	return nil
}

// handleDatagram decodes and applies one datagram.
func (peers *peers) handleDatagram(raw []byte, now time.Time) {
	defer recoverPanic(peers.log, peers.metrics, "datagram", nil)
	var pkt datagram
	err := cbor.Unmarshal(raw, &pkt)
	switch {
	case err != nil:
		peers.metrics.peerErrors.Inc()
	case pkt.Heartbeat != nil && pkt.Heartbeat.Node != "" && pkt.Heartbeat.Node != peers.self.Node:
		peers.handleHeartbeat(pkt.Heartbeat, now)
	case pkt.Update != nil:
		peers.deliverUpdate(*pkt.Update)
		peers.sendUpdate(*pkt.Update, pkt.Forward, nil)
	}
}

// handleHeartbeat stores a heartbeat and applies its content. A heartbeat from
// an earlier incarnation of the node is dropped. The caller must not change it afterwards.
func (peers *peers) handleHeartbeat(hb *heartbeat, now time.Time) {
	peers.mtx.Lock()
	old, known := peers.statuses[hb.Node]
	// An incarnation is a time of day, so one that began after the clock was set
	// back may be lower than a former one that sends nothing any more.
	stale := known && hb.Incarnation < old.heartbeat.Incarnation && old.live(now)
	if !stale {
		peers.statuses[hb.Node] = &peerStatus{heartbeat: hb, receivedAt: now}
	}
	peers.mtx.Unlock()
	if stale {
		return
	}
	if !known || !old.live(now) || old.heartbeat.Incarnation != hb.Incarnation {
		peers.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "peer", "peer": hb.Node, "life": hb.Incarnation, "term": hb.Term}).Info("peer is live")
	}
	if hb.IsOrderer && len(hb.ObservedStates) > 0 {
		peers.registry.submitObserved(hb.ObservedStates)
	}
	for idx, pos := range hb.positions() {
		if idx < len(peers.followers) {
			peers.followers[idx].notePeerPosition(hb.Addr, pos, hb.Zone == peers.self.Zone, now)
		}
	}
	peers.noteConfigVersion(hb)
	peers.evacuation.adopt(hb, now)
	for _, run := range hb.Leaving {
		peers.registry.submitLeaving(leavingNotice{run: run})
	}
	peers.loads.cold.updatePeer(hb.Recovered, now)
	peers.guard.updatePeer(hb.Node, hb.Incarnation, hb.Crashes, now)
	peers.loads.updateDemands(hb.Node, hb.Demands, hb.LevelDemands, now.Add(max(peerTimeout, demandTimeoutIntervals*hb.Interval)))
	peers.loads.withLock(func(balancer *share.Balancer) {
		balancer.UpdatePeer(hb.Node, hb.RequestCounts, hb.Interval, now)
		balancer.UpdateLimits(hb.Limits, now)
		peers.loads.learned.UpdatePeer(hb.Node, hb.Learned, now)
		balancer.RecordPeerProgress(hb.ActiveServers, now)
		balancer.RecordNodeContact(hb.Zone, hb.Node, now)
		for _, id := range hb.LostServers {
			balancer.MarkLost(id, hb.Interval, now)
		}
	})
}

// noteConfigVersion makes this node read the configuration of a peer that has a
// newer one although it has not read further: the store lost it, and this node
// started since then.
func (peers *peers) noteConfigVersion(hb *heartbeat) {
	table := peers.state.table.Load()
	if table != nil && hb.ConfigVersion > table.Version() && len(hb.positions()) > operatorTopicIndex {
		peers.followers[operatorTopicIndex].noteNewerContent(hb.Addr, hb.positions()[operatorTopicIndex])
	}
}

// trackStoreContact records whether any node reaches the store.
func (peers *peers) trackStoreContact(now time.Time) {
	reached := peers.readsStore(now) && peers.health.unavailableFor(now) == 0
	peers.eachLive(now, func(hb *heartbeat) { reached = reached || hb.storeReachable() })
	if !reached {
		return
	}
	elapsed := peers.health.elapsed(now)
	if last := peers.storeContactAt.Swap(elapsed); last > 0 && elapsed-last >= int64(minExpiryOutage) {
		peers.storeRecoveredAt.Store(elapsed)
	}
}

// sinceStoreOutage returns the time since the last outage of the store for all
// nodes, zero while no node reaches it.
func (peers *peers) sinceStoreOutage(now time.Time) time.Duration {
	elapsed := peers.health.elapsed(now)
	if last := peers.storeContactAt.Load(); last > 0 && elapsed-last >= int64(minExpiryOutage) {
		return 0
	}
	if recoveredAt := peers.storeRecoveredAt.Load(); recoveredAt > 0 {
		return time.Duration(elapsed - recoveredAt)
	}
	return math.MaxInt64
}

// sendDatagram sends one datagram. Errors are only counted.
func (peers *peers) sendDatagram(raw []byte, addr string) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err == nil {
		_, err = peers.conn.WriteToUDPAddrPort(raw, addrPort)
	}
	if err != nil {
		peers.metrics.peerErrors.Inc()
	}
}

// deliverUpdate passes an update to the follower of its topic.
func (peers *peers) deliverUpdate(update topicUpdate) {
	for _, follower := range peers.followers {
		if follower.topic == update.Topic {
			follower.enqueueUpdate(update)
		}
	}
}

const (
	// maxUpdateSize is the size limit of the records in an update, in bytes: a
	// few network packets.
	maxUpdateSize = 8 << 10
	// fallbackReaders is the number of nodes per zone that read the store while
	// it responds to none of them.
	fallbackReaders = 2
	// unreachableTimeout is how long no live node may have reached the store
	// before every node reads it.
	unreachableTimeout = 3 * time.Second
)

// sharedReaderMinNodes is the number of nodes from which the orderer alone reads
// the store for all zones. In smaller deployments the calls cost less than the
// delay of a change.
const sharedReaderMinNodes = 12

// liveReaders states which live peers reach the store: any, the orderer, or one of the
// own zone that precedes this node by name. rank is the number of live peers of the
// zone that precede it.
type liveReaders struct {
	any, orderer, earlier bool
	rank                  int
}

// findReaders returns which live peers reach the store. A peer whose build knows no
// eras of the store can't be followed.
func (peers *peers) findReaders(cluster *clusterState, now time.Time) liveReaders {
	var out liveReaders
	peers.eachLive(now, func(hb *heartbeat) {
		out.any = out.any || hb.storeReachable()
		if len(hb.Eras) == 0 {
			return
		}
		if hb.Node == cluster.orderer.Node && hb.Incarnation == cluster.orderer.Incarnation && hb.IsOrderer {
			out.orderer = hb.storeReachable()
		}
		// A node that has lost the servers can't become the orderer in place of this one.
		if hb.Zone == peers.self.Zone && hb.Node <= peers.self.Node && !hb.Stopping && len(hb.LostServices) == 0 {
			out.earlier = out.earlier || hb.storeReachable()
			out.rank++
		}
	})
	return out
}

// readsStore reports whether this node should read the store. That holds for
// the orderer. It holds for other nodes if there are few nodes or the orderer
// does not reach the store: for a node if no live node of its zone that
// precedes it by name reaches the store and it is among the first
// fallbackReaders nodes. If no live node reaches the store for
// unreachableTimeout, it holds for every node.
func (peers *peers) readsStore(now time.Time) bool {
	cluster := peers.state.cluster.Load()
	if cluster.term > 0 && cluster.orderer == peers.self || cluster.term == 0 && cluster.lapsedOrderer == peers.self {
		return true
	}
	readers := peers.findReaders(cluster, now)
	if readers.orderer && len(cluster.nodes) >= sharedReaderMinNodes {
		return false
	}
	if !readers.earlier && readers.rank < fallbackReaders {
		return true
	}
	if readers.any {
		peers.unreachableSince.Store(0)
		return false
	}
	peers.unreachableSince.CompareAndSwap(0, peers.health.elapsed(now))
	return peers.health.elapsed(now)-peers.unreachableSince.Load() > int64(unreachableTimeout)
}
