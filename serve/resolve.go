package serve

import (
	"context"
	"time"

	"kumquathinge/core"
	"kumquathinge/core/once"
	"kumquathinge/core/recd"
)

// proposeInBackground proposes the record in the background until there is
// a decision on it. Meanwhile the claim is active, and Drain waits.
func (oex *onceExecutor) proposeInBackground(ctx context.Context, rec recd.Record) {
	oex.runInBackground(ctx, recordTimeout, func(bgCtx context.Context) { _ = oex.proposeWithRetry(bgCtx, rec) })
}

// runInBackground runs fn in a goroutine with a timeout. The claim is active
// until fn returns.
func (oex *onceExecutor) runInBackground(ctx context.Context, timeout time.Duration, fn func(ctx context.Context)) {
	oex.inBackground = true
	oex.srv.withState(func(st *nodeState) { st.runningJobs++ })
	go func() {
		defer oex.srv.withState(func(st *nodeState) {
			delete(st.activeClaims, oex.claimID)
			st.jobDone()
		})
		bgCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
		defer cancel()
		fn(bgCtx)
	}()
}

// proposeWithRetry proposes the record, with backoff, until there is a decision
// on it.
func (oex *onceExecutor) proposeWithRetry(ctx context.Context, rec recd.Record) error {
	rec.ID = core.RecordID(oex.srv.newID())
	rec.By = string(oex.srv.cfg.Node)
	wait := minProposeBackoff
	for {
		_, err := oex.srv.cfg.Claims.Propose(ctx, rec)
		if err == nil {
			return nil
		}
		if !sleep(ctx, wait) {
			return err
		}
		wait = min(2*wait, maxProposeBackoff)
	}
}

// releaseClaim releases a claim that was certainly not dispatched. The machine's
// own claim is released in the background. A claim that an earlier request left
// is released synchronously, because the machine waits for it.
func (oex *onceExecutor) releaseClaim(ctx context.Context, act once.Action) {
	rec := recd.Record{Release: &recd.Release{Org: oex.job.Org, Key: oex.job.IdempotencyKey, Claim: act.ClaimOffset}}
	if oex.machine.Done() {
		oex.srv.withState(func(st *nodeState) { st.abandonClaim(oex.claimID) })
		oex.proposeInBackground(ctx, rec)
		return
	}
	err := oex.proposeWithRetry(ctx, rec)
	switch {
	case err == nil:
		oex.step(once.Event{Kind: once.EventReleased})
	case ctx.Err() != nil:
		oex.step(once.Event{Kind: once.EventDeadline})
	default:
		oex.step(once.Event{Kind: once.EventAppendUnknown})
	}
}

// abandonClaim records that the claim will certainly not be dispatched, and
// releases it in the background if its append succeeds late.
func (oex *onceExecutor) abandonClaim(ctx context.Context) {
	oex.srv.withState(func(st *nodeState) { st.abandonClaim(oex.claimID) })
	oex.runInBackground(ctx, lateReleaseTimeout, oex.releaseAbandoned)
}

// releaseAbandoned polls for the abandoned claim and releases it.
func (oex *onceExecutor) releaseAbandoned(ctx context.Context) {
	for wait := minProposeBackoff; sleep(ctx, wait); wait = min(2*wait, maxProposeBackoff) {
		claim, found, err := oex.srv.cfg.Claims.Lookup(ctx, oex.job.Org, oex.job.IdempotencyKey)
		if err != nil || !found {
			continue
		}
		if claim.RecordID == oex.claimID && !claim.Done {
			release := &recd.Release{Org: oex.job.Org, Key: oex.job.IdempotencyKey, Claim: claim.Offset}
			_ = oex.proposeWithRetry(ctx, recd.Record{Release: release})
			return
		}
	}
}
