package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/platform"
)

// nodeRecordTimeout is the time without a heartbeat after which a node's record
// is removed. VMs that lose power or are suspended mostly return within 5 s.
const nodeRecordTimeout = 6 * time.Second

// silentNode is a node that has a record but sends no heartbeats.
type silentNode struct {
	record nodeRecord
	since  time.Time
}

// removeSilentNodes removes the records of nodes that have sent no heartbeats
// for nodeRecordTimeout. During an outage of the store the orderer needs
// heartbeats from all registered nodes, so a stale record would block it. A
// running node writes its record again.
func (ord *orderer) removeSilentNodes(ctx context.Context, cluster *clusterState, now time.Time) {
	for name, rec := range cluster.nodes {
		if _, live := ord.peers.lastHeartbeat(name, now); live || name == ord.self.Node {
			delete(ord.silentNodes, name)
			continue
		}
		silent, ok := ord.silentNodes[name]
		if !ok || silent.record != rec {
			ord.silentNodes[name] = silentNode{record: rec, since: now}
			continue
		}
		if now.Sub(silent.since) < nodeRecordTimeout || ord.health.unavailableFor(now) > 0 {
			continue
		}
		ord.silentNodes[name] = silentNode{record: rec, since: now}
		go ord.removeNodeRecord(ctx, rec, now.Sub(silent.since))
	}
}

// removeNodeRecord removes the record of a node that has been silent for the
// duration.
func (ord *orderer) removeNodeRecord(ctx context.Context, rec nodeRecord, silent time.Duration) {
	sentAt := time.Now()
	_, err := ord.store.Append(ctx, platform.TopicNodes, keyNodePrefix+rec.Node, nil, -1)
	ord.metrics.recordStoreCall(storeAppend, sentAt, err)
	ord.log.WithFields(logrus.Fields{"event": "node_ended", "node_record": rec.Node, "life": rec.Incarnation, "silent": silent, "error": err}).Info("tried to remove the record of a silent node")
}
