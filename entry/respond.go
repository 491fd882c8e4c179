package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/platform"
)

// respondWhole reads the response before it sends it to the caller, as far as it may be
// held, and retries if the read fails.
func (front *frontend) respondWhole(reqCtx *fasthttp.RequestCtx, call *call, attempt *attempt) {
	for {
		held, more, err := front.readHeld(call, attempt)
		if err == nil && !more && attempt.body.Status() >= fasthttp.StatusInternalServerError && front.forwarder.retryServerError(call, attempt.server) {
			attempt.close()
			next, retryErr := front.forwarder.sendWithRetries(call)
			if retryErr == nil {
				attempt = next
				continue
			}
			front.log.WithFields(logrus.Fields{"event": "second_failed", "request": call.id, "error": retryErr}).Info("retry failed; returning the first server's error response")
		}
		if err == nil {
			front.sendWhole(reqCtx, call, attempt, held, more)
			return
		}
		attempt.close()
		front.forwarder.recordBroken(call, attempt.target, err)
		if !front.forwarder.mayRepeat(call) {
			call.possibleRuns.Add(1)
			front.respondError(reqCtx, call, err)
			return
		}
		err = front.forwarder.checkRetry(call, attempt.target, outcomeUnknown, err)
		if err == nil {
			attempt, err = front.forwarder.sendWithRetries(call)
		}
		if err != nil {
			front.respondError(reqCtx, call, err)
			return
		}
	}
}

// sendWhole sends a response of which held was read. If there is more, the rest is sent as
// it arrives.
func (front *frontend) sendWhole(reqCtx *fasthttp.RequestCtx, call *call, attempt *attempt, held []byte, more bool) {
	if more && !call.response.CompareAndSwap(responsePending, responseBegun) {
		attempt.close()
		call.possibleRuns.Add(1)
		front.respondError(reqCtx, call, errStopping)
		return
	}
	front.copyHeader(reqCtx, attempt)
	front.forwarder.recordProgress(call, attempt.server)
	attempt.recordProof()
	if more {
		reqCtx.Response.SetBodyStream(&wholeRelay{front: front, call: call, attempt: attempt, begin: held}, max(-1, attempt.body.ContentLength()))
		return
	}
	reqCtx.SetBody(held)
	status := attempt.body.Status()
	attempt.close()
	front.finish(call, status, nil, 0)
}

// respondStream streams the response to the caller. The header is sent with the
// first event.
func (front *frontend) respondStream(reqCtx *fasthttp.RequestCtx, call *call, attempt *attempt) {
	relay := newStreamRelay(front.forwarder, call, attempt, func(err error, events int) {
		front.finish(call, fasthttp.StatusOK, err, events)
	})
	err := relay.waitFirstEvent()
	front.forwarder.loads.recordFirstEvent(call, time.Now())
	if err == nil && !call.response.CompareAndSwap(responsePending, responseBegun) {
		err = errStopping
	}
	if err != nil {
		relay.onFinish = nil
		relay.attempt.close()
		front.respondError(reqCtx, call, err)
		return
	}
	front.copyHeader(reqCtx, relay.attempt)
	reqCtx.Response.SetBodyStream(relay, -1)
}

// closeIfDraining closes the connection after the response if the node stops.
func (front *frontend) closeIfDraining(reqCtx *fasthttp.RequestCtx) {
	if front.draining.Load() {
		reqCtx.SetConnectionClose()
	}
}

// copyHeader copies the status and the headers of the server's response, except
// those that concern one connection.
func (front *frontend) copyHeader(reqCtx *fasthttp.RequestCtx, attempt *attempt) {
	front.closeIfDraining(reqCtx)
	reqCtx.SetStatusCode(attempt.body.Status())
	attempt.body.VisitHeaders(func(name, val []byte) {
		switch string(name) {
		case fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderContentLength, fasthttp.HeaderTrailer:
		case fasthttp.HeaderContentType:
			reqCtx.Response.Header.SetContentTypeBytes(val)
		default:
			reqCtx.Response.Header.AddBytesKV(name, val)
		}
	})
}

// Retry-After values for callers whose request is rejected.
const (
	// minRetryAfter and maxRetryAfter spread the retries of callers for which
	// no server had capacity. Some hundred requests complete at the groups
	// within that time.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// minShareRetryAfter and maxShareRetryAfter are for callers of an
	// organisation that far exceeds its share, which lasts for seconds.
	minShareRetryAfter = 1200 * time.Millisecond
	maxShareRetryAfter = 2400 * time.Millisecond
	// retryAfterOtherNode is for a node that is stopping or not ready yet:
	// another node accepts the request at once.
	retryAfterOtherNode = 50 * time.Millisecond
)

