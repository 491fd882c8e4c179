package node

import (
	"context"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/core/tree"
	"kumquathinge/serve"
	"kumquathinge/store"
)

// claims gives requests that must not be repeated access to the store.
type claims struct {
	sto *store.Store
	bet *beater
}

var _ serve.Claims = claims{}

// Propose appends records; see serve.Claims.
func (cla claims) Propose(ctx context.Context, recs ...recd.Record) ([]serve.Verdict, error) {
	ves, err := cla.sto.Propose(ctx, recs...)
	if err != nil {
		return nil, err
	}
	out := make([]serve.Verdict, 0, len(ves))
	for _, ver := range ves {
		out = append(out, serve.Verdict{RecordID: ver.Record, Offset: ver.Offset, Code: ver.Code})
	}
	return out, nil
}

// Lookup returns the claim of a key and whether there is one.
func (cla claims) Lookup(ctx context.Context, org core.OrgName, key core.IdempotencyKey) (serve.Claim, bool, error) {
	clm, ok, err := cla.sto.Claim(ctx, org, key)
	if err != nil || !ok {
		return serve.Claim{}, false, err
	}
	out := serve.Claim{
		RecordID:   clm.Record,
		Offset:     clm.Offset,
		Holder:     clm.Holder,
		Digest:     clm.Digest,
		HolderGone: !cla.bet.circle().runs(clm.Holder, clm.Record),
	}
	if clm.Outcome != nil {
		out.Done = true
		out.OutcomeUnknown = clm.Outcome.Unknown
		out.Reply = clm.Outcome.Reply
	}
	return out, true, nil
}

// policy returns what bounds a job.
func (jbs *jobs) policy(job core.Job) serve.Policy {
	tre := jbs.world().tree
	pth := tree.ModelPath(job.Model)
	if job.Service != "" {
		pth = tree.ServicePath(job.Service)
	}
	cfg := tre.Config(pth)
	root := tre.Config("/")
	return serve.Policy{
		MaxAttempts:    cfg.Int("request.max_attempts"),
		RetryBudget:    cfg.Float("request.retry_budget"),
		SilenceTimeout: cfg.Duration("request.silence"),
		KeyWindow:      root.Duration("once.window"),
		MaxClockSkew:   root.Duration("once.clock_error"),
		QuarantineTime: root.Duration("quarantine.time"),
	}
}
