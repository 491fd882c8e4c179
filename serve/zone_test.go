package serve_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"kumquathinge/core"
	"kumquathinge/core/fold"
	"kumquathinge/core/recd"
	"kumquathinge/io/engine"
	"kumquathinge/io/plain"
	"kumquathinge/io/wire"
	"kumquathinge/serve"
	"kumquathinge/stand"
)

const (
	silence  = 100 * time.Millisecond
	deadline = 10 * time.Second
	tokens   = 6
)

var spec = core.Spec{Model: "m", Version: "1", Role: core.RoleBoth}

// testZone is a zone on the loopback interface: two engines, each with its own
// group, two servers of a plain service, a log, and any number of entry VMs.
type testZone struct {
	t             testing.TB
	mu            sync.Mutex
	engines       []*stand.Engine
	engineClients map[core.VMName]*engine.Engine
	plains        []*stand.Plain
	plainClients  map[core.VMName]*plain.Client
	incomplete    map[core.GroupName]bool
	frozenPermits map[core.GroupName]core.Permit
	noBackends    bool
	log           *sharedLog
}

func newTestZone(t testing.TB) *testZone {
	t.Helper()
	tz := &testZone{
		t: t, log: &sharedLog{state: fold.New()},
		engineClients: map[core.VMName]*engine.Engine{},
		plainClients:  map[core.VMName]*plain.Client{},
		incomplete:    map[core.GroupName]bool{},
		frozenPermits: map[core.GroupName]core.Permit{},
	}
	cfg := wire.Config{IOTimeout: deadline}
	for num := range 2 {
		vm := core.VMName(fmt.Sprint("e", num))
		eng := stand.NewEngine(stand.EngineConfig{VM: vm, TokenTime: time.Millisecond})
		assert.NilError(t, eng.Start("127.0.0.1:0"))
		tz.engines = append(tz.engines, eng)
		tz.engineClients[vm] = engine.New(eng.Addr(), engine.Config{Wire: cfg})
		tz.loadEngine(num, 1, spec)
		name := fmt.Sprint("p", num)
		server := stand.NewPlain(name)
		assert.NilError(t, server.Start("127.0.0.1:0"))
		tz.plains = append(tz.plains, server)
		tz.plainClients[core.VMName(name)] = plain.New(server.Addr(), plain.Config{Wire: cfg})
		t.Cleanup(func() {
			tz.engineClients[vm].Close()
			tz.plainClients[core.VMName(name)].Close()
			_ = eng.Close()
			_ = server.Close()
		})
	}
	return tz
}

