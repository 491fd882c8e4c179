package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/platform"
)

// retireTime is the time without a report after which a node's record
// ends. VMs that lose power or stand still are mostly back within 5 s.
const retireTime = 6 * time.Second

// unheardMark is the record of a node that sends no reports, and since when.
type unheardMark struct {
	record nodeRecord
	since  time.Time
}

// retire ends the records of nodes that are gone, since a node whose record
// stands must be heard while the store is away. A node that lives writes its
// record again.
func (ord *orderer) retire(ctx context.Context, ros *roster, now time.Time) {
	for nam, rec := range ros.nodes {
		if _, live := ord.prs.heard(nam, now); live || nam == ord.self.Node {
			delete(ord.unheard, nam)
			continue
		}
		mrk, ok := ord.unheard[nam]
		if !ok || mrk.record != rec {
			ord.unheard[nam] = unheardMark{record: rec, since: now}
			continue
		}
		if now.Sub(mrk.since) < retireTime || ord.hea.age(now) > 0 {
			continue
		}
		ord.unheard[nam] = unheardMark{record: rec, since: now}
		go ord.end(ctx, rec, now.Sub(mrk.since))
	}
}

// end ends the record of a node that hasn't been heard for the time.
func (ord *orderer) end(ctx context.Context, rec nodeRecord, silent time.Duration) {
	sent := time.Now()
	_, err := ord.sto.Append(ctx, platform.TopicNodes, keyNodePrefix+rec.Node, nil, -1)
	ord.met.store(storeAppend, sent, err)
	ord.log.WithFields(logrus.Fields{"event": "node_ended", "node_record": rec.Node, "life": rec.Life, "silent": silent, "error": err}).Info("record of a silent node ended")
}
