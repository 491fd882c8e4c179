package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// loadTracker guards the counts of requests at servers and the retry budgets. Its
// sections are short, so a lock costs less than a task.
type loadTracker struct {
	mtx          sync.Mutex
	balancer     *share.Balancer
	retryBudgets map[string]*share.RetryBudget
	settings     func() site.Settings
	// liveNodes is the number of live nodes, this one included.
	liveNodes int
}

func newLoadTracker(zone string, settings func() site.Settings) *loadTracker {
	return &loadTracker{balancer: share.NewBalancer(zone), retryBudgets: map[string]*share.RetryBudget{}, settings: settings, liveNodes: 1}
}

// withLock runs fun while no other task uses the book.
func (loads *loadTracker) withLock(fn func(*share.Balancer)) {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	fn(loads.balancer)
}

func (loads *loadTracker) retryBudget(service string) *share.RetryBudget {
	budget := loads.retryBudgets[service]
	if budget == nil {
		settings := loads.settings()
		budget = share.NewRetryBudget(settings.RetryRatio, settings.RetrySlack, settings.RetryWindow)
		loads.retryBudgets[service] = budget
	}
	return budget
}

// countRequest counts a request for a service.
func (loads *loadTracker) countRequest(service string, now time.Time) {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	loads.retryBudget(service).RecordRequest(now)
}

// allowRetry grants one more attempt for a service.
func (loads *loadTracker) allowRetry(service string, now time.Time) bool {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	return loads.retryBudget(service).AllowRetry(now, loads.liveNodes)
}

// setLiveNodes tells how many nodes share the retry budgets.
func (loads *loadTracker) setLiveNodes(num int) {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	loads.liveNodes = num
}

const (
	// queueRatio is the part of a server's capacity that may wait at it beyond
	// what runs. A request that waits behind few others still starts in time.
	queueRatio = 0.15
	// resumeQueueRatio is that part for a request that has run already: to end a
	// stream late is better than to break it off. Servers queue twice their
	// capacity.
	resumeQueueRatio = 1.0
)

// requestLimit returns the number of requests that a server is given at a time
// before this one.
func (call *call) requestLimit(srv *site.Server) int {
	slots := srv.Slots
	if call.service.Engine != nil && call.service.Engine.Slots > 0 {
		slots = call.service.Engine.Slots
	}
	fraction := queueRatio
	if call.possibleRuns.Load() > 0 {
		fraction = resumeQueueRatio
	}
	return slots + int(fraction*float64(slots))
}

// candidates returns the servers that the request may go to.
func (fwd *forwarder) candidates(call *call) []*site.Server {
	view := fwd.state.view.Load()
	if call.service.Engine != nil {
		return view.ServingHeads(call.service.Name, call.model)
	}
	return view.PlainServers(call.service.Name)
}

// chooseServer returns the server for the next attempt.
func (fwd *forwarder) chooseServer(call *call) (*site.Server, error) {
	now := time.Now()
	if call.timeLeft(now) <= 0 {
		return nil, fwd.noServerError(call, core.Errorf(core.CodeDeadline, "the deadline passed"))
	}
	srvs := fwd.candidates(call)
	var choice share.Choice
	fwd.loads.withLock(func(balancer *share.Balancer) {
		choice = balancer.Choose(srvs, call.requestLimit, call.triedServers, now)
	})
	if choice.Server == nil {
		code := core.CodeQueueFull
		if len(srvs) == 0 {
			code = core.CodeNoGroup
		}
		return nil, fwd.noServerError(call, core.Errorf(code, "none of %d servers of %s has room", len(srvs), call.service.Name))
	}
	if fwd.log.IsLevelEnabled(logrus.InfoLevel) {
		fwd.log.WithFields(logrus.Fields{
			"event": "attempt", "request": call.id, "server": choice.Server.ID, "group": choice.Server.Group.Name, "epoch": choice.Server.Group.Epoch,
			"load": choice.Load.Running, "waiting_tokens": choice.Load.WaitingTokens, "of": len(srvs), "left": call.timeLeft(now), "after_event": call.lastEventID,
		}).Info("request sent to a server")
	}
	return choice.Server, nil
}

// noServerError returns the error of a request that finds no server.
func (fwd *forwarder) noServerError(call *call, err *core.Error) error {
	if call.possibleRuns.Load() > 0 {
		return core.Errorf(core.CodeUnknownOutcome, "an attempt failed and %s", err.Detail())
	}
	return &notRunError{cause: err, reason: "no server"}
}
