package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/reach"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/io/wire"
	"kumquathinge/platform"
)

const (
	// reachCheckInterval is the interval at which the reach of servers is checked.
	reachCheckInterval = 50 * time.Millisecond
	// serviceSilenceTimeout is the time without data from any server of a service, while
	// requests are open, after which its servers are probed.
	serviceSilenceTimeout = 450 * time.Millisecond
	// reachTimeout limits the wait for the response to a probe.
	reachTimeout = 300 * time.Millisecond
)

// reachMonitor finds the services whose servers this node can't reach.
type reachMonitor struct {
	monitor *callMonitor
	state   *sharedState
	pools   *wire.Pools
	servers *platform.Servers
	log     *logrus.Logger
	metrics *nodeMetrics
	// lostServices holds the services whose servers are out of reach. It does not change
	// once it is stored.
	lostServices atomic.Pointer[[]string]
	// dataAt maps services to when a server last sent data, a *atomic.Int64 of nanoseconds
	// since startedAt.
	dataAt    sync.Map
	startedAt time.Time

	// due wakes run.
	due chan struct{}

	mtx     sync.Mutex
	tracker *reach.Tracker
	// unconfirmed are the signs that wait for the next round of probes, by service.
	unconfirmed map[string][]sign
}

func newReachMonitor(monitor *callMonitor, pools *wire.Pools, log *logrus.Logger, meter *nodeMetrics) *reachMonitor {
	mon := &reachMonitor{monitor: monitor, state: monitor.forwarder.state, pools: pools, servers: platform.NewServers(pools), log: log, metrics: meter, tracker: reach.NewTracker(), startedAt: time.Now(), due: make(chan struct{}, 1), unconfirmed: map[string][]sign{}}
	mon.lostServices.Store(&[]string{})
	return mon
}

// lost reports whether the servers of a service are out of reach.
func (mon *reachMonitor) lost(service string) bool {
	return slices.Contains(*mon.lostServices.Load(), service)
}

// recordResponse records a response of a server. Those on kept connections don't show that
// new ones can be opened.
func (mon *reachMonitor) recordResponse(service string, kept bool) {
	if kept {
		return
	}
	mon.mtx.Lock()
	defer mon.mtx.Unlock()
	mon.tracker.RecordConnected(service)
}

// recordData records that a server of the service sent data.
func (mon *reachMonitor) recordData(service string, now time.Time) {
	at, ok := mon.dataAt.Load(service)
	if !ok {
		at, _ = mon.dataAt.LoadOrStore(service, &atomic.Int64{})
	}
	at.(*atomic.Int64).Store(int64(now.Sub(mon.startedAt)))
}

// sinceData returns the time since a server of the service last sent data.
func (mon *reachMonitor) sinceData(service string, now time.Time) time.Duration {
	at, ok := mon.dataAt.Load(service)
	if !ok {
		return now.Sub(mon.startedAt)
	}
	return now.Sub(mon.startedAt) - time.Duration(at.(*atomic.Int64).Load())
}

// recordFailure records that a connection to a server could not be opened or broke.
func (mon *reachMonitor) recordFailure(service string) {
	mon.mtx.Lock()
	defer mon.mtx.Unlock()
	mon.tracker.RecordFailure(service, time.Now())
}

// sign is a sign that a server failed. It says nothing about the server if this node has
// lost all of them.
type sign struct {
	record func()
	// decided is closed once the sign was recorded or dropped.
	decided chan struct{}
}

// confirm calls record once a round of probes that begins from now on finds the servers of
// the service within reach, and drops it if they are lost. The channel is closed after that.
func (mon *reachMonitor) confirm(service string, record func()) <-chan struct{} {
	sgn := sign{record: record, decided: make(chan struct{})}
	mon.mtx.Lock()
	mon.unconfirmed[service] = append(mon.unconfirmed[service], sgn)
	mon.tracker.RequestProbes(service, time.Now())
	mon.mtx.Unlock()
	mon.wake()
	return sgn.decided
}

// runs reports whether a server responds as the process that it was.
func (mon *reachMonitor) runs(ctx context.Context, srv *site.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	mon.metrics.probes.Inc()
	report, err := mon.servers.Report(ctx, srv)
	return err == nil && report.Server.StartMillis == srv.StartMillis
}

// wake makes run look for rounds that are due.
func (mon *reachMonitor) wake() {
	select {
	case mon.due <- struct{}{}:
	default:
	}
}

