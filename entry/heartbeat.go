package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
	"kumquathinge/io/mirror"
)

const (
	// heartbeatInterval is the interval between two rounds of heartbeats.
	heartbeatInterval = 120 * time.Millisecond
	// heartbeatFanout is the largest number of rotating heartbeats per round.
	// It limits what a node sends and receives to about 300 heartbeats per
	// second. In deployments of up to 37 nodes every peer gets one per round.
	heartbeatFanout = 36
)

// heartbeat is the state of a node that it periodically sends to its peers.
type heartbeat struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Term is the term of the latest orderer record that the node has read.
	Term int64 `cbor:"3,keyasint"`
	// StoreOutage is the time since the last response of the store, or zero
	// while the store responds.
	StoreOutage time.Duration `cbor:"4,keyasint"`
	// RequestCounts are the in-flight requests of the node by server.
	RequestCounts map[string]share.Load `cbor:"5,keyasint"`
	// Suspects are the servers that send no data for the node's requests, or
	// far less than other servers.
	Suspects []string `cbor:"6,keyasint"`
	// Stopping is set while the node stops. Such a node does not become the
	// orderer.
	Stopping bool `cbor:"7,keyasint"`
	// LostServers are the servers that the node, as orderer, considers lost.
	LostServers []string `cbor:"12,keyasint"`
	// IsOrderer is set while the node is the active orderer.
	IsOrderer bool `cbor:"13,keyasint"`
	// NextOffsets are the offsets up to which the node has read the topics.
	NextOffsets []int64 `cbor:"8,keyasint"`
	// Addr is the node's address for peers.
	Addr string `cbor:"9,keyasint"`
	Zone string `cbor:"10,keyasint"`
	// ObservedStates are the states that servers reported to the orderer while
	// the store does not respond.
	ObservedStates []observedState `cbor:"15,keyasint,omitempty"`
	// Interval is the longest time until the next heartbeat to the same
	// receiver.
	Interval time.Duration `cbor:"14,keyasint"`
	// ReadsStore is set if the node reads the store itself.
	ReadsStore bool `cbor:"11,keyasint"`
}

// storeReachable reports whether the node reads the store and the store
// responds. It is false for a stopping node.
func (hb heartbeat) storeReachable() bool {
	return hb.ReadsStore && hb.StoreOutage == 0 && !hb.Stopping
}

// runHeartbeats sends heartbeats and checks the liveness of peers until ctx is
// done.
func (peers *peers) runHeartbeats(ctx context.Context) error {
	timedOut := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		peers.sendHeartbeats(now)
		peers.loads.setLiveNodes(peers.checkLiveness(timedOut, now) + 1)
		sleep(ctx, heartbeatInterval)
	}
	return nil
}

// checkLiveness logs the peers that have timed out since the last call, which
// it records in timedOut, and returns the number of live peers. It deletes
// peers after peerRetention.
func (peers *peers) checkLiveness(timedOut map[string]bool, now time.Time) int {
	peers.mtx.Lock()
	defer peers.mtx.Unlock()
	num := 0
	for name, peer := range peers.statuses {
		live := peer.live(now)
		if live {
			num++
		}
		if !live && !timedOut[name] {
			peers.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "peer", "peer": name, "age": now.Sub(peer.receivedAt)}).Warn("no heartbeat from peer")
		}
		timedOut[name] = !live
		if now.Sub(peer.receivedAt) > peerRetention {
			delete(peers.statuses, name)
			delete(timedOut, name)
		}
	}
	return num
}

// sendHeartbeats sends one round of heartbeats. A node that reads the store
// sends one in each round to its zone and to the other readers, because these
// depend on its offsets and its liveness. All other peers get theirs in
// rotation.
func (peers *peers) sendHeartbeats(now time.Time) {
	hb := peers.newHeartbeat(now)
	addrs := peers.peerAddrs(now)
	readers := peers.storeReaders(now)
	var frequent, rotating []string
	cluster := peers.state.cluster.Load()
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		if hb.ReadsStore && (cluster.nodes[name].Zone == peers.self.Zone || readers[name]) {
			frequent = append(frequent, name)
		} else {
			rotating = append(rotating, name)
		}
	}
	if len(addrs) <= heartbeatFanout {
		frequent, rotating = append(frequent, rotating...), nil
	}
	hb.Interval = heartbeatInterval
	peers.sendHeartbeatTo(hb, frequent, addrs)
	hb.Interval = time.Duration(share.BatchCount(len(rotating), heartbeatFanout)) * heartbeatInterval
	peers.sendHeartbeatTo(hb, peers.rotation.NextBatch(rotating, heartbeatFanout), addrs)
}

