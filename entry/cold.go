package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/cold"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

const (
	// groupTimeSmoothing is the weight of a new sample in the mean time that requests
	// keep a group busy.
	groupTimeSmoothing = 0.02
	// heldBackLogInterval is the time between two log lines about requests that were
	// held back.
	heldBackLogInterval = time.Second
	// resendTime is the time within which a request whose kept connection turned out to
	// be closed may be written to another one without another decision.
	resendTime = 20 * time.Millisecond
)

// errColdLimit ends an attempt whose server may not get the request at the moment of
// sending. Nothing was sent.
var errColdLimit = core.Errorf(core.CodeDialFailed, "the server is cold, and this node's share of its requests is used")

// coldServers limits the requests of this node to cold servers. The mutex of loads guards
// it.
type coldServers struct {
	loads   *loadTracker
	state   *sharedState
	log     *logrus.Logger
	metrics *nodeMetrics
	// nodesRead reports whether the list of nodes is complete.
	nodesRead func() bool
	tracker   *cold.Tracker
	shares    *cold.Shares
	// limits are those of the configuration and settings in force.
	limits map[string]cold.Limit
	// groupTimes holds the mean time that requests keep a group busy, by service and model.
	groupTimes map[[2]string]time.Duration
	// reasons holds why servers were logged as cold.
	reasons map[site.ServerRun]cold.Reason
	// heldBack counts the requests that were held back since the last log line about it.
	heldBack         int
	heldBackLoggedAt time.Time
}

func newColdServers(loads *loadTracker, state *sharedState, log *logrus.Logger, meter *nodeMetrics, self string, now time.Time) *coldServers {
	servers := &coldServers{
		loads: loads, state: state, log: log, metrics: meter, nodesRead: func() bool { return false },
		groupTimes: map[[2]string]time.Duration{}, reasons: map[site.ServerRun]cold.Reason{},
	}
	servers.tracker = cold.NewTracker(cold.Sources{
		ZoneReturnedAt: servers.zoneReturnedAt, ZoneReachableAt: loads.balancer.ZoneReachableAt, LostUntil: loads.balancer.LostUntil, LastActive: loads.balancer.LastActive,
	}, now)
	servers.shares = cold.NewShares(servers.tracker, self, now)
	loads.balancer.AddLimiter(servers.shares)
	loads.balancer.AddEstimator(servers.shares)
	return servers
}

// zoneReturnedAt returns when this node learned that the evacuation of a zone ended.
func (servers *coldServers) zoneReturnedAt(zone string) time.Time {
	return servers.state.view.Load().ReturnedAt(zone)
}

// updateEntries takes the current entries of all servers and the configuration.
func (servers *coldServers) updateEntries(entries map[string]*site.Server, table *site.Table, now time.Time) {
	servers.loads.mtx.Lock()
	defer servers.loads.mtx.Unlock()
	limits := coldLimits(table, servers.loads.settings())
	if !maps.Equal(limits, servers.limits) {
		servers.limits = limits
		servers.tracker.SetLimits(limits)
	}
	servers.tracker.Update(entries, now)
	servers.shares.Prune()
}

// coldLimits returns the limits of cold servers by service.
func coldLimits(table *site.Table, settings site.Settings) map[string]cold.Limit {
	out := map[string]cold.Limit{}
	if table == nil {
		return out
	}
	for _, svc := range table.Config().Services {
		if !(svc.ColdPerSecond > 0) {
			continue
		}
		lim := cold.Limit{PerSecond: svc.ColdPerSecond, Time: svc.ColdStart}
		if settings.ColdRatio > 0 || settings.ColdSlack > 0 {
			lim.Bound = settings.ColdRatio*svc.ColdPerSecond + settings.ColdSlack
		}
		out[svc.Name] = lim
	}
	return out
}

// step updates the list of nodes, and logs which servers have become cold or warm.
func (servers *coldServers) step(now time.Time) {
	complete := servers.nodesRead()
	var names []string
	if complete {
		names = slices.Sorted(maps.Keys(servers.state.cluster.Load().nodes))
	}
	servers.loads.mtx.Lock()
	defer servers.loads.mtx.Unlock()
	if servers.shares.Beat(now) {
		servers.log.WithFields(logrus.Fields{"event": "cold_resumed", "for": cold.EntryLag}).Warn("this node was frozen; servers count as cold until their entries are read again")
	}
	servers.shares.SetNodes(names, now)
	for key, mean := range servers.groupTimes {
		servers.shares.SetGroupTime(key[0], key[1], mean)
	}
	servers.metrics.coldServers.Set(float64(servers.logChanges(now)))
}

