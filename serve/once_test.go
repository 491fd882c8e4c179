package serve_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/core/recd"
	"kumquathinge/serve"
	"kumquathinge/stand"
)

const atMostOnce = -1

// drain waits until a node has recorded its results.
func drain(t *testing.T, srv *serve.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	assert.NilError(t, srv.Drain(ctx))
}

// claimOf puts a claim into the log as a process of the holder would.
func claimOf(t *testing.T, rg *rig, job core.Job, holder core.NodeName) {
	t.Helper()
	probe := &probeClaims{sharedLog: rg.log}
	srv := rg.node(holder, "former", func(cfg *serve.Config) { cfg.Claims = probe })
	ctx, cancel := context.WithCancel(context.Background())
	probe.cancel = cancel
	_ = srv.Run(ctx, job, &recorder{})
	rg.log.set(func(log *sharedLog) { log.append([]recd.Record{probe.claim}) })
}

// probeClaims keeps the claim that a node proposes, and appends nothing.
type probeClaims struct {
	*sharedLog
	claim  recd.Record
	cancel func()
}

// Propose keeps the claim.
func (prb *probeClaims) Propose(_ context.Context, recs ...recd.Record) ([]serve.Verdict, error) {
	prb.claim = recs[0]
	prb.cancel()
	return nil, core.Errorf(core.CodeLogRefused, "kept")
}

// onceCase sends a job that must not be repeated under a fault, and then
// resends it to two nodes, after the fault is over and all claims are resolved.
type onceCase struct {
	name string
	// set brings the fault about before the first try.
	set func(t *testing.T, rg *rig, job core.Job)
	// during runs beside the first try.
	during func(rg *rig)
	// first and again are the codes of the first try and of the resends, ran is
	// how often the service ran the job in the end. A frozen service may run it
	// when it thaws.
	first core.Code
	again core.Code
	ran   int
}

func plainFault(fau stand.PlainFault) func(*testing.T, *rig, core.Job) {
	return func(_ *testing.T, rg *rig, _ core.Job) {
		for _, pla := range rg.plains {
			pla.SetFault(fau)
		}
	}
}

func logFault(set func(log *sharedLog)) func(*testing.T, *rig, core.Job) {
	return func(_ *testing.T, rg *rig, _ core.Job) { rg.log.set(set) }
}

func onceCases() []onceCase {
	return []onceCase{
		{name: "no fault", first: core.CodeOK, again: core.CodeOK, ran: 1},
		{name: "answer lost", set: plainFault(stand.PlainFault{Fault: stand.Fault{LoseAnswers: 1}}),
			first: core.CodeUnknownOnce, again: core.CodeUnknownOnce, ran: 1},
		{name: "answer crossed", set: plainFault(stand.PlainFault{WrongAttempt: true}),
			first: core.CodeUnknownOnce, again: core.CodeUnknownOnce, ran: 1},
		{name: "answer cut", set: plainFault(stand.PlainFault{ShortBody: true}),
			first: core.CodeUnknownOnce, again: core.CodeUnknownOnce, ran: 1},
		{name: "silent until the deadline", set: plainFault(stand.PlainFault{Fault: stand.Fault{Freeze: true}}),
			first: core.CodeUnknownOnce, again: core.CodeUnknownOnce, ran: atMostOnce},
		{name: "refused", set: plainFault(stand.PlainFault{Fault: stand.Fault{Refuse: true}}),
			first: core.CodeRefused, again: core.CodeOK, ran: 1},
		{name: "log refuses", set: logFault(func(log *sharedLog) { log.refuse = true }),
			first: core.CodeClaimNoLog, again: core.CodeOK, ran: 1},
		{name: "log down", set: logFault(func(log *sharedLog) { log.down = true }),
			first: core.CodeClaimNoLog, again: core.CodeOK, ran: 1},
		{name: "answer of the log lost", set: logFault(func(log *sharedLog) { log.lose = 1 }),
			first: core.CodeOK, again: core.CodeOK, ran: 1},
		{name: "answers of the log lost twice", set: logFault(func(log *sharedLog) { log.lose = 2 }),
			first: core.CodeOK, again: core.CodeOK, ran: 1},
		{name: "both answers lost", set: func(t *testing.T, rg *rig, job core.Job) {
			plainFault(stand.PlainFault{Fault: stand.Fault{LoseAnswers: 1}})(t, rg, job)
			rg.log.set(func(log *sharedLog) { log.lose = 2 })
		}, first: core.CodeUnknownOnce, again: core.CodeUnknownOnce, ran: 1},
		{name: "claim late", set: logFault(func(log *sharedLog) { log.slow = make(chan struct{}) }),
			during: func(rg *rig) { rg.log.set(func(log *sharedLog) { close(log.slow) }) },
			first:  core.CodeOK, again: core.CodeOK, ran: 1},
		{name: "holder killed before dispatch or after, same node", set: func(t *testing.T, rg *rig, job core.Job) {
			claimOf(t, rg, job, "n1")
		}, first: core.CodeUnknownOnce, again: core.CodeUnknownOnce, ran: 0},
		{name: "holder killed, other node", set: func(t *testing.T, rg *rig, job core.Job) {
			claimOf(t, rg, job, "n9")
		}, first: core.CodeKeyInProgress, again: core.CodeKeyInProgress, ran: 0},
		{name: "server gone", set: func(_ *testing.T, rg *rig, _ core.Job) { rg.gone = true },
			first: core.CodeNoService, again: core.CodeOK, ran: 1},
	}
}

