package entry

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/learn"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
)

// loadTracker guards the Balancer, which counts the requests at servers, and
// the retry budgets with a mutex. The critical sections are short, so a mutex
// costs less than a goroutine that owns the data.
type loadTracker struct {
	mtx          sync.Mutex
	balancer     *share.Balancer
	retryBudgets map[string]*share.RetryBudget
	// admissions maps models to the division of their groups.
	admissions map[string]*modelAdmission
	settings   func() site.Settings
	// learned estimates what servers can take.
	learned *learn.Estimator
	// liveNodes is the number of live nodes, including this one.
	liveNodes int
	// cold limits the requests to cold servers.
	cold *coldServers
	// node is the name of this node.
	node string
}

func newLoadTracker(zone string, settings func() site.Settings) *loadTracker {
	balancer, learned := share.NewBalancer(zone), learn.NewEstimator(settings().Node)
	return &loadTracker{balancer: balancer, learned: learned, retryBudgets: map[string]*share.RetryBudget{}, admissions: map[string]*modelAdmission{}, settings: settings, liveNodes: 1}
}

// withLock calls fn with the balancer while holding the mutex.
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

// countRequest counts a request of a service, which adds to the service's retry
// budget.
func (loads *loadTracker) countRequest(service string, now time.Time) {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	loads.retryBudget(service).RecordRequest(now)
}

// allowRetry takes one retry from the budget of a service. It returns false if
// the budget is exhausted.
func (loads *loadTracker) allowRetry(service string, now time.Time) bool {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	return loads.retryBudget(service).AllowRetry(now, loads.liveNodes)
}

// manyNodesMin is the number of live nodes from which the counts of requests at
// a server are too old to let requests wait there.
const manyNodesMin = 24

// manyNodes reports whether there are at least manyNodesMin live nodes.
func (loads *loadTracker) manyNodes() bool {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	return loads.liveNodes >= manyNodesMin
}

// setLiveNodes sets how many nodes share the retry budgets.
func (loads *loadTracker) setLiveNodes(num int) {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	loads.liveNodes = num
}

const (
	// queueRatio is the number of requests that may wait at a server, as a
	// fraction of its slots. A request behind only a few others still starts in
	// time. With many nodes, whose counts are older, as many come unseen.
	queueRatio = 0.15
	// resumeQueueRatio is this fraction for a request that may already have
	// run: a late end of a stream is better than a broken stream. Servers queue
	// up to twice their slots.
	resumeQueueRatio = 1.0
)

// requestLimit returns how many in-flight requests the server may have, this
// call included.
func (call *call) requestLimit(srv *site.Server) int {
	slots := srv.Slots
	if call.service.Engine != nil && call.service.Engine.Slots > 0 {
		slots = call.service.Engine.Slots
	}
	fraction := queueRatio
	if call.manyNodes {
		fraction = 0
	}
	if call.possibleRuns.Load() > 0 {
		fraction = resumeQueueRatio
	} else if call.reserved > 0 {
		return max(1, slots-call.reserved)
	}
	return slots + int(fraction*float64(slots))
}

// candidates returns the servers that can serve the call: heads of serving
// groups with its model, or plain servers of its service.
func (fwd *forwarder) candidates(call *call) []*site.Server {
	view := fwd.state.view.Load()
	srvs := view.PlainServers(call.service.Name)
	if call.service.Engine != nil {
		srvs = view.ServingHeads(call.service.Name, call.model)
	}
	return fwd.state.inService(srvs)
}

// grantRetry decides where a call goes if its attempt at srv is ended, and reserves a place
// there and a retry. It returns false, and reserves nothing, if the call could not be sent
// again for certain.
func (fwd *forwarder) grantRetry(call *call, srv *site.Server, now time.Time) bool {
	tried := call.tried()
	if call.granted.Load() != nil || int(call.possibleRuns.Load())+1 >= fwd.maxAttempts(call) || len(tried)+1 >= maxServersTried || !fwd.guard.allows(call, now) {
		return false
	}
	srvs := fwd.candidates(call)
	excluded := append(slices.Clone(tried), srv.ID)
	granted := fwd.loads.reserveRetry(call, srvs, excluded, now)
	if granted == nil {
		return false
	}
	call.granted.Store(granted)
	if call.ended.Load() {
		fwd.releaseGranted(call)
		return false
	}
	return true
}

