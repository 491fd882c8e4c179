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

// drain waits until a server has recorded its results.
func drain(t *testing.T, srv *serve.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	assert.NilError(t, srv.Drain(ctx))
}

// appendClaim appends a claim to the log as a process of the holder would.
func appendClaim(t *testing.T, tz *testZone, job core.Job, holder core.NodeName) {
	t.Helper()
	captured := &captureClaims{sharedLog: tz.log}
	srv := tz.newServer(holder, "former", func(cfg *serve.Config) { cfg.Claims = captured })
	ctx, cancel := context.WithCancel(context.Background())
	captured.cancel = cancel
	_ = srv.Run(ctx, job, &recorder{})
	tz.log.update(func(log *sharedLog) { log.append([]recd.Record{captured.claim}) })
}

// captureClaims stores the claim that a server proposes, and appends nothing.
type captureClaims struct {
	*sharedLog
	claim  recd.Record
	cancel func()
}

// Propose stores the claim.
func (cc *captureClaims) Propose(_ context.Context, recs ...recd.Record) ([]serve.Decision, error) {
	cc.claim = recs[0]
	cc.cancel()
	return nil, core.Errorf(core.CodeLogRefused, "claim captured, not appended")
}

// onceCase sends a job that must not be repeated during a fault, and resends it
// through two nodes after the fault is over and all claims are resolved.
type onceCase struct {
	name string
	// prepare injects the fault before the first try.
	prepare func(t *testing.T, tz *testZone, job core.Job)
	// during runs concurrently with the first try.
	during func(tz *testZone)
	// firstCode and resendCode are the results of the first try and of the
	// resends. runs is how often the service ran the job in total; a frozen service
	// may run it when it resumes.
	firstCode  core.Code
	resendCode core.Code
	runs       int
}

func plainFault(fault stand.PlainFault) func(*testing.T, *testZone, core.Job) {
	return func(_ *testing.T, tz *testZone, _ core.Job) {
		for _, server := range tz.plains {
			server.SetFault(fault)
		}
	}
}

func logFault(set func(log *sharedLog)) func(*testing.T, *testZone, core.Job) {
	return func(_ *testing.T, tz *testZone, _ core.Job) { tz.log.update(set) }
}

