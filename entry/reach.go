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
	"kumquathinge/core/site"
	"kumquathinge/io/wire"
)

const (
	// reachCheckInterval is the interval at which the reach of servers is checked.
	reachCheckInterval = 50 * time.Millisecond
	// serviceSilenceTimeout is the time without data from any server of a service, while
	// requests are open, after which its servers are probed.
	serviceSilenceTimeout = 450 * time.Millisecond
)

// reachMonitor finds the services whose servers this node can't reach.
type reachMonitor struct {
	monitor *callMonitor
	state   *sharedState
	pools   *wire.Pools
	log     *logrus.Logger
	metrics *nodeMetrics
	// lostServices holds the services whose servers are out of reach. It does not change
	// once it is stored.
	lostServices atomic.Pointer[[]string]
	mtx          sync.Mutex
	tracker      *reach.Tracker
}

func newReachMonitor(monitor *callMonitor, pools *wire.Pools, log *logrus.Logger, meter *nodeMetrics) *reachMonitor {
	mon := &reachMonitor{monitor: monitor, state: monitor.forwarder.state, pools: pools, log: log, metrics: meter, tracker: reach.NewTracker()}
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

// recordFailure records that a connection to a server could not be opened or broke.
func (mon *reachMonitor) recordFailure(service string) {
	mon.mtx.Lock()
	defer mon.mtx.Unlock()
	mon.tracker.RecordFailure(service, time.Now())
}

// run checks the reach of servers until ctx ends.
func (mon *reachMonitor) run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	for ctx.Err() == nil {
		now := time.Now()
		for _, service := range mon.silentServices(now) {
			mon.recordFailure(service)
		}
		for _, service := range mon.dueServices(now) {
			probes.Go(func() { mon.probe(ctx, service) })
		}
		sleep(ctx, reachCheckInterval)
	}
	return nil
}

// silentServices returns the services all of whose servers are silent for the open calls.
func (mon *reachMonitor) silentServices(now time.Time) []string {
	shortest := map[string]time.Duration{}
	for _, call := range mon.monitor.calls() {
		if call.cancelAttempt.Load() == nil || call.server.Load() == nil {
			continue
		}
		silent := mon.monitor.silence(call, now)
		if known, ok := shortest[call.service.Name]; !ok || silent < known {
			shortest[call.service.Name] = silent
		}
	}
	maps.DeleteFunc(shortest, func(_ string, silent time.Duration) bool { return silent <= serviceSilenceTimeout })
	return slices.Collect(maps.Keys(shortest))
}

// dueServices begins the rounds of probes that are due, and returns their services.
func (mon *reachMonitor) dueServices(now time.Time) []string {
	table := mon.state.table.Load()
	if table == nil {
		return nil
	}
	mon.mtx.Lock()
	defer mon.mtx.Unlock()
	mon.tracker.Retain(func(name string) bool { return table.Service(name) != nil })
	var out []string
	for _, svc := range table.Config().Services {
		if mon.tracker.BeginProbes(svc.Name, now) {
			out = append(out, svc.Name)
		}
	}
	return out
}

// probe connects to some servers of a service.
func (mon *reachMonitor) probe(ctx context.Context, service string) {
	srvs := mon.serversOf(service)
	picked := slices.Clone(srvs)
	rand.Shuffle(len(picked), func(idx, other int) { picked[idx], picked[other] = picked[other], picked[idx] })
	picked = picked[:min(reach.ProbeCount, len(picked))]
	var accepted atomic.Int32
	var conns sync.WaitGroup
	for _, srv := range picked {
		conns.Go(func() {
			if mon.pools.Get(srv.Addr).Connect(ctx) == nil {
				accepted.Add(1)
			}
		})
	}
	conns.Wait()
	if ctx.Err() != nil {
		return
	}
	num := int(accepted.Load())
	mon.metrics.reachProbes.Add(len(picked))
	mon.mtx.Lock()
	changed := mon.tracker.EndProbes(service, num, len(picked), time.Now())
	lost := mon.tracker.Lost(service)
	services := mon.tracker.LostServices()
	mon.mtx.Unlock()
	mon.lostServices.Store(&services)
	mon.metrics.lostServices.Set(float64(len(services)))
	if !changed {
		return
	}
	if lost {
		for _, srv := range srvs {
			mon.pools.Get(srv.Addr).Reset()
		}
	}
	mon.log.WithFields(logrus.Fields{"event": "service_reach", "service": service, "lost": lost, "accepted": num, "probed": len(picked), "servers": len(srvs)}).Warn("the servers of a service are out of reach, or within reach again")
}

// serversOf returns the servers of a service.
func (mon *reachMonitor) serversOf(service string) []*site.Server {
	var out []*site.Server
	for _, srv := range mon.state.view.Load().Servers() {
		if srv.Service == service {
			out = append(out, srv)
		}
	}
	return out
}