// reserveRetry counts a retry of a call, and the call as sent to a server that has room
// for it. It returns nil, and counts nothing, if there is no such server or no retry left.
func (loads *loadTracker) reserveRetry(call *call, srvs []*site.Server, excluded []string, now time.Time) *site.Server {
	loads.mtx.Lock()
	defer loads.mtx.Unlock()
	choice := loads.balancer.Choose(srvs, call.requestLimit, excluded, now)
	if choice.Server == nil || !loads.retryBudget(call.service.Name).AllowRetry(now, loads.liveNodes) {
		return nil
	}
	loads.balancer.RequestSent(choice.Server.ID, call.promptTokens, now)
	return choice.Server
}

// takeGranted returns the server that was reserved for the next attempt, or nil if there
// is none or it can't serve the call any more.
func (fwd *forwarder) takeGranted(call *call) *site.Server {
	granted := call.granted.Swap(nil)
	if granted == nil {
		return nil
	}
	srvs, now := fwd.candidates(call), time.Now()
	for _, srv := range srvs {
		if srv.ID == granted.ID && srv.StartMillis == granted.StartMillis {
			choice := share.Choice{Server: srv}
			fwd.loads.withLock(func(balancer *share.Balancer) {
				fwd.pin(balancer, call, srv.ID)
				choice.Load = balancer.Load(srv.ID, now)
			})
			fwd.logAttempt(call, choice, len(srvs), now)
			return srv
		}
	}
	fwd.endRequest(call, granted.ID, call.promptTokens)
	return nil
}

// releaseGranted gives back what was reserved for an attempt that is not made.
func (fwd *forwarder) releaseGranted(call *call) {
	if granted := call.granted.Swap(nil); granted != nil {
		fwd.endRequest(call, granted.ID, call.promptTokens)
	}
}

// chooseServer returns the server for the next attempt.
func (fwd *forwarder) chooseServer(call *call) (*site.Server, error) {
	now := time.Now()
	call.manyNodes = fwd.loads.manyNodes()
	call.reserved = fwd.loads.reserve(call, now)
	if call.timeLeft(now) <= 0 {
		return nil, fwd.noServerError(call, core.Errorf(core.CodeDeadline, "the deadline passed"))
	}
	srvs := fwd.candidates(call)
	var choice share.Choice
	paused, pauseLeft, held := 0, time.Duration(0), 0
	fwd.loads.withLock(func(balancer *share.Balancer) {
		choice = balancer.Choose(srvs, call.requestLimit, call.tried(), now)
		if choice.Server == nil {
			paused, pauseLeft = balancer.Pauses(srvs, now)
			held = fwd.loads.cold.countHeld(srvs, now)
		}
	})
	if choice.Server == nil {
		if num := fwd.evacuatedServers(call); len(srvs) == 0 && num > 0 {
			return nil, fwd.evacuatedError(call, num)
		}
		fwd.loads.cold.recordHeldBack(call, held, len(srvs), now)
		code := core.CodeQueueFull
		if len(srvs) == 0 {
			code = core.CodeNoGroup
		}
		err := fwd.noServerError(call, core.Errorf(code, "none of %d servers of %s has capacity, %d asked for a pause, %d are cold", len(srvs), call.service.Name, paused, held))
		var notRun *notRunError
		if paused == len(srvs) && paused > 0 && errors.As(err, &notRun) {
			notRun.retryAfter = pauseLeft + rand.N(maxRetryAfter)
		}
		return nil, err
	}
	fwd.logAttempt(call, choice, len(srvs), now)
	return choice.Server, nil
}

// logAttempt logs the choice of one of num servers for the next attempt.
func (fwd *forwarder) logAttempt(call *call, choice share.Choice, num int, now time.Time) {
	if !fwd.log.IsLevelEnabled(logrus.InfoLevel) {
		return
	}
	fwd.log.WithFields(logrus.Fields{
		"event": "attempt", "request": call.id, "server": choice.Server.ID, "group": choice.Server.Group.Name, "epoch": choice.Server.Group.Epoch,
		"load": choice.Load.Running, "waiting_tokens": choice.Load.WaitingTokens, "of": num, "left": call.timeLeft(now), "after_event": call.lastEventID,
	}).Info("request sent to a server")
}

// noServerError returns the error of a request for which no server is
// available.
func (fwd *forwarder) noServerError(call *call, err *core.Error) error {
	if call.possibleRuns.Load() > 0 {
		return core.Errorf(core.CodeUnknownOutcome, "an attempt failed and %s", err.Detail())
	}
	return &notRunError{cause: err, reason: "no server available", retryAfter: fwd.loads.retryAfter(call, time.Now())}
}
