package node

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
	"kumquathinge/serve"
	"kumquathinge/store"
)

// storeClaims lets requests that must run at most once claim their idempotency
// key through the store.
type storeClaims struct {
	store      *store.Store
	membership *membership
}

var _ serve.Claims = storeClaims{}

// Propose appends records; see serve.Claims.
func (claims storeClaims) Propose(ctx context.Context, records ...recd.Record) ([]serve.Decision, error) {
	decisions, err := claims.store.Propose(ctx, records...)
	if err != nil {
		return nil, err
	}
	out := make([]serve.Decision, 0, len(decisions))
	for _, decision := range decisions {
		out = append(out, serve.Decision{RecordID: decision.Record, Offset: decision.Offset, Code: decision.Code})
	}
	return out, nil
}

// Lookup returns the claim of a key and whether there is one.
func (claims storeClaims) Lookup(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (serve.Claim, bool, error) {
	claim, ok, err := claims.store.Claim(ctx, org, key)
	if err != nil || !ok {
		return serve.Claim{}, false, err
	}
	out := serve.Claim{
		RecordID:   claim.Record,
		Offset:     claim.Offset,
		Holder:     claim.Holder,
		Digest:     claim.Digest,
		HolderGone: !claims.membership.liveNodes().writerRunning(claim.Holder, claim.Record),
	}
	if claim.Outcome != nil {
		out.Done = true
		out.OutcomeUnknown = claim.Outcome.Unknown
		out.Reply = claim.Outcome.Reply
	}
	return out, true, nil
}

// policy returns the limits on retries and times that apply to a job.
func (jobs *jobRunner) policy(job core.Job) serve.Policy {
	settings := jobs.state().tree
	path := tree.ModelPath(job.Model)
	if job.Service != "" {
		path = tree.ServicePath(job.Service)
	}
	cfg := settings.Config(path)
	root := settings.Config("/")
	return serve.Policy{
		MaxAttempts:    cfg.Int("request.max_attempts"),
		RetryBudget:    cfg.Float("request.retry_budget"),
		SilenceTimeout: cfg.Duration("request.silence"),
		KeyWindow:      root.Duration("once.window"),
		MaxClockSkew:   root.Duration("once.clock_error"),
		QuarantineTime: root.Duration("quarantine.time"),
	}
}
