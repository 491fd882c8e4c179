package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// probeBound is the wait for a member's report; a server answers in some
	// milliseconds.
	probeBound = 180 * time.Millisecond
	// probePause is the pause before a group that was probed without finding
	// a loss is probed again.
	probePause = time.Second
	// recheckPause is the pause between two probes of a lost server.
	recheckPause = time.Second
)

// lostMark is a server that didn't answer, or answered that it is slow, and
// when it was asked last.
type lostMark struct {
	srv   *site.Server
	asked time.Time
	slow  bool
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
		if srv := vie.Server(id); srv == nil || srv.StartMillis != mrk.srv.StartMillis {
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
	ord.lod.with(func(boo *share.Balancer) {
		for _, id := range ids {
			boo.MarkLost(id, orderPause, now)
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
	ord.lod.with(func(boo *share.Balancer) { heads = append(boo.StalledServers(silenceBound, now), boo.SlowServers()...) })
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
	ent := ord.log.WithFields(logrus.Fields{"server": srv.ID, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "pace": rep.Slowdown, "error": err})
	switch {
	case err != nil && (!marked || mrk.slow):
		ord.lost[srv.ID] = lostMark{srv: srv, asked: now}
		ord.noteDown(srv, now)
		ent.WithField("event", "server_lost").Warn("server doesn't answer")
	case err == nil && rep.Slowdown >= slowPace && (!marked || !mrk.slow):
		ord.lost[srv.ID] = lostMark{srv: srv, asked: now, slow: true}
		ent.WithField("event", "server_slow").Warn("server is slow")
	case err == nil && rep.Slowdown < usualPace && marked:
		delete(ord.lost, srv.ID)
		ent.WithField("event", "server_found").Info("server answers as usual again")
	}
}
