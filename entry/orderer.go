package entry

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
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
	probePause = time.Second
	// storeBound is the time for which an answer of the store confirms that no
	// other node orders. Reads of the nodes' topic come twice within it.
	storeBound = 3 * time.Second
	// confirmBound is the time after which a VM that stood still goes by the
	// peers if the store doesn't answer.
	confirmBound = 4 * time.Second
	// firstPause is the wait before a claim, for the reports of the peers.
	firstPause = 200 * time.Millisecond
	// recheckPause is the pause between two probes of a lost server.
	recheckPause = time.Second
	// sleepBound is the pause between two looks that shows that the process
	// stood still, so that another node may order by now.
	sleepBound = 600 * time.Millisecond
	// rankPause is the time that each node waits for those before it.
	rankPause = 250 * time.Millisecond
	// retireTime is the time without a report after which a node's record
	// ends. VMs that lose power or stand still are mostly back within 5 s.
	retireTime = 6 * time.Second
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
	reg      *registry
	watched  map[string]*watched
	movedNow atomic.Pointer[[]moved]
	// unheard are the nodes that have a record and send no reports.
	unheard map[string]unheardMark
	// told are the lost servers, for the reports to peers.
	told atomic.Pointer[[]string]
}

// lostMark is a server that didn't answer, or answered that it is slow, and
// when it was asked last.
type lostMark struct {
	srv   *site.Server
	asked time.Time
	slow  bool
}

// unheardMark is the record of a node that sends no reports, and since when.
type unheardMark struct {
	record nodeRecord
	since  time.Time
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
	ord.follow(ctx, now)
	vie := ord.overlay(ctx, now)
	ord.forget(vie)
	ord.noteBack(vie, now)
	ord.suspect(ctx, vie, now)
	ord.recheck(ctx, now)
	ord.tell(now)
	ord.order(ctx, vie, now)
	ord.retire(ctx, ros, now)
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
	_, err := ord.sto.Put(ctx, platform.TopicNodes, keyNodePrefix+rec.Node, nil, -1)
	ord.met.store(storeAppend, sent, err)
	ord.log.WithFields(logrus.Fields{"event": "node_ended", "node_record": rec.Node, "life": rec.Life, "silent": silent, "error": err}).Info("record of a silent node ended")
}