// newHeartbeat returns the current heartbeat of this node, without Interval.
func (peers *peers) newHeartbeat(now time.Time) heartbeat {
	hb := heartbeat{
		Node: peers.self.Node, Addr: peers.self.Addr, Incarnation: peers.self.Incarnation, Zone: peers.self.Zone, Term: peers.state.cluster.Load().term, StoreOutage: peers.health.unavailableFor(now),
		Stopping: peers.stopping(), ReadsStore: peers.readsStore(now), LostServers: peers.lostServers(), IsOrderer: peers.isOrderer(), ObservedStates: peers.observedStates(),
	}
	peers.loads.withLock(func(balancer *share.Balancer) {
		hb.RequestCounts = balancer.LocalLoads()
		hb.Suspects = append(balancer.StalledServers(streamSilenceTimeout, now), balancer.SlowServers()...)
	})
	for _, follower := range peers.followers {
		hb.NextOffsets = append(hb.NextOffsets, follower.nextOffset.Load())
	}
	return hb
}

// peerAddrs returns the addresses of the live peers and of the other nodes with
// a record in the store, by node.
func (peers *peers) peerAddrs(now time.Time) map[string]string {
	out := map[string]string{}
	peers.eachLive(now, func(hb heartbeat) { out[hb.Node] = hb.Addr })
	for name, rec := range peers.state.cluster.Load().nodes {
		if name != peers.self.Node {
			out[name] = rec.Addr
		}
	}
	return out
}

// storeReaders returns the live peers that read the store.
func (peers *peers) storeReaders(now time.Time) map[string]bool {
	out := map[string]bool{}
	peers.eachLive(now, func(hb heartbeat) {
		if hb.ReadsStore {
			out[hb.Node] = true
		}
	})
	return out
}

// sendHeartbeatTo sends a heartbeat to the named peers.
func (peers *peers) sendHeartbeatTo(hb heartbeat, names []string, addrs map[string]string) {
	if len(names) == 0 {
		return
	}
	raw, err := cbor.Marshal(datagram{Heartbeat: &hb})
	if err != nil {
		peers.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("cannot encode heartbeat")
		return
	}
	for _, name := range names {
		peers.sendDatagram(raw, addrs[name])
	}
}

// updateFanout is the number of nodes to which a node sends an update directly.
// In larger zones these forward it to the others.
const updateFanout = 12

// broadcast sends records that this node has read to the other nodes of its
// zone, in updates that fit into one datagram each. It returns the number of
// these nodes. A node that misses an update fetches its records when it
// receives a heartbeat with a later offset.
func (peers *peers) broadcast(update topicUpdate) int {
	live := map[string]bool{}
	peers.eachLive(time.Now(), func(hb heartbeat) { live[hb.Node] = true })
	cluster := peers.state.cluster.Load()
	var addrs, notLive []string
	for _, name := range slices.Sorted(maps.Keys(cluster.nodes)) {
		switch rec := cluster.nodes[name]; {
		case name == peers.self.Node || rec.Zone != peers.self.Zone:
		case live[name]:
			addrs = append(addrs, rec.Addr)
		default:
			notLive = append(notLive, rec.Addr)
		}
	}
	// Nodes that are not live are last, because they may not forward updates.
	addrs = append(addrs, notLive...)
	direct := addrs[:min(updateFanout, len(addrs))]
	for from, recs := update.From, update.Records; len(recs) > 0 && len(addrs) > 0; {
		page := mirror.BuildPage(recs, update.End, maxUpdateSize)
		peers.sendUpdate(topicUpdate{Topic: update.Topic, From: from, End: page.End, Records: page.Records}, direct, addrs[len(direct):])
		from, recs = page.End, recs[len(page.Records):]
	}
	return len(addrs)
}

// sendUpdate sends an update to the direct addresses. Each of these receivers
// forwards it to a part of the others.
func (peers *peers) sendUpdate(update topicUpdate, direct, others []string) {
	chunk := (len(others) + updateFanout - 1) / updateFanout
	for _, addr := range direct {
		forward := others[:min(chunk, len(others))]
		others = others[len(forward):]
		raw, err := cbor.Marshal(datagram{Update: &update, Forward: forward})
		if err != nil {
			peers.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("cannot encode update")
			return
		}
		if len(raw) > maxDatagramSize {
			// A single record is too large for a datagram; the receivers fetch
			// it.
			return
		}
		peers.sendDatagram(raw, addr)
	}
}
