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
	// heartbeatInterval is the pause between two turns of reports to peers.
	heartbeatInterval = 120 * time.Millisecond
	// heartbeatFanout is the number of peers that get a report in a turn. It bounds
	// what a node sends and gets to some 300 reports a second; deployments of
	// up to 37 nodes are within one turn.
	heartbeatFanout = 36
)

// heartbeat is what a node tells its peers of itself.
type heartbeat struct {
	Node        string `cbor:"1,keyasint"`
	Incarnation int64  `cbor:"2,keyasint"`
	// Term is the term of the orderer that the node knows.
	Term int64 `cbor:"3,keyasint"`
	// StoreOutage is the time since the store last answered the node, zero while
	// it answers.
	StoreOutage time.Duration `cbor:"4,keyasint"`
	// RequestCounts is what the node has at servers.
	RequestCounts map[string]share.Load `cbor:"5,keyasint"`
	// Suspects are the servers that send nothing for the node's requests, or
	// far less than others.
	Suspects []string `cbor:"6,keyasint"`
	// Stopping nodes do not become orderers.
	Stopping bool `cbor:"7,keyasint"`
	// LostServers are the servers that the orderer takes as lost.
	LostServers []string `cbor:"12,keyasint"`
	// IsOrderer tells that the node orders now.
	IsOrderer bool `cbor:"13,keyasint"`
	// NextOffsets are the offsets to which the node has read the topics.
	NextOffsets []int64 `cbor:"8,keyasint"`
	// Addr is the node's address for peers.
	Addr string `cbor:"9,keyasint"`
	Zone string `cbor:"10,keyasint"`
	// ObservedStates are the states of servers that the orderer knows from their own
	// reports while the store doesn't answer.
	ObservedStates []observedState `cbor:"15,keyasint,omitempty"`
	// Interval is the longest time until the node reports to the receiver again.
	Interval time.Duration `cbor:"14,keyasint"`
	// ReadsStore tells that the node asks the store.
	ReadsStore bool `cbor:"11,keyasint"`
}

// storeReachable reports whether the node asks the store and gets answers.
func (hb heartbeat) storeReachable() bool {
	return hb.ReadsStore && hb.StoreOutage == 0 && !hb.Stopping
}

// runHeartbeats sends reports until ctx ends, and notes peers that fall silent.
func (peers *peers) runHeartbeats(ctx context.Context) error {
	lost := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		peers.sendHeartbeats(now)
		peers.loads.setLiveNodes(peers.checkLiveness(lost, now) + 1)
		sleep(ctx, heartbeatInterval)
	}
	return nil
}

// checkLiveness logs the peers that have fallen silent, which it notes in lost, and
// returns the number of those that have not.
func (peers *peers) checkLiveness(lost map[string]bool, now time.Time) int {
	peers.mtx.Lock()
	defer peers.mtx.Unlock()
	num := 0
	for name, peer := range peers.statuses {
		live := peer.live(now)
		if live {
			num++
		}
		if !live && !lost[name] {
			peers.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "peer", "peer": name, "age": now.Sub(peer.receivedAt)}).Warn("peer isn't heard")
		}
		lost[name] = !live
		if now.Sub(peer.receivedAt) > peerRetention {
			delete(peers.statuses, name)
			delete(lost, name)
		}
	}
	return num
}

// sendHeartbeats sends one turn of reports. A node that reads the store reports in each
// turn to its zone and to the other readers, since those follow what it has
// read and whether it lives; all other peers get theirs by turns.
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

// newHeartbeat returns what this node reports.
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

// peerAddrs returns the addresses of the other nodes that the store knows and
// of those that are heard.
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

// storeReaders returns the peers that read the store.
func (peers *peers) storeReaders(now time.Time) map[string]bool {
	out := map[string]bool{}
	peers.eachLive(now, func(hb heartbeat) {
		if hb.ReadsStore {
			out[hb.Node] = true
		}
	})
	return out
}

// sendHeartbeatTo sends a report to the named peers.
func (peers *peers) sendHeartbeatTo(hb heartbeat, names []string, addrs map[string]string) {
	if len(names) == 0 {
		return
	}
	raw, err := cbor.Marshal(datagram{Heartbeat: &hb})
	if err != nil {
		peers.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("report can't be encoded")
		return
	}
	for _, name := range names {
		peers.sendDatagram(raw, addrs[name])
	}
}

// updateFanout is the number of nodes to which a node sends news itself; in
// larger zones these send them on.
const updateFanout = 12

// broadcast sends what this node has read to the others of its zone, in parts that
// fit into a datagram each. It returns their number. A node that misses a part
// fetches the rest when it hears how far this node has read.
func (peers *peers) broadcast(update topicUpdate) int {
	live := map[string]bool{}
	peers.eachLive(time.Now(), func(hb heartbeat) { live[hb.Node] = true })
	cluster := peers.state.cluster.Load()
	var addrs, silent []string
	for _, name := range slices.Sorted(maps.Keys(cluster.nodes)) {
		switch rec := cluster.nodes[name]; {
		case name == peers.self.Node || rec.Zone != peers.self.Zone:
		case live[name]:
			addrs = append(addrs, rec.Addr)
		default:
			silent = append(silent, rec.Addr)
		}
	}
	// Nodes that are not heard send nothing on.
	addrs = append(addrs, silent...)
	direct := addrs[:min(updateFanout, len(addrs))]
	for from, recs := update.From, update.Records; len(recs) > 0 && len(addrs) > 0; {
		page := mirror.BuildPage(recs, update.End, maxUpdateSize)
		peers.sendUpdate(topicUpdate{Topic: update.Topic, From: from, End: page.End, Records: page.Records}, direct, addrs[len(direct):])
		from, recs = page.End, recs[len(page.Records):]
	}
	return len(addrs)
}

// sendUpdate sends news to some addresses and lets each of those send it to a
// part of the others.
func (peers *peers) sendUpdate(update topicUpdate, direct, others []string) {
	chunk := (len(others) + updateFanout - 1) / updateFanout
	for _, addr := range direct {
		pass := others[:min(chunk, len(others))]
		others = others[len(pass):]
		raw, err := cbor.Marshal(datagram{Update: &update, Forward: pass})
		if err != nil {
			peers.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("news can't be encoded")
			return
		}
		if len(raw) > maxDatagramSize {
			// One record alone is too large; the others fetch it.
			return
		}
		peers.sendDatagram(raw, addr)
	}
}