// logChanges logs which servers have become cold or warm, and returns how many are cold.
// Servers that count as cold because this node knows too little of them are not logged.
func (servers *coldServers) logChanges(now time.Time) int {
	num := 0
	current := map[site.ServerRun]bool{}
	for _, srv := range servers.state.view.Load().Servers() {
		state := servers.tracker.State(srv, now)
		if state.Cold {
			num++
		}
		if !state.Cold || state.Reason == cold.ReasonUnknown {
			continue
		}
		run := srv.Run()
		current[run] = true
		if reason, known := servers.reasons[run]; known && reason == state.Reason {
			continue
		}
		servers.reasons[run] = state.Reason
		servers.log.WithFields(logrus.Fields{
			"event": "server_cold", "server": srv.ID, "zone": srv.Zone, "born": srv.StartMillis, "updates": srv.Updates, "reason": state.Reason, "left": state.Until.Sub(now), "until": state.Until.UTC(), "per_second": state.PerSecond,
		}).Info("server counts as cold")
	}
	for run, reason := range servers.reasons {
		if !current[run] {
			delete(servers.reasons, run)
			servers.log.WithFields(logrus.Fields{"event": "server_warm", "server": run.ID, "born": run.StartMillis, "reason": reason}).Info("server no longer counts as cold")
		}
	}
	return num
}

// beforeSend returns the check that is made when a request is sent to a server.
func (servers *coldServers) beforeSend(call *call, srv *site.Server) func() error {
	if !(call.service.ColdPerSecond > 0) {
		return nil
	}
	var confirmedAt time.Time
	return func() error {
		now := time.Now()
		if !confirmedAt.IsZero() && now.Sub(confirmedAt) < resendTime {
			return nil
		}
		servers.loads.mtx.Lock()
		defer servers.loads.mtx.Unlock()
		if !servers.shares.Confirm(srv, now) {
			servers.metrics.coldRefused.Inc()
			return errColdLimit
		}
		confirmedAt = now
		return nil
	}
}

// recordFailure records a failed attempt at a server.
func (servers *coldServers) recordFailure(call *call, srv *site.Server, code core.Code) {
	if code != core.CodeDialFailed || call.ctx.Err() != nil {
		return
	}
	servers.loads.withLock(func(*share.Balancer) { servers.tracker.RecordDialFailed(srv.ID, time.Now()) })
}

// recordStated records for how long a server remains cold, by the header of a response.
func (servers *coldServers) recordStated(srv *site.Server, header string) {
	if header == "" {
		return
	}
	left, ok := platform.DecodeColdLeft(header)
	if !ok {
		return
	}
	servers.loads.withLock(func(*share.Balancer) { servers.tracker.RecordStated(srv.Run(), left, time.Now()) })
}

// recordReport records for how long a server remains cold by its report, nil if there is
// none.
func (servers *coldServers) recordReport(srv *site.Server) {
	if srv == nil || srv.ColdLeft == 0 {
		return
	}
	servers.loads.withLock(func(*share.Balancer) { servers.tracker.RecordStated(srv.Run(), srv.ColdLeft, time.Now()) })
}

// reports returns the servers that this node saw recover.
func (servers *coldServers) reports(now time.Time) []cold.Report {
	servers.loads.mtx.Lock()
	defer servers.loads.mtx.Unlock()
	return servers.tracker.Reports(now)
}

// updatePeer takes the servers that a peer saw recover.
func (servers *coldServers) updatePeer(reports []cold.Report, now time.Time) {
	if len(reports) > 0 {
		servers.loads.withLock(func(*share.Balancer) { servers.tracker.UpdatePeer(reports, now) })
	}
}

// recordGroupTime records how long a request keeps a group busy. The caller holds the
// mutex.
func (servers *coldServers) recordGroupTime(call *call, busy time.Duration) {
	if !(call.service.ColdPerSecond > 0) {
		return
	}
	key := [2]string{call.service.Name, call.model}
	mean, known := servers.groupTimes[key]
	if !known {
		mean = busy
	}
	servers.groupTimes[key] = mean + time.Duration(groupTimeSmoothing*float64(busy-mean))
}

// countHeld returns to how many of the servers this node may send nothing now because
// they are cold. The caller holds the mutex.
func (servers *coldServers) countHeld(srvs []*site.Server, now time.Time) int {
	num := 0
	for _, srv := range srvs {
		if !servers.shares.Allows(srv, now) {
			num++
		}
	}
	return num
}

// recordHeldBack records that none of num servers was found for a call, and that held of
// them are cold.
func (servers *coldServers) recordHeldBack(call *call, held, num int, now time.Time) {
	if held == 0 {
		return
	}
	servers.metrics.coldHeldBack.Inc()
	servers.loads.mtx.Lock()
	servers.heldBack++
	count := servers.heldBack
	due := now.Sub(servers.heldBackLoggedAt) >= heldBackLogInterval
	if due {
		servers.heldBack, servers.heldBackLoggedAt = 0, now
	}
	servers.loads.mtx.Unlock()
	if due {
		servers.log.WithFields(logrus.Fields{"event": "cold_held_back", "request": call.id, "service": call.service.Name, "cold": held, "of": num, "requests": count}).Info("no server has capacity, and some are cold")
	}
}
