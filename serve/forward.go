package serve

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// forward answers flight.ActionForward: it runs the rest of the job in another
// zone and checks the parts as if they came from an engine.
func (drv *drive) forward(ctx context.Context, act flight.Action) {
	job := drv.job
	job.Hops++
	job.StartPos = act.Pos
	fsk := &forwardSink{drv: drv, id: act.Attempt}
	err := drv.srv.cfg.Forwarder.Forward(ctx, job, fsk)
	if drv.mac.Done() || fsk.rejected {
		return
	}
	code := core.CodeOf(err)
	if err != nil {
		drv.detail = err.Error()
	}
	kind := flight.EventFailed
	switch {
	case drv.away:
		// A request that must not be repeated goes on without its caller: its
		// attempt ends with the event below.
		drv.away = false
		drv.snk = deafSink{}
		drv.step(flight.Event{Kind: flight.EventCallerGone})
	case err == nil:
		code = core.CodeCutAnswer
		drv.detail = "forwarded answer has no end"
	case code.NotRun() && !fsk.parts:
		kind = flight.EventNotRun
	}
	drv.step(drv.orEnded(ctx, flight.Event{Kind: kind, Attempt: act.Attempt, Code: code, RetryAfter: core.RetryAfterOf(err)}))
}

// forwardSink feeds the parts of a forwarded job to the machine.
type forwardSink struct {
	drv      *drive
	id       core.AttemptID
	parts    bool
	rejected bool
}

var _ core.Sink = (*forwardSink)(nil)

// WritePart takes one part. It returns an error once the answer is rejected or its
// caller is gone. A part with a failure's code is left to the error of the
// forwarding.
func (fsk *forwardSink) WritePart(prt core.Part) error {
	if prt.Code != core.CodeOK {
		return nil
	}
	fsk.parts = true
	ev := flight.Event{Kind: flight.EventChunk, Attempt: fsk.id, Pos: prt.Pos, Text: prt.Text}
	switch {
	case prt.Reply != nil:
		ev = flight.Event{Kind: flight.EventReply, Attempt: fsk.id, Reply: prt.Reply}
	case prt.End:
		ev = flight.Event{Kind: flight.EventEnd, Attempt: fsk.id, Tokens: prt.Tokens, FinishReason: prt.FinishReason}
	}
	fsk.drv.step(ev)
	if fsk.drv.mac.Done() {
		return nil
	}
	if len(fsk.drv.todo) > 0 {
		fsk.rejected = true
		return core.Errorf(core.CodeCutAnswer, "forwarded answer is not whole")
	}
	if fsk.drv.away {
		return core.Errorf(core.CodeCallerGone, "caller is gone")
	}
	return nil
}
