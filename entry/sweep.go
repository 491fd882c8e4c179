package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

const (
	// callCheckInterval is the pause between two looks at the open calls. A caller
	// that leaves is seen within two of them.
	callCheckInterval = 100 * time.Millisecond
	// streamSilenceTimeout is the time after which a head that sends nothing for any
	// of its streams is suspect. A batch of a full group takes 60 ms a pass,
	// and 270 ms when long prompts are read meanwhile.
	streamSilenceTimeout = 450 * time.Millisecond
	// retryObjectiveFactor is how many objectives an idempotent request waits for a
	// plain service before another server is asked.
	retryObjectiveFactor = 2.5
)

// callMonitor looks at the open calls: it ends those whose callers have left, and
// the attempts at servers that have fallen silent.
type callMonitor struct {
	forwarder *forwarder
	log       *logrus.Logger
	mutex     sync.Mutex
	openCalls map[*call]struct{}
}

func newCallMonitor(fwd *forwarder, log *logrus.Logger) *callMonitor {
	return &callMonitor{forwarder: fwd, log: log, openCalls: map[*call]struct{}{}}
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

// run sweeps until ctx ends.
func (monitor *callMonitor) run(ctx context.Context) error {
	for turn := 0; ctx.Err() == nil; turn++ {
		sleep(ctx, callCheckInterval)
		now := time.Now()
		view := monitor.forwarder.state.view.Load()
		for _, call := range monitor.calls() {
			if turn%2 == 0 && call.callerGone() {
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

// checkAttempt ends the attempt of a call whose server is silent, if another server
// can take it.
func (monitor *callMonitor) checkAttempt(call *call, view *site.View, now time.Time) {
	srv := call.server.Load()
	if srv == nil || call.cancelAttempt.Load() == nil || !call.route.Retryable() {
		return
	}
	var cause error
	switch {
	case call.service.Engine != nil && view.Server(srv.ID) != nil && view.Server(srv.ID).Group.Epoch != srv.Group.Epoch:
		cause = errGroupChanged
	case call.service.Engine != nil && call.sinceProgress(now) > streamSilenceTimeout && monitor.serverSilent(srv.ID, now):
		cause = errServerSilent
	case call.service.Engine == nil && call.sinceProgress(now) > time.Duration(retryObjectiveFactor*float64(call.route.TargetLatency)):
		cause = errServerSilent
	default:
		return
	}
	if int(call.possibleRuns.Load())+1 >= call.maxAttempts() || !monitor.hasAlternative(call, srv, now) {
		return
	}
	call.abortAttempt(cause)
}

// serverSilent reports whether the server sends nothing for any request.
func (monitor *callMonitor) serverSilent(id string, now time.Time) bool {
	out := false
	monitor.forwarder.loads.withLock(func(balancer *share.Balancer) { out = balancer.TimeSinceProgress(id, now) > streamSilenceTimeout })
	return out
}

// hasAlternative reports whether another server has room for the call.
func (monitor *callMonitor) hasAlternative(call *call, srv *site.Server, now time.Time) bool {
	srvs := monitor.forwarder.candidates(call)
	var choice share.Choice
	monitor.forwarder.loads.withLock(func(balancer *share.Balancer) {
		choice = balancer.Choose(srvs, call.requestLimit, []string{srv.ID}, now)
	})
	return choice.Server != nil
}
