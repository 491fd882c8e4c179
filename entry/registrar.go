package entry

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/platform"
)

// Keys of the nodes topic.
const (
	keyOrderer    = "orderer"
	keyNodePrefix = "node/"
)

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
	updated := &clusterState{nodes: make(map[string]nodeRecord, len(registrar.cluster.nodes)), orderer: registrar.cluster.orderer, term: registrar.cluster.term, endOffset: change.endOffset, ordererSince: registrar.cluster.ordererSince}
	for name, rec := range registrar.cluster.nodes {
		updated.nodes[name] = rec
	}
	for _, key := range change.removedKeys {
		delete(updated.nodes, strings.TrimPrefix(key, keyNodePrefix))
	}
	for _, rec := range change.records {
		if len(rec.Value) == 0 {
			delete(updated.nodes, strings.TrimPrefix(rec.Key, keyNodePrefix))
			continue
		}
		var node nodeRecord
		err := json.Unmarshal(rec.Value, &node)
		if err != nil {
			registrar.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": rec.Key, "offset": rec.Offset, "error": err}).Warn("failed to decode a record of the nodes topic")
			continue
		}
		switch {
		case rec.Key == keyOrderer:
			updated.orderer, updated.term, updated.ordererSince = node, rec.Offset+1, time.Now()
			registrar.log.WithFields(logrus.Fields{"event": "orderer", "orderer": node.Node, "life": node.Incarnation, "term": updated.term}).Info("orderer changed")
		case strings.HasPrefix(rec.Key, keyNodePrefix):
			updated.nodes[node.Node] = node
		}
	}
	registrar.cluster = updated
	registrar.state.cluster.Store(updated)
	registrar.state.wakeOrderer()
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
