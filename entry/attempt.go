package entry

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"kumquathinge/core"
	"kumquathinge/core/quota"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/io/wire"
	"kumquathinge/platform"
)

// outcome is the result of an attempt as far as the node can determine it.
type outcome uint8

const (
	// outcomeAnswered means that the server sent a response.
	outcomeAnswered outcome = iota
	// outcomeNotRun means that the server did not execute the request and will
	// not.
	outcomeNotRun
	// outcomeUnknown means that the server may have executed the request.
	outcomeUnknown
)

// String returns the name of the outcome in logs and metrics.
func (out outcome) String() string { return [...]string{"answered", "not_run", "unknown"}[out] }

// attempt is one try to get a response from a server, from the header of the
// response on.
type attempt struct {
	target
	body      *wire.Body
	cancel    context.CancelCauseFunc
	forwarder *forwarder
	call      *call
	closed    bool
	// sentAt is when the request was sent.
	sentAt time.Time
	// started is set when the server has begun to execute the request.
	started bool
	// answeredAt is when the header of the response arrived.
	answeredAt time.Time
}

// recordEvent records an event of the stream and the interval since the
// previous one. The first event shows that the server executes the request.
func (attempt *attempt) recordEvent(gap time.Duration) {
	if attempt.server == nil {
		return
	}
	attempt.forwarder.loads.withLock(func(balancer *share.Balancer) {
		if !attempt.started {
			balancer.RequestStarted(attempt.server.ID, attempt.call.promptTokens)
		}
		attempt.learnEvent(balancer, gap)
	})
	attempt.started = true
}

// recordProof records that the server answers the call beyond the point at which
// servers crash, once for each call.
func (attempt *attempt) recordProof() {
	attempt.call.attemptProved.Store(true)
	if !attempt.call.proved {
		attempt.call.proved = true
		attempt.forwarder.guard.proved(attempt.call)
	}
}

// close ends the attempt. The connection is reused if the response was read to
// its end.
func (attempt *attempt) close() {
	if attempt.closed {
		return
	}
	attempt.closed = true
	if attempt.server != nil {
		attempt.learnEnd()
	}
	_ = attempt.body.Close()
	attempt.cancel(nil)
	attempt.call.cancelAttempt.Store(nil)
	if attempt.server == nil {
		return
	}
	attempt.forwarder.guard.endTrial(attempt.call)
	waiting := attempt.call.promptTokens
	if attempt.started {
		waiting = 0
	}
	attempt.forwarder.endRequest(attempt.call, attempt.server.ID, waiting)
}

// forwarder sends requests to backend servers and retries them.
type forwarder struct {
	state   *sharedState
	pools   *wire.Pools
	log     *logrus.Logger
	metrics *nodeMetrics
	loads   *loadTracker
	guard   *crashGuard
	quota   *quota.Quota
	reach   *reachMonitor
	// peers relay calls whose servers this node can't reach, peerPools are the connections
	// to them.
	peers     *peers
	peerPools *wire.Pools
	// noteLeaving records that a server said in the answer to a request that it leaves.
	noteLeaving func(run site.ServerRun, request string)
	resumed     *resumeGate
	// evacuatedLoggedAt is when evacuation_refused was last logged, in Unix nanoseconds.
	evacuatedLoggedAt atomic.Int64
}

// beginRequest counts a call as in flight at a server. Its prompt tokens
// count as waiting until the server starts it.
func (fwd *forwarder) beginRequest(call *call, id string, now time.Time) {
	fwd.loads.withLock(func(balancer *share.Balancer) {
		balancer.RequestSent(id, call.promptTokens, now)
		fwd.pin(balancer, call, id)
	})
}

// endRequest removes a call from the counts of a server, with the prompt
// tokens that still count as waiting.
func (fwd *forwarder) endRequest(call *call, id string, waiting int) {
	fwd.loads.withLock(func(balancer *share.Balancer) {
		fwd.unpin(balancer, call, id)
		balancer.RequestEnded(id, waiting)
	})
}

