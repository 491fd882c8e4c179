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

// rig is a zone on loopback: two engines, each a group of its own, two servers
// of a plain service, a log, and any number of entry VMs.
type rig struct {
	t       testing.TB
	mtx     sync.Mutex
	engines []*stand.Engine
	clients map[core.VMName]*engine.Engine
	plains  []*stand.Plain
	callers map[core.VMName]*plain.Service
	missing map[core.GroupName]bool
	frozen  map[core.GroupName]core.Permit
	gone    bool
	log     *sharedLog
}

func newRig(t testing.TB) *rig {
	t.Helper()
	rg := &rig{
		t: t, log: &sharedLog{state: fold.New()},
		clients: map[core.VMName]*engine.Engine{},
		callers: map[core.VMName]*plain.Service{},
		missing: map[core.GroupName]bool{},
		frozen:  map[core.GroupName]core.Permit{},
	}
	cfg := wire.Config{IOTimeout: deadline}
	for num := range 2 {
		vm := core.VMName(fmt.Sprint("e", num))
		eng := stand.NewEngine(stand.EngineConfig{VM: vm, TokenTime: time.Millisecond})
		assert.NilError(t, eng.Start("127.0.0.1:0"))
		rg.engines = append(rg.engines, eng)
		rg.clients[vm] = engine.New(eng.Addr(), engine.Config{Wire: cfg})
		rg.load(num, 1, spec)
		name := fmt.Sprint("p", num)
		pla := stand.NewPlain(name)
		assert.NilError(t, pla.Start("127.0.0.1:0"))
		rg.plains = append(rg.plains, pla)
		rg.callers[core.VMName(name)] = plain.New(pla.Addr(), plain.Config{Wire: cfg})
		t.Cleanup(func() {
			rg.clients[vm].Close()
			rg.callers[core.VMName(name)].Close()
			_ = eng.Close()
			_ = pla.Close()
		})
	}
	return rg
}

