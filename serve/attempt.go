package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// headTimeoutFactor is the number of silence bounds for which the head of an answer
// is waited for: an engine may queue the request and has to read the prompt.
const headTimeoutFactor = 4

// attempt is one request at one group. It has one owner, except for its
// context, which the loss of the group and the silence bound may end.
type attempt struct {
	ex           *executor
	id           core.AttemptID
	permit       core.Permit
	stream       core.Stream
	requestCtx   context.Context
	ctx          context.Context
	cancel       context.CancelCauseFunc
	silenceTimer *time.Timer
}

// dispatch answers flight.ActionDispatch. The permit was taken right before.
func (ex *executor) dispatch(ctx context.Context, act flight.Action) {
	if ex.job.Service != "" {
		ex.step(ex.orContextEnd(ctx, ex.call(ctx, act)))
		return
	}
	att := &attempt{ex: ex, id: act.Attempt, permit: ex.permit, requestCtx: ctx}
	ex.attempt = att
	att.ctx, att.cancel = context.WithCancelCause(ctx)
	ex.srv.withState(func(st *nodeState) { st.addCancel(act.Group, act.Attempt, att.cancel) })
	att.startSilenceTimer()
	err := att.send(act)
	if err == nil {
		return
	}
	ev := att.fail(err)
	ex.step(ex.orContextEnd(ctx, ev))
}

// startSilenceTimer starts the watch on silence.
func (att *attempt) startSilenceTimer() {
	timeout := att.ex.policy.SilenceTimeout
	if timeout <= 0 {
		return
	}
	cancel := att.cancel
	att.silenceTimer = time.AfterFunc(headTimeoutFactor*timeout, func() {
		cancel(core.Errorf(core.CodeSilent, "nothing came for %v", timeout))
	})
}

func (att *attempt) send(act flight.Action) error {
	job := att.ex.job
	eng, err := att.ex.srv.cfg.Backends.Engine(att.permit.Leader)
	if err != nil {
		return core.Errorf(core.CodeDialFailed, "no client of %s: %v", att.permit.Leader, err)
	}
	att.stream, err = eng.Generate(att.ctx, core.GenerateRequest{
		Attempt:      act.Attempt,
		Request:      job.ID,
		Group:        act.Group,
		FencingToken: att.permit.FencingToken,
		Adapter:      job.Adapter,
		Prompt:       job.Prompt,
		MaxTokens:    job.MaxTokens,
		StartPos:     act.Pos,
		Priority:     job.Priority,
	})
	return err
}

// nextEvent returns the event that the next chunk stands for.
func (att *attempt) nextEvent() flight.Event {
	chunk, err := att.stream.Next(att.ctx)
	if err != nil {
		return att.fail(err)
	}
	if att.silenceTimer != nil {
		att.silenceTimer.Reset(att.ex.policy.SilenceTimeout)
	}
	switch {
	case chunk.Attempt != att.id:
		return att.fail(core.Errorf(core.CodeCrossedAnswer, "answer echoes attempt %q instead of %q", chunk.Attempt, att.id))
	case chunk.Head:
		return att.verify(chunk)
	case chunk.End:
		return flight.Event{Kind: flight.EventEnd, Attempt: att.id, Tokens: chunk.Tokens, FinishReason: chunk.FinishReason}
	}
	att.recordProgress()
	return flight.Event{Kind: flight.EventChunk, Attempt: att.id, Pos: chunk.Pos, Text: chunk.Text}
}

// recordProgress lets other suspects onto the group once a suspect brought a token:
// it is behind the point at which it broke.
func (att *attempt) recordProgress() {
	if !att.ex.suspect {
		return
	}
	att.ex.suspect = false
	att.ex.srv.withState(func(st *nodeState) {
		st.suspects.Progressed(att.ex.fingerprint, att.permit.Group)
		st.notifyChange()
	})
}

// verify holds the head against the permit before any part is passed on.
func (att *attempt) verify(chunk core.Chunk) flight.Event {
	err := att.ex.srv.cfg.Gate.Verify(att.permit, chunk)
	if err != nil {
		return att.fail(err)
	}
	return flight.Event{Kind: flight.EventHead, Attempt: att.id}
}

// fail returns the event for an error, and settles the attempt.
func (att *attempt) fail(err error) flight.Event {
	code := core.CodeOf(err)
	if cause := context.Cause(att.ctx); cause != nil && !code.NotRun() && core.CodeOf(cause) == core.CodeSilent {
		code = core.CodeSilent
	}
	att.ex.detail = err.Error()
	kind := flight.EventFailed
	ending := endStopped
	switch {
	case code.NotRun():
		kind = flight.EventNotRun
	case att.requestCtx.Err() != nil:
	case code == core.CodeCrossedAnswer:
	case code == core.CodeSilent:
		ending = endSilent
	default:
		ending = endBroken
		att.ex.connBroken = true
	}
	att.ex.endAttempt(ending)
	return flight.Event{Kind: kind, Attempt: att.id, Code: code}
}

// end closes the stream and takes the attempt out of the books.
func (att *attempt) end(ending attemptEnd) {
	if att.silenceTimer != nil {
		att.silenceTimer.Stop()
	}
	if att.stream != nil {
		_ = att.stream.Close()
	}
	att.cancel(nil)
	grp := att.permit.Group
	now := att.ex.srv.cfg.Now()
	att.ex.srv.withState(func(st *nodeState) {
		st.removeCancel(grp, att.id)
		st.releaseGroup(att.ex.fingerprint, grp, ending, now)
	})
}

// cancelAttempt answers flight.ActionCancel: it gives up the attempt, and tells the
// engine, which may not notice the closed connection at once.
func (ex *executor) cancelAttempt(ctx context.Context, act flight.Action) {
	ex.endAttempt(endStopped)
	if ex.job.Service != "" || act.Group == "" {
		return
	}
	eng, err := ex.srv.cfg.Backends.Engine(ex.permit.Leader)
	if err != nil {
		return
	}
	ex.srv.withState(func(st *nodeState) { st.runningJobs++ })
	go func() {
		defer ex.srv.withState(func(st *nodeState) { st.jobDone() })
		cancelCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		_ = eng.Cancel(cancelCtx, act.Attempt)
	}()
}
