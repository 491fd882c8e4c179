package entry

import (
	"cmp"
	"context"
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
	"kumquathinge/core/drain"
	"kumquathinge/core/quota"
	"kumquathinge/core/site"
	"kumquathinge/platform"
)

// Limits and timeouts of the server for callers.
const (
	// maxHeaderSize is the largest request header in bytes. A configuration may
	// set a lower limit.
	maxHeaderSize = 32 << 10
	// maxBodySize is the largest request body in bytes.
	maxBodySize = 8 << 20
	// idleTimeout is the time after which an unused connection is closed, also before
	// its first request, unless the configuration sets another one.
	idleTimeout = 60 * time.Second
	// readTimeout is the time from its first byte within which a request must arrive. For
	// the header, the configuration may set another one.
	readTimeout = 10 * time.Second
	// maxSkippedResponse is the largest response to an earlier request that is skipped, in
	// bytes.
	maxSkippedResponse = 1 << 20
)

// frontend serves callers.
type frontend struct {
	state     *sharedState
	forwarder *forwarder
	monitor   *callMonitor
	log       *logrus.Logger
	metrics   *nodeMetrics
	// server serves callers, relayServer peers that relay requests of their callers.
	server, relayServer *fasthttp.Server
	active              *activeConns
	callers             *callerConns
	// quota limits the bytes that are held for callers and servers.
	quota *quota.Quota
	// draining makes the node not ready and closes each connection after its
	// response. stop is the planned stop, nil before.
	draining atomic.Bool
	stop     atomic.Pointer[drain.Stop]
	// requestCount is the number of requests received.
	requestCount atomic.Int64
}

func newFrontend(state *sharedState, fwd *forwarder, monitor *callMonitor, log *logrus.Logger, meter *nodeMetrics, qta *quota.Quota) *frontend {
	front := &frontend{state: state, forwarder: fwd, monitor: monitor, log: log, metrics: meter, active: newActiveConns(qta), callers: newCallerConns(meter.callerConnsClosed.Add), quota: qta}
	meter.observeQuota(qta)
	front.server = front.newServer(func(reqCtx *fasthttp.RequestCtx) { front.handle(reqCtx, false) })
	front.server.ConnState = func(conn net.Conn, state fasthttp.ConnState) {
		front.active.setState(conn, state)
		front.callers.setState(conn, state)
	}
	front.relayServer = front.newServer(func(reqCtx *fasthttp.RequestCtx) { front.handle(reqCtx, true) })
	return front
}

// newServer returns an HTTP server for callers or for peers that relay their requests.
func (front *frontend) newServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      handler,
		ReadBufferSize:               maxHeaderSize,
		MaxRequestBodySize:           maxBodySize,
		StreamRequestBody:            true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       connErrorCounter{count: front.metrics.callerConnErrors.Inc},
		ConnState:                    front.active.setState,
	}
}

// timeouts returns the time after which an unused connection is closed, and the time within
// which a header must arrive, as the configuration in force sets them.
func (front *frontend) timeouts() (idle, read time.Duration) {
	idle, read = idleTimeout, readTimeout
	table := front.state.table.Load()
	if table == nil {
		return idle, read
	}
	cfg := table.Config()
	return cmp.Or(cfg.IdleTimeout, idle), cmp.Or(cfg.HeaderTimeout, read)
}

// exhausted frees descriptors when a connection can't be accepted for lack of resources.
func (front *frontend) exhausted(err error) {
	front.metrics.callerConnErrors.Inc()
	front.callers.free()
	front.log.WithFields(logrus.Fields{"event": "accept", "error": err}).Error("a connection can't be accepted; closing unused ones")
}

