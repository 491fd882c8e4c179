package serve

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// forward answers flight.ActionForward: it runs the rest of the job in another
// zone and checks the parts as if they came from an engine.
func (ex *executor) forward(ctx context.Context, act flight.Action) {
	job := ex.job
	job.Hops++
	job.StartPos = act.Pos
	fs := &forwardSink{ex: ex, id: act.Attempt}
	err := ex.srv.cfg.Forwarder.Forward(ctx, job, fs)
	if ex.machine.Done() || fs.rejected {
		return
	}
	code := core.CodeOf(err)
	if err != nil {
		ex.detail = err.Error()
	}
	kind := flight.EventFailed
	switch {
	case ex.callerGone:
		// A request that must not be repeated goes on without its caller: its
		// attempt ends with the event below.
		ex.callerGone = false
		ex.sink = discardSink{}
		ex.step(flight.Event{Kind: flight.EventCallerGone})
	case err == nil:
		code = core.CodeCutAnswer
		ex.detail = "forwarded answer has no end"
	case code.NotRun() && !fs.gotPart:
		kind = flight.EventNotRun
	}
	ex.step(ex.orContextEnd(ctx, flight.Event{Kind: kind, Attempt: act.Attempt, Code: code, RetryAfter: core.RetryAfterOf(err)}))
}

// forwardSink feeds the parts of a forwarded job to the machine.
type forwardSink struct {
	ex       *executor
	id       core.AttemptID
	gotPart  bool
	rejected bool
}

var _ core.Sink = (*forwardSink)(nil)

// WritePart takes one part. It returns an error once the answer is rejected or its
// caller is gone. A part with a failure's code is left to the error of the
// forwarding.
func (fs *forwardSink) WritePart(part core.Part) error {
	if part.Code != core.CodeOK {
		return nil
	}
	fs.gotPart = true
	ev := flight.Event{Kind: flight.EventChunk, Attempt: fs.id, Pos: part.Pos, Text: part.Text}
	switch {
	case part.Reply != nil:
		ev = flight.Event{Kind: flight.EventReply, Attempt: fs.id, Reply: part.Reply}
	case part.End:
		ev = flight.Event{Kind: flight.EventEnd, Attempt: fs.id, Tokens: part.Tokens, FinishReason: part.FinishReason}
	}
	fs.ex.step(ev)
	if fs.ex.machine.Done() {
		return nil
	}
	if len(fs.ex.pending) > 0 {
		fs.rejected = true
		return core.Errorf(core.CodeCutAnswer, "forwarded answer is not whole")
	}
	if fs.ex.callerGone {
		return core.Errorf(core.CodeCallerGone, "caller is gone")
	}
	return nil
}
