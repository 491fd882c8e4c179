package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// call sends a call to the chosen server of a plain service. The silence timeout
// applies only to a call that may be retried; any other waits for its reply
// until the deadline.
func (ex *executor) call(ctx context.Context, act flight.Action) flight.Event {
	job := ex.job
	server, err := ex.srv.cfg.Backends.Plain(ex.plainServer)
	if err != nil {
		ex.detail = err.Error()
		return flight.Event{Kind: flight.EventNotRun, Attempt: act.Attempt, Code: core.CodeDialFailed}
	}
	reply, err := server.Call(ctx, core.Call{
		Attempt: act.Attempt,
		Method:  job.Method,
		Path:    job.Path,
		Type:    job.Type,
		Body:    job.Body,
		Timeout: ex.callTimeout(),
	})
	if err == nil && reply.Attempt != act.Attempt {
		err = core.Errorf(core.CodeCrossedAnswer, "reply has attempt ID %q instead of %q", reply.Attempt, act.Attempt)
	}
	if err == nil {
		return flight.Event{Kind: flight.EventReply, Attempt: act.Attempt, Reply: &reply}
	}
	ex.detail = err.Error()
	code := core.CodeOf(err)
	kind := flight.EventFailed
	if code.NotRun() {
		kind = flight.EventNotRun
	}
	return flight.Event{Kind: kind, Attempt: act.Attempt, Code: code}
}

func (ex *executor) callTimeout() time.Duration {
	left := ex.job.Deadline.Sub(ex.srv.cfg.Now())
	if retryPolicy(ex.job) == flight.RetryAlways && ex.policy.SilenceTimeout > 0 {
		return min(left, ex.policy.SilenceTimeout)
	}
	return left
}