// run checks the reach of servers until ctx ends.
func (mon *reachMonitor) run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(reachCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-mon.due:
		case <-ticker.C:
		}
		now := time.Now()
		for _, service := range mon.silentServices(now) {
			mon.recordFailure(service)
		}
		for service, unconfirmed := range mon.beginRounds(now) {
			probes.Go(func() { mon.probe(ctx, service, unconfirmed) })
		}
	}
}

// silentServices returns the services with open calls none of whose servers sends data.
func (mon *reachMonitor) silentServices(now time.Time) []string {
	silent := map[string]bool{}
	for _, call := range mon.monitor.calls() {
		name := call.service.Name
		if silent[name] || call.cancelAttempt.Load() == nil || call.server.Load() == nil {
			continue
		}
		silent[name] = mon.sinceData(name, now) > serviceSilenceTimeout && mon.monitor.silence(call, now) > max(serviceSilenceTimeout, call.route.TargetLatency)
	}
	maps.DeleteFunc(silent, func(_ string, isSilent bool) bool { return !isSilent })
	return slices.Collect(maps.Keys(silent))
}

// beginRounds begins the rounds of probes that are due, and returns what they confirm, by
// service.
func (mon *reachMonitor) beginRounds(now time.Time) map[string][]sign {
	table := mon.state.table.Load()
	if table == nil {
		return nil
	}
	mon.mtx.Lock()
	defer mon.mtx.Unlock()
	mon.tracker.Retain(func(name string) bool { return table.Service(name) != nil })
	mon.publish()
	out := map[string][]sign{}
	for _, svc := range table.Config().Services {
		if mon.tracker.BeginProbes(svc.Name, now) {
			out[svc.Name] = mon.unconfirmed[svc.Name]
			delete(mon.unconfirmed, svc.Name)
		}
	}
	return out
}

// publish publishes the services that are lost. The caller holds the mutex.
func (mon *reachMonitor) publish() {
	services := mon.tracker.LostServices()
	mon.lostServices.Store(&services)
	mon.metrics.lostServices.Set(float64(len(services)))
}

// probe connects to some servers of a service, and confirms or drops what waits for that.
func (mon *reachMonitor) probe(ctx context.Context, service string, unconfirmed []sign) {
	srvs := mon.serversOf(service)
	rand.Shuffle(len(srvs), func(idx, other int) { srvs[idx], srvs[other] = srvs[other], srvs[idx] })
	picked := srvs[:min(reach.ProbeCount, len(srvs))]
	num := mon.ping(ctx, picked)
	if ctx.Err() != nil {
		return
	}
	mon.metrics.reachProbes.Add(len(picked))
	mon.mtx.Lock()
	before := mon.tracker.Lost(service)
	result := mon.tracker.EndProbes(service, num, len(picked), time.Now())
	if result == reach.Undecided {
		mon.unconfirmed[service] = append(unconfirmed, mon.unconfirmed[service]...)
	}
	mon.publish()
	mon.mtx.Unlock()
	mon.wake()
	if result == reach.Undecided {
		return
	}
	for _, sgn := range unconfirmed {
		if result == reach.Reached {
			sgn.record()
		}
		close(sgn.decided)
	}
	lost := result == reach.Lost
	if lost == before {
		return
	}
	if lost {
		for _, srv := range srvs {
			mon.pools.Get(srv.Addr).Reset()
		}
	}
	mon.log.WithFields(logrus.Fields{"event": "service_reach", "service": service, "lost": lost, "responded": num, "probed": len(picked), "servers": len(srvs), "dropped": len(unconfirmed)}).Warn("the servers of a service are out of reach, or within reach again")
}

// ping sends a request to each of the servers over a new connection. It returns how many have
// responded, as soon as that is half of them. A connection alone shows little: what stands
// between the node and the server may accept it.
func (mon *reachMonitor) ping(ctx context.Context, srvs []*site.Server) int {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	results := make(chan bool, len(srvs))
	for _, srv := range srvs {
		go func() { results <- mon.servers.Ping(ctx, srv) == nil }()
	}
	num := 0
	for range srvs {
		if <-results {
			num++
		}
		if 2*num >= len(srvs) {
			break
		}
	}
	return num
}

// serversOf returns the servers of a service that may get connections and are not known to
// have failed.
func (mon *reachMonitor) serversOf(service string) []*site.Server {
	var out []*site.Server
	now := time.Now()
	mon.monitor.forwarder.loads.withLock(func(balancer *share.Balancer) {
		for _, srv := range mon.state.view.Load().Servers() {
			if srv.Service == service && !srv.Draining && !mon.state.excluded(srv) && !now.Before(balancer.LostUntil(srv.ID)) {
				out = append(out, srv)
			}
		}
	})
	return out
}
