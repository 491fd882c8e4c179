package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/cold"
	"kumquathinge/core/crash"
	"kumquathinge/core/evac"
	"kumquathinge/core/keyed"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// heartbeatInterval is the interval between two rounds of heartbeats.
	heartbeatInterval = 120 * time.Millisecond
	// heartbeatFanout is the largest number of rotating heartbeats per round.
	// It limits what a node sends and receives to about 300 heartbeats per
	// second. In deployments of up to 37 nodes every peer gets one per round.
	heartbeatFanout = 36
	// zoneFanout is the largest number of heartbeats per round to nodes of the own
	// zone.
	zoneFanout = 12
	// crossZoneFanout is the largest number of heartbeats per round to nodes of
	// other zones from a node that does not read the store. Nodes prefer the servers
	// of their own zone, so the load of other zones matters less.
	crossZoneFanout = 16
	// claimantsPerZone is the number of nodes of each zone that get a heartbeat
	// of the orderer in every round, because they replace it first.
	claimantsPerZone = 2
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
	// Suspects are the servers that send no data for the node's requests.
	Suspects []string `cbor:"6,keyasint"`
	// ActiveServers are the servers that sent data to the node within the last
	// round.
	ActiveServers []string `cbor:"16,keyasint,omitempty"`
	// Demands is the demand of the node's callers by model and organisation, in
	// groups.
	Demands map[string]map[core.OrgName]float64 `cbor:"17,keyasint,omitempty"`
	// Crashes are the ends of servers that the node saw, and the parts of prompts
	// in quarantine.
	Crashes *crash.PartsReport `cbor:"18,keyasint,omitempty"`
	// Limits are the limits that servers named to the node, Arrivals is the number
	// of requests that arrive at the node in a second.
	Limits   map[string]share.LimitReport `cbor:"19,keyasint,omitempty"`
	Arrivals float64                      `cbor:"20,keyasint,omitempty"`
	// Leaving are the processes of servers that said that they leave.
	Leaving []site.ServerRun `cbor:"23,keyasint,omitempty"`
	// Recovered are the servers to which connections of the node failed a moment ago.
	Recovered []cold.Report `cbor:"24,keyasint,omitempty"`
	// Evacuations are what the node has read of zones and the content of the store may
	// not show.
	Evacuations []evac.Claim `cbor:"27,keyasint,omitempty"`
	// LevelDemands replaces Demands for models with levels of urgency.
	LevelDemands levelDemands `cbor:"25,keyasint,omitempty"`
	// Learned are the node's samples for the estimates of what servers can take.
	Learned []byte `cbor:"26,keyasint,omitempty"`
	// Stopping is set while the node stops. Such a node does not become the
	// orderer.
	Stopping bool `cbor:"7,keyasint"`
	// LostServers are the servers that the node, as orderer, considers lost.
	LostServers []string `cbor:"12,keyasint"`
	// IsOrderer is set while the node is the orderer, active or about to be.
	IsOrderer bool `cbor:"13,keyasint"`
	// NextOffsets are the offsets up to which the node has read the topics, Eras the
	// eras of the store that they belong to.
	NextOffsets []int64 `cbor:"8,keyasint"`
	Eras        []int64 `cbor:"21,keyasint,omitempty"`
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64 `cbor:"22,keyasint,omitempty"`
	// Addr is the node's address for peers.
	Addr string `cbor:"9,keyasint"`
	Zone string `cbor:"10,keyasint"`
	// ObservedStates are the states that servers reported to the orderer while
	// the store does not respond.
	ObservedStates []observedState `cbor:"15,keyasint,omitempty"`
	// Interval is the longest time until the next heartbeat to the same
	// receiver.
	Interval time.Duration `cbor:"14,keyasint"`
	// RelayAddr is the node's address for requests that peers relay, and LostServices the
	// services whose servers the node can't reach.
	RelayAddr    string   `cbor:"28,keyasint,omitempty"`
	LostServices []string `cbor:"29,keyasint,omitempty"`
	// ReadsStore is set if the node reads the store itself.
	ReadsStore bool `cbor:"11,keyasint"`
}

// positions returns the positions up to which the node has read the topics. It is
// empty for a build that knows no eras.
func (hb *heartbeat) positions() []site.Position {
	out := make([]site.Position, 0, len(hb.Eras))
	for idx, era := range hb.Eras[:min(len(hb.Eras), len(hb.NextOffsets))] {
		out = append(out, site.Position{Era: era, Offset: hb.NextOffsets[idx]})
	}
	return out
}

// storeReachable reports whether the node reads the store and the store
// responds. It is false for a stopping node.
func (hb *heartbeat) storeReachable() bool {
	return hb.ReadsStore && hb.StoreOutage == 0 && !hb.Stopping
}

