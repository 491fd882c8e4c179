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
	resolveBound    = 2 * time.Minute
	abandonBound    = 30 * time.Second
	resolveWaitMin  = 50 * time.Millisecond
	resolveWaitMax  = 5 * time.Second
	completionType  = "application/vnd.kumquathinge.completion+json"
	completionState = 200
)

// single drives one once.Machine. It has one owner.
type single struct {
	srv    *Server
	job    core.Job
	snk    core.Sink
	pol    Policy
	mac    *once.Machine
	record core.RecordID
	digest uint64
	todo   []once.Action
	code   core.Code
	after  time.Duration
	detail string
	kept   bool
}

// runOnce runs a job that must not be repeated.
func (srv *Server) runOnce(ctx context.Context, job core.Job, snk core.Sink, pol Policy) error {
	if srv.cfg.Claims == nil {
		return fail(core.CodeClaimNoLog, 0, "this node has no log")
	}
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	if !srv.local(job) {
		_, found, err := srv.cfg.Claims.Lookup(ctx, job.Org, job.IdempotencyKey)
		if err != nil || !found {
			return srv.elsewhere(ctx, job, snk, pol)
		}
	}
	sgl := &single{srv: srv, job: job, snk: snk, pol: pol, digest: digestOf(job)}
	sgl.mac = once.New(once.Config{
		IDPrefix:     core.RecordID(srv.newID()),
		Digest:       sgl.digest,
		IssuedAt:     job.KeyIssuedAt,
		Window:       pol.Window,
		MaxClockSkew: pol.ClockError,
		Deadline:     job.Deadline,
	})
	return sgl.run(ctx)
}

