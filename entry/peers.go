package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
)

const (
	// peerTimeout is the time after which a peer that isn't heard is taken as
	// gone: six of its reports are missing.
	peerTimeout = 800 * time.Millisecond
	// peerTimeoutIntervals is that number for peers that report more seldom.
	peerTimeoutIntervals = 6
	// peerRetention is the time after which a peer that isn't heard is forgotten,
	// longer than any VM stands still.
	peerRetention = time.Minute
	// maxDatagramSize is the largest report or news in bytes.
	maxDatagramSize = 32 << 10
)

// datagram is what goes from node to node in one datagram.
type datagram struct {
	Heartbeat *heartbeat   `cbor:"1,keyasint"`
	Update    *topicUpdate `cbor:"2,keyasint"`
	// Forward are the addresses to which the receiver sends the news on.
	Forward []string `cbor:"3,keyasint,omitempty"`
}

// peerStatus is the last report of a peer.
type peerStatus struct {
	heartbeat  heartbeat
	receivedAt time.Time
}

// live reports whether the peer was heard lately, by how often it reports.
func (peer peerStatus) live(now time.Time) bool {
	return now.Sub(peer.receivedAt) < max(peerTimeout, peerTimeoutIntervals*peer.heartbeat.Interval)
}

// peers exchanges reports with the other nodes in datagrams.
type peers struct {
	state    *sharedState
	loads    *loadTracker
	health   *storeHealth
	log      *logrus.Logger
	metrics  *nodeMetrics
	self     nodeRecord
	conn     *net.UDPConn
	stopping func() bool
	// lostServers returns the servers that this node, as orderer, takes as lost.
	lostServers func() []string
	// isOrderer reports whether this node orders now.
	isOrderer func() bool
	// observedStates returns what this node, as orderer, knows of servers while the store
	// is away, and reg takes what another one tells.
	observedStates func() []observedState
	registry       *serverRegistry
	// followers are the followers of the store's topics.
	followers []*follower

	// unreachableSince is the time since which no node is known to reach the store, in
	// nanoseconds.
	unreachableSince atomic.Int64

	// rotation picks the peers that get the next reports. The task that reports
	// owns it.
	rotation share.RoundRobin

	mtx      sync.Mutex
	statuses map[string]peerStatus
}

func newPeers(state *sharedState, loads *loadTracker, health *storeHealth, log *logrus.Logger, meter *nodeMetrics, self nodeRecord, stop func() bool) *peers {
	return &peers{state: state, loads: loads, health: health, log: log, metrics: meter, self: self, stopping: stop, statuses: map[string]peerStatus{}}
}

// listen binds the node's address.
func (peers *peers) listen() error {
	udpAddr, err := net.ResolveUDPAddr("udp", peers.self.Addr)
	if err != nil {
		return err
	}
	peers.conn, err = net.ListenUDP("udp", udpAddr)
	return err
}

// lastHeartbeat returns the last report of a peer and whether it came lately.
func (peers *peers) lastHeartbeat(name string, now time.Time) (heartbeat, bool) {
	peers.mtx.Lock()
	defer peers.mtx.Unlock()
	peer, ok := peers.statuses[name]
	return peer.heartbeat, ok && peer.live(now)
}

// eachLive calls fun with the reports of the peers that were heard lately. fun
// must not use prs.
func (peers *peers) eachLive(now time.Time, fn func(hb heartbeat)) {
	peers.mtx.Lock()
	defer peers.mtx.Unlock()
	for _, peer := range peers.statuses {
		if peer.live(now) {
			fn(peer.heartbeat)
		}
	}
}

// receive takes reports until the socket closes.
func (peers *peers) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagramSize)
	for ctx.Err() == nil {
		num, _, err := peers.conn.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			peers.metrics.peerErrors.Inc()
			sleep(ctx, heartbeatInterval)
			continue
		}
		var pkt datagram
		err = cbor.Unmarshal(buf[:num], &pkt)
		switch {
		case err != nil:
			peers.metrics.peerErrors.Inc()
		case pkt.Heartbeat != nil && pkt.Heartbeat.Node != "" && pkt.Heartbeat.Node != peers.self.Node:
			peers.handleHeartbeat(*pkt.Heartbeat, time.Now())
		case pkt.Update != nil:
			peers.deliverUpdate(*pkt.Update)
			peers.sendUpdate(*pkt.Update, pkt.Forward, nil)
		}
	}
	return nil
}

// handleHeartbeat notes a report. One of an earlier life of its node is dropped.
func (peers *peers) handleHeartbeat(hb heartbeat, now time.Time) {
	peers.mtx.Lock()
	old, known := peers.statuses[hb.Node]
	stale := known && hb.Incarnation < old.heartbeat.Incarnation
	if !stale {
		peers.statuses[hb.Node] = peerStatus{heartbeat: hb, receivedAt: now}
	}
	peers.mtx.Unlock()
	if stale {
		return
	}
	if !known || !old.live(now) || old.heartbeat.Incarnation != hb.Incarnation {
		peers.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "peer", "peer": hb.Node, "life": hb.Incarnation, "term": hb.Term}).Info("peer is heard")
	}
	if hb.IsOrderer && len(hb.ObservedStates) > 0 {
		peers.registry.submitObserved(hb.ObservedStates)
	}
	for idx, end := range hb.NextOffsets {
		if idx < len(peers.followers) {
			peers.followers[idx].notePeerOffset(hb.Addr, end, hb.Zone == peers.self.Zone, now)
		}
	}
	peers.loads.withLock(func(balancer *share.Balancer) {
		balancer.UpdatePeer(hb.Node, hb.RequestCounts, hb.Interval, now)
		for _, id := range hb.LostServers {
			balancer.MarkLost(id, hb.Interval, now)
		}
	})
}

// sendDatagram sends one datagram.
func (peers *peers) sendDatagram(raw []byte, addr string) {
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = peers.conn.WriteToUDP(raw, udpAddr)
	}
	if err != nil {
		peers.metrics.peerErrors.Inc()
	}
}

// deliverUpdate hands news to the follower of its topic.
func (peers *peers) deliverUpdate(update topicUpdate) {
	for _, follower := range peers.followers {
		if follower.topic == update.Topic {
			follower.enqueueUpdate(update)
		}
	}
}

const (
	// maxUpdateSize is the largest news in bytes: a few datagrams of a link.
	maxUpdateSize = 8 << 10
	// fallbackReaders is the number of nodes of a zone that ask the store while
	// none of them gets an answer.
	fallbackReaders = 2
	// unreachableTimeout is the time without any node that reaches the store after
	// which each node asks it.
	unreachableTimeout = 3 * time.Second
)

// readsStore reports whether this node asks the store: it orders, or no node of its
// zone that comes before it reaches the store.
func (peers *peers) readsStore(now time.Time) bool {
	cluster := peers.state.cluster.Load()
	if cluster.term > 0 && cluster.orderer == peers.self {
		return true
	}
	rank, reached, before := 0, false, false
	peers.eachLive(now, func(hb heartbeat) {
		reached = reached || hb.storeReachable()
		if hb.Zone != peers.self.Zone || hb.Node > peers.self.Node || hb.Stopping {
			return
		}
		before = before || hb.storeReachable()
		rank++
	})
	if !before && rank < fallbackReaders {
		return true
	}
	if reached {
		peers.unreachableSince.Store(0)
		return false
	}
	peers.unreachableSince.CompareAndSwap(0, now.UnixNano())
	return now.UnixNano()-peers.unreachableSince.Load() > int64(unreachableTimeout)
}
