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
	// headerBound is the largest header of a request in bytes that is read; a
	// configuration may ask for less.
	headerBound = 32 << 10
	// bodyBound is the largest body of a request in bytes.
	bodyBound = 8 << 20
	// idleBound is the time after which an unused connection is closed. It is
	// longer than any configuration lets callers keep one.
	idleBound = 60 * time.Second
	// readBound is the time within which a request must have arrived.
	readBound = 10 * time.Second
	// maxAnswer is the largest whole answer in bytes.
	maxAnswer = 16 << 20
)

// front serves callers.
type front struct {
	sta *state
	fwd *forwarder
	swe *sweeper
	log *logrus.Logger
	met *meter
	srv *fasthttp.Server
	// leaving asks callers to close, refusing turns requests away.
	leaving  atomic.Bool
	refusing atomic.Bool
	// arrived is the number of requests that came.
	arrived atomic.Int64
}

func newFront(sta *state, fwd *forwarder, swe *sweeper, log *logrus.Logger, met *meter) *front {
	fro := &front{sta: sta, fwd: fwd, swe: swe, log: log, met: met}
	fro.srv = &fasthttp.Server{
		Handler:                      fro.serve,
		ReadBufferSize:               headerBound,
		MaxRequestBodySize:           bodyBound,
		ReadTimeout:                  readBound,
		IdleTimeout:                  idleBound,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       log,
	}
	return fro
}

