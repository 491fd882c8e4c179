package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/flight"
)

// headFactor is the number of silence bounds for which the head of an answer
// is waited for: an engine may queue the request and has to read the prompt.
const headFactor = 4

// attempt is one request at one group. It has one owner, except for its
// context, which the loss of the group and the silence bound may end.
type attempt struct {
	drv    *drive
	id     core.AttemptID
	permit core.Permit
	stm    core.Stream
	base   context.Context
	ctx    context.Context
	cancel context.CancelCauseFunc
	silent *time.Timer
}

// dispatch answers flight.ActionDispatch. The permit was taken right before.
func (drv *drive) dispatch(ctx context.Context, act flight.Action) {
	if drv.job.Service != "" {
		drv.step(drv.orEnded(ctx, drv.call(ctx, act)))
		return
	}
	att := &attempt{drv: drv, id: act.Attempt, permit: drv.permit, base: ctx}
	drv.att = att
	att.ctx, att.cancel = context.WithCancelCause(ctx)
	drv.srv.use(func(boo *books) { boo.addCut(act.Group, act.Attempt, att.cancel) })
	att.watch()
	err := att.send(act)
	if err == nil {
		return
	}
	ev := att.failed(err)
	drv.step(drv.orEnded(ctx, ev))
}

// watch starts the watch on silence.
func (att *attempt) watch() {
	bound := att.drv.pol.Silence
	if bound <= 0 {
		return
	}
	cancel := att.cancel
	att.silent = time.AfterFunc(headFactor*bound, func() {
		cancel(core.Errorf(core.CodeSilent, "nothing came for %v", bound))
	})
}

func (att *attempt) send(act flight.Action) error {
	job := att.drv.job
	eng, err := att.drv.srv.cfg.Backends.Engine(att.permit.Leader)
	if err != nil {
		return core.Errorf(core.CodeDialFailed, "no client of %s: %v", att.permit.Leader, err)
	}
	att.stm, err = eng.Generate(att.ctx, core.GenerateRequest{
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

// next returns the event that the next chunk stands for.
func (att *attempt) next() flight.Event {
	chk, err := att.stm.Next(att.ctx)
	if err != nil {
		return att.failed(err)
	}
	if att.silent != nil {
		att.silent.Reset(att.drv.pol.Silence)
	}
	switch {
	case chk.Attempt != att.id:
		return att.failed(core.Errorf(core.CodeCrossedAnswer, "answer echoes attempt %q instead of %q", chk.Attempt, att.id))
	case chk.Head:
		return att.verify(chk)
	case chk.End:
		return flight.Event{Kind: flight.EventEnd, Attempt: att.id, Tokens: chk.Tokens, FinishReason: chk.FinishReason}
	}
	att.progress()
	return flight.Event{Kind: flight.EventChunk, Attempt: att.id, Pos: chk.Pos, Text: chk.Text}
}

// progress lets other suspects onto the group once a suspect brought a token:
// it is behind the point at which it broke.
func (att *attempt) progress() {
	if !att.drv.suspect {
		return
	}
	att.drv.suspect = false
	att.drv.srv.use(func(boo *books) {
		boo.suspects.Progressed(att.drv.print, att.permit.Group)
		boo.changed()
	})
}

// verify holds the head against the permit before any part is passed on.
func (att *attempt) verify(chk core.Chunk) flight.Event {
	err := att.drv.srv.cfg.Gate.Verify(att.permit, chk)
	if err != nil {
		return att.failed(err)
	}
	return flight.Event{Kind: flight.EventHead, Attempt: att.id}
}

// failed returns the event for an error, and settles the attempt.
func (att *attempt) failed(err error) flight.Event {
	code := core.CodeOf(err)
	if cause := context.Cause(att.ctx); cause != nil && !code.NotRun() && core.CodeOf(cause) == core.CodeSilent {
		code = core.CodeSilent
	}
	att.drv.detail = err.Error()
	kind := flight.EventFailed
	how := endStopped
	switch {
	case code.NotRun():
		kind = flight.EventNotRun
	case att.base.Err() != nil:
	case code == core.CodeCrossedAnswer:
	case code == core.CodeSilent:
		how = endSilent
	default:
		how = endBroken
		att.drv.broke = true
	}
	att.drv.settle(how)
	return flight.Event{Kind: kind, Attempt: att.id, Code: code}
}

// end closes the stream and takes the attempt out of the books.
func (att *attempt) end(how ending) {
	if att.silent != nil {
		att.silent.Stop()
	}
	if att.stm != nil {
		_ = att.stm.Close()
	}
	att.cancel(nil)
	grp := att.permit.Group
	now := att.drv.srv.cfg.Now()
	att.drv.srv.use(func(boo *books) {
		boo.dropCut(grp, att.id)
		boo.release(att.drv.print, grp, how, now)
	})
}

// cancel answers flight.ActionCancel: it gives up the attempt, and tells the
// engine, which may not notice the closed connection at once.
func (drv *drive) cancel(ctx context.Context, act flight.Action) {
	drv.settle(endStopped)
	if drv.job.Service != "" || act.Group == "" {
		return
	}
	eng, err := drv.srv.cfg.Backends.Engine(drv.permit.Leader)
	if err != nil {
		return
	}
	drv.srv.use(func(boo *books) { boo.jobs++ })
	go func() {
		defer drv.srv.use(func(boo *books) { boo.jobDone() })
		cctx, stop := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
		defer stop()
		_ = eng.Cancel(cctx, act.Attempt)
	}()
}