// loadEngine orders an engine to load the model of its group and waits until it
// is ready.
func (tz *testZone) loadEngine(num int, token core.Offset, spec core.Spec) {
	vm := tz.engines[num].VM()
	_, err := tz.engineClients[vm].Order(context.Background(), core.Order{
		FencingToken: token, Action: core.ActionLoad, Group: groupName(num), Spec: spec, Members: []core.VMName{vm},
	})
	assert.NilError(tz.t, err)
	poll.WaitOn(tz.t, func(poll.LogT) poll.Result {
		if tz.engines[num].Probe().State != core.EngineReady {
			return poll.Continue("not ready")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func groupName(num int) core.GroupName { return core.GroupName(fmt.Sprint("g", num)) }

// runCount returns how often backend servers started to run the job.
func (tz *testZone) runCount(job core.Job) int {
	num := 0
	for _, eng := range tz.engines {
		num += eng.Count().ByRequest[job.ID]
	}
	if job.Service == "" {
		return num
	}
	for _, server := range tz.plains {
		num += server.Count().ByBody[string(job.Body)]
	}
	return num
}

// Candidates returns the groups.
func (tz *testZone) Candidates(core.Job) []core.Candidate {
	tz.mu.Lock()
	defer tz.mu.Unlock()
	if tz.noBackends {
		return nil
	}
	return []core.Candidate{{Group: "g0"}, {Group: "g1"}}
}

// Engine returns the client of an engine.
func (tz *testZone) Engine(vm core.VMName) (core.Engine, error) { return tz.engineClients[vm], nil }

// Plains returns the servers of the service.
func (tz *testZone) Plains(string) []core.VMName {
	tz.mu.Lock()
	defer tz.mu.Unlock()
	if tz.noBackends {
		return nil
	}
	return []core.VMName{"p0", "p1"}
}

// Plain returns the client of a server.
func (tz *testZone) Plain(vm core.VMName) (core.PlainServer, error) { return tz.plainClients[vm], nil }

// Permit returns a permit with the engine's current state, unless the test has
// marked the group as incomplete or frozen its permit.
func (tz *testZone) Permit(grp core.GroupName, now time.Time) (core.Permit, error) {
	tz.mu.Lock()
	defer tz.mu.Unlock()
	if tz.incomplete[grp] {
		return core.Permit{}, core.Errorf(core.CodeMemberMissing, "%s", grp)
	}
	if permit, ok := tz.frozenPermits[grp]; ok {
		return permit, nil
	}
	num := int(grp[1] - '0')
	prb := tz.engines[num].Probe()
	return core.Permit{
		Group: grp, FencingToken: prb.FencingToken, Spec: prb.Spec, Leader: tz.engines[num].VM(), Incarnation: prb.Incarnation, IssuedAt: now,
	}, nil
}

// Verify compares the head with the permit.
func (tz *testZone) Verify(permit core.Permit, head core.Chunk) error {
	if head.Incarnation != permit.Incarnation || head.FencingToken != permit.FencingToken || !head.Spec.Equal(permit.Spec) {
		return core.Errorf(core.CodeCrossedAnswer, "the response is from another process")
	}
	return nil
}

// Choose selects the first candidate with the fewest in-flight requests.
func (tz *testZone) Choose(cands []core.Candidate, _ []uint64, _ time.Time, _ uint64) int {
	best := 0
	for pos := range cands {
		if cands[pos].InFlight < cands[best].InFlight {
			best = pos
		}
	}
	return best
}

// newServer returns the Server of an entry VM.
func (tz *testZone) newServer(name core.NodeName, run core.Incarnation, options ...func(cfg *serve.Config)) *serve.Server {
	cfg := serve.Config{
		Node: name, Incarnation: run, Gate: tz, Chooser: tz, Backends: tz, Claims: tz.log,
		Policy: func(core.Job) serve.Policy { return serve.Policy{SilenceTimeout: silence} },
		Now:    time.Now, Rand: rand.Uint64,
	}
	for _, option := range options {
		option(&cfg)
	}
	srv := serve.New(cfg)
	tz.t.Cleanup(func() {
		for num := range tz.engines {
			tz.engines[num].SetFault(stand.EngineFault{})
			tz.plains[num].SetFault(stand.PlainFault{})
		}
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		_ = srv.Drain(ctx)
	})
	return srv
}

// sharedLog is the log and its folded state, shared by all nodes of a testZone.
type sharedLog struct {
	mu             sync.Mutex
	state          *fold.State
	refuse         bool
	down           bool
	lostAnswers    int
	blocked        chan struct{}
	acceptedClaims int
}

var errNoAnswer = errors.New("no response from the log")

// Propose appends and folds the records, subject to the injected faults.
func (log *sharedLog) Propose(ctx context.Context, recs ...recd.Record) ([]serve.Decision, error) {
	log.mu.Lock()
	slow := log.blocked
	log.mu.Unlock()
	if slow != nil {
		select {
		case <-slow:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.refuse {
		return nil, core.Errorf(core.CodeLogRefused, "refused")
	}
	if log.down {
		return nil, errNoAnswer
	}
	out := log.append(recs)
	if log.lostAnswers > 0 {
		log.lostAnswers--
		return nil, errNoAnswer
	}
	return out, nil
}

func (log *sharedLog) append(recs []recd.Record) []serve.Decision {
	off := log.state.Offset() + 1
	var out []serve.Decision
	for _, decision := range log.state.Apply(core.Entry{
		Offset: off, ID: recs[0].ID, At: time.Now(),
		Data: recd.Encode(recd.Batch{Version: recd.Version, Records: recs}),
	}) {
		out = append(out, serve.Decision{RecordID: decision.Record, Offset: decision.Offset, Code: decision.Code})
		if decision.Kind == fold.KindClaim && decision.Accepted() {
			log.acceptedClaims++
		}
	}
	return out
}

// Lookup returns the claim of a key.
func (log *sharedLog) Lookup(_ context.Context, org core.OrgName, key core.IdempotencyKey) (serve.Claim, bool, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.down {
		return serve.Claim{}, false, errNoAnswer
	}
	claim, ok := log.state.Claim(org, key)
	out := serve.Claim{RecordID: claim.Record, Offset: claim.Offset, Holder: claim.Holder, Digest: claim.Digest}
	if claim.Outcome != nil {
		out.Done, out.OutcomeUnknown, out.Reply = true, claim.Outcome.Unknown, claim.Outcome.Reply
	}
	return out, ok, nil
}

func (log *sharedLog) update(fn func(log *sharedLog)) {
	log.mu.Lock()
	defer log.mu.Unlock()
	fn(log)
}

// recorder records the parts of a response.
type recorder struct {
	mu    sync.Mutex
	parts []core.Part
	// failAt is the number of parts after which WritePart fails; zero means
	// never.
	failAt    int
	firstPart chan struct{}
}

// WritePart records a part.
func (rec *recorder) WritePart(part core.Part) error {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.parts = append(rec.parts, part)
	if rec.firstPart != nil && len(rec.parts) == 1 {
		close(rec.firstPart)
	}
	if rec.failAt > 0 && len(rec.parts) >= rec.failAt {
		return errors.New("the caller is gone")
	}
	return nil
}

// checkAnswer checks that the parts are the complete response to the job, or a
// prefix of it without an end if the job failed.
func (rec *recorder) checkAnswer(t testing.TB, job core.Job, err error) {
	t.Helper()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	want := stand.Tokens(job.Prompt, job.MaxTokens)
	next := job.StartPos
	ended := false
	for _, part := range rec.parts {
		assert.Assert(t, !ended, "part after the end")
		switch {
		case part.Reply != nil:
			assert.Assert(t, strings.Contains(string(part.Reply.Body), string(job.Body)), "the reply belongs to another call")
			ended = true
		case part.End:
			assert.Equal(t, next, len(want))
			assert.Equal(t, part.Tokens, len(want))
			ended = true
		default:
			assert.Equal(t, part.Pos, next)
			assert.Equal(t, part.Text, want[next])
			next++
		}
	}
	assert.Equal(t, ended, err == nil, "%v", err)
}

var jobs struct {
	mtx sync.Mutex
	num int
}

func newID(kind string) string {
	jobs.mtx.Lock()
	defer jobs.mtx.Unlock()
	jobs.num++
	return fmt.Sprintf("%s-%d", kind, jobs.num)
}

func completionJob() core.Job {
	id := newID("completion")
	return core.Job{
		ID: id, Org: "org", Model: "m", Prompt: "prompt of " + id, MaxTokens: tokens, Deadline: time.Now().Add(deadline),
	}
}

func callJob(method string) core.Job {
	id := newID("call")
	return core.Job{
		ID: id, Org: "org", Service: "svc", Method: method, Path: "/charges", Body: []byte("body of " + id),
		Deadline: time.Now().Add(deadline),
	}
}

func onceJob() core.Job {
	job := callJob("POST")
	job.IdempotencyKey = core.IdempotencyKey(job.ID)
	job.KeyIssuedAt = time.Now()
	return job
}