// readinessServer returns the server for the load balancer's readiness checks.
func (front *frontend) readinessServer() *fasthttp.Server {
	mux := router.New()
	mux.GET(platform.PathReady, func(reqCtx *fasthttp.RequestCtx) {
		if front.draining.Load() || front.state.table.Load() == nil {
			reqCtx.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		reqCtx.SetStatusCode(fasthttp.StatusOK)
	})
	return &fasthttp.Server{Handler: mux.Handler, NoDefaultServerHeader: true, Logger: connErrorCounter{count: front.metrics.callerConnErrors.Inc}, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}
}

// handle serves one request. relayed is set if a peer relays it.
func (front *frontend) handle(reqCtx *fasthttp.RequestCtx, relayed bool) {
	front.requestCount.Add(1)
	front.closeIfDraining(reqCtx)
	var call *call
	defer recoverPanic(front.log, front.metrics, "request", func() { front.abandon(reqCtx, call) })
	call, parts, err := front.newCall(reqCtx, relayed)
	if err != nil {
		front.reject(reqCtx, call, err)
		front.dropUnreadBody(reqCtx)
		return
	}
	if !call.viaPeer {
		err = front.checkShare(call)
	}
	if err == nil {
		err = front.readBody(reqCtx, call)
	}
	if err != nil {
		front.respondError(reqCtx, call, err)
		front.dropUnreadBody(reqCtx)
		return
	}
	call.subject = newSubject(call, parts)
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

// abandon responds to a request whose handling panicked.
func (front *frontend) abandon(reqCtx *fasthttp.RequestCtx, call *call) {
	reqCtx.Response.Reset()
	reqCtx.SetStatusCode(fasthttp.StatusBadGateway)
	reqCtx.SetConnectionClose()
	if call == nil {
		return
	}
	front.echoRequestID(reqCtx, call)
	front.monitor.remove(call)
	call.ended.Store(true)
	front.forwarder.releaseGranted(call)
	front.releaseHeld(call)
	front.forwarder.guard.endTrial(call)
	if call.cancel != nil {
		call.cancel(errPanicked)
	}
}

// newCall validates the header of a request and returns its call and the parts of its
// prompt. The call is never nil. The code of the error is the reason for the rejection.
func (front *frontend) newCall(reqCtx *fasthttp.RequestCtx, relayed bool) (*call, []core.PromptPart, error) {
	now := time.Now()
	hdr := &reqCtx.Request.Header
	call := &call{id: string(hdr.Peek(platform.HeaderAttemptID)), startedAt: now, conn: reqCtx.Conn(), relayed: relayed, apiKey: string(hdr.Peek(platform.HeaderAPIKey))}
	table := front.state.table.Load()
	if table == nil {
		return call, nil, core.Errorf(core.CodeNotReady, "no configuration received yet")
	}
	if stop := front.stop.Load(); stop != nil && stop.Phase(now, 1) != drain.Accepting {
		return call, nil, core.Errorf(core.CodeDraining, "this entry VM is stopping")
	}
	if relayed {
		err := checkRelayVersion(hdr, table)
		if err != nil {
			return call, nil, err
		}
		call.possibleRuns.Store(relayRuns(hdr))
	}
	err := call.findRoute(hdr, table)
	if err != nil {
		return call, nil, err
	}
	call.setUrgency()
	call.model = string(hdr.Peek(platform.HeaderModel))
	call.promptTokens, call.maxOutputTokens = parseTokenCounts(string(hdr.Peek(platform.HeaderTokenCounts)))
	parts := platform.DecodePromptParts(string(hdr.Peek(platform.HeaderPromptParts)))
	call.lastEventID = string(hdr.Peek(platform.HeaderLastEventID))
	call.deadline = now.Add(requestTimeout(call.route, hdr.Peek(platform.HeaderDeadline)))
	if relayed && front.forwarder.reach.lost(call.service.Name) {
		return call, nil, core.Errorf(core.CodeNotReady, "this entry VM does not reach the servers of %s", call.service.Name)
	}
	err = front.checkStop(call, now)
	if err != nil {
		return call, nil, err
	}
	ctx, cancel := context.WithDeadlineCause(context.Background(), call.deadline, errDeadlinePassed)
	call.ctx, call.cancel = withCancelCause(ctx, cancel)
	call.request = newUpstreamRequest(&reqCtx.Request, call.org)
	if relayed {
		call.request.Header.Del(headerRelayVersion)
		call.request.Header.Del(headerRelayRuns)
	}
	call.setUrgencyHeader()
	// A peer that relays the request counts it.
	_, call.viaPeer = front.forwarder.peerFor(call)
	if !call.viaPeer {
		front.forwarder.loads.countRequest(call.service.Name, now)
	}
	return call, parts, nil
}

// findRoute sets the route, the organisation and the service of a call.
func (call *call) findRoute(hdr *fasthttp.RequestHeader, table *site.Table) error {
	path := string(hdr.RequestURI())
	if idx := strings.IndexByte(path, '?'); idx >= 0 {
		path = path[:idx]
	}
	call.table, call.host, call.path = table, string(hdr.Host()), path
	call.route = table.Route(call.host, path)
	if call.route == nil {
		return core.Errorf(core.CodeNoService, "no route of host %q matches path %q", call.host, path)
	}
	if !call.route.Public && !table.AuthDisabled() {
		org := table.Org(call.apiKey)
		if org == nil {
			return core.Errorf(core.CodeUnauthorized, "the API key belongs to no organisation")
		}
		call.org = org.Name
	}
	call.service = table.Service(pickService(call.route))
	if call.service == nil {
		return core.Errorf(core.CodeNotReady, "route %s has no configured service", call.route.Name)
	}
	return nil
}

// parseTokenCounts returns two comma-separated token counts, the prompt and the
// maximum output. A count that is missing or invalid is zero.
func parseTokenCounts(val string) (prompt, maxOutput int) {
	first, second, _ := strings.Cut(val, ",")
	return parseCount(first), parseCount(second)
}

func parseCount(val string) int {
	num, err := strconv.Atoi(strings.TrimSpace(val))
	if err != nil || num < 0 {
		return 0
	}
	return num
}

// withCancelCause returns a child of ctx. Its cancel function takes a cause and
// also calls release, the cancel function of ctx.
func withCancelCause(ctx context.Context, release context.CancelFunc) (context.Context, context.CancelCauseFunc) {
	out, cancel := context.WithCancelCause(ctx)
	return out, func(cause error) {
		cancel(cause)
		release()
	}
}

// defaultTimeout is the timeout of a request if neither the caller nor the
// route sets one.
const defaultTimeout = 30 * time.Second

// requestTimeout returns the timeout of a request: the caller's, in
// milliseconds, but at most the route's.
func requestTimeout(route *site.Route, deadlineMs []byte) time.Duration {
	out := defaultTimeout
	if route.Timeout > 0 {
		out = route.Timeout
	}
	num, err := strconv.ParseInt(string(deadlineMs), 10, 64)
	if err == nil && num >= 0 {
		out = min(out, time.Duration(num)*time.Millisecond)
	}
	return out
}

// pickService selects a service at random by the weights of the route. It
// returns an empty string if the route has no targets.
func pickService(route *site.Route) string {
	sum := 0.0
	for _, target := range route.Targets {
		sum += target.Weight
	}
	pos := rand.Float64() * sum
	for _, target := range route.Targets {
		pos -= target.Weight
		if pos < 0 {
			return target.Service
		}
	}
	if len(route.Targets) == 0 {
		return ""
	}
	return route.Targets[0].Service
}

// listen opens a TCP listener whose connections use keep-alive probes.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return cfg.Listen(ctx, "tcp", addr)
}

// TCP keep-alive of callers' connections, which detects callers that are
// unreachable.
const (
	keepAliveInterval = 5 * time.Second
	keepAliveProbes   = 2
)

// splitList returns the items of a comma-separated header value.
func splitList(val string) []string {
	var out []string
	for _, item := range strings.Split(val, ",") {
		if item = strings.TrimSpace(item); item != "" {
			out = append(out, item)
		}
	}
	return out
}
