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

// drive runs one flight.Machine: it performs the machine's actions and feeds
// it with what came of them. It has one owner.
type drive struct {
	srv     *Server
	job     core.Job
	snk     core.Sink
	pol     Policy
	mac     *flight.Machine
	print   uint64
	todo    []flight.Action
	permit  core.Permit
	plainVM core.VMName
	att     *attempt
	nowhere bool
	suspect bool
	away    bool
	broke   bool
	code    core.Code
	after   time.Duration
	detail  string
}

// newFlight returns the drive of a job. The job is forwarded if this zone has
// no backend server for it.
func (srv *Server) newFlight(job core.Job, snk core.Sink, pol Policy) *drive {
	lim := flight.Limits{
		MaxAttempts:  pol.MaxAttempts,
		Retry:        repeatOf(job),
		Deadline:     job.Deadline,
		StartPos:     job.StartPos,
		AllowForward: srv.cfg.Forwarder != nil && job.Hops == 0,
		Streaming:    job.Service == "",
	}
	return srv.newDrive(job, snk, pol, lim)
}

func (srv *Server) newDrive(job core.Job, snk core.Sink, pol Policy, lim flight.Limits) *drive {
	return &drive{
		srv:   srv,
		job:   job,
		snk:   snk,
		pol:   pol,
		mac:   flight.New(srv.newID(), lim),
		print: Print(job),
	}
}

// Print returns the fingerprint of the job's content, by which requests that
// crash backend servers are known.
func Print(job core.Job) uint64 {
	dig := xxhash.New()
	for _, str := range []string{string(job.Model), job.Adapter, job.Prompt, job.Service, job.Method, job.Path} {
		_, _ = dig.WriteString(str)
		_, _ = dig.Write([]byte{0})
	}
	_, _ = dig.Write(job.Body)
	return dig.Sum64()
}

// repeatOf tells when a job may be sent again. A call of a plain service by a
// method that is not idempotent (RFC 9110, section 9.2.2) is sent again only
// if it surely did not run.
func repeatOf(job core.Job) flight.RetryPolicy {
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

// run drives the request to its end.
func (drv *drive) run(ctx context.Context) error {
	if drv.job.AtMostOnce() {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, drv.job.Deadline)
	defer cancel()
	drv.step(flight.Event{Kind: flight.EventStart})
	for !drv.mac.Done() || len(drv.todo) > 0 {
		if len(drv.todo) == 0 {
			drv.step(drv.await(ctx))
			continue
		}
		act := drv.todo[0]
		drv.todo = drv.todo[1:]
		drv.perform(ctx, act)
	}
	drv.settle(drv.lastEnding())
	if drv.broke && drv.code != core.CodeOK && drv.srv.cfg.Share != nil {
		drv.srv.cfg.Share(context.WithoutCancel(ctx))
	}
	return fail(drv.code, drv.after, drv.detail)
}

func (drv *drive) lastEnding() ending {
	if drv.code == core.CodeOK {
		return endCompleted
	}
	return endStopped
}

// step feeds the machine. Parts are passed on at once, for the machine may
// give them while an action is being performed; other actions are queued.
func (drv *drive) step(ev flight.Event) {
	for _, act := range drv.mac.Step(ev, drv.srv.cfg.Now()) {
		if act.Kind == flight.ActionDeliver {
			drv.pass(act.Part)
			continue
		}
		drv.todo = append(drv.todo, act)
	}
}

func (drv *drive) pass(prt core.Part) {
	if drv.away {
		return
	}
	err := drv.snk.WritePart(prt)
	drv.away = err != nil
}

// await returns the next event of the attempt in progress.
func (drv *drive) await(ctx context.Context) flight.Event {
	if drv.away {
		drv.away = false
		drv.snk = deafSink{}
		return flight.Event{Kind: flight.EventCallerGone}
	}
	if drv.att == nil {
		panic("serve: nothing to wait for")
	}
	ev := drv.att.next()
	return drv.orEnded(ctx, ev)
}

// orEnded puts the end of the request's own context, if it caused a failure,
// before it. What surely did not run stays so.
func (drv *drive) orEnded(ctx context.Context, ev flight.Event) flight.Event {
	switch {
	case ctx.Err() == nil:
		return ev
	case ev.Kind == flight.EventNotRun:
		drv.step(ev)
		return endEvent(ctx)
	case ev.Kind == flight.EventFailed:
		drv.step(endEvent(ctx))
	}
	return ev
}

func endEvent(ctx context.Context) flight.Event {
	if ctx.Err() == context.DeadlineExceeded {
		return flight.Event{Kind: flight.EventDeadline}
	}
	return flight.Event{Kind: flight.EventCallerGone}
}

// perform does one action of the machine.
func (drv *drive) perform(ctx context.Context, act flight.Action) {
	switch act.Kind {
	case flight.ActionChoose:
		drv.chooseAndStep(ctx, act)
	case flight.ActionDispatch:
		drv.dispatch(ctx, act)
	case flight.ActionForward:
		drv.forward(ctx, act)
	case flight.ActionCancel:
		drv.cancel(ctx, act)
	case flight.ActionRequestRetry:
		drv.step(drv.retry())
	case flight.ActionBackoff:
		drv.step(drv.wait(ctx, act.After))
	case flight.ActionFinish:
		drv.code = act.Code
		drv.after = act.After
	}
}

func (drv *drive) retry() flight.Event {
	granted := false
	now := drv.srv.cfg.Now()
	drv.srv.use(func(boo *books) { granted = boo.budget.Take(now) })
	if !granted {
		return flight.Event{Kind: flight.EventRetryDenied}
	}
	return flight.Event{Kind: flight.EventRetryGranted, Rand: drv.srv.cfg.Rand()}
}

func (drv *drive) wait(ctx context.Context, dur time.Duration) flight.Event {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return flight.Event{Kind: flight.EventBackoffOver}
	case <-ctx.Done():
		return endEvent(ctx)
	}
}

// settle ends the bookkeeping of the attempt in progress, if there is one.
func (drv *drive) settle(how ending) {
	if drv.att == nil {
		return
	}
	drv.att.end(how)
	drv.att = nil
}

// deafSink takes the parts of an answer whose caller is gone.
type deafSink struct{}

var _ core.Sink = deafSink{}

// WritePart drops the part.
func (deafSink) WritePart(core.Part) error { return nil }
