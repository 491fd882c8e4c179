package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// probeTimeout limits the wait for a server's report; a server responds
	// within a few milliseconds.
	probeTimeout = 180 * time.Millisecond
	// groupProbeInterval is the shortest interval between two probes of the
	// members of a group.
	groupProbeInterval = time.Second
	// reprobeInterval is the interval between two probes of a faulty server.
	reprobeInterval = time.Second
)

// serverFault is a server that did not respond to a probe, or reported that it
// is slow.
type serverFault struct {
	server      *site.Server
	lastProbeAt time.Time
	slow        bool
	// refused is set if the host refused a connection: no process listens there.
	refused bool
}

// isLost reports whether the server did not respond and has not restarted
// since.
func (ord *orderer) isLost(id string) bool { return ord.hasFault(id, false) }

// hasEnded reports whether the process of a lost server is known to have ended.
func (ord *orderer) hasEnded(id string) bool { return ord.faults[id].refused }

// isSlow reports whether the server reported that it is slow.
func (ord *orderer) isSlow(id string) bool { return ord.hasFault(id, true) }

func (ord *orderer) hasFault(id string, slow bool) bool {
	fault, ok := ord.faults[id]
	return ok && fault.slow == slow
}

// dropStaleFaults removes the faults of servers that are gone or have
// restarted.
func (ord *orderer) dropStaleFaults(view *site.View) {
	for id, fault := range ord.faults {
		if srv := view.Server(id); srv == nil || srv.StartMillis != fault.server.StartMillis {
			delete(ord.faults, id)
		}
	}
}

// lostServerIDs returns the servers that this node treats as lost, nil if it is
// not the active orderer.
func (ord *orderer) lostServerIDs() []string {
	if ids := ord.lostSnapshot.Load(); ids != nil {
		return *ids
	}
	return nil
}

// publishLost excludes the lost servers from routing on this node, and on the
// peers through heartbeats.
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

// reprobeFaulty probes the lost and the slow servers again.
func (ord *orderer) reprobeFaulty(ctx context.Context, now time.Time) {
	for id, fault := range ord.faults {
		if now.Sub(fault.lastProbeAt) < reprobeInterval || ord.state.excluded(fault.server) {
			continue
		}
		fault.lastProbeAt = now
		ord.faults[id] = fault
		go ord.probeAll(ctx, []*site.Server{fault.server}, 1)
	}
}

// probeSuspects probes the members of groups whose heads are silent or slow, as
// seen by this node or its peers.
func (ord *orderer) probeSuspects(ctx context.Context, view *site.View, now time.Time) {
	var heads []string
	ord.loads.withLock(func(balancer *share.Balancer) {
		heads = append(balancer.StalledServers(streamSilenceTimeout, now), ord.loads.slowServers(now)...)
	})
	ord.peers.eachLive(now, func(hb *heartbeat) { heads = append(heads, hb.Suspects...) })
	for _, grp := range view.Groups() {
		head := grp.Head()
		if head == nil || !slices.Contains(heads, head.ID) || head.Group.State != site.GroupOpen || ord.state.excludesGroup(grp) {
			continue
		}
		if now.Sub(ord.groupProbedAt[head.ID]) < groupProbeInterval {
			continue
		}
		ord.groupProbedAt[head.ID] = now
		ord.log.WithFields(logrus.Fields{"event": "group_suspect", "group": grp.Name, "epoch": grp.Epoch, "head": head.ID}).Warn("group head is silent or slow; probing the members of the group")
		go ord.probeAll(ctx, grp.Members, 2)
	}
}

// probeAll probes servers concurrently, up to tries times each, and records the
// results together: a loss can only be judged with the state of the other
// members.
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
	record := func() {
		for idx, srv := range srvs {
			if srv != nil && !ord.state.excluded(srv) {
				ord.recordProbe(srv, reports[idx], errs[idx], time.Now())
			}
		}
	}
	failed := slices.IndexFunc(errs, func(err error) bool { return err != nil })
	if failed < 0 {
		ord.callbacks <- record
		return
	}
	// That all probes fail may be due to this node.
	ord.peers.reach.confirm(srvs[failed].Service, func() { go func() { ord.callbacks <- record }() })
}

// probe requests the report of a server, up to tries times if it fails.
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
	// slowPace is the pace from which on replacing a member pays, since it
	// slows its group down; a repair takes about 2.5 s.
	slowPace = 1.8
	// normalPace is the pace below which a slow member is used again. It is
	// lower than slowPace for hysteresis.
	normalPace = 1.3
)

// recordProbe records whether a server responded, and how fast it is.
func (ord *orderer) recordProbe(srv *site.Server, report site.Report, err error, now time.Time) {
	ord.loads.cold.recordReport(report.Server)
	fault, faulty := ord.faults[srv.ID]
	logEntry := ord.log.WithFields(logrus.Fields{"server": srv.ID, "group": srv.Group.Name, "epoch": srv.Group.Epoch, "pace": report.Slowdown, "error": err})
	switch {
	case err != nil && (!faulty || fault.slow):
		ord.faults[srv.ID] = serverFault{server: srv, lastProbeAt: now, refused: errors.Is(err, syscall.ECONNREFUSED)}
		ord.beginOutage(srv, now)
		logEntry.WithField("event", "server_lost").Warn("server does not respond")
	case err != nil && !fault.refused && errors.Is(err, syscall.ECONNREFUSED):
		fault.refused = true
		ord.faults[srv.ID] = fault
	case err == nil && report.Slowdown >= slowPace && (!faulty || !fault.slow):
		ord.faults[srv.ID] = serverFault{server: srv, lastProbeAt: now, slow: true}
		logEntry.WithField("event", "server_slow").Warn("server is slow")
	case err == nil && report.Slowdown < normalPace && faulty:
		delete(ord.faults, srv.ID)
		logEntry.WithField("event", "server_found").Info("server responds normally again")
	}
}
