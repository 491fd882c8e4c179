package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/drain"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// callCheckInterval is the interval between two checks of the open calls. A
	// caller that disconnects is detected within two of them.
	callCheckInterval = 100 * time.Millisecond
	// streamSilenceTimeout is the time after which a head that sends nothing on
	// any of its streams is suspect. A batch of a full group takes 60 ms per
	// pass, and 270 ms while long prompts are processed.
	streamSilenceTimeout = 450 * time.Millisecond
	// connSilenceTimeout is the time without data after which the connection of
	// a request counts as broken although the head sends data on others.
	connSilenceTimeout = 1200 * time.Millisecond
	// retryObjectiveFactor is the number of latency objectives after which an
	// idempotent request to a plain service is retried at another server.
	retryObjectiveFactor = 2.5
)

// callMonitor checks the open calls. It ends calls whose callers have
// disconnected, and attempts at servers that have stopped sending.
type callMonitor struct {
	forwarder *forwarder
	log       *logrus.Logger
	mutex     sync.Mutex
	openCalls map[*call]struct{}
	// ticks observes how late the checks run.
	ticks *drain.Ticks
}

func newCallMonitor(fwd *forwarder, log *logrus.Logger) *callMonitor {
	return &callMonitor{forwarder: fwd, log: log, openCalls: map[*call]struct{}{}, ticks: drain.NewTicks(callCheckInterval, time.Now())}
}

func (monitor *callMonitor) add(call *call) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.openCalls[call] = struct{}{}
}

func (monitor *callMonitor) remove(call *call) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	delete(monitor.openCalls, call)
}

// count returns the number of open calls.
func (monitor *callMonitor) count() int {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return len(monitor.openCalls)
}

func (monitor *callMonitor) calls() []*call {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	out := make([]*call, 0, len(monitor.openCalls))
	for call := range monitor.openCalls {
		out = append(out, call)
	}
	return out
}

// run checks the open calls until ctx ends.
func (monitor *callMonitor) run(ctx context.Context) error {
	for round := 0; ctx.Err() == nil; round++ {
		sleep(ctx, callCheckInterval)
		now := time.Now()
		monitor.recordTick(now)
		view := monitor.forwarder.state.view.Load()
		for _, call := range monitor.calls() {
			if round%2 == 0 && call.callerGone() {
				monitor.log.WithFields(logrus.Fields{"event": "caller_gone", "request": call.id, "after": now.Sub(call.startedAt)}).Info("caller closed its connection")
				if call.route.Retryable() || call.service.Engine != nil {
					call.cancel(errCallerGone)
				}
				continue
			}
			monitor.checkAttempt(call, view, now)
		}
	}
	return nil
}

// silence returns for how long the server of a call has sent no data while this process ran
// on time. What it sent while the process ran late has not been read.
func (monitor *callMonitor) silence(call *call, now time.Time) time.Duration {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.ticks.OnTime(now.Add(-call.sinceProgress(now)), now)
}

// recordTick records that the checks ran.
func (monitor *callMonitor) recordTick(now time.Time) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.ticks.Record(now)
}

// checkAttempt aborts the attempt of a call if its server is silent, or has
// left the group, and the call is certain to be sent to another server.
func (monitor *callMonitor) checkAttempt(call *call, view *site.View, now time.Time) {
	cancel, srv := call.cancelAttempt.Load(), call.server.Load()
	if srv == nil || cancel == nil || call.fixed() || !monitor.forwarder.mayRepeat(call) {
		return
	}
	cause := monitor.abortCause(call, srv, view, now)
	if cause == nil || !monitor.forwarder.grantPeer(call, now) && !monitor.forwarder.grantRetry(call, srv, now) {
		return
	}
	monitor.log.WithFields(logrus.Fields{
		"event": "attempt_aborted", "request": call.id, "server": srv.ID, "silent": call.sinceProgress(now), "error": cause, "sent": call.possibleRuns.Load(),
	}).Info("attempt aborted; another server has a place for the request, or a peer reaches one")
	call.abortAttempt(cancel, cause)
}

// logUnfinished logs the calls that are still open when the process ends.
func (monitor *callMonitor) logUnfinished(now time.Time) {
	for _, call := range monitor.calls() {
		server := ""
		if srv := call.server.Load(); srv != nil {
			server = srv.ID
		}
		monitor.log.WithFields(logrus.Fields{
			"event": "request_unfinished", "request": call.id, "route": call.route.Name, "kind": call.route.Kind, "server": server, "stage": call.stage(),
			"events": call.attemptEvents.Load(), "took": now.Sub(call.startedAt), "silent": call.sinceProgress(now), "left": call.timeLeft(now),
		}).Warn("the process ends before the request")
	}
}

// runPartChecks checks the open calls whenever the suspicion of a part of
// prompts changes, until ctx ends.
func (monitor *callMonitor) runPartChecks(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-monitor.forwarder.guard.partsChanged:
		}
		now := time.Now()
		for _, call := range monitor.calls() {
			monitor.checkParts(call, now)
		}
	}
}

// checkParts aborts an attempt without an event whose prompt has a part under
// which other servers ended.
func (monitor *callMonitor) checkParts(call *call, now time.Time) {
	cancel := call.cancelAttempt.Load()
	if call.attemptEvents.Load() > 0 || call.onTrial.Load() || call.service.Engine == nil {
		return
	}
	if cause := monitor.forwarder.guard.abortCause(call, now); cause != nil {
		call.abortAttempt(cancel, cause)
	}
}

// abortCause returns why the attempt of a call should be aborted, or nil.
func (monitor *callMonitor) abortCause(call *call, srv *site.Server, view *site.View, now time.Time) error {
	silent := monitor.silence(call, now)
	if silent > callCheckInterval && monitor.zoneUnreachable(srv.Zone, now) {
		return errZoneUnreachable
	}
	if call.service.Engine == nil {
		if silent > time.Duration(retryObjectiveFactor*float64(call.route.TargetLatency)) {
			return errServerSilent
		}
		return nil
	}
	if current := view.Server(srv.ID); current != nil && current.Group.Epoch != srv.Group.Epoch {
		return errGroupChanged
	}
	if silent > connSilenceTimeout || silent > streamSilenceTimeout && monitor.serverSilent(srv.ID, now) {
		return errServerSilent
	}
	return nil
}

// zoneUnreachable reports whether nothing arrives from a zone.
func (monitor *callMonitor) zoneUnreachable(zone string, now time.Time) bool {
	out := false
	monitor.forwarder.loads.withLock(func(balancer *share.Balancer) { out = balancer.ZoneUnreachable(zone, now) })
	return out
}

// serverSilent reports whether the server sends nothing for any request.
func (monitor *callMonitor) serverSilent(id string, now time.Time) bool {
	out := false
	monitor.forwarder.loads.withLock(func(balancer *share.Balancer) { out = balancer.TimeSinceProgress(id, now) > streamSilenceTimeout })
	return out
}
