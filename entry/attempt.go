package entry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/io/wire"
	"kumquathinge/platform"
)

// outcome is what is known of an attempt after its end.
type outcome uint8

const (
	// outcomeAnswered: the server's answer is there.
	outcomeAnswered outcome = iota
	// outcomeNotRun: the request surely did not run and will not.
	outcomeNotRun
	// outcomeUnknown: the request may have run.
	outcomeUnknown
)

// String returns the name of the outcome.
func (out outcome) String() string { return [...]string{"answered", "not_run", "unknown"}[out] }

// attempt is an attempt whose response has begun.
type attempt struct {
	server    *site.Server
	body      *wire.Body
	cancel    context.CancelCauseFunc
	forwarder *forwarder
	call      *call
	closed    bool
	// started tells that the server has begun to run the request.
	started bool
}

// recordEvent notes an event and the time since the one before it. The first one of
// an attempt tells that the server runs the request.
func (attempt *attempt) recordEvent(gap time.Duration) {
	attempt.forwarder.loads.withLock(func(balancer *share.Balancer) {
		if !attempt.started {
			balancer.RequestStarted(attempt.server.ID, attempt.call.promptTokens)
		} else if gap > 0 {
			balancer.RecordEventGap(attempt.server.ID, attempt.call.model, gap)
		}
	})
	attempt.started = true
}

// close ends the attempt. The connection is kept if the response was read to
// its end.
func (attempt *attempt) close() {
	if attempt.closed {
		return
	}
	attempt.closed = true
	_ = attempt.body.Close()
	attempt.cancel(nil)
	attempt.call.cancelAttempt.Store(nil)
	waiting := attempt.call.promptTokens
	if attempt.started {
		waiting = 0
	}
	attempt.forwarder.endRequest(attempt.server.ID, waiting)
}

// forwarder sends requests to backend servers.
type forwarder struct {
	state   *sharedState
	pools   *wire.Pools
	log     *logrus.Logger
	metrics *nodeMetrics
	loads   *loadTracker
}

// beginRequest and end count a request at a server, with its prompt tokens while it
// waits there.
func (fwd *forwarder) beginRequest(id string, prompt int, now time.Time) {
	fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RequestSent(id, prompt, now) })
}

func (fwd *forwarder) endRequest(id string, waiting int) {
	fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RequestEnded(id, waiting) })
}

// recordProgress notes that the server of a call sent something.
func (fwd *forwarder) recordProgress(call *call, id string) {
	now := time.Now()
	call.recordProgress(now)
	fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RecordProgress(id, now) })
}

// maxServersTried bounds the servers that are asked for one request, refusals
// included.
const maxServersTried = 4

// sendWithRetries sends the request until a server answers it. The error tells why it
// ended; notRun in it is true only if the request surely did not run.
func (fwd *forwarder) sendWithRetries(call *call) (*attempt, error) {
	for {
		srv, err := fwd.chooseServer(call)
		if err != nil {
			return nil, err
		}
		out, attempt, err := fwd.tryServer(call, srv)
		fwd.metrics.recordAttempt(call.service.Name, out)
		if out == outcomeAnswered {
			return attempt, nil
		}
		err = fwd.checkRetry(call, srv, out, err)
		if err != nil {
			return nil, err
		}
	}
}

// checkRetry decides whether a request whose attempt failed is sent once more. It
// returns nil if so.
func (fwd *forwarder) checkRetry(call *call, srv *site.Server, out outcome, cause error) error {
	call.triedServers = append(call.triedServers, srv.ID)
	if out == outcomeUnknown {
		call.possibleRuns.Add(1)
	}
	now := time.Now()
	reason := ""
	switch {
	case call.ctx.Err() != nil:
		reason = "the call ended"
		cause = context.Cause(call.ctx)
	case out == outcomeUnknown && int(call.possibleRuns.Load()) >= call.maxAttempts():
		reason = "no attempts left"
	case len(call.triedServers) >= maxServersTried:
		reason = "too many tries"
	case core.CodeOf(cause) == core.CodeDialFailed:
	case !fwd.loads.allowRetry(call.service.Name, now):
		reason = "retry budget spent"
	}
	fwd.log.WithFields(logrus.Fields{
		"event": "attempt_failed", "request": call.id, "server": srv.ID, "outcome": out, "error": cause,
		"sent": call.possibleRuns.Load(), "tried": len(call.triedServers), "left": call.timeLeft(now), "again": reason == "", "reason": reason,
	}).Info("attempt failed")
	if reason == "" {
		return nil
	}
	if call.possibleRuns.Load() == 0 {
		return &notRunError{cause: cause, reason: reason}
	}
	return cause
}

