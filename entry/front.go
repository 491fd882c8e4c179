package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"kumquathinge/core"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// Bounds of the callers' server.
const (
	// maxHeaderSize is the largest header of a request in bytes that is read; a
	// configuration may ask for less.
	maxHeaderSize = 32 << 10
	// maxBodySize is the largest body of a request in bytes.
	maxBodySize = 8 << 20
	// idleTimeout is the time after which an unused connection is closed. It is
	// longer than any configuration lets callers keep one.
	idleTimeout = 60 * time.Second
	// readTimeout is the time within which a request must have arrived.
	readTimeout = 10 * time.Second
	// maxResponseSize is the largest whole answer in bytes.
	maxResponseSize = 16 << 20
)

// frontend serves callers.
type frontend struct {
	state     *sharedState
	forwarder *forwarder
	monitor   *callMonitor
	log       *logrus.Logger
	metrics   *nodeMetrics
	server    *fasthttp.Server
	// draining asks callers to close, refusing turns requests away.
	draining  atomic.Bool
	rejecting atomic.Bool
	// requestCount is the number of requests that came.
	requestCount atomic.Int64
}

func newFrontend(state *sharedState, fwd *forwarder, monitor *callMonitor, log *logrus.Logger, meter *nodeMetrics) *frontend {
	front := &frontend{state: state, forwarder: fwd, monitor: monitor, log: log, metrics: meter}
	front.server = &fasthttp.Server{
		Handler:                      front.handle,
		ReadBufferSize:               maxHeaderSize,
		MaxRequestBodySize:           maxBodySize,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       log,
	}
	return front
}

