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

// Keys of the topic of the nodes.
const (
	keyOrderer    = "orderer"
	keyNodePrefix = "node/"
)

// enroller publishes who the nodes are, and writes this node's own record.
type enroller struct {
	sta  *state
	sto  *platform.Store
	log  *logrus.Logger
	met  *meter
	self nodeRecord
	ros  *roster
	// left is set when this node's record has ended for good.
	left atomic.Bool
}

func newEnroller(sta *state, sto *platform.Store, log *logrus.Logger, met *meter, self nodeRecord) *enroller {
	return &enroller{sta: sta, sto: sto, log: log, met: met, self: self, ros: &roster{nodes: map[string]nodeRecord{}}}
}

// apply takes records of the nodes' topic.
func (enr *enroller) apply(chg change) {
	nxt := &roster{nodes: make(map[string]nodeRecord, len(enr.ros.nodes)), orderer: enr.ros.orderer, term: enr.ros.term, end: chg.end, since: enr.ros.since}
	for nam, rec := range enr.ros.nodes {
		nxt.nodes[nam] = rec
	}
	for _, key := range chg.gone {
		delete(nxt.nodes, strings.TrimPrefix(key, keyNodePrefix))
	}
	for _, rec := range chg.records {
		if len(rec.Value) == 0 {
			delete(nxt.nodes, strings.TrimPrefix(rec.Key, keyNodePrefix))
			continue
		}
		var nod nodeRecord
		err := json.Unmarshal(rec.Value, &nod)
		if err != nil {
			enr.log.WithFields(logrus.Fields{"event": "record_unreadable", "key": rec.Key, "offset": rec.Offset, "error": err}).Warn("record of a node can't be read")
			continue
		}
		switch {
		case rec.Key == keyOrderer:
			nxt.orderer, nxt.term, nxt.since = nod, rec.Offset+1, time.Now()
			enr.log.WithFields(logrus.Fields{"event": "orderer", "orderer": nod.Node, "life": nod.Life, "term": nxt.term}).Info("another node orders")
		case strings.HasPrefix(rec.Key, keyNodePrefix):
			nxt.nodes[nod.Node] = nod
		}
	}
	enr.ros = nxt
	enr.sta.nodes.Store(nxt)
	enr.sta.wake()
}

// run writes this node's record, and again while the topic shows another life.
func (enr *enroller) run(ctx context.Context) error {
	raw, err := json.Marshal(enr.self)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if !enr.left.Load() && enr.sta.nodes.Load().nodes[enr.self.Node] != enr.self {
			sent := time.Now()
			_, err = enr.sto.Append(ctx, platform.TopicNodes, keyNodePrefix+enr.self.Node, raw, -1)
			enr.met.store(storeAppend, sent, err)
			if err != nil {
				enr.log.WithFields(logrus.Fields{"event": "enrol_failed", "error": err}).Warn("record of this node was not written")
			}
		}
		sleep(ctx, enrolPause)
	}
	return nil
}

// leave ends this node's record when its process ends as planned. If that
// fails, the orderer ends it later.
func (enr *enroller) leave(ctx context.Context) {
	enr.left.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveBound)
	defer cancel()
	sent := time.Now()
	_, err := enr.sto.Append(ctx, platform.TopicNodes, keyNodePrefix+enr.self.Node, nil, -1)
	enr.met.store(storeAppend, sent, err)
	enr.log.WithFields(logrus.Fields{"event": "node_left", "node_record": enr.self.Node, "life": enr.self.Life, "error": err}).Info("record of this node ended")
}

// leaveBound is the longest wait for the end of this node's record; the store
// takes some 4 ms.
const leaveBound = 200 * time.Millisecond

// enrolPause is the pause between two looks at this node's record.
const enrolPause = 700 * time.Millisecond