// retryServerError reports whether a request that a server answered with a failure is
// sent to one more server, and counts that.
func (fwd *forwarder) retryServerError(call *call, srv *site.Server) bool {
	if call.route.Kind != site.KindIdempotent || int(call.possibleRuns.Load())+1 >= call.maxAttempts() || !fwd.loads.allowRetry(call.service.Name, time.Now()) {
		return false
	}
	call.possibleRuns.Add(1)
	call.triedServers = append(call.triedServers, srv.ID)
	fwd.log.WithFields(logrus.Fields{"event": "attempt_failed", "request": call.id, "server": srv.ID, "outcome": outcomeAnswered, "again": true}).Info("server answered with a failure; another one is asked")
	return true
}

// notRunError is an error of a request that surely did not run.
type notRunError struct {
	cause  error
	reason string
}

func (refused *notRunError) Error() string {
	return "not run: " + refused.reason + ": " + refused.cause.Error()
}
func (refused *notRunError) Unwrap() error { return refused.cause }

// tryServer sends the request to one server and reads the header of its response.
func (fwd *forwarder) tryServer(call *call, srv *site.Server) (outcome, *attempt, error) {
	now := time.Now()
	left := call.timeLeft(now)
	if left <= 0 {
		return outcomeNotRun, nil, errDeadlinePassed
	}
	req := call.request
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set(platform.HeaderExpectInstance, srv.ID)
	if call.lastEventID != "" {
		req.Header.Set(platform.HeaderLastEventID, call.lastEventID)
	}
	ctx, done := context.WithCancelCause(call.ctx)
	call.server.Store(srv)
	call.recordProgress(now)
	call.cancelAttempt.Store(&done)
	fwd.beginRequest(srv.ID, call.promptTokens, now)
	body, err := fwd.pools.Get(srv.Addr).Open(ctx, wire.Exchange{
		Req: req, IOTimeout: left + deadlineSlack, AllowCloseDelimited: true, EchoHeader: platform.HeaderAttemptID, EchoValue: call.id,
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil && core.CodeOf(err) != core.CodeDialFailed {
			err = cause
		}
		done(nil)
		call.cancelAttempt.Store(nil)
		fwd.endRequest(srv.ID, call.promptTokens)
		return fwd.recordFailure(call, srv, err), nil, err
	}
	attempt := &attempt{server: srv, body: body, cancel: done, forwarder: fwd, call: call}
	out, err := fwd.classifyResponse(call, attempt)
	if out != outcomeAnswered {
		attempt.body.AwaitEOF()
		attempt.close()
	}
	return out, attempt, err
}

// deadlineSlack is added to the time until the deadline, so that the deadline
// ends an attempt and not the silence bound.
const deadlineSlack = 200 * time.Millisecond

// recordFailure judges an attempt without a response and notes its server.
func (fwd *forwarder) recordFailure(call *call, srv *site.Server, err error) outcome {
	code := core.CodeOf(err)
	if code != core.CodeCallerGone && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RecordFailure(srv.ID, time.Now()) })
	}
	if code == core.CodeDialFailed {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// classifyResponse decides what the header of a response says of the attempt.
func (fwd *forwarder) classifyResponse(call *call, attempt *attempt) (outcome, error) {
	body := attempt.body
	status := body.Status()
	if len(body.Header(platform.HeaderNotExecuted)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		fwd.recordRefusal(attempt)
		return outcomeNotRun, core.Errorf(core.CodeRefused, "status %d of %s", status, attempt.server.ID)
	}
	foreign := status < 300 && len(body.Header(platform.HeaderAttemptID)) == 0
	if foreign || len(body.Header(fasthttp.HeaderContentEncoding)) > 0 {
		body.Abort()
		return outcomeUnknown, core.Errorf(core.CodeCrossedAnswer, "response of %s is not to this request", attempt.server.ID)
	}
	if status < fasthttp.StatusInternalServerError {
		fwd.recordProgress(call, attempt.server.ID)
	}
	return outcomeAnswered, nil
}

// recordRefusal notes a server that refused, or the one that it names as the cause.
func (fwd *forwarder) recordRefusal(attempt *attempt) {
	id := attempt.server.ID
	if name := attempt.body.Header(platform.HeaderFaultServer); len(name) > 0 {
		fwd.log.WithFields(logrus.Fields{"event": "server_blamed", "request": attempt.call.id, "server": string(name), "by": id}).Warn("a server names another one as the cause of its refusal")
	}
	fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RecordFailure(id, time.Now()) })
}
