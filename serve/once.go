package serve

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquathinge/core"
	"kumquathinge/core/flight"
	"kumquathinge/core/once"
	"kumquathinge/core/recd"
)

const (
	recordTimeout         = 2 * time.Minute
	lateReleaseTimeout    = 30 * time.Second
	minProposeBackoff     = 50 * time.Millisecond
	maxProposeBackoff     = 5 * time.Second
	completionContentType = "application/vnd.kumquathinge.completion+json"
	completionStatus      = 200
)

// onceExecutor runs one request that must not be repeated, by the actions of a
// once.Machine. It is not safe for concurrent use.
type onceExecutor struct {
	srv          *Server
	job          core.Job
	sink         core.Sink
	policy       Policy
	machine      *once.Machine
	claimID      core.RecordID
	digest       uint64
	pending      []once.Action
	code         core.Code
	retryAfter   time.Duration
	detail       string
	inBackground bool
}

// runAtMostOnce runs a job that must not be repeated.
func (srv *Server) runAtMostOnce(ctx context.Context, job core.Job, sink core.Sink, policy Policy) error {
	if srv.cfg.Claims == nil {
		return resultError(core.CodeClaimNoLog, 0, "this node has no access to the log")
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	if !srv.hasLocalBackend(job) {
		_, found, err := srv.cfg.Claims.Lookup(ctx, job.Org, job.IdempotencyKey)
		if err != nil || !found {
			return srv.forwardUnclaimed(ctx, job, sink, policy)
		}
	}
	oex := &onceExecutor{srv: srv, job: job, sink: sink, policy: policy, digest: requestDigest(job)}
	oex.machine = once.New(once.Config{
		IDPrefix:     core.RecordID(srv.newID()),
		Digest:       oex.digest,
		IssuedAt:     job.KeyIssuedAt,
		Window:       policy.KeyWindow,
		MaxClockSkew: policy.MaxClockSkew,
		Deadline:     job.Deadline,
	})
	return oex.run(ctx)
}

// hasLocalBackend returns whether a backend server of this zone may receive the
// job.
func (srv *Server) hasLocalBackend(job core.Job) bool {
	if job.Service != "" {
		return len(srv.cfg.Backends.Plains(job.Service)) > 0
	}
	now := srv.cfg.Now()
	for _, cand := range srv.cfg.Backends.Candidates(job) {
		_, err := srv.cfg.Gate.Permit(cand.Group, now)
		if err == nil {
			return true
		}
	}
	return false
}

// forwardUnclaimed forwards a job that was not claimed here. It must not be
// dispatched in this zone, even if a server has started in the meantime.
func (srv *Server) forwardUnclaimed(ctx context.Context, job core.Job, sink core.Sink, policy Policy) error {
	ex := srv.newExecutor(job, sink, policy)
	ex.forwardOnly = true
	return ex.run(ctx)
}

// requestDigest returns a hash of the content that requests with the same
// idempotency key must share.
func requestDigest(job core.Job) uint64 {
	hash := xxhash.New()
	enc := json.NewEncoder(hash)
	_ = enc.Encode([]string{
		string(job.Org), string(job.Model), job.Adapter, job.Prompt,
		job.Service, job.Method, job.Path, job.Type, string(job.Body),
	})
	_ = enc.Encode(job.MaxTokens)
	return hash.Sum64()
}

// run executes the request to its end.
func (oex *onceExecutor) run(ctx context.Context) error {
	oex.step(once.Event{Kind: once.EventStart})
	for len(oex.pending) > 0 {
		act := oex.pending[0]
		oex.pending = oex.pending[1:]
		oex.perform(ctx, act)
	}
	if !oex.inBackground {
		oex.srv.withState(func(st *nodeState) { delete(st.activeClaims, oex.claimID) })
	}
	return resultError(oex.code, oex.retryAfter, oex.detail)
}

func (oex *onceExecutor) step(ev once.Event) {
	oex.pending = append(oex.pending, oex.machine.Step(ev, oex.srv.cfg.Now())...)
}

func (oex *onceExecutor) perform(ctx context.Context, act once.Action) {
	switch act.Kind {
	case once.ActionLookup:
		oex.step(oex.lookup(ctx, act.After))
	case once.ActionClaim:
		oex.step(oex.proposeClaim(ctx, act.RecordID))
	case once.ActionDispatch:
		oex.step(oex.dispatch(ctx))
	case once.ActionRecordResult:
		oex.proposeInBackground(ctx, recd.Record{Result: &recd.Result{
			Org: oex.job.Org, Key: oex.job.IdempotencyKey, Claim: act.ClaimOffset, Unknown: act.OutcomeUnknown, Reply: act.Reply,
		}})
	case once.ActionRelease:
		oex.releaseClaim(ctx, act)
	case once.ActionAbandon:
		oex.abandonClaim(ctx)
	case once.ActionDeliver:
		oex.deliver(act)
	case once.ActionFinish:
		oex.code = act.Code
		oex.retryAfter = act.After
	}
}

// lookup looks up the key's claim after a delay.
func (oex *onceExecutor) lookup(ctx context.Context, after time.Duration) once.Event {
	if !sleep(ctx, after) {
		return once.Event{Kind: once.EventDeadline}
	}
	claim, found, err := oex.srv.cfg.Claims.Lookup(ctx, oex.job.Org, oex.job.IdempotencyKey)
	switch {
	case err != nil && ctx.Err() != nil:
		return once.Event{Kind: once.EventDeadline}
	case err != nil:
		oex.detail = err.Error()
		return once.Event{Kind: once.EventLookupFailed, Code: core.CodeOf(err)}
	case !found:
		return once.Event{Kind: once.EventNoClaim}
	}
	return once.Event{Kind: once.EventClaimFound, Claim: oex.claimStatus(claim)}
}

// claimStatus adds the state of this process to a claim.
func (oex *onceExecutor) claimStatus(claim Claim) once.ClaimStatus {
	status := once.ClaimStatus{
		RecordID:       claim.RecordID,
		Offset:         claim.Offset,
		Digest:         claim.Digest,
		HeldLocally:    claim.Holder == oex.srv.cfg.Node,
		HolderGone:     claim.HolderGone,
		Done:           claim.Done,
		OutcomeUnknown: claim.OutcomeUnknown,
		Reply:          claim.Reply,
	}
	oex.srv.withState(func(st *nodeState) {
		_, status.Active = st.activeClaims[claim.RecordID]
		_, status.Abandoned = st.abandonedClaims[claim.RecordID]
	})
	return status
}

// proposeClaim proposes the claim, which is active before its append is sent.
func (oex *onceExecutor) proposeClaim(ctx context.Context, id core.RecordID) once.Event {
	oex.srv.withState(func(st *nodeState) {
		delete(st.activeClaims, oex.claimID)
		st.activeClaims[id] = struct{}{}
	})
	oex.claimID = id
	decisions, err := oex.srv.cfg.Claims.Propose(ctx, recd.Record{
		ID: oex.claimID,
		By: string(oex.srv.cfg.Node),
		Claim: &recd.Claim{
			Org:    oex.job.Org,
			Key:    oex.job.IdempotencyKey,
			Issued: oex.job.KeyIssuedAt,
			Digest: oex.digest,
			Holder: oex.srv.cfg.Node,
		},
	})
	if err != nil {
		oex.detail = err.Error()
	}
	switch {
	case err != nil && core.CodeOf(err) == core.CodeLogRefused:
		return once.Event{Kind: once.EventNotAppended, Code: core.CodeLogRefused}
	case err != nil || len(decisions) != 1 || decisions[0].RecordID != oex.claimID:
		return once.Event{Kind: once.EventAppendUnknown}
	case decisions[0].Code != core.CodeOK:
		return once.Event{Kind: once.EventClaimRejected, Code: decisions[0].Code}
	}
	return once.Event{Kind: once.EventClaimAccepted, Offset: decisions[0].Offset}
}

// dispatch runs the job in this zone. A caller that cancels does not cancel it.
func (oex *onceExecutor) dispatch(ctx context.Context) once.Event {
	col := &collector{}
	ex := oex.srv.newLimitedExecutor(oex.job, col, oex.policy, flight.Limits{
		MaxAttempts: 1,
		Retry:       flight.RetryNever,
		Deadline:    oex.job.Deadline,
		Streaming:   oex.job.Service == "",
	})
	ex.job.StartPos = 0
	err := ex.run(ctx)
	if err == nil {
		return once.Event{Kind: once.EventReply, Reply: col.reply()}
	}
	oex.detail = err.Error()
	if core.CodeOf(err).NotRun() {
		return once.Event{Kind: once.EventNotRun, Code: core.CodeOf(err), RetryAfter: core.RetryAfterOf(err)}
	}
	return once.Event{Kind: once.EventOutcomeUnknown}
}

// deliver writes a reply to the sink. Write errors are ignored, because a resend
// finds the reply in the log.
func (oex *onceExecutor) deliver(act once.Action) {
	if act.Reply.Type != completionContentType {
		reply := act.Reply
		_ = oex.sink.WritePart(core.Part{Reply: &reply, End: true})
		return
	}
	var comp completion
	err := json.Unmarshal(act.Reply.Body, &comp)
	if err != nil {
		oex.detail = err.Error()
		return
	}
	_ = comp.writeTo(oex.job.StartPos, oex.sink)
}

// sleep waits for the duration. It returns false if ctx ended.
func sleep(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(dur)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
