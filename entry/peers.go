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
	// beatPause is the pause between the reports of a node to its peers.
	beatPause = 120 * time.Millisecond
	// liveBound is the time after which a peer that isn't heard is taken as
	// gone: six of its reports are missing.
	liveBound = 800 * time.Millisecond
	// maxBeat is the largest report in bytes.
	maxBeat = 32 << 10
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
	Running map[string]share.Count `cbor:"5,keyasint"`
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
	// Reader tells that the node asks the store.
	Reader bool `cbor:"11,keyasint"`
}

// reaches reports whether the node asks the store and gets answers.
func (bea beat) reaches() bool { return bea.Reader && bea.StoreAge == 0 && !bea.Stopping }

// packet is what goes from node to node in one datagram.
type packet struct {
	Beat *beat `cbor:"1,keyasint"`
	News *news `cbor:"2,keyasint"`
}

// heard is the last report of a peer.
type heard struct {
	beat beat
	at   time.Time
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
	// topics are the followers of the store's topics.
	topics []*follower

	// stranded is the time since which no node is known to reach the store, in
	// nanoseconds.
	stranded atomic.Int64

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

// live returns the peers that were heard lately.
func (prs *peers) live(now time.Time) map[string]heard {
	prs.mtx.Lock()
	defer prs.mtx.Unlock()
	out := make(map[string]heard, len(prs.nodes))
	for nam, hrd := range prs.nodes {
		if now.Sub(hrd.at) < liveBound {
			out[nam] = hrd
		}
	}
	return out
}

// receive takes reports until the socket closes.
func (prs *peers) receive(ctx context.Context) error {
	buf := make([]byte, maxBeat)
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
	if !known || now.Sub(old.at) >= liveBound || old.beat.Life != bea.Life {
		prs.log.WithFields(logrus.Fields{"event": "dependency_regained", "dependency": "peer", "peer": bea.Node, "life": bea.Life, "term": bea.Term}).Info("peer is heard")
	}
	for idx, end := range bea.Ends {
		if idx < len(prs.topics) {
			prs.topics[idx].hint(bea.Addr, end, bea.Zone == prs.self.Zone, now)
		}
	}
	prs.lod.with(func(boo *share.Book) {
		boo.Peer(bea.Node, bea.Running, now)
		for _, id := range bea.Lost {
			boo.Lose(id, now)
		}
	})
}

// report sends reports until ctx ends, and notes peers that fall silent.
func (prs *peers) report(ctx context.Context) error {
	lost := map[string]bool{}
	for ctx.Err() == nil {
		now := time.Now()
		prs.send(now)
		live := prs.live(now)
		prs.lod.setNodes(len(live) + 1)
		prs.mtx.Lock()
		for nam, hrd := range prs.nodes {
			_, ok := live[nam]
			if !ok && !lost[nam] {
				prs.log.WithFields(logrus.Fields{"event": "dependency_lost", "dependency": "peer", "peer": nam, "age": now.Sub(hrd.at)}).Warn("peer isn't heard")
			}
			lost[nam] = !ok
		}
		prs.mtx.Unlock()
		sleep(ctx, beatPause)
	}
	return nil
}

// send sends one report to each node that the store knows.
func (prs *peers) send(now time.Time) {
	ros := prs.sta.nodes.Load()
	bea := beat{Node: prs.self.Node, Addr: prs.self.Addr, Life: prs.self.Life, Term: ros.term, StoreAge: prs.hea.age(now), Stopping: prs.stop(), Zone: prs.self.Zone, Reader: prs.reads(now), Lost: prs.lost(), Orders: prs.orders()}
	prs.lod.with(func(boo *share.Book) {
		bea.Running = boo.Own()
		bea.Suspects = append(boo.Silent(silenceBound, now), boo.Slow()...)
	})
	for _, fol := range prs.topics {
		bea.Ends = append(bea.Ends, fol.next.Load())
	}
	raw, err := cbor.Marshal(packet{Beat: &bea})
	if err != nil {
		prs.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("report can't be encoded")
		return
	}
	for nam, rec := range ros.nodes {
		if nam != prs.self.Node {
			prs.post(raw, rec.Addr)
		}
	}
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

// tell sends what this node has read to the others of its zone. What is too
// large for a datagram they fetch when they hear how far this node has read.
func (prs *peers) tell(nws news) {
	raw, err := cbor.Marshal(packet{News: &nws})
	if err != nil {
		prs.log.WithFields(logrus.Fields{"event": "peer_encode", "error": err}).Error("news can't be encoded")
		return
	}
	if len(raw) > maxNews {
		return
	}
	for nam, rec := range prs.sta.nodes.Load().nodes {
		if nam != prs.self.Node && rec.Zone == prs.self.Zone {
			prs.post(raw, rec.Addr)
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
	rank, reached := 0, false
	for nam, hrd := range prs.live(now) {
		reached = reached || hrd.beat.reaches()
		if hrd.beat.Zone != prs.self.Zone || nam > prs.self.Node || hrd.beat.Stopping {
			continue
		}
		if hrd.beat.reaches() {
			prs.stranded.Store(0)
			return false
		}
		rank++
	}
	if rank < spareReaders {
		return true
	}
	if reached {
		prs.stranded.Store(0)
		return false
	}
	prs.stranded.CompareAndSwap(0, now.UnixNano())
	return now.UnixNano()-prs.stranded.Load() > int64(strandedTime)
}