// runHeartbeats sends heartbeats and checks the liveness of peers until ctx is
// done.
func (peers *peers) runHeartbeats(ctx context.Context) error {
	timedOut := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		peers.trackStoreContact(now)
		peers.loads.cold.step(now)
		peers.sendHeartbeats(now)
		peers.stepCapacity(peers.state.table.Load(), peers.state.view.Load(), now)
		peers.loads.rebalance(peers.state.table.Load(), peers.state.view.Load(), now)
		peers.logPressure(now)
		live := peers.checkLiveness(timedOut, now) + 1
		peers.loads.setLiveNodes(live)
		peers.guard.step(live, now)
		peers.shareLimits(now)
		sleep(ctx, heartbeatInterval)
	}
	return nil
}

const (
	// urgentGatherTime is how long evidence is gathered before an urgent heartbeat:
	// the requests of one server end within it. urgentInterval is the minimum time
	// between two.
	urgentGatherTime = 5 * time.Millisecond
	urgentInterval   = 50 * time.Millisecond
)

// runUrgentHeartbeats sends a heartbeat to all peers when this node saw a server
// end under a request, until ctx is done.
func (peers *peers) runUrgentHeartbeats(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-peers.guard.reportDue:
		}
		sleep(ctx, urgentGatherTime)
		now := time.Now()
		addrs := peers.peerAddrs(now)
		hb := peers.newHeartbeat(now)
		hb.Interval = time.Duration(share.BatchCount(len(addrs), crossZoneFanout)) * heartbeatInterval
		peers.sendHeartbeatTo(hb, slices.Collect(maps.Keys(addrs)), addrs)
		sleep(ctx, urgentInterval)
	}
}

// shareLimits divides the limits of servers among the live nodes by their
// arrivals.
func (peers *peers) shareLimits(now time.Time) {
	peers.arrivals.sample(now)
	nodes := []share.NodeDemand{{Node: peers.self.Node, PerSecond: peers.arrivals.perSecond()}}
	peers.eachLive(now, func(hb *heartbeat) {
		if !hb.Stopping {
			nodes = append(nodes, share.NodeDemand{Node: hb.Node, PerSecond: max(0, hb.Arrivals)})
		}
	})
	peers.loads.withLock(func(balancer *share.Balancer) { balancer.SetNodes(peers.self.Node, nodes, now) })
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

// sendHeartbeats sends one round of heartbeats. In small deployments every peer
// gets one. In others a node that reads the store sends one to the other readers
// and to the first nodes of each zone, because these depend on its offsets and its
// liveness. All other peers get theirs in rotation, those of the own zone more
// often.
func (peers *peers) sendHeartbeats(now time.Time) {
	hb := peers.newHeartbeat(now)
	addrs := peers.peerAddrs(now)
	hb.Interval = heartbeatInterval
	if len(addrs) <= heartbeatFanout {
		peers.sendHeartbeatTo(hb, slices.Collect(maps.Keys(addrs)), addrs)
		return
	}
	fanout := crossZoneFanout
	if hb.ReadsStore {
		fanout = heartbeatFanout
	}
	frequent, sameZone, others := peers.splitPeers(addrs, hb.ReadsStore, now)
	peers.sendHeartbeatTo(hb, frequent, addrs)
	peers.sendInRotation(hb, &peers.zoneRotation, sameZone, zoneFanout, addrs)
	peers.sendInRotation(hb, &peers.rotation, others, fanout, addrs)
}

// sendInRotation sends a heartbeat to the next names of a rotation, at most
// fanout of them.
func (peers *peers) sendInRotation(hb heartbeat, rotation *share.RoundRobin, names []string, fanout int, addrs map[string]string) {
	hb.Interval = time.Duration(share.BatchCount(len(names), fanout)) * heartbeatInterval
	peers.sendHeartbeatTo(hb, rotation.NextBatch(names, fanout), addrs)
}

// splitPeers returns the peers that get a heartbeat in every round, and the others
// of the own zone and of other zones, sorted by name.
func (peers *peers) splitPeers(addrs map[string]string, readsStore bool, now time.Time) (frequent, sameZone, others []string) {
	readers := peers.storeReaders(now)
	cluster := peers.state.cluster.Load()
	seenByZone := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(addrs)) {
		zone := cluster.nodes[name].Zone
		seenByZone[zone]++
		switch {
		case readsStore && (readers[name] || seenByZone[zone] <= claimantsPerZone):
			frequent = append(frequent, name)
		case zone == peers.self.Zone:
			sameZone = append(sameZone, name)
		default:
			others = append(others, name)
		}
	}
	return frequent, sameZone, others
}

