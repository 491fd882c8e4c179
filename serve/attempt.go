package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// headTimeoutFactor multiplies the silence timeout for the head of a response:
// the engine may queue the request and has to process the prompt first.
const headTimeoutFactor = 4

// attempt is one dispatch of a request to a group. It is not safe for concurrent
// use, except that the loss of the group or the silence timer may cancel its
// context.
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

// dispatch performs flight.ActionDispatch. The permit was obtained immediately
// before.
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

// startSilenceTimer starts the timer that cancels the attempt if no chunk
// arrives in time.
func (att *attempt) startSilenceTimer() {
	timeout := att.ex.policy.SilenceTimeout
	if timeout <= 0 {
		return
	}
	cancel := att.cancel
	att.silenceTimer = time.AfterFunc(headTimeoutFactor*timeout, func() {
		cancel(core.Errorf(core.CodeSilent, "no chunk arrived within the silence timeout of %v", timeout))
	})
}

func (att *attempt) send(act flight.Action) error {
	job := att.ex.job
	eng, err := att.ex.srv.cfg.Backends.Engine(att.permit.Leader)
	if err != nil {
		return core.Errorf(core.CodeDialFailed, "no client for engine %s: %v", att.permit.Leader, err)
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

// nextEvent receives the next chunk and returns its event.
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
		return att.fail(core.Errorf(core.CodeCrossedAnswer, "response has attempt ID %q instead of %q", chunk.Attempt, att.id))
	case chunk.Head:
		return att.verify(chunk)
	case chunk.End:
		return flight.Event{Kind: flight.EventEnd, Attempt: att.id, Tokens: chunk.Tokens, FinishReason: chunk.FinishReason}
	}
	att.recordProgress()
	return flight.Event{Kind: flight.EventChunk, Attempt: att.id, Pos: chunk.Pos, Text: chunk.Text}
}

// recordProgress allows other suspects on the group once a suspect has generated
// a token, since it has then passed the point where it failed before.
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

// verify checks the head against the permit before any part is delivered.
func (att *attempt) verify(chunk core.Chunk) flight.Event {
	err := att.ex.srv.cfg.Gate.Verify(att.permit, chunk)
	if err != nil {
		return att.fail(err)
	}
	return flight.Event{Kind: flight.EventHead, Attempt: att.id}
}

// fail ends the attempt and returns the event for the error.
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

// end closes the stream and removes the attempt from the node's state.
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

// cancelAttempt performs flight.ActionCancel. Besides closing the connection, it
// sends a cancellation to the engine, which may detect a closed connection late.
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
