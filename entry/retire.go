package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/platform"
)

// nodeRecordTimeout is the time without a report after which a node's record
// ends. VMs that lose power or stand still are mostly back within 5 s.
const nodeRecordTimeout = 6 * time.Second

// silentNode is the record of a node that sends no reports, and since when.
type silentNode struct {
	record nodeRecord
	since  time.Time
}

// removeSilentNodes ends the records of nodes that are gone, since a node whose record
// stands must be heard while the store is away. A node that lives writes its
// record again.
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

// removeNodeRecord ends the record of a node that hasn't been heard for the time.
func (ord *orderer) removeNodeRecord(ctx context.Context, rec nodeRecord, silent time.Duration) {
	sent := time.Now()
	_, err := ord.store.Append(ctx, platform.TopicNodes, keyNodePrefix+rec.Node, nil, -1)
	ord.metrics.recordStoreCall(storeAppend, sent, err)
	ord.log.WithFields(logrus.Fields{"event": "node_ended", "node_record": rec.Node, "life": rec.Incarnation, "silent": silent, "error": err}).Info("record of a silent node ended")
}
