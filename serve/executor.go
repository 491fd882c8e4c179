package serve

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

const cancelTimeout = 2 * time.Second

// executor runs one request: it performs the actions of a flight.Machine and
// passes it the resulting events. It is not safe for concurrent use.
type executor struct {
	srv         *Server
	job         core.Job
	sink        core.Sink
	policy      Policy
	machine     *flight.Machine
	fingerprint uint64
	pending     []flight.Action
	permit      core.Permit
	plainServer core.VMName
	attempt     *attempt
	forwardOnly bool
	suspect     bool
	callerGone  bool
	connBroken  bool
	code        core.Code
	retryAfter  time.Duration
	detail      string
}

// newExecutor returns the executor of a job. The job may be forwarded if this
// zone has no backend server for it.
func (srv *Server) newExecutor(job core.Job, sink core.Sink, policy Policy) *executor {
	lim := flight.Limits{
		MaxAttempts:  policy.MaxAttempts,
		Retry:        retryPolicy(job),
		Deadline:     job.Deadline,
		StartPos:     job.StartPos,
		AllowForward: srv.cfg.Forwarder != nil && job.Hops == 0,
		Streaming:    job.Service == "",
	}
	return srv.newLimitedExecutor(job, sink, policy, lim)
}

func (srv *Server) newLimitedExecutor(job core.Job, sink core.Sink, policy Policy, lim flight.Limits) *executor {
	return &executor{
		srv:         srv,
		job:         job,
		sink:        sink,
		policy:      policy,
		machine:     flight.New(srv.newID(), lim),
		fingerprint: Fingerprint(job),
	}
}

// Fingerprint returns a hash of the job's content, which identifies requests that
// crash backend servers.
func Fingerprint(job core.Job) uint64 {
	hash := xxhash.New()
	for _, field := range []string{string(job.Model), job.Adapter, job.Prompt, job.Service, job.Method, job.Path} {
		_, _ = hash.WriteString(field)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(job.Body)
	return hash.Sum64()
}

// retryPolicy returns when a job may be retried. A call to a plain service with a
// method that is not idempotent (RFC 9110, section 9.2.2) is retried only if it
// certainly did not run.
func retryPolicy(job core.Job) flight.RetryPolicy {
	if job.AtMostOnce() {
		return flight.RetryNever
	}
	if job.Service == "" {
		return flight.RetryAlways
	}
	switch job.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return flight.RetryAlways
	}
	return flight.RetryIfNotRun
}

// run executes the request to its end.
func (ex *executor) run(ctx context.Context) error {
	if ex.job.AtMostOnce() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, ex.job.Deadline)
	defer cancel()
	ex.step(flight.Event{Kind: flight.EventStart})
	for !ex.machine.Done() || len(ex.pending) > 0 {
		if len(ex.pending) == 0 {
			ex.step(ex.nextEvent(ctx))
			continue
		}
		act := ex.pending[0]
		ex.pending = ex.pending[1:]
		ex.perform(ctx, act)
	}
	ex.endAttempt(ex.finalEnd())
	if ex.connBroken && ex.code != core.CodeOK && ex.srv.cfg.ShareSuspects != nil {
		ex.srv.cfg.ShareSuspects(context.WithoutCancel(ctx))
	}
	return resultError(ex.code, ex.retryAfter, ex.detail)
}

func (ex *executor) finalEnd() attemptEnd {
	if ex.code == core.CodeOK {
		return endCompleted
	}
	return endStopped
}

// step passes an event to the machine. Parts are delivered immediately, because
// the machine may emit them while another action is performed; other actions
// are queued.
func (ex *executor) step(ev flight.Event) {
	for _, act := range ex.machine.Step(ev, ex.srv.cfg.Now()) {
		if act.Kind == flight.ActionDeliver {
			ex.deliver(act.Part)
			continue
		}
		ex.pending = append(ex.pending, act)
	}
}

func (ex *executor) deliver(part core.Part) {
	if ex.callerGone {
		return
	}
	err := ex.sink.WritePart(part)
	ex.callerGone = err != nil
}

// nextEvent returns the next event of the current attempt.
func (ex *executor) nextEvent(ctx context.Context) flight.Event {
	if ex.callerGone {
		ex.callerGone = false
		ex.sink = discardSink{}
		return flight.Event{Kind: flight.EventCallerGone}
	}
	if ex.attempt == nil {
		panic("serve: no attempt in progress")
	}
	ev := ex.attempt.nextEvent()
	return ex.orContextEnd(ctx, ev)
}

// orContextEnd returns ev, unless the request's context has ended. Then a failure
// is preceded by the event for the context's end; a result "not run" stays
// valid, and that event follows it.
func (ex *executor) orContextEnd(ctx context.Context, ev flight.Event) flight.Event {
	switch {
	case ctx.Err() == nil:
		return ev
	case ev.Kind == flight.EventNotRun:
		ex.step(ev)
		return contextEndEvent(ctx)
	case ev.Kind == flight.EventFailed:
		ex.step(contextEndEvent(ctx))
	}
	return ev
}

func contextEndEvent(ctx context.Context) flight.Event {
	if ctx.Err() == context.DeadlineExceeded {
		return flight.Event{Kind: flight.EventDeadline}
	}
	return flight.Event{Kind: flight.EventCallerGone}
}

// perform performs one action of the machine.
func (ex *executor) perform(ctx context.Context, act flight.Action) {
	switch act.Kind {
	case flight.ActionChoose:
		ex.handleChoose(ctx, act)
	case flight.ActionDispatch:
		ex.dispatch(ctx, act)
	case flight.ActionForward:
		ex.forward(ctx, act)
	case flight.ActionCancel:
		ex.cancelAttempt(ctx, act)
	case flight.ActionRequestRetry:
		ex.step(ex.requestRetry())
	case flight.ActionBackoff:
		ex.step(ex.backOff(ctx, act.After))
	case flight.ActionFinish:
		ex.code = act.Code
		ex.retryAfter = act.After
	}
}

func (ex *executor) requestRetry() flight.Event {
	granted := false
	now := ex.srv.cfg.Now()
	ex.srv.withState(func(st *nodeState) { granted = st.retryBudget.Take(now) })
	if !granted {
		return flight.Event{Kind: flight.EventRetryDenied}
	}
	return flight.Event{Kind: flight.EventRetryGranted, Rand: ex.srv.cfg.Rand()}
}

func (ex *executor) backOff(ctx context.Context, dur time.Duration) flight.Event {
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-timer.C:
		return flight.Event{Kind: flight.EventBackoffOver}
	case <-ctx.Done():
		return contextEndEvent(ctx)
	}
}

// endAttempt ends the current attempt, if there is one.
func (ex *executor) endAttempt(ending attemptEnd) {
	if ex.attempt == nil {
		return
	}
	ex.attempt.end(ending)
	ex.attempt = nil
}

// discardSink replaces the sink of a caller that is gone.
type discardSink struct{}

var _ core.Sink = discardSink{}

// WritePart discards the part.
func (discardSink) WritePart(core.Part) error { return nil }