// TestHoldsAtMostOnce sends jobs that must not be repeated under faults of the
// service, the log and the holder, and sends them again through two nodes. The
// service's own count tells how often they ran.
func TestHoldsAtMostOnce(t *testing.T) {
	for _, cas := range onceCases() {
		t.Run(cas.name, func(t *testing.T) { cas.run(t) })
	}
	t.Run("many resends at a time", manyResends)
	t.Run("caller leaves", callerLeaves)
	t.Run("other content", otherContent)
	t.Run("issue time", issueTimes)
	t.Run("completion", onceCompletion)
	t.Run("claim abandoned", abandoned)
}

func (cas onceCase) run(t *testing.T) {
	rg := newRig(t)
	one, two := rg.node("n1", "r1"), rg.node("n2", "r1")
	job := onceJob()
	if cas.set != nil {
		cas.set(t, rg, job)
	}
	first := job
	first.Deadline = time.Now().Add(time.Second)
	if cas.during != nil {
		go cas.during(rg)
	}
	var reply []core.Part
	if rec := run(t, rg, one, first, cas.first); cas.first == core.CodeOK {
		reply = rec.parts
	}
	plainFault(stand.PlainFault{})(t, rg, job)
	rg.log.set(func(log *sharedLog) { log.refuse, log.down, log.lose, log.slow = false, false, 0, nil })
	rg.mtx.Lock()
	rg.gone = false
	rg.mtx.Unlock()
	drain(t, one)
	for _, srv := range []*serve.Server{two, one} {
		rec := run(t, rg, srv, job, cas.again)
		drain(t, srv)
		if reply != nil {
			assert.DeepEqual(t, rec.parts, reply)
		}
	}
	if cas.ran == atMostOnce {
		assert.Assert(t, rg.ran(job) <= 1)
		return
	}
	assert.Equal(t, rg.ran(job), cas.ran)
}

func manyResends(t *testing.T) {
	rg := newRig(t)
	nodes := []*serve.Server{rg.node("n1", "r1"), rg.node("n2", "r1")}
	plainFault(stand.PlainFault{RunTime: stand.Span(50 * time.Millisecond)})(t, rg, core.Job{})
	job := onceJob()
	var wgr sync.WaitGroup
	for num := range 20 {
		wgr.Go(func() {
			rec := &recorder{}
			err := nodes[num%2].Run(context.Background(), job, rec)
			rec.checkAnswer(t, job, err)
			code := core.CodeOf(err)
			assert.Check(t, code == core.CodeOK || code == core.CodeKeyInProgress, "%v", err)
		})
	}
	wgr.Wait()
	assert.Equal(t, rg.ran(job), 1)
	assert.Equal(t, rg.log.claims, 1)
}

// callerLeaves ends the caller's context while the job runs: the result is
// recorded all the same.
func callerLeaves(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	plainFault(stand.PlainFault{RunTime: stand.Span(50 * time.Millisecond)})(t, rg, core.Job{})
	job := onceJob()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- srv.Run(ctx, job, &recorder{}) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rg.ran(job) == 0 {
			return poll.Continue("not running")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	cancel()
	<-done
	drain(t, srv)
	run(t, rg, rg.node("n2", "r1"), job, core.CodeOK)
	assert.Equal(t, rg.ran(job), 1)
}

func otherContent(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	job := onceJob()
	run(t, rg, srv, job, core.CodeOK)
	oth := job
	oth.Body = []byte("another body")
	run(t, rg, srv, oth, core.CodeKeyMismatch)
	assert.Equal(t, rg.ran(oth), 0)
}

func issueTimes(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	for _, iss := range []time.Time{{}, time.Now().Add(-25 * time.Hour), time.Now().Add(time.Hour)} {
		job := onceJob()
		job.KeyIssuedAt = iss
		run(t, rg, srv, job, core.CodeKeyExpired)
		assert.Equal(t, rg.ran(job), 0)
	}
}

func onceCompletion(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	job := completionJob()
	job.IdempotencyKey, job.KeyIssuedAt = "key", time.Now()
	run(t, rg, srv, job, core.CodeOK)
	drain(t, srv)
	job.StartPos = 2
	run(t, rg, rg.node("n2", "r1"), job, core.CodeOK)
	assert.Equal(t, rg.ran(job), 1)
}

// abandoned gives a claim up whose append takes too long, and lets it arrive
// later: it is released, and the key can be used again.
func abandoned(t *testing.T) {
	rg := newRig(t)
	srv := rg.node("n1", "r1")
	job := onceJob()
	first := job
	first.Deadline = time.Now().Add(50 * time.Millisecond)
	keep := &probeClaims{sharedLog: rg.log, cancel: func() {}}
	rg.log.set(func(log *sharedLog) { log.slow = make(chan struct{}) })
	srv2 := rg.node("n2", "r1", func(cfg *serve.Config) { cfg.Claims = &lateClaims{probeClaims: keep} })
	run(t, rg, srv2, first, core.CodeDeadline)
	rg.log.set(func(log *sharedLog) {
		log.slow = nil
		log.append([]recd.Record{keep.claim})
	})
	drain(t, srv2)
	run(t, rg, srv, job, core.CodeOK)
	assert.Equal(t, rg.ran(job), 1)
}

// lateClaims keeps the first claim and lets its proposer wait for the end of
// its context; later records go to the log.
type lateClaims struct {
	*probeClaims
}

// Propose keeps the first claim.
func (lat *lateClaims) Propose(ctx context.Context, recs ...recd.Record) ([]serve.Verdict, error) {
	if recs[0].Claim == nil {
		return lat.sharedLog.Propose(ctx, recs...)
	}
	lat.claim = recs[0]
	<-ctx.Done()
	return nil, ctx.Err()
}