// readiness returns the server of the balancer's question.
func (fro *front) readiness() *fasthttp.Server {
	rou := router.New()
	rou.GET(platform.PathReady, func(rqc *fasthttp.RequestCtx) {
		if fro.leaving.Load() || fro.sta.table.Load() == nil {
			rqc.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		rqc.SetStatusCode(fasthttp.StatusOK)
	})
	return &fasthttp.Server{Handler: rou.Handler, NoDefaultServerHeader: true, Logger: fro.log, ReadTimeout: readBound, IdleTimeout: idleBound}
}

// serve answers one request.
func (fro *front) serve(rqc *fasthttp.RequestCtx) {
	fro.arrived.Add(1)
	if fro.leaving.Load() {
		rqc.SetConnectionClose()
	}
	cal, err := fro.accept(rqc)
	if err != nil {
		fro.reject(rqc, cal, err)
		return
	}
	fro.swe.add(cal)
	led, err := fro.fwd.open(cal)
	if err != nil {
		fro.fail(rqc, cal, err)
		return
	}
	if cal.route.Kind == site.KindStream && led.body.Status() == fasthttp.StatusOK {
		fro.stream(rqc, cal, led)
		return
	}
	fro.whole(rqc, cal, led)
}

// accept checks a request and returns its call. The error carries the code of
// the refusal.
func (fro *front) accept(rqc *fasthttp.RequestCtx) (*call, error) {
	now := time.Now()
	hdr := &rqc.Request.Header
	cal := &call{id: string(hdr.Peek(platform.HeaderAttemptID)), begin: now, conn: rqc.Conn()}
	tab := fro.sta.table.Load()
	if tab == nil {
		return cal, core.Errorf(core.CodeNotReady, "no configuration is known yet")
	}
	if fro.refusing.Load() {
		return cal, core.Errorf(core.CodeDraining, "this entry VM stops")
	}
	path := string(hdr.RequestURI())
	if cut := strings.IndexByte(path, '?'); cut >= 0 {
		path = path[:cut]
	}
	cal.route = tab.Route(string(hdr.Host()), path)
	if cal.route == nil {
		return cal, core.Errorf(core.CodeNoService, "no route of host %q begins path %q", hdr.Host(), path)
	}
	if !cal.route.Public && !tab.AuthDisabled() {
		org := tab.Org(string(hdr.Peek(platform.HeaderAPIKey)))
		if org == nil {
			return cal, core.Errorf(core.CodeUnauthorized, "the key names no organisation")
		}
		cal.org = org.Name
	}
	cal.svc = tab.Service(target(cal.route))
	if cal.svc == nil {
		return cal, core.Errorf(core.CodeNotReady, "route %s names no service", cal.route.Name)
	}
	cal.model = string(hdr.Peek(platform.HeaderModel))
	cal.prompt = promptTokens(string(hdr.Peek(platform.HeaderTokenCounts)))
	cal.lastEvent = string(hdr.Peek(platform.HeaderLastEventID))
	cal.deadline = now.Add(patience(cal.route, hdr.Peek(platform.HeaderDeadline)))
	ctx, cancel := context.WithDeadlineCause(context.Background(), cal.deadline, errDeadline)
	cal.ctx, cal.cancel = withCause(ctx, cancel)
	cal.req = newRequest(&rqc.Request, cal.org)
	fro.fwd.lod.request(cal.svc.Name, now)
	return cal, nil
}

// promptTokens returns the first of two comma-separated counts, zero if there
// is none.
func promptTokens(val string) int {
	one, _, _ := strings.Cut(val, ",")
	num, err := strconv.Atoi(strings.TrimSpace(one))
	if err != nil || num < 0 {
		return 0
	}
	return num
}

// withCause returns a context below ctx whose cancel function takes a cause
// and also releases ctx.
func withCause(ctx context.Context, release context.CancelFunc) (context.Context, context.CancelCauseFunc) {
	out, cancel := context.WithCancelCause(ctx)
	return out, func(cause error) {
		cancel(cause)
		release()
	}
}

// defaultPatience is the time for a request that states none on a route that
// states none.
const defaultPatience = 30 * time.Second

// patience returns the time for which the caller waits: what it states, and no
// longer than the route's time-out.
func patience(rou *site.Route, stated []byte) time.Duration {
	out := defaultPatience
	if rou.Timeout > 0 {
		out = rou.Timeout
	}
	num, err := strconv.ParseInt(string(stated), 10, 64)
	if err == nil && num >= 0 {
		out = min(out, time.Duration(num)*time.Millisecond)
	}
	return out
}

// target draws the service of a request by the weights of its route.
func target(rou *site.Route) string {
	sum := 0.0
	for _, tgt := range rou.Targets {
		sum += tgt.Weight
	}
	pos := rand.Float64() * sum
	for _, tgt := range rou.Targets {
		pos -= tgt.Weight
		if pos < 0 {
			return tgt.Service
		}
	}
	if len(rou.Targets) == 0 {
		return ""
	}
	return rou.Targets[0].Service
}

// whole reads an answer to its end and delivers it.
func (fro *front) whole(rqc *fasthttp.RequestCtx, cal *call, led *leg) {
	for {
		ans, err := led.body.ReadAll(maxAnswer)
		if err == nil && ans.Status() >= fasthttp.StatusInternalServerError && fro.fwd.another(cal, led.srv) {
			led.close()
			nxt, oerr := fro.fwd.open(cal)
			if oerr == nil {
				led = nxt
				continue
			}
			fro.log.WithFields(logrus.Fields{"event": "second_failed", "request": cal.id, "error": oerr}).Info("no second answer; the server's failure is delivered")
		}
		if err == nil {
			fro.head(rqc, led)
			rqc.SetBody(ans.Body())
			fro.fwd.advanced(cal, led.srv.ID)
			led.close()
			fro.finish(cal, ans.Status(), nil, 0)
			return
		}
		led.close()
		if cal.ctx.Err() == nil {
			fro.fwd.failed(cal, led.srv, err)
		}
		if !cal.route.Retryable() {
			cal.sent.Add(1)
			fro.fail(rqc, cal, err)
			return
		}
		err = fro.fwd.again(cal, led.srv, outcomeUnknown, err)
		if err == nil {
			led, err = fro.fwd.open(cal)
		}
		if err != nil {
			fro.fail(rqc, cal, err)
			return
		}
	}
}

// stream delivers a stream. Its header goes out with the first event.
func (fro *front) stream(rqc *fasthttp.RequestCtx, cal *call, led *leg) {
	rel := newRelay(fro.fwd, cal, led, func(err error, events int) {
		fro.finish(cal, fasthttp.StatusOK, err, events)
	})
	err := rel.first()
	if err != nil {
		rel.finish = nil
		rel.leg.close()
		fro.fail(rqc, cal, err)
		return
	}
	fro.head(rqc, rel.leg)
	rqc.Response.SetBodyStream(rel, -1)
}

// head copies the server's status and headers.
func (fro *front) head(rqc *fasthttp.RequestCtx, led *leg) {
	rqc.SetStatusCode(led.body.Status())
	led.body.VisitHeaders(func(nam, val []byte) {
		switch string(nam) {
		case fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTransferEncoding, fasthttp.HeaderContentLength, fasthttp.HeaderTrailer:
		case fasthttp.HeaderContentType:
			rqc.Response.Header.SetContentTypeBytes(val)
		default:
			rqc.Response.Header.AddBytesKV(nam, val)
		}
	})
}

// Times after which a refused caller may come again.
const (
	// retryAfterMin and retryAfterMax spread the return of callers that found
	// no room: some hundred requests end at the groups within it.
	retryAfterMin = 200 * time.Millisecond
	retryAfterMax = 900 * time.Millisecond
	// retryElsewhere is for a node that stops or knows nothing yet: another
	// one takes the request at once.
	retryElsewhere = 50 * time.Millisecond
)

// fail answers a request that was accepted and has no answer of a server.
func (fro *front) fail(rqc *fasthttp.RequestCtx, cal *call, err error) {
	status := fasthttp.StatusBadGateway
	var ref *refusal
	switch {
	case errors.As(err, &ref):
		status = fasthttp.StatusServiceUnavailable
		after := retryAfterMin + rand.N(retryAfterMax-retryAfterMin)
		rqc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	case errors.Is(err, context.DeadlineExceeded) || core.CodeOf(err) == core.CodeDeadline:
		status = fasthttp.StatusGatewayTimeout
	}
	rqc.SetStatusCode(status)
	fro.echo(rqc, cal)
	fro.finish(cal, status, err, 0)
}

// reject answers a request that was not accepted.
func (fro *front) reject(rqc *fasthttp.RequestCtx, cal *call, err error) {
	status := fasthttp.StatusServiceUnavailable
	switch core.CodeOf(err) {
	case core.CodeNoService:
		status = fasthttp.StatusNotFound
	case core.CodeUnauthorized:
		status = fasthttp.StatusUnauthorized
	default:
		rqc.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(retryElsewhere.Seconds(), 'f', 2, 64))
	}
	rqc.SetStatusCode(status)
	fro.echo(rqc, cal)
	fro.met.result("rejected", status, 0)
	fro.log.WithFields(logrus.Fields{
		"event": "request_rejected", "request": cal.id, "status": status, "code": core.CodeOf(err), "error": err, "version": fro.version(),
	}).Info("request rejected")
}

