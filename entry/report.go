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
	// beatPause is the pause between two turns of reports to peers.
	beatPause = 120 * time.Millisecond
	// beatFanout is the number of peers that get a report in a turn. It bounds
	// what a node sends and gets to some 300 reports a second; deployments of
	// up to 37 nodes are within one turn.
	beatFanout = 36
)

// beat is what a node tells its peers of itself.
type beat struct {
	Node string `cbor:"1,keyasint"`
	Life int64  `cbor:"2,keyasint"`
	// Term is the term of the orderer that the node knows.
	Term int64 `cbor:"3,keyasint"`
	// StoreAge is the time since the store last answered the node, zero while
	// it answers.
	StoreAge time.Duration `cbor:"4,keyasint"`
	// Running is what the node has at servers.
	Running map[string]share.Load `cbor:"5,keyasint"`
	// Suspects are the servers that send nothing for the node's requests, or
	// far less than others.
	Suspects []string `cbor:"6,keyasint"`
	// Stopping nodes do not become orderers.
	Stopping bool `cbor:"7,keyasint"`
	// Lost are the servers that the orderer takes as lost.
	Lost []string `cbor:"12,keyasint"`
	// Orders tells that the node orders now.
	Orders bool `cbor:"13,keyasint"`
	// Ends are the offsets to which the node has read the topics.
	Ends []int64 `cbor:"8,keyasint"`
	// Addr is the node's address for peers.
	Addr string `cbor:"9,keyasint"`
	Zone string `cbor:"10,keyasint"`
	// Moved are the states of servers that the orderer knows from their own
	// reports while the store doesn't answer.
	Moved []moved `cbor:"15,keyasint,omitempty"`
	// Every is the longest time until the node reports to the receiver again.
	Every time.Duration `cbor:"14,keyasint"`
	// Reader tells that the node asks the store.
	Reader bool `cbor:"11,keyasint"`
}

// reaches reports whether the node asks the store and gets answers.
func (bea beat) reaches() bool { return bea.Reader && bea.StoreAge == 0 && !bea.Stopping }

// report sends reports until ctx ends, and notes peers that fall silent.
func (prs *peers) report(ctx context.Context) error {
	lost := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		prs.send(now)
		prs.lod.setNodes(prs.review(lost, now) + 1)
		sleep(ctx, beatPause)
	}
	return nil
}

// review logs the peers that have fallen silent, which it notes in lost, and
// returns the number of those that have not.
func (prs *peers) review(lost map[string]bool, now time.Time) int {
	prs.mtx.Lock()
	defer prs.mtx.Unlock()
	num := 0
	for nam, hrd := range prs.nodes {
		live := hrd.live(now)
		if live {
			num++
		}
		if !live && !lost[nam] {
			prs.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "peer", "peer": nam, "age": now.Sub(hrd.at)}).Warn("peer isn't heard")
		}
		lost[nam] = !live
		if now.Sub(hrd.at) > forgetTime {
			delete(prs.nodes, nam)
			delete(lost, nam)
		}
	}
	return num
}

// send sends one turn of reports. A node that reads the store reports in each
// turn to its zone and to the other readers, since those follow what it has
// read and whether it lives; all other peers get theirs by turns.
func (prs *peers) send(now time.Time) {
	bea := prs.describe(now)
	addrs := prs.addresses(now)
	readers := prs.readers(now)
	var often, seldom []string
	ros := prs.sta.nodes.Load()
	for _, nam := range slices.Sorted(maps.Keys(addrs)) {
		if bea.Reader && (ros.nodes[nam].Zone == prs.self.Zone || readers[nam]) {
			often = append(often, nam)
		} else {
			seldom = append(seldom, nam)
		}
	}
	if len(addrs) <= beatFanout {
		often, seldom = append(often, seldom...), nil
	}
	bea.Every = beatPause
	prs.sendTo(bea, often, addrs)
	bea.Every = time.Duration(share.BatchCount(len(seldom), beatFanout)) * beatPause
	prs.sendTo(bea, prs.rota.NextBatch(seldom, beatFanout), addrs)
}