// pause ends the orders of this node. Its Machine stays, since a term has one
// only.
func (ord *orderer) pause(why string) {
	if !ord.active.Swap(false) {
		return
	}
	ord.told.Store(nil)
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
	off, err := ord.sto.Put(ctx, platform.TopicNodes, keyOrderer, raw, ros.end)
	ord.met.store(storeAppend, now, err)
	ord.log.WithFields(logrus.Fields{
		"event": "orderer_claim", "end": ros.end, "offset": off, "before": ros.orderer.Node, "raced": errors.Is(err, platform.ErrMoved), "error": err,
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
		Now: now, View: vie, Table: tab, Unlisted: ord.unlisted, Lost: ord.isLost, Slow: ord.isSlow, Load: ord.measure(now), Calm: ord.busy() == 0,
	})
	mac := ord.mac
	for _, one := range ords {
		ord.watch(one.Server, now)
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

// loadTime is the time over which the load of models is averaged.
const loadTime = 3 * time.Second

// measure returns the mean part of the batches that requests take by model, nil
// while no requests have come.
func (ord *orderer) measure(now time.Time) map[string]float64 {
	if ord.busy() == 0 {
		return nil
	}
	part := min(1, float64(now.Sub(ord.measured))/float64(loadTime))
	ord.measured = now
	if ord.load == nil {
		ord.load = map[string]float64{}
		part = 1
	}
	tab, vie := ord.sta.table.Load(), ord.sta.view.Load()
	for _, svc := range tab.Config().Services {
		if svc.Engine == nil {
			continue
		}
		for _, mod := range svc.Engine.Models {
			ord.load[mod.Name] += part * (ord.used(&svc, vie.Heads(svc.Name, mod.Name), now) - ord.load[mod.Name])
		}
	}
	return ord.load
}

// used returns the mean part of the batch that requests take at the heads, or 1
// if there are none.
func (ord *orderer) used(svc *site.Service, heads []*site.Server, now time.Time) float64 {
	if len(heads) == 0 {
		return 1
	}
	sum := 0.0
	ord.lod.with(func(boo *share.Book) {
		for _, hea := range heads {
			sum += boo.Load(hea.ID, now).Part(svc.Engine.Slots)
		}
	})
	return sum / float64(len(heads))
}

// isLost reports whether a server didn't answer and has not started anew.
func (ord *orderer) isLost(id string) bool { return ord.marked(id, false) }

// isSlow reports whether a server said that it is slow.
func (ord *orderer) isSlow(id string) bool { return ord.marked(id, true) }

func (ord *orderer) marked(id string, slow bool) bool {
	mrk, ok := ord.lost[id]
	return ok && mrk.slow == slow
}

// forget drops the marks of servers that are gone or have started anew.
func (ord *orderer) forget(vie *site.View) {
	for id, mrk := range ord.lost {
		if srv := vie.Server(id); srv == nil || srv.Born != mrk.srv.Born {
			delete(ord.lost, id)
		}
	}
}

// lostIDs returns the servers that this node takes as lost while it orders.
func (ord *orderer) lostIDs() []string {
	if ids := ord.told.Load(); ids != nil {
		return *ids
	}
	return nil
}

// tell keeps requests from the lost servers, here and by the reports to peers.
func (ord *orderer) tell(now time.Time) {
	var ids []string
	for id, mrk := range ord.lost {
		if !mrk.slow {
			ids = append(ids, id)
		}
	}
	ord.told.Store(&ids)
	ord.lod.with(func(boo *share.Book) {
		for _, id := range ids {
			boo.Lose(id, orderPause, now)
		}
	})
}

// recheck asks the lost servers again.
func (ord *orderer) recheck(ctx context.Context, now time.Time) {
	for id, mrk := range ord.lost {
		if now.Sub(mrk.asked) < recheckPause {
			continue
		}
		mrk.asked = now
		ord.lost[id] = mrk
		go ord.probeAll(ctx, []*site.Server{mrk.srv}, 1)
	}
}

// suspect probes the members of groups whose heads send nothing.
func (ord *orderer) suspect(ctx context.Context, vie *site.View, now time.Time) {
	var heads []string
	ord.lod.with(func(boo *share.Book) { heads = append(boo.Silent(silenceBound, now), boo.Slow()...) })
	ord.prs.each(now, func(bea beat) { heads = append(heads, bea.Suspects...) })
	for _, grp := range vie.Groups() {
		hea := grp.Head()
		if hea == nil || !slices.Contains(heads, hea.ID) || hea.Group.State != site.GroupOpen {
			continue
		}
		if now.Sub(ord.probed[hea.ID]) < probePause {
			continue
		}
		ord.probed[hea.ID] = now
		ord.log.WithFields(logrus.Fields{"event": "group_suspect", "group": grp.Name, "epoch": grp.Epoch, "head": hea.ID}).Warn("head of a group sends nothing or little; its members are probed")
		go ord.probeAll(ctx, grp.Members, 2)
	}
}

// probeAll asks servers for their reports, up to so many times, and notes the
// results together: what is lost shows only beside what is still there.
func (ord *orderer) probeAll(ctx context.Context, srvs []*site.Server, tries int) {
	reps := make([]site.Report, len(srvs))
	errs := make([]error, len(srvs))
	var wgr sync.WaitGroup
	for idx, srv := range srvs {
		if srv != nil {
			wgr.Go(func() { reps[idx], errs[idx] = ord.probe(ctx, srv, tries) })
		}
	}
	wgr.Wait()
	ord.done <- func() {
		for idx, srv := range srvs {
			if srv != nil {
				ord.probedOne(srv, reps[idx], errs[idx], time.Now())
			}
		}
	}
}

// probe asks a server for its report, again if it is silent.
func (ord *orderer) probe(ctx context.Context, srv *site.Server, tries int) (site.Report, error) {
	var err error
	for range tries {
		ord.met.probes.Inc()
		pctx, cancel := context.WithTimeout(ctx, probeBound)
		rep, perr := ord.svs.Report(pctx, srv)
		cancel()
		if perr == nil {
			return rep, nil
		}
		err = perr
	}
	return site.Report{}, err
}

const (
	// slowPace is the pace from which on a member holds its group up so much
	// that replacing it pays: a repair takes some 2.5 s.
	slowPace = 1.8
	// usualPace is the pace below which a slow member is used again.
	usualPace = 1.3
)

// probedOne notes whether a server answered, and how fast it is.
func (ord *orderer) probedOne(srv *site.Server, rep site.Report, err error, now time.Time) {
	mrk, marked := ord.lost[srv.ID]
	ent := ord.log.WithFields(logrus.Fields{"server": srv.ID, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "pace": rep.Pace, "error": err})
	switch {
	case err != nil && (!marked || mrk.slow):
		ord.lost[srv.ID] = lostMark{srv: srv, asked: now}
		ord.noteDown(srv, now)
		ent.WithField("event", "server_lost").Warn("server doesn't answer")
	case err == nil && rep.Pace >= slowPace && (!marked || !mrk.slow):
		ord.lost[srv.ID] = lostMark{srv: srv, asked: now, slow: true}
		ent.WithField("event", "server_slow").Warn("server is slow")
	case err == nil && rep.Pace < usualPace && marked:
		delete(ord.lost, srv.ID)
		ent.WithField("event", "server_found").Info("server answers as usual again")
	}
}
