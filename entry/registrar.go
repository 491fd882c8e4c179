package entry

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// Keys of the nodes topic.
const (
	keyOrderer    = "orderer"
	keyNodePrefix = "node/"
	// keySettled holds the last era of the store in which an orderer has acted after
	// the servers had written their entries again.
	keySettled = "settled"
)

// topicRecord is the value of a record of the nodes topic: a node, the orderer, or
// an era alone.
type topicRecord struct {
	nodeRecord
	// Era is the era of the store for which the record was written. Nodes have none.
	Era int64 `json:"era,omitempty"`
	// MinTerm is the lowest term that the record of an orderer may have: it exceeds all
	// terms that the node had read when it wrote the record.
	MinTerm int64 `json:"minTerm,omitempty"`
}

// termAt returns the term of an orderer whose record has the offset. Within an era it
// rises with the offset, because a node has read all earlier records when it writes one.
func (rec topicRecord) termAt(offset int64) int64 {
	return max(rec.MinTerm, site.Position{Era: rec.Era, Offset: offset}.Ordinal())
}

// nodeRegistrar publishes the registered nodes and the orderer, and writes this
// node's own record.
type nodeRegistrar struct {
	state   *sharedState
	store   *platform.Store
	log     *logrus.Logger
	metrics *nodeMetrics
	self    nodeRecord
	cluster *clusterState
	// deregistered is set when this node's record has been removed for good.
	deregistered atomic.Bool
}

func newNodeRegistrar(state *sharedState, store *platform.Store, log *logrus.Logger, meter *nodeMetrics, self nodeRecord) *nodeRegistrar {
	return &nodeRegistrar{state: state, store: store, log: log, metrics: meter, self: self, cluster: &clusterState{nodes: map[string]nodeRecord{}}}
}

// apply applies records of the nodes topic.
func (registrar *nodeRegistrar) apply(change topicChange) {
	updated := *registrar.cluster
	updated.nodes = maps.Clone(registrar.cluster.nodes)
	updated.end = change.End()
	if updated.end.Era > registrar.cluster.end.Era {
		// Another node may have become the orderer in the records that are lost.
		updated.lapsedOrderer = registrar.cluster.orderer
		updated.orderer, updated.term = nodeRecord{}, 0
	}
	for _, key := range change.Removed() {
		delete(updated.nodes, strings.TrimPrefix(key, keyNodePrefix))
	}
	for _, rec := range change.Records() {
		if len(rec.Value) == 0 {
			delete(updated.nodes, strings.TrimPrefix(rec.Key, keyNodePrefix))
			continue
		}
		var doc topicRecord
		err := json.Unmarshal(rec.Value, &doc)
		if err != nil {
			registrar.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": rec.Key, "offset": rec.Offset, "error": err}).Warn("failed to decode a record of the nodes topic")
			continue
		}
		switch {
		case rec.Key == keyOrderer:
			registrar.applyOrderer(&updated, doc, rec.Offset)
		case rec.Key == keySettled:
			updated.settledEra = max(updated.settledEra, doc.Era)
		case strings.HasPrefix(rec.Key, keyNodePrefix):
			updated.nodes[doc.Node] = doc.nodeRecord
		}
	}
	registrar.cluster = &updated
	registrar.state.cluster.Store(&updated)
	registrar.state.wakeOrderer()
}

// applyOrderer applies the record of an orderer. It counts only in the era for which
// it was written: in another one it was restored from a copy, or a delayed call
// wrote it, and its term may be lower than one that was used since.
func (registrar *nodeRegistrar) applyOrderer(cluster *clusterState, rec topicRecord, offset int64) {
	fields := logrus.Fields{"event": "orderer", "orderer": rec.Node, "life": rec.Incarnation, "era": rec.Era, "offset": offset}
	if rec.Era != cluster.end.Era {
		registrar.log.WithFields(fields).Info("ignoring the record of an orderer of another era of the store")
		return
	}
	cluster.orderer, cluster.ordererSince = rec.nodeRecord, time.Now()
	cluster.term = rec.termAt(offset)
	cluster.highestTerm = max(cluster.highestTerm, cluster.term)
	fields["term"] = cluster.term
	registrar.log.WithFields(fields).Info("orderer changed")
}

// run writes this node's record, and rewrites it whenever the topic holds a
// different one, such as that of an earlier process.
func (registrar *nodeRegistrar) run(ctx context.Context) error {
	raw, err := json.Marshal(registrar.self)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if !registrar.deregistered.Load() && registrar.state.cluster.Load().nodes[registrar.self.Node] != registrar.self {
			sentAt := time.Now()
			_, err = registrar.store.Append(ctx, platform.TopicNodes, keyNodePrefix+registrar.self.Node, raw, -1)
			registrar.metrics.recordStoreCall(storeAppend, sentAt, err)
			if err != nil {
				registrar.log.WithFields(logrus.Fields{"event": "enrol_failed", "error": err}).Warn("failed to write the record of this node")
			}
		}
		sleep(ctx, recordCheckInterval)
	}
	return nil
}

// deregister removes this node's record on a planned stop. If that fails, the
// orderer removes it later.
func (registrar *nodeRegistrar) deregister(ctx context.Context) {
	registrar.deregistered.Store(true)
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	sentAt := time.Now()
	_, err := registrar.store.Append(ctx, platform.TopicNodes, keyNodePrefix+registrar.self.Node, nil, -1)
	registrar.metrics.recordStoreCall(storeAppend, sentAt, err)
	registrar.log.WithFields(logrus.Fields{"event": "node_left", "node_record": registrar.self.Node, "life": registrar.self.Incarnation, "error": err}).Info("tried to remove the record of this node")
}

// deregisterTimeout limits the removal of this node's record; the store takes
// about 4 ms.
const deregisterTimeout = 200 * time.Millisecond

// recordCheckInterval is the interval between two checks of this node's record.
const recordCheckInterval = 700 * time.Millisecond
