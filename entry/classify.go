package entry

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/share"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// classifyResponse determines the outcome of an attempt from the header of the
// response.
func (fwd *forwarder) classifyResponse(call *call, attempt *attempt) (outcome, error) {
	body := attempt.body
	status := body.Status()
	// A kept connection may deliver an answer to an earlier request again.
	unnamed := len(body.Header(platform.HeaderAttemptID)) == 0
	if unnamed && body.Reused() {
		return outcomeUnknown, core.Errorf(core.CodeCrossedAnswer, "response from %s on a kept connection does not name this request", attempt.server.ID)
	}
	fwd.recordLimit(call, attempt)
	fwd.recordNotices(call, attempt)
	if len(body.Header(platform.HeaderNotExecuted)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		fwd.recordRefusal(attempt)
		return outcomeNotRun, core.Errorf(core.CodeRefused, "status %d from %s (kept connection: %v)", status, attempt.server.ID, body.Reused())
	}
	if unnamed && status < fasthttp.StatusMultipleChoices || len(body.Header(fasthttp.HeaderContentEncoding)) > 0 {
		return outcomeUnknown, core.Errorf(core.CodeCrossedAnswer, "response from %s does not belong to this request", attempt.server.ID)
	}
	if status < fasthttp.StatusInternalServerError {
		fwd.recordProgress(call, attempt.server)
	}
	return outcomeAnswered, nil
}

// recordSkipped records the responses to other requests that a server sent before the one
// to a call.
func (fwd *forwarder) recordSkipped(call *call, srv *site.Server, num int) {
	if num == 0 {
		return
	}
	fwd.metrics.skippedResponses.Add(num)
	fwd.log.WithFields(logrus.Fields{"event": "response_skipped", "request": call.id, "server": srv.ID, "count": num}).Warn("a kept connection delivered responses to other requests")
}

// recordLimit records the limit that a response names, or that it names none any
// more. A failure without one says nothing.
func (fwd *forwarder) recordLimit(call *call, attempt *attempt) {
	limit, named := platform.DecodeServerLimit(string(attempt.body.Header(platform.HeaderServerLimit)))
	status := attempt.body.Status()
	switch {
	case !named && status >= fasthttp.StatusMultipleChoices:
		return
	case !named:
		limit = share.NoLimit
	}
	srv, changed := attempt.server, false
	fwd.loads.withLock(func(balancer *share.Balancer) {
		changed = balancer.RecordLimit(srv.ID, srv.StartMillis, limit, time.Now())
	})
	if changed {
		fwd.metrics.recordServerLimit(named)
		fwd.log.WithFields(logrus.Fields{"event": "server_limit", "request": call.id, "server": srv.ID, "named": named, "limit": limit, "status": status}).Info("a server changed its limit of requests a second")
	}
}

// recordNotices records what a server says of itself in an answer: that it leaves, and
// for how long it wants no requests of this node.
func (fwd *forwarder) recordNotices(call *call, attempt *attempt) {
	srv, body := attempt.server, attempt.body
	fwd.loads.cold.recordStated(srv, string(body.Header(platform.HeaderColdLeft)))
	if string(body.Header(platform.HeaderServerLeaving)) == leavingValue {
		fwd.noteLeaving(srv.Run(), call.id)
	}
	pause, ok := platform.DecodePause(string(body.Header(fasthttp.HeaderRetryAfter)))
	if !ok || body.Status() != fasthttp.StatusServiceUnavailable {
		return
	}
	started := false
	fwd.loads.withLock(func(balancer *share.Balancer) {
		started = balancer.RecordPause(srv.ID, srv.StartMillis, pause, time.Now())
	})
	if started {
		fwd.metrics.serverPauses.Inc()
		fwd.log.WithFields(logrus.Fields{"event": "server_pause", "request": call.id, "server": srv.ID, "born": srv.StartMillis, "pause": pause}).Info("a server asked this node for a pause")
	}
}

// leavingValue is the value of the header of a server that leaves.
const leavingValue = "1"

// recordRefusal records a failure of the server that refused the request, and
// logs the server that it names as the cause, if any.
func (fwd *forwarder) recordRefusal(attempt *attempt) {
	id := attempt.server.ID
	if name := attempt.body.Header(platform.HeaderFaultServer); len(name) > 0 {
		fwd.log.WithFields(logrus.Fields{"event": "server_blamed", "request": attempt.call.id, "server": string(name), "by": id}).Warn("server refused a request and named another server as the cause")
	}
	fwd.loads.withLock(func(balancer *share.Balancer) { balancer.RecordFailure(id, time.Now()) })
}