// readinessServer returns the server of the balancer's question.
func (front *frontend) readinessServer() *fasthttp.Server {
	mux := router.New()
	mux.GET(platform.PathReady, func(reqCtx *fasthttp.RequestCtx) {
		if front.draining.Load() || front.state.table.Load() == nil {
			reqCtx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		reqCtx.SetStatusCode(fasthttp.StatusOK)
	})
	return &fasthttp.Server{Handler: mux.Handler, NoDefaultServerHeader: true, Logger: front.log, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// handle answers one request.
func (front *frontend) handle(reqCtx *fasthttp.RequestCtx) {
	front.requestCount.Add(1)
	if front.draining.Load() {
		reqCtx.SetConnectionClose()
	}
	call, err := front.newCall(reqCtx)
	if err != nil {
		front.reject(reqCtx, call, err)
		return
	}
	front.monitor.add(call)
	attempt, err := front.forwarder.sendWithRetries(call)
	if err != nil {
		front.respondError(reqCtx, call, err)
		return
	}
	if call.route.Kind == site.KindStream && attempt.body.Status() == fasthttp.StatusOK {
		front.respondStream(reqCtx, call, attempt)
		return
	}
	front.respondWhole(reqCtx, call, attempt)
}

// newCall checks a request and returns its call. The error carries the code of
// the refusal.
func (front *frontend) newCall(reqCtx *fasthttp.RequestCtx) (*call, error) {
	now := time.Now()
	hdr := &reqCtx.Request.Header
	call := &call{id: string(hdr.Peek(platform.HeaderAttemptID)), startedAt: now, conn: reqCtx.Conn()}
	table := front.state.table.Load()
	if table == nil {
		return call, core.Errorf(core.CodeNotReady, "no configuration is known yet")
	}
	if front.rejecting.Load() {
		return call, core.Errorf(core.CodeDraining, "this entry VM stops")
	}
	path := string(hdr.RequestURI())
	if idx := strings.IndexByte(path, '?'); idx >= 0 {
		path = path[:idx]
	}
	call.route = table.Route(string(hdr.Host()), path)
	if call.route == nil {
		return call, core.Errorf(core.CodeNoService, "no route of host %q begins path %q", hdr.Host(), path)
	}
	if !call.route.Public && !table.AuthDisabled() {
		org := table.Org(string(hdr.Peek(platform.HeaderAPIKey)))
		if org == nil {
			return call, core.Errorf(core.CodeUnauthorized, "the key names no organisation")
		}
		call.org = org.Name
	}
	call.service = table.Service(pickService(call.route))
	if call.service == nil {
		return call, core.Errorf(core.CodeNotReady, "route %s names no service", call.route.Name)
	}
	call.model = string(hdr.Peek(platform.HeaderModel))
	call.promptTokens = parsePromptTokens(string(hdr.Peek(platform.HeaderTokenCounts)))
	call.lastEventID = string(hdr.Peek(platform.HeaderLastEventID))
	call.deadline = now.Add(requestTimeout(call.route, hdr.Peek(platform.HeaderDeadline)))
	ctx, cancel := context.WithDeadlineCause(context.Background(), call.deadline, errDeadlinePassed)
	call.ctx, call.cancel = withCancelCause(ctx, cancel)
	call.request = newUpstreamRequest(&reqCtx.Request, call.org)
	front.forwarder.loads.countRequest(call.service.Name, now)
	return call, nil
}

// parsePromptTokens returns the first of two comma-separated counts, zero if there
// is none.
func parsePromptTokens(val string) int {
	first, _, _ := strings.Cut(val, ",")
	num, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || num < 0 {
		return 0
	}
	return num
}

// withCancelCause returns a context below ctx whose cancel function takes a cause
// and also releases ctx.
func withCancelCause(ctx context.Context, release context.CancelFunc) (context.Context, context.CancelCauseFunc) {
	out, cancel := context.WithCancelCause(ctx)
	return out, func(cause error) {
		cancel(cause)
		release()
	}
}

// defaultTimeout is the time for a request that states none on a route that
// states none.
const defaultTimeout = 30 * time.Second

// requestTimeout returns the time for which the caller waits: what it states, and no
// longer than the route's time-out.
func requestTimeout(route *site.Route, stated []byte) time.Duration {
	out := defaultTimeout
	if route.Timeout > 0 {
		out = route.Timeout
	}
	num, err := strconv.ParseInt(string(stated), 10, 64)
	if err == nil && num >= 0 {
		out = min(out, time.Duration(num)*time.Millisecond)
	}
	return out
}

// pickService draws the service of a request by the weights of its route.
func pickService(route *site.Route) string {
	sum := 0.0
	for _, tgt := range route.Targets {
		sum += tgt.Weight
	}
	pos := rand.Float64() * sum
	for _, tgt := range route.Targets {
		pos -= tgt.Weight
		if pos < 0 {
			return tgt.Service
		}
	}
	if len(route.Targets) == 0 {
		return ""
	}
	return route.Targets[0].Service
}

// respondWhole reads an answer to its end and delivers it.
func (front *frontend) respondWhole(reqCtx *fasthttp.RequestCtx, call *call, attempt *attempt) {
	for {
		ans, err := attempt.body.ReadAll(maxResponseSize)
		if err == nil && ans.Status() >= fasthttp.StatusInternalServerError && front.forwarder.retryServerError(call, attempt.server) {
			attempt.close()
			next, openErr := front.forwarder.sendWithRetries(call)
			if openErr == nil {
				attempt = next
				continue
			}
			front.log.WithFields(logrus.Fields{"event": "second_failed", "request": call.id, "error": openErr}).Info("no second answer; the server's failure is delivered")
		}
		if err == nil {
			front.copyHeader(reqCtx, attempt)
			reqCtx.SetBody(ans.Body())
			front.forwarder.recordProgress(call, attempt.server.ID)
			attempt.close()
			front.finish(call, ans.Status(), nil, 0)
			return
		}
		attempt.close()
		if call.ctx.Err() == nil {
			front.forwarder.recordFailure(call, attempt.server, err)
		}
		if !call.route.Retryable() {
			call.possibleRuns.Add(1)
			front.respondError(reqCtx, call, err)
			return
		}
		err = front.forwarder.checkRetry(call, attempt.server, outcomeUnknown, err)
		if err == nil {
			attempt, err = front.forwarder.sendWithRetries(call)
		}
		if err != nil {
			front.respondError(reqCtx, call, err)
			return
		}
	}
}

// respondStream delivers a stream. Its header goes out with the first event.
func (front *frontend) respondStream(reqCtx *fasthttp.RequestCtx, call *call, attempt *attempt) {
	relay := newStreamRelay(front.forwarder, call, attempt, func(err error, events int) {
		front.finish(call, fasthttp.StatusOK, err, events)
	})
	err := relay.waitFirstEvent()
	if err != nil {
		relay.onFinish = nil
		relay.attempt.close()
		front.respondError(reqCtx, call, err)
		return
	}
	front.copyHeader(reqCtx, relay.attempt)
	reqCtx.Response.SetBodyStream(relay, -1)
}

// copyHeader copies the server's status and headers.
func (front *frontend) copyHeader(reqCtx *fasthttp.RequestCtx, attempt *attempt) {
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

// Times after which a refused caller may come again.
const (
	// minRetryAfter and retryAfterMax spread the return of callers that found
	// no room: some hundred requests end at the groups within it.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 900 * time.Millisecond
	// retryAfterOtherNode is for a node that stops or knows nothing yet: another
	// one takes the request at once.
	retryAfterOtherNode = 50 * time.Millisecond
)

// respondError answers a request that was accepted and has no answer of a server.
func (front *frontend) respondError(reqCtx *fasthttp.RequestCtx, call *call, err error) {
	status := fasthttp.StatusBadGateway
	var refused *notRunError
	switch {
	case errors.As(err, &refused):
		status = fasthttp.StatusServiceUnavailable
		after := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
		reqCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	case errors.Is(err, context.DeadlineExceeded) || core.CodeOf(err) == core.CodeDeadline:
		status = fasthttp.StatusGatewayTimeout
	}
	reqCtx.SetStatusCode(status)
	front.echoRequestID(reqCtx, call)
	front.finish(call, status, err, 0)
}

// reject answers a request that was not accepted.
func (front *frontend) reject(reqCtx *fasthttp.RequestCtx, call *call, err error) {
	status := fasthttp.StatusServiceUnavailable
	switch core.CodeOf(err) {
	case core.CodeNoService:
		status = fasthttp.StatusNotFound
	case core.CodeUnauthorized:
		status = fasthttp.StatusUnauthorized
	default:
		reqCtx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryAfterOtherNode.Seconds(), 'f', 2, 64))
	}
	reqCtx.SetStatusCode(status)
	front.echoRequestID(reqCtx, call)
	front.metrics.recordRequest("rejected", status, 0)
	front.log.WithFields(logrus.Fields{
		"event": "request_rejected", "request": call.id, "status": status, "code": core.CodeOf(err), "error": err, "version": front.configVersion(),
	}).Info("request rejected")
}

// echoRequestID names the request in an answer of the node's own.
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

// finish ends a call, once.
func (front *frontend) finish(call *call, status int, err error, events int) {
	front.monitor.remove(call)
	call.cancel(nil)
	took := time.Since(call.startedAt)
	front.metrics.recordRequest(call.route.Kind.String(), status, took.Seconds())
	if call.firstEventDelay > 0 {
		front.metrics.recordFirstEvent(call.service.Name, call.firstEventDelay)
	}
	logEntry := front.log.WithFields(logrus.Fields{
		"event": "request", "request": call.id, "route": call.route.Name, "kind": call.route.Kind, "service": call.service.Name, "model": call.model,
		"organisation": call.org, "status": status, "code": core.CodeOf(err), "took": took, "sent": call.possibleRuns.Load(), "tried": len(call.triedServers),
		"first": call.firstEventDelay, "gap": call.maxEventGap, "events": events, "last_event": call.lastEventID, "version": front.configVersion(),
	})
	if err != nil {
		logEntry = logEntry.WithField("error", err)
	}
	logEntry.Info("request ended")
}

// listen opens the callers' or readiness address.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return cfg.Listen(ctx, "tcp", addr)
}

// Probes on connections of callers, which find those that have gone silent.
const (
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 2
)

// splitList splits the value of a header that is a list.
func splitList(val string) []string {
	var out []string
	for _, item := range strings.Split(val, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
