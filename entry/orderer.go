package entry

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/place"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// orderPause is the longest pause between two looks of the orderer.
	orderPause = 100 * time.Millisecond
	// orderBound is the longest wait for the answer to an order.
	orderBound = 600 * time.Millisecond
	// storeBound is the time for which an answer of the store confirms that no
	// other node orders. Reads of the nodes' topic come twice within it.
	storeBound = 3 * time.Second
	// confirmBound is the time after which a VM that stood still goes by the
	// peers if the store doesn't answer.
	confirmBound = 4 * time.Second
	// firstPause is the wait before a claim, for the reports of the peers.
	firstPause = 200 * time.Millisecond
	// sleepBound is the pause between two looks that shows that the process
	// stood still, so that another node may order by now.
	sleepBound = 600 * time.Millisecond
	// rankPause is the time that each node waits for those before it.
	rankPause = 250 * time.Millisecond
)

// orderer forms the groups while this node is the one to do it.
type orderer struct {
	sta  *state
	hea  *health
	sto  *platform.Store
	svs  *platform.Servers
	prs  *peers
	lod  *loads
	reg  *registry
	log  *logrus.Logger
	met  *meter
	self nodeRecord
	stop func() bool
	busy func() int64

	mac     *place.Planner
	active  atomic.Bool
	woke    time.Time
	lost    map[string]lostMark
	probed  map[string]time.Time
	waiting time.Time
	last    time.Time
	done    chan func()
	// load is the mean load of models, measured is when it was looked at.
	load     map[string]float64
	measured time.Time
	gho      ghosts
	// downs are the groups that lost a member and don't serve yet, by name.
	downs map[string]down
	// watched are the servers that were given orders lately, movedNow what is
	// told of them.
	watched  map[string]*watched
	movedNow atomic.Pointer[[]moved]
	// unheard are the nodes that have a record and send no reports.
	unheard map[string]unheardMark
	// told are the lost servers, for the reports to peers.
	told atomic.Pointer[[]string]
}

// run orders, or watches the node that does, until ctx ends.
func (ord *orderer) run(ctx context.Context) error {
	ord.lost = map[string]lostMark{}
	ord.probed = map[string]time.Time{}
	ord.watched = map[string]*watched{}
	ord.downs = map[string]down{}
	ord.unheard = map[string]unheardMark{}
	ord.gho.byID = map[string]*ghost{}
	ord.gho.seen = map[string]*site.Server{}
	ord.done = make(chan func(), 256)
	tic := time.NewTicker(orderPause)
	defer tic.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case fun := <-ord.done:
			fun()
		case <-ord.sta.changed:
		case <-tic.C:
		}
		ord.look(ctx, time.Now())
	}
}

// look does what is due.
func (ord *orderer) look(ctx context.Context, now time.Time) {
	// The time of day also counts the time for which the VM stood still.
	slept := now.Round(0).Sub(ord.last.Round(0))
	if slept > sleepBound {
		ord.woke = now
	}
	ord.last = now
	ros := ord.sta.nodes.Load()
	if ros.term == 0 || ros.orderer != ord.self {
		ord.pause("another node orders")
		ord.candidate(ctx, ros, now)
		return
	}
	if why := ord.blocked(ros, now); why != "" {
		ord.pause(why)
		return
	}
	if ord.mac == nil || ord.mac.Term() != ros.term {
		ord.mac = place.New(ros.term)
	}
	if !ord.active.Swap(true) {
		ord.log.WithFields(logrus.Fields{"event": "orderer_start", "term": ros.term}).Info("this node orders")
	}
	ord.askOrdered(ctx, now)
	vie := ord.overlay(ctx, now)
	ord.forget(vie)
	ord.noteBack(vie, now)
	ord.suspect(ctx, vie, now)
	ord.recheck(ctx, now)
	ord.tell(now)
	ord.order(ctx, vie, now)
	ord.retire(ctx, ros, now)
}

// pause ends the orders of this node. Its Machine stays, since a term has one
// only.
func (ord *orderer) pause(why string) {
	if !ord.active.Swap(false) {
		return
	}
	ord.told.Store(nil)
	// What servers reported is old when this node orders again.
	clear(ord.watched)
	ord.movedNow.Store(nil)
	ord.log.WithFields(logrus.Fields{"event": "orderer_stop", "term": ord.mac.Term(), "reason": why}).Info("this node no longer orders")
}