// echo names the request in an answer of the node's own.
func (fro *front) echo(rqc *fasthttp.RequestCtx, cal *call) {
	if cal.id != "" {
		rqc.Response.Header.Set(platform.HeaderAttemptID, cal.id)
	}
}

func (fro *front) version() int64 {
	tab := fro.sta.table.Load()
	if tab == nil {
		return 0
	}
	return tab.Version()
}

// finish ends a call, once.
func (fro *front) finish(cal *call, status int, err error, events int) {
	fro.swe.remove(cal)
	cal.cancel(nil)
	took := time.Since(cal.begin)
	fro.met.result(cal.route.Kind.String(), status, took.Seconds())
	if cal.first > 0 {
		fro.met.first(cal.svc.Name, cal.first)
	}
	ent := fro.log.WithFields(logrus.Fields{
		"event": "request", "request": cal.id, "route": cal.route.Name, "kind": cal.route.Kind, "service": cal.svc.Name, "model": cal.model,
		"organisation": cal.org, "status": status, "code": core.CodeOf(err), "took": took, "sent": cal.sent.Load(), "tried": len(cal.tried),
		"first": cal.first, "gap": cal.gap, "events": events, "last_event": cal.lastEvent, "version": fro.version(),
	})
	if err != nil {
		ent = ent.WithField("error", err)
	}
	ent.Info("request ended")
}

// listen opens the callers' or readiness address.
func listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerProbe, Interval: callerProbe, Count: callerProbes}}
	return cfg.Listen(ctx, "tcp", addr)
}

// Probes on connections of callers, which find those that have gone silent.
const (
	callerProbe  = 5 * time.Second
	callerProbes = 2
)

// splitList splits the value of a header that is a list.
func splitList(val string) []string {
	var out []string
	for _, one := range strings.Split(val, ",") {
		if one = strings.TrimSpace(one); one != "" {
			out = append(out, one)
		}
	}
	return out
}
