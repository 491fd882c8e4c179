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

// leg is an attempt whose response has begun.
type leg struct {
	srv  *site.Server
	body *wire.Body
	done context.CancelCauseFunc
	fwd  *forwarder
	cal  *call
	shut bool
	// begun tells that the server has begun to run the request.
	begun bool
}

// event notes an event and the time since the one before it. The first one of
// an attempt tells that the server runs the request.
func (leg *leg) event(gap time.Duration) {
	leg.fwd.lod.with(func(boo *share.Balancer) {
		if !leg.begun {
			boo.RequestStarted(leg.srv.ID, leg.cal.prompt)
		} else if gap > 0 {
			boo.RecordEventGap(leg.srv.ID, leg.cal.model, gap)
		}
	})
	leg.begun = true
}

// close ends the attempt. The connection is kept if the response was read to
// its end.
func (leg *leg) close() {
	if leg.shut {
		return
	}
	leg.shut = true
	_ = leg.body.Close()
	leg.done(nil)
	leg.cal.stop.Store(nil)
	waiting := leg.cal.prompt
	if leg.begun {
		waiting = 0
	}
	leg.fwd.end(leg.srv.ID, waiting)
}

// forwarder sends requests to backend servers.
type forwarder struct {
	sta *state
	poo *wire.Pools
	log *logrus.Logger
	met *meter
	lod *loads
}

// begin and end count a request at a server, with its prompt tokens while it
// waits there.
func (fwd *forwarder) begin(id string, prompt int, now time.Time) {
	fwd.lod.with(func(boo *share.Balancer) { boo.RequestSent(id, prompt, now) })
}

func (fwd *forwarder) end(id string, waiting int) {
	fwd.lod.with(func(boo *share.Balancer) { boo.RequestEnded(id, waiting) })
}

// advanced notes that the server of a call sent something.
func (fwd *forwarder) advanced(cal *call, id string) {
	now := time.Now()
	cal.touch(now)
	fwd.lod.with(func(boo *share.Balancer) { boo.RecordProgress(id, now) })
}

// maxTries bounds the servers that are asked for one request, refusals
// included.
const maxTries = 4

// open sends the request until a server answers it. The error tells why it
// ended; notRun in it is true only if the request surely did not run.
func (fwd *forwarder) open(cal *call) (*leg, error) {
	for {
		srv, err := fwd.choose(cal)
		if err != nil {
			return nil, err
		}
		out, led, err := fwd.try(cal, srv)
		fwd.met.attempt(cal.svc.Name, out)
		if out == outcomeAnswered {
			return led, nil
		}
		err = fwd.again(cal, srv, out, err)
		if err != nil {
			return nil, err
		}
	}
}

// again decides whether a request whose attempt failed is sent once more. It
// returns nil if so.
func (fwd *forwarder) again(cal *call, srv *site.Server, out outcome, cause error) error {
	cal.tried = append(cal.tried, srv.ID)
	if out == outcomeUnknown {
		cal.sent.Add(1)
	}
	now := time.Now()
	why := ""
	switch {
	case cal.ctx.Err() != nil:
		why = "the call ended"
		cause = context.Cause(cal.ctx)
	case out == outcomeUnknown && int(cal.sent.Load()) >= cal.attempts():
		why = "no attempts left"
	case len(cal.tried) >= maxTries:
		why = "too many tries"
	case core.CodeOf(cause) == core.CodeDialFailed:
	case !fwd.lod.repeat(cal.svc.Name, now):
		why = "retry budget spent"
	}
	fwd.log.WithFields(logrus.Fields{
		"event": "attempt_failed", "request": cal.id, "server": srv.ID, "outcome": out, "error": cause,
		"sent": cal.sent.Load(), "tried": len(cal.tried), "left": cal.left(now), "again": why == "", "reason": why,
	}).Info("attempt failed")
	if why == "" {
		return nil
	}
	if cal.sent.Load() == 0 {
		return &refusal{cause: cause, why: why}
	}
	return cause
}

// another reports whether a request that a server answered with a failure is
// sent to one more server, and counts that.
func (fwd *forwarder) another(cal *call, srv *site.Server) bool {
	if cal.route.Kind != site.KindIdempotent || int(cal.sent.Load())+1 >= cal.attempts() || !fwd.lod.repeat(cal.svc.Name, time.Now()) {
		return false
	}
	cal.sent.Add(1)
	cal.tried = append(cal.tried, srv.ID)
	fwd.log.WithFields(logrus.Fields{"event": "attempt_failed", "request": cal.id, "server": srv.ID, "outcome": outcomeAnswered, "again": true}).Info("server answered with a failure; another one is asked")
	return true
}

