package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/once"
	"kumquathinge/core/recd"
)

// resolve proposes the record in the background until the log took it. The
// claim counts as live meanwhile, and Drain waits.
func (sgl *single) resolve(ctx context.Context, rec recd.Record) {
	sgl.background(ctx, resolveBound, func(bctx context.Context) { _ = sgl.propose(bctx, rec) })
}

// background runs fun beside the job's caller, for the time bound at most. The
// claim is live until it returns.
func (sgl *single) background(ctx context.Context, bound time.Duration, fun func(ctx context.Context)) {
	sgl.kept = true
	sgl.srv.use(func(boo *books) { boo.jobs++ })
	go func() {
		defer sgl.srv.use(func(boo *books) {
			delete(boo.live, sgl.record)
			boo.jobDone()
		})
		bctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), bound)
		defer cancel()
		fun(bctx)
	}()
}

// propose appends the record until the fold gave its verdict on it.
func (sgl *single) propose(ctx context.Context, rec recd.Record) error {
	rec.ID = core.RecordID(sgl.srv.newID())
	rec.By = string(sgl.srv.cfg.Node)
	wait := resolveWaitMin
	for {
		_, err := sgl.srv.cfg.Claims.Propose(ctx, rec)
		if err == nil {
			return nil
		}
		if !pause(ctx, wait) {
			return err
		}
		wait = min(2*wait, resolveWaitMax)
	}
}

// release frees a claim that surely was not dispatched. That of the machine
// itself is freed in the background; one that an earlier request left is freed
// at once, for the machine waits for it.
func (sgl *single) release(ctx context.Context, act once.Action) {
	rec := recd.Record{Release: &recd.Release{Org: sgl.job.Org, Key: sgl.job.IdempotencyKey, Claim: act.ClaimOffset}}
	if sgl.mac.Done() {
		sgl.srv.use(func(boo *books) { boo.abandon(sgl.record) })
		sgl.resolve(ctx, rec)
		return
	}
	err := sgl.propose(ctx, rec)
	switch {
	case err == nil:
		sgl.step(once.Event{Kind: once.EventReleased})
	case ctx.Err() != nil:
		sgl.step(once.Event{Kind: once.EventDeadline})
	default:
		sgl.step(once.Event{Kind: once.EventAppendUnknown})
	}
}

// abandon remembers that the claim surely is not dispatched, and releases it
// if it turns up.
func (sgl *single) abandon(ctx context.Context) {
	sgl.srv.use(func(boo *books) { boo.abandon(sgl.record) })
	sgl.background(ctx, abandonBound, sgl.releaseLate)
}

// releaseLate waits for the abandoned claim and releases it.
func (sgl *single) releaseLate(ctx context.Context) {
	for wait := resolveWaitMin; pause(ctx, wait); wait = min(2*wait, resolveWaitMax) {
		clm, found, err := sgl.srv.cfg.Claims.Lookup(ctx, sgl.job.Org, sgl.job.IdempotencyKey)
		if err != nil || !found {
			continue
		}
		if clm.Record == sgl.record && !clm.Done {
			rel := &recd.Release{Org: sgl.job.Org, Key: sgl.job.IdempotencyKey, Claim: clm.Offset}
			_ = sgl.propose(ctx, recd.Record{Release: rel})
			return
		}
	}
}