// recordProgress records that the server of a call, nil for a peer, sent data.
func (fwd *forwarder) recordProgress(call *call, srv *site.Server) {
	now := time.Now()
	call.recordProgress(now)
	if srv == nil {
		return
	}
	fwd.reach.recordData(call.service.Name, now)
	fwd.loads.withLock(func(balancer *share.Balancer) {
		balancer.RecordProgress(srv.ID, now)
		balancer.RecordContact(srv.Zone, now)
	})
}

// mayRepeat reports whether the call may run more than once, by the configuration under
// which it arrived and by the one in force.
func (fwd *forwarder) mayRepeat(call *call) bool {
	if !call.route.Retryable() {
		return false
	}
	table := fwd.state.table.Load()
	if table == call.table {
		return true
	}
	route := table.Route(call.host, call.path)
	return route == nil || route.Retryable()
}

// maxAttempts returns how many servers may execute the call.
func (fwd *forwarder) maxAttempts(call *call) int {
	if !fwd.mayRepeat(call) {
		return 1
	}
	return max(1, call.route.MaxAttempts)
}

// maxServersTried limits how many servers a request is sent to, including
// servers that refuse it.
const maxServersTried = 4

// sendWithRetries sends the request until a server responds to it. The error is
// a *notRunError only if the request certainly did not run.
func (fwd *forwarder) sendWithRetries(call *call) (*attempt, error) {
	if call.relayed && call.possibleRuns.Load() > 0 && int(call.possibleRuns.Load()) >= fwd.maxAttempts(call) {
		return nil, core.Errorf(core.CodeUnknownOutcome, "no attempts left for a relayed request")
	}
	for {
		if peer, ok := fwd.peerFor(call); ok {
			out, attempt, err := fwd.tryPeer(call, peer)
			fwd.metrics.recordPeerAttempt(out)
			if out == outcomeAnswered {
				return attempt, nil
			}
			if err = fwd.checkRetry(call, target{peer: peer}, out, err); err != nil {
				return nil, err
			}
			continue
		}
		err := fwd.guard.admit(call)
		if err != nil {
			return nil, err
		}
		fwd.resumed.await(call.ctx)
		srv := fwd.takeGranted(call)
		if srv == nil {
			srv, err = fwd.chooseServer(call)
			if err != nil {
				fwd.guard.endTrial(call)
				if fwd.hasPeer(call) || fwd.awaitResume(call, err) {
					continue
				}
				return nil, err
			}
			fwd.beginRequest(call, srv.ID, time.Now())
		}
		out, attempt, err := fwd.tryServer(call, srv)
		fwd.metrics.recordAttempt(call.service.Name, out)
		if out == outcomeAnswered {
			return attempt, nil
		}
		fwd.guard.endTrial(call)
		err = fwd.checkRetry(call, target{server: srv}, out, err)
		if err != nil {
			return nil, err
		}
	}
}

// checkRetry decides whether a request is sent again after a failed attempt. It
// returns nil if so, and otherwise the error of the request. A failed dial does
// not use up the retry budget.
func (fwd *forwarder) checkRetry(call *call, tgt target, out outcome, cause error) error {
	if srv := tgt.server; srv != nil && (!errors.Is(cause, errColdLimit) || call.possibleRuns.Load() == 0) {
		call.addTried(srv)
	}
	switch {
	case out == outcomeUnknown && tgt.server == nil:
		// The peer may have used all attempts.
		call.possibleRuns.Store(max(call.possibleRuns.Load()+1, int32(fwd.maxAttempts(call))))
	case out == outcomeUnknown:
		call.possibleRuns.Add(1)
	}
	now := time.Now()
	reason := fwd.endReason(call, tgt, out, cause, now)
	if call.ctx.Err() != nil {
		cause = context.Cause(call.ctx)
	}
	fwd.log.WithFields(logrus.Fields{
		"event": "attempt_failed", "request": call.id, "server": tgt, "outcome": out, "error": cause,
		"sent": call.possibleRuns.Load(), "tried": len(call.tried()), "left": call.timeLeft(now), "again": reason == "", "reason": reason,
		"events": call.attemptEvents.Load(), "parts": call.subject.Shared,
	}).Info("attempt failed")
	if reason == "" {
		return nil
	}
	if call.possibleRuns.Load() == 0 {
		return &notRunError{cause: cause, reason: reason, retryAfter: call.peerRetryAfter}
	}
	return cause
}

