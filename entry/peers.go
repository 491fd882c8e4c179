package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
)

const (
	// liveBound is the time after which a peer that isn't heard is taken as
	// gone: six of its reports are missing.
	liveBound = 800 * time.Millisecond
	// liveReports is that number for peers that report more seldom.
	liveReports = 6
	// forgetTime is the time after which a peer that isn't heard is forgotten,
	// longer than any VM stands still.
	forgetTime = time.Minute
	// maxDatagram is the largest report or news in bytes.
	maxDatagram = 32 << 10
)

// packet is what goes from node to node in one datagram.
type packet struct {
	Beat *beat `cbor:"1,keyasint"`
	News *news `cbor:"2,keyasint"`
	// Pass are the addresses to which the receiver sends the news on.
	Pass []string `cbor:"3,keyasint,omitempty"`
}

// heard is the last report of a peer.
type heard struct {
	beat beat
	at   time.Time
}

// live reports whether the peer was heard lately, by how often it reports.
func (hrd heard) live(now time.Time) bool {
	return now.Sub(hrd.at) < max(liveBound, liveReports*hrd.beat.Every)
}

// peers exchanges reports with the other nodes in datagrams.
type peers struct {
	sta  *state
	lod  *loads
	hea  *health
	log  *logrus.Logger
	met  *meter
	self nodeRecord
	con  *net.UDPConn
	stop func() bool
	// lost returns the servers that this node, as orderer, takes as lost.
	lost func() []string
	// orders reports whether this node orders now.
	orders func() bool
	// moved returns what this node, as orderer, knows of servers while the store
	// is away, and reg takes what another one tells.
	moved func() []moved
	reg   *registry
	// topics are the followers of the store's topics.
	topics []*follower

	// stranded is the time since which no node is known to reach the store, in
	// nanoseconds.
	stranded atomic.Int64

	// rota picks the peers that get the next reports. The task that reports
	// owns it.
	rota share.RoundRobin

	mtx   sync.Mutex
	nodes map[string]heard
}

func newPeers(sta *state, lod *loads, hea *health, log *logrus.Logger, met *meter, self nodeRecord, stop func() bool) *peers {
	return &peers{sta: sta, lod: lod, hea: hea, log: log, met: met, self: self, stop: stop, nodes: map[string]heard{}}
}

// open binds the node's address.
func (prs *peers) open() error {
	adr, err := net.ResolveUDPAddr("udp", prs.self.Addr)
	if err != nil {
		return err
	}
	prs.con, err = net.ListenUDP("udp", adr)
	return err
}

// heard returns the last report of a peer and whether it came lately.
func (prs *peers) heard(nam string, now time.Time) (beat, bool) {
	prs.mtx.Lock()
	defer prs.mtx.Unlock()
	hrd, ok := prs.nodes[nam]
	return hrd.beat, ok && hrd.live(now)
}

// each calls fun with the reports of the peers that were heard lately. fun
// must not use prs.
func (prs *peers) each(now time.Time, fun func(bea beat)) {
	prs.mtx.Lock()
	defer prs.mtx.Unlock()
	for _, hrd := range prs.nodes {
		if hrd.live(now) {
			fun(hrd.beat)
		}
	}
}

// receive takes reports until the socket closes.
func (prs *peers) receive(ctx context.Context) error {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		num, _, err := prs.con.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			prs.met.peerErrors.Inc()
			sleep(ctx, beatPause)
			continue
		}
		var pkt packet
		err = cbor.Unmarshal(buf[:num], &pkt)
		switch {
		case err != nil:
			prs.met.peerErrors.Inc()
		case pkt.Beat != nil && pkt.Beat.Node != "" && pkt.Beat.Node != prs.self.Node:
			prs.take(*pkt.Beat, time.Now())
		case pkt.News != nil:
			prs.pass(*pkt.News)
			prs.sendNews(*pkt.News, pkt.Pass, nil)
		}
	}
	return nil
}

// take notes a report. One of an earlier life of its node is dropped.
func (prs *peers) take(bea beat, now time.Time) {
	prs.mtx.Lock()
	old, known := prs.nodes[bea.Node]
	stale := known && bea.Life < old.beat.Life
	if !stale {
		prs.nodes[bea.Node] = heard{beat: bea, at: now}
	}
	prs.mtx.Unlock()
	if stale {
		return
	}
	if !known || !old.live(now) || old.beat.Life != bea.Life {
		prs.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "peer", "peer": bea.Node, "life": bea.Life, "term": bea.Term}).Info("peer is heard")
	}
	if bea.Orders && len(bea.Moved) > 0 {
		prs.reg.tell(bea.Moved)
	}
	for idx, end := range bea.Ends {
		if idx < len(prs.topics) {
			prs.topics[idx].hint(bea.Addr, end, bea.Zone == prs.self.Zone, now)
		}
	}
	prs.lod.with(func(boo *share.Balancer) {
		boo.UpdatePeer(bea.Node, bea.Running, bea.Every, now)
		for _, id := range bea.Lost {
			boo.MarkLost(id, bea.Every, now)
		}
	})
}

// post sends one datagram.
func (prs *peers) post(raw []byte, addr string) {
	adr, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = prs.con.WriteToUDP(raw, adr)
	}
	if err != nil {
		prs.met.peerErrors.Inc()
	}
}

// pass hands news to the follower of its topic.
func (prs *peers) pass(nws news) {
	for _, fol := range prs.topics {
		if fol.topic == nws.Topic {
			fol.take(nws)
		}
	}
}

const (
	// maxNews is the largest news in bytes: a few datagrams of a link.
	maxNews = 8 << 10
	// spareReaders is the number of nodes of a zone that ask the store while
	// none of them gets an answer.
	spareReaders = 2
	// strandedTime is the time without any node that reaches the store after
	// which each node asks it.
	strandedTime = 3 * time.Second
)

// reads reports whether this node asks the store: it orders, or no node of its
// zone that comes before it reaches the store.
func (prs *peers) reads(now time.Time) bool {
	ros := prs.sta.nodes.Load()
	if ros.term > 0 && ros.orderer == prs.self {
		return true
	}
	rank, reached, before := 0, false, false
	prs.each(now, func(bea beat) {
		reached = reached || bea.reaches()
		if bea.Zone != prs.self.Zone || bea.Node > prs.self.Node || bea.Stopping {
			return
		}
		before = before || bea.reaches()
		rank++
	})
	if !before && rank < spareReaders {
		return true
	}
	if reached {
		prs.stranded.Store(0)
		return false
	}
	prs.stranded.CompareAndSwap(0, now.UnixNano())
	return now.UnixNano()-prs.stranded.Load() > int64(strandedTime)
}