// local reports whether this zone has backend servers that may be sent the job.
func (srv *Server) local(job core.Job) bool {
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

// elsewhere forwards a job that was not claimed here. It must not be
// dispatched in this zone, even if a server has come up meanwhile.
func (srv *Server) elsewhere(ctx context.Context, job core.Job, snk core.Sink, pol Policy) error {
	drv := srv.newFlight(job, snk, pol)
	drv.nowhere = true
	return drv.run(ctx)
}

// digestOf returns a hash of all that makes two requests with one key the
// same.
func digestOf(job core.Job) uint64 {
	dig := xxhash.New()
	enc := json.NewEncoder(dig)
	_ = enc.Encode([]string{
		string(job.Org), string(job.Model), job.Adapter, job.Prompt,
		job.Service, job.Method, job.Path, job.Type, string(job.Body),
	})
	_ = enc.Encode(job.MaxTokens)
	return dig.Sum64()
}

// run drives the request to its end.
func (sgl *single) run(ctx context.Context) error {
	sgl.step(once.Event{Kind: once.EventStart})
	for len(sgl.todo) > 0 {
		act := sgl.todo[0]
		sgl.todo = sgl.todo[1:]
		sgl.perform(ctx, act)
	}
	if !sgl.kept {
		sgl.srv.use(func(boo *books) { delete(boo.live, sgl.record) })
	}
	return fail(sgl.code, sgl.after, sgl.detail)
}

func (sgl *single) step(ev once.Event) {
	sgl.todo = append(sgl.todo, sgl.mac.Step(ev, sgl.srv.cfg.Now())...)
}

func (sgl *single) perform(ctx context.Context, act once.Action) {
	switch act.Kind {
	case once.ActionLookup:
		sgl.step(sgl.lookup(ctx, act.After))
	case once.ActionClaim:
		sgl.step(sgl.claim(ctx, act.RecordID))
	case once.ActionDispatch:
		sgl.step(sgl.dispatch(ctx))
	case once.ActionRecordResult:
		sgl.resolve(ctx, recd.Record{Result: &recd.Result{
			Org: sgl.job.Org, Key: sgl.job.IdempotencyKey, Claim: act.ClaimOffset, Unknown: act.OutcomeUnknown, Reply: act.Reply,
		}})
	case once.ActionRelease:
		sgl.release(ctx, act)
	case once.ActionAbandon:
		sgl.abandon(ctx)
	case once.ActionDeliver:
		sgl.answer(act)
	case once.ActionFinish:
		sgl.code = act.Code
		sgl.after = act.After
	}
}

// lookup asks for the key's claim after a wait.
func (sgl *single) lookup(ctx context.Context, after time.Duration) once.Event {
	if !pause(ctx, after) {
		return once.Event{Kind: once.EventDeadline}
	}
	clm, found, err := sgl.srv.cfg.Claims.Lookup(ctx, sgl.job.Org, sgl.job.IdempotencyKey)
	switch {
	case err != nil && ctx.Err() != nil:
		return once.Event{Kind: once.EventDeadline}
	case err != nil:
		sgl.detail = err.Error()
		return once.Event{Kind: once.EventLookupFailed, Code: core.CodeOf(err)}
	case !found:
		return once.Event{Kind: once.EventNoClaim}
	}
	return once.Event{Kind: once.EventClaimFound, Claim: sgl.view(clm)}
}

// view adds to a claim what this process knows of it.
func (sgl *single) view(clm Claim) once.ClaimStatus {
	vie := once.ClaimStatus{
		RecordID:       clm.Record,
		Offset:         clm.Offset,
		Digest:         clm.Digest,
		HeldLocally:    clm.Holder == sgl.srv.cfg.Node,
		HolderGone:     clm.HolderGone,
		Done:           clm.Done,
		OutcomeUnknown: clm.Unknown,
		Reply:          clm.Reply,
	}
	sgl.srv.use(func(boo *books) {
		_, vie.Active = boo.live[clm.Record]
		_, vie.Abandoned = boo.abandoned[clm.Record]
	})
	return vie
}

// claim proposes the claim. It counts as live from before its append on.
func (sgl *single) claim(ctx context.Context, rec core.RecordID) once.Event {
	sgl.srv.use(func(boo *books) {
		delete(boo.live, sgl.record)
		boo.live[rec] = struct{}{}
	})
	sgl.record = rec
	vers, err := sgl.srv.cfg.Claims.Propose(ctx, recd.Record{
		ID: sgl.record,
		By: string(sgl.srv.cfg.Node),
		Claim: &recd.Claim{
			Org:    sgl.job.Org,
			Key:    sgl.job.IdempotencyKey,
			Issued: sgl.job.KeyIssuedAt,
			Digest: sgl.digest,
			Holder: sgl.srv.cfg.Node,
		},
	})
	if err != nil {
		sgl.detail = err.Error()
	}
	switch {
	case err != nil && core.CodeOf(err) == core.CodeLogRefused:
		return once.Event{Kind: once.EventNotAppended, Code: core.CodeLogRefused}
	case err != nil || len(vers) != 1 || vers[0].Record != sgl.record:
		return once.Event{Kind: once.EventAppendUnknown}
	case vers[0].Code != core.CodeOK:
		return once.Event{Kind: once.EventClaimRejected, Code: vers[0].Code}
	}
	return once.Event{Kind: once.EventClaimAccepted, Offset: vers[0].Offset}
}

// dispatch runs the job in this zone. The caller's leave does not cut it.
func (sgl *single) dispatch(ctx context.Context) once.Event {
	col := &collector{}
	drv := sgl.srv.newDrive(sgl.job, col, sgl.pol, flight.Limits{
		MaxAttempts: 1,
		Retry:       flight.RetryNever,
		Deadline:    sgl.job.Deadline,
		Streaming:   sgl.job.Service == "",
	})
	drv.job.StartPos = 0
	err := drv.run(ctx)
	if err == nil {
		return once.Event{Kind: once.EventReply, Reply: col.reply()}
	}
	sgl.detail = err.Error()
	if core.CodeOf(err).NotRun() {
		return once.Event{Kind: once.EventNotRun, Code: core.CodeOf(err), RetryAfter: core.RetryAfterOf(err)}
	}
	return once.Event{Kind: once.EventOutcomeUnknown}
}

// answer passes a reply on. A caller that is gone finds it in the log.
func (sgl *single) answer(act once.Action) {
	if act.Reply.Type != completionType {
		rep := act.Reply
		_ = sgl.snk.WritePart(core.Part{Reply: &rep, End: true})
		return
	}
	var cmp completion
	err := json.Unmarshal(act.Reply.Body, &cmp)
	if err != nil {
		sgl.detail = err.Error()
		return
	}
	_ = cmp.pass(sgl.job.StartPos, sgl.snk)
}

// pause waits and reports false if ctx ended.
func pause(ctx context.Context, dur time.Duration) bool {
	if dur <= 0 {
		return ctx.Err() == nil
	}
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}