// newHeartbeat returns the current heartbeat of this node, without Interval.
func (peers *peers) newHeartbeat(now time.Time) heartbeat {
	hb := heartbeat{
		Node: peers.self.Node, Addr: peers.self.Addr, Incarnation: peers.self.Incarnation, Zone: peers.self.Zone, Term: peers.state.cluster.Load().term, StoreOutage: peers.health.unavailableFor(now),
		Stopping: peers.stopping(), ReadsStore: peers.readsStore(now), LostServers: peers.lostServers(), IsOrderer: peers.isOrderer(), ObservedStates: peers.observedStates(),
	}
	peers.loads.withLock(func(balancer *share.Balancer) {
		hb.RequestCounts = balancer.LocalLoads()
		hb.Limits = balancer.Limits(now)
		hb.ActiveServers = balancer.ActiveServers(now.Add(-heartbeatInterval))
		hb.Suspects = balancer.StalledServers(streamSilenceTimeout, now)
		hb.Learned = peers.loads.learned.Report()
	})
	hb.RelayAddr, hb.LostServices = peers.relayAddr, *peers.reach.lostServices.Load()
	hb.Suspects = peers.withinReach(hb.Suspects)
	hb.Evacuations = peers.evacuation.currentClaims()
	hb.Leaving = peers.registry.leavingRuns()
	hb.Recovered = peers.loads.cold.reports(now)
	hb.Demands = peers.loads.demands(now)
	hb.LevelDemands = peers.loads.levelDemands(now)
	hb.Arrivals = peers.arrivals.perSecond()
	hb.Crashes = peers.guard.report(now)
	for _, follower := range peers.followers {
		next := follower.next()
		hb.NextOffsets = append(hb.NextOffsets, next.Offset)
		hb.Eras = append(hb.Eras, next.Era)
	}
	if table := peers.state.table.Load(); table != nil {
		hb.ConfigVersion = table.Version()
	}
	return hb
}

// withinReach returns the servers whose service is within reach. That others send nothing
// says nothing about them.
func (peers *peers) withinReach(ids []string) []string {
	if len(*peers.reach.lostServices.Load()) == 0 {
		return ids
	}
	view := peers.state.view.Load()
	return slices.DeleteFunc(ids, func(id string) bool {
		srv := view.Server(id)
		return srv != nil && peers.reach.lost(srv.Service)
	})
}

// peerAddrs returns the addresses of the live peers and of the other nodes with
// a record in the store, by node.
func (peers *peers) peerAddrs(now time.Time) map[string]string {
	out := map[string]string{}
	peers.eachLive(now, func(hb *heartbeat) { out[hb.Node] = hb.Addr })
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
	peers.eachLive(now, func(hb *heartbeat) {
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

// zoneRelays is the number of nodes of another zone to which the orderer sends
// an update. Each of them forwards it to the whole zone, so that one of them may
// fail.
const zoneRelays = 2

// broadcast sends records that this node has read to the other nodes of its
// zone, in updates that fit into one datagram each. The orderer of a deployment
// of at least sharedReaderMinNodes nodes sends them to all zones. It returns the
// number of these nodes. A node that misses an update fetches its records when
// it receives a heartbeat with a later offset.
func (peers *peers) broadcast(update topicUpdate) int {
	targets := peers.updateTargets()
	num := 0
	for _, addrs := range targets {
		num += len(addrs)
	}
	for from, recs := update.From, update.Records; len(recs) > 0 && num > 0; {
		page := keyed.Page{Records: recs, End: site.Position{Era: update.Era, Offset: update.End}}.Cut(maxUpdateSize)
		part := topicUpdate{Topic: update.Topic, From: from, End: page.End.Offset, Era: update.Era, Records: page.Records}
		for zone, addrs := range targets {
			if zone == peers.self.Zone {
				direct := addrs[:min(updateFanout, len(addrs))]
				peers.sendUpdate(part, direct, addrs[len(direct):])
				continue
			}
			for idx := range min(zoneRelays, len(addrs)) {
				peers.sendUpdate(part, addrs[idx:idx+1], slices.Delete(slices.Clone(addrs), idx, idx+1))
			}
		}
		from, recs = page.End.Offset, recs[len(page.Records):]
	}
	return num
}

// updateTargets returns the addresses that get the updates of this node, by
// zone. Nodes that are not live come last, because they may not forward updates.
func (peers *peers) updateTargets() map[string][]string {
	live := map[string]bool{}
	peers.eachLive(time.Now(), func(hb *heartbeat) { live[hb.Node] = true })
	cluster := peers.state.cluster.Load()
	shared := cluster.orderer == peers.self && len(cluster.nodes) >= sharedReaderMinNodes
	out, notLive := map[string][]string{}, map[string][]string{}
	for _, name := range slices.Sorted(maps.Keys(cluster.nodes)) {
		rec := cluster.nodes[name]
		switch {
		case name == peers.self.Node || rec.Zone != peers.self.Zone && !shared:
		case live[name]:
			out[rec.Zone] = append(out[rec.Zone], rec.Addr)
		default:
			notLive[rec.Zone] = append(notLive[rec.Zone], rec.Addr)
		}
	}
	for zone, addrs := range notLive {
		out[zone] = append(out[zone], addrs...)
	}
	return out
}

// sendUpdate sends an update to the direct addresses. Each of these receivers
// forwards it to a part of the others.
func (peers *peers) sendUpdate(update topicUpdate, direct, others []string) {
	chunk := (len(others) + max(1, len(direct)) - 1) / max(1, len(direct))
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