func onceCases() []onceCase {
	return []onceCase{
		{name: "no fault", firstCode: core.CodeOK, resendCode: core.CodeOK, runs: 1},
		{name: "response lost", prepare: plainFault(stand.PlainFault{Fault: stand.Fault{LoseAnswers: 1}}),
			firstCode: core.CodeUnknownOnce, resendCode: core.CodeUnknownOnce, runs: 1},
		{name: "response of another request", prepare: plainFault(stand.PlainFault{WrongAttempt: true}),
			firstCode: core.CodeUnknownOnce, resendCode: core.CodeUnknownOnce, runs: 1},
		{name: "response truncated", prepare: plainFault(stand.PlainFault{ShortBody: true}),
			firstCode: core.CodeUnknownOnce, resendCode: core.CodeUnknownOnce, runs: 1},
		{name: "silent until the deadline", prepare: plainFault(stand.PlainFault{Fault: stand.Fault{Freeze: true}}),
			firstCode: core.CodeUnknownOnce, resendCode: core.CodeUnknownOnce, runs: atMostOnce},
		{name: "refused", prepare: plainFault(stand.PlainFault{Fault: stand.Fault{Refuse: true}}),
			firstCode: core.CodeRefused, resendCode: core.CodeOK, runs: 1},
		{name: "log refuses", prepare: logFault(func(log *sharedLog) { log.refuse = true }),
			firstCode: core.CodeClaimNoLog, resendCode: core.CodeOK, runs: 1},
		{name: "log down", prepare: logFault(func(log *sharedLog) { log.down = true }),
			firstCode: core.CodeClaimNoLog, resendCode: core.CodeOK, runs: 1},
		{name: "response of the log lost", prepare: logFault(func(log *sharedLog) { log.lostAnswers = 1 }),
			firstCode: core.CodeOK, resendCode: core.CodeOK, runs: 1},
		{name: "response of the log lost twice", prepare: logFault(func(log *sharedLog) { log.lostAnswers = 2 }),
			firstCode: core.CodeOK, resendCode: core.CodeOK, runs: 1},
		{name: "responses of service and log lost", prepare: func(t *testing.T, tz *testZone, job core.Job) {
			plainFault(stand.PlainFault{Fault: stand.Fault{LoseAnswers: 1}})(t, tz, job)
			tz.log.update(func(log *sharedLog) { log.lostAnswers = 2 })
		}, firstCode: core.CodeUnknownOnce, resendCode: core.CodeUnknownOnce, runs: 1},
		{name: "claim delayed", prepare: logFault(func(log *sharedLog) { log.blocked = make(chan struct{}) }),
			during:    func(tz *testZone) { tz.log.update(func(log *sharedLog) { close(log.blocked) }) },
			firstCode: core.CodeOK, resendCode: core.CodeOK, runs: 1},
		{name: "holder killed, same node", prepare: func(t *testing.T, tz *testZone, job core.Job) {
			appendClaim(t, tz, job, "n1")
		}, firstCode: core.CodeUnknownOnce, resendCode: core.CodeUnknownOnce, runs: 0},
		{name: "holder killed, other node", prepare: func(t *testing.T, tz *testZone, job core.Job) {
			appendClaim(t, tz, job, "n9")
		}, firstCode: core.CodeKeyInProgress, resendCode: core.CodeKeyInProgress, runs: 0},
		{name: "no server", prepare: func(_ *testing.T, tz *testZone, _ core.Job) { tz.noBackends = true },
			firstCode: core.CodeNoService, resendCode: core.CodeOK, runs: 1},
	}
}

// TestHoldsAtMostOnce sends jobs that must not be repeated during faults of the
// service, the log and the holder, and resends them through two nodes. The
// service's own count shows how often they ran.
func TestHoldsAtMostOnce(t *testing.T) {
	for _, tc := range onceCases() {
		t.Run(tc.name, func(t *testing.T) { tc.run(t) })
	}
	t.Run("concurrent resends", concurrentResends)
	t.Run("caller cancels", callerLeaves)
	t.Run("other content", otherContent)
	t.Run("invalid issue time", invalidIssueTimes)
	t.Run("completion", onceCompletion)
	t.Run("claim abandoned", abandonedClaim)
}

func (tc onceCase) run(t *testing.T) {
	tz := newTestZone(t)
	srv1, srv2 := tz.newServer("n1", "r1"), tz.newServer("n2", "r1")
	job := onceJob()
	if tc.prepare != nil {
		tc.prepare(t, tz, job)
	}
	first := job
	first.Deadline = time.Now().Add(time.Second)
	if tc.during != nil {
		go tc.during(tz)
	}
	var reply []core.Part
	if rec := run(t, tz, srv1, first, tc.firstCode); tc.firstCode == core.CodeOK {
		reply = rec.parts
	}
	plainFault(stand.PlainFault{})(t, tz, job)
	tz.log.update(func(log *sharedLog) { log.refuse, log.down, log.lostAnswers, log.blocked = false, false, 0, nil })
	tz.mu.Lock()
	tz.noBackends = false
	tz.mu.Unlock()
	drain(t, srv1)
	for _, srv := range []*serve.Server{srv2, srv1} {
		rec := run(t, tz, srv, job, tc.resendCode)
		drain(t, srv)
		if reply != nil {
			assert.DeepEqual(t, rec.parts, reply)
		}
	}
	if tc.runs == atMostOnce {
		assert.Assert(t, tz.runCount(job) <= 1)
		return
	}
	assert.Equal(t, tz.runCount(job), tc.runs)
}