// describe returns what this node reports.
func (prs *peers) describe(now time.Time) beat {
	bea := beat{
		Node: prs.self.Node, Addr: prs.self.Addr, Life: prs.self.Life, Zone: prs.self.Zone, Term: prs.sta.nodes.Load().term, StoreAge: prs.hea.age(now),
		Stopping: prs.stop(), Reader: prs.reads(now), Lost: prs.lost(), Orders: prs.orders(), Moved: prs.moved(),
	}
	prs.lod.with(func(boo *share.Balancer) {
		bea.Running = boo.LocalLoads()
		bea.Suspects = append(boo.StalledServers(silenceBound, now), boo.SlowServers()...)
	})
	for _, fol := range prs.topics {
		bea.Ends = append(bea.Ends, fol.next.Load())
	}
	return bea
}

// addresses returns the addresses of the other nodes that the store knows and
// of those that are heard.
func (prs *peers) addresses(now time.Time) map[string]string {
	out := map[string]string{}
	prs.each(now, func(bea beat) { out[bea.Node] = bea.Addr })
	for nam, rec := range prs.sta.nodes.Load().nodes {
		if nam != prs.self.Node {
			out[nam] = rec.Addr
		}
	}
	return out
}

// readers returns the peers that read the store.
func (prs *peers) readers(now time.Time) map[string]bool {
	out := map[string]bool{}
	prs.each(now, func(bea beat) {
		if bea.Reader {
			out[bea.Node] = true
		}
	})
	return out
}

// sendTo sends a report to the named peers.
func (prs *peers) sendTo(bea beat, names []string, addrs map[string]string) {
	if len(names) == 0 {
		return
	}
	raw, err := cbor.Marshal(packet{Beat: &bea})
	if err != nil {
		prs.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("report can't be encoded")
		return
	}
	for _, nam := range names {
		prs.post(raw, addrs[nam])
	}
}

// newsFanout is the number of nodes to which a node sends news itself; in
// larger zones these send them on.
const newsFanout = 12

// tell sends what this node has read to the others of its zone, in parts that
// fit into a datagram each. It returns their number. A node that misses a part
// fetches the rest when it hears how far this node has read.
func (prs *peers) tell(nws news) int {
	live := map[string]bool{}
	prs.each(time.Now(), func(bea beat) { live[bea.Node] = true })
	ros := prs.sta.nodes.Load()
	var addrs, dark []string
	for _, nam := range slices.Sorted(maps.Keys(ros.nodes)) {
		switch rec := ros.nodes[nam]; {
		case nam == prs.self.Node || rec.Zone != prs.self.Zone:
		case live[nam]:
			addrs = append(addrs, rec.Addr)
		default:
			dark = append(dark, rec.Addr)
		}
	}
	// Nodes that are not heard send nothing on.
	addrs = append(addrs, dark...)
	direct := addrs[:min(newsFanout, len(addrs))]
	for from, recs := nws.From, nws.Records; len(recs) > 0 && len(addrs) > 0; {
		pag := mirror.BuildPage(recs, nws.End, maxNews)
		prs.sendNews(news{Topic: nws.Topic, From: from, End: pag.End, Records: pag.Records}, direct, addrs[len(direct):])
		from, recs = pag.End, recs[len(pag.Records):]
	}
	return len(addrs)
}

// sendNews sends news to some addresses and lets each of those send it to a
// part of the others.
func (prs *peers) sendNews(nws news, direct, others []string) {
	part := (len(others) + newsFanout - 1) / newsFanout
	for _, adr := range direct {
		pass := others[:min(part, len(others))]
		others = others[len(pass):]
		raw, err := cbor.Marshal(packet{News: &nws, Pass: pass})
		if err != nil {
			prs.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("news can't be encoded")
			return
		}
		if len(raw) > maxDatagram {
			// One record alone is too large; the others fetch it.
			return
		}
		prs.post(raw, adr)
	}
}