// respondError responds to an accepted request for which there is no response
// from a server.
func (front *frontend) respondError(reqCtx *fasthttp.RequestCtx, call *call, err error) {
	front.closeIfDraining(reqCtx)
	status := fasthttp.StatusBadGateway
	var notRun *notRunError
	switch {
	case errors.As(err, &notRun):
		status = fasthttp.StatusServiceUnavailable
		after := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
		switch {
		case front.draining.Load():
			after = retryAfterOtherNode
		case notRun.retryAfter > 0:
			after = notRun.retryAfter
		case notRun.overShare:
			after = minShareRetryAfter + rand.N(maxShareRetryAfter-minShareRetryAfter)
		}
		reqCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
		if call.relayed && (core.CodeOf(err) == core.CodeDialFailed || front.forwarder.reach.lost(call.service.Name)) {
			reqCtx.Response.Header.Set(headerRelayElsewhere, "1")
		}
	case errors.Is(err, context.DeadlineExceeded) || core.CodeOf(err) == core.CodeDeadline:
		status = fasthttp.StatusGatewayTimeout
	case core.CodeOf(err) == core.CodeTooLarge:
		status = fasthttp.StatusRequestEntityTooLarge
	case core.CodeOf(err) == core.CodeBadRequest:
		status = fasthttp.StatusBadRequest
	}
	reqCtx.SetStatusCode(status)
	front.echoRequestID(reqCtx, call)
	front.finish(call, status, err, 0)
}

// reject responds to a request that was not accepted.
func (front *frontend) reject(reqCtx *fasthttp.RequestCtx, call *call, err error) {
	status := fasthttp.StatusServiceUnavailable
	switch core.CodeOf(err) {
	case core.CodeNoService:
		status = fasthttp.StatusNotFound
	case core.CodeUnauthorized:
		status = fasthttp.StatusUnauthorized
	default:
		reqCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfterOtherNode.Seconds(), 'f', 2, 64))
		if call.relayed {
			reqCtx.Response.Header.Set(headerRelayElsewhere, "1")
		}
	}
	reqCtx.SetStatusCode(status)
	front.echoRequestID(reqCtx, call)
	front.metrics.recordRequest("rejected", status, 0)
	front.log.WithFields(logrus.Fields{
		"event": "request_rejected", "request": call.id, "status": status, "code": core.CodeOf(err), "error": err, "version": front.configVersion(),
	}).Info("request rejected")
}

// echoRequestID sets the attempt ID of the request in a response that comes
// from this node.
func (front *frontend) echoRequestID(reqCtx *fasthttp.RequestCtx, call *call) {
	if call.id != "" {
		reqCtx.Response.Header.Set(platform.HeaderAttemptID, call.id)
	}
}

func (front *frontend) configVersion() int64 {
	table := front.state.table.Load()
	if table == nil {
		return 0
	}
	return table.Version()
}

// finish ends a call: it cancels its context, and records its metrics and its
// log line.
func (front *frontend) finish(call *call, status int, err error, events int) {
	front.monitor.remove(call)
	call.ended.Store(true)
	front.forwarder.releaseGranted(call)
	front.releaseHeld(call)
	call.cancel(nil)
	took := time.Since(call.startedAt)
	front.metrics.recordRequest(call.route.Kind.String(), status, took.Seconds())
	if err == nil && events > 0 {
		front.forwarder.loads.recordOutput(call, events)
	}
	front.forwarder.loads.recordEnd(call, err, time.Now())
	if call.firstEventDelay > 0 {
		front.metrics.recordFirstEvent(call.service.Name, call.firstEventDelay)
	}
	logEntry := front.log.WithFields(logrus.Fields{
		"event": "request", "request": call.id, "route": call.route.Name, "kind": call.route.Kind, "service": call.service.Name, "model": call.model,
		"organisation": call.org, "status": status, "code": core.CodeOf(err), "took": took, "sent": call.possibleRuns.Load(), "tried": len(call.tried()),
		"first": call.firstEventDelay, "gap": call.maxEventGap, "events": events, "last_event": call.lastEventID, "parts": call.subject.Shared, "version": front.configVersion(),
	})
	if err != nil {
		logEntry = logEntry.WithField("error", err)
	}
	logEntry.Info("request ended")
}