// endReason returns why a request is not sent again after a failed attempt, and an empty
// string if it is.
func (fwd *forwarder) endReason(call *call, tgt target, out outcome, cause error, now time.Time) string {
	reason := ""
	switch {
	case call.ctx.Err() != nil:
		reason = "request ended"
	case errors.Is(cause, errDeadlinePassed):
		reason = "deadline passed"
	case tgt.server == nil && call.endedAtPeer(out):
		reason = "refused by a peer, or sent by it"
	case out == outcomeUnknown && int(call.possibleRuns.Load()) >= fwd.maxAttempts(call):
		reason = "no attempts left"
	case len(call.tried()) >= maxServersTried && !fwd.hasPeer(call):
		reason = "too many servers tried"
	case core.CodeOf(cause) == core.CodeDialFailed || tgt.server == nil && out == outcomeNotRun:
	case call.granted.Load() != nil || call.peerGranted.Swap(false):
		// The retry was counted when it was granted.
	case !fwd.loads.allowRetry(call.service.Name, now):
		reason = "retry budget exhausted"
	}
	return reason
}

// recordBroken records that an attempt ended after the header of its response and not
// because of the request.
func (fwd *forwarder) recordBroken(call *call, tgt target, cause error) {
	if tgt.server == nil {
		return
	}
	fwd.recordInterrupted(call, tgt.server, cause, true)
	if call.ctx.Err() != nil {
		return
	}
	fwd.recordFailure(call, tgt.server, cause)
}

// recordInterrupted records that a connection to a server ended under a call, once it is
// clear that this node has not lost all servers. It returns then, so that the call is not
// sent to the next server before, or when the call ends.
func (fwd *forwarder) recordInterrupted(call *call, srv *site.Server, cause error, begun bool) {
	record := fwd.guard.interrupted(call, srv, cause, begun)
	// A server that has sent events may have broken off just this answer.
	if record == nil || call.attemptEvents.Load() > 0 && fwd.reach.runs(call.ctx, srv) {
		return
	}
	select {
	case <-fwd.reach.confirm(call.service.Name, record):
	case <-call.ctx.Done():
	}
}

// retryServerError reports whether a request is sent to another server after an
// error response, and counts the attempt if so.
func (fwd *forwarder) retryServerError(call *call, srv *site.Server) bool {
	if srv == nil || call.route.Kind != site.KindIdempotent || int(call.possibleRuns.Load())+1 >= fwd.maxAttempts(call) || !fwd.loads.allowRetry(call.service.Name, time.Now()) {
		return false
	}
	call.possibleRuns.Add(1)
	call.addTried(srv)
	fwd.log.WithFields(logrus.Fields{"event": "attempt_failed", "request": call.id, "server": srv.ID, "outcome": outcomeAnswered, "again": true}).Info("server returned an error; retrying on another server")
	return true
}

// notRunError is the error of a request that certainly did not run.
type notRunError struct {
	cause  error
	reason string
	// retryAfter is the time after which the caller should try again, zero for
	// the default.
	retryAfter time.Duration
	// overShare is set if the organisation far exceeds its share.
	overShare bool
}