// blocked returns why this node may not order although the store names it:
// another node may have taken over unseen. It is empty if that is ruled out.
func (ord *orderer) blocked(ros *roster, now time.Time) string {
	if now.Sub(ord.woke) < confirmBound && ord.hea.confirmed().Before(ord.woke) {
		return "this VM stood still and the store has not confirmed the term since"
	}
	if now.Sub(ord.hea.confirmed()) < storeBound {
		return ""
	}
	for nam, rec := range ros.nodes {
		bea, live := ord.prs.heard(nam, now)
		switch {
		case nam == ord.self.Node:
		case !live && bea.Stopping && bea.Life == rec.Life:
			// A node that stops does not become the orderer.
		case !live:
			return "the store doesn't answer and peer " + nam + " isn't heard"
		case bea.reaches():
			return "the store answers peer " + nam + " and not this node"
		case bea.Term > ros.term:
			return "peer " + nam + " knows a later orderer"
		}
	}
	return ""
}

// candidate takes over if no node orders and this one is the next.
func (ord *orderer) candidate(ctx context.Context, ros *roster, now time.Time) {
	if ord.stop() || !ord.prs.reads(now) || ord.hea.age(now) > 0 || ord.sta.table.Load() == nil || ord.served(ros, now) {
		ord.waiting = time.Time{}
		return
	}
	if ord.waiting.IsZero() {
		ord.waiting = now
	}
	if now.Sub(ord.waiting) < firstPause+time.Duration(ord.rank(ros, now))*rankPause {
		return
	}
	raw, err := json.Marshal(ord.self)
	if err != nil {
		ord.log.WithFields(logrus.Fields{"event": "orderer_encode", "error": err}).Error("record of the orderer can't be encoded")
		return
	}
	off, err := ord.sto.Append(ctx, platform.TopicNodes, keyOrderer, raw, ros.end)
	ord.met.store(storeAppend, now, err)
	ord.log.WithFields(logrus.Fields{
		"event": "orderer_claim", "end": ros.end, "offset": off, "before": ros.orderer.Node, "raced": errors.Is(err, platform.ErrOffsetMismatch), "error": err,
	}).Info("this node offers to order")
	ord.waiting = now
}

// served reports whether the orderer is there and orders. One of which this
// node has read just now may not have been heard yet.
func (ord *orderer) served(ros *roster, now time.Time) bool {
	if ros.term == 0 {
		return false
	}
	bea, live := ord.prs.heard(ros.orderer.Node, now)
	if !live {
		return now.Sub(ros.since) < liveBound
	}
	if bea.Life != ros.orderer.Life || bea.Stopping {
		return false
	}
	return bea.Orders || now.Sub(ros.since) < liveBound
}

// rank returns how many live nodes come before this one.
func (ord *orderer) rank(ros *roster, now time.Time) int {
	num := 0
	ord.prs.each(now, func(bea beat) {
		if _, known := ros.nodes[bea.Node]; known && bea.Node < ord.self.Node && bea.reaches() {
			num++
		}
	})
	return num
}

// order sends the orders that the groups need.
func (ord *orderer) order(ctx context.Context, vie *site.View, now time.Time) {
	tab := ord.sta.table.Load()
	ords := ord.mac.Step(place.Input{
		Now: now, View: vie, Table: tab, Unregistered: ord.unlisted, Unreachable: ord.isLost, Slow: ord.isSlow, Utilisation: ord.measure(now), BeforeTraffic: ord.busy() == 0,
	})
	mac := ord.mac
	for _, one := range ords {
		ord.watch(one.Server, now)
		go func() {
			res, err := ord.send(ctx, one)
			ord.done <- func() { mac.HandleResult(one, res, time.Now()) }
			ord.log.WithFields(logrus.Fields{
				"event": "order", "kind": one.Kind, "server": one.Server, "group": one.Group, "epoch": one.Epoch, "model": one.Model,
				"members": one.Members, "term": one.FencingToken, "result": res, "error": err,
			}).Info("order sent")
		}()
	}
}

func (ord *orderer) send(ctx context.Context, one site.Order) (site.OrderResult, error) {
	ctx, cancel := context.WithTimeout(ctx, orderBound)
	defer cancel()
	res, err := ord.svs.Order(ctx, one)
	ord.met.order(one.Kind.String(), res.String())
	return res, err
}
