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
	// probeTimeout is the wait for a member's report; a server answers in some
	// milliseconds.
	probeTimeout = 180 * time.Millisecond
	// groupProbeInterval is the pause before a group that was probed without finding
	// a loss is probed again.
	groupProbeInterval = time.Second
	// reprobeInterval is the pause between two probes of a lost server.
	reprobeInterval = time.Second
)

// serverFault is a server that didn't answer, or answered that it is slow, and
// when it was asked last.
type serverFault struct {
	server      *site.Server
	lastProbeAt time.Time
	slow        bool
}

// isLost reports whether a server didn't answer and has not started anew.
func (ord *orderer) isLost(id string) bool { return ord.hasFault(id, false) }

// isSlow reports whether a server said that it is slow.
func (ord *orderer) isSlow(id string) bool { return ord.hasFault(id, true) }

func (ord *orderer) hasFault(id string, slow bool) bool {
	fault, ok := ord.faults[id]
	return ok && fault.slow == slow
}

// dropStaleFaults drops the marks of servers that are gone or have started anew.
func (ord *orderer) dropStaleFaults(view *site.View) {
	for id, fault := range ord.faults {
		if srv := view.Server(id); srv == nil || srv.StartMillis != fault.server.StartMillis {
			delete(ord.faults, id)
		}
	}
}

// lostServerIDs returns the servers that this node takes as lost while it orders.
func (ord *orderer) lostServerIDs() []string {
	if ids := ord.lostSnapshot.Load(); ids != nil {
		return *ids
	}
	return nil
}

// publishLost keeps requests from the lost servers, here and by the reports to peers.
func (ord *orderer) publishLost(now time.Time) {
	var ids []string
	for id, fault := range ord.faults {
		if !fault.slow {
			ids = append(ids, id)
		}
	}
	ord.lostSnapshot.Store(&ids)
	ord.loads.withLock(func(balancer *share.Balancer) {
		for _, id := range ids {
			balancer.MarkLost(id, orderTickInterval, now)
		}
	})
}

// reprobeFaulty asks the lost servers again.
func (ord *orderer) reprobeFaulty(ctx context.Context, now time.Time) {
	for id, fault := range ord.faults {
		if now.Sub(fault.lastProbeAt) < reprobeInterval {
			continue
		}
		fault.lastProbeAt = now
		ord.faults[id] = fault
		go ord.probeAll(ctx, []*site.Server{fault.server}, 1)
	}
}

// probeSuspects probes the members of groups whose heads send nothing.
func (ord *orderer) probeSuspects(ctx context.Context, view *site.View, now time.Time) {
	var heads []string
	ord.loads.withLock(func(balancer *share.Balancer) {
		heads = append(balancer.StalledServers(streamSilenceTimeout, now), balancer.SlowServers()...)
	})
	ord.peers.eachLive(now, func(hb heartbeat) { heads = append(heads, hb.Suspects...) })
	for _, grp := range view.Groups() {
		head := grp.Head()
		if head == nil || !slices.Contains(heads, head.ID) || head.Group.State != site.GroupOpen {
			continue
		}
		if now.Sub(ord.groupProbedAt[head.ID]) < groupProbeInterval {
			continue
		}
		ord.groupProbedAt[head.ID] = now
		ord.log.WithFields(logrus.Fields{"event": "group_suspect", "group": grp.Name, "epoch": grp.Epoch, "head": head.ID}).Warn("head of a group sends nothing or little; its members are probed")
		go ord.probeAll(ctx, grp.Members, 2)
	}
}

// probeAll asks servers for their reports, up to so many times, and notes the
// results together: what is lost shows only beside what is still there.
func (ord *orderer) probeAll(ctx context.Context, srvs []*site.Server, tries int) {
	reports := make([]site.Report, len(srvs))
	errs := make([]error, len(srvs))
	var wg sync.WaitGroup
	for idx, srv := range srvs {
		if srv != nil {
			wg.Go(func() { reports[idx], errs[idx] = ord.probe(ctx, srv, tries) })
		}
	}
	wg.Wait()
	ord.callbacks <- func() {
		for idx, srv := range srvs {
			if srv != nil {
				ord.recordProbe(srv, reports[idx], errs[idx], time.Now())
			}
		}
	}
}

// probe asks a server for its report, again if it is silent.
func (ord *orderer) probe(ctx context.Context, srv *site.Server, tries int) (site.Report, error) {
	var err error
	for range tries {
		ord.metrics.probes.Inc()
		pctx, cancel := context.WithTimeout(ctx, probeTimeout)
		report, reportErr := ord.serverClient.Report(pctx, srv)
		cancel()
		if reportErr == nil {
			return report, nil
		}
		err = reportErr
	}
	return site.Report{}, err
}

const (
	// slowPace is the pace from which on a member holds its group up so much
	// that replacing it pays: a repair takes some 2.5 s.
	slowPace = 1.8
	// normalPace is the pace below which a slow member is used again.
	normalPace = 1.3
)

// recordProbe notes whether a server answered, and how fast it is.
func (ord *orderer) recordProbe(srv *site.Server, report site.Report, err error, now time.Time) {
	fault, faulty := ord.faults[srv.ID]
	logEntry := ord.log.WithFields(logrus.Fields{"server": srv.ID, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "pace": report.Slowdown, "error": err})
	switch {
	case err != nil && (!faulty || fault.slow):
		ord.faults[srv.ID] = serverFault{server: srv, lastProbeAt: now}
		ord.beginOutage(srv, now)
		logEntry.WithField("event", "server_lost").Warn("server doesn't answer")
	case err == nil && report.Slowdown >= slowPace && (!faulty || !fault.slow):
		ord.faults[srv.ID] = serverFault{server: srv, lastProbeAt: now, slow: true}
		logEntry.WithField("event", "server_slow").Warn("server is slow")
	case err == nil && report.Slowdown < normalPace && faulty:
		delete(ord.faults, srv.ID)
		logEntry.WithField("event", "server_found").Info("server answers as usual again")
	}
}
