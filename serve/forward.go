package serve

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// forward performs flight.ActionForward: it runs the rest of the job in another
// zone and checks the parts like those of an engine.
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
		// A request that must not be repeated continues without its caller; the
		// event below ends its attempt.
		ex.callerGone = false
		ex.sink = discardSink{}
		ex.step(flight.Event{Kind: flight.EventCallerGone})
	case err == nil:
		code = core.CodeCutAnswer
		ex.detail = "the forwarded response has no end"
	case code.NotRun() && !fs.gotPart:
		kind = flight.EventNotRun
	}
	ex.step(ex.orContextEnd(ctx, flight.Event{Kind: kind, Attempt: act.Attempt, Code: code, RetryAfter: core.RetryAfterOf(err)}))
}

// forwardSink passes the parts of a forwarded job to the machine.
type forwardSink struct {
	ex       *executor
	id       core.AttemptID
	gotPart  bool
	rejected bool
}

var _ core.Sink = (*forwardSink)(nil)

// WritePart passes one part to the machine. It returns an error if the response
// is rejected or the caller is gone. It ignores a part with an error code, since
// Forward returns that error.
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
		return core.Errorf(core.CodeCutAnswer, "the forwarded response is incomplete")
	}
	if fs.ex.callerGone {
		return core.Errorf(core.CodeCallerGone, "the caller is gone")
	}
	return nil
}