func concurrentResends(t *testing.T) {
	tz := newTestZone(t)
	nodes := []*serve.Server{tz.newServer("n1", "r1"), tz.newServer("n2", "r1")}
	plainFault(stand.PlainFault{RunTime: stand.Span(50 * time.Millisecond)})(t, tz, core.Job{})
	job := onceJob()
	var wg sync.WaitGroup
	for num := range 20 {
		wg.Go(func() {
			rec := &recorder{}
			err := nodes[num%2].Run(context.Background(), job, rec)
			rec.checkAnswer(t, job, err)
			code := core.CodeOf(err)
			assert.Check(t, code == core.CodeOK || code == core.CodeKeyInProgress, "%v", err)
		})
	}
	wg.Wait()
	assert.Equal(t, tz.runCount(job), 1)
	assert.Equal(t, tz.log.acceptedClaims, 1)
}

// callerLeaves cancels the caller's context while the job runs: the result must
// be recorded nevertheless.
func callerLeaves(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	plainFault(stand.PlainFault{RunTime: stand.Span(50 * time.Millisecond)})(t, tz, core.Job{})
	job := onceJob()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- srv.Run(ctx, job, &recorder{}) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if tz.runCount(job) == 0 {
			return poll.Continue("not running")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	cancel()
	<-done
	drain(t, srv)
	run(t, tz, tz.newServer("n2", "r1"), job, core.CodeOK)
	assert.Equal(t, tz.runCount(job), 1)
}

func otherContent(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	job := onceJob()
	run(t, tz, srv, job, core.CodeOK)
	other := job
	other.Body = []byte("another body")
	run(t, tz, srv, other, core.CodeKeyMismatch)
	assert.Equal(t, tz.runCount(other), 0)
}

func invalidIssueTimes(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	for _, issuedAt := range []time.Time{{}, time.Now().Add(-25 * time.Hour), time.Now().Add(time.Hour)} {
		job := onceJob()
		job.KeyIssuedAt = issuedAt
		run(t, tz, srv, job, core.CodeKeyExpired)
		assert.Equal(t, tz.runCount(job), 0)
	}
}

func onceCompletion(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	job := completionJob()
	job.IdempotencyKey, job.KeyIssuedAt = "key", time.Now()
	run(t, tz, srv, job, core.CodeOK)
	drain(t, srv)
	job.StartPos = 2
	run(t, tz, tz.newServer("n2", "r1"), job, core.CodeOK)
	assert.Equal(t, tz.runCount(job), 1)
}

// abandonedClaim abandons a claim whose append takes too long and then succeeds:
// the claim must be released, so that the key can be used again.
func abandonedClaim(t *testing.T) {
	tz := newTestZone(t)
	srv := tz.newServer("n1", "r1")
	job := onceJob()
	first := job
	first.Deadline = time.Now().Add(50 * time.Millisecond)
	captured := &captureClaims{sharedLog: tz.log, cancel: func() {}}
	tz.log.update(func(log *sharedLog) { log.blocked = make(chan struct{}) })
	srv2 := tz.newServer("n2", "r1", func(cfg *serve.Config) { cfg.Claims = &delayedClaims{captureClaims: captured} })
	run(t, tz, srv2, first, core.CodeDeadline)
	tz.log.update(func(log *sharedLog) {
		log.blocked = nil
		log.append([]recd.Record{captured.claim})
	})
	drain(t, srv2)
	run(t, tz, srv, job, core.CodeOK)
	assert.Equal(t, tz.runCount(job), 1)
}

// delayedClaims stores a proposed claim and blocks its proposer until the context
// ends. Other records are appended to the log.
type delayedClaims struct {
	*captureClaims
}

// Propose stores a claim or appends other records.
func (dc *delayedClaims) Propose(ctx context.Context, recs ...recd.Record) ([]serve.Decision, error) {
	if recs[0].Claim == nil {
		return dc.sharedLog.Propose(ctx, recs...)
	}
	dc.claim = recs[0]
	<-ctx.Done()
	return nil, ctx.Err()
}
