package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// call sends a call to the chosen server of a plain service. Only a call that
// may be repeated is given up after the silence bound: for another one, the
// reply is worth waiting for until the deadline.
func (drv *drive) call(ctx context.Context, act flight.Action) flight.Event {
	job := drv.job
	pla, err := drv.srv.cfg.Backends.Plain(drv.plainVM)
	if err != nil {
		drv.detail = err.Error()
		return flight.Event{Kind: flight.EventNotRun, Attempt: act.Attempt, Code: core.CodeDialFailed}
	}
	rep, err := pla.Call(ctx, core.Call{
		Attempt: act.Attempt,
		Method:  job.Method,
		Path:    job.Path,
		Type:    job.Type,
		Body:    job.Body,
		Timeout: drv.callTimeout(),
	})
	if err == nil && rep.Attempt != act.Attempt {
		err = core.Errorf(core.CodeCrossedAnswer, "reply echoes attempt %q instead of %q", rep.Attempt, act.Attempt)
	}
	if err == nil {
		return flight.Event{Kind: flight.EventReply, Attempt: act.Attempt, Reply: &rep}
	}
	drv.detail = err.Error()
	code := core.CodeOf(err)
	kind := flight.EventFailed
	if code.NotRun() {
		kind = flight.EventNotRun
	}
	return flight.Event{Kind: kind, Attempt: act.Attempt, Code: code}
}

func (drv *drive) callTimeout() time.Duration {
	left := drv.job.Deadline.Sub(drv.srv.cfg.Now())
	if repeatOf(drv.job) == flight.RetryAlways && drv.pol.Silence > 0 {
		return min(left, drv.pol.Silence)
	}
	return left
}