// load orders an engine into its group and waits until it is ready.
func (rg *rig) load(num int, ord core.Offset, spc core.Spec) {
	vm := rg.engines[num].VM()
	_, err := rg.clients[vm].Order(context.Background(), core.Order{
		FencingToken: ord, Action: core.ActionLoad, Group: group(num), Spec: spc, Members: []core.VMName{vm},
	})
	assert.NilError(rg.t, err)
	poll.WaitOn(rg.t, func(poll.LogT) poll.Result {
		if rg.engines[num].Probe().State != core.EngineReady {
			return poll.Continue("not ready")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func group(num int) core.GroupName { return core.GroupName(fmt.Sprint("g", num)) }

// ran returns how often backend servers began to run the request.
func (rg *rig) ran(job core.Job) int {
	num := 0
	for _, eng := range rg.engines {
		num += eng.Count().ByRequest[job.ID]
	}
	if job.Service == "" {
		return num
	}
	for _, pla := range rg.plains {
		num += pla.Count().ByBody[string(job.Body)]
	}
	return num
}

// Candidates returns the groups.
func (rg *rig) Candidates(core.Job) []core.Candidate {
	rg.mtx.Lock()
	defer rg.mtx.Unlock()
	if rg.gone {
		return nil
	}
	return []core.Candidate{{Group: "g0"}, {Group: "g1"}}
}

// Engine returns the client of an engine.
func (rg *rig) Engine(vm core.VMName) (core.Engine, error) { return rg.clients[vm], nil }

// Plains returns the servers of the service.
func (rg *rig) Plains(string) []core.VMName {
	rg.mtx.Lock()
	defer rg.mtx.Unlock()
	if rg.gone {
		return nil
	}
	return []core.VMName{"p0", "p1"}
}

// Plain returns the client of a server.
func (rg *rig) Plain(vm core.VMName) (core.PlainServer, error) { return rg.callers[vm], nil }

// Permit gives the right to dispatch by the engine's own word, unless the test
// has marked the group as incomplete or frozen what the gate knows.
func (rg *rig) Permit(grp core.GroupName, now time.Time) (core.Permit, error) {
	rg.mtx.Lock()
	defer rg.mtx.Unlock()
	if rg.missing[grp] {
		return core.Permit{}, core.Errorf(core.CodeMemberMissing, "%s", grp)
	}
	if per, ok := rg.frozen[grp]; ok {
		return per, nil
	}
	num := int(grp[1] - '0')
	prb := rg.engines[num].Probe()
	return core.Permit{
		Group: grp, FencingToken: prb.FencingToken, Spec: prb.Spec, Leader: rg.engines[num].VM(), Incarnation: prb.Incarnation, IssuedAt: now,
	}, nil
}

// Verify holds the head against the permit.
func (rg *rig) Verify(per core.Permit, head core.Chunk) error {
	if head.Incarnation != per.Incarnation || head.FencingToken != per.FencingToken || !head.Spec.Equal(per.Spec) {
		return core.Errorf(core.CodeCrossedAnswer, "another process answered")
	}
	return nil
}

// Choose picks the candidate with the fewest requests, the first of equals.
func (rg *rig) Choose(cands []core.Candidate, _ []uint64, _ time.Time, _ uint64) int {
	best := 0
	for pos := range cands {
		if cands[pos].InFlight < cands[best].InFlight {
			best = pos
		}
	}
	return best
}

// node returns an entry VM.
func (rg *rig) node(name core.NodeName, run core.Incarnation, change ...func(cfg *serve.Config)) *serve.Server {
	cfg := serve.Config{
		Node: name, Run: run, Gate: rg, Chooser: rg, Backends: rg, Claims: rg.log,
		Policy: func(core.Job) serve.Policy { return serve.Policy{Silence: silence} },
		Now:    time.Now, Rand: rand.Uint64,
	}
	for _, one := range change {
		one(&cfg)
	}
	srv := serve.New(cfg)
	rg.t.Cleanup(func() {
		for num := range rg.engines {
			rg.engines[num].SetFault(stand.EngineFault{})
			rg.plains[num].SetFault(stand.PlainFault{})
		}
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		_ = srv.Drain(ctx)
	})
	return srv
}

// sharedLog is the log and the fold of it that all nodes of a rig share.
type sharedLog struct {
	mtx    sync.Mutex
	state  *fold.State
	refuse bool
	down   bool
	lose   int
	slow   chan struct{}
	claims int
}

var errNoAnswer = errors.New("no answer from the log")

// Propose appends and folds the records under the faults that are set.
func (log *sharedLog) Propose(ctx context.Context, recs ...recd.Record) ([]serve.Verdict, error) {
	log.mtx.Lock()
	slow := log.slow
	log.mtx.Unlock()
	if slow != nil {
		select {
		case <-slow:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	log.mtx.Lock()
	defer log.mtx.Unlock()
	if log.refuse {
		return nil, core.Errorf(core.CodeLogRefused, "refused")
	}
	if log.down {
		return nil, errNoAnswer
	}
	out := log.append(recs)
	if log.lose > 0 {
		log.lose--
		return nil, errNoAnswer
	}
	return out, nil
}

func (log *sharedLog) append(recs []recd.Record) []serve.Verdict {
	off := log.state.Offset() + 1
	var out []serve.Verdict
	for _, ver := range log.state.Apply(core.Entry{
		Offset: off, ID: recs[0].ID, At: time.Now(),
		Data: recd.Encode(recd.Batch{Version: recd.Version, Records: recs}),
	}) {
		out = append(out, serve.Verdict{Record: ver.Record, Offset: ver.Offset, Code: ver.Code})
		if ver.Kind == fold.KindClaim && ver.Accepted() {
			log.claims++
		}
	}
	return out
}

// Lookup returns the claim of a key.
func (log *sharedLog) Lookup(_ context.Context, org core.OrgName, key core.IdempotencyKey) (serve.Claim, bool, error) {
	log.mtx.Lock()
	defer log.mtx.Unlock()
	if log.down {
		return serve.Claim{}, false, errNoAnswer
	}
	clm, ok := log.state.Claim(org, key)
	out := serve.Claim{Record: clm.Record, Offset: clm.Offset, Holder: clm.Holder, Digest: clm.Digest}
	if clm.Outcome != nil {
		out.Done, out.Unknown, out.Reply = true, clm.Outcome.Unknown, clm.Outcome.Reply
	}
	return out, ok, nil
}

func (log *sharedLog) set(fun func(log *sharedLog)) {
	log.mtx.Lock()
	defer log.mtx.Unlock()
	fun(log)
}

// recorder keeps the parts of an answer.
type recorder struct {
	mtx   sync.Mutex
	parts []core.Part
	// failAt is the number of parts behind which the caller is gone; zero for
	// never.
	failAt int
	first  chan struct{}
}

// WritePart keeps a part.
func (rec *recorder) WritePart(prt core.Part) error {
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	rec.parts = append(rec.parts, prt)
	if rec.first != nil && len(rec.parts) == 1 {
		close(rec.first)
	}
	if rec.failAt > 0 && len(rec.parts) >= rec.failAt {
		return errors.New("caller is gone")
	}
	return nil
}

// checkAnswer checks that the parts are the whole answer to the job, or that
// they are a beginning of it without an end if it failed.
func (rec *recorder) checkAnswer(t testing.TB, job core.Job, err error) {
	t.Helper()
	rec.mtx.Lock()
	defer rec.mtx.Unlock()
	want := stand.Tokens(job.Prompt, job.MaxTokens)
	next := job.StartPos
	ended := false
	for _, prt := range rec.parts {
		assert.Assert(t, !ended, "part after the end")
		switch {
		case prt.Reply != nil:
			assert.Assert(t, strings.Contains(string(prt.Reply.Body), string(job.Body)), "the reply to another call")
			ended = true
		case prt.End:
			assert.Equal(t, next, len(want))
			assert.Equal(t, prt.Tokens, len(want))
			ended = true
		default:
			assert.Equal(t, prt.Pos, next)
			assert.Equal(t, prt.Text, want[next])
			next++
		}
	}
	assert.Equal(t, ended, err == nil, "%v", err)
}

var jobs struct {
	mtx sync.Mutex
	num int
}

func newID(what string) string {
	jobs.mtx.Lock()
	defer jobs.mtx.Unlock()
	jobs.num++
	return fmt.Sprintf("%s-%d", what, jobs.num)
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
