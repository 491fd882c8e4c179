package entry

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/drain"
	"kumquathinge/core/share"
)

// Timing of a planned stop.
const (
	// drainDelay is how long a stopping node accepts requests after it turns
	// not ready. The load balancer in front of the nodes checks once a second
	// and removes a node after two failed checks.
	drainDelay = 2800 * time.Millisecond
	// endMarginDivisor and answerMarginDivisor divide the grace period to get the part
	// that is reserved for the end of the process, and the part before it for answers
	// to open requests.
	endMarginDivisor    = 16
	answerMarginDivisor = 16
	// shutdownPollInterval is the interval between checks for in-flight
	// requests during a stop.
	shutdownPollInterval = 50 * time.Millisecond
	// endTimeout limits the time in which requests that the stop ends must end.
	endTimeout = 200 * time.Millisecond
	// needFactor is the ratio of the time that a stopping node reserves for a stream to
	// its expected duration.
	needFactor = 2
)

// errStopping ends a request that is open when the node stops. Whether it ran is unknown
// if it was sent to a server.
var errStopping = core.Errorf(core.CodeUnknownOutcome, "this entry VM stops before the response is complete")

// awaitStop waits for ctx or a stop signal, makes the node not ready, and returns when no
// request is read or answered any more, or the grace period is nearly over. Requests whose
// response has not begun by then are answered with an error. A request that has ended may
// still have a response to be written.
// It also returns, without any of this, when interrupted is done.
func (node *Node) awaitStop(ctx, interrupted context.Context) error {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(sig)
	select {
	case <-interrupted.Done():
		return nil
	case <-ctx.Done():
	case <-sig:
	}
	now := time.Now()
	grace := node.settings.Load().StopGrace
	lastOnTime, lateness := node.monitor.punctuality(now)
	stop := drain.New(drain.Config{
		Grace: grace, AcceptTime: node.options.DrainDelay, EndMargin: grace / endMarginDivisor, AnswerMargin: grace / answerMarginDivisor,
	}, now, lastOnTime, lateness)
	node.frontend.stop.Store(stop)
	node.frontend.draining.Store(true)
	node.log.WithFields(logrus.Fields{
		"event": "stopping", "open": node.monitor.count(), "before": now.Sub(stop.Begin()), "late": lateness, "answers_in": stop.AnswersAt().Sub(now), "ends_in": stop.EndsAt().Sub(now),
	}).Info("stopping; no longer ready, in-flight requests continue")
	leave := sync.OnceFunc(func() { node.registrar.deregister(context.Background()) })
	var leaving sync.WaitGroup
	for phase := drain.Accepting; phase != drain.Ended && interrupted.Err() == nil; phase = stop.Phase(time.Now(), node.frontend.active.count()) {
		if phase == drain.Answering {
			leaving.Go(leave)
			node.monitor.answerOpen()
		}
		sleep(interrupted, shutdownPollInterval)
	}
	leaving.Go(leave)
	leaving.Wait()
	node.monitor.endOpen()
	node.log.WithFields(logrus.Fields{"event": "stop", "open": node.monitor.count(), "conns": node.frontend.active.count(), "took": time.Since(now)}).Info("node stopped")
	return nil
}

// answerOpen ends the calls whose response has not begun, so that they are answered.
func (monitor *callMonitor) answerOpen() {
	for _, call := range monitor.calls() {
		if call.response.CompareAndSwap(responsePending, responseGivenUp) {
			call.cancel(errStopping)
		}
	}
}

// endOpen ends all calls, waits briefly until they have ended and logs those that have
// not.
func (monitor *callMonitor) endOpen() {
	for _, call := range monitor.calls() {
		call.cancel(errStopping)
	}
	for begin := time.Now(); monitor.count() > 0 && time.Since(begin) < endTimeout; {
		sleep(context.Background(), endTimeout/20)
	}
	monitor.logUnfinished(time.Now())
}

// punctuality returns the last time at which the process ran on time, and by how much it
// ran late recently.
func (monitor *callMonitor) punctuality(now time.Time) (lastOnTime time.Time, lateness time.Duration) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.ticks.LastOnTime(now), monitor.ticks.Lateness(now)
}

// checkStop rejects a call that a stopping node can't answer in time.
func (front *frontend) checkStop(call *call, now time.Time) error {
	stop := front.stop.Load()
	if stop == nil || stop.Admits(now, front.forwarder.timeNeeded(call, now)) {
		return nil
	}
	return core.Errorf(core.CodeDraining, "this entry VM is stopping")
}

// timeNeeded returns the time after which a call has ended, except in rare cases: that to
// its deadline, or for a stream a multiple of its expected duration if that is shorter.
func (fwd *forwarder) timeNeeded(call *call, now time.Time) time.Duration {
	left := call.timeLeft(now)
	model, tokens := engineModel(call), call.maxOutputTokens
	if model == nil || tokens == 0 {
		return left
	}
	engine, factor := call.service.Engine, 1.0
	if model.TimeFactor > 0 {
		factor = model.TimeFactor
	}
	output := float64(tokens) * float64(engine.StepTime+time.Duration(engine.Slots)*engine.StepTimePerSequence) * factor
	if engine.TokensPerEvent > 0 {
		fwd.loads.withLock(func(*share.Balancer) {
			output = max(output, float64(fwd.loads.learned.EventGap(call.model))*float64(tokens)/float64(engine.TokensPerEvent))
		})
	}
	if output == 0 {
		return left
	}
	prompt := 0.0
	if engine.PromptTokensPerSec > 0 {
		prompt = factor * float64(call.promptTokens) / engine.PromptTokensPerSec * float64(time.Second)
	}
	return min(left, time.Duration(needFactor*(prompt+output)))
}
