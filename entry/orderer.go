package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/place"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// orderPause is the longest pause between two looks of the orderer.
	orderPause = 100 * time.Millisecond
	// orderBound is the longest wait for the answer to an order.
	orderBound = 600 * time.Millisecond
	// probeBound is the wait for a member's report; a server answers in some
	// milliseconds.
	probeBound = 180 * time.Millisecond
	// probePause is the pause before a group that was probed without finding
	// a loss is probed again.
	probePause = 700 * time.Millisecond
	// lostBound is the time for which a server that didn't answer is taken as
	// lost, unless its entry changes. By then its entry lapses.
	lostBound = 6 * time.Second
	// storeBound is the time without the store after which the orderer gives
	// way to a node that reaches it.
	storeBound = 1200 * time.Millisecond
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
	log  *logrus.Logger
	met  *meter
	self nodeRecord
	stop func() bool
	busy func() int64

	mac     *place.Machine
	lost    map[string]lostMark
	probed  map[string]time.Time
	waiting time.Time
	last    time.Time
	done    chan func()
}

// lostMark is a server that didn't answer.
type lostMark struct {
	srv *site.Server
	at  time.Time
}

// run orders, or watches the node that does, until ctx ends.
func (ord *orderer) run(ctx context.Context) error {
	ord.lost = map[string]lostMark{}
	ord.probed = map[string]time.Time{}
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
	ord.last = now
	ros := ord.sta.nodes.Load()
	own := ros.term > 0 && ros.orderer == ord.self
	if !own {
		ord.resign("another node orders")
		ord.candidate(ctx, ros, now)
		return
	}
	if slept > sleepBound && ord.mac != nil {
		ord.resign("this VM stood still")
	}
	if ord.yields(now) {
		ord.resign("the store doesn't answer this node")
		return
	}
	if ord.mac == nil || ord.mac.Term() != ros.term {
		ord.mac = place.New(ros.term)
		ord.log.WithFields(logrus.Fields{"event": "orderer_start", "term": ros.term}).Info("this node orders")
	}
	ord.suspect(ctx, now)
	ord.order(ctx, now)
}

func (ord *orderer) resign(why string) {
	if ord.mac == nil {
		return
	}
	ord.log.WithFields(logrus.Fields{"event": "orderer_stop", "term": ord.mac.Term(), "reason": why}).Info("this node no longer orders")
	ord.mac = nil
}

// yields reports whether another live node reaches the store and this one
// doesn't.
func (ord *orderer) yields(now time.Time) bool {
	if ord.hea.age(now) < storeBound {
		return false
	}
	for _, hrd := range ord.prs.live(now) {
		if hrd.beat.StoreAge == 0 && !hrd.beat.Stopping {
			return true
		}
	}
	return false
}

// candidate takes over if no node orders and this one is the next.
func (ord *orderer) candidate(ctx context.Context, ros *roster, now time.Time) {
	if ord.stop() || ord.hea.age(now) > 0 || ord.sta.table.Load() == nil || ord.served(ros, now) {
		ord.waiting = time.Time{}
		return
	}
	if ord.waiting.IsZero() {
		ord.waiting = now
	}
	if now.Sub(ord.waiting) < time.Duration(ord.rank(ros, now))*rankPause {
		return
	}
	raw, err := json.Marshal(ord.self)
	if err != nil {
		ord.log.WithFields(logrus.Fields{"event": "orderer_encode", "error": err}).Error("record of the orderer can't be encoded")
		return
	}
	ord.met.storeCalls.Inc()
	off, err := ord.sto.Put(ctx, platform.TopicNodes, keyOrderer, raw, ros.end)
	ord.log.WithFields(logrus.Fields{
		"event": "orderer_claim", "end": ros.end, "offset": off, "before": ros.orderer.Node, "raced": errors.Is(err, platform.ErrMoved), "error": err,
	}).Info("this node offers to order")
	ord.waiting = now
}

// served reports whether the orderer is there and reaches the store.
func (ord *orderer) served(ros *roster, now time.Time) bool {
	if ros.term == 0 {
		return false
	}
	hrd, ok := ord.prs.live(now)[ros.orderer.Node]
	return ok && hrd.beat.Life == ros.orderer.Life && hrd.beat.StoreAge < storeBound && !hrd.beat.Stopping
}

// rank returns how many live nodes come before this one.
func (ord *orderer) rank(ros *roster, now time.Time) int {
	live := ord.prs.live(now)
	num := 0
	for nam := range ros.nodes {
		hrd, ok := live[nam]
		if ok && nam < ord.self.Node && !hrd.beat.Stopping && hrd.beat.StoreAge == 0 {
			num++
		}
	}
	return num
}

// order sends the orders that the groups need.
func (ord *orderer) order(ctx context.Context, now time.Time) {
	tab := ord.sta.table.Load()
	ords := ord.mac.Step(place.Input{
		Now: now, View: ord.sta.view.Load(), Table: tab, Lost: func(id string) bool { return ord.isLost(id, now) }, Calm: ord.busy() == 0,
	})
	mac := ord.mac
	for _, one := range ords {
		go func() {
			res, err := ord.send(ctx, one)
			ord.done <- func() { mac.Answer(one, res, time.Now()) }
			ord.log.WithFields(logrus.Fields{
				"event": "order", "kind": one.Kind, "server": one.Server, "group": one.Group, "epoch": one.Epoch, "model": one.Model,
				"members": one.Members, "term": one.Fence, "result": res, "error": err,
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

// isLost reports whether a server didn't answer and has said nothing since.
func (ord *orderer) isLost(id string, now time.Time) bool {
	mrk, ok := ord.lost[id]
	if !ok {
		return false
	}
	if now.Sub(mrk.at) > lostBound || ord.sta.view.Load().Server(id) != mrk.srv {
		delete(ord.lost, id)
		return false
	}
	return true
}

// suspect probes the members of groups whose heads send nothing.
func (ord *orderer) suspect(ctx context.Context, now time.Time) {
	var heads []string
	ord.lod.with(func(boo *share.Book) { heads = boo.Silent(silenceBound, now) })
	for _, hrd := range ord.prs.live(now) {
		heads = append(heads, hrd.beat.Silent...)
	}
	vie := ord.sta.view.Load()
	for _, grp := range vie.Groups() {
		hea := grp.Head()
		if hea == nil || !slices.Contains(heads, hea.ID) || hea.Group.State != site.GroupOpen {
			continue
		}
		if now.Sub(ord.probed[hea.ID]) < probePause {
			continue
		}
		ord.probed[hea.ID] = now
		ord.log.WithFields(logrus.Fields{"event": "group_suspect", "group": grp.Name, "epoch": grp.Epoch, "head": hea.ID}).Warn("head of a group sends nothing; its members are probed")
		for _, mem := range grp.Members {
			if mem != nil {
				go ord.probe(ctx, mem)
			}
		}
	}
}

// probe asks a server for its report, twice if it is silent.
func (ord *orderer) probe(ctx context.Context, srv *site.Server) {
	var err error
	for range 2 {
		ord.met.probes.Inc()
		var cancel context.CancelFunc
		pctx, cancel := context.WithTimeout(ctx, probeBound)
		_, err = ord.svs.Report(pctx, srv)
		cancel()
		if err == nil {
			return
		}
	}
	ord.log.WithFields(logrus.Fields{"event": "server_lost", "server": srv.ID, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "error": err}).Warn("server doesn't answer")
	ord.done <- func() { ord.lost[srv.ID] = lostMark{srv: srv, at: time.Now()} }
}