// refusal is an error of a request that surely did not run.
type refusal struct {
	cause error
	why   string
}

func (ref *refusal) Error() string { return "not run: " + ref.why + ": " + ref.cause.Error() }
func (ref *refusal) Unwrap() error { return ref.cause }

// try sends the request to one server and reads the header of its response.
func (fwd *forwarder) try(cal *call, srv *site.Server) (outcome, *leg, error) {
	now := time.Now()
	left := cal.left(now)
	if left <= 0 {
		return outcomeNotRun, nil, errDeadline
	}
	req := cal.req
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(max(1, left.Milliseconds()), 10))
	req.Header.Set(platform.HeaderExpectInstance, srv.ID)
	if cal.lastEvent != "" {
		req.Header.Set(platform.HeaderLastEventID, cal.lastEvent)
	}
	ctx, done := context.WithCancelCause(cal.ctx)
	cal.server.Store(srv)
	cal.touch(now)
	cal.stop.Store(&done)
	fwd.begin(srv.ID, cal.prompt, now)
	bod, err := fwd.poo.Get(srv.Addr).Open(ctx, wire.Exchange{
		Req: req, IOTimeout: left + deadlineSlack, AllowCloseDelimited: true, EchoHeader: platform.HeaderAttemptID, EchoValue: cal.id,
	})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil && core.CodeOf(err) != core.CodeDialFailed {
			err = cause
		}
		done(nil)
		cal.stop.Store(nil)
		fwd.end(srv.ID, cal.prompt)
		return fwd.failed(cal, srv, err), nil, err
	}
	led := &leg{srv: srv, body: bod, done: done, fwd: fwd, cal: cal}
	out, err := fwd.judge(cal, led)
	if out != outcomeAnswered {
		led.body.AwaitEOF()
		led.close()
	}
	return out, led, err
}

// deadlineSlack is added to the time until the deadline, so that the deadline
// ends an attempt and not the silence bound.
const deadlineSlack = 200 * time.Millisecond

// failed judges an attempt without a response and notes its server.
func (fwd *forwarder) failed(cal *call, srv *site.Server, err error) outcome {
	code := core.CodeOf(err)
	if code != core.CodeCallerGone && !errors.Is(err, context.Canceled) && !errors.Is(err, context.DeadlineExceeded) {
		fwd.lod.with(func(boo *share.Balancer) { boo.RecordFailure(srv.ID, time.Now()) })
	}
	if code == core.CodeDialFailed {
		return outcomeNotRun
	}
	return outcomeUnknown
}

// judge decides what the header of a response says of the attempt.
func (fwd *forwarder) judge(cal *call, led *leg) (outcome, error) {
	bod := led.body
	status := bod.Status()
	if len(bod.Header(platform.HeaderNotExecuted)) > 0 || status == fasthttp.StatusMisdirectedRequest {
		fwd.blame(led)
		return outcomeNotRun, core.Errorf(core.CodeRefused, "status %d of %s", status, led.srv.ID)
	}
	foreign := status < 300 && len(bod.Header(platform.HeaderAttemptID)) == 0
	if foreign || len(bod.Header(fasthttp.HeaderContentEncoding)) > 0 {
		bod.Abort()
		return outcomeUnknown, core.Errorf(core.CodeCrossedAnswer, "response of %s is not to this request", led.srv.ID)
	}
	if status < fasthttp.StatusInternalServerError {
		fwd.advanced(cal, led.srv.ID)
	}
	return outcomeAnswered, nil
}

// blame notes a server that refused, or the one that it names as the cause.
func (fwd *forwarder) blame(led *leg) {
	id := led.srv.ID
	if nam := led.body.Header(platform.HeaderFaultServer); len(nam) > 0 {
		fwd.log.WithFields(logrus.Fields{"event": "server_blamed", "request": led.cal.id, "server": string(nam), "by": id}).Warn("a server names another one as the cause of its refusal")
	}
	fwd.lod.with(func(boo *share.Balancer) { boo.RecordFailure(id, time.Now()) })
}