func (notRun *notRunError) Error() string {
	return "request did not run: " + notRun.reason + ": " + notRun.cause.Error()
}
func (notRun *notRunError) Unwrap() error { return notRun.cause }

// tryServer sends the request, which counts as sent, to one server and reads the header
// of its response.
func (fwd *forwarder) tryServer(call *call, srv *site.Server) (outcome, *attempt, error) {
	now := time.Now()
	left := call.timeLeft(now)
	if left <= 0 {
		fwd.endRequest(call, srv.ID, call.promptTokens)
		return outcomeNotRun, nil, errDeadlinePassed
	}
	req := call.request
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set(platform.HeaderExpectInstance, srv.ID)
	if call.lastEventID != "" {
		req.Header.Set(platform.HeaderLastEventID, call.lastEventID)
	}
	ctx, cancel := context.WithCancelCause(call.ctx)
	call.server.Store(srv)
	call.attemptEvents.Store(0)
	call.attemptProved.Store(false)
	call.abortedBy.Store(nil)
	call.recordProgress(now)
	call.cancelAttempt.Store(&cancel)
	body, err := fwd.pools.Get(srv.Addr).Open(ctx, wire.Exchange{
		Req: req, IOTimeout: left + deadlineSlack, AllowCloseDelimited: true, EchoHeader: platform.HeaderAttemptID, EchoValue: call.id,
		BeforeSend: fwd.beforeSend(ctx, call, srv),
	})
	if err != nil {
		err = attemptError(ctx, call, err, time.Now())
		cancel(nil)
		call.cancelAttempt.Store(nil)
		fwd.endRequest(call, srv.ID, call.promptTokens)
		fwd.recordInterrupted(call, srv, err, core.CodeOf(err) == core.CodeCutAnswer)
		fwd.learnNoAnswer(call, srv, time.Since(now), err)
		return fwd.recordFailure(call, srv, err), nil, err
	}
	fwd.reach.recordResponse(call.service.Name, body.Reused())
	fwd.recordSkipped(call, srv, body.Skipped())
	attempt := &attempt{target: target{server: srv}, body: body, cancel: cancel, forwarder: fwd, call: call, sentAt: now, answeredAt: time.Now()}
	out, err := fwd.classifyResponse(call, attempt)
	if out != outcomeAnswered {
		// The server may send a refusal once more, so nothing else is sent on the connection.
		body.Abort()
		attempt.close()
	}
	return out, attempt, err
}

// attemptError returns why an attempt that failed with err ended: the cause for which it
// was cancelled, or the deadline. On a busy VM an I/O timeout may be noticed before the
// end of ctx although it was set to a later time.
func attemptError(ctx context.Context, call *call, err error, now time.Time) error {
	if core.CodeOf(err) == core.CodeDialFailed {
		return err
	}
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	if call.timeLeft(now) <= 0 {
		return errDeadlinePassed
	}
	return err
}

// deadlineSlack is added to the remaining time to get the I/O timeout of the
// connection, so that the deadline ends the attempt and not the I/O timeout.
const deadlineSlack = 200 * time.Millisecond

// recordFailure records a failure of the server, unless the caller left or the
// deadline passed, and returns the outcome of an attempt without a complete
// response.
func (fwd *forwarder) recordFailure(call *call, srv *site.Server, err error) outcome {
	if errors.Is(err, errColdLimit) || errors.Is(err, errZoneEvacuated) {
		return outcomeNotRun
	}
	if !fwd.reach.lost(call.service.Name) {
		fwd.loads.cold.recordFailure(call, srv, core.CodeOf(err))
	}
	if call.blamesServer(err) {
		fwd.reach.recordFailure(call.service.Name)
		fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RecordFailure(srv.ID, time.Now()) })
	}
	if core.CodeOf(err) == core.CodeDialFailed {
		return outcomeNotRun
	}
	if call.blamesServer(err) {
		fwd.learnFailure(call, srv)
	}
	return outcomeUnknown
}
